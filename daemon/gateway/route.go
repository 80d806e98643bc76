package gateway

import (
	"context"
	"net/http"
	"time"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/daemon/owner"
)

// queuePoll is the interval at which a waiting request looks for room.
const queuePoll = time.Millisecond

// abandonAfter bounds how long a call whose caller was answered is waited for.
const abandonAfter = 10 * time.Minute

// route dispatches the call at an own target, else forwards it once, else waits for room.
func (g *Gateway) route(ctx context.Context, c *call) outcome {
	for {
		if grant, err := g.owners.Reserve(c.service, c.wire.ID); err == nil {
			return g.dispatch(ctx, grant, c)
		}
		if !c.forwarded {
			if out, done := g.forward(ctx, c); done {
				return out
			}
		}
		if c.forwarded || time.Now().After(c.wire.Deadline) || ctx.Err() != nil {
			return failed(model.VerdictNotRun, http.StatusServiceUnavailable, "no_capacity", "no target of pool %q has room", c.service.Pool)
		}
		time.Sleep(queuePoll)
	}
}

// dispatch sends the call to the granted target. If the deadline passes first, the caller is
// answered with VerdictUnknown while the reservation stays until the target has answered.
func (g *Gateway) dispatch(ctx context.Context, grant *owner.Grant, c *call) outcome {
	if !g.session.Valid() {
		grant.Release()
		return failed(model.VerdictNotRun, http.StatusServiceUnavailable, "not_ready", "this gateway has no valid session")
	}
	done := make(chan outcome, 1)
	go func() {
		done <- g.callTarget(grant, c)
	}()
	timer := time.NewTimer(time.Until(c.wire.Deadline))
	defer timer.Stop()
	select {
	case out := <-done:
		return out
	case <-timer.C:
		return failed(model.VerdictUnknown, http.StatusGatewayTimeout, "deadline", "the target did not answer within the deadline")
	case <-ctx.Done():
		return failed(model.VerdictUnknown, http.StatusGatewayTimeout, "caller_gone", "the caller closed the connection")
	}
}

func (g *Gateway) callTarget(grant *owner.Grant, c *call) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), abandonAfter)
	defer cancel()
	answer, verdict, err := g.targets.Do(ctx, grant.Address, grant.Epoch, c.wire)
	if err == nil || verdict == model.VerdictNotRun {
		grant.Release()
	} else {
		grant.Doubt()
	}
	if err != nil {
		return failed(verdict, http.StatusBadGateway, "target_failed", "%v", err)
	}
	return outcome{answer: answer, verdict: verdict}
}
