package state

import (
	"samphirepaddle.example/core/model"
)

// keptClosed is the number of closed attempts that are remembered for each gateway, so that
// a renewal names what closed instead of listing everything that is open. It covers 10 s at
// 100 ends/s on one gateway; a gateway that is further behind gets the whole list.
const keptClosed = 1024

// closedAttempt is an attempt that left a gateway's targets.
type closedAttempt struct {
	revision model.Revision
	attempt  model.AttemptID
}

// closedLog lists the attempts that closed after the revision since.
type closedLog struct {
	since model.Revision
	items fifo[closedAttempt]
}

// noteClosed records for the owner that the open attempt of a job closes now.
func (s *State) noteClosed(job *Job) {
	if job.OpenAttempt == nil {
		return
	}
	target, ok := s.Targets[job.OpenAttempt.Target]
	if !ok || target.Owner == "" {
		return
	}
	log := s.closed[target.Owner]
	if log == nil {
		log = &closedLog{since: s.closedSince}
		s.closed[target.Owner] = log
	}
	log.items.push(closedAttempt{s.Revision, job.OpenAttempt.ID})
	if log.items.len() > keptClosed {
		log.since = log.items.at(0).revision
		log.items.pop()
	}
}

// ClosedAttemptsSince returns the attempts on a gateway's targets that closed after the revision. It
// reports false if some of them are no longer remembered.
func (s *State) ClosedAttemptsSince(gateway model.GatewayID, revision model.Revision) ([]model.AttemptID, bool) {
	log := s.closed[gateway]
	if log == nil {
		return nil, revision >= s.closedSince
	}
	if revision < log.since {
		return nil, false
	}
	var closed []model.AttemptID
	for i := log.items.len() - 1; i >= 0 && log.items.at(i).revision > revision; i-- {
		closed = append(closed, log.items.at(i).attempt)
	}
	return closed, true
}
