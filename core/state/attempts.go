package state

import (
	"fmt"

	"samphirepaddle.example/core/model"
)

// Bounds on what is stored of an ended attempt.
const (
	maxResultBytes  = 64 << 10 // bytes; a larger result is dropped and the job still ends
	maxMessageBytes = 4 << 10  // bytes; a longer failure message is truncated
	maxFailedOn     = 16       // targets stored per job, the latest on which an attempt failed or whose process ended
	// MaxCheckpointBytes is the size of the largest checkpoint that the state stores. An owner
	// must not stop a task whose checkpoint is larger: the state would drop the checkpoint and
	// requeue the job with its previous one.
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
	if reason := target.unavailableReason(); reason != "" {
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
	s.markJobChanged(job)
}

func (t *Target) unavailableReason() string {
	switch {
	case t.Lost:
		return "its lease ran out"
	case t.Leaving:
		return "it is leaving"
	default:
		return ""
	}
}

func (s *State) checkBatchQuota(id model.TenantID, requested model.Resources) Result {
	quota := s.Config.Tenants[id].BatchQuota
	reserved := s.index.reserved[id].Add(requested)
	if shortfall := reserved.Shortfall(quota.ReplaceZeros(reserved)); shortfall != "" {
		return resultf(CodeLimit, "tenant %q would exceed its batch quota: %s", id, shortfall)
	}
	return Result{Code: CodeOK}
}

func (s *State) evictAttempt(c *EvictAttempt) Result {
	job := s.jobWithOpenAttempt(c.Attempt)
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
	s.markJobChanged(job)
	return Result{Code: CodeOK}
}

// jobWithOpenAttempt returns the job whose open attempt has the id, or nil.
func (s *State) jobWithOpenAttempt(id model.AttemptID) *Job {
	job, ok := s.Jobs[id.Job]
	if !ok || job.OpenAttempt == nil || job.OpenAttempt.ID != id {
		return nil
	}
	return job
}

func (s *State) endAttempt(c *EndAttempt) Result {
	job := s.jobWithOpenAttempt(c.Attempt)
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
		job.recordFailure(c.Message)
	case OutcomeEvicted:
		job.Evictions++
	case OutcomeLost:
		job.Losses++
	}
	s.updateCrashes(job, c.Outcome)
	if job.Cancelling {
		s.endJob(job, JobCancelled)
		return
	}
	if job.Failures >= job.maxAttempts() {
		s.endJob(job, JobFailed)
		return
	}
	if job.endsTargets() {
		s.failCrashing(job)
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

// storeResult stores the result. A result above maxResultBytes is replaced by a message,
// because rejecting the command would leave a finished job open forever.
func (j *Job) storeResult(result []byte) {
	if len(result) > maxResultBytes {
		j.Message = fmt.Sprintf("the result of %d bytes was dropped, at most %d are kept", len(result), maxResultBytes)
		return
	}
	j.Result = result
}

func (j *Job) recordFailure(message string) {
	j.Failures++
	j.Message = message[:min(len(message), maxMessageBytes)]
	j.recordFailedTarget(j.OpenAttempt.Target)
}

func (j *Job) recordFailedTarget(target model.TargetID) {
	j.FailedOn = append(j.FailedOn, target)
	if excess := len(j.FailedOn) - maxFailedOn; excess > 0 {
		j.FailedOn = append([]model.TargetID(nil), j.FailedOn[excess:]...)
	}
}
