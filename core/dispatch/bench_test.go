package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
)

const largestWorkers = 1100

// largestDeployment returns the largest supported deployment: workers full of serving and
// best-effort tasks, and waiting steps of short tasks, some with reserved CPU and some that use
// spare CPU.
func largestDeployment() (*Snapshot, *PlannerState) {
	rng := rand.New(rand.NewPCG(1, 1))
	state := NewPlannerState()
	p := &Snapshot{Now: 1000}
	for i := range largestWorkers {
		w := testWorker(fmt.Sprintf("w%03d", i), workerCPUMillis, 64_000)
		for j := range 3 {
			step := &workflow.StepSpec{Count: 6, CPUMillis: 2500, MemoryMiB: 5000, LongRunning: true, TailTargetMs: tailTarget, Image: fmt.Sprintf("s%d", (i+j)%5)}
			w.Allocations = append(w.Allocations, allocation(w, fmt.Sprintf("serving%d", (3*i+j)/24), j, step))
		}
		for j := range rng.IntN(7) {
			step := &workflow.StepSpec{Count: 1, CPUMillis: 1800, MemoryMiB: 3000, UsesSpareCPU: true, Image: fmt.Sprintf("f%d", rng.IntN(9))}
			w.Allocations = append(w.Allocations, allocation(w, fmt.Sprintf("best-effort%d-%d", i, j), 0, step))
		}
		p.Workers = append(p.Workers, w)
	}
	for i := range 80 {
		step := workflow.StepSpec{Count: 40, CPUMillis: 1500 + rng.Int64N(1000), MemoryMiB: 3000, EstimateMs: 2500, UsesSpareCPU: i%4 > 0, Image: fmt.Sprintf("f%d", i%9)}
		p.PendingRuns = append(p.PendingRuns, PendingRun{Job: testJob(fmt.Sprintf("j%d", i), i%4, step)})
	}
	return p, state
}

func allocation(w *Worker, job string, index int, step *workflow.StepSpec) Allocation {
	key := workflow.TaskKey{Job: workflow.JobID(job), Index: index}
	return Allocation{
		OpenAttempt: workflow.OpenAttempt{Attempt: workflow.Attempt{Task: key, Number: 1}, Incarnation: w.Incarnation, Step: step},
		Listed:      true, Percent: 100, Pace: 100, TailMs: 20, CPUUsed: step.CPUMillis,
	}
}

func BenchmarkPlan(b *testing.B) {
	p, state := largestDeployment()
	for b.Loop() {
		Plan(p, state)
	}
}

// BenchmarkAdjust processes new samples of every worker.
func BenchmarkAdjust(b *testing.B) {
	p, state := largestDeployment()
	for b.Loop() {
		p.Now += 500
		for i, w := range p.Workers {
			for j := range w.Allocations {
				w.Allocations[j].TailMs = 20 + model.Millis((i+j)%7) + p.Now/500%3
			}
			state.InterferenceModel.Adjust(p.Now, w, p.Now)
		}
	}
}
