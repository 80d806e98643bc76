package state

import (
	"samphirepaddle.example/core/model"
)

func (s *State) moveTarget(c *MoveTarget) Result {
	target, ok := s.Targets[c.Target]
	if !ok || target.Owner == "" || target.Epoch != c.Epoch {
		return resultf(CodeStale, "target %q is not owned under epoch %d", c.Target, c.Epoch)
	}
	if target.Moving {
		return Result{Code: CodeRepeated}
	}
	target.Moving = true
	s.markTargetChanged(target)
	return Result{Code: CodeOK}
}

func (s *State) handOverTarget(c *HandOverTarget) Result {
	target, ok := s.Targets[c.Target]
	if !ok || !target.Moving || target.Epoch != c.Epoch {
		return resultf(CodeStale, "target %q is not to be moved under epoch %d", c.Target, c.Epoch)
	}
	s.markTargetChanged(target)
	s.setOwner(target, "")
	s.assignOwner(target, s.ownedTargetCounts())
	return Result{Code: CodeOK, Epoch: target.Epoch}
}

// MisplacedTargets returns up to limit owned targets that should have another owner: the owner
// is in another zone although the target's zone has a live gateway, or it owns at least two
// targets more than the gateway that would be chosen now. Targets whose move has been requested
// are included. A difference of one target is tolerated, so that rebalancing terminates.
func (s *State) MisplacedTargets(limit int) []*Target {
	load := s.ownedTargetCounts()
	var misplaced []*Target
	for _, id := range sortedKeys(s.Targets) {
		target := s.Targets[id]
		if len(misplaced) == limit {
			break
		}
		if target.Owner == "" || target.Lost {
			continue
		}
		better := s.leastLoadedGateway(load, target.Zone)
		if better == "" {
			better = s.leastLoadedGateway(load, "")
		}
		if better == "" || !target.Moving && !s.worthMoving(target, better, load) {
			continue
		}
		load[target.Owner]--
		load[better]++
		misplaced = append(misplaced, target)
	}
	return misplaced
}

func (s *State) worthMoving(target *Target, better model.GatewayID, load map[model.GatewayID]int) bool {
	owner, ok := s.Gateways[target.Owner]
	if !ok || !owner.CanOwnTargets() || better == target.Owner {
		return false
	}
	if s.Gateways[better].Zone == target.Zone && owner.Zone != target.Zone {
		return true
	}
	return load[target.Owner] >= load[better]+2
}
