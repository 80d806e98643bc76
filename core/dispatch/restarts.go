package dispatch

import (
	"cmp"
	"slices"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
)

const (
	// minRunTime is how long a restarted task must run for a later failure to be unrelated to its start.
	minRunTime = model.Millis(5000)
	// restartMemory bounds how long a task that failed at its start comes after the others.
	restartMemory = model.Millis(60_000)
)

// RestartHistory records the recent restarts of long-running tasks. Such tasks may fail any number of
// times; those that fail at their start come after the others that are down, so that they do not take
// the room in each pass.
type RestartHistory struct {
	restarts map[workflow.TaskKey]restart
}

type restart struct {
	at       model.Millis
	failures uint32 // of the task before the restart
}

// NewRestartHistory returns a history without restarts.
func NewRestartHistory() *RestartHistory {
	return &RestartHistory{restarts: map[workflow.TaskKey]restart{}}
}

// record notes that the task is restarted.
func (h *RestartHistory) record(key workflow.TaskKey, task workflow.Task, now model.Millis) {
	h.restarts[key] = restart{now, task.Failures}
}

// recordRestarts notes which tasks of a step are restarted by the assignments from the index on. An
// assignment of a gang that was undone does not count.
func (p *pass) recordRestarts(spec *workflow.StepSpec, tasks []readyTask, from int) {
	if !spec.LongRunning {
		return
	}
	for _, a := range p.assignments[from:] {
		i := slices.IndexFunc(tasks, func(t readyTask) bool { return t.index == a.Attempt.Task.Index })
		if tasks[i].task.Attempt > 0 {
			p.restarts.record(a.Attempt.Task, tasks[i].task, p.now)
		}
	}
}

// forgetOld drops the restarts that no longer matter.
func (h *RestartHistory) forgetOld(now model.Millis) {
	for key, r := range h.restarts {
		if now-r.at > restartMemory {
			delete(h.restarts, key)
		}
	}
}

// failsAtStart reports whether the last restart of the task has failed soon.
func (h *RestartHistory) failsAtStart(key workflow.TaskKey, task workflow.Task) bool {
	r, ok := h.restarts[key]
	return ok && task.Failures > r.failures && task.WaitingAt-r.at < minRunTime
}

// markFailing marks the tasks of a step that fail at their start. The members of a gang start together,
// so one of them marks all.
func (h *RestartHistory) markFailing(q PendingRun, ready *readyStep) {
	if len(h.restarts) == 0 {
		return
	}
	gang := q.Job.Steps[ready.step].Gang
	for i := range ready.tasks {
		t := &ready.tasks[i]
		t.failing = h.failsAtStart(workflow.TaskKey{Job: q.Job.ID, Occurrence: q.Occurrence, Step: ready.step, Index: t.index}, t.task)
		ready.failing = ready.failing || t.failing
	}
	if gang && ready.failing {
		for i := range ready.tasks {
			ready.tasks[i].failing = true
		}
	}
}

// failingSince returns when the first of the failing tasks of a run began to wait. ok is false if there is
// none.
func (h *RestartHistory) failingSince(q PendingRun) (first model.Millis, ok bool) {
	if len(h.restarts) == 0 || !slices.ContainsFunc(q.Job.Steps, func(step workflow.StepSpec) bool { return step.LongRunning }) {
		return 0, false
	}
	q.Job.ReadyTasks(q.Run, func(step, index int, task workflow.Task) {
		key := workflow.TaskKey{Job: q.Job.ID, Occurrence: q.Occurrence, Step: step, Index: index}
		if h.failsAtStart(key, task) && (!ok || task.WaitingAt < first) {
			first, ok = task.WaitingAt, true
		}
	})
	return first, ok
}

// forTurn keeps the tasks that are placed in the given turn of their run. A step with failing tasks has two:
// the other restarts come first, and the failing ones, in the order of their wait, before first starts.
func (r *readyStep) forTurn(failing bool) {
	switch {
	case failing:
		r.tasks = slices.DeleteFunc(r.tasks, func(t readyTask) bool { return !r.failing || (t.task.Attempt > 0 && !t.failing) })
		slices.SortStableFunc(r.tasks, func(a, b readyTask) int { return cmp.Compare(a.task.WaitingAt, b.task.WaitingAt) })
	case r.failing:
		r.tasks = slices.DeleteFunc(r.tasks, func(t readyTask) bool { return t.task.Attempt == 0 || t.failing })
	}
}
