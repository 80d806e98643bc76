package dispatch

import (
	"slices"

	"samphirepaddle.example/core/workflow"
)

// dropHeldBack removes the tasks that must not start in this pass. A gang starts only as a whole, so it
// waits for all of its tasks.
func (p *pass) dropHeldBack(q PendingRun, ready *readyStep) {
	isHeld := func(t readyTask) bool {
		return p.cautions.HeldBack[workflow.TaskKey{Job: q.Job.ID, Occurrence: q.Occurrence, Step: ready.step, Index: t.index}]
	}
	if len(p.cautions.HeldBack) == 0 || !slices.ContainsFunc(ready.tasks, isHeld) {
		return
	}
	p.recordWait(q, ready.step, ready.tasks, WaitBackoff)
	if q.Job.Steps[ready.step].Gang {
		ready.tasks = nil
		return
	}
	ready.tasks = slices.DeleteFunc(ready.tasks, isHeld)
}
