package dispatch

import "samphirepaddle.example/core/workflow"

// Load is what the attempts on a worker hold together. A pass needs these sums several times for each worker,
// and the attempts of most workers do not change from one pass to the next.
type Load struct {
	MemoryMiB     int64
	Accelerators  int64
	ReservedCPU   int64 // in millicores
	BestEffortCPU int64 // declared by tasks that use spare CPU, which reserve none
	LastingCPU    int64 // the part of ReservedCPU that long-running tasks reserve
	ExpectedUse   int64 // millicores that best-effort tasks are expected not to find spare
	LongRunning   int   // number of long-running tasks that reserve CPU
	Short         int   // number of short tasks
}

// LoadOf sums up the allocations of a worker.
func LoadOf(allocations []Allocation) Load {
	var l Load
	for i := range allocations {
		l.account(allocations[i].Step, 1)
	}
	return l
}

// account adds (sign 1) or subtracts (sign -1) what a task of the step holds.
func (l *Load) account(step *workflow.StepSpec, sign int64) {
	cpu := sign * step.CPUMillis
	l.MemoryMiB += sign * step.MemoryMiB
	l.Accelerators += sign * step.Accelerators
	switch {
	case step.UsesSpareCPU:
		l.BestEffortCPU += cpu
		l.ExpectedUse += cpu
	case step.LongRunning:
		l.LongRunning += int(sign)
		l.ReservedCPU += cpu
		l.LastingCPU += cpu
		l.ExpectedUse += int64(expectedServingUse * float64(cpu))
	default:
		l.Short += int(sign)
		l.ReservedCPU += cpu
		l.ExpectedUse += int64(expectedOtherUse * float64(cpu))
	}
}

// shortCPU returns the millicores that short tasks reserve.
func (l *Load) shortCPU() int64 { return l.ReservedCPU - l.LastingCPU }

// load returns what the attempts on the worker hold.
func (w *Worker) load() Load {
	if w.Load != nil {
		return *w.Load
	}
	return LoadOf(w.Allocations)
}
