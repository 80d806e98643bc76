package fleet

import (
	"time"

	"samphirepaddle.example/core/dispatch"
	"samphirepaddle.example/core/workflow"
	"samphirepaddle.example/daemon/bootclock"
)

// When a waiting step gets a log line: a wait below the first bound explains no late job, and
// a long one is repeated because its reason changes.
const (
	waitLoggedAfter = time.Second
	waitRepeated    = 5 * time.Second
)

// waitKey names a step of one occurrence.
type waitKey struct {
	job        workflow.JobID
	occurrence int
	step       int
}

// waitLog remembers since when steps wait.
type waitLog struct {
	since    bootclock.Time
	loggedAt bootclock.Time
	seen     bool // in the present pass
}

// logWaits writes what keeps tasks waiting; mu is held.
func (l *lead) logWaits(waits []dispatch.WaitingStep, now bootclock.Time) {
	for _, w := range waits {
		key := waitKey{w.Job, w.Occurrence, w.Step}
		known := l.waits[key]
		if known == nil {
			known = &waitLog{since: now}
			l.waits[key] = known
		}
		known.seen = true
		if now.Sub(known.since) < waitLoggedAfter || (known.loggedAt != 0 && now.Sub(known.loggedAt) < waitRepeated) {
			continue
		}
		known.loggedAt = now
		l.detail.Info().Str("job", string(w.Job)).Int("occurrence", w.Occurrence).Int("step", w.Step).Stringer("reason", w.Reason).
			Int64("waited_ms", now.Sub(known.since).Milliseconds()).Int("workers", len(l.sessions)).Int("waiting", len(waits)).Msg("tasks wait")
	}
	for key, known := range l.waits {
		if !known.seen {
			delete(l.waits, key)
		}
		known.seen = false
	}
}
