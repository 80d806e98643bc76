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

// Prefixes of the reasons why a job can never run. A job that does not fit is looked at
// again when targets or limits change; one that fails everywhere stays marked.
const (
	neverCapacity = "capacity: "
	neverQuota    = "quota: "
	neverFails    = "failures: "
)

// decide returns the commands of one plan.
func (p *picture) decide(st *state.State, summaries map[model.TargetID]syncmsg.TargetSummary, usage []syncmsg.TargetUsage, now model.Millis) []state.Command {
	commands := p.update(st, summaries, now)
	commands = append(commands, p.respond(st, usage, now)...)
	commands = append(commands, p.serveHolds(st, now)...)
	jobs := p.candidates(st)
	commands = append(commands, p.probe(st, jobs, now)...)
	clear(p.tooLarge)
	commands = append(commands, p.placeInTurn(st, jobs, now)...)
	return append(commands, p.recheckNever(st, now)...)
}

// candidates returns the jobs that one plan looks at. Half of each tenant's are those that
// wait longest; the other half moves on through its queue, so that jobs which do not fit now
// keep none of the others from being looked at.
func (p *picture) candidates(st *state.State) []placement.Job {
	var jobs []placement.Job
	tenants := st.ReadyTenants()
	limit := max(minPerTenant, min(perTenant, perPlan/max(1, len(tenants))))
	for _, tenant := range tenants {
		position, taken := 0, 0
		skip := p.offset[tenant]
		for job := range st.ReadyJobs(tenant) {
			if taken == limit {
				break
			}
			position++
			if taken >= limit/2 && position <= skip {
				continue
			}
			taken++
			jobs = append(jobs, p.jobOf(job))
		}
		p.offset[tenant] = position
		if taken < limit || position > maxOffset {
			p.offset[tenant] = 0
		}
	}
	return jobs
}

func (p *picture) jobOf(job *state.Job) placement.Job {
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

// avoid returns the targets on which the job failed, unless that would leave it nowhere to
// run: a site may have a single target for the pool.
func (p *picture) avoid(job *state.Job) []model.TargetID {
	if len(job.FailedOn) == 0 {
		return nil
	}
	for id, known := range p.known {
		t := &known.state
		usable := t.Pool == job.Spec.Pool && !t.Lost && !t.Leaving && t.QuarantineReason == ""
		if usable && !slices.Contains(job.FailedOn, id) {
			return job.FailedOn
		}
	}
	return nil
}

// place decides on one job: a target, a preemption, never, or to wait.
func (p *picture) place(st *state.State, job placement.Job, now model.Millis) []state.Command {
	if err := p.tenants.CheckQuota(job.Tenant, job.Size); err != nil {
		var quota *placement.QuotaError
		if errors.As(err, &quota) && quota.Infeasible {
			return p.never(job.ID, neverQuota+err.Error())
		}
		return nil
	}
	if p.placer.NeverFits(job) {
		_, err := p.placer.Place(job)
		return p.never(job.ID, neverCapacity+err.Error())
	}
	if !p.knownTooLarge(job) {
		decision, err := p.placer.Place(job)
		if err == nil {
			return p.assign(st, decision)
		}
		p.noteTooLarge(job)
	}
	if job.Urgent {
		return p.preempt(st, job, now)
	}
	p.keepForPatient(st, job, now)
	return nil
}

// maxTooLarge bounds the sizes that are remembered in one plan for each pool.
const maxTooLarge = 4

// knownTooLarge reports whether a job of at most this size found no target in this plan.
// In a full pool nearly all jobs find none, and each search costs a list of reasons.
func (p *picture) knownTooLarge(job placement.Job) bool {
	for _, size := range p.tooLarge[job.Pool] {
		if size.Fits(job.Size) {
			return true
		}
	}
	return false
}

// noteTooLarge remembers a size. A job that avoids targets, or whose neighbours were the
// reason, says nothing about others; urgent jobs ignore the neighbours.
func (p *picture) noteTooLarge(job placement.Job) {
	if job.Urgent && len(job.Avoid) == 0 && len(p.tooLarge[job.Pool]) < maxTooLarge {
		p.tooLarge[job.Pool] = append(p.tooLarge[job.Pool], job.Size)
		return
	}
	if len(job.Avoid) == 0 && len(p.tooLarge[job.Pool]) < maxTooLarge && !p.fitsSomewhere(job) {
		p.tooLarge[job.Pool] = append(p.tooLarge[job.Pool], job.Size)
	}
}

// fitsSomewhere reports whether the job would fit if the slowdown of its neighbours were ignored.
func (p *picture) fitsSomewhere(job placement.Job) bool {
	job.Urgent = true
	_, err := p.placer.Place(job)
	return err == nil
}

// never marks a job; the text is cut because it may name many targets.
func (p *picture) never(id model.JobID, reason string) []state.Command {
	const maxReason = 1000 // bytes
	p.proposed[id] = true
	return []state.Command{{MarkNeverRunnable: &state.MarkNeverRunnable{Job: id, Reason: reason[:min(len(reason), maxReason)]}}}
}

func (p *picture) assign(st *state.State, d placement.Decision) []state.Command {
	if p.placer.Reserve(d) != nil {
		return nil
	}
	p.hold(st.Jobs[d.Job.ID], d.Job.Attempt, d.Target, d.Job.Size, 0)
	p.pending[d.Job.Attempt] = true
	return []state.Command{{AssignAttempt: &state.AssignAttempt{
		Attempt:  d.Job.Attempt,
		Target:   d.Target,
		Epoch:    st.Targets[d.Target].Epoch,
		Reserved: d.Job.Size,
	}}}
}

// preempt makes room for an urgent job by evicting the tasks that lose least. The target is
// held for the job until its victims have stopped.
func (p *picture) preempt(st *state.State, job placement.Job, now model.Millis) []state.Command {
	if _, held := p.heldFor[job.ID]; held {
		return nil
	}
	p.setLosses(st, now)
	plan, err := p.placer.Preempt(job)
	if err != nil {
		return nil
	}
	p.keep(plan.Target, job, now+urgentHold)
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

// setLosses records what each task would lose. The declared run time is not trusted, so the
// loss is the time since the start, as if no checkpoint succeeded.
func (p *picture) setLosses(st *state.State, now model.Millis) {
	if p.losses == now {
		return
	}
	p.losses = now
	for id, held := range p.tracked {
		job, ok := st.Jobs[id.Job]
		evicting := ok && job.OpenAttempt != nil && job.OpenAttempt.ID == id && (job.OpenAttempt.EvictionReason != "" || job.Cancelling)
		p.placer.SetEvictionLoss(id, placement.EvictionLoss(now-held.at, 0, false), evicting)
	}
}

// probe sends one job to each quarantined target whose probe is due.
func (p *picture) probe(st *state.State, jobs []placement.Job, now model.Millis) []state.Command {
	var commands []state.Command
	for _, id := range p.health.ProbeDue(now) {
		known := p.known[id]
		if known == nil || known.state.QuarantinedByOperator {
			continue
		}
		for _, job := range jobs {
			if job.Urgent || job.Pool != known.state.Pool || p.pending[job.Attempt] || p.proposed[job.ID] {
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

func (p *picture) probeWith(st *state.State, job placement.Job, id model.TargetID) []state.Command {
	target := p.known[id].state
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

// neverRecheck is the longest time between two looks at the jobs that can never run: the
// learned sizes change without a change of targets or limits.
const neverRecheck = model.Millis(5000)

// recheckNever clears the mark of jobs that fit since the targets, the limits or the learned
// sizes changed.
func (p *picture) recheckNever(st *state.State, now model.Millis) []state.Command {
	unchanged := p.checked == st.Config.Revision && p.checkedCapacity == p.capacity
	if unchanged && now < p.checkedAt+neverRecheck {
		return nil
	}
	p.checked, p.checkedCapacity, p.checkedAt = st.Config.Revision, p.capacity, now
	var commands []state.Command
	for _, job := range st.NeverRunnableJobs() {
		if strings.HasPrefix(job.NeverRunnableReason, neverFails) || p.proposed[job.Spec.ID] {
			continue
		}
		candidate := p.jobOf(job)
		var quota *placement.QuotaError
		err := p.tenants.CheckQuota(candidate.Tenant, candidate.Size)
		if p.placer.NeverFits(candidate) || (errors.As(err, &quota) && quota.Infeasible) {
			continue
		}
		p.proposed[job.Spec.ID] = true
		commands = append(commands, state.Command{MarkNeverRunnable: &state.MarkNeverRunnable{Job: job.Spec.ID}})
	}
	return commands
}

// carryOut turns the decisions of the health tracker into commands. The target and the job
// are not used until the commands are answered.
func (p *picture) carryOut(changes []health.Change) []state.Command {
	var commands []state.Command
	for _, change := range changes {
		if change.Target != "" {
			p.changing[change.Target] = true
			commands = append(commands, state.Command{QuarantineTarget: &state.QuarantineTarget{
				Target: change.Target, On: change.Quarantine, Reason: change.Reason,
			}})
		}
		if change.Job != "" {
			commands = append(commands, p.never(change.Job, neverFails+change.Reason)...)
		}
	}
	return commands
}
