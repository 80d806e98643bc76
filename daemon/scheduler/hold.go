package scheduler

import (
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/placement"
	"samphirepaddle.example/core/state"
)

// hold keeps new work off one target until a certain job fits there. Without it, smaller jobs
// would take the capacity that an eviction frees for an urgent job before enough is free, and a
// large job would wait forever while smaller ones arrive.
type hold struct {
	job    model.JobID
	pool   model.PoolID
	urgent bool
	until  model.Millis // from this time on the hold is dropped and another target may be held
}

// Durations of holds, and of the wait before one.
const (
	// urgentHold covers the checkpoints and stops of the evicted tasks.
	urgentHold = model.Millis(5_000)
	// waitBeforeHold is how long a job that is not urgent waits before a target is kept free
	// for it.
	waitBeforeHold = model.Millis(60_000)
	// longWaitHold is how long a target is kept free for such a job; tasks of unknown run time
	// drain meanwhile.
	longWaitHold = model.Millis(10 * 60_000)
)

func (p *planner) holdTarget(target model.TargetID, job placement.Job, until model.Millis) {
	delete(p.heldFor, p.holds[target].job)
	p.holds[target] = hold{job: job.ID, pool: job.Pool, urgent: job.Urgent, until: until}
	p.heldFor[job.ID] = target
	p.placer.SetBlocked(target, p.holds[target].reason())
}

func (h hold) reason() string { return "it is kept free for job " + string(h.job) }

func (p *planner) dropHold(target model.TargetID) {
	delete(p.heldFor, p.holds[target].job)
	delete(p.holds, target)
	p.dirtyTargets[target] = true
}

// placeHeldJobs places the jobs that now fit on the targets kept free for them. It drops expired
// holds, holds for jobs that no longer wait, and holds on unusable targets.
func (p *planner) placeHeldJobs(st *state.State, now model.Millis) []state.Command {
	var commands []state.Command
	for target, h := range p.holds {
		job := st.Jobs[h.job]
		known := p.targets[target]
		waits := job != nil && job.Phase == state.JobQueued && job.NeverRunnableReason == ""
		if !waits || now >= h.until || known == nil || !usable(&known.state) {
			p.dropHold(target)
			continue
		}
		candidate := p.jobOf(job)
		if now < p.jobRefusals[h.job].until || p.pendingAssignments[candidate.Attempt] || p.tenants.CheckQuota(candidate.Tenant, candidate.Size) != nil {
			continue
		}
		isolated := p.isolations[target].Job != "" || (job.IsSuspect() && len(p.placer.Tasks(target)) > 0)
		if isolated && !h.urgent {
			continue
		}
		p.placer.SetBlocked(target, "")
		if command := p.assign(st, placement.Decision{Job: candidate, Target: target}); command != nil {
			commands = append(commands, command...)
			p.dropHold(target)
			continue
		}
		p.placer.SetBlocked(target, h.reason())
	}
	p.updateTargets(st, now)
	return commands
}

func usable(t *state.Target) bool {
	return !t.Lost && !t.Leaving && t.Owner != "" && t.QuarantineReason == ""
}

// holdForLongWaiting keeps a target free for a job that has waited long, at most one target in
// each pool. Of the targets that are large enough, it picks the one with the fewest tasks.
func (p *planner) holdForLongWaiting(st *state.State, job placement.Job, now model.Millis) {
	if now-st.Jobs[job.ID].QueuedAt < waitBeforeHold || p.hasLongWaitHold(job.Pool) {
		return
	}
	best, fewest := model.TargetID(""), 0
	for id, known := range p.targets {
		t := &known.state
		if t.Pool != job.Pool || !usable(t) || p.holds[id].job != "" {
			continue
		}
		if !job.Size.Fits(t.Capacity.Sub(keptOn(st.Config, t.Pool))) {
			continue
		}
		running := len(p.placer.Tasks(id))
		if best == "" || running < fewest || (running == fewest && id < best) {
			best, fewest = id, running
		}
	}
	if best != "" {
		p.holdTarget(best, job, now+longWaitHold)
	}
}

// openHeldTargets unblocks the targets of a pool that are blocked only because they are kept free
// for jobs that are not urgent, and returns them. closeTargets must follow before the next job is
// placed.
func (p *planner) openHeldTargets(pool model.PoolID, now model.Millis) []model.TargetID {
	var opened []model.TargetID
	for id, h := range p.holds {
		if h.pool == pool && !h.urgent && p.openTarget(id, h.reason(), now) {
			opened = append(opened, id)
		}
	}
	return opened
}

// openTarget unblocks a target if it is blocked for the given reason only.
func (p *planner) openTarget(id model.TargetID, reason string, now model.Millis) bool {
	if p.blockReason(&p.targets[id].state, p.reports[id], now) != reason {
		return false
	}
	p.placer.SetBlocked(id, "")
	return true
}

// closeTargets restores the reasons for which targets take no new work.
func (p *planner) closeTargets(ids []model.TargetID, now model.Millis) {
	for _, id := range ids {
		p.placer.SetBlocked(id, p.blockReason(&p.targets[id].state, p.reports[id], now))
	}
}

// hasLongWaitHold reports whether a target of the pool is kept free for a job that is not urgent.
func (p *planner) hasLongWaitHold(id model.PoolID) bool {
	for _, h := range p.holds {
		if h.pool == id && !h.urgent {
			return true
		}
	}
	return false
}
