package dispatch

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"samphirepaddle.example/core/workflow"
)

// randomSnapshot returns workers with serving, best-effort and short tasks, and jobs of every kind
// that wait, some of whose tasks have failed before.
func randomSnapshot(rng *rand.Rand) (*Snapshot, *PlannerState) {
	p := &Snapshot{Now: 1000}
	state := NewPlannerState()
	for i := range 5 + rng.IntN(40) {
		w := testWorker(fmt.Sprintf("w%03d", i), workerCPUMillis, 30_000)
		w.Labels = []string{"kind", fmt.Sprintf("rack%d", i%3)}
		for j := range rng.IntN(4) {
			step := &workflow.StepSpec{Count: 6, CPUMillis: 2500, MemoryMiB: 5000, LongRunning: true, TailTargetMs: tailTarget, Image: fmt.Sprintf("s%d", rng.IntN(4))}
			w.Allocations = append(w.Allocations, allocation(w, fmt.Sprintf("serving%d", rng.IntN(5)), j, step))
		}
		for j := range rng.IntN(4) {
			step := &workflow.StepSpec{Count: 1, CPUMillis: 1800, MemoryMiB: 3000, UsesSpareCPU: true, Image: fmt.Sprintf("f%d", rng.IntN(5))}
			w.Allocations = append(w.Allocations, allocation(w, fmt.Sprintf("best-effort%d-%d", i, j), 0, step))
		}
		state.InterferenceModel.Adjust(p.Now, w, p.Now)
		p.Workers = append(p.Workers, w)
	}
	for i := range 20 {
		p.PendingRuns = append(p.PendingRuns, randomRun(rng, p, i))
	}
	return p, state
}

func randomRun(rng *rand.Rand, p *Snapshot, i int) PendingRun {
	step := workflow.StepSpec{Count: 1 + rng.IntN(12), CPUMillis: 500 + rng.Int64N(4000), MemoryMiB: 500 + rng.Int64N(4000), EstimateMs: 2500, Image: fmt.Sprintf("f%d", rng.IntN(6))}
	switch rng.IntN(4) {
	case 0:
		step.LongRunning, step.TailTargetMs, step.Image = true, tailTarget, fmt.Sprintf("s%d", rng.IntN(4))
	case 1:
	default:
		step.UsesSpareCPU = true
	}
	switch rng.IntN(5) {
	case 0:
		step.RequiredLabel = "rack1"
	case 1:
		step.DataRack = "rack2"
	case 2:
		step.MaxPerWorker = 1 + rng.IntN(2)
	}
	q := PendingRun{Job: testJob(fmt.Sprintf("j%d", i), i%3, step)}
	q.Job.AcceptedAt = p.Now
	if rng.IntN(2) == 0 {
		tasks := make([]workflow.Task, step.Count)
		for t := range tasks {
			if rng.IntN(3) == 0 {
				failedOn := p.Workers[rng.IntN(len(p.Workers))].Incarnation
				tasks[t] = workflow.Task{Attempt: 1, Failures: 1, Incarnation: failedOn, WaitingAt: p.Now}
			}
		}
		q.Run = &workflow.Run{Steps: []workflow.StepRun{{Tasks: tasks}}}
	}
	return q
}

// Guards against a ranking that is out of date: each task must be placed on the worker that rating
// every worker for it finds.
func TestRankingFindsTheBestWorker(t *testing.T) {
	placed := 0
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		p, state := randomSnapshot(rng)
		runs := map[workflow.JobID]PendingRun{}
		for _, q := range p.PendingRuns {
			runs[q.Job.ID] = q
		}
		assignments, waits := Plan(p, state)
		exhaustive := &pass{now: p.Now, interference: state.InterferenceModel, usable: p.Workers}
		exhaustive.buildCandidates()
		for i, a := range assignments {
			q := runs[a.Attempt.Task.Job]
			n := exhaustive.needsOf(q, a.Attempt.Task.Step)
			task := workflow.Task{}
			if q.Run != nil {
				task = q.Run.Steps[a.Attempt.Task.Step].Tasks[a.Attempt.Task.Index]
			}
			best, reason := exhaustive.best(n, task, false)
			if best == nil || best.worker.Incarnation != a.Incarnation {
				t.Fatalf("seed %d, assignment %d (%v): placed on %v, want %v (%v)", seed, i, a.Attempt, a.Incarnation, best, reason)
			}
			best.reserve(n.spec, a.Attempt.Task)
			best.consumeHeadroom(&n, 1)
			placed++
		}
		for _, wait := range waits {
			n := exhaustive.needsOf(runs[wait.Job], wait.Step)
			best, _ := exhaustive.best(n, workflow.Task{}, false)
			budget := wait.Reason == WaitShortTaskReserve || wait.Reason == WaitNoWorker
			if !budget && best != nil {
				t.Errorf("seed %d: %v waits because %v, but a worker is free", seed, wait.Job, wait.Reason)
			}
		}
	}
	if placed < 1000 {
		t.Errorf("only %d tasks were placed", placed)
	}
}

// Guards against a wait that is explained by another reason than the ranking's.
func TestRankingNamesTheObstacle(t *testing.T) {
	for seed := range uint64(100) {
		p, state := randomSnapshot(rand.New(rand.NewPCG(seed, 1)))
		pass := &pass{now: p.Now, interference: state.InterferenceModel, usable: p.Workers}
		pass.buildCandidates()
		for _, q := range p.PendingRuns {
			n := pass.needsOf(q, 0)
			ranking := pass.newRanking(n)
			for {
				worker, reason := ranking.best()
				if wantWorker, wantReason := pass.best(n, workflow.Task{}, false); worker != wantWorker || (worker == nil && reason != wantReason) {
					t.Fatalf("seed %d: worker %v because %v, want %v because %v", seed, worker, reason, wantWorker, wantReason)
				}
				if worker == nil {
					break
				}
				worker.reserve(n.spec, workflow.TaskKey{Job: q.Job.ID})
				worker.consumeHeadroom(&n, 1)
				ranking.update(worker)
			}
		}
	}
}

// Guards against a change of the decisions with the time that they are made at: the same snapshot
// gives the same assignments.
func TestPlanIsDeterministic(t *testing.T) {
	for seed := range uint64(20) {
		first, _ := Plan(randomSnapshot(rand.New(rand.NewPCG(seed, 1))))
		second, _ := Plan(randomSnapshot(rand.New(rand.NewPCG(seed, 1))))
		if fmt.Sprint(first) != fmt.Sprint(second) {
			t.Errorf("seed %d: %d and %d assignments differ", seed, len(first), len(second))
		}
	}
}

// Guards against a wrong conclusion from an earlier step with another image, and against headrooms that depend on
// when they are computed: the plan must be the one without such conclusions and with all headrooms computed first.
func TestPlanEqualsExhaustivePlan(t *testing.T) {
	waiting := 0
	for seed := range uint64(300) {
		p, state := randomSnapshot(rand.New(rand.NewPCG(seed, 2)))
		if seed%2 == 0 {
			p.Workers = p.Workers[:5] // so that many steps find no room
		}
		assignments, waits := Plan(p, state)
		waiting += len(waits)
		q, state := randomSnapshot(rand.New(rand.NewPCG(seed, 2)))
		q.Workers = q.Workers[:len(p.Workers)]
		exhaustive := newPass(q, state)
		exhaustive.buildCandidates()
		for _, c := range exhaustive.candidates {
			c.headroomsFor(&needs{coefficients: exhaustive.coefficientsOf("")})
		}
		// With a task that may be a suspect, no step is left out because of one with another image.
		exhaustive.cautions.StartAlone = map[workflow.TaskKey]bool{{Job: "another"}: true}
		exhaustive.placeRuns(q)
		if !reflect.DeepEqual(assignments, exhaustive.assignments) || !reflect.DeepEqual(waits, exhaustive.waits) {
			t.Fatalf("seed %d: the plan is %v, waits %v; exhaustively it is %v, waits %v", seed, assignments, waits, exhaustive.assignments, exhaustive.waits)
		}
	}
	if waiting < 1000 {
		t.Errorf("only %d steps waited", waiting)
	}
}
