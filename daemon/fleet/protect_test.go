package fleet

import (
	"testing"

	"samphirepaddle.example/core/workflow"
)

// Guards against a worker's response that ends the leader's process, and against a task that is lost
// or runs twice because its start call panicked after the worker had executed it.
func TestPanickingCallMayHaveRun(t *testing.T) {
	r := newRig(t)
	w := r.addWorker("a", 1)
	w.withLock(func() { w.panics = true })
	r.submit("j", oneTask)
	r.until("the task runs", func() bool { return len(w.runningAttempts()) == 1 })
	r.until("the panic has happened", func() bool {
		panicked := false
		w.withLock(func() { panicked = !w.panics })
		return panicked
	})
	r.until("the task has ended", func() bool {
		w.finish(workflow.EndDone)
		return r.jobStatus("j") == workflow.StatusCompleted
	})
	if w.overlap > 0 {
		t.Error("two attempts of the task ran at the same time")
	}
}
