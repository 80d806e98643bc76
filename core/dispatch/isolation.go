package dispatch

import "samphirepaddle.example/core/workflow"

// leastLoaded returns the feasible worker with the fewest attempts, and among those the one with the
// highest score. A task that is suspected of crashing workers starts there, because a crash ends
// everything that runs beside it.
func (p *pass) leastLoaded(n needs, task workflow.Task, starved bool) *candidate {
	var best *candidate
	bestScore := 0.0
	for _, c := range p.candidates {
		score, _, ok := c.rate(&n, task, starved)
		if !ok {
			continue
		}
		if best == nil || c.attempts() < best.attempts() || (c.attempts() == best.attempts() && score > bestScore) {
			best, bestScore = c, score
		}
	}
	return best
}

// attempts returns the number of attempts on the worker, with those of this pass.
func (c *candidate) attempts() int { return len(c.worker.Allocations) + len(c.assigned) }

// mayIsolate reports whether one more suspect may start on a worker of the service. At most three
// quarters of the workers start nothing else at a time, so that other tasks do not wait for the suspects.
func (p *pass) mayIsolate(service string) bool {
	isolated, total := 0, 0
	for _, c := range p.candidates {
		if c.worker.Service != service {
			continue
		}
		total++
		if c.isolated {
			isolated++
		}
	}
	return isolated == 0 || 4*(isolated+1) <= 3*total
}
