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

// Times and sizes of the loop over attempts and leases.
const (
	tick           = 50 * time.Millisecond
	workers        = 32  // calls in progress at once, over all targets
	jobBacklog     = 256 // calls that wait for a worker
	busyPerTarget  = 4   // so that a target that does not answer cannot occupy all workers
	firstBackoff   = 100 * time.Millisecond
	longestBackoff = 2 * time.Second
	drainPoll      = 5 * time.Millisecond
)

// job is one call about an attempt, or the loss or handover of the target if attempt is nil.
type job struct {
	owned   *owned
	attempt *attempt
}

// Run starts, stops and evicts attempts and lets target leases run out, until ctx is done.
func (t *Table) Run(ctx context.Context) {
	for range workers {
		go t.work(ctx)
	}
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-t.kick:
		}
		t.step()
	}
}

// wake lets the loop run before its next tick.
func (t *Table) wake() {
	select {
	case t.kick <- struct{}{}:
	default:
	}
}

func (t *Table) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case j := <-t.jobs:
			t.do(ctx, j)
			t.working.Add(-1)
		}
	}
}

func (t *Table) do(ctx context.Context, j job) {
	if j.attempt == nil && j.owned.isMoving() {
		t.handOver(ctx, j.owned)
		return
	}
	if j.attempt == nil {
		t.lose(ctx, j.owned)
		j.owned.finishLoss()
		return
	}
	t.advance(ctx, j.owned, j.attempt)
}

// step queues the calls that are due. It never blocks; what finds no place in the backlog is
// queued at a later step.
func (t *Table) step() {
	if t.draining.Load() || !t.lease.Valid() {
		return
	}
	now := time.Now()
	for _, o := range t.list() {
		if o.claimHandover() && !t.enqueue(job{owned: o}) {
			o.finishHandover()
		}
		if o.beginLoss(now, t.options.TargetTTL) {
			if o.claimLoss() && !t.enqueue(job{owned: o}) {
				o.finishLoss()
			}
			continue
		}
		for _, a := range o.claimAttempts(now) {
			if !t.enqueue(job{o, a}) {
				o.release(a)
			}
		}
	}
}

func (t *Table) enqueue(j job) bool {
	t.working.Add(1)
	select {
	case t.jobs <- j:
		return true
	default:
		t.working.Add(-1)
		return false
	}
}

func (o *owned) claimLoss() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lossBusy {
		return false
	}
	o.lossBusy = true
	return true
}

func (o *owned) finishLoss() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lossBusy = false
}

func (t *Table) lose(ctx context.Context, o *owned) {
	o.mu.Lock()
	id, epoch := o.record.ID, o.record.Epoch
	o.mu.Unlock()
	if err := t.propose(ctx, state.Command{LoseTarget: &state.LoseTarget{Target: id, Epoch: epoch}}); err != nil {
		t.options.Logger.Warn().Err(err).Str("target", string(id)).Msg("loss of target not committed")
		return
	}
	o.leave()
	t.options.Logger.Info().Str("target", string(id)).Msg("target lost: its lease is over")
}

// claimAttempts returns the attempts that need a call now and marks them as busy.
func (o *owned) claimAttempts(now time.Time) []*attempt {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.open || o.gone {
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
		if a.busy || a.ended || now.Before(a.notBefore) {
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
	// Throttles come last, so that they cannot keep a start or an eviction waiting.
	due = append(due, throttles...)
	due = due[:min(len(due), max(0, busyPerTarget-busy))]
	for _, a := range due {
		a.busy = true
	}
	return due
}

func (o *owned) release(a *attempt) {
	o.mu.Lock()
	defer o.mu.Unlock()
	a.busy = false
}

// next is the next call about an attempt.
type next uint8

const (
	stepNone   next = iota
	stepEnd         // commit the decided end
	stepRefuse      // it was never sent and cannot be started
	stepLost        // it ran on a process whose lease is over
	stepStart
	stepStop  // stop it after a cancellation
	stepEvict // checkpoint and stop
	stepGone  // the target does not list it any more
	stepThrottle
)

// nextStep decides what an attempt needs. The caller holds o.mu.
func (o *owned) nextStep(a *attempt, now time.Time) next {
	order := a.order
	switch {
	case a.end != nil:
		return stepEnd
	case !a.started && order.Attempt.StartID != o.start:
		return o.foreignStep(a, now)
	case !a.started && !a.sent && order.Cancelling && order.Attempt.Epoch == o.record.Epoch:
		return stepRefuse
	case order.Cancelling:
		return stepStop
	case a.missing:
		return stepGone
	case !a.started:
		return stepStart
	case order.Attempt.EvictionReason != "":
		return stepEvict
	case a.needsThrottle(now):
		return stepThrottle
	}
	return stepNone
}

// foreignStep decides about an attempt that was assigned to an earlier process. If it was
// never sent, nobody runs it. Else the earlier process may run it until its lease is over.
func (o *owned) foreignStep(a *attempt, now time.Time) next {
	if !a.sent && a.order.Attempt.Epoch == o.record.Epoch {
		return stepRefuse
	}
	if now.After(o.oldOver) {
		return stepLost
	}
	return stepNone
}

// advance makes the next call about an attempt.
func (t *Table) advance(ctx context.Context, o *owned, a *attempt) {
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
		o.decide(a, state.EndAttempt{Outcome: outcome, Message: "it was not started"})
	case stepLost:
		o.decide(a, state.EndAttempt{Outcome: state.OutcomeLost, Message: "the target's process was replaced"})
	case stepStart:
		err = t.start(ctx, o, a)
	case stepStop:
		err = t.stop(ctx, o, a, state.EndAttempt{Outcome: state.OutcomeStopped})
	case stepGone:
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
		t.options.Logger.Warn().Err(err).Stringer("attempt", id).Msg("call about attempt failed; it is repeated")
	}
	o.finish(a, err)
	if step != stepNone {
		t.observe(o)
	}
}

// finish ends a call about an attempt; a failed one is repeated after a growing pause.
func (o *owned) finish(a *attempt, err error) {
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

// decide notes the end that is to be committed. The epoch keeps an owner that was frozen from
// closing an attempt that a later owner has started again.
func (o *owned) decide(a *attempt, end state.EndAttempt) {
	o.mu.Lock()
	defer o.mu.Unlock()
	end.Attempt = a.order.Attempt.ID
	end.Epoch = o.record.Epoch
	a.end = &end
}

func (t *Table) commitEnd(ctx context.Context, o *owned, a *attempt) error {
	o.mu.Lock()
	end := a.end
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

// allowed reports whether a call under the ownership epoch of o may be sent now. A process
// that is frozen between this check and the write is covered by the granter's margin, and
// after that by the epoch, which the target refuses once it has seen a newer one.
func (t *Table) allowed(o *owned) bool {
	if t.draining.Load() || !t.lease.Valid() {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.gone && !o.losing
}

var errNotAllowed = errors.New("the lease is over or the target has another owner")

// start reserves room and starts the attempt. A start with an unknown outcome is repeated:
// the target treats a repeated attempt id as the same start.
func (t *Table) start(ctx context.Context, o *owned, a *attempt) error {
	if reason := t.reserveStart(o, a); reason != nil {
		o.decide(a, state.EndAttempt{Outcome: state.OutcomeRefused, Message: reason.Error()})
		return nil
	}
	if !t.allowed(o) {
		return errNotAllowed
	}
	o.mu.Lock()
	before := a.sent
	a.sent = true
	address, epoch, order := o.record.Address, o.record.Epoch, a.order
	o.mu.Unlock()
	err := t.options.Targets.Start(ctx, address, epoch, taskOf(order))
	if err == nil {
		o.confirmStart(a)
		return nil
	}
	if !errors.Is(err, target.ErrRefused) && !target.IsConnectError(err) {
		return err
	}
	if before {
		// An earlier start may have reached the target, so only a confirmed stop shows that
		// the attempt does not run.
		return t.stop(ctx, o, a, state.EndAttempt{Outcome: state.OutcomeRefused, Message: err.Error()})
	}
	o.mu.Lock()
	a.sent = false
	o.mu.Unlock()
	o.decide(a, state.EndAttempt{Outcome: state.OutcomeRefused, Message: err.Error()})
	return nil
}

// reserveStart holds room for the attempt, or says why it cannot start here. An attempt that
// may have been sent keeps its room. One that only an earlier owner may have sent has not
// started, because the target reported under the present epoch without it and refuses a
// smaller one, so it needs room like a new one.
func (t *Table) reserveStart(o *owned, a *attempt) error {
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

func (o *owned) confirmStart(a *attempt) {
	o.mu.Lock()
	defer o.mu.Unlock()
	a.started = true
	a.startedAt = max(a.startedAt, o.sequence)
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

// stop ends the attempt with end once the target has confirmed the stop. If the attempt had
// ended by itself before, that end counts.
func (t *Table) stop(ctx context.Context, o *owned, a *attempt, end state.EndAttempt) error {
	if !t.allowed(o) {
		return errNotAllowed
	}
	o.mu.Lock()
	address, epoch, id := o.record.Address, o.record.Epoch, a.order.Attempt.ID
	o.mu.Unlock()
	answer, err := t.options.Targets.Stop(ctx, address, epoch, id)
	if err != nil {
		return err
	}
	if answer.Ended != nil {
		end = endOf(*answer.Ended)
	}
	o.decide(a, end)
	return nil
}

// evict takes a checkpoint, stops the attempt and requeues the job, in this order: a stop
// without a confirmed checkpoint would lose work, a requeue without a confirmed stop could
// run the job twice.
func (t *Table) evict(ctx context.Context, o *owned, a *attempt) error {
	if !t.allowed(o) {
		return errNotAllowed
	}
	o.mu.Lock()
	address, epoch, id := o.record.Address, o.record.Epoch, a.order.Attempt.ID
	taken := a.checkpoint
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
