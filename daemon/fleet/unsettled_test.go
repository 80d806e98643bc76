package fleet

import (
	"testing"
	"time"

	"samphirepaddle.example/core/workflow"
)

// Guards against a task that waits beside free workers because its start was not answered: each list that
// settles what became of the start came with a hold call that lasted for its full wait, 4 s in all.
func TestUnansweredStartIsSettledWithoutWaitingForLongHolds(t *testing.T) {
	r := newRig(t)
	r.lease = silentLease
	r.changeLeader()
	a := r.workers.add("a", 1)
	a.longPolls = true
	var failedAt time.Time
	a.delayStart = func(workflow.Attempt) bool {
		if failedAt.IsZero() {
			failedAt = time.Now()
			return true
		}
		return false
	}
	r.report(a)
	r.submit("j", oneTask)
	r.until("the task runs as its second attempt", func() bool {
		running := a.runningAttempts()
		return len(running) == 1 && running[0].Number == 2
	})
	if waited := time.Since(failedAt); waited > 2500*time.Millisecond {
		t.Errorf("the task was started again %v after its start failed", waited)
	}
}
