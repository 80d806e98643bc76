package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"samphirepaddle.example/core/admission"
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/daemon/owner"
	"samphirepaddle.example/daemon/target"
)

const (
	// recheckInterval is the interval at which a waiting call checks that the session is valid
	// and, if it is first in the queue, looks for free capacity that no event has reported.
	recheckInterval = 100 * time.Millisecond
	// targetCallTimeout limits a call to a target, which may outlast the response to its caller.
	targetCallTimeout = 10 * time.Minute
	// maxDispatches is the maximum number of dispatches of one call.
	maxDispatches = 3
)

// route runs the call, and retries it elsewhere if that is safe and the retry budget allows it.
func (g *Gateway) route(ctx context.Context, c *call) outcome {
	g.retryBudget.Deposit()
	var unknown *outcome // outcome of an earlier dispatch that may have run
	for try := 1; ; try++ {
		if try > 1 {
			// Needs a new id: an earlier dispatch may still hold a slot and receive its response.
			c.targetCall.ID = model.RequestID(fmt.Sprintf("%s.%d", c.id, try))
		}
		out := g.dispatchOrQueue(ctx, c)
		if out.verdict == model.VerdictNotRun && unknown != nil {
			return *unknown
		}
		if out.verdict == model.VerdictUnknown {
			unknown = &out
		}
		if !out.retryElsewhere || try == maxDispatches || !c.mayRunAgain(out) || ctx.Err() != nil {
			return out
		}
		if !time.Now().Before(c.targetCall.Deadline) || !g.retryBudget.Withdraw() {
			return out
		}
		g.metrics.retries.Inc(1)
	}
}

// mayRunAgain reports whether another dispatch is safe: the call has not run, or is idempotent.
func (c *call) mayRunAgain(out outcome) bool {
	return out.verdict == model.VerdictNotRun || out.verdict == model.VerdictUnknown && c.idempotent
}

// dispatchOrQueue dispatches the call to an owned target, else forwards it to a peer, else waits
// for free capacity. A new call does not overtake waiting ones.
func (g *Gateway) dispatchOrQueue(ctx context.Context, c *call) outcome {
	q := g.queue(c.service)
	if q.Len() == 0 {
		if reservation, err := g.owners.ReserveQuick(c.service, c.targetCall.ID, c.avoidTarget); err == nil {
			return g.dispatch(ctx, reservation, c, q)
		}
		if !c.forwarded {
			if out, done := g.forward(ctx, c); done {
				return out
			}
		}
		if c.avoidTarget != "" {
			// Only the target on which the call failed before may have free capacity.
			if reservation, err := g.owners.ReserveQuick(c.service, c.targetCall.ID, ""); err == nil {
				return g.dispatch(ctx, reservation, c, q)
			}
		}
	}
	if c.forwarded {
		return newFailure(model.VerdictNotRun, http.StatusServiceUnavailable, "no_capacity", "no target of pool %q has room", c.service.Pool)
	}
	return g.waitInQueue(ctx, c, q)
}

// waitInQueue queues the call until a target has free capacity or the deadline can no longer be
// met.
func (g *Gateway) waitInQueue(ctx context.Context, c *call, q *serviceQueue) outcome {
	w, expected, err := q.Join(time.Now(), c.targetCall.Deadline, int(c.service.QueueLength))
	if err != nil {
		return queueRefusal(err, expected)
	}
	g.metrics.queued.Inc(1)
	timer := time.NewTimer(time.Until(c.targetCall.Deadline))
	defer timer.Stop()
	ticker := time.NewTicker(recheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.Ready():
		case <-ticker.C:
			if g.session.Valid() && !q.IsFirst(w) {
				continue
			}
		case <-timer.C:
			q.Leave(w)
			return queueRefusal(admission.ErrDeadlineUnreachable, expected)
		case <-ctx.Done():
			q.Leave(w)
			return newFailure(model.VerdictNotRun, http.StatusServiceUnavailable, "caller_gone", "the caller closed the connection")
		}
		if out, done := g.tryDequeue(ctx, c, q, w, expected); done {
			return out
		}
	}
}

// tryDequeue dispatches or forwards a waiting call if there is free capacity, or refuses it. The
// result is false if the call still waits. A call leaves the queue, or is suspended, before it is
// sent, so that the next one can be served meanwhile.
func (g *Gateway) tryDequeue(ctx context.Context, c *call, q *serviceQueue, w *admission.Waiter, expected time.Duration) (outcome, bool) {
	if !g.session.Valid() {
		q.Leave(w)
		return notReady(), true
	}
	if !q.MeetsDeadline(time.Now(), c.targetCall.Deadline) {
		q.Leave(w)
		return queueRefusal(admission.ErrDeadlineUnreachable, expected), true
	}
	if reservation, err := g.owners.ReserveQuick(c.service, c.targetCall.ID, ""); err == nil {
		q.Leave(w)
		return g.dispatch(ctx, reservation, c, q), true
	}
	if !g.peers.anyFree(g.session.Peers(), c.service.Pool) {
		return outcome{}, false
	}
	q.Suspend(w)
	if out, done := g.forward(ctx, c); done {
		q.Leave(w)
		return out, true
	}
	q.Resume(w)
	return outcome{}, false
}

func queueRefusal(err error, expected time.Duration) outcome {
	code, status := "queue_full", http.StatusServiceUnavailable
	if errors.Is(err, admission.ErrDeadlineUnreachable) {
		code = "deadline_unreachable"
	}
	out := newFailure(model.VerdictNotRun, status, code, "no target has room: %v", err)
	out.retryAfter = expected
	return out
}

func notReady() outcome {
	return newFailure(model.VerdictNotRun, http.StatusServiceUnavailable, "not_ready", "this gateway has no valid session")
}

// dispatch sends the call to the reserved target. If the deadline passes or the caller disconnects
// first, the verdict is VerdictUnknown, and the reservation is kept at least until the call to the
// target has ended.
func (g *Gateway) dispatch(ctx context.Context, reservation *owner.QuickReservation, c *call, q *serviceQueue) outcome {
	done := make(chan outcome, 1)
	g.active.Add(1)
	go func() {
		defer g.active.Add(-1)
		done <- g.callTarget(reservation, c, q)
	}()
	timer := time.NewTimer(time.Until(c.targetCall.Deadline))
	defer timer.Stop()
	select {
	case out := <-done:
		return out
	case <-timer.C:
		return abandonedOutcome(done, "deadline", "the target did not answer within the deadline")
	case <-ctx.Done():
		return abandonedOutcome(done, "caller_gone", "the caller closed the connection")
	}
}

// abandonedOutcome returns the outcome of a call that continues without its caller.
func abandonedOutcome(final <-chan outcome, code, message string) outcome {
	out := newFailure(model.VerdictUnknown, http.StatusGatewayTimeout, code, "%s", message)
	out.final = final
	return out
}

func (g *Gateway) callTarget(reservation *owner.QuickReservation, c *call, q *serviceQueue) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), targetCallTimeout)
	defer cancel()
	targetCall := c.targetCall
	targetCall.MaySend = reservation.Valid
	began := time.Now()
	q.Started()
	response, verdict, err := g.targets.DoQuick(ctx, reservation.Address, reservation.Epoch, targetCall)
	q.Ended(time.Since(began), err == nil)
	if verdict == model.VerdictUnknown {
		reservation.MarkUncertain()
	} else {
		reservation.Release()
	}
	if err == nil {
		return outcome{response: response, verdict: verdict}
	}
	c.avoidTarget = reservation.Target
	out := newFailure(verdict, http.StatusBadGateway, "target_failed", "%v", err)
	if errors.Is(err, target.ErrRefused) {
		out = newFailure(verdict, http.StatusServiceUnavailable, "target_refused", "%v", err)
	}
	out.retryElsewhere = true
	return out
}
