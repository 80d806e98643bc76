package fleet

import (
	"context"
	"errors"

	"samphirepaddle.example/core/dispatch"
	"samphirepaddle.example/core/workflow"
	"samphirepaddle.example/daemon/bootclock"
)

// start sends the start of an assigned attempt; mu is held. The lease in the call begins now,
// before the leadership is checked for the last time, so that a call that leaves late carries
// a lease that is over.
func (l *lead) start(s *session, a workflow.Attempt, payload, checkpoint string) {
	o := s.orderOf(a)
	now := bootclock.Now()
	if s.over || !s.fenced || !l.lease.valid(now) {
		o.phase = startImpossible // nothing was sent
		return
	}
	o.phase = startSent
	call := StartCall{Attempt: a, Payload: payload, Checkpoint: checkpoint, LeaseUntil: s.leaseEnd(now), Token: l.token}
	l.group.Add(1)
	go func() {
		defer l.group.Done()
		ctx, cancel := context.WithTimeout(l.ctx, orderTimeout)
		defer cancel()
		clock, err := l.engine.opts.Workers.Start(ctx, s.endpoint(), call)
		l.mu.Lock()
		defer l.mu.Unlock()
		answered := bootclock.Now()
		s.sawClock(clock, answered)
		l.afterStart(s, a, o, answered, err)
		l.kick()
	}()
}

// afterStart notes the outcome of a start; mu is held.
func (l *lead) afterStart(s *session, a workflow.Attempt, o *order, now bootclock.Time, err error) {
	o.answeredAt = now
	s.changed = true
	l.engine.opts.Metrics.count("starts", startOutcome(err), 1)
	event := l.detail.Info()
	switch {
	case err == nil:
		if o.phase == startSent || o.phase == startUnanswered {
			o.phase = startAnswered
		}
	case didNothing(err):
		o.phase = startImpossible
		event = l.logger.Info()
		switch {
		case errors.Is(err, ErrNoCapacity):
			s.pauseUntil = now.Add(roomPause)
		case errors.Is(err, ErrWorkerUnavailable):
			s.pauseUntil = now.Add(unhealthyPause)
		case errors.Is(err, ErrFenced):
			l.resign()
		case errors.Is(err, ErrWrongWorker):
			s.over, s.otherID = true, true
		}
	default:
		if o.phase == startSent {
			o.phase = startUnanswered
		}
		event = l.logger.Info()
	}
	event.Err(err).Str("job", string(a.Task.Job)).Str("task", a.Task.String()).Uint32("attempt", a.Number).Str("worker", string(s.life.Worker)).Msg("start")
}

// startOutcome names the outcome of a start in the metrics.
func startOutcome(err error) string {
	switch {
	case err == nil:
		return "answered"
	case didNothing(err):
		return "refused"
	}
	return "unanswered"
}

// stop asks the worker to end an attempt, again after a while; mu is held.
func (l *lead) stop(s *session, a workflow.Attempt, now bootclock.Time, p *planned) {
	o := s.orderOf(a)
	if s.over || (o.stopSentAt != 0 && now.Sub(o.stopSentAt) < stopRepeat) {
		return
	}
	o.stopSentAt = now
	s.changed = true
	l.engine.opts.Metrics.count("stops", "sent", 1)
	p.calls = append(p.calls, func() {
		ctx, cancel := context.WithTimeout(l.ctx, orderTimeout)
		defer cancel()
		if !l.lease.valid(bootclock.Now()) {
			return
		}
		clock, err := l.engine.opts.Workers.Stop(ctx, s.endpoint(), a, l.token)
		l.mu.Lock()
		defer l.mu.Unlock()
		answered := bootclock.Now()
		s.sawClock(clock, answered)
		if err == nil && o.stoppedAt == 0 {
			o.stoppedAt = answered // a repetition must not make the list that settles the attempt look old
		}
		s.changed = true
		l.logger.Debug().Err(err).Str("task", a.Task.String()).Uint32("attempt", a.Number).Str("worker", string(s.life.Worker)).Msg("stop")
		l.kick()
	})
}

// setPace changes the pace of an attempt unless a change is on its way; mu is held.
func (l *lead) setPace(s *session, order dispatch.PaceOrder, p *planned) {
	o := s.orderOf(order.Attempt)
	if o.pacing || s.over {
		return
	}
	o.pacing = true
	l.engine.opts.Metrics.count("paces", "sent", 1)
	p.calls = append(p.calls, func() {
		ctx, cancel := context.WithTimeout(l.ctx, orderTimeout)
		defer cancel()
		err := l.engine.opts.Workers.Pace(ctx, s.endpoint(), order.Attempt, order.Percent, l.token)
		l.mu.Lock()
		defer l.mu.Unlock()
		o.pacing = false
		if err == nil {
			s.changed = true
			o.pace = order.Percent
			o.pacedAt = bootclock.Now()
			o.percentAt = bootclock.Now()
		}
		l.logger.Debug().Err(err).Str("task", order.Attempt.Task.String()).Str("worker", string(s.life.Worker)).
			Int("percent", order.Percent).Msg("pace")
	})
}
