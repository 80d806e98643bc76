package dispatch

import (
	"testing"

	"samphirepaddle.example/core/workflow"
)

// lastingJob returns a job of tasks at work, spread over the workers.
func lastingJob(id string, step workflow.StepSpec, workers ...*Worker) *workflow.Job {
	job := testJob(id, 0, step)
	tasks := make([]workflow.Task, step.Count)
	for i := range tasks {
		w := workers[i%len(workers)]
		tasks[i] = workflow.Task{Phase: workflow.TaskOpen, Attempt: 1, Incarnation: w.Incarnation}
		w.Allocations = append(w.Allocations, Allocation{
			OpenAttempt: workflow.OpenAttempt{
				Attempt:     workflow.Attempt{Task: workflow.TaskKey{Job: job.ID, Index: i}, Number: 1},
				Incarnation: w.Incarnation, Step: &job.Steps[0],
			},
			Listed: true, Percent: 100, Pace: 100,
		})
	}
	job.Runs = map[int]*workflow.Run{0: {Steps: []workflow.StepRun{{Tasks: tasks}}}}
	return job
}

func evacuatedWorker(id string, cpu int64) *Worker {
	w := testWorker(id, cpu, 1000)
	w.Usable, w.Evacuated = false, true
	return w
}

// Guards against an evacuation that takes more tasks of a step away at once than its callers allow.
func TestEvacuationLeavesEnoughTasksAtWork(t *testing.T) {
	for name, c := range map[string]struct {
		maxUnavailable, away, want int
	}{
		"one at a time":            {1, 0, 1},
		"two at a time":            {2, 0, 2},
		"one is away":              {2, 1, 1},
		"as many away as allowed":  {2, 2, 0},
		"no number allowed, alone": {0, 0, 1},
		"no number allowed, away":  {0, 1, 0},
	} {
		in, out := evacuatedWorker("in", 8000), testWorker("out", 8000, 1000)
		job := lastingJob("j", workflow.StepSpec{Count: 6, CPUMillis: 1000, MemoryMiB: 1, LongRunning: true, MaxUnavailable: c.maxUnavailable}, in)
		for i := range c.away {
			in.Allocations[i].Percent = 40
		}
		if got := EvacuationMoves(newSnapshot([]*Worker{in, out}, job)); len(got) != c.want {
			t.Errorf("%s: %d tasks move, want %d", name, len(got), c.want)
		}
	}
}

// Guards against tasks that are stopped although no other zone has room for them.
func TestEvacuationMovesOnlyIntoRoom(t *testing.T) {
	step := workflow.StepSpec{Count: 4, CPUMillis: 1000, MemoryMiB: 1, LongRunning: true, MaxUnavailable: 4}
	for name, c := range map[string]struct {
		out  []*Worker
		want int
	}{
		"the only room is in the zone":     {nil, 0},
		"the other zone is evacuated too":  {[]*Worker{evacuatedWorker("out", 8000)}, 0},
		"room for two and for short tasks": {[]*Worker{testWorker("out", 2500, 1000)}, 2},
		"best-effort tasks use the room":   {[]*Worker{busyWorker("out", 8000)}, 0},
		"room for all":                     {[]*Worker{testWorker("out", 8000, 1000)}, 4},
	} {
		in := evacuatedWorker("in", 8000)
		if got := EvacuationMoves(newSnapshot(append(c.out, in), lastingJob("j", step, in))); len(got) != c.want {
			t.Errorf("%s: %d tasks move, want %d", name, len(got), c.want)
		}
	}
}

// busyWorker returns a worker whose cores a best-effort task uses.
func busyWorker(id string, cpu int64) *Worker {
	w := testWorker(id, cpu, 1000)
	lastingJob("batch", workflow.StepSpec{Count: 1, CPUMillis: cpu, UsesSpareCPU: true}, w)
	return w
}

// Guards against work that an evacuation throws away: tasks without checkpoints, and those that end soon, stay.
func TestEvacuationThrowsNoWorkAway(t *testing.T) {
	for name, c := range map[string]struct {
		step    workflow.StepSpec
		percent int
		want    int
	}{
		"no checkpoints": {workflow.StepSpec{Count: 1, EstimateMs: 60_000}, 0, 0},
		"ends soon":      {workflow.StepSpec{Count: 1, EstimateMs: 60_000, Checkpoints: true}, 95, 0},
		"runs on":        {workflow.StepSpec{Count: 1, EstimateMs: 60_000, Checkpoints: true}, 50, 1},
		"gang":           {workflow.StepSpec{Count: 1, EstimateMs: 60_000, Checkpoints: true, Gang: true}, 50, 0},
	} {
		in, out := evacuatedWorker("in", 8000), testWorker("out", 8000, 1000)
		job := lastingJob("j", c.step, in)
		in.Allocations[0].Percent = c.percent
		if got := EvacuationMoves(newSnapshot([]*Worker{in, out}, job)); len(got) != c.want {
			t.Errorf("%s: %d tasks move, want %d", name, len(got), c.want)
		}
	}
}
