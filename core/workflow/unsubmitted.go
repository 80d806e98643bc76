package workflow

import (
	"slices"

	"samphirepaddle.example/core/model"
)

// maxUnsubmitted is the number of cancelled ids without a submission that are kept, the latest ones. Any caller can add one
// with each call, so neither their memory nor the room that they leave to submissions may depend on the number of calls.
const maxUnsubmitted = 4096

// addUnsubmitted records that a job was cancelled that nobody has submitted. Its submission may still be on its way, and
// must not run then.
func (s *State) addUnsubmitted(id JobID, now model.Millis) {
	s.Jobs[id] = &Job{ID: id, Phase: PhaseUnsubmitted, EndedAt: now}
	e := endedJob{now, id}
	i, _ := slices.BinarySearchFunc(s.unsubmitted, e, endedJob.compare)
	s.unsubmitted = slices.Insert(s.unsubmitted, i, e)
	for len(s.unsubmitted) > maxUnsubmitted {
		s.dropOldestUnsubmitted()
	}
}

func (s *State) dropOldestUnsubmitted() {
	delete(s.Jobs, s.unsubmitted[0].id)
	s.unsubmitted = s.unsubmitted[1:]
}

// cancelSubmitted turns the record of a cancelled id into that of a cancelled job, because its submission has arrived.
func (s *State) cancelSubmitted(job *Job, route string) {
	e := endedJob{job.EndedAt, job.ID}
	if i, found := slices.BinarySearchFunc(s.unsubmitted, e, endedJob.compare); found {
		s.unsubmitted = slices.Delete(s.unsubmitted, i, i+1)
	}
	job.Phase = PhaseCancelled
	job.Route = route
	s.addEnded(e)
}

func (s *State) dropExpiredUnsubmitted(now model.Millis) {
	for len(s.unsubmitted) > 0 && now-s.unsubmitted[0].at > jobRetention {
		s.dropOldestUnsubmitted()
	}
}
