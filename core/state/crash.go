package state

import (
	"fmt"

	"samphirepaddle.example/core/model"
)

// Limits on the ends of target processes under one job. An attempt that is lost may be repeated, so
// a job that ends each target process that starts it would end all of them in turn. The end of a
// process does not tell which of its attempts caused it; only that of a process with a single
// attempt is clear evidence.
const (
	// minCrashes is the number of crashes after which a job fails if it was the only one on the
	// process in minSoleCrashes of them.
	minCrashes     = 3
	minSoleCrashes = 2
	// maxCrashes is the number of crashes after which a job fails, whatever ran beside it.
	maxCrashes = 10
	// suspectCrashes is the number of crashes from which on the scheduler starts a job alone.
	suspectCrashes = 2
	// SoundRunTime is the run time after which an attempt shows that its job does not end targets.
	SoundRunTime = model.Millis(10 * 60 * 1000)
)

// ProcessEnd records that the process that ran an attempt has ended unannounced.
type ProcessEnd struct {
	Sole bool `json:"sole,omitempty" cbor:"1,keyasint,omitempty"` // no other attempt was open on the process
}

// LapsedAttempt is an attempt that was open when the lease of its target expired.
type LapsedAttempt struct {
	ID   model.AttemptID `json:"id" cbor:"1,keyasint"`
	Long bool            `json:"long,omitempty" cbor:"2,keyasint,omitempty"` // it had run for SoundRunTime
}

// IsSuspect reports whether so many target processes have ended under the job that it should run
// alone.
func (j *Job) IsSuspect() bool { return j.Crashes >= suspectCrashes }

func (j *Job) endsTargets() bool {
	return j.Crashes >= maxCrashes || (j.Crashes >= minCrashes && j.SoleCrashes >= minSoleCrashes)
}

// recordProcessEnd attributes the unannounced end of the target's process to the attempts that were
// open on it. Attempts that are still open count when they close as lost: the owner may find that
// they were never sent, or that they had finished.
func (s *State) recordProcessEnd(target *Target) {
	lapsed := target.Lapsed
	if target.Leaving {
		return
	}
	var open []*Job
	for _, id := range sortedKeys(s.index.openJobs[target.ID]) {
		if job := s.Jobs[id]; job.OpenAttempt.StartID == target.StartID {
			open = append(open, job)
		}
	}
	sole := len(open)+len(lapsed) == 1
	for _, job := range open {
		job.OpenAttempt.ProcessEnd = &ProcessEnd{Sole: sole}
		s.markJobChanged(job)
	}
	for _, attempt := range lapsed {
		if job, ok := s.Jobs[attempt.ID.Job]; ok && !job.Ended() && !attempt.Long && job.Attempts >= attempt.ID.Number {
			s.countCrash(job, target.ID, sole)
		}
	}
}

// countCrash counts the end of a target process for a job. A queued job over the limits fails now, a
// job with an open attempt when the attempt closes.
func (s *State) countCrash(job *Job, target model.TargetID, sole bool) {
	job.recordCrash(target, sole)
	s.markJobChanged(job)
	if job.Phase == JobQueued && job.endsTargets() {
		s.failCrashing(job)
	}
}

func (j *Job) recordCrash(target model.TargetID, sole bool) {
	j.Crashes++
	if sole {
		j.SoleCrashes++
	}
	j.recordFailedTarget(target)
}

func (s *State) failCrashing(job *Job) {
	job.Message = fmt.Sprintf("%d target processes ended while they ran the job, %d of them with no other job", job.Crashes, job.SoleCrashes)
	s.endJob(job, JobFailed)
}

// updateCrashes updates the crashes of a job whose attempt ends without a result.
func (s *State) updateCrashes(job *Job, outcome Outcome) {
	open := job.OpenAttempt
	switch {
	case outcome == OutcomeRefused: // it never started
	case s.Now-open.AssignedAt >= SoundRunTime:
		job.Crashes, job.SoleCrashes = 0, 0
	case outcome == OutcomeLost && open.ProcessEnd != nil:
		job.recordCrash(open.Target, open.ProcessEnd.Sole)
	}
}

// recordLapsed keeps the open attempts of a lost target: if its process turns out to have ended, they are
// suspects.
func (s *State) recordLapsed(target *Target) {
	for _, id := range sortedKeys(s.index.openJobs[target.ID]) {
		open := s.Jobs[id].OpenAttempt
		if open.StartID == target.StartID {
			target.Lapsed = append(target.Lapsed, LapsedAttempt{ID: open.ID, Long: s.Now-open.AssignedAt >= SoundRunTime})
		}
	}
}
