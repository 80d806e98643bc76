package state

import (
	"samphirepaddle.example/core/model"
)

// Bounds on the records of ended work. Trimming follows the time in the commands, so that every
// replica drops the same records at the same command.
const (
	requestRetention     = model.Millis(24 * 60 * 60 * 1000) // how long an ended request is kept
	maxRequestsPerTenant = 100_000
	// minRequestAge is the age below which a record is never dropped in favor of a new one: a
	// caller retries within the longest deadline of a request, which is 10 minutes.
	minRequestAge         = model.Millis(10 * 60 * 1000)
	maxResponseBytes      = 64 << 10 // of one stored response
	maxTotalResponseBytes = 32 << 20 // of all stored responses; the oldest are dropped first

	jobRetention     = model.Millis(24 * 60 * 60 * 1000) // how long an ended job and its key are kept
	maxEndedJobs     = 100_000
	maxEndedBytes    = 64 << 20 // of all ended jobs
	jobOverheadBytes = 512      // estimate for an ended job without its result and message

	lostTargetRetention = model.Millis(24 * 60 * 60 * 1000) // how long a lost target is kept

	// maxTrimsPerCommand bounds the records that each step of trim drops with one command. Nearly
	// every command ends at most one record, so any bound above one removes a backlog in time.
	maxTrimsPerCommand = 16
)

// trim drops the records beyond their retention period or the size limits, a bounded number
// with each command. Only records that are dropped count towards the bound: a restored index has
// no entries for the records that were dropped before, and must drop the same records at the
// same command as the other replicas.
func (s *State) trim() {
	s.trimRequests()
	for i := 0; i < maxTrimsPerCommand && s.index.responseBytes > maxTotalResponseBytes; i++ {
		s.dropOldestResponse()
	}
	s.trimJobs()
	s.trimTargets()
}

func (s *State) trimRequests() {
	x := &s.index
	for dropped := 0; dropped < maxTrimsPerCommand && x.endedRequests.len() > 0; {
		oldest := x.endedRequests.at(0)
		if s.isRetainedRequest(oldest) {
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
	for dropped := 0; dropped < maxTrimsPerCommand && x.lostTargets.len() > 0; {
		oldest := x.lostTargets.at(0)
		target, ok := s.Targets[oldest.target]
		if ok && target.Lost && target.LostSequence == oldest.sequence {
			if s.Now-oldest.at < lostTargetRetention {
				return
			}
			delete(s.Targets, oldest.target)
			s.journal.add(change{revision: s.Revision, target: oldest.target})
			dropped++
		}
		x.lostTargets.pop()
	}
}

func (s *State) isRetainedRequest(e endedRequestRef) bool {
	record, ok := s.Requests[e.key]
	return ok && record.Ended && record.Sequence == e.sequence
}

// dropRequest removes the record that e refers to, if it is still stored.
func (s *State) dropRequest(e endedRequestRef) {
	if !s.isRetainedRequest(e) {
		return
	}
	s.index.responseBytes -= s.Requests[e.key].Response.size()
	addCount(s.index.requestsByTenant, e.key.Tenant, -1)
	delete(s.Requests, e.key)
}

func (s *State) popEndedRequest() {
	x := &s.index
	oldest := x.endedRequests.at(0)
	x.endedRequests.pop()
	x.nextResponseToDrop = max(0, x.nextResponseToDrop-1)
	queue := x.endedRequestsByTenant[oldest.key.Tenant]
	for queue != nil && queue.len() > 0 && queue.at(0).sequence <= oldest.sequence {
		queue.pop()
	}
	if queue != nil && queue.len() == 0 {
		delete(x.endedRequestsByTenant, oldest.key.Tenant)
	}
}

// ensureRequestCapacity drops the tenant's oldest ended request if the tenant has reached its
// limit. It reports false if no request can be dropped: none has ended, or the oldest has
// not reached minRequestAge.
func (s *State) ensureRequestCapacity(tenant model.TenantID) bool {
	if s.index.requestsByTenant[tenant] < maxRequestsPerTenant {
		return true
	}
	queue := s.index.endedRequestsByTenant[tenant]
	for queue != nil && queue.len() > 0 {
		oldest := queue.at(0)
		if s.isRetainedRequest(oldest) && s.Now-oldest.at < minRequestAge {
			return false
		}
		retained := s.isRetainedRequest(oldest)
		s.dropRequest(oldest)
		queue.pop()
		if retained {
			return true
		}
	}
	return false
}

func (s *State) dropOldestResponse() {
	x := &s.index
	for x.nextResponseToDrop < x.endedRequests.len() {
		e := x.endedRequests.at(x.nextResponseToDrop)
		x.nextResponseToDrop++
		if s.isRetainedRequest(e) && s.Requests[e.key].Response != nil {
			x.responseBytes -= s.Requests[e.key].Response.size()
			s.Requests[e.key].Response = nil
			return
		}
	}
}

func (s *State) trimJobs() {
	x := &s.index
	for dropped := 0; dropped < maxTrimsPerCommand && x.endedJobs.len() > 0; {
		oldest := x.endedJobs.at(0)
		if s.Now-oldest.at < jobRetention {
			break
		}
		removed := s.dropEndedJob(oldest)
		if record, ok := s.JobKeys[oldest.key]; ok && record.Job == oldest.job {
			delete(s.JobKeys, oldest.key)
			removed = true
		}
		if removed {
			dropped++
		}
		x.endedJobs.pop()
		x.nextJobToDrop = max(0, x.nextJobToDrop-1)
	}
	overLimit := func() bool { return x.retainedJobs > maxEndedJobs || x.retainedBytes > maxEndedBytes }
	for dropped := 0; dropped < maxTrimsPerCommand && overLimit() && x.nextJobToDrop < x.endedJobs.len(); x.nextJobToDrop++ {
		if s.dropEndedJob(x.endedJobs.at(x.nextJobToDrop)) {
			dropped++
		}
	}
}

// dropEndedJob removes an ended job and reports whether it was still stored. The job's key stays
// for its retention period.
func (s *State) dropEndedJob(e endedJobRef) bool {
	job, ok := s.Jobs[e.job]
	if !ok || !job.Ended() || job.Sequence != e.sequence {
		return false
	}
	s.index.retainedJobs--
	s.index.retainedBytes -= job.retainedSize()
	delete(s.Jobs, e.job)
	s.pruneLastTicket(model.ObjectRef{Kind: model.KindJob, ID: string(e.job)})
	return true
}

// pruneLastTicket removes the LastTicket entry of an object that no longer exists, if its number is
// below TicketFloor: older tickets are then rejected by their number alone.
func (s *State) pruneLastTicket(ref model.ObjectRef) {
	if last, ok := s.LastTicket[ref]; ok && last < s.TicketFloor && !s.objectExists(ref) {
		delete(s.LastTicket, ref)
	}
}
