package dispatch

import (
	"slices"

	"samphirepaddle.example/core/workflow"
)

// Shares of a reserved core that its task is expected to use, for the estimate of what is
// left to tasks that use spare capacity.
const (
	servingUse = 0.4 // the load of serving tasks swings; measured means lie near 0.42 of the reservation
	otherUse   = 1.0
)

// room is what is free on a worker.
type room struct {
	worker *Worker

	cpu          int64 // not reserved
	memory       int64
	accelerators int64
	spare        int64      // expected to be left for tasks that use spare capacity
	serving      int        // long-running tasks
	added        []added    // in this pass
	headrooms    []headroom // of the serving tasks; see measure
	measured     bool       // headrooms is filled in
}

// added is a task that this pass has placed on a worker.
type added struct {
	key  workflow.TaskKey
	step *workflow.StepSpec
}

// stepKey names a step of one occurrence.
type stepKey struct {
	job        workflow.JobID
	occurrence int
	step       int
}

func keyOf(k workflow.TaskKey) stepKey { return stepKey{k.Job, k.Occurrence, k.Step} }

func newRoom(w *Worker) *room {
	r := &room{worker: w, cpu: w.CPUMillis, memory: w.MemoryMiB, accelerators: w.Accelerators, spare: w.CPUMillis}
	for i := range w.Residents {
		r.change(w.Residents[i].Step, 1)
	}
	return r
}

// tasksOf counts the tasks of a step on the worker.
func (r *room) tasksOf(key stepKey) int {
	count := 0
	for i := range r.worker.Residents {
		if keyOf(r.worker.Residents[i].Attempt.Task) == key {
			count++
		}
	}
	for _, a := range r.added {
		if keyOf(a.key) == key {
			count++
		}
	}
	return count
}

// servesOnly reports whether the long-running tasks of the worker, one at least, are all of
// the image.
func (r *room) servesOnly(image string) bool {
	same := 0
	count := func(step *workflow.StepSpec) {
		if step.LongRunning && !step.UsesSpareCPU && step.Image == image {
			same++
		}
	}
	for i := range r.worker.Residents {
		count(r.worker.Residents[i].Step)
	}
	for _, a := range r.added {
		count(a.step)
	}
	return r.serving > 0 && same == r.serving
}

// fits reports whether the reservation of one more task of the step holds.
func (r *room) fits(step *workflow.StepSpec) bool {
	if step.MemoryMiB > r.memory || step.Accelerators > r.accelerators {
		return false
	}
	return step.UsesSpareCPU || step.CPUMillis <= r.cpu
}

// take reserves what a task of the step holds.
func (r *room) take(step *workflow.StepSpec, key workflow.TaskKey) {
	r.added = append(r.added, added{key, step})
	r.change(step, 1)
}

// giveBack undoes take.
func (r *room) giveBack(step *workflow.StepSpec, key workflow.TaskKey) {
	r.added = slices.DeleteFunc(r.added, func(a added) bool { return a.key == key })
	r.change(step, -1)
}

// change reserves (sign 1) or gives back (sign -1) what a task of the step holds.
func (r *room) change(step *workflow.StepSpec, sign int64) {
	cores := sign * step.CPUMillis
	r.memory -= sign * step.MemoryMiB
	r.accelerators -= sign * step.Accelerators
	switch {
	case step.UsesSpareCPU:
		r.spare -= cores
	case step.LongRunning:
		r.serving += int(sign)
		r.cpu -= cores
		r.spare -= int64(servingUse * float64(cores))
	default:
		r.cpu -= cores
		r.spare -= int64(otherUse * float64(cores))
	}
}
