package consensus

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"samphirepaddle.example/core/model"
)

// Guards against two leaders in one term, lost commits, stale reads and a group that makes no
// progress, when voters are replaced by learners while they are silent or leaving and later return as
// learners with their old log, term and membership.
func TestReplacedVotersReturn(t *testing.T) {
	returned, changes, taken := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := newBoundedSim(t.Fatalf, 3, rapid.SampledFrom([]int{1, 1, 2, 3}).Draw(t, "learners"))
		source := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), rapid.Uint64().Draw(t, "stream")))
		actions := randomActions(source)
		for range rapid.SampledFrom([]int{300, 2000, 8000}).Draw(t, "steps") {
			s.randomStep(source, actions)
		}
		s.checkLogs()
		s.recoverAndCheck(t)
		r, c := s.countReturns()
		returned, changes = returned+r, changes+c
		for _, d := range s.departures {
			if d.Successor != "" {
				taken++
			}
		}
	})
	t.Logf("%d memberships, %d returns of a replaced voter, %d departures with a successor", changes, returned, taken)
	if returned == 0 || taken == 0 {
		t.Error("the schedules must exercise voters that are replaced and return, and departures with a successor")
	}
}

// Guards against a voter that is silent again and again, for example on a full disk, and each time is
// replaced and added again, so that changes of the membership never end.
func TestVoterThatIsSilentAgainAndAgainIsReplacedOnce(t *testing.T) {
	s := newBoundedSim(t.Fatalf, 3, 1)
	rounds := func(count int) {
		for range count {
			s.round()
			for _, n := range s.nodes {
				s.addNonMembers(n)
			}
		}
	}
	rounds(20 * simElection)
	var silent *simNode
	for _, n := range s.nodes {
		if n.node.Role() != RoleLeader && n.node.Members().IsVoter(n.member.ID) {
			silent = n
		}
	}
	_, before := s.countReturns()
	for range 10 {
		s.isolated[silent.member.ID] = true
		rounds(2 * replaceElectionTimeouts * simElection)
		clear(s.isolated)
		rounds(2 * replaceElectionTimeouts * simElection)
	}
	returned, after := s.countReturns()
	// The voter is removed, the learner promoted and the voter added as a learner.
	if returned != 1 || after-before != 3 {
		t.Errorf("%d returns, %d changes of the membership, want 1 and 3", returned, after-before)
	}
	if !s.converged() {
		t.Error("the group did not converge")
	}
}

// Guards against a group that never has a quorum again because one voter loses its disk just before or
// while a learner takes the place of another one that is silent and returns with its disk.
func TestDiskLostWhileASilentVoterIsReplaced(t *testing.T) {
	for delay := range 2 * replaceElectionTimeouts * simElection {
		s := newBoundedSim(t.Fatalf, 3, 1)
		leader := s.elect(t)
		s.rounds(5)
		s.addNonMembers(leader)
		s.rounds(5 * simElection)
		silent, lost := s.others(leader)[0], s.others(leader)[1]
		s.isolated[silent.member.ID] = true
		s.rounds(delay)
		s.loseDisk(lost)
		s.rounds(4 * simElection)
		clear(s.isolated)
		before := len(s.committed)
		for range 40 * simElection {
			s.round()
			for _, n := range s.nodes {
				s.addNonMembers(n)
				s.propose(n)
			}
		}
		if len(s.committed) == before {
			t.Fatalf("disk lost %d ticks after the silence began: nothing is committed after all are back: %+v", delay, leader.node.Members())
		}
	}
}

// newBoundedSim returns a sim with at most maxVoters voters and some nodes that are no members yet.
func newBoundedSim(fatalf func(string, ...any), maxVoters, learners int) *sim {
	s := newSim(fatalf, maxVoters)
	s.maxVoters = maxVoters
	for _, n := range s.nodes {
		s.crash(n, 0)
		s.start(n)
	}
	for i := range learners {
		s.start(s.addNode(model.GatewayID(fmt.Sprint("learner", i))))
	}
	return s
}

// hasLostMember reports whether a lost disk is a member in the view of some node.
func (s *sim) hasLostMember() bool {
	for _, n := range s.nodes {
		if n.node == nil {
			continue
		}
		for _, member := range n.node.Members() {
			if s.lostDisks[member.ID] {
				return true
			}
		}
	}
	return false
}

// countReturns returns how often a replaced voter became a member again, and the number of
// committed memberships.
func (s *sim) countReturns() (returned, changes int) {
	voted := map[MemberID]bool{} // ids that had a vote
	var before Membership
	for _, e := range s.committed {
		if e.Kind != EntryMembership {
			continue
		}
		changes++
		members, err := DecodeMembership(e.Data)
		if err != nil {
			s.fatalf("%v", err)
		}
		for _, member := range members {
			if _, stayed := before.Find(member.ID); !stayed && voted[member.ID] {
				returned++
			}
			voted[member.ID] = voted[member.ID] || !member.Learner
		}
		before = members
	}
	return returned, changes
}
