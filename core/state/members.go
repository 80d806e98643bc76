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
	epoch := s.allocateEpoch()
	s.gatewaysChanged = s.Revision
	s.Gateways[c.Gateway] = &Gateway{
		ID:          c.Gateway,
		Incarnation: c.Incarnation,
		Epoch:       epoch,
		Zone:        c.Zone,
		PublicAddr:  c.PublicAddr,
		PeerAddr:    c.PeerAddr,
	}
	s.assignUnownedTargets()
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
	s.gatewaysChanged = s.Revision
	s.reassignTargets(c.Gateway)
	s.endAbandonedRequests(c.Gateway)
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
	s.gatewaysChanged = s.Revision
	s.reassignTargets(c.Gateway)
	return Result{Code: CodeOK}
}

func (s *State) reassignTargets(owner model.GatewayID) {
	for _, id := range sortedKeys(s.index.ownedBy[owner]) {
		target := s.Targets[id]
		s.markTargetChanged(target)
		s.setOwner(target, "")
	}
	delete(s.closedAttempts, owner)
	s.assignUnownedTargets()
}

// setOwner changes the owner and updates the index. The caller calls markTargetChanged.
func (s *State) setOwner(target *Target, owner model.GatewayID) {
	s.ownedSetChanged[target.Owner] = s.Revision
	s.ownedSetChanged[owner] = s.Revision
	s.index.dropTarget(target)
	target.Moving = false
	target.Owner = owner
	s.index.addTarget(target)
}

// assignUnownedTargets assigns each target without an owner to a live gateway.
func (s *State) assignUnownedTargets() {
	load := s.ownedTargetCounts()
	for _, id := range sortedKeys(s.index.unowned) {
		s.assignOwner(s.Targets[id], load)
	}
}

func (s *State) ownedTargetCounts() map[model.GatewayID]int {
	load := map[model.GatewayID]int{}
	for id, gateway := range s.Gateways {
		if gateway.CanOwnTargets() {
			load[id] = len(s.index.ownedBy[id])
		}
	}
	return load
}

// assignOwner assigns the target to the live gateway with the fewest targets. It prefers the
// gateways in the target's availability zone, so that quick requests cross zones only if no
// gateway is live there.
func (s *State) assignOwner(target *Target, load map[model.GatewayID]int) {
	owner := s.leastLoadedGateway(load, target.Zone)
	if owner == "" {
		owner = s.leastLoadedGateway(load, "")
	}
	if owner == "" {
		return
	}
	load[owner]++
	s.setOwner(target, owner)
	target.Epoch = s.allocateEpoch()
	target.AssignedRevision = s.Revision
	s.markTargetChanged(target)
}

func (s *State) leastLoadedGateway(load map[model.GatewayID]int, zone model.Zone) model.GatewayID {
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
	if c.StartID == "" || len(c.StartID) > maxStartIDBytes {
		return resultf(CodeInvalid, "target %q: start_id has %d bytes, 1 to %d are allowed", c.Target, len(c.StartID), maxStartIDBytes)
	}
	if c.Capacity.Negative() || c.Capacity.Slots < 1 {
		return resultf(CodeInvalid, "target %q: capacity must have at least 1 slot and no negative amount", c.Target)
	}
	target, ok := s.Targets[c.Target]
	if !ok {
		target = &Target{ID: c.Target}
		s.Targets[c.Target] = target
		s.index.addTarget(target)
	}
	if ok && target.StartID == c.StartID && !target.Lost {
		return Result{Code: CodeRepeated, Epoch: target.Epoch}
	}
	if target.StartID != c.StartID {
		if result := s.replaceProcess(target, c.StartID); !result.OK() {
			return result
		}
	}
	target.Address = c.Address
	target.Zone = c.Zone
	_, target.Evacuated = s.Evacuations[c.Zone]
	target.Rack = c.Rack
	target.Pool = c.Pool
	target.Capacity = c.Capacity
	s.index.dropTarget(target)
	target.Lapsed = nil
	target.Lost = false
	target.LostAt = 0
	target.LostSequence = 0
	s.index.addTarget(target)
	if target.Owner == "" {
		s.assignOwner(target, s.ownedTargetCounts())
	}
	s.markTargetChanged(target)
	return Result{Code: CodeOK, Epoch: target.Epoch}
}

// Bounds on the processes of a target.
const (
	maxPastStartIDs = 4 // start ids of earlier processes stored per target
	maxStartIDBytes = 128
)

// replaceProcess records a new process of a target. A delayed announcement of an earlier
// process is rejected. Attempts of the earlier process stay open under its start id: it may
// still run them, and the owner ends them as lost once its lease has expired.
func (s *State) replaceProcess(target *Target, startID string) Result {
	if slices.Contains(target.PastStartIDs, startID) {
		return resultf(CodeStale, "process %q of target %q was replaced by %q", startID, target.ID, target.StartID)
	}
	if target.StartID != "" {
		s.recordProcessEnd(target)
		target.PastStartIDs = append(target.PastStartIDs, target.StartID)
		if excess := len(target.PastStartIDs) - maxPastStartIDs; excess > 0 {
			target.PastStartIDs = append([]string(nil), target.PastStartIDs[excess:]...)
		}
	}
	target.StartID = startID
	target.Leaving = false
	return Result{Code: CodeOK}
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
	s.markTargetChanged(target)
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
	s.markTargetChanged(target)
	s.recordLapsed(target)
	for _, id := range sortedKeys(s.index.openJobs[c.Target]) {
		job := s.Jobs[id]
		s.closeAttempt(job, &EndAttempt{Attempt: job.OpenAttempt.ID, Outcome: OutcomeLost})
	}
	s.setOwner(target, "")
	s.index.dropTarget(target)
	target.Lost = true
	target.LostAt = s.Now
	target.LostSequence = s.allocateSequence()
	s.index.lostTargets.push(lostTargetRef{target.LostSequence, s.Now, target.ID})
	return Result{Code: CodeOK}
}

func (s *State) quarantineTarget(c *QuarantineTarget) Result {
	target, ok := s.Targets[c.Target]
	if !ok {
		return resultf(CodeNotFound, "target %q does not exist", c.Target)
	}
	reason := ""
	if c.Quarantined {
		reason = c.Reason
		if reason == "" {
			reason = "no reason given"
		}
	}
	if target.QuarantineReason != "" && target.QuarantinedByOperator && !c.Operator {
		return resultf(CodeStale, "the quarantine of target %q was set by an operator", c.Target)
	}
	byOperator := c.Quarantined && c.Operator
	if target.QuarantineReason == reason && target.QuarantinedByOperator == byOperator {
		return Result{Code: CodeRepeated}
	}
	target.QuarantineReason = reason
	target.QuarantinedByOperator = byOperator
	s.markTargetChanged(target)
	return Result{Code: CodeOK}
}
