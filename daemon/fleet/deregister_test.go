package fleet

import (
	"context"
	"testing"
	"time"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/workflow"
)

// Guards against a worker that gets no task any more because the deregistration of the process before
// it, under the same id, arrived late.
func TestLateDeregistrationDoesNotConcernTheNextProcess(t *testing.T) {
	r := newRig(t)
	age := model.Millis(lateDeregistration.Milliseconds())
	wall := model.Millis(time.Now().UnixMilli())
	next := r.addWorker("young", wall-age/2)
	r.addWorker("old", wall-2*age)
	for id, want := range map[workflow.WorkerID]bool{"young": false, "old": true} {
		r.until("the deregistration is answered", func() bool {
			_, err := r.engine.Deregister(context.Background(), id)
			return err == nil
		})
		r.log.View(func(st *state.State) {
			if got := st.Workflows.Workers[id].Deregistered; got != want {
				t.Errorf("worker %s: deregistered is %t, want %t", id, got, want)
			}
		})
	}
	r.submit("j", oneTask)
	r.until("the task runs", func() bool { return len(next.runningAttempts()) == 1 })
}
