package state

import (
	"fmt"

	"samphirepaddle.example/core/model"
)

// Bounds on what an attempt leaves behind.
const (
	maxStoredResult = 64 << 10 // bytes of a result; a larger one is dropped, the job still ends
	maxMessageBytes = 4 << 10  // bytes of a failure message, cut beyond
	keptFailedOn    = 16       // targets of the last failures
	// MaxCheckpointBytes bounds a checkpoint. An owner must not stop a task whose checkpoint
	// is larger: the state would requeue it with the one before.
	MaxCheckpointBytes = 1 << 20
)

func (s *State) assignAttempt(c *AssignAttempt) Result {
	job, ok := s.Jobs[c.Attempt.Job]
	if !ok {
		return resultf(CodeNotFound, "job %q does not exist", c.Attempt.Job)
	}
	if job.OpenAttempt != nil && job.OpenAttempt.ID == c.Attempt && job.OpenAttempt.Target == c.Target {
		return Result{Code: CodeRepeated}
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
	if c.Reserved.Negative() || c.Reserved.Slots < 1 {
		return resultf(CodeInvalid, "reserved must take at least 1 slot and no negative amount, got %+v", c.Reserved)
	}
	if result := s.checkBatchQuota(job.Spec.Tenant, c.Reserved); !result.OK() {
		return result
	}
	s.openAttempt(job, target, c)
	return Result{Code: CodeOK}
}

func (s *State) openAttempt(job *Job, target *Target, c *AssignAttempt) {
	s.index.dropJob(job)
	job.Attempts = c.Attempt.Number
	job.Phase = JobAssigned
	job.NeverRunnableReason = ""
	job.OpenAttempt = &Attempt{
		ID:         c.Attempt,
		Target:     c.Target,
		StartID:    target.StartID,
		Epoch:      c.Epoch,
		Reserved:   c.Reserved,
		AssignedAt: s.Now,
	}
	s.index.addJob(job)
	s.touchJob(job)
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
	held := s.index.held[id].Add(more)
	if short := held.Shortfall(quota.UnlimitedZeros(held)); short != "" {
		return resultf(CodeLimit, "tenant %q would exceed its batch quota: %s", id, short)
	}
	return Result{Code: CodeOK}
}

func (s *State) evictAttempt(c *EvictAttempt) Result {
	job := s.openJob(c.Attempt)
	if job == nil {
		return resultf(CodeStale, "attempt %s is not open", c.Attempt)
	}
	if job.OpenAttempt.EvictionReason != "" {
		return Result{Code: CodeRepeated}
	}
	job.OpenAttempt.EvictionReason = c.Reason
	if c.Reason == "" {
		job.OpenAttempt.EvictionReason = "no reason given"
	}
	s.touchJob(job)
	return Result{Code: CodeOK}
}

// openJob returns the job of which the attempt is the open one, else nil.
func (s *State) openJob(id model.AttemptID) *Job {
	job, ok := s.Jobs[id.Job]
	if !ok || job.OpenAttempt == nil || job.OpenAttempt.ID != id {
		return nil
	}
	return job
}

func (s *State) endAttempt(c *EndAttempt) Result {
	job := s.openJob(c.Attempt)
	if job == nil {
		return resultf(CodeStale, "attempt %s is not open", c.Attempt)
	}
	switch c.Outcome {
	case OutcomeFinished, OutcomeFailed:
	case OutcomeRefused, OutcomeEvicted, OutcomeStopped, OutcomeLost:
		if target, ok := s.Targets[job.OpenAttempt.Target]; !ok || target.Epoch != c.Epoch {
			return resultf(CodeStale, "target %q is not owned under epoch %d", job.OpenAttempt.Target, c.Epoch)
		}
	default:
		return resultf(CodeInvalid, "outcome %q is none of finished, failed, refused, evicted, stopped, lost", c.Outcome)
	}
	s.closeAttempt(job, c)
	return Result{Code: CodeOK}
}

func (s *State) closeAttempt(job *Job, c *EndAttempt) {
	s.storeCheckpoint(job, c.Checkpoint)
	switch c.Outcome {
	case OutcomeFinished:
		job.storeResult(c.Result)
		s.endJob(job, JobFinished)
		return
	case OutcomeFailed:
		job.noteFailure(c.Message)
	case OutcomeEvicted:
		job.Evictions++
	case OutcomeLost:
		job.Losses++
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

func (s *State) storeCheckpoint(job *Job, checkpoint []byte) {
	if len(checkpoint) == 0 {
		return
	}
	if len(checkpoint) > MaxCheckpointBytes {
		job.Message = fmt.Sprintf("a checkpoint of %d bytes was dropped, at most %d are kept", len(checkpoint), MaxCheckpointBytes)
		return
	}
	s.index.dropJob(job)
	job.Checkpoint = checkpoint
	s.index.addJob(job)
}

// storeResult keeps the result. One that is too large is dropped with a message, because
// refusing the end would leave a finished job open for ever.
func (j *Job) storeResult(result []byte) {
	if len(result) > maxStoredResult {
		j.Message = fmt.Sprintf("the result of %d bytes was dropped, at most %d are kept", len(result), maxStoredResult)
		return
	}
	j.Result = result
}

func (j *Job) noteFailure(message string) {
	j.Failures++
	j.Message = message[:min(len(message), maxMessageBytes)]
	j.FailedOn = append(j.FailedOn, j.OpenAttempt.Target)
	if extra := len(j.FailedOn) - keptFailedOn; extra > 0 {
		j.FailedOn = append([]model.TargetID(nil), j.FailedOn[extra:]...)
	}
}
