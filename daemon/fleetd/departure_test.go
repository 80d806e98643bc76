package fleetd

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
)

// leader returns the index of the controller that leads, after it has an entry of its term committed.
func (g *testGroup) leader(t *testing.T) int {
	t.Helper()
	leader := -1
	waitUntil(t, "the group has a leader", func() bool {
		for i, v := range g.core {
			ctx, stop := context.WithTimeout(context.Background(), time.Second)
			defer stop()
			if v.daemon != nil && v.daemon.node.log.Confirm(ctx) == nil {
				leader = i
				return true
			}
		}
		return false
	})
	return leader
}

// follower returns the index of a running controller that does not lead.
func (g *testGroup) follower(t *testing.T) int {
	t.Helper()
	leader := g.leader(t)
	for i, v := range g.core {
		if i != leader && v.daemon != nil {
			return i
		}
	}
	t.Fatal("no other controller runs")
	return 0
}

// hasCaughtUp reports whether the leader knows the controller as a learner that has its whole log.
func (g *testGroup) hasCaughtUp(t *testing.T, v *vm) bool {
	t.Helper()
	s := g.core[g.leader(t)].status()
	for _, member := range s.Members {
		if member.Addr == v.addr {
			return member.Learner && !s.ChangePending && member.MatchIndex == s.LastIndex
		}
	}
	return false
}

// commits reports whether one of the controllers can commit a command.
func commits(controllers ...*vm) bool {
	ticket := model.Ticket{Number: 1, Author: "ana", Pools: []model.Pool{{ID: "pool"}}}
	for _, v := range controllers {
		ctx, stop := context.WithTimeout(context.Background(), time.Second)
		defer stop()
		result, err := v.daemon.node.log.Propose(ctx, state.Command{SubmitTicket: &state.SubmitTicket{Ticket: ticket}})
		if err == nil && result.OK() {
			return true
		}
	}
	return false
}

// Guards against a group that ends for good in planned work: the successor of a controller has caught
// up and the old one is shut down, and right after its end the disk of another controller is lost.
func TestDiskLostAfterAPlannedReplacement(t *testing.T) {
	for name, test := range map[string]struct {
		leaves, lost func(*testGroup, *testing.T) int
	}{
		"follower replaced, follower lost": {(*testGroup).follower, (*testGroup).follower},
		"follower replaced, leader lost":   {(*testGroup).follower, (*testGroup).leader},
		"leader replaced, follower lost":   {(*testGroup).leader, (*testGroup).follower},
		"leader replaced, leader lost":     {(*testGroup).leader, (*testGroup).leader},
	} {
		t.Run(name, func(t *testing.T) {
			g := newTestGroup(t)
			successor := newVM(t, true)
			successor.start(false, g.core...)
			waitUntil(t, "the successor has caught up", func() bool { return g.hasCaughtUp(t, successor) })
			took := g.core[test.leaves(g, t)].shutDown()
			if took > transferTimeout+shutdownTimeout {
				t.Errorf("the shutdown took %v", took)
			}
			t.Logf("the shutdown took %v", took)
			lost := g.core[test.lost(g, t)]
			lost.kill()
			lost.loseDisk()
			remaining := []*vm{successor}
			for _, v := range g.core {
				if v.daemon != nil {
					remaining = append(remaining, v)
				}
			}
			waitUntil(t, "the group commits a command", func() bool { return commits(remaining...) })
		})
	}
}

// Guards against a shutdown that waits although no learner can take over, and against a rolling restart
// that changes the membership.
func TestRollingRestartKeepsTheMembership(t *testing.T) {
	g := newTestGroup(t)
	before := g.core[g.leader(t)].status()
	for _, v := range g.core {
		leads := g.core[g.leader(t)] == v
		if took := v.shutDown(); !leads && took > electionTicks*groupTick+shutdownTimeout {
			t.Errorf("the shutdown took %v", took)
		} else {
			t.Logf("the shutdown took %v, leader %v", took, leads)
		}
		v.start(true, g.core...)
		waitUntil(t, "the restarted controller follows", func() bool { return v.status().Leader.ID != "" })
	}
	after := g.core[g.leader(t)].status()
	if after.ChangePending || len(after.Members) != len(before.Members) {
		t.Fatalf("members %+v, want %+v", after.Members, before.Members)
	}
	for i, member := range after.Members {
		if member.Member != before.Members[i].Member {
			t.Errorf("member %+v, want %+v", member.Member, before.Members[i].Member)
		}
	}
}

// Guards against a group that does not come back after all controllers, one of them a learner, were shut
// down at the same time, so that each announces its end to others that end as well.
func TestAllControllersRestartAtOnce(t *testing.T) {
	g := newTestGroup(t)
	learner := newVM(t, true)
	learner.start(false, g.core...)
	waitUntil(t, "the learner has caught up", func() bool { return g.hasCaughtUp(t, learner) })
	all := append(slices.Clone(g.core), learner)
	var ended sync.WaitGroup
	for _, v := range all {
		ended.Go(func() {
			if took := v.shutDown(); took > transferTimeout+shutdownTimeout {
				t.Errorf("the shutdown took %v", took)
			} else {
				t.Logf("the shutdown took %v", took)
			}
		})
	}
	ended.Wait()
	for _, v := range all {
		v.start(v != learner, g.core...)
	}
	waitUntil(t, "the group commits a command", func() bool { return commits(all...) })
	waitUntil(t, "all are members, three of them voters", func() bool {
		for _, v := range all {
			if s := v.status(); s.Leader.Self {
				return len(s.Members) == len(all) && conditionOf(s, 3).live >= 3
			}
		}
		return false
	})
}
