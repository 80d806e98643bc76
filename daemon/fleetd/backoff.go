package fleetd

import "time"

// maxWarnInterval bounds the time between two lines about the same lasting problem.
const maxWarnInterval = time.Minute

// warnBackoff decides when a lasting problem is logged: after first, and then at intervals that double.
type warnBackoff struct {
	first time.Duration

	since time.Time // when the problem was first seen; zero without one
	next  time.Time // of the next line
	lines int       // since then
}

// begin records that a problem was first seen at the time now.
func (b *warnBackoff) begin(now time.Time) {
	b.since, b.next, b.lines = now, now.Add(b.first), 0
}

// due reports whether a line is to be written now.
func (b *warnBackoff) due(now time.Time) bool {
	if now.Before(b.next) {
		return false
	}
	b.lines++
	b.next = now.Add(min(b.first<<min(b.lines-1, maxDoublings), maxWarnInterval))
	return true
}

// maxDoublings keeps the interval from overflowing.
const maxDoublings = 16
