package state

import (
	"cmp"
	"maps"
	"slices"

	"samphirepaddle.example/core/model"
)

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

func (s *State) registerGateway(c *RegisterGateway) Result {
	if err := model.CheckIdentifier("gateway", string(c.Gateway)); err != nil {
		return resultf(CodeInvalid, "%v", err)
	}
	old, ok := s.Gateways[c.Gateway]
	if ok && old.Incarnation == c.Incarnation && !old.Expired {
		return Result{Code: CodeRepeated, Epoch: old.Epoch}
	}
	if ok && !old.Expired {
		return resultf(CodeInProgress, "gateway %q still has session %d; it must expire first", c.Gateway, old.Epoch)
	}
	epoch := s.takeEpoch()
	s.Gateways[c.Gateway] = &Gateway{
		ID:          c.Gateway,
		Incarnation: c.Incarnation,
		Epoch:       epoch,
		Zone:        c.Zone,
		PublicAddr:  c.PublicAddr,
		PeerAddr:    c.PeerAddr,
	}
	s.adoptTargets()
	return Result{Code: CodeOK, Epoch: epoch}
}

func (s *State) expireGateway(c *ExpireGateway) Result {
	gateway, ok := s.Gateways[c.Gateway]
	if !ok || gateway.Epoch != c.Epoch {
		return resultf(CodeStale, "gateway %q has no session %d", c.Gateway, c.Epoch)
	}
	if gateway.Expired {
		return Result{Code: CodeRepeated}
	}
	gateway.Expired = true
	s.releaseTargets(c.Gateway)
	s.forgetRequests(c.Gateway, c.Epoch)
	return Result{Code: CodeOK}
}

func (s *State) drainGateway(c *DrainGateway) Result {
	gateway, ok := s.Gateways[c.Gateway]
	if !ok || gateway.Epoch != c.Epoch || gateway.Expired {
		return resultf(CodeStale, "gateway %q has no session %d", c.Gateway, c.Epoch)
	}
	if gateway.Draining {
		return Result{Code: CodeRepeated}
	}
	gateway.Draining = true
	s.releaseTargets(c.Gateway)
	return Result{Code: CodeOK}
}

func (s *State) releaseTargets(owner model.GatewayID) {
	for _, id := range sortedKeys(s.Targets) {
		target := s.Targets[id]
		if target.Owner == owner {
			s.touchTarget(target)
			target.Owner = ""
		}
	}
	s.adoptTargets()
}

// adoptTargets gives each target without an owner to a live gateway.
func (s *State) adoptTargets() {
	load := s.ownedCounts()
	for _, id := range sortedKeys(s.Targets) {
		target := s.Targets[id]
		if target.Owner == "" && !target.Lost {
			s.assignOwner(target, load)
		}
	}
}

func (s *State) ownedCounts() map[model.GatewayID]int {
	load := map[model.GatewayID]int{}
	for id, gateway := range s.Gateways {
		if gateway.Live() {
			load[id] = 0
		}
	}
	for _, target := range s.Targets {
		if _, ok := load[target.Owner]; ok {
			load[target.Owner]++
		}
	}
	return load
}

// assignOwner picks the live gateway with the fewest targets, first among those in the
// target's availability zone, so that a quick request crosses zones only if it must.
func (s *State) assignOwner(target *Target, load map[model.GatewayID]int) {
	owner := s.leastLoaded(load, target.Zone)
	if owner == "" {
		owner = s.leastLoaded(load, "")
	}
	if owner == "" {
		return
	}
	load[owner]++
	target.Owner = owner
	target.Epoch = s.takeEpoch()
	s.touchTarget(target)
}

func (s *State) leastLoaded(load map[model.GatewayID]int, zone model.Zone) model.GatewayID {
	var best model.GatewayID
	for _, id := range sortedKeys(load) {
		if zone != "" && s.Gateways[id].Zone != zone {
			continue
		}
		if best == "" || load[id] < load[best] {
			best = id
		}
	}
	return best
}

func (s *State) joinTarget(c *JoinTarget) Result {
	if err := model.CheckIdentifier("target", string(c.Target)); err != nil {
		return resultf(CodeInvalid, "%v", err)
	}
	if c.Capacity.Negative() || c.Capacity.Slots < 1 {
		return resultf(CodeInvalid, "target %q: capacity must have at least 1 slot and no negative amount", c.Target)
	}
	target, ok := s.Targets[c.Target]
	if !ok {
		target = &Target{ID: c.Target}
		s.Targets[c.Target] = target
	}
	if ok && target.StartID == c.StartID && !target.Lost {
		return Result{Code: CodeRepeated, Epoch: target.Epoch}
	}
	target.StartID = c.StartID
	target.Address = c.Address
	target.Zone = c.Zone
	target.Rack = c.Rack
	target.Pool = c.Pool
	target.Capacity = c.Capacity
	target.Leaving = false
	target.Lost = false
	if target.Owner == "" {
		s.assignOwner(target, s.ownedCounts())
	}
	s.touchTarget(target)
	return Result{Code: CodeOK, Epoch: target.Epoch}
}

func (s *State) leaveTarget(c *LeaveTarget) Result {
	target, ok := s.Targets[c.Target]
	if !ok || target.StartID != c.StartID {
		return resultf(CodeStale, "target %q has no process %q", c.Target, c.StartID)
	}
	if target.Leaving {
		return Result{Code: CodeRepeated}
	}
	target.Leaving = true
	s.touchTarget(target)
	return Result{Code: CodeOK}
}

func (s *State) loseTarget(c *LoseTarget) Result {
	target, ok := s.Targets[c.Target]
	if !ok || target.Epoch != c.Epoch {
		return resultf(CodeStale, "target %q is not owned under epoch %d", c.Target, c.Epoch)
	}
	if target.Lost {
		return Result{Code: CodeRepeated}
	}
	s.touchTarget(target)
	target.Lost = true
	target.Owner = ""
	for _, id := range sortedKeys(s.Jobs) {
		job := s.Jobs[id]
		if job.Open != nil && job.Open.Target == c.Target {
			s.closeAttempt(job, &EndAttempt{Attempt: job.Open.ID, Outcome: OutcomeLost, Message: "the target's lease ran out"})
		}
	}
	return Result{Code: CodeOK}
}

func (s *State) quarantineTarget(c *QuarantineTarget) Result {
	target, ok := s.Targets[c.Target]
	if !ok {
		return resultf(CodeNotFound, "target %q does not exist", c.Target)
	}
	reason := ""
	if c.On {
		reason = c.Reason
		if reason == "" {
			reason = "no reason given"
		}
	}
	if target.Quarantined == reason {
		return Result{Code: CodeRepeated}
	}
	target.Quarantined = reason
	s.touchTarget(target)
	return Result{Code: CodeOK}
}
