package owner

import (
	"context"
	"time"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/syncmsg"
)

// throttleTimeout bounds one throttle call, because an eviction of the same attempt waits for it.
const throttleTimeout = 500 * time.Millisecond

const (
	fullSpeed = 1.0
	// unknownLevel is the confirmed level of an attempt that an earlier owner or an unanswered
	// call may have throttled.
	unknownLevel = -1.0
)

// SetThrottles takes the levels of all throttled attempts. Every other attempt is to run at
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

func (o *owned) setLevels(levelOf func(model.AttemptID) float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, a := range o.attempts {
		a.level = levelOf(id)
	}
}

// newAttempt returns the attempt of an order. One of an earlier epoch may run throttled by
// the owner of that epoch.
func (o *owned) newAttempt(order syncmsg.Order, level float64) *attempt {
	a := &attempt{order: order, level: level, applied: fullSpeed}
	if order.Attempt.Epoch != o.record.Epoch {
		a.applied = unknownLevel
	}
	return a
}

func (a *attempt) confirmedLevel() float64 {
	if a.applied == unknownLevel {
		return fullSpeed
	}
	return a.applied
}

// needsThrottle is called with o.mu held.
func (a *attempt) needsThrottle(now time.Time) bool {
	return a.started && a.level != a.applied && !now.Before(a.throttleAt)
}

// throttle sends the wanted level. It has a pause of its own after a failure, so that it
// does not delay a stop or an eviction. Repeating a call is harmless.
func (t *Table) throttle(ctx context.Context, o *owned, a *attempt) {
	if !t.allowed(o) {
		return
	}
	o.mu.Lock()
	address, epoch, id, level := o.record.Address, o.record.Epoch, a.order.Attempt.ID, a.level
	o.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, throttleTimeout)
	defer cancel()
	err := t.options.Targets.Throttle(ctx, address, epoch, id, level)
	if err != nil {
		t.options.Logger.Warn().Err(err).Stringer("attempt", id).Float64("level", level).Msg("throttle failed; it is repeated")
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if err == nil {
		a.applied = level
		a.throttleFailures = 0
		return
	}
	a.applied = unknownLevel
	a.throttleAt = time.Now().Add(min(longestBackoff, firstBackoff<<min(a.throttleFailures, 5)))
	a.throttleFailures++
}
