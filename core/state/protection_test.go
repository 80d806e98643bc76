package state

import (
	"testing"

	"samphirepaddle.example/core/model"
)

// Guards against an owner that was frozen and declares the loss of a target whose lease a
// later owner renews: its attempts would be requeued while they run.
func TestLossByEarlierOwnerIsRefused(t *testing.T) {
	w := newWorld(t)
	w.submit("a")
	w.ok(w.assign("a", 1))
	old := w.s.Targets["t1"].Epoch
	w.ok(Command{RegisterGateway: &RegisterGateway{Gateway: "gw2", Incarnation: "b"}})
	w.ok(Command{ExpireGateway: &ExpireGateway{"gw1", w.s.Gateways["gw1"].Epoch}})
	w.expect(CodeStale, Command{LoseTarget: &LoseTarget{"t1", old}})
	if job := w.s.Jobs["a"]; job.Phase != JobAssigned || w.s.Targets["t1"].Lost {
		t.Errorf("after the loss by the earlier owner: job %s, target lost %v", job.Phase, w.s.Targets["t1"].Lost)
	}
}

// Guards against new work for a leaving target, and against a late announcement of an earlier
// process that makes the present one leave.
func TestLeavingTargetIsAssignedNothing(t *testing.T) {
	w := newWorld(t)
	w.submit("a")
	w.expect(CodeStale, Command{LeaveTarget: &LeaveTarget{"t1", "earlier"}})
	w.ok(Command{LeaveTarget: &LeaveTarget{"t1", "p"}})
	w.expect(CodeStale, w.assign("a", 1))
}

// Guards against a keyed request that starts under a session that has expired: its record
// would never end. A request that an expired session left has an unknown outcome, and the key
// of a request serves no other content.
func TestBeginRequestNeedsTheSession(t *testing.T) {
	w := newWorld(t)
	epoch := w.s.Gateways["gw1"].Epoch
	begin := func(request model.RequestID) Command {
		return Command{BeginRequest: &BeginRequest{Tenant: "andino", Key: "k", Request: request, Gateway: "gw1", Epoch: epoch}}
	}
	w.ok(begin("r-1"))
	other := begin("r-3")
	other.BeginRequest.BodyHash[0] = 1
	w.expect(CodeConflict, other)
	w.expect(CodeInProgress, begin("r-3"))
	w.ok(Command{ExpireGateway: &ExpireGateway{"gw1", epoch}})
	again := begin("r-2")
	w.expect(CodeUnknown, again)
	again.BeginRequest.Key = "other"
	w.expect(CodeStale, again)
}

// Guards against two sessions of one gateway at the same time: the old process may still
// dispatch under its lease.
func TestSecondSessionWaitsForTheFirst(t *testing.T) {
	w := newWorld(t)
	second := Command{RegisterGateway: &RegisterGateway{Gateway: "gw1", Incarnation: "b"}}
	w.expect(CodeInProgress, second)
	w.ok(Command{ExpireGateway: &ExpireGateway{"gw1", w.s.Gateways["gw1"].Epoch}})
	w.ok(second)
}
