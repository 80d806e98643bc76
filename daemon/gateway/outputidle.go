package gateway

import (
	"context"
	"sync"
	"time"

	"samphirepaddle.example/core/state"
)

// idleTimer ends the copy of an attempt's output when no more output arrives: with follow=false
// after snapshotIdleTimeout, else when the attempt is no longer the job's open one, for example
// because its target stopped responding and was lost.
type idleTimer struct {
	stream   *stream
	attempt  state.Attempt
	cancel   context.CancelFunc
	interval time.Duration

	mu      sync.Mutex
	timer   *time.Timer
	expired bool
	stopped bool
}

func newIdleTimer(s *stream, attempt state.Attempt, cancel context.CancelFunc) *idleTimer {
	t := &idleTimer{stream: s, attempt: attempt, cancel: cancel, interval: attemptCheckInterval}
	if !s.follow {
		t.interval = snapshotIdleTimeout
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(t.interval, t.fire)
	return t
}

func (t *idleTimer) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.stopped {
		t.timer.Reset(t.interval)
	}
}

func (t *idleTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}

func (t *idleTimer) fire() {
	if !t.stream.follow || !t.isCurrent() {
		t.mu.Lock()
		t.expired = true
		t.mu.Unlock()
		t.cancel()
		return
	}
	t.reset()
}

// isCurrent reports whether the attempt is still the job's open one. It returns true if the job
// cannot be read.
func (t *idleTimer) isCurrent() bool {
	job, err := t.stream.g.readJob(context.Background(), t.stream.job)
	return err != nil || job != nil && job.OpenAttempt != nil && job.OpenAttempt.ID == t.attempt.ID
}

// snapshotExpired reports whether the timer has ended a stream with follow=false.
func (t *idleTimer) snapshotExpired() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.expired && !t.stream.follow
}
