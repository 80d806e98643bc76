package gateway

import (
	"context"
	"sync"
	"time"

	"samphirepaddle.example/core/state"
)

// idleTimer ends the copy of an attempt's output when nothing comes any more: without
// follow after snapshotIdle; else when the attempt is not the job's present one, as after
// the loss of a target that answers nothing.
type idleTimer struct {
	stream  *stream
	attempt state.Attempt
	cancel  context.CancelFunc
	every   time.Duration

	mu      sync.Mutex
	timer   *time.Timer
	over    bool
	stopped bool
}

func newIdleTimer(s *stream, attempt state.Attempt, cancel context.CancelFunc) *idleTimer {
	t := &idleTimer{stream: s, attempt: attempt, cancel: cancel, every: streamWatch}
	if !s.follow {
		t.every = snapshotIdle
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(t.every, t.fire)
	return t
}

func (t *idleTimer) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.stopped {
		t.timer.Reset(t.every)
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
		t.over = true
		t.mu.Unlock()
		t.cancel()
		return
	}
	t.reset()
}

// isCurrent reports whether the job still has the attempt open, as far as that can be read.
func (t *idleTimer) isCurrent() bool {
	job, err := t.stream.g.readJob(context.Background(), t.stream.job)
	return err != nil || job != nil && job.OpenAttempt != nil && job.OpenAttempt.ID == t.attempt.ID
}

// snapshotOver reports whether the output without follow has ended for lack of news.
func (t *idleTimer) snapshotOver() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.over && !t.stream.follow
}
