package fleet

import (
	"time"

	"samphirepaddle.example/core/dispatch"
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
	"samphirepaddle.example/daemon/bootclock"
)

// Timeouts after which a task is moved to another worker.
const (
	// drainStopMargin is how long before the end of a draining worker its tasks are stopped. A
	// stop takes 400 ms, and the end of the task is listed with the next hold call.
	drainStopMargin = 900 * time.Millisecond
)

// reconcileWorker closes the open attempts of one worker process that do not run and never will,
// and stops those that must not run. A deregistration closes none: it names the worker's id only, so that it
// may be that of an earlier process, and a worker that got no answer to it goes on for some seconds.
func (l *leadership) reconcileWorker(workflows *workflow.State, incarnation workflow.Incarnation, now bootclock.Time, ended map[workflow.Attempt]bool, p *passPlan) {
	s := l.sessions[incarnation]
	current, known := workflows.Workers[incarnation.Worker]
	if known && current.Incarnation != incarnation {
		l.reconcileReplaced(workflows, incarnation, l.sessions[current.Incarnation], now, ended, p)
		return
	}
	if s == nil {
		l.closeWithoutSession(workflows, incarnation, now, ended, p)
		return
	}
	lossReason, lost, waiting := "", false, false
	switch {
	case s.processEnded():
		lossReason = "the worker process has ended"
	case s.leaseExpired(now):
		lossReason = "the worker's lease has expired"
	}
	workflows.VisitOpenAttempts(incarnation, func(a workflow.OpenAttempt) {
		switch {
		case ended[a.Attempt]:
		case lossReason == "":
			l.reconcileAttempt(s, current, a, now, p)
			waiting = true
		case s.processEnded(), !s.mayRunInSuccessor(a.Attempt, now):
			l.recordLoss(s, a.Attempt, lossReason, p)
			lost = true
		default:
			waiting = true
		}
	})
	if waiting && known {
		l.recordSilence(s, current, now, p)
	}
	if lost && !s.processEnded() {
		p.batch.Lapsed = append(p.batch.Lapsed, workflow.Crash{Incarnation: incarnation, Attempts: l.possibleCauses(incarnation, nil, workflows, ended)})
	}
}

// processEnded reports whether another worker answers at the address, so that no call can reach the process
// or a later one under its id.
func (s *session) processEnded() bool { return s.replaced && s.otherWorker }

// closeWithoutSession closes the attempts of a worker process that is not recorded any more, once its leases
// from earlier leaders have expired.
func (l *leadership) closeWithoutSession(workflows *workflow.State, incarnation workflow.Incarnation, now bootclock.Time, ended map[workflow.Attempt]bool, p *passPlan) {
	if now.Sub(l.since) < l.earlierLeaseBound() {
		return
	}
	workflows.VisitOpenAttempts(incarnation, func(a workflow.OpenAttempt) {
		if !ended[a.Attempt] {
			p.batch.Lost = append(p.batch.Lost, workflow.LostAttempt{Incarnation: incarnation, Attempt: a.Attempt})
		}
	})
}

// deregisteredFor returns how long this leader has known that the worker is deregistered.
func (l *leadership) deregisteredFor(w *workflow.Worker, now bootclock.Time) time.Duration {
	seen, ok := l.seenAt.deregistered[w.Incarnation]
	if !ok {
		l.seenAt.deregistered[w.Incarnation] = now
		return 0
	}
	return now.Sub(seen)
}

// seenAt holds what this leader has observed of worker processes.
type seenAt struct {
	deregistered map[workflow.Incarnation]bootclock.Time // when a process was first seen to be deregistered
	crashed      map[workflow.Incarnation]bool           // worker processes whose crash is recorded
}

func newSeenAt() seenAt {
	return seenAt{deregistered: map[workflow.Incarnation]bootclock.Time{}, crashed: map[workflow.Incarnation]bool{}}
}

// reconcileReplaced closes the attempts of a worker process that was replaced by a new process
// with the same worker id. Calls carry only the id, so a start that was not answered may still
// reach the new process: its attempt is closed after the new process has answered a stop. Starts
// of earlier leaders are excluded once the new process has answered with this leader's token.
func (l *leadership) reconcileReplaced(workflows *workflow.State, incarnation workflow.Incarnation, next *session, now bootclock.Time, ended map[workflow.Attempt]bool, p *passPlan) {
	old := l.sessions[incarnation]
	if next == nil || !next.tokenAccepted {
		l.closeReplaced(workflows, incarnation, next, now, ended, p)
		return
	}
	if !workflows.Workers[incarnation.Worker].PredecessorLeft {
		l.addCrash(incarnation, next, workflows, ended, p)
	}
	workflows.VisitOpenAttempts(incarnation, func(a workflow.OpenAttempt) {
		if ended[a.Attempt] {
			return
		}
		switch fate, reason := attemptFate(old, next, a.Attempt, now); fate {
		case fateMustBeStopped:
			l.sendStop(next, a.Attempt, now, p)
		case fateNeverRuns:
			l.recordReplacedLoss(incarnation, a.Attempt, lastCheckpoint(old, next, a.Attempt), reason, p)
		}
	})
}

// formerAttemptsGauge is the number of open attempts of worker processes that another one has followed.
const formerAttemptsGauge = "attempts_of_former_processes"

func (l *leadership) gaugeFormerAttempts(workflows *workflow.State) {
	count := 0
	for _, former := range workflows.FormerIncarnations() {
		for _, incarnation := range former {
			workflows.VisitOpenAttempts(incarnation, func(workflow.OpenAttempt) { count++ })
		}
	}
	l.engine.opts.Metrics.SetGauge(formerAttemptsGauge, count)
}

// fate is what becomes of an attempt of a worker process that another one has followed.
type fate uint8

const (
	fateOpen          fate = iota // the next process may run it, and nothing can be done
	fateMustBeStopped             // the next process runs it or may start it
	fateNeverRuns                 // no process under the worker's id runs it or will
)

// attemptFate returns the fate of an open attempt of the process old, given the session with the process that
// followed, which has answered, and the reason for fateNeverRuns. old is nil if only earlier leaders called the process.
//
// The next process may end as well before it shows what became of the start. Another worker at its
// address refuses all calls that name the id. Otherwise its leases and the delay of the start bound the wait.
func attemptFate(old, next *session, a workflow.Attempt, now bootclock.Time) (fate, string) {
	if next.processEnded() {
		return fateNeverRuns, "the worker has started again, and the next process has ended"
	}
	expired := next.leaseExpired(now)
	switch {
	case expired && (old == nil || !old.mayRunInSuccessor(a, now)):
		return fateNeverRuns, "the worker has started again, and the lease of the next process has expired"
	case expired:
		return fateOpen, ""
	case next.lists(a):
		return fateMustBeStopped, ""
	case old == nil || old.orders[a] == nil:
		return fateNeverRuns, "the worker has started again"
	}
	switch o := old.orders[a]; {
	case o.phase == startSent, o.phase == startAnswered && next.fullListSentAt <= o.answeredAt:
		return fateOpen, "" // the next process has not listed its attempts since the start
	case o.phase == startUnanswered && next.orderOf(a).stopAnsweredAt == 0:
		return fateMustBeStopped, ""
	}
	return fateNeverRuns, "the worker has started again"
}

// lastCheckpoint returns the latest checkpoint of the attempt that one of the processes has listed.
func lastCheckpoint(old, next *session, a workflow.Attempt) string {
	if next != nil && next.lists(a) {
		return next.running[a].Checkpoint
	}
	if old != nil {
		return old.running[a].Checkpoint
	}
	return ""
}

func (l *leadership) recordReplacedLoss(incarnation workflow.Incarnation, a workflow.Attempt, checkpoint, reason string, p *passPlan) {
	p.batch.Lost = append(p.batch.Lost, workflow.LostAttempt{Incarnation: incarnation, Attempt: a, Checkpoint: checkpoint})
	l.logger.Info().Str("task", a.Task.String()).Uint32("attempt", a.Number).Str("worker", string(incarnation.Worker)).
		Int64("born", int64(incarnation.StartedAt)).Str("reason", reason).Msg("attempt lost")
}

// closeReplaced closes the attempts of a worker process whose replacement has not answered: those that it has
// listed once its own lease has expired, and the others once the replacement cannot run them either.
func (l *leadership) closeReplaced(workflows *workflow.State, incarnation workflow.Incarnation, next *session, now bootclock.Time, ended map[workflow.Attempt]bool, p *passPlan) {
	old := l.sessions[incarnation]
	current := workflows.Workers[incarnation.Worker]
	nextExpired := l.replacementExpired(current, next, now)
	oldExpired := old != nil && old.leaseExpired(now)
	lost := false
	workflows.VisitOpenAttempts(incarnation, func(a workflow.OpenAttempt) {
		switch {
		case ended[a.Attempt]:
			return
		case oldExpired && old.hasListed(a.Attempt):
		case !nextExpired, old != nil && old.mayRunInSuccessor(a.Attempt, now):
			return
		}
		lost = true
		l.recordReplacedLoss(incarnation, a.Attempt, lastCheckpoint(old, next, a.Attempt), "the worker has started again and does not answer", p)
	})
	if lost && !current.PredecessorLeft {
		l.addCrash(incarnation, nil, workflows, ended, p)
	}
}

// replacementExpired reports whether every lease of the process that replaced another one has expired. It has
// not answered, and may have ended before the first call reached it.
func (l *leadership) replacementExpired(current *workflow.Worker, next *session, now bootclock.Time) bool {
	if next == nil {
		return current.Deregistered && l.deregisteredFor(current, now) > l.strayLeaseBound()
	}
	return next.leaseExpired(now)
}

// earlierLeaseBound returns an upper bound, on the leader's clock, of the remaining time of any
// worker lease that has already been sent to the process that has taken it.
func (l *leadership) earlierLeaseBound() time.Duration {
	return time.Duration(float64(l.engine.opts.WorkerLease+leaseExpiryMargin)/minClockRate) + leaseExpiryMargin
}

func (l *leadership) recordLoss(s *session, a workflow.Attempt, reason string, p *passPlan) {
	silent := int64(-1)
	if s.answeredAt != 0 {
		silent = bootclock.Since(s.answeredAt).Milliseconds()
	}
	l.logger.Info().Str("task", a.Task.String()).Uint32("attempt", a.Number).Str("worker", string(s.incarnation.Worker)).
		Int64("born", int64(s.incarnation.StartedAt)).Int64("silent_ms", silent).
		Int64("lease_until_ms", int64(s.leaseUntil)).Int64("clock_ms", int64(s.minClock(bootclock.Now()))).
		Str("reason", reason).Msg("attempt lost")
	p.batch.Lost = append(p.batch.Lost, workflow.LostAttempt{Incarnation: s.incarnation, Attempt: a, Checkpoint: s.running[a].Checkpoint})
}

// reconcileAttempt compares one open attempt with the attempts that the worker lists.
func (l *leadership) reconcileAttempt(s *session, w *workflow.Worker, a workflow.OpenAttempt, now bootclock.Time, p *passPlan) {
	o := s.orderOf(a.Attempt)
	_, listed := s.running[a.Attempt]
	if listed {
		l.evictIfNeeded(s, w, a, o, now)
		if a.Ended || o.evictReason != "" {
			l.sendStop(s, a.Attempt, now, p)
		}
		return
	}
	switch o.phase {
	case startPlanned, startSent:
	case startImpossible:
		l.recordLoss(s, a.Attempt, "the attempt was never started", p)
	case startInherited:
		if s.tokenAccepted && s.fullListSentAt > s.openedAt {
			l.recordLoss(s, a.Attempt, "the worker does not list the attempt, and has accepted this leader's fencing token", p)
		}
	case startAnswered:
		if s.fullListSentAt > o.answeredAt {
			l.recordLoss(s, a.Attempt, "the worker no longer lists the attempt", p)
		}
	case startUnanswered:
		switch {
		case o.stopAnsweredAt != 0 && s.fullListSentAt > o.stopAnsweredAt:
			l.recordLoss(s, a.Attempt, "the start was not answered and has been stopped", p)
		case s.fullListSentAt > o.answeredAt || a.Ended:
			l.sendStop(s, a.Attempt, now, p)
		}
	}
}

// evictIfNeeded marks a running attempt for eviction if it should move to another worker.
func (l *leadership) evictIfNeeded(s *session, w *workflow.Worker, a workflow.OpenAttempt, o *order, now bootclock.Time) {
	if o.evictReason != "" || a.Ended {
		return
	}
	switch {
	case w != nil && w.Draining && a.Step.LongRunning:
		o.evictReason = "the worker is draining"
	case w != nil && w.Draining && s.drainUntil != 0 && s.drainUntil.Sub(now) < drainStopMargin:
		o.evictReason = "the draining worker is about to end"
	case o.pace == 0 && !o.paceInFlight && dispatch.WorthMoving(a.Step, model.Millis(now.Sub(o.paceSetAt).Milliseconds()), l.engine.opts.PlaceCosts):
		o.evictReason = "paused too long to protect serving tasks"
	case s.stalled(a, o, now, l.stalls[a.Attempt.Task]):
		o.evictReason = "no progress"
		l.stalls[a.Attempt.Task]++
		s.quarantine.stalled(now)
	default:
		return
	}
	s.changed = true
	l.logger.Info().Str("task", a.Attempt.Task.String()).Uint32("attempt", a.Number).Str("worker", string(s.incarnation.Worker)).
		Str("reason", o.evictReason).Int("percent", o.progress).Msg("attempt is moved")
}

// stopOrphans stops running attempts that are not open, such as those of starts that were executed
// late. Their workers take no tasks meanwhile, because the orphans still hold resources.
func (l *leadership) stopOrphans(workflows *workflow.State, all bool, now bootclock.Time, p *passPlan) {
	for _, s := range l.sessions {
		if s.failing || !s.tokenAccepted || (!all && !s.changed) {
			continue
		}
		s.runsOrphan = false
		for a := range s.running {
			if open, _ := workflows.IsOpen(s.incarnation, a); !open && !s.hasEnd(a) {
				s.runsOrphan = true
				l.sendStop(s, a, now, p)
			}
		}
	}
}

func (s *session) hasEnd(a workflow.Attempt) bool {
	for _, e := range s.ends {
		if e.Attempt == a {
			return true
		}
	}
	return false
}
