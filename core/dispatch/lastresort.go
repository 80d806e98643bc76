package dispatch

import (
	"slices"

	"samphirepaddle.example/core/workflow"
)

// mayUseLastResort reports whether a task may be placed on a worker of last resort. Restarts of
// long-running tasks may: they may fail any number of times, and their users miss them. So may one task of
// a starved run, because a quarantine is a preference for other workers and not worth a longer wait: the
// worker may have recovered, which only a start shows. The last attempt of a task does not test a worker.
func (p *pass) mayUseLastResort(job *workflow.Job, spec *workflow.StepSpec, task workflow.Task, starved bool) bool {
	switch {
	case len(p.lastResorts) == 0 || spec.Gang:
		return false
	case spec.LongRunning && !spec.UsesSpareCPU && task.Attempt > 0:
		return true
	}
	return starved && (spec.LongRunning || job.MaxFailures == 0 || task.Failures+1 < job.MaxFailures)
}

// takeLastResort returns the worker of last resort for a task, or nil. A worker gets at most one task
// in a pass.
func (p *pass) takeLastResort(job *workflow.Job, n needs, task workflow.Task, starved bool) *candidate {
	if !p.mayUseLastResort(job, n.spec, task, starved) {
		return nil
	}
	best, bestScore, at := (*candidate)(nil), 0.0, 0
	for i, w := range p.lastResorts {
		c := newCandidate(w, notRanked)
		if score, _, ok := c.rate(&n, task, starved); ok && (best == nil || score > bestScore) {
			best, bestScore, at = c, score, i
		}
	}
	if best != nil {
		p.lastResorts = slices.Delete(p.lastResorts, at, at+1)
	}
	return best
}
