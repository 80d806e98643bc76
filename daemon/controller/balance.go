package controller

import (
	"context"
	"time"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
)

// balanceTick is the interval at which ownership is compared with the live gateways. A moved
// target takes no new work for about one announcement, so moves are spread over time.
const balanceTick = time.Second

// movingShare is the divisor that bounds the targets that move at once: one in twenty, so
// that at most 5 % of the capacity is closed to new work by moves.
const movingShare = 20

// balanceOwnership asks owners to hand over targets that another gateway should own: without
// it, a gateway that came back would own nothing, and restarts of all gateways in turn would
// leave every target to the last ones.
func (s *Service) balanceOwnership(ctx context.Context) {
	if !s.log.Leader().Self {
		return
	}
	var moves []state.MoveTarget
	s.log.View(func(st *state.State) {
		limit := max(1, len(st.Targets)/movingShare)
		for _, target := range st.MisplacedTargets(limit) {
			if !target.Moving {
				moves = append(moves, state.MoveTarget{Target: target.ID, Epoch: target.Epoch})
			}
		}
	})
	for i := range moves {
		command := state.Command{ProposedAt: model.Millis(time.Now().UnixMilli()), MoveTarget: &moves[i]}
		if _, err := s.log.Propose(ctx, command); err != nil {
			s.logger.Warn().Err(err).Str("target", string(moves[i].Target)).Msg("move of target not committed")
			return
		}
	}
}
