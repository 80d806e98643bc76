package scheduler

import (
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/placement"
	"samphirepaddle.example/core/state"
)

// A hold keeps new work off one target until a certain job fits there. Without it, room that
// is made for an urgent job is taken by smaller jobs before all of it is free, and a large
// job waits for ever while smaller ones come.
type hold struct {
	job    model.JobID
	pool   model.PoolID
	urgent bool
	until  model.Millis // the hold is given up after this time and another target is tried
}

// Times of holds.
const (
	// urgentHold covers the checkpoint and the stop of the victims.
	urgentHold = model.Millis(5_000)
	// waitBeforeHold is how long a job waits before a target is kept free for it.
	waitBeforeHold = model.Millis(60_000)
	// patientHold is how long a target is kept free; tasks of unknown run time drain meanwhile.
	patientHold = model.Millis(10 * 60_000)
)

func (p *picture) keep(target model.TargetID, job placement.Job, until model.Millis) {
	p.holds[target] = hold{job: job.ID, pool: job.Pool, urgent: job.Urgent, until: until}
	p.heldFor[job.ID] = target
	p.placer.SetBlocked(target, p.holds[target].reason())
}

func (h hold) reason() string { return "it is kept free for job " + string(h.job) }

func (p *picture) dropHold(target model.TargetID) {
	delete(p.heldFor, p.holds[target].job)
	delete(p.holds, target)
	p.dirty[target] = true
}

// serveHolds places the jobs that now fit on the targets kept for them, and ends the holds
// of jobs that no longer wait.
func (p *picture) serveHolds(st *state.State, now model.Millis) []state.Command {
	var commands []state.Command
	for target, h := range p.holds {
		job := st.Jobs[h.job]
		known := p.known[target]
		waits := job != nil && job.Phase == state.JobQueued && job.NeverRunnableReason == ""
		if !waits || now >= h.until || known == nil || !usable(&known.state) {
			p.dropHold(target)
			continue
		}
		candidate := p.jobOf(job)
		if p.pending[candidate.Attempt] || p.tenants.CheckQuota(candidate.Tenant, candidate.Size) != nil {
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

// keepForPatient keeps a target free for a job that has waited long, one for each pool. It
// takes the target on which the least is running, of those large enough.
func (p *picture) keepForPatient(st *state.State, job placement.Job, now model.Millis) {
	if now-st.Jobs[job.ID].QueuedAt < waitBeforeHold || p.holdsIn(job.Pool) {
		return
	}
	best, fewest := model.TargetID(""), 0
	for id, known := range p.known {
		t := &known.state
		if t.Pool != job.Pool || !usable(t) || p.holds[id].job != "" {
			continue
		}
		if !job.Size.Fits(t.Capacity.Sub(keptOf(st.Config, t.Pool))) {
			continue
		}
		running := len(p.placer.Tasks(id))
		if best == "" || running < fewest || (running == fewest && id < best) {
			best, fewest = id, running
		}
	}
	if best != "" {
		p.keep(best, job, now+patientHold)
	}
}

// holdsIn reports whether a target of the pool is kept for a job that is not urgent.
func (p *picture) holdsIn(id model.PoolID) bool {
	for _, h := range p.holds {
		if h.pool == id && !h.urgent {
			return true
		}
	}
	return false
}
