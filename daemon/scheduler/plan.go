package scheduler

import (
	"errors"
	"slices"
	"strings"

	"samphirepaddle.example/core/health"
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/placement"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/syncmsg"
)

// Prefixes of the reasons why a job can never run. A job that exceeds the capacity or the quota is
// checked again when targets, limits or learned sizes change; a job marked after failures stays
// marked.
const (
	neverCapacity = "capacity: "
	neverQuota    = "quota: "
	neverFails    = "failures: "
)

// decide returns the commands of one plan.
func (p *planner) decide(st *state.State, summaries map[model.TargetID]syncmsg.TargetSummary, usage []syncmsg.TargetUsage, now model.Millis) []state.Command {
	commands := p.update(st, summaries, now)
	commands = append(commands, p.respond(st, usage, now)...)
	commands = append(commands, p.placeHeldJobs(st, now)...)
	jobs := p.candidates(st, now)
	commands = append(commands, p.probe(st, jobs, now)...)
	clear(p.tooLarge)
	commands = append(commands, p.placeFairly(st, jobs, now)...)
	return append(commands, p.recheckNeverRunnable(st, now)...)
}

// candidates returns the jobs that one plan considers. Half of each tenant's candidates are the
// first jobs of its queue. The other half advances through the queue from plan to plan, so that
// jobs which do not fit now do not keep others from being considered. Jobs that pause after refusals
// are left out.
func (p *planner) candidates(st *state.State, now model.Millis) []placement.Job {
	var jobs []placement.Job
	tenants := st.ReadyTenants()
	limit := max(minJobsPerTenant, min(maxJobsPerTenant, maxJobsPerPlan/max(1, len(tenants))))
	for _, tenant := range tenants {
		position, taken := 0, 0
		skip := p.queueOffset[tenant]
		for job := range st.ReadyJobs(tenant) {
			if taken == limit {
				break
			}
			position++
			if taken >= limit/2 && position <= skip {
				continue
			}
			if now < p.jobRefusals[job.Spec.ID].until {
				continue
			}
			taken++
			jobs = append(jobs, p.jobOf(job))
		}
		p.queueOffset[tenant] = position
		if taken < limit || position > maxQueueOffset {
			p.queueOffset[tenant] = 0
		}
	}
	return jobs
}

func (p *planner) jobOf(job *state.Job) placement.Job {
	return placement.Job{
		ID:      job.Spec.ID,
		Tenant:  job.Spec.Tenant,
		Pool:    job.Spec.Pool,
		Kind:    job.Spec.Kind,
		Size:    p.sizes.ReservationSize(job.Spec.Kind, job.Spec.Declared),
		Urgent:  job.Spec.Urgent,
		Avoid:   p.avoid(job),
		Attempt: model.AttemptID{Job: job.Spec.ID, Number: job.Attempts + 1},
	}
}

// avoid returns the targets on which the job failed, or none if these are all the usable targets
// of the pool, so that a job can be retried in a pool with a single target.
func (p *planner) avoid(job *state.Job) []model.TargetID {
	if len(job.FailedOn) == 0 {
		return nil
	}
	for id, known := range p.targets {
		t := &known.state
		usable := t.Pool == job.Spec.Pool && !t.Lost && !t.Leaving && t.QuarantineReason == ""
		if usable && !slices.Contains(job.FailedOn, id) {
			return job.FailedOn
		}
	}
	return nil
}

// place decides on one job: it is assigned, preempts other tasks, is marked as never runnable,
// or waits.
func (p *planner) place(st *state.State, job placement.Job, now model.Millis) []state.Command {
	if err := p.tenants.CheckQuota(job.Tenant, job.Size); err != nil {
		var quota *placement.QuotaError
		if errors.As(err, &quota) && quota.Infeasible {
			return p.markNeverRunnable(job.ID, neverQuota+err.Error())
		}
		return nil
	}
	if p.placer.NeverFits(job) {
		_, err := p.placer.Place(job)
		return p.markNeverRunnable(job.ID, neverCapacity+err.Error())
	}
	suspect := st.Jobs[job.ID].IsSuspect()
	if suspect {
		if command := p.assignAlone(st, job); command != nil {
			return command
		}
	}
	waited := now - st.Jobs[job.ID].QueuedAt
	if suspect && !job.Urgent && waited < maxIsolationWait {
		p.holdForLongWaiting(st, job, now)
		return nil
	}
	if !p.knownTooLarge(job) {
		decision, err := p.placer.Place(job)
		if err == nil {
			return p.assign(st, decision)
		}
		p.recordTooLarge(job)
	}
	if job.Urgent {
		return p.placeUrgent(st, job, now)
	}
	if waited >= maxIsolationWait {
		opened := p.openIsolatedTargets(job.Pool, now)
		defer p.closeTargets(opened, now)
		if command := p.assignAmong(st, job, opened); command != nil {
			return command
		}
	}
	p.holdForLongWaiting(st, job, now)
	return nil
}

// assignAmong assigns a job that fits on no other target to one of the opened ones.
func (p *planner) assignAmong(st *state.State, job placement.Job, opened []model.TargetID) []state.Command {
	if len(opened) == 0 {
		return nil
	}
	decision, err := p.placer.Place(job)
	if err != nil {
		return nil
	}
	return p.assign(st, decision)
}

// placeUrgent decides on an urgent job that fits on no open target. Targets that are kept free for
// jobs that are not urgent count as well. If nothing can be evicted either, the job is the
// probe of a quarantined target.
func (p *planner) placeUrgent(st *state.State, job placement.Job, now model.Millis) []state.Command {
	if _, held := p.heldFor[job.ID]; held {
		return nil
	}
	opened := append(p.openHeldTargets(job.Pool, now), p.openIsolatedTargets(job.Pool, now)...)
	defer p.closeTargets(opened, now)
	if command := p.assignAmong(st, job, opened); command != nil {
		return command
	}
	if commands := p.preempt(st, job, now); commands != nil {
		return commands
	}
	if p.probesDue {
		return p.probeDue(st, []placement.Job{job}, now)
	}
	return nil
}

// maxTooLarge bounds the sizes in planner.tooLarge for each pool.
const maxTooLarge = 4

// knownTooLarge reports whether a job of at most this size found no target in this plan.
// It avoids searches: in a full pool nearly all jobs find no target, and each search builds a list
// of reasons.
func (p *planner) knownTooLarge(job placement.Job) bool {
	for _, size := range p.tooLarge[job.Pool] {
		if size.Fits(job.Size) {
			return true
		}
	}
	return false
}

// recordTooLarge adds the size of a job that found no target to tooLarge. It leaves out a job
// that avoids targets, or that was rejected only because of the slowdown between it and its
// neighbours: other jobs of that size may still fit. Urgent jobs ignore the slowdown.
func (p *planner) recordTooLarge(job placement.Job) {
	if job.Urgent && len(job.Avoid) == 0 && len(p.tooLarge[job.Pool]) < maxTooLarge {
		p.tooLarge[job.Pool] = append(p.tooLarge[job.Pool], job.Size)
		return
	}
	if len(job.Avoid) == 0 && len(p.tooLarge[job.Pool]) < maxTooLarge && !p.fitsSomewhere(job) {
		p.tooLarge[job.Pool] = append(p.tooLarge[job.Pool], job.Size)
	}
}

// fitsSomewhere reports whether the job would fit on a target if the slowdown between it and
// its neighbours were ignored.
func (p *planner) fitsSomewhere(job placement.Job) bool {
	job.Urgent = true
	_, err := p.placer.Place(job)
	return err == nil
}

// markNeverRunnable marks a job as never runnable. The reason is cut because it may name many
// targets.
func (p *planner) markNeverRunnable(id model.JobID, reason string) []state.Command {
	const maxReason = 1000 // bytes
	p.pendingMarks[id] = true
	return []state.Command{{MarkNeverRunnable: &state.MarkNeverRunnable{Job: id, Reason: reason[:min(len(reason), maxReason)]}}}
}

func (p *planner) assign(st *state.State, d placement.Decision) []state.Command {
	if p.placer.Reserve(d) != nil {
		return nil
	}
	p.addTracked(st.Jobs[d.Job.ID], d.Job.Attempt, d.Target, d.Job.Size, 0)
	p.pendingAssignments[d.Job.Attempt] = true
	return []state.Command{{AssignAttempt: &state.AssignAttempt{
		Attempt:  d.Job.Attempt,
		Target:   d.Target,
		Epoch:    st.Targets[d.Target].Epoch,
		Reserved: d.Job.Size,
	}}}
}

// preempt frees capacity for an urgent job by evicting the tasks that lose the least work. The
// target is held for the job until they have stopped, at most for urgentHold.
func (p *planner) preempt(st *state.State, job placement.Job, now model.Millis) []state.Command {
	p.setLosses(st, now)
	plan, err := p.placer.Preempt(job)
	if err != nil {
		return nil
	}
	p.holdTarget(plan.Target, job, now+urgentHold)
	var commands []state.Command
	for _, victim := range plan.Victims {
		p.placer.SetEvictionLoss(victim, 0, true)
		commands = append(commands, state.Command{EvictAttempt: &state.EvictAttempt{
			Attempt: victim,
			Reason:  "urgent job " + string(job.ID),
		}})
	}
	return commands
}

// setLosses sets the work that each task would lose by an eviction. The declared run time is
// not trusted, so the loss is the time since the start, as if no checkpoint succeeded.
func (p *planner) setLosses(st *state.State, now model.Millis) {
	if p.lossesSetAt == now {
		return
	}
	p.lossesSetAt = now
	for id, attempt := range p.tracked {
		job, ok := st.Jobs[id.Job]
		evicting := ok && job.OpenAttempt != nil && job.OpenAttempt.ID == id && (job.OpenAttempt.EvictionReason != "" || job.Cancelling)
		p.placer.SetEvictionLoss(id, placement.EvictionLoss(now-attempt.assignedAt, 0, false), evicting)
	}
}

// probe sends one job that is not urgent to each quarantined target whose probe is due.
func (p *planner) probe(st *state.State, jobs []placement.Job, now model.Millis) []state.Command {
	p.probesDue = len(p.health.ProbeDue(now)) > 0
	if !p.probesDue {
		return nil
	}
	candidates := make([]placement.Job, 0, len(jobs))
	for _, job := range jobs {
		if !job.Urgent {
			candidates = append(candidates, job)
		}
	}
	return p.probeDue(st, candidates, now)
}

func (p *planner) probeDue(st *state.State, jobs []placement.Job, now model.Millis) []state.Command {
	var commands []state.Command
	for _, id := range p.health.ProbeDue(now) {
		known := p.targets[id]
		if known == nil || known.state.QuarantinedByOperator {
			continue
		}
		for _, job := range jobs {
			if job.Pool != known.state.Pool || p.pendingAssignments[job.Attempt] || p.pendingMarks[job.ID] {
				continue
			}
			if command := p.probeWith(st, job, id); command != nil {
				commands = append(commands, command...)
				break
			}
		}
	}
	return commands
}

func (p *planner) probeWith(st *state.State, job placement.Job, id model.TargetID) []state.Command {
	target := p.targets[id].state
	if p.tenants.CheckQuota(job.Tenant, job.Size) != nil || target.Lost || target.Leaving || target.Owner == "" {
		return nil
	}
	p.placer.SetBlocked(id, "")
	defer p.placer.SetBlocked(id, "it is in quarantine: "+target.QuarantineReason)
	command := p.assign(st, placement.Decision{Job: job, Target: id})
	if command != nil {
		p.health.StartProbe(id, job.ID)
	}
	return command
}

// neverRunnableRecheck is the longest time between two checks of the never-runnable jobs: the
// learned sizes change without a change of targets or limits.
const neverRunnableRecheck = model.Millis(5000)

// recheckNeverRunnable clears the mark of jobs that fit after a change of the targets, the
// limits or the learned sizes.
func (p *planner) recheckNeverRunnable(st *state.State, now model.Millis) []state.Command {
	unchanged := p.checkedRevision == st.Config.Revision && p.checkedCapacity == p.capacity
	if unchanged && now < p.checkedAt+neverRunnableRecheck {
		return nil
	}
	p.checkedRevision, p.checkedCapacity, p.checkedAt = st.Config.Revision, p.capacity, now
	var commands []state.Command
	for _, job := range st.NeverRunnableJobs() {
		if strings.HasPrefix(job.NeverRunnableReason, neverFails) || p.pendingMarks[job.Spec.ID] {
			continue
		}
		candidate := p.jobOf(job)
		var quota *placement.QuotaError
		err := p.tenants.CheckQuota(candidate.Tenant, candidate.Size)
		if p.placer.NeverFits(candidate) || (errors.As(err, &quota) && quota.Infeasible) {
			continue
		}
		p.pendingMarks[job.Spec.ID] = true
		commands = append(commands, state.Command{MarkNeverRunnable: &state.MarkNeverRunnable{Job: job.Spec.ID}})
	}
	return commands
}

// healthCommands turns the decisions of the health tracker into commands. Until the outcome
// of a command is known, its target is blocked and placeFairly skips its job.
func (p *planner) healthCommands(changes []health.Change) []state.Command {
	var commands []state.Command
	for _, change := range changes {
		if change.Target != "" {
			p.pendingQuarantines[change.Target] = true
			commands = append(commands, state.Command{QuarantineTarget: &state.QuarantineTarget{
				Target: change.Target, Quarantined: change.Quarantine, Reason: change.Reason,
			}})
		}
		if change.Job != "" {
			commands = append(commands, p.markNeverRunnable(change.Job, neverFails+change.Reason)...)
		}
	}
	return commands
}
