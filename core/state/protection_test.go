package state

import (
	"testing"

	"samphirepaddle.example/core/model"
)

// Guards against a previous owner that was suspended and, once resumed, declares a target lost
// whose lease the current owner renews: its attempts would be requeued while they run.
func TestLossByEarlierOwnerIsRefused(t *testing.T) {
	f := newFixture(t)
	f.submit("a")
	f.ok(f.assign("a", 1))
	old := f.s.Targets["t1"].Epoch
	f.ok(Command{RegisterGateway: &RegisterGateway{Gateway: "gw2", Incarnation: "b"}})
	f.ok(Command{ExpireGateway: &ExpireGateway{"gw1", f.s.Gateways["gw1"].Epoch}})
	f.expect(CodeStale, Command{LoseTarget: &LoseTarget{"t1", old}})
	if job := f.s.Jobs["a"]; job.Phase != JobAssigned || f.s.Targets["t1"].Lost {
		t.Errorf("after the loss by the earlier owner: job %s, target lost %v", job.Phase, f.s.Targets["t1"].Lost)
	}
}

// Guards against new attempts on a leaving target, and against a delayed announcement of an
// earlier process that marks the current process as leaving.
func TestLeavingTargetIsAssignedNothing(t *testing.T) {
	f := newFixture(t)
	f.submit("a")
	f.expect(CodeStale, Command{LeaveTarget: &LeaveTarget{"t1", "earlier"}})
	f.ok(Command{LeaveTarget: &LeaveTarget{"t1", "p"}})
	f.expect(CodeStale, f.assign("a", 1))
}

// Guards against a keyed request that begins under an expired session: its record would never
// end. Also checks that a request left open by an expired session has an unknown outcome, and
// that a key is rejected for a request with another body.
func TestBeginRequestNeedsTheSession(t *testing.T) {
	f := newFixture(t)
	epoch := f.s.Gateways["gw1"].Epoch
	begin := func(request model.RequestID) Command {
		return Command{BeginRequest: &BeginRequest{Tenant: "andino", Key: "k", Request: request, Gateway: "gw1", Epoch: epoch}}
	}
	f.ok(begin("r-1"))
	other := begin("r-3")
	other.BeginRequest.BodyHash[0] = 1
	f.expect(CodeConflict, other)
	f.expect(CodeInProgress, begin("r-3"))
	f.ok(Command{ExpireGateway: &ExpireGateway{"gw1", epoch}})
	again := begin("r-2")
	f.expect(CodeUnknown, again)
	again.BeginRequest.Key = "other"
	f.expect(CodeStale, again)
}

// Guards against two concurrent sessions of one gateway: the old process may still dispatch
// requests under its lease.
func TestSecondSessionWaitsForTheFirst(t *testing.T) {
	f := newFixture(t)
	second := Command{RegisterGateway: &RegisterGateway{Gateway: "gw1", Incarnation: "b"}}
	f.expect(CodeInProgress, second)
	f.ok(Command{ExpireGateway: &ExpireGateway{"gw1", f.s.Gateways["gw1"].Epoch}})
	f.ok(second)
}
