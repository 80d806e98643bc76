package fleet

import (
	"math"
	"time"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
	"samphirepaddle.example/daemon/bootclock"
)

// silenceRecordInterval is the time by which the remaining lease must have fallen before it is recorded
// again. The next leader may wait for as much longer than necessary.
const silenceRecordInterval = time.Second

// silence is what is recorded of a worker process that does not answer. Without a record, a new leader
// must assume that the earlier one has sent a lease just before its own term: tasks on a worker that is
// lost would wait for a whole lease again after each change of leader.
//
// The record is safe because no lease is sent while it may stand. A leader sets recorded before it
// proposes one and resets it only once an answer of the worker has been committed. An earlier record or
// one whose outcome is unknown precedes that answer in the log, and the next leader has applied every
// committed entry before it sends a call.
type silence struct {
	recorded      bool
	inherited     bool          // recorded by an earlier leader
	inheritedLeft time.Duration // remaining lease by that record, counted from the start of the session
}

func inheritSilence(w workflow.Worker) silence {
	left := time.Duration(w.LeaseLeftMs) * time.Millisecond
	return silence{recorded: w.Silent, inherited: w.Silent, inheritedLeft: left}
}

// earlierLeaseEnd returns a time at which every lease from earlier leaders has expired, if the process has got
// none from this one.
func (s *session) earlierLeaseEnd() bootclock.Time {
	end := s.leadership.since.Add(s.leadership.earlierLeaseBound())
	if !s.tokenAccepted {
		end = max(end, s.openedAt.Add(s.leadership.engine.opts.WorkerLease))
	}
	end = max(end, s.earlierStrayEnd())
	if s.silence.inherited {
		end = s.openedAt.Add(s.silence.inheritedLeft)
	}
	return end
}

// leaseLeft returns an upper bound of the remaining time of every lease of the worker process, and of those of a
// later process under its id that may run one of its attempts. The leases that this leader has sent end later
// than those of earlier ones, whose calls the worker has refused since.
func (s *session) leaseLeft(now bootclock.Time) time.Duration {
	left := max(s.foreignLeaseEnd(), s.successorRunsEnd(now)).Sub(now)
	if s.leaseUntil != 0 {
		own := float64(s.leaseUntil-s.minClock(now))/minClockRate + float64(2*leaseExpiryMargin.Milliseconds())
		left = max(left, time.Duration(math.Ceil(own))*time.Millisecond)
	}
	return max(0, left)
}

// recordSilence adds to the batch that the worker process does not answer, with the remaining time of its
// leases, unless the recorded time is nearly as short.
func (l *leadership) recordSilence(s *session, w *workflow.Worker, now bootclock.Time, p *passPlan) {
	if s.replaced || now.Sub(max(s.answeredAt, s.openedAt)) < unreachableAfter {
		return
	}
	left := s.leaseLeft(now)
	if w.Silent && time.Duration(w.LeaseLeftMs)*time.Millisecond-left < silenceRecordInterval {
		return
	}
	s.silence.recorded = true
	p.batch.Silent = append(p.batch.Silent, workflow.SilentWorker{Incarnation: s.incarnation, LeaseLeftMs: model.Millis(left.Milliseconds() + 1)})
}

// endSilences has leases sent again to the worker processes whose answer is committed; l.mu must be held.
func (l *leadership) endSilences(answered []workflow.Incarnation) {
	for _, incarnation := range answered {
		if s := l.sessions[incarnation]; s != nil {
			s.silence.recorded = false
			s.wakeUp()
		}
	}
}
