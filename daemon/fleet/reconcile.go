package fleet

import (
	"time"

	"samphirepaddle.example/core/dispatch"
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
	"samphirepaddle.example/daemon/bootclock"
)

// Times after which a task is moved.
const (
	// stallTime without progress counts as a stalled worker: a task that gets a tenth of its
	// cores still moves by one percent in a fraction of a second.
	stallTime = 2500 * time.Millisecond
	// leaveMargin before a draining worker ends, its tasks are stopped; a stop takes 400 ms and
	// its end is listed with the next call.
	leaveMargin = 900 * time.Millisecond
	// lateStart bounds what a start without an answer may do: workers carry starts out up to
	// 12 s late and shorten a lease to 10 s.
	lateStart = 23 * time.Second
)

// reconcileLife closes the open attempts of one life that are known never to run, and stops
// those that must not run.
func (l *lead) reconcileLife(flows *workflow.State, life workflow.Incarnation, now bootclock.Time, ended map[workflow.Attempt]bool, p *planned) {
	s := l.sessions[life]
	current, known := flows.Workers[life.Worker]
	if known && current.Incarnation != life {
		l.reconcileReplaced(flows, life, l.sessions[current.Incarnation], now, ended, p)
		return
	}
	if s == nil {
		l.loseWithoutSession(flows, life, now, ended, p)
		return
	}
	dead := s.over && s.otherID || s.lapsed(now) || (known && current.Deregistered && l.goneFor(current, now) > goneGrace)
	flows.VisitOpenAttempts(life, func(a workflow.OpenAttempt) {
		switch {
		case ended[a.Attempt]:
		case dead:
			l.lose(s, a.Attempt, "the worker's life or lease is over", p)
		default:
			l.reconcileAttempt(s, current, a, now, p)
		}
	})
}

// loseWithoutSession handles a life that left before this leadership began.
func (l *lead) loseWithoutSession(flows *workflow.State, life workflow.Incarnation, now bootclock.Time, ended map[workflow.Attempt]bool, p *planned) {
	if now.Sub(l.since) < l.earlierLeases() {
		return
	}
	flows.VisitOpenAttempts(life, func(a workflow.OpenAttempt) {
		if !ended[a.Attempt] {
			p.batch.Lost = append(p.batch.Lost, workflow.LostAttempt{Incarnation: life, Attempt: a.Attempt})
		}
	})
}

// goneFor returns how long ago the worker deregistered, as far as this leader knows.
func (l *lead) goneFor(w *workflow.Worker, now bootclock.Time) time.Duration {
	seen, ok := l.watches.gone[w.Incarnation]
	if !ok {
		l.watches.gone[w.Incarnation] = now
		return 0
	}
	return now.Sub(seen)
}

// watches remembers when this leader saw something first.
type watches struct {
	gone map[workflow.Incarnation]bootclock.Time
}

func newWatches() watches { return watches{gone: map[workflow.Incarnation]bootclock.Time{}} }

// reconcileReplaced closes the attempts of a life whose worker has started again. The id in
// the calls does not tell the two lives apart, so a start that was not answered may still
// arrive at the new one: it is settled by a stop that the new life has answered. Starts of
// earlier leaders are settled by the new life's answer under our token.
func (l *lead) reconcileReplaced(flows *workflow.State, life workflow.Incarnation, next *session, now bootclock.Time, ended map[workflow.Attempt]bool, p *planned) {
	old := l.sessions[life]
	if next == nil || !next.fenced {
		if l.silentSinceReplaced(flows.Workers[life.Worker], next, now) {
			l.loseReplaced(flows, life, now, ended, p)
		}
		return
	}
	flows.VisitOpenAttempts(life, func(a workflow.OpenAttempt) {
		if ended[a.Attempt] {
			return
		}
		if _, runs := next.running[a.Attempt]; runs {
			l.stop(next, a.Attempt, now, p) // the new life has taken its start
			return
		}
		if old != nil {
			o := old.orders[a.Attempt]
			if o != nil && (o.phase == startSent || (o.phase == startAnswered && next.listedAt <= o.answeredAt)) {
				return // the new life may have it, and has not been asked since
			}
			if o != nil && o.phase == startUnanswered && next.orderOf(a.Attempt).stoppedAt == 0 {
				l.stop(next, a.Attempt, now, p)
				return
			}
		}
		checkpoint := ""
		if old != nil {
			checkpoint = old.running[a.Attempt].Checkpoint
		}
		p.batch.Lost = append(p.batch.Lost, workflow.LostAttempt{Incarnation: life, Attempt: a.Attempt, Checkpoint: checkpoint})
		l.logger.Info().Str("task", a.Attempt.Task.String()).Uint32("attempt", a.Number).Str("worker", string(life.Worker)).
			Msg("attempt lost: the worker has started again")
	})
}

// silentSinceReplaced reports whether the life that replaced another one has never answered
// and what it may have started has lapsed. It may have ended before the first call reached it.
func (l *lead) silentSinceReplaced(current *workflow.Worker, next *session, now bootclock.Time) bool {
	if now.Sub(l.since) < l.earlierLeases() {
		return false
	}
	if next == nil {
		return current.Deregistered && l.goneFor(current, now) > l.earlierLeases()
	}
	return now.Sub(next.openedAt) > l.earlierLeases()
}

// earlierLeases is how long leases that were sent before a moment may last after it.
func (l *lead) earlierLeases() time.Duration {
	return time.Duration(float64(l.engine.opts.WorkerLease+lapseMargin)/clockRate) + lapseMargin
}

// loseReplaced closes the attempts of a life whose successor is silent.
func (l *lead) loseReplaced(flows *workflow.State, life workflow.Incarnation, now bootclock.Time, ended map[workflow.Attempt]bool, p *planned) {
	old := l.sessions[life]
	flows.VisitOpenAttempts(life, func(a workflow.OpenAttempt) {
		if ended[a.Attempt] || (old != nil && old.mayStartLate(a.Attempt, now)) {
			return
		}
		p.batch.Lost = append(p.batch.Lost, workflow.LostAttempt{Incarnation: life, Attempt: a.Attempt})
		l.logger.Info().Str("task", a.Attempt.Task.String()).Uint32("attempt", a.Number).Str("worker", string(life.Worker)).
			Msg("attempt lost: the worker has started again and does not answer")
	})
}

// mayStartLate reports whether a start without an answer may still be carried out by the next
// life, whose clock does not bound the lease in the call.
func (s *session) mayStartLate(a workflow.Attempt, now bootclock.Time) bool {
	o := s.orders[a]
	if o == nil || (o.phase != startSent && o.phase != startUnanswered) {
		return false
	}
	return o.phase == startSent || now.Sub(o.answeredAt) < lateStart
}

func (l *lead) lose(s *session, a workflow.Attempt, reason string, p *planned) {
	silent := int64(-1)
	if s.answeredAt != 0 {
		silent = bootclock.Since(s.answeredAt).Milliseconds()
	}
	l.logger.Info().Str("task", a.Task.String()).Uint32("attempt", a.Number).Str("worker", string(s.life.Worker)).
		Int64("silent_ms", silent).Str("reason", reason).Msg("attempt lost")
	p.batch.Lost = append(p.batch.Lost, workflow.LostAttempt{Incarnation: s.life, Attempt: a, Checkpoint: s.running[a].Checkpoint})
}

// reconcileAttempt compares one open attempt with what the worker lists.
func (l *lead) reconcileAttempt(s *session, w *workflow.Worker, a workflow.OpenAttempt, now bootclock.Time, p *planned) {
	o := s.orderOf(a.Attempt)
	_, listed := s.running[a.Attempt]
	if listed {
		l.moveIfNeeded(s, w, a, o, now)
		if a.Ended || o.evict != "" {
			l.stop(s, a.Attempt, now, p)
		}
		return
	}
	switch o.phase {
	case startPlanned, startSent:
	case startImpossible:
		l.lose(s, a.Attempt, "it was never started", p)
	case startInherited:
		if s.fenced && s.listedAt > s.openedAt {
			l.lose(s, a.Attempt, "the worker does not list it under our token", p)
		}
	case startAnswered:
		if s.listedAt > o.answeredAt {
			l.lose(s, a.Attempt, "the worker no longer lists it", p)
		}
	case startUnanswered:
		switch {
		case o.stoppedAt != 0 && s.listedAt > o.stoppedAt:
			l.lose(s, a.Attempt, "the start was not answered and has been stopped", p)
		case s.listedAt > o.answeredAt || a.Ended:
			l.stop(s, a.Attempt, now, p)
		}
	}
}

// moveIfNeeded marks a running attempt that is better off on another worker.
func (l *lead) moveIfNeeded(s *session, w *workflow.Worker, a workflow.OpenAttempt, o *order, now bootclock.Time) {
	if o.evict != "" || a.Ended {
		return
	}
	switch {
	case w != nil && w.Draining && a.Step.LongRunning:
		o.evict = "the worker is leaving"
	case w != nil && w.Draining && s.drainUntil != 0 && s.drainUntil.Sub(now) < leaveMargin:
		o.evict = "the worker is about to end"
	case o.pace == 0 && !o.pacing && dispatch.WorthMoving(a.Step, model.Millis(now.Sub(o.pacedAt).Milliseconds())):
		o.evict = "paused for the sake of serving tasks"
	case stalled(a, o, s, now):
		o.evict = "no progress"
		s.quarantine.stalled(now)
	default:
		return
	}
	s.changed = true
	l.logger.Info().Str("task", a.Attempt.Task.String()).Uint32("attempt", a.Number).Str("worker", string(s.life.Worker)).
		Str("reason", o.evict).Int("percent", o.percent).Msg("attempt is moved")
}

// stalled reports whether the task makes no progress although nothing holds it back.
func stalled(a workflow.OpenAttempt, o *order, s *session, now bootclock.Time) bool {
	if o.percentAt == 0 || o.pace < 100 || o.pacing || (a.Step.LongRunning && o.percent == 100) {
		return false
	}
	return now.Sub(o.percentAt) > stallTime && now.Sub(s.answeredAt) < stallTime/2 && s.figureAt > o.percentAt.Add(stallTime)
}

// stopStrays stops what runs without being open, such as a start that was carried out late.
func (l *lead) stopStrays(flows *workflow.State, complete bool, now bootclock.Time, p *planned) {
	for _, s := range l.sessions {
		if s.failing || !s.fenced || (!complete && !s.changed) {
			continue
		}
		for a := range s.running {
			if open, _ := flows.IsOpen(s.life, a); !open && !s.hasEnd(a) {
				l.stop(s, a, now, p)
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
