package dispatch

import (
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
)

// maxIsolationWait is how long a weak suspect waits for a worker of its own. After that weak suspects that start
// in the same pass share workers. When whole racks crash, hundreds of tasks are suspect at once, and a worker takes
// 0.75 s to clear one: without sharing they waited for 25 s beside free workers. Suspects of several crashes do
// not share: with 4 tasks among 260 that crash their workers, 4 of 10 sound jobs were given up (simulated).
const maxIsolationWait = model.Millis(1000)

// isSuspect reports whether the task may crash the worker that starts it. The members of a gang are not told
// apart, because they start together.
func (p *pass) isSuspect(job *workflow.Job, key workflow.TaskKey) bool {
	return !job.Steps[key.Step].Gang && (job.IsSuspect(key) || p.cautions.StartAlone[key])
}

// isSharable reports whether other suspects may start beside a suspect.
func (p *pass) isSharable(job *workflow.Job, key workflow.TaskKey) bool {
	return p.isSuspect(job, key) && job.IsWeakSuspect(key) && !p.cautions.StartAlone[key]
}

// mayShareIsolation reports whether a suspect may start beside other suspects of this pass.
func (p *pass) mayShareIsolation(job *workflow.Job, key workflow.TaskKey, task workflow.Task) bool {
	return p.now-task.WaitingAt > maxIsolationWait && p.isSharable(job, key)
}

// mayShare reports whether the step has a suspect that may start beside others.
func (p *pass) mayShare(q PendingRun, ready readyStep) bool {
	for _, waiting := range ready.tasks {
		key := workflow.TaskKey{Job: q.Job.ID, Occurrence: q.Occurrence, Step: ready.step, Index: waiting.index}
		if p.mayShareIsolation(q.Job, key, waiting.task) {
			return true
		}
	}
	return false
}

// workerForSuspect returns the worker on which a suspect starts: one of its own if there is one, otherwise,
// if mayShare is set, one that it shares with suspects of this pass. If there is none it returns the reason,
// which is the given obstacle unless the isolation of other suspects is in the way.
func (p *pass) workerForSuspect(n needs, task workflow.Task, mayShare, starved bool, obstacle WaitReason) (*candidate, WaitReason) {
	if p.mayIsolate(n.service) {
		if c := p.leastLoaded(n, task, starved); c != nil {
			return c, 0
		}
	} else {
		obstacle = WaitIsolation
	}
	if mayShare {
		return p.leastShared(n, task, starved), obstacle
	}
	return nil, obstacle
}

// leastShared returns the worker with room that has the fewest suspects of this pass.
func (p *pass) leastShared(n needs, task workflow.Task, starved bool) *candidate {
	var best *candidate
	for _, c := range p.candidates {
		if !c.sharable || (best != nil && len(c.assigned) >= len(best.assigned)) {
			continue
		}
		c.isolated = false
		_, _, ok := c.rate(&n, task, starved)
		c.isolated = true
		if ok {
			best = c
		}
	}
	return best
}

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
