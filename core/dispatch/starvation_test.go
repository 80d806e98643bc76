package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"samphirepaddle.example/core/workflow"
)

// interferingFleet returns workers with a serving task with which tasks of the image "f" interfere, and a
// state that knows this. The serving tasks reserve a tenth of the cores.
func interferingFleet(service string, count int) ([]*Worker, *PlannerState) {
	state := NewPlannerState()
	state.InterferenceModel.sensitivityOf("s", 1)
	state.InterferenceModel.setCoefficient("s", "f", maxCoefficient)
	serving := workflow.StepSpec{Count: count, CPUMillis: 1000, LongRunning: true, TailTargetMs: 45, Image: "s"}
	var workers []*Worker
	for i := range count {
		w := testWorker(fmt.Sprint(service, i), 10_000, 1000)
		w.Service = service
		w.Allocations = []Allocation{allocation(w, "serving", i, &serving)}
		workers = append(workers, w)
	}
	return workers, state
}

func fill(w *Worker) {
	w.Allocations = append(w.Allocations, allocation(w, "fills", 0, &workflow.StepSpec{Count: 1, CPUMillis: 9000}))
}

// Guards against a best-effort job that waits for 10 s on mostly free workers: the work of another service or of workers
// that take no tasks counted, an attempt on a silent worker counted as at work, and only the first member of a gang was
// placed. It must not start sooner where the service is busy or one of its tasks is at work.
func TestStarvedJobStarts(t *testing.T) {
	step := workflow.StepSpec{Count: 3, CPUMillis: 4000, MemoryMiB: 10, UsesSpareCPU: true, Image: "f"}
	gang := step
	gang.Gang = true
	lasting := step
	lasting.LongRunning = true
	oneOpen := func(job *workflow.Job, on *Worker) {
		open := workflow.Task{Phase: workflow.TaskOpen, Attempt: 1, Incarnation: on.Incarnation}
		job.Runs = map[int]*workflow.Run{0: {Steps: []workflow.StepRun{{Tasks: []workflow.Task{open, {}, {}}}}}}
	}
	for name, c := range map[string]struct {
		step   workflow.StepSpec
		change func(workers []*Worker, job *workflow.Job) []*Worker
		want   int
	}{
		"mostly free": {step, func(workers []*Worker, _ *workflow.Job) []*Worker { return workers }, 1},
		"another service is full": {step, func(workers []*Worker, _ *workflow.Job) []*Worker {
			others, _ := interferingFleet("other", 20)
			for _, w := range others {
				fill(w)
			}
			return append(workers, others...)
		}, 1},
		"workers that take no tasks are full": {step, func(workers []*Worker, _ *workflow.Job) []*Worker {
			for _, w := range workers[:5] {
				fill(w)
				w.Usable = false
			}
			return workers
		}, 1},
		"an attempt on a silent worker": {step, func(workers []*Worker, job *workflow.Job) []*Worker {
			workers[0].Usable, workers[0].Silent = false, true
			oneOpen(job, workers[0])
			return workers
		}, 1},
		"an attempt on a process that was replaced": {step, func(workers []*Worker, job *workflow.Job) []*Worker {
			oneOpen(job, testWorker("replaced", 1, 1))
			return workers
		}, 1},
		"a gang":        {gang, func(workers []*Worker, _ *workflow.Job) []*Worker { return workers }, 3},
		"a gang on one": {gang, func(workers []*Worker, _ *workflow.Job) []*Worker { return workers[:1] }, 3},
		"best-effort tasks use most of the cores": {step, func(workers []*Worker, _ *workflow.Job) []*Worker {
			for _, w := range workers {
				fill(w)
				w.Allocations[1].Step.UsesSpareCPU = true
			}
			return workers
		}, 1},
		"a long-running task beside others of its job": {lasting, func(workers []*Worker, job *workflow.Job) []*Worker {
			oneOpen(job, workers[0])
			for i := range 2 {
				job.Runs[0].Steps[0].Tasks[1+i] = workflow.Task{Attempt: 1, WaitingAt: 1000}
			}
			return workers
		}, 1},
		"the service is full": {step, func(workers []*Worker, _ *workflow.Job) []*Worker {
			for _, w := range workers {
				fill(w)
			}
			return workers
		}, 0},
		"a task is at work": {step, func(workers []*Worker, job *workflow.Job) []*Worker {
			oneOpen(job, workers[0])
			return workers
		}, 0},
	} {
		workers, state := interferingFleet("s", 6)
		job := testJob("j", 0, c.step)
		workers = c.change(workers, job)
		snapshot := newSnapshot(workers, job)
		early, _ := Plan(snapshot, state)
		timeout := starvationTimeoutIdle
		if strings.HasPrefix(name, "best-effort") {
			timeout = starvationTimeoutSpare
		}
		snapshot.Now += timeout
		soon, _ := Plan(snapshot, state)
		snapshot.Now++
		late, waits := Plan(snapshot, state)
		if len(early)+len(soon) > 0 && job.Runs == nil || len(late) != c.want {
			t.Errorf("%s: %d tasks start at once, %d just before and %d after %d ms, want %d; waits %+v", name, len(early), len(soon), len(late), timeout, c.want, waits)
		}
	}
}

// Guards against a job of any kind that does not start although a worker has room and under half of the cores are
// reserved, before and after the pass: beside serving tasks, with workers that are silent or take no tasks, and with
// limits for each worker.
func TestNoJobWaitsBesideRoomOnAMostlyFreeService(t *testing.T) {
	checked, started := 0, 0
	for seed := range uint64(600) {
		random := rand.New(rand.NewPCG(seed, 4))
		p, state := randomSnapshot(random)
		for _, w := range p.Workers {
			w.Usable = random.IntN(3) > 0
			w.Silent = !w.Usable && random.IntN(2) == 0
		}
		for i := range p.PendingRuns {
			q := &p.PendingRuns[i]
			if q.Run == nil || random.IntN(3) > 0 {
				continue
			}
			task := &q.Run.Steps[0].Tasks[0]
			if w := p.Workers[random.IntN(len(p.Workers))]; w.Silent {
				*task = workflow.Task{Phase: workflow.TaskOpen, Attempt: 1, Incarnation: w.Incarnation}
			}
		}
		p.Now += starvationTimeoutSpare + 1
		assigned, waits := Plan(p, state)
		startedJobs := map[workflow.JobID]bool{}
		runs := map[workflow.JobID]PendingRun{}
		for _, q := range p.PendingRuns {
			runs[q.Job.ID] = q
		}
		for _, a := range assigned {
			startedJobs[a.Attempt.Task.Job] = true
			for _, w := range p.Workers {
				if w.Incarnation == a.Incarnation {
					w.Allocations = append(w.Allocations, Allocation{OpenAttempt: workflow.OpenAttempt{Attempt: a.Attempt, Step: &runs[a.Attempt.Task.Job].Job.Steps[0]}})
				}
			}
		}
		after := &pass{now: p.Now, interference: state.InterferenceModel, usable: slices.DeleteFunc(slices.Clone(p.Workers), func(w *Worker) bool { return !w.Usable })}
		after.buildCandidates()
		if usage := UsageByService(p)["s"]; usage.All.ReservedShare() >= idleUtilization && usage.OnUsable.ReservedShare() >= idleUtilization {
			continue
		}
		started += len(startedJobs)
		for _, wait := range waits {
			checked++
			if startedJobs[wait.Job] {
				continue
			}
			if best, _ := after.best(after.needsOf(runs[wait.Job], 0), workflow.Task{}, true); best != nil {
				t.Errorf("seed %d: nothing of job %s starts because %v, but it fits on %s", seed, wait.Job, wait.Reason, best.worker.Incarnation.Worker)
			}
		}
	}
	if checked < 1000 || started < 1000 {
		t.Errorf("only %d waits were checked, and %d jobs started", checked, started)
	}
}
