package fleet

import (
	"time"

	"samphirepaddle.example/core/dispatch"
	"samphirepaddle.example/core/workflow"
	"samphirepaddle.example/daemon/bootclock"
)

// Logging of waiting steps. A wait below minLoggedWait is too short to make a job late; a longer one
// is logged every waitLogInterval, because its reason may change.
const (
	minLoggedWait   = time.Second
	waitLogInterval = 5 * time.Second
)

// waitKey identifies a step of one occurrence of a job.
type waitKey struct {
	job        workflow.JobID
	occurrence int
	step       int
}

// waitLog records since when a step has been waiting and when this was last logged.
type waitLog struct {
	since    bootclock.Time
	loggedAt bootclock.Time
	seen     bool // waiting in the current pass
}

// logWaits logs why tasks wait; l.mu must be held.
func (l *leadership) logWaits(snapshot *dispatch.Snapshot, waits []dispatch.WaitingStep, now bootclock.Time) {
	var states map[string]*serviceState
	for _, w := range waits {
		key := waitKey{w.Job, w.Occurrence, w.Step}
		entry := l.waits[key]
		if entry == nil {
			entry = &waitLog{since: now}
			l.waits[key] = entry
		}
		entry.seen = true
		if now.Sub(entry.since) < minLoggedWait || (entry.loggedAt != 0 && now.Sub(entry.loggedAt) < waitLogInterval) {
			continue
		}
		entry.loggedAt = now
		logger := &l.sampledLogger
		if w.Restarts > 0 {
			logger = &l.logger // few steps are long-running, and their callers see each one that is down
		}
		if states == nil {
			states = l.serviceStates(snapshot, now)
		}
		line := logger.Info().Str("job", string(w.Job)).Int("occurrence", w.Occurrence).Int("step", w.Step).Stringer("reason", w.Reason).
			Int("restarts", w.Restarts).Int64("waited_ms", now.Sub(entry.since).Milliseconds()).Int("waiting", len(waits))
		states[w.Service].addTo(line).Msg("tasks wait")
	}
	for key, entry := range l.waits {
		if !entry.seen {
			delete(l.waits, key)
		}
		entry.seen = false
	}
}
