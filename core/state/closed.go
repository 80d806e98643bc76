package state

import (
	"samphirepaddle.example/core/model"
)

// maxClosedAttempts bounds the closed attempts that are stored for each gateway. They allow the
// response to a session renewal to list only the closed attempts instead of all open ones.
// 1,024 cover 10 s at 100 ended attempts per second on one gateway; a gateway that is further
// behind receives the list of all open attempts.
const maxClosedAttempts = 1024

// closedAttempt is an attempt on a gateway's target and the revision at which it closed.
type closedAttempt struct {
	revision model.Revision
	attempt  model.AttemptID
}

// closedLog lists the attempts on the targets of one gateway that closed after the revision since.
type closedLog struct {
	since model.Revision
	items fifo[closedAttempt]
}

// recordClosedAttempt adds the job's open attempt to the closed attempts of its target's owner.
func (s *State) recordClosedAttempt(job *Job) {
	if job.OpenAttempt == nil {
		return
	}
	target, ok := s.Targets[job.OpenAttempt.Target]
	if !ok || target.Owner == "" {
		return
	}
	log := s.closedAttempts[target.Owner]
	if log == nil {
		log = &closedLog{since: s.closedSince}
		s.closedAttempts[target.Owner] = log
	}
	log.items.push(closedAttempt{s.Revision, job.OpenAttempt.ID})
	if log.items.len() > maxClosedAttempts {
		log.since = log.items.at(0).revision
		log.items.pop()
	}
}

// ClosedAttemptsSince returns the attempts on the gateway's targets that closed after the
// revision, the latest first. It reports false if some of them are no longer stored.
func (s *State) ClosedAttemptsSince(gateway model.GatewayID, revision model.Revision) ([]model.AttemptID, bool) {
	log := s.closedAttempts[gateway]
	if log == nil {
		return nil, revision >= s.closedSince
	}
	if revision < log.since {
		return nil, false
	}
	var closedAttempts []model.AttemptID
	for i := log.items.len() - 1; i >= 0 && log.items.at(i).revision > revision; i-- {
		closedAttempts = append(closedAttempts, log.items.at(i).attempt)
	}
	return closedAttempts, true
}
