package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
)

// Guards against a restart of a long-running task that waits although a usable worker has room for it,
// for whatever else of the pass was or was not placed.
func TestNoRestartWaitsBesideRoom(t *testing.T) {
	for seed := range uint64(5000) {
		rng := rand.New(rand.NewPCG(seed, 1))
		p := randomRestarts(rng)
		state := NewPlannerState()
		if seed%2 == 1 {
			state.RestartHistory = failedAtStart(p)
		}
		assigned, waits := Plan(p, state)
		free := map[workflow.Incarnation]*candidate{}
		for i, w := range p.Workers {
			free[w.Incarnation] = newCandidate(w, i)
		}
		placed := map[workflow.TaskKey]bool{}
		for _, a := range assigned {
			key := a.Attempt.Task
			placed[key] = true
			for _, q := range p.PendingRuns {
				if q.Job.ID == key.Job {
					free[a.Incarnation].reserve(&q.Job.Steps[key.Step], key)
				}
			}
		}
		for _, q := range p.PendingRuns {
			n := needs{service: "s", spec: &q.Job.Steps[0], step: stepKey{job: q.Job.ID}}
			if !n.spec.LongRunning || n.spec.Gang {
				continue
			}
			for i, task := range q.Run.Steps[0].Tasks {
				if task.Attempt == 0 || placed[workflow.TaskKey{Job: q.Job.ID, Index: i}] {
					continue
				}
				for _, c := range free {
					if _, ok := c.feasible(&n); ok {
						t.Fatalf("seed %d: task %d of job %s waits although worker %s has room; waits %+v", seed, i, q.Job.ID, c.worker.Incarnation.Worker, waits)
					}
				}
			}
		}
	}
}

// Guards against a long-running task that stays down because another one, which fails at each start,
// takes the room every time.
func TestFailingTaskDoesNotKeepOtherRestartsWaiting(t *testing.T) {
	spec := workflow.StepSpec{Count: 1, CPUMillis: 1000, LongRunning: true}
	both := spec
	both.Count = 2
	down := workflow.Task{Attempt: 1, WaitingAt: 500}
	for name, tasks := range map[string]int{"two jobs": 1, "one job": 2} {
		for _, quarantined := range []bool{false, true} {
			w := testWorker("w", 1000, 1000)
			w.Usable, w.LastResort = !quarantined, quarantined
			jobs := []*workflow.Job{testJob("fails", 0, spec), testJob("sound", 0, spec)}
			if tasks == 2 {
				jobs = []*workflow.Job{testJob("fails", 0, both)}
			}
			for _, job := range jobs {
				job.Runs = map[int]*workflow.Run{0: {Steps: []workflow.StepRun{{Tasks: []workflow.Task{down, down}[:tasks]}}}}
			}
			failing := &jobs[0].Runs[0].Steps[0].Tasks[0]
			state, restarted := NewPlannerState(), false
			for pass := range 3 {
				snapshot := newSnapshot([]*Worker{w}, jobs...)
				snapshot.Now = model.Millis(1000 + 100*pass)
				assigned, _ := Plan(snapshot, state)
				for _, a := range assigned {
					if a.Attempt.Task.Job == "fails" && a.Attempt.Task.Index == 0 {
						failing.Attempt, failing.Failures, failing.WaitingAt = a.Attempt.Number, failing.Failures+1, snapshot.Now+50
					} else {
						restarted = true
					}
				}
			}
			if !restarted {
				t.Errorf("%s, quarantined worker %v: the failing task was started %d times, the other one never", name, quarantined, failing.Failures)
			}
		}
	}
}

// Guards against a failing task that keeps another one of several failing tasks waiting, against failing tasks
// that wait behind work of a lower rank, and against a task that stays last for a failure long after its start.
func TestFailingTasksTakeTurnsBeforeShortTasks(t *testing.T) {
	lasting := workflow.StepSpec{Count: 1, CPUMillis: 1000, LongRunning: true}
	w := testWorker("w", 1000, 1000)
	jobs := []*workflow.Job{testJob("a", 0, lasting), testJob("b", 0, lasting), testJob("c", 0, lasting)}
	for _, job := range jobs {
		job.Runs = map[int]*workflow.Run{0: {Steps: []workflow.StepRun{{Tasks: []workflow.Task{{Attempt: 1, WaitingAt: 500}}}}}}
	}
	all := append([]*workflow.Job{testJob("short", 0, workflow.StepSpec{Count: 1, CPUMillis: 1000})}, jobs...)
	state := NewPlannerState()
	order, now := "", model.Millis(1000)
	step := func(ranFor model.Millis) {
		snapshot := newSnapshot([]*Worker{w}, all...)
		snapshot.Now = now
		assigned, _ := Plan(snapshot, state)
		for _, a := range assigned {
			order += string(a.Attempt.Task.Job)
			if run := snapshot.PendingRuns[0].Run; a.Attempt.Task.Job != "short" && run == nil {
				task := &map[workflow.JobID]*workflow.Job{"a": jobs[0], "b": jobs[1], "c": jobs[2]}[a.Attempt.Task.Job].Runs[0].Steps[0].Tasks[0]
				task.Attempt, task.Failures, task.WaitingAt = a.Attempt.Number, task.Failures+1, now+ranFor
			}
		}
		now += ranFor + 100
	}
	for range 8 {
		step(50)
	}
	step(minRunTime + 100)
	step(50)
	if order != "abcabcabcc" {
		t.Errorf("the tasks were started in the order %q, want each in its turn and c again after it ran for long", order)
	}
}

// failedAtStart returns a history in which every task that has failed did so soon after its last restart.
func failedAtStart(p *Snapshot) *RestartHistory {
	h := NewRestartHistory()
	for _, q := range p.PendingRuns {
		for i, task := range q.Run.Steps[0].Tasks {
			if task.Failures > 0 {
				h.restarts[workflow.TaskKey{Job: q.Job.ID, Index: i}] = restart{task.WaitingAt - 100, task.Failures - 1}
			}
		}
	}
	return h
}

// randomRestarts returns a few workers and jobs whose tasks wait; some of the tasks ran before.
func randomRestarts(rng *rand.Rand) *Snapshot {
	var workers []*Worker
	for i := range 1 + rng.IntN(4) {
		workers = append(workers, testWorker(fmt.Sprint("w", i), int64(4+rng.IntN(8))*1000, int64(4+rng.IntN(8))*1000))
		if rng.IntN(2) == 0 {
			workers[i].Labels = []string{"x"}
		}
	}
	var jobs []*workflow.Job
	for i := range 2 + rng.IntN(6) {
		step := workflow.StepSpec{Count: 1 + rng.IntN(4), CPUMillis: int64(1+rng.IntN(5)) * 1000, MemoryMiB: int64(rng.IntN(4)) * 1000, LongRunning: rng.IntN(2) == 0, Gang: rng.IntN(5) == 0, MaxPerWorker: max(0, rng.IntN(6)-3)}
		if rng.IntN(4) == 0 {
			step.RequiredLabel = "x"
		}
		job := testJob(fmt.Sprint("j", i), rng.IntN(3), step)
		tasks := make([]workflow.Task, step.Count)
		for k := range tasks {
			tasks[k] = workflow.Task{Attempt: uint32(rng.IntN(3)), Failures: uint32(rng.IntN(2)), WaitingAt: 900}
		}
		job.Runs = map[int]*workflow.Run{0: {Steps: []workflow.StepRun{{Tasks: tasks}}}}
		jobs = append(jobs, job)
	}
	return newSnapshot(workers, jobs...)
}

// Guards against a gang that comes before sound tasks again because a pass could place only a part of it.
func TestGangThatFailsAtItsStartIsRememberedWhileItWaits(t *testing.T) {
	spec := workflow.StepSpec{Count: 2, CPUMillis: 1000, LongRunning: true, Gang: true}
	job := testJob("gang", 0, spec)
	job.Runs = map[int]*workflow.Run{0: {Steps: []workflow.StepRun{{Tasks: []workflow.Task{
		{Attempt: 2, Failures: 2, WaitingAt: 900}, {Attempt: 2, Failures: 1, WaitingAt: 900},
	}}}}}
	state := NewPlannerState()
	for i := range 2 {
		state.RestartHistory.record(workflow.TaskKey{Job: "gang", Index: i}, workflow.Task{Failures: 1}, 500)
	}
	snapshot := newSnapshot([]*Worker{testWorker("w", 1000, 1000)}, job)
	snapshot.Now = 1000
	if assigned, _ := Plan(snapshot, state); len(assigned) != 0 {
		t.Fatalf("%d tasks were assigned, want 0", len(assigned))
	}
	if _, failing := state.RestartHistory.failingSince(snapshot.PendingRuns[0]); !failing {
		t.Error("the gang is not known to fail at its start after a pass that placed nothing")
	}
}
