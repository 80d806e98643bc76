package owner

import (
	"context"

	"samphirepaddle.example/core/state"
)

// beginHandover stops every new dispatch, start and renewal under the present epoch. The caller
// holds o.mu.
func (o *ownedTarget) beginHandover() {
	o.moving = true
	o.ownershipEnded = true
}

func (o *ownedTarget) isMoving() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.moving
}

// claimHandover reports whether the target can be handed over now: no call about an attempt
// may be in progress, because a start after the handover command would overlap with the next owner.
func (o *ownedTarget) claimHandover() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.moving || o.handoverPending {
		return false
	}
	for _, a := range o.attempts {
		if a.busy {
			return false
		}
	}
	o.handoverPending = true
	return true
}

func (o *ownedTarget) finishHandover() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.handoverPending = false
}

// handOver proposes to hand the target over to another gateway. A failed proposal is retried
// by the loop of Run.
func (t *Table) handOver(ctx context.Context, o *ownedTarget) {
	defer o.finishHandover()
	o.mu.Lock()
	id, epoch := o.record.ID, o.record.Epoch
	o.mu.Unlock()
	if err := t.propose(ctx, state.Command{HandOverTarget: &state.HandOverTarget{Target: id, Epoch: epoch}}); err != nil {
		t.options.Logger.Warn().Err(err).Str("target", string(id)).Msg("handover of target not committed")
		return
	}
	t.options.Logger.Debug().Str("target", string(id)).Msg("target handed over")
}
