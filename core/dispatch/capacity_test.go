package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"samphirepaddle.example/core/workflow"
)

// demand is what attempts need of a worker.
type demand struct{ cpu, memory, accelerators int64 }

func (d *demand) add(step *workflow.StepSpec) {
	if !step.UsesSpareCPU {
		d.cpu += step.CPUMillis
	}
	d.memory += step.MemoryMiB
	d.accelerators += step.Accelerators
}

func stepOfAnyKind(r *rand.Rand) workflow.StepSpec {
	kind := r.IntN(4)
	return workflow.StepSpec{
		Count: 1 + r.IntN(4), CPUMillis: int64(r.IntN(5)) * 1000, MemoryMiB: int64(r.IntN(5)) * 100, Accelerators: int64(r.IntN(2)),
		Gang: kind == 1, LongRunning: kind == 2, UsesSpareCPU: kind == 3,
	}
}

// workerOfAnySize returns a worker whose capacity may have shrunk below what runs there.
func workerOfAnySize(r *rand.Rand, id string) *Worker {
	w := freeWorker(id, 0)
	w.CPUMillis, w.MemoryMiB, w.Accelerators = int64(r.IntN(9))*1000, int64(r.IntN(9))*100, int64(r.IntN(3))
	w.Usable = r.IntN(4) > 0
	w.LastResort = !w.Usable
	for i := range r.IntN(4) {
		step := stepOfAnyKind(r)
		w.Allocations = append(w.Allocations, Allocation{OpenAttempt: workflow.OpenAttempt{
			Attempt: workflow.Attempt{Task: workflow.TaskKey{Job: workflow.JobID("on-" + id), Index: i}, Number: 1}, Step: &step,
		}, Stopping: r.IntN(3) == 0})
	}
	return w
}

// runOfAnyKind returns a run whose tasks may be suspects or restarts.
func runOfAnyKind(r *rand.Rand, id string) PendingRun {
	step := stepOfAnyKind(r)
	var suspects []int
	tasks := make([]workflow.Task, step.Count)
	for i := range tasks {
		if r.IntN(3) == 0 {
			suspects = append(suspects, i)
		}
		tasks[i].Attempt = uint32(r.IntN(2))
	}
	q := suspectJob(workflow.JobID(id), step, suspects...)
	q.Run = &workflow.Run{Steps: []workflow.StepRun{{Tasks: tasks}}}
	return q
}

// Guards against a start that brings a worker over its capacity: one that has shrunk, one that runs what
// is being stopped, or one that is chosen for a suspect, a gang or a restart as a last resort.
func TestNoStartBringsWorkerOverItsCapacity(t *testing.T) {
	assignments := 0
	for seed := range uint64(2000) {
		r := rand.New(rand.NewPCG(seed, 2))
		p := &Snapshot{Now: 100_000}
		used, capacity := map[workflow.WorkerID]*demand{}, map[workflow.WorkerID]demand{}
		for i := range 4 {
			w := workerOfAnySize(r, fmt.Sprint(i))
			p.Workers = append(p.Workers, w)
			used[w.Incarnation.Worker] = &demand{}
			for _, a := range w.Allocations {
				used[w.Incarnation.Worker].add(a.Step)
			}
			capacity[w.Incarnation.Worker] = demand{w.CPUMillis, w.MemoryMiB, w.Accelerators}
		}
		steps := map[workflow.JobID]*workflow.StepSpec{}
		for i := range 5 {
			q := runOfAnyKind(r, fmt.Sprint(i))
			p.PendingRuns = append(p.PendingRuns, q)
			steps[q.Job.ID] = &q.Job.Steps[0]
		}
		assigned, _ := Plan(p, NewPlannerState())
		assignments += len(assigned)
		for _, a := range assigned {
			id, step := a.Incarnation.Worker, steps[a.Attempt.Task.Job]
			used[id].add(step)
			u, c := used[id], capacity[id]
			if (u.cpu > c.cpu && !step.UsesSpareCPU) || u.memory > c.memory || u.accelerators > c.accelerators {
				t.Errorf("seed %d: a start of %+v brings worker %s with the capacity %+v to %+v", seed, *step, id, c, *u)
			}
		}
	}
	if assignments < 2000 {
		t.Errorf("only %d starts in all: the workers are too small for the test", assignments)
	}
}
