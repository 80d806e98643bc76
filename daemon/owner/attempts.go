package owner

import (
	"context"
	"errors"
	"time"

	"samphirepaddle.example/core/reserve"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/syncmsg"
	"samphirepaddle.example/daemon/target"
)

// Intervals and limits of the loop over attempts and leases.
const (
	stepInterval      = 50 * time.Millisecond
	callWorkers       = 32  // goroutines that make the calls to all targets, one call each
	callBacklog       = 256 // queued calls
	maxCallsPerTarget = 4   // so that an unresponsive target cannot occupy all call workers
	firstBackoff      = 100 * time.Millisecond
	longestBackoff    = 2 * time.Second
	drainPollInterval = 5 * time.Millisecond
	maxStartCalls     = 5 // failed calls in a row after which a start is given up
)

// queuedCall is a call about an attempt, or the loss or handover of the target if attempt is nil.
type queuedCall struct {
	owned   *ownedTarget
	attempt *attempt
}

// Run makes the calls about attempts, hands targets over, and declares targets with an expired
// lease lost, until ctx is done.
func (t *Table) Run(ctx context.Context) {
	for range callWorkers {
		go t.runCallWorker(ctx)
	}
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-t.wakeup:
		}
		t.queueDueCalls()
	}
}

// wake lets the loop run before its next tick.
func (t *Table) wake() {
	select {
	case t.wakeup <- struct{}{}:
	default:
	}
}

func (t *Table) runCallWorker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-t.calls:
			t.runCall(ctx, call)
			t.activeCalls.Add(-1)
		}
	}
}

func (t *Table) runCall(ctx context.Context, call queuedCall) {
	if call.attempt == nil && call.owned.isMoving() {
		t.handOver(ctx, call.owned)
		return
	}
	if call.attempt == nil {
		t.proposeLoss(ctx, call.owned)
		call.owned.finishLoss()
		return
	}
	t.advance(ctx, call.owned, call.attempt)
}

// queueDueCalls queues the calls that are due. It never blocks; calls that do not fit into the
// backlog are queued in a later iteration of the loop.
func (t *Table) queueDueCalls() {
	if t.draining.Load() || !t.lease.Valid() {
		return
	}
	now := time.Now()
	for _, o := range t.list() {
		if o.claimHandover() && !t.enqueue(queuedCall{owned: o}) {
			o.finishHandover()
		}
		if o.beginLoss(now, t.options.TargetTTL) {
			if o.claimLoss() && !t.enqueue(queuedCall{owned: o}) {
				o.finishLoss()
			}
			continue
		}
		for _, a := range o.claimAttempts(now) {
			if !t.enqueue(queuedCall{o, a}) {
				o.unclaim(a)
			}
		}
	}
}

func (t *Table) enqueue(call queuedCall) bool {
	t.activeCalls.Add(1)
	select {
	case t.calls <- call:
		return true
	default:
		t.activeCalls.Add(-1)
		return false
	}
}

func (o *ownedTarget) claimLoss() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lossPending {
		return false
	}
	o.lossPending = true
	return true
}

func (o *ownedTarget) finishLoss() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lossPending = false
}

func (t *Table) proposeLoss(ctx context.Context, o *ownedTarget) {
	o.mu.Lock()
	id, epoch := o.record.ID, o.record.Epoch
	o.mu.Unlock()
	if err := t.propose(ctx, state.Command{LoseTarget: &state.LoseTarget{Target: id, Epoch: epoch}}); err != nil {
		t.options.Logger.Warn().Err(err).Str("target", string(id)).Msg("loss of target not committed")
		return
	}
	o.endOwnership()
	t.options.Logger.Info().Str("target", string(id)).Msg("target lost: its lease has expired")
}

// claimAttempts returns the attempts that need a call now and marks them as busy.
func (o *ownedTarget) claimAttempts(now time.Time) []*attempt {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.reported || o.ownershipEnded {
		return nil
	}
	busy := 0
	for _, a := range o.attempts {
		if a.busy {
			busy++
		}
	}
	var due, throttles []*attempt
	for _, a := range o.attempts {
		if a.busy || a.endCommitted || now.Before(a.notBefore) {
			continue
		}
		switch o.nextStep(a, now) {
		case stepNone:
		case stepThrottle:
			throttles = append(throttles, a)
		default:
			due = append(due, a)
		}
	}
	// Throttles come last, so that they cannot delay a start or an eviction.
	due = append(due, throttles...)
	due = due[:min(len(due), max(0, maxCallsPerTarget-busy))]
	for _, a := range due {
		a.busy = true
	}
	return due
}

func (o *ownedTarget) unclaim(a *attempt) {
	o.mu.Lock()
	defer o.mu.Unlock()
	a.busy = false
}

// step is what is to be done next about an attempt.
type step uint8

const (
	stepNone   step = iota
	stepEnd         // commit the decided end
	stepRefuse      // end it as refused or stopped: it was never sent and must not be started
	stepLost        // end it as lost: its process was replaced and its lease has expired
	stepStart
	stepStop    // stop it after a cancellation
	stepEvict   // checkpoint and stop
	stepMissing // the target does not list it any more
	stepThrottle
)

// nextStep returns what is to be done next about an attempt. The caller holds o.mu.
func (o *ownedTarget) nextStep(a *attempt, now time.Time) step {
	order := a.order
	switch {
	case a.decidedEnd != nil:
		return stepEnd
	case !a.started && order.Attempt.StartID != o.startID:
		return o.replacedProcessStep(a, now)
	case !a.started && !a.sent && order.Cancelling && order.Attempt.Epoch == o.record.Epoch:
		return stepRefuse
	case order.Cancelling:
		return stepStop
	case a.missing:
		return stepMissing
	case !a.started:
		return stepStart
	case order.Attempt.EvictionReason != "":
		return stepEvict
	case a.needsThrottle(now):
		return stepThrottle
	}
	return stepNone
}

// replacedProcessStep returns the step for an attempt that was assigned to an earlier process
// of the target. If it was never sent, no process runs it. Otherwise the earlier process may
// run it until the lease of that process expires.
func (o *ownedTarget) replacedProcessStep(a *attempt, now time.Time) step {
	if !a.sent && a.order.Attempt.Epoch == o.record.Epoch {
		return stepRefuse
	}
	if now.After(o.oldLeasesEnd) {
		return stepLost
	}
	return stepNone
}

// advance makes the next call about an attempt.
func (t *Table) advance(ctx context.Context, o *ownedTarget, a *attempt) {
	o.mu.Lock()
	step := o.nextStep(a, time.Now())
	id, cancelling := a.order.Attempt.ID, a.order.Cancelling
	o.mu.Unlock()
	var err error
	switch step {
	case stepRefuse:
		outcome := state.OutcomeRefused
		if cancelling {
			outcome = state.OutcomeStopped
		}
		o.setEnd(a, state.EndAttempt{Outcome: outcome, Message: "it was not started"})
	case stepLost:
		o.setEnd(a, state.EndAttempt{Outcome: state.OutcomeLost, Message: "the target's process was replaced"})
	case stepStart:
		err = t.start(ctx, o, a)
	case stepStop:
		err = t.stop(ctx, o, a, state.EndAttempt{Outcome: state.OutcomeStopped})
	case stepMissing:
		err = t.stop(ctx, o, a, state.EndAttempt{Outcome: state.OutcomeLost, Message: "the target does not list it any more"})
	case stepEvict:
		err = t.evict(ctx, o, a)
	case stepThrottle:
		t.throttle(ctx, o, a)
	}
	if err == nil {
		err = t.commitEnd(ctx, o, a)
	}
	if err != nil {
		t.options.Logger.Warn().Err(err).Stringer("attempt", id).Msg("call about attempt failed; retrying")
	}
	o.finishCall(a, err)
	if step != stepNone {
		t.observe(o)
	}
}

// finishCall marks a call about an attempt as done; a failed one is retried with exponential
// backoff.
func (o *ownedTarget) finishCall(a *attempt, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	a.busy = false
	if err == nil {
		a.failures = 0
		return
	}
	pause := min(longestBackoff, firstBackoff<<min(a.failures, 5))
	a.failures++
	a.notBefore = time.Now().Add(pause)
}

// setEnd sets the end that is to be committed. The epoch in it prevents an owner whose process
// was suspended from closing an attempt that a later owner has started again.
func (o *ownedTarget) setEnd(a *attempt, end state.EndAttempt) {
	o.mu.Lock()
	defer o.mu.Unlock()
	end.Attempt = a.order.Attempt.ID
	end.Epoch = o.record.Epoch
	a.decidedEnd = &end
}

func (t *Table) commitEnd(ctx context.Context, o *ownedTarget, a *attempt) error {
	o.mu.Lock()
	end := a.decidedEnd
	o.mu.Unlock()
	if end == nil {
		return nil
	}
	if err := t.propose(ctx, state.Command{EndAttempt: end}); err != nil {
		return err
	}
	o.markEnded(end.Attempt)
	return nil
}

// allowed reports whether a call under the ownership epoch of o may be sent now. If this
// process is suspended between the check and the write, the granter's margin covers a short
// suspension. After a longer one, the target refuses the call if it has seen a newer epoch.
func (t *Table) allowed(o *ownedTarget) bool {
	if t.draining.Load() || !t.lease.Valid() {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.ownershipEnded && !o.losing
}

var errNotAllowed = errors.New("call not allowed: gateway is draining, a lease has expired, or target ownership has ended")

// start reserves capacity and starts the attempt. A start with an unknown outcome is retried up to
// maxStartCalls times: the target treats a repeated attempt ID as the same start.
func (t *Table) start(ctx context.Context, o *ownedTarget, a *attempt) error {
	if reason := t.reserveStart(o, a); reason != nil {
		o.setEnd(a, state.EndAttempt{Outcome: state.OutcomeRefused, Message: reason.Error()})
		return nil
	}
	if !t.allowed(o) {
		return errNotAllowed
	}
	o.mu.Lock()
	sentBefore, lastCall := a.sent, a.failures+1 >= maxStartCalls
	a.sent = true
	address, epoch, order := o.record.Address, o.record.Epoch, a.order
	o.mu.Unlock()
	err := t.options.Targets.Start(ctx, address, epoch, taskOf(order))
	if err == nil {
		o.confirmStart(a)
		return nil
	}
	if !errors.Is(err, target.ErrRefused) && !target.IsConnectError(err) {
		if lastCall {
			return t.stop(ctx, o, a, state.EndAttempt{Outcome: failedStartOutcome(err), Message: "the start failed: " + err.Error()})
		}
		return err
	}
	if sentBefore {
		// An earlier start may have reached the target, so only a confirmed stop shows that
		// the attempt does not run.
		return t.stop(ctx, o, a, state.EndAttempt{Outcome: state.OutcomeRefused, Message: err.Error()})
	}
	o.mu.Lock()
	a.sent = false
	o.mu.Unlock()
	o.setEnd(a, state.EndAttempt{Outcome: state.OutcomeRefused, Message: err.Error()})
	return nil
}

// failedStartOutcome returns the outcome of an attempt whose start was given up. An error response
// counts as a failure; a missing response says nothing about the job.
func failedStartOutcome(err error) state.Outcome {
	var status *target.StatusError
	if errors.As(err, &status) {
		return state.OutcomeFailed
	}
	return state.OutcomeRefused
}

// reserveStart reserves capacity for the attempt, or returns the reason why it cannot start on
// the target. An attempt that may have been sent under this epoch keeps its capacity. An attempt
// that only an earlier owner may have sent needs capacity like a new one: it has not started,
// because the target reported under the present epoch without listing it, and cannot start any
// more, because the target refuses calls under an earlier epoch.
func (t *Table) reserveStart(o *ownedTarget, a *attempt) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	kept := t.keptOn(o.record.Pool)
	id := a.order.Attempt.ID.String()
	if o.table.Holds(id) {
		return nil
	}
	if a.sent {
		o.table.Adopt(id, reserve.Batch, a.order.Attempt.Reserved)
		return nil
	}
	if !o.takesWork() {
		return errors.New("the target takes no new work")
	}
	return o.table.ReserveBatch(id, a.order.Attempt.Reserved, kept)
}

func (o *ownedTarget) confirmStart(a *attempt) {
	o.mu.Lock()
	defer o.mu.Unlock()
	a.started = true
	a.confirmedSequence = max(a.confirmedSequence, o.sequence)
}

func taskOf(order syncmsg.Order) target.StartRequest {
	return target.StartRequest{
		Attempt:    order.Attempt.ID,
		Tenant:     order.Spec.Tenant,
		Class:      order.Spec.Class,
		Kind:       order.Spec.Kind,
		Reserved:   order.Attempt.Reserved,
		RunTimeMs:  order.Spec.RunTimeMs,
		Payload:    order.Spec.Payload,
		Checkpoint: order.Checkpoint,
	}
}

// stop stops the attempt and sets its end once the target has confirmed the stop. If the
// attempt had already ended by itself, that end is set instead of the given one.
func (t *Table) stop(ctx context.Context, o *ownedTarget, a *attempt, end state.EndAttempt) error {
	if !t.allowed(o) {
		return errNotAllowed
	}
	o.mu.Lock()
	address, epoch, id := o.record.Address, o.record.Epoch, a.order.Attempt.ID
	o.mu.Unlock()
	response, err := t.options.Targets.Stop(ctx, address, epoch, id)
	if err != nil {
		return err
	}
	if response.Ended != nil {
		end = endOf(*response.Ended)
	}
	o.setEnd(a, end)
	return nil
}

// evict takes a checkpoint, stops the attempt and requeues the job, in this order: a stop
// without a confirmed checkpoint would lose work, a requeue without a confirmed stop could
// run the job twice.
func (t *Table) evict(ctx context.Context, o *ownedTarget, a *attempt) error {
	if !t.allowed(o) {
		return errNotAllowed
	}
	o.mu.Lock()
	address, epoch, id := o.record.Address, o.record.Epoch, a.order.Attempt.ID
	taken := a.checkpoint // by an earlier call whose stop failed
	o.mu.Unlock()
	if taken == nil {
		checkpoint, err := t.options.Targets.Checkpoint(ctx, address, epoch, id)
		if err != nil {
			return err
		}
		taken = append([]byte{}, checkpoint...)
		o.mu.Lock()
		a.checkpoint = taken
		o.mu.Unlock()
	}
	return t.stop(ctx, o, a, state.EndAttempt{Outcome: state.OutcomeEvicted, Checkpoint: taken})
}
