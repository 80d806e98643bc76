package fleet

import (
	"context"
	"errors"
	"fmt"

	"samphirepaddle.example/core/dispatch"
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
	"samphirepaddle.example/daemon/bootclock"
)

// sendStart sends the start call for an assigned attempt; l.mu must be held. The lease in the call
// begins now, before the last check of the leader lease, so that a call that is sent late carries
// an expired lease. With mayCrash, the worker must answer another call just before: if it crashes before it
// answers the start, the crash counts against the task.
func (l *leadership) sendStart(s *session, a workflow.Attempt, payload, checkpoint string, mayCrash bool) {
	o := s.orderOf(a)
	now := bootclock.Now()
	if s.replaced || !s.tokenAccepted || s.silence.recorded || !l.lease.valid(now) {
		o.phase = startImpossible // nothing was sent
		return
	}
	if !mayCrash {
		o.phase = startSent
	}
	call := StartCall{Attempt: a, Payload: payload, Checkpoint: checkpoint, LeaseUntil: s.extendLease(now), Token: l.token}
	to := s.endpoint()
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		clock, err := l.callStart(s, o, to, call, mayCrash)
		l.mu.Lock()
		defer l.mu.Unlock()
		answered := bootclock.Now()
		s.updateClock(clock, answered)
		if errors.Is(err, ErrWrongWorker) && s.addr != to.Addr {
			err = ErrNotSent // says nothing about the address at which the worker answers now
		}
		l.handleStartResult(s, a, o, answered, err)
		l.requestPass()
	}()
}

// callStart makes the start call. With mayCrash, it is made only once the worker has answered another call.
func (l *leadership) callStart(s *session, o *order, to Endpoint, call StartCall, mayCrash bool) (model.Millis, error) {
	if mayCrash {
		if err := l.probeBeforeStart(s, o, to); err != nil {
			return 0, err
		}
	}
	ctx, cancel := context.WithTimeout(l.ctx, orderTimeout)
	defer cancel()
	return l.engine.opts.Workers.Start(ctx, to, call)
}

// probeBeforeStart returns nil if the worker process answers and the start may be sent. After an error it must
// not be sent.
func (l *leadership) probeBeforeStart(s *session, o *order, to Endpoint) error {
	ctx, cancel := context.WithTimeout(l.ctx, probeTimeout)
	defer cancel()
	listing, err := l.engine.opts.Workers.Hold(ctx, to, HoldCall{Token: l.token})
	switch {
	case errors.Is(err, ErrFenced), errors.Is(err, ErrWrongWorker):
		return err
	case err != nil:
		return fmt.Errorf("%w: no answer before the start: %w", ErrUnreachable, err)
	case listing.StartedAt != 0 && to.Incarnation.StartedAt != 0 && listing.StartedAt != to.Incarnation.StartedAt:
		return fmt.Errorf("%w: the worker has started again", ErrNotSent)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := bootclock.Now()
	if s.replaced || s.closed || s.addr != to.Addr || s.silence.recorded || !l.lease.valid(now) {
		return fmt.Errorf("%w: the leader must not call the worker any more", ErrNotSent)
	}
	o.phase, o.probedAt = startSent, now
	return nil
}

// handleStartResult records the result of a start call; l.mu must be held.
func (l *leadership) handleStartResult(s *session, a workflow.Attempt, o *order, now bootclock.Time, err error) {
	o.answeredAt = now
	s.changed = true
	l.engine.opts.Metrics.count("starts", startOutcome(err), 1)
	event := l.sampledLogger.Info()
	switch {
	case err == nil:
		l.noteBegun(a, s.incarnation.Worker, now)
		if o.phase == startSent || o.phase == startUnanswered {
			o.phase = startAnswered
		}
	case rejected(err):
		o.phase = startImpossible
		event = l.logger.Info()
		switch {
		case errors.Is(err, ErrNoCapacity):
			s.pauseUntil = now.Add(noCapacityPause)
		case errors.Is(err, ErrWorkerUnavailable), errors.Is(err, ErrUnreachable):
			s.pauseUntil = now.Add(unavailablePause)
		case errors.Is(err, ErrNotSent):
			s.pauseUntil = now.Add(notSentPause)
		case errors.Is(err, ErrFenced):
			l.resign()
		case errors.Is(err, ErrWrongWorker):
			s.noteReplaced(true)
		}
	default:
		l.strays.record(s.incarnation, now) // it may have left only now
		if o.phase == startSent {
			o.phase = startUnanswered
		}
		event = l.logger.Info()
	}
	event.Err(err).Str("job", string(a.Task.Job)).Str("task", a.Task.String()).Uint32("attempt", a.Number).
		Str("worker", string(s.incarnation.Worker)).Int64("born", int64(s.incarnation.StartedAt)).Msg("start")
}

// startOutcome returns the metrics label for the result of a start call.
func startOutcome(err error) string {
	switch {
	case err == nil:
		return "answered"
	case errors.Is(err, ErrNotSent), errors.Is(err, ErrUnreachable):
		return "not_sent"
	case rejected(err):
		return "refused"
	}
	return "unanswered"
}

// sendStop asks the worker to stop an attempt, at most once per stopRetryInterval; l.mu must be
// held.
func (l *leadership) sendStop(s *session, a workflow.Attempt, now bootclock.Time, p *passPlan) {
	o := s.orderOf(a)
	if s.replaced || (o.stopSentAt != 0 && now.Sub(o.stopSentAt) < stopRetryInterval) {
		return
	}
	o.stopSentAt = now
	s.changed = true
	l.engine.opts.Metrics.count("stops", "sent", 1)
	to := s.endpoint()
	p.calls = append(p.calls, func() {
		ctx, cancel := context.WithTimeout(l.ctx, orderTimeout)
		defer cancel()
		if !l.lease.valid(bootclock.Now()) {
			return
		}
		clock, err := l.engine.opts.Workers.Stop(ctx, to, a, l.token)
		l.mu.Lock()
		defer l.mu.Unlock()
		answered := bootclock.Now()
		s.updateClock(clock, answered)
		if err == nil && o.stopAnsweredAt == 0 {
			// Only the first response counts: a later time would make the list that closes the
			// attempt look outdated.
			o.stopAnsweredAt = answered
		}
		s.changed = true
		l.logger.Debug().Err(err).Str("task", a.Task.String()).Uint32("attempt", a.Number).Str("worker", string(s.incarnation.Worker)).Msg("stop")
		l.requestPass()
	})
}

// sendPace changes the pace of an attempt unless a pace call is in flight; l.mu must be held.
func (l *leadership) sendPace(s *session, order dispatch.PaceOrder, p *passPlan) {
	o := s.orderOf(order.Attempt)
	if o.paceInFlight || s.replaced {
		return
	}
	o.paceInFlight = true
	l.engine.opts.Metrics.count("paces", "sent", 1)
	to := s.endpoint()
	p.calls = append(p.calls, func() {
		ctx, cancel := context.WithTimeout(l.ctx, orderTimeout)
		defer cancel()
		err := l.engine.opts.Workers.Pace(ctx, to, order.Attempt, order.Percent, l.token)
		l.mu.Lock()
		defer l.mu.Unlock()
		o.paceInFlight = false
		if err == nil {
			s.changed = true
			o.pace = order.Percent
			o.paceSetAt = bootclock.Now()
			o.progressAt = bootclock.Now()
		}
		l.logger.Debug().Err(err).Str("task", order.Attempt.Task.String()).Str("worker", string(s.incarnation.Worker)).
			Int("percent", order.Percent).Msg("pace")
	})
}
