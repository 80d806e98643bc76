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
	// recheck is the interval at which a waiting request looks whether the session holds and,
	// if it is the first, for room that no event announced.
	recheck = 100 * time.Millisecond
	// abandonAfter bounds how long a call whose caller was answered is waited for.
	abandonAfter = 10 * time.Minute
	// maxTries bounds the dispatches of one call.
	maxTries = 3
)

// route runs the call, and again elsewhere if that is safe and the retry budget allows it.
func (g *Gateway) route(ctx context.Context, c *call) outcome {
	g.budget.Deposit()
	var unknown *outcome // an earlier dispatch that may have run
	for try := 1; ; try++ {
		if try > 1 {
			// An earlier dispatch may still hold a slot and answer under its own id.
			c.wire.ID = model.RequestID(fmt.Sprintf("%s.%d", c.id, try))
		}
		out := g.place(ctx, c)
		if out.verdict == model.VerdictNotRun && unknown != nil {
			return *unknown
		}
		if out.verdict == model.VerdictUnknown {
			unknown = &out
		}
		if !out.elsewhere || try == maxTries || !c.mayRunAgain(out) || ctx.Err() != nil {
			return out
		}
		if !time.Now().Before(c.wire.Deadline) || !g.budget.Withdraw() {
			return out
		}
		g.metrics.retries.Inc(1)
	}
}

// mayRunAgain reports whether another dispatch keeps a non-idempotent call at one run.
func (c *call) mayRunAgain(out outcome) bool {
	return out.verdict == model.VerdictNotRun || out.verdict == model.VerdictUnknown && c.idempotent
}

// place dispatches the call at an own target, else forwards it once, else waits for room.
// A new call does not overtake waiting ones.
func (g *Gateway) place(ctx context.Context, c *call) outcome {
	q := g.queue(c.service)
	if q.Len() == 0 {
		if grant, err := g.owners.ReserveQuick(c.service, c.wire.ID, c.avoid); err == nil {
			return g.dispatch(ctx, grant, c, q)
		}
		if !c.forwarded {
			if out, done := g.forward(ctx, c); done {
				return out
			}
		}
		if c.avoid != "" {
			// Only the target that failed before has room.
			if grant, err := g.owners.ReserveQuick(c.service, c.wire.ID, ""); err == nil {
				return g.dispatch(ctx, grant, c, q)
			}
		}
	}
	if c.forwarded {
		return failed(model.VerdictNotRun, http.StatusServiceUnavailable, "no_capacity", "no target of pool %q has room", c.service.Pool)
	}
	return g.wait(ctx, c, q)
}

// wait queues the call until a target has room or the deadline cannot be met any more.
func (g *Gateway) wait(ctx context.Context, c *call, q *serviceQueue) outcome {
	w, expected, err := q.Join(time.Now(), c.wire.Deadline, int(c.service.QueueLength))
	if err != nil {
		return queueRefusal(err, expected)
	}
	g.metrics.queued.Inc(1)
	timer := time.NewTimer(time.Until(c.wire.Deadline))
	defer timer.Stop()
	ticker := time.NewTicker(recheck)
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
			return failed(model.VerdictNotRun, http.StatusServiceUnavailable, "caller_gone", "the caller closed the connection")
		}
		if out, done := g.leaveQueue(ctx, c, q, w, expected); done {
			return out
		}
	}
}

// leaveQueue looks for room for a waiting call. The call leaves the queue before it is sent,
// so that the next one can be served meanwhile.
func (g *Gateway) leaveQueue(ctx context.Context, c *call, q *serviceQueue, w *admission.Waiter, expected time.Duration) (outcome, bool) {
	if !g.session.Valid() {
		q.Leave(w)
		return notReady(), true
	}
	if !q.MeetsDeadline(time.Now(), c.wire.Deadline) {
		q.Leave(w)
		return queueRefusal(admission.ErrDeadlineUnreachable, expected), true
	}
	if grant, err := g.owners.ReserveQuick(c.service, c.wire.ID, ""); err == nil {
		q.Leave(w)
		return g.dispatch(ctx, grant, c, q), true
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
	out := failed(model.VerdictNotRun, status, code, "no target has room: %v", err)
	out.retryAfter = expected
	return out
}

func notReady() outcome {
	return failed(model.VerdictNotRun, http.StatusServiceUnavailable, "not_ready", "this gateway has no valid session")
}

// dispatch sends the call to the granted target. If the deadline passes first, the caller is
// answered with VerdictUnknown while the reservation stays until the target has answered.
func (g *Gateway) dispatch(ctx context.Context, grant *owner.QuickReservation, c *call, q *serviceQueue) outcome {
	done := make(chan outcome, 1)
	g.active.Add(1)
	go func() {
		defer g.active.Add(-1)
		done <- g.callTarget(grant, c, q)
	}()
	timer := time.NewTimer(time.Until(c.wire.Deadline))
	defer timer.Stop()
	select {
	case out := <-done:
		return out
	case <-timer.C:
		return abandoned(done, "deadline", "the target did not answer within the deadline")
	case <-ctx.Done():
		return abandoned(done, "caller_gone", "the caller closed the connection")
	}
}

// abandoned answers a call that goes on without its caller.
func abandoned(late <-chan outcome, code, message string) outcome {
	out := failed(model.VerdictUnknown, http.StatusGatewayTimeout, code, "%s", message)
	out.late = late
	return out
}

func (g *Gateway) callTarget(grant *owner.QuickReservation, c *call, q *serviceQueue) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), abandonAfter)
	defer cancel()
	wire := c.wire
	wire.Check = grant.Valid
	began := time.Now()
	q.Started()
	answer, verdict, err := g.targets.DoQuick(ctx, grant.Address, grant.Epoch, wire)
	q.Ended(time.Since(began), err == nil)
	if verdict == model.VerdictUnknown {
		grant.MarkUncertain()
	} else {
		grant.Release()
	}
	if err == nil {
		return outcome{answer: answer, verdict: verdict}
	}
	c.avoid = grant.Target
	out := failed(verdict, http.StatusBadGateway, "target_failed", "%v", err)
	if errors.Is(err, target.ErrRefused) {
		out = failed(verdict, http.StatusServiceUnavailable, "target_refused", "%v", err)
	}
	out.elsewhere = true
	return out
}
