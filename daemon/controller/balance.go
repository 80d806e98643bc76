package controller

import (
	"context"
	"time"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
)

// balanceInterval is the interval at which the ownership of targets is compared with the live
// gateways. A target takes no new work during its handover, for about one announcement interval,
// so handovers are spread over time.
const balanceInterval = time.Second

// moveLimitDivisor limits concurrent handovers to one in twenty targets, so that at most 5 % of
// the targets take no new work.
const moveLimitDivisor = 20

// balanceOwnership asks owners to hand over targets that another gateway should own. Without it,
// a restarted gateway would own nothing, and a rolling restart of all gateways would leave every
// target with the last ones.
func (s *Service) balanceOwnership(ctx context.Context) {
	if !s.log.Leader().Self {
		return
	}
	var moves []state.MoveTarget
	s.log.View(func(st *state.State) {
		limit := max(1, len(st.Targets)/moveLimitDivisor)
		for _, target := range st.MisplacedTargets(limit) {
			if !target.Moving {
				moves = append(moves, state.MoveTarget{Target: target.ID, Epoch: target.Epoch})
			}
		}
	})
	for i := range moves {
		command := state.Command{ProposedAt: model.Millis(time.Now().UnixMilli()), MoveTarget: &moves[i]}
		if _, err := s.log.Propose(ctx, command); err != nil {
			s.logger.Warn().Err(err).Str("target", string(moves[i].Target)).Msg("handover of target not committed")
			return
		}
	}
}
