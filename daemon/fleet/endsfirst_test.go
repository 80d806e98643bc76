package fleet

import (
	"context"
	"sync"
	"testing"

	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/workflow"
	"samphirepaddle.example/daemon/replica"
)

// batchLog counts the batches, those that leave ends for the next one, and those of them that assign starts.
type batchLog struct {
	replica.Log

	mu                        sync.Mutex
	full, fullWithAssignments int
}

func (b *batchLog) Propose(ctx context.Context, c state.Command) (state.Result, error) {
	if c.Workflow != nil && c.Workflow.Batch != nil && len(c.Workflow.Batch.Ends) == maxBatchEnds {
		b.mu.Lock()
		b.full++
		if len(c.Workflow.Batch.Assign) > 0 {
			b.fullWithAssignments++
		}
		b.mu.Unlock()
	}
	return b.Log.Propose(ctx, c)
}

// Guards against new starts that are recorded while ends, more than one batch holds, wait to be recorded and
// acknowledged.
func TestEndsThatDoNotFitIntoABatchComeBeforeStarts(t *testing.T) {
	r := newRig(t)
	r.stop()
	log := &batchLog{Log: r.log}
	r.startEngineOn(log)
	r.until("the controller leads", func() bool { return r.engine.currentLeadership() != nil })
	r.submit("j", oneTask)
	w := r.workers.add("a", 1)
	for range 2*maxBatchEnds + 1 {
		w.end(workflow.Attempt{Task: workflow.TaskKey{Job: "earlier"}, Number: uint32(w.last + 1)}, workflow.EndDone)
	}
	r.report(w)
	r.until("the task runs", func() bool { return len(w.runningAttempts()) == 1 })
	r.until("the ends are acknowledged", func() bool { return w.unacknowledged() == 0 })
	log.mu.Lock()
	defer log.mu.Unlock()
	if log.full != 2 || log.fullWithAssignments != 0 {
		t.Errorf("%d full batches of ends, %d of them with starts; want 2 and none", log.full, log.fullWithAssignments)
	}
}
