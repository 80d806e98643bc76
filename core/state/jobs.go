package state

import (
	"fmt"

	"samphirepaddle.example/core/model"
)

// defaultMaxAttempts applies if a job declares no limit of failures.
const defaultMaxAttempts = 5

// maxStoredResult bounds the result of a job that the state keeps.
const maxStoredResult = 64 << 10 // bytes

func (s *State) submitJob(c *SubmitJob) Result {
	if c.Key == "" {
		return resultf(CodeInvalid, "a job needs a key, so that a resend does not queue it twice")
	}
	key := RequestKey{c.Spec.Tenant, c.Key}
	if id, ok := s.JobKeys[key]; ok {
		return s.repeatedJob(id, c.Spec)
	}
	spec := c.Spec
	if spec.ID == "" {
		spec.ID = model.JobID(fmt.Sprintf("job-%d", s.Revision))
	}
	if err := spec.Validate(); err != nil {
		return resultf(CodeInvalid, "%v", err)
	}
	if _, ok := s.Jobs[spec.ID]; ok {
		return resultf(CodeConflict, "job %q exists already", spec.ID)
	}
	if _, ok := s.Config.Pools[spec.Pool]; !ok {
		return resultf(CodeNotFound, "pool %q does not exist", spec.Pool)
	}
	tenant, ok := s.Config.Tenants[spec.Tenant]
	if !ok {
		return resultf(CodeNotFound, "tenant %q does not exist", spec.Tenant)
	}
	if limit := tenant.MaxQueuedJobs; limit > 0 && s.queuedJobs(spec.Tenant) >= int(limit) {
		return resultf(CodeLimit, "tenant %q has reached its limit of %d queued jobs", spec.Tenant, limit)
	}
	s.declareJob(spec, 0)
	s.Jobs[spec.ID].Key = c.Key
	s.JobKeys[key] = spec.ID
	return Result{Code: CodeOK, Job: spec.ID}
}

func (s *State) repeatedJob(id model.JobID, spec model.JobSpec) Result {
	job, ok := s.Jobs[id]
	if !ok {
		return resultf(CodeStale, "job %q was submitted with this key and is no longer kept", id)
	}
	if spec.ID == "" {
		spec.ID = id
	}
	if !sameContent(job.Spec, spec) {
		return resultf(CodeConflict, "the key was used before for job %q with other content", id)
	}
	return Result{Code: CodeRepeated, Job: id}
}

func (s *State) queuedJobs(tenant model.TenantID) int {
	count := 0
	for _, job := range s.Jobs {
		if job.Phase == JobQueued && job.Spec.Tenant == tenant {
			count++
		}
	}
	return count
}

func (s *State) cancelJobs(c *CancelJobs) Result {
	for _, id := range c.Jobs {
		s.cancelJob(id)
	}
	return Result{Code: CodeOK}
}

// cancelJob ends a queued job at once. An open attempt is first stopped by its owner, and
// a finish that is committed before that wins.
func (s *State) cancelJob(id model.JobID) {
	job, ok := s.Jobs[id]
	if !ok || job.Cancelling {
		return
	}
	switch job.Phase {
	case JobQueued:
		s.endJob(job, JobCancelled)
	case JobAssigned:
		job.Cancelling = true
		s.touchJob(job)
	}
}

func (s *State) endJob(job *Job, phase JobPhase) {
	s.touchJob(job)
	job.Phase = phase
	job.Open = nil
	job.Cancelling = false
	job.EndedAt = s.Now
}

func (s *State) assignAttempt(c *AssignAttempt) Result {
	job, ok := s.Jobs[c.Attempt.Job]
	if !ok {
		return resultf(CodeNotFound, "job %q does not exist", c.Attempt.Job)
	}
	if job.Phase != JobQueued || c.Attempt.Number != job.Attempts+1 {
		return resultf(CodeStale, "job %q is %s with %d attempts; attempt %d cannot be assigned",
			job.Spec.ID, job.Phase, job.Attempts, c.Attempt.Number)
	}
	target, ok := s.Targets[c.Target]
	if !ok || target.Epoch != c.Epoch || target.Owner == "" {
		return resultf(CodeStale, "target %q is not owned under epoch %d", c.Target, c.Epoch)
	}
	if reason := target.blocked(); reason != "" {
		return resultf(CodeStale, "target %q takes no work: %s", c.Target, reason)
	}
	if result := s.checkBatchQuota(job.Spec.Tenant, c.Reserved); !result.OK() {
		return result
	}
	job.Attempts = c.Attempt.Number
	job.Phase = JobAssigned
	job.NeverReason = ""
	job.Open = &Attempt{
		ID:       c.Attempt,
		Target:   c.Target,
		StartID:  target.StartID,
		Epoch:    c.Epoch,
		Reserved: c.Reserved,
		At:       s.Now,
	}
	s.touchJob(job)
	return Result{Code: CodeOK}
}

func (t *Target) blocked() string {
	switch {
	case t.Lost:
		return "its lease ran out"
	case t.Leaving:
		return "it is leaving"
	default:
		return ""
	}
}

func (s *State) checkBatchQuota(id model.TenantID, more model.Resources) Result {
	quota := s.Config.Tenants[id].BatchQuota
	if quota == (model.Resources{}) {
		return Result{Code: CodeOK}
	}
	held := more
	for _, job := range s.Jobs {
		if job.Open != nil && job.Spec.Tenant == id {
			held = held.Add(job.Open.Reserved)
		}
	}
	if short := held.Shortfall(unlimitedZeros(quota, held)); short != "" {
		return resultf(CodeLimit, "tenant %q would exceed its batch quota: %s", id, short)
	}
	return Result{Code: CodeOK}
}

// unlimitedZeros replaces the zero amounts of a quota, which mean no limit.
func unlimitedZeros(quota, held model.Resources) model.Resources {
	if quota.Slots == 0 {
		quota.Slots = held.Slots
	}
	if quota.Connections == 0 {
		quota.Connections = held.Connections
	}
	if quota.CPUMillis == 0 {
		quota.CPUMillis = held.CPUMillis
	}
	if quota.MemoryMiB == 0 {
		quota.MemoryMiB = held.MemoryMiB
	}
	if quota.Accelerators == 0 {
		quota.Accelerators = held.Accelerators
	}
	return quota
}

func (s *State) evictAttempt(c *EvictAttempt) Result {
	job := s.openJob(c.Attempt)
	if job == nil {
		return resultf(CodeStale, "attempt %s is not open", c.Attempt)
	}
	if job.Open.Evicting != "" {
		return Result{Code: CodeRepeated}
	}
	job.Open.Evicting = c.Reason
	s.touchJob(job)
	return Result{Code: CodeOK}
}

// openJob returns the job of which the attempt is the open one, else nil.
func (s *State) openJob(id model.AttemptID) *Job {
	job, ok := s.Jobs[id.Job]
	if !ok || job.Open == nil || job.Open.ID != id {
		return nil
	}
	return job
}

func (s *State) endAttempt(c *EndAttempt) Result {
	job := s.openJob(c.Attempt)
	if job == nil {
		return resultf(CodeStale, "attempt %s is not open", c.Attempt)
	}
	// An owner that was frozen must not close an attempt that a later owner may have started.
	if target := s.Targets[job.Open.Target]; c.Epoch != 0 && (target == nil || target.Epoch != c.Epoch) {
		return resultf(CodeStale, "target %q is not owned under epoch %d", job.Open.Target, c.Epoch)
	}
	if len(c.Result) > maxStoredResult {
		return resultf(CodeInvalid, "result has %d bytes, at most %d are kept", len(c.Result), maxStoredResult)
	}
	s.closeAttempt(job, c)
	return Result{Code: CodeOK}
}

func (s *State) closeAttempt(job *Job, c *EndAttempt) {
	if len(c.Checkpoint) > 0 {
		job.Checkpoint = c.Checkpoint
	}
	switch c.Outcome {
	case OutcomeFinished:
		job.Result = c.Result
		s.endJob(job, JobFinished)
		return
	case OutcomeFailed:
		s.noteFailure(job, c.Message)
	case OutcomeEvicted:
		job.Evictions++
	}
	if job.Cancelling {
		s.endJob(job, JobCancelled)
		return
	}
	if job.Failures >= job.maxAttempts() {
		s.endJob(job, JobFailed)
		return
	}
	s.requeue(job)
}

func (s *State) noteFailure(job *Job, message string) {
	job.Failures++
	job.Message = message
	job.FailedOn = append(job.FailedOn, job.Open.Target)
}

func (s *State) requeue(job *Job) {
	s.touchJob(job)
	job.Phase = JobQueued
	job.Open = nil
	job.QueuedAt = s.Now
}

func (j *Job) maxAttempts() uint32 {
	if j.Spec.MaxAttempts == 0 {
		return defaultMaxAttempts
	}
	return j.Spec.MaxAttempts
}

func (s *State) markNeverRunnable(c *MarkNeverRunnable) Result {
	job, ok := s.Jobs[c.Job]
	if !ok || job.Phase != JobQueued {
		return resultf(CodeStale, "job %q is not queued", c.Job)
	}
	if job.NeverReason == c.Reason {
		return Result{Code: CodeRepeated}
	}
	job.NeverReason = c.Reason
	s.touchJob(job)
	return Result{Code: CodeOK}
}
