package state_test

import (
	"testing"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
)

// Guards against ownership that stays with the last gateways after all were restarted in
// turn, and against moves that never come to an end.
func TestOwnershipIsBalancedAfterRestarts(t *testing.T) {
	s := state.New()
	index := model.Revision(0)
	apply := func(c state.Command) state.Result {
		index++
		return s.Apply(index, c)
	}
	register := func(id model.GatewayID, zone model.Zone, incarnation string) model.Epoch {
		return apply(state.Command{RegisterGateway: &state.RegisterGateway{Gateway: id, Incarnation: incarnation, Zone: zone}}).Epoch
	}
	zones := []model.Zone{"a", "b", "c"}
	gateways := []model.GatewayID{"g1", "g2", "g3", "g4", "g5", "g6"}
	sessions := map[model.GatewayID]model.Epoch{}
	for i, id := range gateways {
		sessions[id] = register(id, zones[i%3], "first")
	}
	for i := range 30 {
		apply(state.Command{JoinTarget: &state.JoinTarget{
			Target: model.TargetID(rune('a'+i/10)) + model.TargetID(rune('0'+i%10)), StartID: "s",
			Zone: zones[i%3], Capacity: model.Resources{Slots: 8},
		}})
	}
	for i, id := range gateways {
		apply(state.Command{ExpireGateway: &state.ExpireGateway{Gateway: id, Epoch: sessions[id]}})
		register(id, zones[i%3], "second")
	}
	moves := 0
	for misplaced := s.MisplacedTargets(2); len(misplaced) > 0; misplaced = s.MisplacedTargets(2) {
		for _, target := range misplaced {
			before := target.Epoch
			apply(state.Command{MoveTarget: &state.MoveTarget{Target: target.ID, Epoch: before}})
			apply(state.Command{HandOverTarget: &state.HandOverTarget{Target: target.ID, Epoch: before}})
			if target.Epoch <= before {
				t.Fatalf("target %s was handed over without a new epoch", target.ID)
			}
			moves++
		}
		if moves > 60 {
			t.Fatal("moves do not come to an end")
		}
	}
	for _, id := range gateways {
		if n := len(s.OwnedTargets(id)); n != 5 {
			t.Errorf("gateway %s owns %d targets, want 5", id, n)
		}
	}
}
