package owner

import (
	"context"
	"errors"
	"time"

	"samphirepaddle.example/core/lease"
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
)

// targetMargin is added to the granter's bound of a target lease.
const targetMargin = 200 * time.Millisecond

// ErrNotOwner is returned for targets that this gateway does not own.
var ErrNotOwner = errors.New("this gateway does not own the target")

// Announce takes an announcement of an owned target and renews its lease.
func (t *Table) Announce(ctx context.Context, a model.Announcement) (model.AnnouncementAnswer, error) {
	o := t.get(a.Target)
	if o == nil || !t.lease.Valid() {
		return model.AnnouncementAnswer{}, ErrNotOwner
	}
	if err := t.recordChanges(ctx, o, a); err != nil {
		return model.AnnouncementAnswer{}, err
	}
	t.proposeEnds(ctx, o, a)
	if !t.lease.Valid() {
		return model.AnnouncementAnswer{}, ErrNotOwner
	}
	return t.answer(o, a), nil
}

// recordChanges commits a new process or the leaving of the target before the answer.
func (t *Table) recordChanges(ctx context.Context, o *owned, a model.Announcement) error {
	o.mu.Lock()
	record := o.record
	o.mu.Unlock()
	if record.StartID != a.StartID {
		return t.propose(ctx, state.Command{JoinTarget: JoinCommand(a)})
	}
	if a.State == model.TargetLeaving && !record.Leaving {
		o.mu.Lock()
		o.leaving = true
		o.mu.Unlock()
		return t.propose(ctx, state.Command{LeaveTarget: &state.LeaveTarget{Target: a.Target, StartID: a.StartID}})
	}
	return nil
}

// JoinCommand returns the command that records an announced target.
func JoinCommand(a model.Announcement) *state.JoinTarget {
	return &state.JoinTarget{
		Target:   a.Target,
		StartID:  a.StartID,
		Address:  a.Address,
		Zone:     a.Zone,
		Rack:     a.Rack,
		Pool:     a.Pool,
		Capacity: a.Capacity,
	}
}

func (t *Table) propose(ctx context.Context, c state.Command) error {
	result, err := t.options.Proposer.Propose(ctx, c)
	if err != nil {
		return err
	}
	if !result.OK() && result.Code != state.CodeStale {
		return errors.New(result.Message)
	}
	return nil
}

// proposeEnds commits the ends that the target reports.
func (t *Table) proposeEnds(ctx context.Context, o *owned, a model.Announcement) {
	for _, ended := range a.Ended {
		if !o.isOpen(ended.Attempt) {
			continue
		}
		outcome := state.OutcomeFinished
		if ended.Failed {
			outcome = state.OutcomeFailed
		}
		err := t.propose(ctx, state.Command{EndAttempt: &state.EndAttempt{
			Attempt: ended.Attempt,
			Outcome: outcome,
			Message: ended.Message,
			Result:  ended.Result,
		}})
		if err != nil {
			t.options.Logger.Warn().Err(err).Stringer("attempt", ended.Attempt).Msg("end of attempt not committed")
			continue
		}
		o.markEnded(ended.Attempt)
	}
}

func (o *owned) isOpen(id model.AttemptID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	known, ok := o.attempts[id]
	return ok && !known.ended
}

func (o *owned) markEnded(id model.AttemptID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if known, ok := o.attempts[id]; ok {
		known.ended = true
	}
}

func (t *Table) answer(o *owned, a model.Announcement) model.AnnouncementAnswer {
	o.mu.Lock()
	defer o.mu.Unlock()
	answer := model.AnnouncementAnswer{
		Epoch:        o.record.Epoch,
		LeaseMs:      model.Millis(t.options.TargetTTL.Milliseconds()),
		Owner:        t.options.Gateway,
		OwnerAddress: t.options.PublicAddr,
		NextMs:       model.Millis(t.options.AnnounceEvery.Milliseconds()),
		Acknowledged: o.acknowledged(a),
	}
	if o.start == a.StartID && a.Sequence <= o.sequence {
		return answer
	}
	o.start = a.StartID
	o.sequence = a.Sequence
	o.answered = time.Now()
	o.releaseGone(a)
	if a.Epoch < o.record.Epoch {
		answer.NextMs = 0 // the target reports again at once under the new epoch
		return answer
	}
	answer.Stop = o.reconcile(a)
	return answer
}

// acknowledged returns the reported ends that need no further report. The caller holds o.mu.
func (o *owned) acknowledged(a model.Announcement) []model.AttemptID {
	var done []model.AttemptID
	for _, ended := range a.Ended {
		if known, ok := o.attempts[ended.Attempt]; !ok || known.ended {
			done = append(done, ended.Attempt)
		}
	}
	return done
}

// reconcile compares what the target runs with what it should run. The caller holds o.mu.
func (o *owned) reconcile(a model.Announcement) (stop []model.AttemptID) {
	for _, id := range a.Running {
		known, ok := o.attempts[id]
		if !ok {
			stop = append(stop, id)
			continue
		}
		known.started = true
		o.table.Adopt(id.String(), known.order.Attempt.Reserved)
	}
	if !o.open {
		o.adoptRequests(a)
		o.open = true
	}
	return stop
}

// adoptedQuick is what a request of an earlier owner is counted as: its service is not known.
var adoptedQuick = model.Resources{Slots: 1, Connections: 1}

// adoptRequests holds room for the requests that an earlier owner dispatched.
func (o *owned) adoptRequests(a model.Announcement) {
	for _, id := range a.Requests {
		if o.table.Holds(quickID(id)) {
			continue
		}
		o.table.Adopt(quickID(id), adoptedQuick)
		o.doubtful[id] = a.Sequence + 1
	}
}

// overdue reports whether the target's lease is over by the granter's bound.
func (o *owned) overdue(now time.Time, ttl time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.record.Lost && now.After(lease.GranterEnd(o.answered, ttl, targetMargin))
}
