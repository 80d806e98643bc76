package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"samphirepaddle.example/core/workflow"
)

// Guards against a gang that can't start and keeps others from starting in each pass: it took the cores that the
// reserve for short tasks leaves, or the headroom of serving tasks.
func TestGangThatCannotStartTakesNothing(t *testing.T) {
	lasting := workflow.StepSpec{Count: 2, CPUMillis: 4500, MemoryMiB: 10, LongRunning: true}
	bestEffort := workflow.StepSpec{Count: 1, CPUMillis: 1000, MemoryMiB: 10, UsesSpareCPU: true, Image: "f"}
	for name, step := range map[string]workflow.StepSpec{"first starts": lasting, "headroom": bestEffort} {
		workers, state := interferingFleet("s", 2)
		state.InterferenceModel.setCoefficient("s", "f", 1)
		gang := step
		gang.Gang, gang.Count, gang.MemoryMiB = true, 3, 600 // the third member does not fit
		if name == "headroom" {
			gang.CPUMillis = 2500
		}
		assigned, waits := Plan(newSnapshot(workers, testJob("gang", 0, gang), testJob("other", 1, step)), state)
		if got := len(placed(assigned, "other")); got != step.Count || len(assigned) != got {
			t.Errorf("%s: %d of %d tasks start; assigned %v, waits %+v", name, got, step.Count, assigned, waits)
		}
	}
}

// Guards against a step that is skipped although a worker has room for it: because an earlier one was not placed, because a
// gang took the room and gave it back, or because a worker was kept for a suspect.
func TestWaitingTasksFitOnNoWorker(t *testing.T) {
	checked := 0
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 3))
		p, state, runs := &Snapshot{Now: 1000}, NewPlannerState(), map[workflow.JobID]PendingRun{}
		for i := range 2 + random.IntN(6) {
			p.Workers = append(p.Workers, workerOfAnySize(random, fmt.Sprint("w", i)))
		}
		for i := range 12 {
			q := runOfAnyKind(random, fmt.Sprint("j", i))
			q.Job.AcceptedAt = p.Now
			p.PendingRuns, runs[q.Job.ID] = append(p.PendingRuns, q), q
		}
		assigned, waits := Plan(p, state)
		after := &pass{now: p.Now, interference: state.InterferenceModel, usable: slices.DeleteFunc(slices.Clone(p.Workers), func(w *Worker) bool { return !w.Usable })}
		after.buildCandidates()
		for _, a := range assigned {
			for _, c := range after.candidates {
				if c.worker.Incarnation == a.Incarnation {
					q := runs[a.Attempt.Task.Job]
					c.reserve(&q.Job.Steps[0], a.Attempt.Task)
					c.isolated = c.isolated || (!q.Job.Steps[0].Gang && q.Job.IsSuspect(a.Attempt.Task))
				}
			}
		}
		for _, wait := range waits {
			q := runs[wait.Job]
			if q.Job.Steps[0].Gang || wait.Reason == WaitIsolation || wait.Reason == WaitShortTaskReserve {
				continue
			}
			checked++
			if best, _ := after.best(after.needsOf(q, 0), workflow.Task{}, false); best != nil {
				t.Errorf("seed %d: job %s waits because %v, but fits on %s", seed, wait.Job, wait.Reason, best.worker.Incarnation.Worker)
			}
		}
	}
	if checked < 1000 {
		t.Errorf("only %d waits were checked", checked)
	}
}
