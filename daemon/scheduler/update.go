package scheduler

import (
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/placement"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/syncmsg"
)

// update brings the planner up to date with the state and the owners' reports. It processes only
// what changed since the last update: at 1,400 targets, processing everything took 36 ms, during
// which the state was locked.
func (p *planner) update(st *state.State, summaries map[model.TargetID]syncmsg.TargetSummary, now model.Millis) []state.Command {
	changes, known := st.ChangesSince(p.revision)
	if !known || p.revision == 0 {
		changes = allChanges(st, p)
	}
	if p.configRevision != st.Config.Revision {
		p.configRevision = st.Config.Revision
		for _, tenant := range st.Config.Tenants {
			p.tenants.SetTenant(tenant)
		}
		for id, pool := range st.Config.Pools {
			p.placer.SetWeights(id, pool.Weights)
		}
		for id := range p.targets {
			p.dirtyTargets[id] = true
		}
	}
	p.revision = st.Revision
	var commands []state.Command
	for _, id := range changes.Jobs {
		p.dirtyJobs[id] = true
	}
	for _, id := range changes.Targets {
		p.dirtyTargets[id] = true
	}
	p.takeReports(summaries, now)
	p.endProvenIsolations(now)
	// Targets come before jobs, because an attempt can only be tracked on a known target.
	p.updateTargets(st, now)
	for id := range p.dirtyJobs {
		commands = append(commands, p.updateJob(st, id, now)...)
	}
	clear(p.dirtyJobs)
	p.updateTargets(st, now)
	p.tenants.SetTotal(p.capacity)
	return commands
}

// allChanges returns all targets and all jobs with an open attempt, known to the planner or to the
// state.
func allChanges(st *state.State, p *planner) state.Changes {
	var all state.Changes
	for id := range p.targets {
		all.Targets = append(all.Targets, id)
	}
	for id := range p.trackedByJob {
		all.Jobs = append(all.Jobs, id)
	}
	for id := range st.Targets {
		all.Targets = append(all.Targets, id)
		for _, job := range st.OpenJobsOn(id) {
			all.Jobs = append(all.Jobs, job.Spec.ID)
		}
	}
	return all
}

// takeReports stores the summaries and marks as dirty the targets with a new summary and those
// whose pause after a refusal has ended.
func (p *planner) takeReports(summaries map[model.TargetID]syncmsg.TargetSummary, now model.Millis) {
	for id, summary := range summaries {
		if p.reports[id].Epoch <= summary.Epoch {
			p.reports[id] = summary
			p.dirtyTargets[id] = true
		}
	}
	for id, refused := range p.refusals {
		if refused.until <= now && !refused.reopened {
			refused.reopened = true
			p.refusals[id] = refused
			p.dirtyTargets[id] = true
		}
	}
}

func (p *planner) updateTargets(st *state.State, now model.Millis) {
	for id := range p.dirtyTargets {
		if target, ok := st.Targets[id]; ok {
			p.updateTarget(st, target, p.reports[id], now)
		} else if p.targets[id] != nil {
			p.forgetTarget(id)
		}
	}
	clear(p.dirtyTargets)
}

// updateJob tracks the open attempt of a job, and stops tracking an earlier one that has ended.
func (p *planner) updateJob(st *state.State, id model.JobID, now model.Millis) []state.Command {
	job := st.Jobs[id]
	if job == nil || job.Ended() {
		delete(p.jobRefusals, id)
	}
	var commands []state.Command
	before, ok := p.trackedByJob[id]
	open := job != nil && job.OpenAttempt != nil && job.OpenAttempt.ID == before
	if ok && !open && !p.pendingAssignments[before] {
		attempt := p.tracked[before]
		p.removeTracked(before)
		p.responder.stopped(attempt.target, before, now)
		commands = p.recordOutcome(job, before, attempt, now)
	}
	if job != nil && job.OpenAttempt != nil {
		p.trackOpenAttempt(job)
	}
	return commands
}

func (p *planner) forgetTarget(id model.TargetID) {
	p.capacity = p.capacity.Sub(p.targets[id].capacity)
	delete(p.targets, id)
	p.placer.RemoveTarget(id)
	p.health.ForgetTarget(id)
	p.responder.forget(id)
	delete(p.refusals, id)
	delete(p.reports, id)
	delete(p.isolations, id)
	if _, held := p.holds[id]; held {
		p.dropHold(id)
	}
}

func (p *planner) updateTarget(st *state.State, target *state.Target, summary syncmsg.TargetSummary, now model.Millis) {
	known := p.targets[target.ID]
	if known == nil {
		known = &knownTarget{}
		p.targets[target.ID] = known
	}
	p.capacity = p.capacity.Sub(known.capacity)
	known.state, known.capacity = *target, target.Capacity
	if target.Lost {
		known.capacity = model.Resources{}
	}
	p.capacity = p.capacity.Add(known.capacity)
	// The state is authoritative, unless a change is proposed whose outcome is not yet known.
	quarantined := target.QuarantineReason != ""
	if quarantined != p.health.Quarantined(target.ID) && !p.pendingQuarantines[target.ID] {
		p.health.SetQuarantine(target.ID, quarantined, now)
	}
	kept := keptOn(st.Config, target.Pool)
	p.placer.SetTarget(placement.TargetInfo{
		ID:            target.ID,
		Pool:          target.Pool,
		Zone:          target.Zone,
		Rack:          target.Rack,
		Capacity:      target.Capacity,
		KeptForQuick:  kept,
		QuickExcess:   p.quickExcess(target, summary, kept),
		BlockedReason: p.blockReason(target, summary, now),
	})
	p.responder.setTarget(target)
}

// keptOn returns what batch work must leave free on each target of a pool.
func keptOn(config state.Config, pool model.PoolID) model.Resources {
	var kept model.Resources
	for _, service := range config.Services {
		if service.Pool != pool {
			continue
		}
		n := service.KeptSlots
		kept = kept.Add(model.Resources{
			Slots:        service.QuickDemand.Slots * n,
			Connections:  service.QuickDemand.Connections * n,
			CPUMillis:    service.QuickDemand.CPUMillis * int64(n),
			MemoryMiB:    service.QuickDemand.MemoryMiB * int64(n),
			Accelerators: service.QuickDemand.Accelerators * n,
		})
	}
	return kept
}

// quickExcess returns the resources that quick work uses beyond the part kept free for it:
// what the owner reports as used, less the tasks that the planner tracks. The result is too small
// while the owner has not reserved a tracked task yet; a task that the owner refuses for this
// reason is placed again.
func (p *planner) quickExcess(target *state.Target, summary syncmsg.TargetSummary, kept model.Resources) model.Resources {
	if summary.Epoch != target.Epoch {
		return model.Resources{}
	}
	taken := target.Capacity.Sub(kept).Sub(summary.FreeBatch)
	for _, task := range p.placer.Tasks(target.ID) {
		taken = taken.Sub(task.Size)
	}
	return taken.Max(model.Resources{})
}

const refusedReason = "its owner refused a task just now"

func (p *planner) blockReason(target *state.Target, summary syncmsg.TargetSummary, now model.Millis) string {
	switch {
	case target.Lost:
		return "its lease ran out"
	case target.Leaving:
		return "it is leaving"
	case target.Evacuated:
		return "its availability zone is evacuated"
	case target.Owner == "":
		return "no gateway owns it"
	case p.pendingQuarantines[target.ID]:
		return "its quarantine is being changed"
	case target.QuarantineReason != "":
		return "it is in quarantine: " + target.QuarantineReason
	case summary.Epoch != target.Epoch:
		return "its owner has not reported its free capacity"
	case !summary.AcceptsWork:
		return "its owner takes no new work for it"
	case now < p.refusals[target.ID].until:
		return refusedReason
	case p.isolations[target.ID].Job != "":
		return isolationReason(p.isolations[target.ID])
	case p.holds[target.ID].job != "":
		return p.holds[target.ID].reason()
	default:
		return ""
	}
}

// trackOpenAttempt tracks the open attempt of a job, or updates the tracked one from the state.
func (p *planner) trackOpenAttempt(job *state.Job) {
	open := job.OpenAttempt
	if attempt, ok := p.tracked[open.ID]; ok {
		attempt.assignedAt = open.AssignedAt
		attempt.failures, attempt.evictions, attempt.losses = job.Failures, job.Evictions, job.Losses
		p.tracked[open.ID] = attempt
	} else {
		task := placement.Task{Attempt: open.ID, Tenant: job.Spec.Tenant, Kind: job.Spec.Kind, Size: open.Reserved, Urgent: job.Spec.Urgent, Bound: true}
		if p.placer.Track(open.Target, task) != nil {
			return
		}
		p.addTracked(job, open.ID, open.Target, open.Reserved, open.AssignedAt)
	}
	p.responder.started(open, job.Spec.Kind)
}

func (p *planner) addTracked(job *state.Job, id model.AttemptID, target model.TargetID, size model.Resources, assignedAt model.Millis) {
	p.tenants.Charge(job.Spec.Tenant, size)
	p.trackedByJob[id.Job] = id
	p.dirtyTargets[target] = true
	p.tracked[id] = trackedAttempt{
		target:     target,
		tenant:     job.Spec.Tenant,
		kind:       job.Spec.Kind,
		size:       size,
		assignedAt: assignedAt,
		failures:   job.Failures,
		evictions:  job.Evictions,
		losses:     job.Losses,
	}
	if job.IsSuspect() {
		p.isolate(target, id)
	}
}

func (p *planner) removeTracked(id model.AttemptID) {
	attempt, ok := p.tracked[id]
	if !ok {
		return
	}
	p.placer.Release(id)
	p.tenants.Refund(attempt.tenant, attempt.size)
	delete(p.tracked, id)
	p.dirtyTargets[attempt.target] = true
	p.endIsolation(attempt.target, id)
	if p.trackedByJob[id.Job] == id {
		delete(p.trackedByJob, id.Job)
	}
}

// recordOutcome reports the outcome of an attempt to the health tracker and returns the commands
// for the tracker's decisions.
func (p *planner) recordOutcome(job *state.Job, id model.AttemptID, attempt trackedAttempt, now model.Millis) []state.Command {
	ended := job == nil || job.Ended()
	if ended {
		defer p.health.ForgetJob(id.Job)
	}
	switch {
	case job != nil && job.Phase == state.JobFinished:
		if attempt.assignedAt > 0 {
			p.sizes.ObserveRunTime(attempt.kind, now-attempt.assignedAt)
		}
		delete(p.refusals, attempt.target)
		return p.healthCommands(p.health.Succeeded(id.Job, attempt.target, now))
	case job != nil && job.Failures > attempt.failures:
		delete(p.refusals, attempt.target)
		delete(p.jobRefusals, id.Job)
		return p.healthCommands(p.health.Failed(id.Job, attempt.target, now))
	case job != nil && !ended && job.Evictions == attempt.evictions && job.Losses == attempt.losses:
		p.recordRefusal(id.Job, attempt.target, now)
		p.health.AbandonProbe(attempt.target, id.Job, now)
		return nil
	}
	delete(p.jobRefusals, id.Job)
	p.health.AbandonProbe(attempt.target, id.Job, now)
	return nil
}
