package state

import (
	"crypto/sha256"
	"fmt"

	"samphirepaddle.example/core/model"
)

// Bounds on jobs.
const (
	// defaultMaxAttempts is the number of failed attempts after which a job fails if it declares
	// no limit.
	defaultMaxAttempts = 5
	// maxActiveBytes bounds the payloads and checkpoints of all jobs that have not ended. New
	// jobs are rejected above it; checkpoints of running jobs are always accepted.
	maxActiveBytes = 64 << 20
	// maxJobsPerCancel bounds the jobs of one CancelJobs command.
	maxJobsPerCancel = 10_000
)

func (s *State) submitJob(c *SubmitJob) Result {
	if c.Key == "" {
		return resultf(CodeInvalid, "a job needs a key, so that a resend does not queue it twice")
	}
	if len(c.Key) > maxKeyBytes {
		return resultf(CodeInvalid, "key has %d bytes, at most %d are allowed", len(c.Key), maxKeyBytes)
	}
	key := RequestKey{c.Spec.Tenant, c.Key}
	hash := hashOf(c.Spec)
	if record, ok := s.JobKeys[key]; ok {
		return resubmittedJobResult(record, hash)
	}
	spec := c.Spec
	if spec.ID == "" {
		spec.ID = model.JobID(fmt.Sprintf("job-%d", s.Revision))
	}
	if result := s.checkNewJob(spec); !result.OK() {
		return result
	}
	s.upsertQueuedJob(spec, 0)
	s.Jobs[spec.ID].Key = c.Key
	s.JobKeys[key] = &JobKeyRecord{Job: spec.ID, SpecHash: hash}
	return Result{Code: CodeOK, Job: spec.ID}
}

func resubmittedJobResult(record *JobKeyRecord, hash [32]byte) Result {
	if record.SpecHash != hash {
		result := resultf(CodeConflict, "the key was used before for job %q with other content", record.Job)
		result.Job = record.Job
		return result
	}
	return Result{Code: CodeRepeated, Job: record.Job}
}

func (s *State) checkNewJob(spec model.JobSpec) Result {
	if err := spec.Validate(); err != nil {
		return resultf(CodeInvalid, "%v", err)
	}
	if _, ok := s.Jobs[spec.ID]; ok {
		return resultf(CodeConflict, "job %q exists already", spec.ID)
	}
	if last, ok := s.LastTicket[model.ObjectRef{Kind: model.KindJob, ID: string(spec.ID)}]; ok {
		return resultf(CodeConflict, "job %q was declared before by ticket %d", spec.ID, last)
	}
	if _, ok := s.Config.Pools[spec.Pool]; !ok {
		return resultf(CodeNotFound, "pool %q does not exist", spec.Pool)
	}
	tenant, ok := s.Config.Tenants[spec.Tenant]
	if !ok {
		return resultf(CodeNotFound, "tenant %q does not exist", spec.Tenant)
	}
	if limit := tenant.MaxQueuedJobs; limit > 0 && s.index.queuedByTenant[spec.Tenant] >= int(limit) {
		return resultf(CodeLimit, "tenant %q has reached its limit of %d queued jobs", spec.Tenant, limit)
	}
	return s.checkActiveBytes(int64(len(spec.Payload)))
}

func (s *State) checkActiveBytes(added int64) Result {
	if added > 0 && s.index.activeBytes+added > maxActiveBytes {
		return resultf(CodeLimit, "the payloads and checkpoints of waiting and running jobs take %d bytes, at most %d are kept",
			s.index.activeBytes, maxActiveBytes)
	}
	return Result{Code: CodeOK}
}

// hashOf returns the SHA-256 hash of the CBOR encoding of v, or zero if v cannot be encoded.
func hashOf(v any) [32]byte {
	data, err := model.Encode(v)
	if err != nil {
		return [32]byte{}
	}
	return sha256.Sum256(data)
}

// upsertQueuedJob queues a job, or replaces the spec of a queued job that was never assigned.
func (s *State) upsertQueuedJob(spec model.JobSpec, ticket uint64) {
	hash := hashOf(spec)
	if old, ok := s.Jobs[spec.ID]; ok {
		if old.SpecHash == hash {
			return
		}
		s.index.dropJob(old)
	}
	job := &Job{
		Spec:            spec,
		Phase:           JobQueued,
		Ticket:          ticket,
		SubmittedAt:     s.Now,
		QueuedAt:        s.Now,
		Sequence:        s.allocateSequence(),
		SpecHash:        hash,
		ChangedRevision: s.Revision,
	}
	s.Jobs[spec.ID] = job
	s.index.addJob(job)
}

func (s *State) cancelJobs(c *CancelJobs) Result {
	if len(c.Jobs) > maxJobsPerCancel {
		return resultf(CodeInvalid, "jobs names %d jobs, at most %d are allowed", len(c.Jobs), maxJobsPerCancel)
	}
	for _, id := range c.Jobs {
		s.cancelJob(id)
	}
	return Result{Code: CodeOK}
}

// cancelJob ends a queued job immediately. If the job has an open attempt, the target's owner
// stops it first; if the attempt finishes before the stop is committed, the job ends as finished.
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
		s.markJobChanged(job)
	}
}

// endJob ends a job. The payload and checkpoint are dropped, because the job never runs again.
func (s *State) endJob(job *Job, phase JobPhase) {
	s.markJobChanged(job)
	s.recordClosedAttempt(job)
	s.index.dropJob(job)
	job.Phase = phase
	job.OpenAttempt = nil
	job.Cancelling = false
	job.Spec.Payload = nil
	job.Checkpoint = nil
	job.EndedAt = s.Now
	job.Sequence = s.allocateSequence()
	if record, ok := s.JobKeys[RequestKey{job.Spec.Tenant, job.Key}]; ok && record.Job == job.Spec.ID {
		record.Ended = true
		record.EndedAt = job.EndedAt
		record.Sequence = job.Sequence
	}
	s.index.endedJobs.push(job.endedRef())
	s.index.retainedJobs++
	s.index.retainedBytes += job.retainedSize()
}

func (s *State) requeue(job *Job) {
	s.markJobChanged(job)
	s.recordClosedAttempt(job)
	s.index.dropJob(job)
	job.Phase = JobQueued
	job.OpenAttempt = nil
	job.QueuedAt = s.Now
	job.Sequence = s.allocateSequence()
	s.index.addJob(job)
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
	if job.NeverRunnableReason == c.Reason {
		return Result{Code: CodeRepeated}
	}
	s.index.dropJob(job)
	job.NeverRunnableReason = c.Reason
	job.Sequence = s.allocateSequence()
	s.index.addJob(job)
	s.markJobChanged(job)
	return Result{Code: CodeOK}
}
