package standin

import (
	"testing"
	"time"

	"samphirepaddle.example/core/model"
)

// Guards against a task that completes after the lease: a process that was frozen wakes with
// both due, and the job may have been requeued meanwhile.
func TestCompletionAfterTheLeaseDoesNotCount(t *testing.T) {
	target := start(t, newEntryVM(t), func(c *Config) { c.AnnounceEvery = time.Hour })
	target.mu.Lock()
	defer target.mu.Unlock()
	target.leaseEnd = time.Now().Add(-time.Millisecond)
	attempt := model.AttemptID{Job: "sheet", Number: 1}
	k := &task{work: work{class: model.ClassBatch, attempt: &attempt}, progress: 1, changed: make(chan struct{}), done: make(chan struct{})}
	if !target.endIfDue(k) || k.outcome != outcomeLeaseOver {
		t.Fatalf("outcome %q, want %q", k.outcome, outcomeLeaseOver)
	}
}
