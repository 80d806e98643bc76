package fleet

import (
	"time"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
	"samphirepaddle.example/daemon/bootclock"
)

// strayCalls holds, for each worker id, when a call with a lease was last sent to each process under it.
//
// Calls name a worker by its id only. One that was on its way when its process ended may be executed by the
// next process under the id. The end of the lease in it is a time on the clock of the former process. That of
// the next one starts anew, so it takes the longest lease that it grants, which may outlast those that it got
// in its own name.
type strayCalls struct {
	sent map[workflow.WorkerID]map[workflow.Incarnation]bootclock.Time
}

// record notes that a call to the process was sent, or that one may have left until now.
func (c *strayCalls) record(to workflow.Incarnation, at bootclock.Time) {
	if c.sent == nil {
		c.sent = map[workflow.WorkerID]map[workflow.Incarnation]bootclock.Time{}
	}
	if c.sent[to.Worker] == nil {
		c.sent[to.Worker] = map[workflow.Incarnation]bootclock.Time{}
	}
	c.sent[to.Worker][to] = max(c.sent[to.Worker][to], at)
}

// lastSentUnder returns when a call was last sent to any process under the id, or zero.
func (c *strayCalls) lastSentUnder(id workflow.WorkerID) (last bootclock.Time) {
	for _, at := range c.sent[id] {
		last = max(last, at)
	}
	return last
}

// lastSentToOthers returns when a call was last sent to another process under the same id, or zero.
func (c *strayCalls) lastSentToOthers(than workflow.Incarnation) (last bootclock.Time) {
	for to, at := range c.sent[than.Worker] {
		if to != than {
			last = max(last, at)
		}
	}
	return last
}

// forget removes the calls that were sent before the given time.
func (c *strayCalls) forget(before bootclock.Time) {
	for id, sent := range c.sent {
		for to, at := range sent {
			if at < before {
				delete(sent, to)
			}
		}
		if len(sent) == 0 {
			delete(c.sent, id)
		}
	}
}

// longestLease returns an upper bound, on the leader's clock, of the longest lease that a worker grants.
func (l *leadership) longestLease() time.Duration {
	return time.Duration(float64(l.engine.opts.WorkerLeaseLimit)/minClockRate) + leaseExpiryMargin
}

// strayLeaseBound returns the time from a call until any lease has expired that another process under the
// worker's id took from it.
func (l *leadership) strayLeaseBound() time.Duration {
	return l.engine.opts.MaxCallDelay + l.longestLease()
}

// followsRecently reports whether a call of an earlier leader to the process before may still take effect in
// the recorded one. The times in the state are from the clocks of several leaders.
func (l *leadership) followsRecently(w *workflow.Worker, latest model.Millis) bool {
	return w.FollowedAt != 0 && latest-w.FollowedAt < model.Millis(l.strayLeaseBound().Milliseconds())+maxClockError
}

// earlierStrayEnd returns a time at which every lease has expired that the process took from calls of earlier
// leaders to its predecessors. Once it has accepted this leader's token, it refuses those calls.
func (s *session) earlierStrayEnd() bootclock.Time {
	if !s.followsRecently {
		return 0
	}
	executedBy := s.leadership.since.Add(s.leadership.engine.opts.MaxCallDelay)
	if s.acceptedAt != 0 {
		executedBy = min(executedBy, s.acceptedAt)
	}
	return executedBy.Add(s.leadership.longestLease())
}

// foreignLeaseEnd returns a time at which every lease of the process has expired that this leader did not
// send to it.
func (s *session) foreignLeaseEnd() bootclock.Time {
	end := s.earlierStrayEnd()
	if s.leaseUntil == 0 {
		end = s.earlierLeaseEnd()
	}
	if sentAt := s.leadership.strays.lastSentToOthers(s.incarnation); sentAt != 0 {
		end = max(end, sentAt.Add(s.leadership.strayLeaseBound()))
	}
	return end
}

// mayRunInSuccessor reports whether a later process under the worker's id may run the attempt, because
// nothing shows that its own process has executed the start.
func (s *session) mayRunInSuccessor(a workflow.Attempt, now bootclock.Time) bool {
	o := s.orders[a]
	if o == nil {
		return false
	}
	switch o.phase {
	case startSent:
		return true
	case startUnanswered:
		return now < s.unansweredStartEnd()
	case startAnswered:
		return !s.hasListed(a) && now < s.answeredStartEnd(o)
	}
	return false
}

// hasListed reports whether the process has listed the attempt to this leader, so that no other one runs it.
func (s *session) hasListed(a workflow.Attempt) bool {
	o := s.orders[a]
	return o != nil && o.firstListed != 0
}

// unansweredStartEnd returns a time from which no later process under the worker's id runs an attempt whose
// start got no answer.
func (s *session) unansweredStartEnd() bootclock.Time {
	return s.leadership.strays.lastSentUnder(s.incarnation.Worker).Add(s.leadership.strayLeaseBound())
}

// answeredStartEnd returns a time from which no later process under the worker's id runs an attempt whose start
// was answered. The start is not executed late any more, and the last hold call prolongs its lease if that process
// received it.
func (s *session) answeredStartEnd(o *order) bootclock.Time {
	lastCall := max(o.answeredAt, s.leadership.strays.lastSentUnder(s.incarnation.Worker))
	return lastCall.Add(s.leadership.longestLease())
}

// successorRunsEnd returns a time from which no later process under the worker's id runs an attempt of the
// session, or zero if none may.
func (s *session) successorRunsEnd(now bootclock.Time) (end bootclock.Time) {
	for a, o := range s.orders {
		switch {
		case !s.mayRunInSuccessor(a, now):
		case o.phase == startAnswered:
			end = max(end, s.answeredStartEnd(o))
		default:
			end = max(end, s.unansweredStartEnd())
		}
	}
	return end
}
