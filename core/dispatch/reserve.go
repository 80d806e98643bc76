package dispatch

import (
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
)

// Reserve is the capacity that first starts of long-running tasks leave to short tasks. The
// load that it answers: long-running tasks that reserve every core for minutes, so that a
// caller's quick job waits although it would be worth several times as much per core.
type Reserve struct {
	peaks map[string]*peak // by service
}

// peak is the highest recent demand of short tasks, in thousandths of a core.
type peak struct {
	demand float64
	at     model.Millis
}

const (
	reserveDecay  = 0.04 // of the peak, a second
	reserveFactor = 1.2  // of the recent peak
	leastReserve  = 0.05 // of a service's cores; covers quick jobs before any were seen
	mostReserve   = 0.15
)

// NewReserve returns a reserve without experience.
func NewReserve() *Reserve { return &Reserve{peaks: map[string]*peak{}} }

// observe notes the present demand: what short tasks hold and what waits.
func (r *Reserve) observe(p *Snapshot) {
	demand := map[string]float64{}
	for _, w := range p.Workers {
		for i := range w.Residents {
			if step := w.Residents[i].Step; short(step) {
				demand[w.Service] += float64(step.CPUMillis)
			}
		}
	}
	for _, q := range p.PendingRuns {
		q.Job.ReadyTasks(q.Run, func(step, _ int, _ workflow.Task) {
			if spec := &q.Job.Steps[step]; short(spec) {
				demand[q.Job.Service] += float64(spec.CPUMillis)
			}
		})
	}
	for service, value := range demand {
		known := r.peaks[service]
		if known == nil {
			known = &peak{at: p.Now}
			r.peaks[service] = known
		}
		passed := float64(max(0, p.Now-known.at)) / 1000
		known.demand = max(value, known.demand*max(0, 1-reserveDecay*passed))
		known.at = p.Now
	}
}

// short reports whether a task reserves cores and ends by itself.
func short(step *workflow.StepSpec) bool { return !step.LongRunning && !step.UsesSpareCPU }

// budget is what first starts of long-running tasks may still reserve, by service.
func (r *Reserve) budget(p *Snapshot) map[string]int64 {
	r.observe(p)
	free, capacity := map[string]float64{}, map[string]float64{}
	for _, w := range p.Workers {
		if !w.Usable {
			continue
		}
		capacity[w.Service] += float64(w.CPUMillis)
		free[w.Service] += float64(w.CPUMillis)
		for i := range w.Residents {
			if step := w.Residents[i].Step; step.LongRunning && !step.UsesSpareCPU {
				free[w.Service] -= float64(step.CPUMillis)
			}
		}
	}
	budget := map[string]int64{}
	for service, left := range free {
		kept := leastReserve * capacity[service]
		if known := r.peaks[service]; known != nil {
			kept = max(kept, reserveFactor*known.demand)
		}
		budget[service] = int64(left - min(kept, mostReserve*capacity[service]))
	}
	return budget
}
