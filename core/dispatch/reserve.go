package dispatch

import (
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
)

// ShortTaskReserve computes how many cores first starts of long-running tasks must leave free
// for short tasks. Otherwise long-running tasks could reserve every core for minutes, while a
// caller's short job, which is worth several times as much per core, waits.
type ShortTaskReserve struct {
	peaks map[string]*peak // by service
}

// peak is the highest recent demand of short tasks, in millicores. It decays over time.
type peak struct {
	demand float64
	at     model.Millis
}

const (
	reserveDecay  = 0.04 // fraction of the peak that decays per second
	reserveFactor = 1.2  // reserve as a multiple of the recent peak
	minReserve    = 0.05 // share of a service's cores; covers short jobs before any were seen
	maxReserve    = 0.15 // share of a service's cores
)

// NewShortTaskReserve returns a reserve that has recorded no demand.
func NewShortTaskReserve() *ShortTaskReserve { return &ShortTaskReserve{peaks: map[string]*peak{}} }

// recordDemand updates the peaks with the present demand: the CPU of short tasks that run and
// of those that are ready to start.
func (r *ShortTaskReserve) recordDemand(p *Snapshot) {
	demand := map[string]float64{}
	for _, w := range p.Workers {
		load := w.load()
		if load.Short > 0 {
			demand[w.Service] += float64(load.shortCPU())
		}
	}
	add := func(service string, cpu float64) {
		if cpu > 0 {
			demand[service] += cpu
		}
	}
	for _, q := range p.PendingRuns {
		add(q.Job.Service, readyShortCPU(q))
	}
	for _, b := range p.Backlogs {
		// A longer backlog is work for later and must not keep long-running tasks from starting until it is done.
		add(b.Job.Service, readyShortCPU(PendingRun{Job: b.Job})*float64(min(b.Unstarted(), maxWaitingOccurrences)))
	}
	for service, value := range demand {
		known := r.peaks[service]
		if known == nil {
			known = &peak{at: p.Now}
			r.peaks[service] = known
		}
		elapsed := float64(max(0, p.Now-known.at)) / 1000
		known.demand = max(value, known.demand*max(0, 1-reserveDecay*elapsed))
		known.at = p.Now
	}
}

// readyShortCPU returns the millicores of the short tasks of a run that are ready to start.
func readyShortCPU(q PendingRun) float64 {
	if !hasShortStep(q.Job) {
		return 0
	}
	total := 0.0
	q.Job.ReadyTasks(q.Run, func(step, _ int, _ workflow.Task) {
		if spec := &q.Job.Steps[step]; isShort(spec) {
			total += float64(spec.CPUMillis)
		}
	})
	return total
}

func hasShortStep(job *workflow.Job) bool {
	for i := range job.Steps {
		if isShort(&job.Steps[i]) {
			return true
		}
	}
	return false
}

// isShort reports whether the tasks of a step reserve cores and end by themselves.
func isShort(step *workflow.StepSpec) bool { return !step.LongRunning && !step.UsesSpareCPU }

// firstStartBudget returns the millicores that first starts of long-running tasks may still
// reserve, by service.
func (r *ShortTaskReserve) firstStartBudget(p *Snapshot) map[string]int64 {
	r.recordDemand(p)
	free, capacity := map[string]float64{}, map[string]float64{}
	for _, w := range p.Workers {
		if !w.Usable {
			continue
		}
		capacity[w.Service] += float64(w.CPUMillis)
		free[w.Service] += float64(w.CPUMillis)
		load := w.load()
		free[w.Service] -= float64(load.LastingCPU)
	}
	firstStartBudget := map[string]int64{}
	for service, available := range free {
		reserved := minReserve * capacity[service]
		if known := r.peaks[service]; known != nil {
			reserved = max(reserved, reserveFactor*known.demand)
		}
		firstStartBudget[service] = int64(available - min(reserved, maxReserve*capacity[service]))
	}
	return firstStartBudget
}

// usesFirstStartBudget reports whether the start of a task is charged to the budget. Restarts are not
// limited, because a task that ran before must run again soon, however little capacity is free.
func usesFirstStartBudget(spec *workflow.StepSpec, task workflow.Task) bool {
	return spec.LongRunning && !spec.UsesSpareCPU && task.Attempt == 0
}

// takeFirstStartBudget charges the first start of a long-running task to the budget of its
// service and reports whether the budget allows it.
func (p *pass) takeFirstStartBudget(job *workflow.Job, spec *workflow.StepSpec, task workflow.Task) bool {
	if !usesFirstStartBudget(spec, task) {
		return true
	}
	if p.firstStartBudget[job.Service] < spec.CPUMillis {
		return false
	}
	p.firstStartBudget[job.Service] -= spec.CPUMillis
	return true
}
