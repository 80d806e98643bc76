package state

import (
	"samphirepaddle.example/core/model"
)

// Bounds on what is kept of ended work. Trimming is driven by the time of the commands, so
// that every replica drops the same records at the same command.
const (
	requestRetention  = model.Millis(24 * 60 * 60 * 1000) // how long an ended request is kept
	requestsPerTenant = 100_000
	// requestGuard is the age below which a record is never dropped to make room: a caller
	// resends within the longest deadline of a request, which is 10 minutes.
	requestGuard   = model.Millis(10 * 60 * 1000)
	maxAnswerBytes = 64 << 10 // of one stored answer
	maxAnswerTotal = 32 << 20 // of all stored answers; the oldest lose their bodies first

	jobRetention  = model.Millis(24 * 60 * 60 * 1000) // how long an ended job and its key are kept
	maxEndedJobs  = 100_000
	maxEndedBytes = 64 << 20 // of all ended jobs
	jobOverhead   = 512      // bytes that an ended job takes beside its result

	lostRetention = model.Millis(24 * 60 * 60 * 1000) // how long a lost target is remembered

	// trimsPerCommand bounds the work that one command does. A command ends one record in
	// nearly all cases, so any number above one catches up.
	trimsPerCommand = 16
)

// trim drops records whose time is over, a bounded number with each command. Only records
// that are dropped count against the bound: a restored index lacks the places of records
// that are gone already, and must drop the same records at the same command.
func (s *State) trim() {
	s.trimRequests()
	for i := 0; i < trimsPerCommand && s.index.answerBytes > maxAnswerTotal; i++ {
		s.dropOldestAnswer()
	}
	s.trimJobs()
	s.trimTargets()
}

func (s *State) trimRequests() {
	x := &s.index
	for dropped := 0; dropped < trimsPerCommand && x.endedRequests.len() > 0; {
		oldest := x.endedRequests.at(0)
		if s.holdsRequest(oldest) {
			if s.Now-oldest.at < requestRetention {
				return
			}
			s.dropRequest(oldest)
			dropped++
		}
		s.popEndedRequest()
	}
}

func (s *State) trimTargets() {
	x := &s.index
	for dropped := 0; dropped < trimsPerCommand && x.lost.len() > 0; {
		oldest := x.lost.at(0)
		target, ok := s.Targets[oldest.target]
		if ok && target.Lost && target.LostSequence == oldest.sequence {
			if s.Now-oldest.at < lostRetention {
				return
			}
			delete(s.Targets, oldest.target)
			s.journal.add(change{revision: s.Revision, target: oldest.target})
			dropped++
		}
		x.lost.pop()
	}
}

func (s *State) holdsRequest(e endedRequest) bool {
	record, ok := s.Requests[e.key]
	return ok && record.Ended && record.Sequence == e.sequence
}

// dropRequest removes an ended record if it is still the one that e names.
func (s *State) dropRequest(e endedRequest) {
	if !s.holdsRequest(e) {
		return
	}
	s.index.answerBytes -= s.Requests[e.key].Response.size()
	addCount(s.index.requests, e.key.Tenant, -1)
	delete(s.Requests, e.key)
}

func (s *State) popEndedRequest() {
	x := &s.index
	oldest := x.endedRequests.at(0)
	x.endedRequests.pop()
	x.nextAnswer = max(0, x.nextAnswer-1)
	queue := x.tenantEnded[oldest.key.Tenant]
	for queue != nil && queue.len() > 0 && queue.at(0).sequence <= oldest.sequence {
		queue.pop()
	}
	if queue != nil && queue.len() == 0 {
		delete(x.tenantEnded, oldest.key.Tenant)
	}
}

// makeRoom drops the tenant's oldest ended request if the tenant has reached its bound. It
// reports false if that record is too young to be dropped.
func (s *State) makeRoom(tenant model.TenantID) bool {
	if s.index.requests[tenant] < requestsPerTenant {
		return true
	}
	queue := s.index.tenantEnded[tenant]
	for queue != nil && queue.len() > 0 {
		oldest := queue.at(0)
		if s.holdsRequest(oldest) && s.Now-oldest.at < requestGuard {
			return false
		}
		held := s.holdsRequest(oldest)
		s.dropRequest(oldest)
		queue.pop()
		if held {
			return true
		}
	}
	return false
}

func (s *State) dropOldestAnswer() {
	x := &s.index
	for x.nextAnswer < x.endedRequests.len() {
		e := x.endedRequests.at(x.nextAnswer)
		x.nextAnswer++
		if s.holdsRequest(e) && s.Requests[e.key].Response != nil {
			x.answerBytes -= s.Requests[e.key].Response.size()
			s.Requests[e.key].Response = nil
			return
		}
	}
}

func (s *State) trimJobs() {
	x := &s.index
	for dropped := 0; dropped < trimsPerCommand && x.endedJobs.len() > 0; {
		oldest := x.endedJobs.at(0)
		if s.Now-oldest.at < jobRetention {
			break
		}
		gone := s.dropEndedJob(oldest)
		if record, ok := s.JobKeys[oldest.key]; ok && record.Job == oldest.job {
			delete(s.JobKeys, oldest.key)
			gone = true
		}
		if gone {
			dropped++
		}
		x.endedJobs.pop()
		x.nextDrop = max(0, x.nextDrop-1)
	}
	over := func() bool { return x.keptJobs > maxEndedJobs || x.keptBytes > maxEndedBytes }
	for dropped := 0; dropped < trimsPerCommand && over() && x.nextDrop < x.endedJobs.len(); x.nextDrop++ {
		if s.dropEndedJob(x.endedJobs.at(x.nextDrop)) {
			dropped++
		}
	}
}

// dropEndedJob removes an ended job if it is still kept. Its key stays until its time is over.
func (s *State) dropEndedJob(e endedJob) bool {
	job, ok := s.Jobs[e.job]
	if !ok || !job.Ended() || job.Sequence != e.sequence {
		return false
	}
	s.index.keptJobs--
	s.index.keptBytes -= job.keptSize()
	delete(s.Jobs, e.job)
	s.forgetLastTicket(model.ObjectRef{Kind: model.KindJob, ID: string(e.job)})
	return true
}

// forgetLastTicket drops the last ticket of an object that no longer exists, once every
// ticket that could still be accepted has a higher number.
func (s *State) forgetLastTicket(ref model.ObjectRef) {
	if last, ok := s.LastTicket[ref]; ok && last < s.TicketFloor && !s.exists(ref) {
		delete(s.LastTicket, ref)
	}
}
