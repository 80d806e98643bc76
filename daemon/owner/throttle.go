package owner

import (
	"context"
	"time"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/syncmsg"
)

// throttleTimeout bounds one throttle call, because an eviction of the same attempt waits until
// the call has ended.
const throttleTimeout = 500 * time.Millisecond

const (
	fullSpeed = 1.0
	// unknownLevel is the applied level of an attempt that an earlier owner, or a call without a
	// response, may have throttled.
	unknownLevel = -1.0
)

// SetThrottles replaces the levels of all throttled attempts. Every other attempt is to run at
// full speed.
func (t *Table) SetThrottles(throttles syncmsg.Throttles) {
	levels := make(map[model.AttemptID]float64, len(throttles.Attempts))
	for _, throttle := range throttles.Attempts {
		levels[throttle.Attempt] = min(max(throttle.Level, 0), fullSpeed)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.levels = levels
	for _, o := range t.owned {
		o.setLevels(t.levelOf)
	}
	t.wake()
}

// levelOf returns the level at which an attempt should run. The caller holds t.mu.
func (t *Table) levelOf(id model.AttemptID) float64 {
	if level, throttled := t.levels[id]; throttled {
		return level
	}
	return fullSpeed
}

func (o *ownedTarget) setLevels(levelOf func(model.AttemptID) float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, a := range o.attempts {
		a.wantedLevel = levelOf(id)
	}
}

// newAttempt returns the attempt for an order. The owner of an earlier epoch may have
// throttled it.
func (o *ownedTarget) newAttempt(order syncmsg.Order, level float64) *attempt {
	a := &attempt{order: order, wantedLevel: level, appliedLevel: fullSpeed}
	if order.Attempt.Epoch != o.record.Epoch {
		a.appliedLevel = unknownLevel
	}
	return a
}

func (a *attempt) confirmedLevel() float64 {
	if a.appliedLevel == unknownLevel {
		return fullSpeed
	}
	return a.appliedLevel
}

// needsThrottle reports whether a throttle call is due. The caller holds the target's mu.
func (a *attempt) needsThrottle(now time.Time) bool {
	return a.started && a.wantedLevel != a.appliedLevel && !now.Before(a.throttleNotBefore)
}

// throttle sends the wanted level to the target. A failed call has a backoff of its own, so
// that it does not delay a stop or an eviction. The call is idempotent.
func (t *Table) throttle(ctx context.Context, o *ownedTarget, a *attempt) {
	if !t.allowed(o) {
		return
	}
	o.mu.Lock()
	address, epoch, id, level := o.record.Address, o.record.Epoch, a.order.Attempt.ID, a.wantedLevel
	o.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, throttleTimeout)
	defer cancel()
	err := t.options.Targets.Throttle(ctx, address, epoch, id, level)
	if err != nil {
		t.options.Logger.Warn().Err(err).Stringer("attempt", id).Float64("level", level).Msg("throttle call failed; retrying")
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if err == nil {
		a.appliedLevel = level
		a.throttleFailures = 0
		return
	}
	a.appliedLevel = unknownLevel
	a.throttleNotBefore = time.Now().Add(min(longestBackoff, firstBackoff<<min(a.throttleFailures, 5)))
	a.throttleFailures++
}
