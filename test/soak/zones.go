package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"samphirepaddle.example/daemon/wait"
	"samphirepaddle.example/platform/standin"
)

// Timing of the evacuations of a run. One zone is evacuated at a time, so that the others have room for all jobs.
const (
	evacuationPause = 1500 * time.Millisecond // mean, between two evacuations
	evacuationTime  = 2500 * time.Millisecond // mean
	orderTimeout    = time.Second
	orderPause      = 100 * time.Millisecond
)

// runZoneOperator evacuates zones and takes them back until ctx is done.
func (l *load) runZoneOperator(ctx context.Context, rng *rand.Rand) {
	operator := standin.NewCaller("", nil)
	for ctx.Err() == nil {
		wait.For(ctx, time.Duration(rng.ExpFloat64()*float64(evacuationPause)))
		zone := fmt.Sprintf("zone-%d", rng.IntN(zoneCount))
		if l.orderZone(ctx, operator, rng, zone, true) {
			l.checker.Evacuated(zone)
		}
		wait.For(ctx, time.Duration(rng.ExpFloat64()*float64(evacuationTime)))
		l.checker.TakingBack(zone)
		// The zone is taken back also after the load has ended: the daemons serve operators until then.
		l.orderZone(context.WithoutCancel(ctx), operator, rng, zone, false)
	}
}

// orderZone repeats an order until it is acknowledged, ctx is done or settleTimeout has passed.
func (l *load) orderZone(ctx context.Context, operator *standin.Caller, rng *rand.Rand, zone string, evacuate bool) bool {
	return eventually(ctx, func() bool {
		addrs := l.controlAddrs()
		orderCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		if operator.OrderZone(orderCtx, addrs[rng.IntN(len(addrs))], zone, evacuate).OK() {
			return true
		}
		wait.For(ctx, orderPause)
		return false
	})
}

// Evacuated records that the evacuation of a zone was acknowledged.
func (c *Checker) Evacuated(zone string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["evacuations"]++
	c.evacuatedAt[zone] = time.Now()
}

// TakingBack records that a zone is about to be taken back.
func (c *Checker) TakingBack(zone string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.evacuatedAt, zone)
}

// checkZone checks that no task starts in an evacuated zone. mu must be held.
func (c *Checker) checkZone(e standin.Event) {
	since, evacuated := c.evacuatedAt[e.Zone]
	if evacuated && time.Since(since) > evacuateBound && c.faultFreeFor(evacuateBound) {
		c.recordViolation("evacuation", "task %s was started on %s in %s %v after its evacuation was acknowledged", e.Task, e.Worker, e.Zone, time.Since(since))
	}
}
