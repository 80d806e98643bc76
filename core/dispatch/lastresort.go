package dispatch

import (
	"slices"

	"samphirepaddle.example/core/workflow"
)

// mayUseLastResort reports whether a task may be placed on a worker of last resort. Only restarts of
// long-running tasks may: they may fail any number of times, and their users miss them.
func (p *pass) mayUseLastResort(spec *workflow.StepSpec, task workflow.Task) bool {
	return len(p.lastResorts) > 0 && spec.LongRunning && !spec.UsesSpareCPU && !spec.Gang && task.Attempt > 0
}

// takeLastResort returns the worker of last resort for a task, or nil. A worker gets at most one task
// in a pass.
func (p *pass) takeLastResort(n needs, task workflow.Task) *candidate {
	if !p.mayUseLastResort(n.spec, task) {
		return nil
	}
	best, bestScore, at := (*candidate)(nil), 0.0, 0
	for i, w := range p.lastResorts {
		c := newCandidate(w, notRanked)
		if score, _, ok := c.rate(&n, task, false); ok && (best == nil || score > bestScore) {
			best, bestScore, at = c, score, i
		}
	}
	if best != nil {
		p.lastResorts = slices.Delete(p.lastResorts, at, at+1)
	}
	return best
}
