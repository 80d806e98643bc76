package owner

import (
	"context"
	"errors"
	"testing"
	"time"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
)

// Guards against a dispatch by a gateway whose session lease has expired: its process may have
// been suspended between the reservation and the dispatch.
func TestGrantNeedsTheLease(t *testing.T) {
	f := newFixture(t, longTTL)
	f.own()
	f.mustReport(1, nil)
	reservation, err := f.table.ReserveQuick(service, "r", "")
	if err != nil {
		t.Fatal(err)
	}
	f.lease.valid.Store(false)
	if reservation.Valid() {
		t.Error("a reservation is valid without the lease")
	}
	if f.takesWork() {
		t.Error("a target takes work without the lease")
	}
	if _, err := f.report(2, nil); !errors.Is(err, ErrNotOwner) {
		t.Errorf("a target's lease was renewed without the session lease: %v", err)
	}
}

// Guards against reserving, for new work, the capacity of attempts that an earlier owner started.
func TestListedAttemptsKeepTheirRoom(t *testing.T) {
	f := newFixture(t, longTTL)
	f.own(order(4))
	f.mustReport(1, func(a *model.Announcement) { a.Running = []model.AttemptID{jobOne} })
	if free := f.table.FreeQuickSlots("p"); free != 3 {
		t.Errorf("%d slots free beside a listed attempt, want 3", free)
	}
}

// Guards against a start that exceeds the target's capacity: an attempt that an earlier owner
// was to start, and that the target does not list, needs capacity like a new one.
func TestUnstartedAttemptOfEarlierOwnerNeedsRoom(t *testing.T) {
	f := newFixture(t, longTTL)
	f.own(order(4))
	f.mustReport(1, func(a *model.Announcement) { a.Requests = []model.RequestID{"1", "2", "3", "4"} })
	f.run()
	f.eventually("the end is committed", func() bool { return len(f.proposer.ends()) == 1 })
	if end := f.proposer.ends()[0]; end.Outcome != state.OutcomeRefused || f.target.count("tasks") != 0 {
		t.Errorf("end %+v after %d starts on a full target", end, f.target.count("tasks"))
	}
}

// Guards against a start on a leaving target by an owner that took it over.
func TestUnstartedAttemptOfEarlierOwnerIsNotStartedOnLeavingTarget(t *testing.T) {
	f := newFixture(t, longTTL)
	f.own(order(4))
	f.mustReport(1, func(a *model.Announcement) { a.State = model.TargetLeaving })
	f.run()
	f.eventually("the end is committed", func() bool { return len(f.proposer.ends()) == 1 })
	if end := f.proposer.ends()[0]; end.Outcome != state.OutcomeRefused || f.target.count("tasks") != 0 {
		t.Errorf("end %+v after %d starts on a leaving target", end, f.target.count("tasks"))
	}
}

// Guards against reserving for new work, after a change of owner, the capacity of attempts that
// the target's earlier process may still run.
func TestAttemptsOfEarlierProcessKeepTheirRoomAtTakeover(t *testing.T) {
	f := newFixture(t, longTTL)
	f.own(order(4))
	f.mustReport(1, func(a *model.Announcement) { a.StartID = "s2" })
	if free := f.table.FreeQuickSlots("p"); free != 3 {
		t.Errorf("%d slots free beside an attempt of the earlier process, want 3", free)
	}
}

// Guards against declaring a silent target lost before its lease expires, by the owner to which
// it last reported and by one that took it over and received no report.
func TestLossWaitsForTheLease(t *testing.T) {
	const ttl = 2 * time.Second
	for _, reported := range []bool{true, false} {
		f := newFixture(t, ttl)
		f.own(order(5))
		begin := time.Now()
		if reported {
			begin = time.Now()
			f.mustReport(1, nil)
		}
		f.run()
		f.eventually("the loss is committed", func() bool { return f.proposer.lost() })
		if passed := time.Since(begin); passed < ttl {
			t.Errorf("reported %v: lost after %v, before its lease of %v expired", reported, passed, ttl)
		}
	}
}

// Guards against a second run of an attempt whose process was replaced under the earlier
// owner: that owner may have renewed the lease of the old process until the takeover.
func TestAttemptOfEarlierProcessWaitsAtTakeover(t *testing.T) {
	const ttl = time.Second
	f := newFixture(t, ttl)
	f.record.StartID = "s2"
	begin := time.Now()
	f.own(order(4))
	f.run()
	for sequence := uint64(1); len(f.proposer.ends()) == 0; sequence++ {
		f.mustReport(sequence, func(a *model.Announcement) { a.StartID = "s2" })
		time.Sleep(20 * time.Millisecond)
	}
	if passed := time.Since(begin); passed < ttl || f.proposer.ends()[0].Outcome != state.OutcomeLost {
		t.Errorf("end %+v after %v, want lost after the lease of %v", f.proposer.ends()[0], passed, ttl)
	}
}

// Guards against a renewal of the target's lease by an owner whose session lease expired while it
// committed what the target reported.
func TestRenewalNeedsTheLeaseAfterCommits(t *testing.T) {
	f := newFixture(t, longTTL)
	f.own()
	f.mustReport(1, nil)
	f.proposer.before = func() { f.lease.valid.Store(false) }
	if _, err := f.report(2, func(a *model.Announcement) { a.State = model.TargetLeaving }); !errors.Is(err, ErrNotOwner) {
		t.Errorf("renewal: %v", err)
	}
}

func (p *fakeProposer) lost() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.commands {
		if c.LoseTarget != nil {
			return true
		}
	}
	return false
}

// Guards against requeuing, as evicted, an attempt that had finished before it was stopped.
func TestFinishBeforeTheStopCounts(t *testing.T) {
	f := newFixture(t, longTTL)
	f.target.body = `{"checkpoint":"Y3A=","ended":{"attempt":{"job":"j","number":1}}}`
	evicting := order(5)
	evicting.Attempt.EvictionReason = "urgent job u"
	f.own(evicting)
	f.mustReport(1, func(a *model.Announcement) { a.Running = []model.AttemptID{jobOne} })
	f.run()
	f.eventually("the end is committed", func() bool { return len(f.proposer.ends()) == 1 })
	if end := f.proposer.ends()[0]; end.Outcome != state.OutcomeFinished {
		t.Errorf("end %+v of an attempt that had finished", end)
	}
}

// Guards against a late report that frees the capacity of a request which a newer one lists.
func TestLateReportFreesNothing(t *testing.T) {
	f := newFixture(t, longTTL)
	f.own()
	f.mustReport(1, func(a *model.Announcement) { a.Requests = []model.RequestID{"r"} })
	f.mustReport(3, func(a *model.Announcement) { a.Requests = []model.RequestID{"r"} })
	f.mustReport(2, nil)
	if free := f.table.FreeQuickSlots("p"); free != 3 {
		t.Errorf("%d slots free after a late report, want 3", free)
	}
}

// Guards against a leaving target that later owners do not know of.
func TestLeavingIsCommitted(t *testing.T) {
	f := newFixture(t, longTTL)
	f.own()
	f.mustReport(1, func(a *model.Announcement) { a.State = model.TargetLeaving })
	f.proposer.mu.Lock()
	commands := len(f.proposer.commands)
	f.proposer.mu.Unlock()
	if commands != 1 || f.proposer.commands[0].LeaveTarget == nil {
		t.Errorf("%d commands, want LeaveTarget", commands)
	}
	g := newFixture(t, longTTL)
	g.record.Leaving = true
	g.own()
	g.mustReport(1, nil)
	if g.takesWork() {
		t.Error("the next owner gives work to a leaving target")
	}
}

// Guards against dispatches to a target that a session renewal assigns to the gateway after it
// was drained.
func TestDrainedGatewayTakesNoFurtherTarget(t *testing.T) {
	f := newFixture(t, longTTL)
	f.table.Drain(context.Background())
	f.own(order(5))
	if _, err := f.report(1, nil); !errors.Is(err, ErrNotOwner) || f.takesWork() {
		t.Errorf("a drained gateway renews (%v) or takes work: %v", err, f.takesWork())
	}
}
