package dispatch

import (
	"slices"

	"samphirepaddle.example/core/workflow"
)

// Expected CPU use of a task as a share of its reservation. It serves to estimate the CPU that is
// left for best-effort tasks.
const (
	expectedServingUse = 0.4 // varies with the load; measured means are near 0.42
	expectedOtherUse   = 1.0
)

// candidate is a usable worker with the resources that are still free on it in this pass.
type candidate struct {
	worker *Worker
	index  int // in pass.candidates; notRanked for a worker of last resort

	freeCPU          int64 // unreserved, in millicores
	freeMemory       int64 // unreserved, in MiB
	freeAccelerators int64
	spareCPU         int64      // millicores expected to be left for best-effort tasks
	isolated         bool       // no further task may start, so that a crash has only one suspect
	sharable         bool       // isolated for suspects of this pass that may share it
	longRunning      int        // number of long-running tasks that reserve CPU
	assigned         []assigned // tasks assigned in this pass
	headrooms        []headroom // of the serving tasks; set by headroomsFor
	headroomsKnown   bool
}

// notRanked is the index of a candidate that is not in pass.candidates.
const notRanked = -1

// assigned is a task that this pass has assigned to a worker.
type assigned struct {
	key  workflow.TaskKey
	step *workflow.StepSpec
}

// stepKey identifies a step of one occurrence of a job.
type stepKey struct {
	job        workflow.JobID
	occurrence int
	step       int
}

func stepKeyOf(k workflow.TaskKey) stepKey { return stepKey{k.Job, k.Occurrence, k.Step} }

func newCandidate(w *Worker, index int) *candidate {
	c := &candidate{}
	c.init(w, index)
	return c
}

func (c *candidate) init(w *Worker, index int) {
	*c = candidate{worker: w, index: index, freeCPU: w.CPUMillis, freeMemory: w.MemoryMiB, freeAccelerators: w.Accelerators, spareCPU: w.CPUMillis, isolated: w.Isolated}
	load := w.load()
	c.take(&load)
	c.freeCPU -= w.coldCPU()
	c.spareCPU -= w.coldCPU()
}

// shareOf returns the share of the worker's cores that a task of the step declares.
func (c *candidate) shareOf(step *workflow.StepSpec) float64 {
	return float64(step.CPUMillis) / float64(max(1, c.worker.CPUMillis))
}

// taskCount returns the number of tasks of a step on the worker.
func (c *candidate) taskCount(key stepKey) int {
	count := 0
	for i := range c.worker.Allocations {
		if stepKeyOf(c.worker.Allocations[i].Attempt.Task) == key {
			count++
		}
	}
	for _, placed := range c.assigned {
		if stepKeyOf(placed.key) == key {
			count++
		}
	}
	return count
}

// runsOnlyImage reports whether the worker has long-running tasks and all of them run the image.
func (c *candidate) runsOnlyImage(image string) bool {
	same := 0
	count := func(step *workflow.StepSpec) {
		if step.LongRunning && !step.UsesSpareCPU && step.Image == image {
			same++
		}
	}
	for i := range c.worker.Allocations {
		count(c.worker.Allocations[i].Step)
	}
	for _, placed := range c.assigned {
		count(placed.step)
	}
	return c.longRunning > 0 && same == c.longRunning
}

// fits reports whether the free resources cover the reservation of one more task of the step.
func (c *candidate) fits(step *workflow.StepSpec) bool {
	if step.MemoryMiB > c.freeMemory || step.Accelerators > c.freeAccelerators {
		return false
	}
	return step.UsesSpareCPU || step.CPUMillis <= c.freeCPU
}

// reserve assigns a task of the step to the worker.
func (c *candidate) reserve(step *workflow.StepSpec, key workflow.TaskKey) {
	c.assigned = append(c.assigned, assigned{key, step})
	c.account(step, 1)
}

// release undoes reserve.
func (c *candidate) release(step *workflow.StepSpec, key workflow.TaskKey) {
	c.assigned = slices.DeleteFunc(c.assigned, func(placed assigned) bool { return placed.key == key })
	c.account(step, -1)
}

// account subtracts (sign 1) or adds back (sign -1) the resources of a task of the step.
func (c *candidate) account(step *workflow.StepSpec, sign int64) {
	var load Load
	load.account(step, sign)
	c.take(&load)
}

// take subtracts a load from the free resources.
func (c *candidate) take(l *Load) {
	c.freeCPU -= l.ReservedCPU
	c.freeMemory -= l.MemoryMiB
	c.freeAccelerators -= l.Accelerators
	c.spareCPU -= l.ExpectedUse
	c.longRunning += l.LongRunning
}
