package owner

import (
	"context"
	"errors"
	"time"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/daemon/target"
)

// tick is the interval at which attempts and leases are looked at.
const tick = 50 * time.Millisecond

// Run starts, stops and evicts attempts and lets target leases run out, until ctx is done.
func (t *Table) Run(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			t.step(ctx)
		}
	}
}

func (t *Table) step(ctx context.Context) {
	if !t.lease.Valid() {
		return
	}
	now := time.Now()
	for _, o := range t.list() {
		if o.overdue(now, t.options.TargetTTL) {
			t.lose(ctx, o)
			continue
		}
		for _, a := range o.idleAttempts() {
			go t.advance(ctx, o, a)
		}
	}
}

func (t *Table) lose(ctx context.Context, o *owned) {
	command := state.Command{LoseTarget: &state.LoseTarget{Target: o.record.ID, Epoch: o.record.Epoch}}
	if err := t.propose(ctx, command); err != nil {
		t.options.Logger.Warn().Err(err).Str("target", string(o.record.ID)).Msg("loss of target not committed")
		return
	}
	t.options.Logger.Info().Str("target", string(o.record.ID)).Msg("target lost: its lease is over")
}

// idleAttempts returns the attempts that need a call and marks them as busy.
func (o *owned) idleAttempts() []*attempt {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.open {
		return nil
	}
	var idle []*attempt
	for _, a := range o.attempts {
		if a.busy || a.ended || !a.needsCall() {
			continue
		}
		a.busy = true
		idle = append(idle, a)
	}
	return idle
}

func (a *attempt) needsCall() bool {
	return !a.started || a.order.Cancelling || a.order.Attempt.Evicting != ""
}

// advance makes the next call about an attempt.
func (t *Table) advance(ctx context.Context, o *owned, a *attempt) {
	o.mu.Lock()
	order, started, address, epoch := a.order, a.started, o.record.Address, o.record.Epoch
	o.mu.Unlock()
	defer func() {
		o.mu.Lock()
		a.busy = false
		o.mu.Unlock()
	}()
	id := order.Attempt.ID
	switch {
	case !started && order.Cancelling:
		t.end(ctx, o, a, state.EndAttempt{Attempt: id, Outcome: state.OutcomeStopped})
	case !started:
		t.start(ctx, o, a)
	case order.Cancelling:
		if err := t.options.Targets.Stop(ctx, address, epoch, id); err == nil {
			t.end(ctx, o, a, state.EndAttempt{Attempt: id, Outcome: state.OutcomeStopped})
		}
	default:
		t.evict(ctx, o, a, address, epoch)
	}
}

// start reserves room and starts the attempt. Once the start was sent it counts as started,
// because the target may run it even if the answer is lost.
func (t *Table) start(ctx context.Context, o *owned, a *attempt) {
	id := a.order.Attempt.ID
	o.mu.Lock()
	err := errors.New("the target takes no new work")
	if o.takesWork() && o.start == a.order.Attempt.StartID {
		err = o.table.Reserve(id.String(), a.order.Attempt.Reserved, model.Resources{})
		a.started = err == nil
	}
	o.mu.Unlock()
	if err != nil {
		t.end(ctx, o, a, state.EndAttempt{Attempt: id, Outcome: state.OutcomeRefused, Message: err.Error()})
		return
	}
	if !t.lease.Valid() {
		return
	}
	err = t.options.Targets.Start(ctx, o.record.Address, o.record.Epoch, taskOf(a))
	if errors.Is(err, target.ErrRefused) || target.IsConnectError(err) {
		t.end(ctx, o, a, state.EndAttempt{Attempt: id, Outcome: state.OutcomeRefused, Message: err.Error()})
	} else if err != nil {
		t.options.Logger.Warn().Err(err).Stringer("attempt", id).Msg("start has an unknown outcome")
	}
}

func taskOf(a *attempt) target.Task {
	spec := a.order.Spec
	return target.Task{
		Attempt:    a.order.Attempt.ID,
		Tenant:     spec.Tenant,
		Class:      spec.Class,
		Kind:       spec.Kind,
		Reserved:   a.order.Attempt.Reserved,
		RunTimeMs:  spec.RunTimeMs,
		Payload:    spec.Payload,
		Checkpoint: a.order.Checkpoint,
	}
}

// evict takes a checkpoint, stops the attempt and requeues the job, in this order: a stop
// without a confirmed checkpoint would lose work, a requeue without a confirmed stop could
// run the job twice.
func (t *Table) evict(ctx context.Context, o *owned, a *attempt, address string, epoch model.Epoch) {
	id := a.order.Attempt.ID
	checkpoint, err := t.options.Targets.Checkpoint(ctx, address, epoch, id)
	if err != nil {
		t.options.Logger.Warn().Err(err).Stringer("attempt", id).Msg("checkpoint failed")
		return
	}
	if err := t.options.Targets.Stop(ctx, address, epoch, id); err != nil {
		t.options.Logger.Warn().Err(err).Stringer("attempt", id).Msg("stop failed")
		return
	}
	t.end(ctx, o, a, state.EndAttempt{Attempt: id, Outcome: state.OutcomeEvicted, Checkpoint: checkpoint})
}

func (t *Table) end(ctx context.Context, o *owned, a *attempt, end state.EndAttempt) {
	o.mu.Lock()
	end.Epoch = o.record.Epoch
	o.mu.Unlock()
	if err := t.propose(ctx, state.Command{EndAttempt: &end}); err != nil {
		t.options.Logger.Warn().Err(err).Stringer("attempt", end.Attempt).Msg("end of attempt not committed")
		return
	}
	o.markEnded(end.Attempt)
}
