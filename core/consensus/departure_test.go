package consensus

import (
	"fmt"
	"testing"

	"samphirepaddle.example/core/model"
)

// leave lets the node announce that its process ends.
func (s *sim) leave(n *simNode) {
	if n.node != nil {
		n.node.Leave()
		s.processOutput(n)
	}
}

// newSimWithLearners starts a group of at most three voters with the given number of caught-up learners of other
// VMs, and returns its leader.
func newSimWithLearners(t *testing.T, learners int) (*sim, *simNode) {
	t.Helper()
	s := newBoundedSim(t.Fatalf, 3, learners)
	leader := s.elect(t)
	s.rounds(5)
	s.addNonMembers(leader)
	s.rounds(5 * simElection)
	if members := leader.node.Members(); members.Voters() != 3 || len(members) != 3+learners {
		t.Fatalf("invalid test schedule: %+v", members)
	}
	return s, leader
}

// departed is a group with a caught-up learner after a voter has shut down gracefully.
type departed struct {
	*sim
	gone *simNode // the voter, whose process has ended
}

// newDeparted starts a group of three voters and the given number of learners. The leader or a follower
// announces its shutdown and ends as soon as the leader knows it, like a daemon, at the latest after
// two election timeouts.
func newDeparted(t *testing.T, learners int, leaderLeaves bool) departed {
	t.Helper()
	s, leader := newSimWithLearners(t, learners)
	gone := s.others(leader)[0]
	if leaderLeaves {
		gone = leader
		s.transfer(leader)
	}
	s.leave(gone)
	for rounds := 0; rounds < 2*simElection && !gone.node.LeaveKnown(); rounds++ {
		s.round()
	}
	s.crash(gone, allParts)
	return departed{s, gone}
}

// loseVoter loses the disk of a voter that still runs, the leader or a follower. Its VM is not
// replaced.
func (d departed) loseVoter(leader bool) {
	for _, n := range d.nodes[:3] {
		if n.node != nil && (n.node.Role() == RoleLeader) == leader {
			d.crash(n, 0)
			d.lostDisks[n.member.ID] = true
			return
		}
	}
}

// commits reports whether the group elects a leader and commits a command.
func (d departed) commits() bool {
	before := d.proposals
	for range 40 * simElection {
		d.round()
		for _, n := range d.nodes {
			if n.node != nil {
				d.propose(n)
			}
		}
		for _, e := range d.committed {
			var number int
			if _, err := fmt.Sscanf(string(e.Data), "command %d", &number); err == nil && number > before {
				return true
			}
		}
	}
	return false
}

// Guards against a group without a quorum for good, although the successor of a voter that was shut
// down had caught up before: until the voter was silent for replaceElectionTimeouts, the loss of
// another voter's disk left one voter of three.
func TestDiskLostAfterADeparture(t *testing.T) {
	for _, leaderLeaves := range []bool{false, true} {
		for _, leaderLost := range []bool{false, true} {
			var failed []int
			for delay := range replaceElectionTimeouts * simElection {
				d := newDeparted(t, 1, leaderLeaves)
				d.rounds(delay)
				d.loseVoter(leaderLost)
				if !d.commits() {
					failed = append(failed, delay)
				}
			}
			if len(failed) > 0 {
				t.Errorf("leader leaves %v, disk of the leader lost %v: no quorum for good if lost at %v ticks after the end"+
					" of the process", leaderLeaves, leaderLost, failed)
			}
		}
	}
}

// Guards against a rolling restart that changes the membership or shrinks the group, and against a
// shutdown that waits although no learner can take over.
func TestDepartureWithoutLearner(t *testing.T) {
	s := newBoundedSim(t.Fatalf, 3, 0)
	s.elect(t)
	s.rounds(5)
	for _, n := range s.nodes {
		if n.node.Role() == RoleLeader {
			s.transfer(n)
			s.rounds(2)
		}
		s.leave(n)
		s.round()
		if !n.node.LeaveKnown() {
			t.Errorf("%s does not know after a round that the leader knows of its departure", n.member.ID)
		}
		s.crash(n, allParts)
		s.rounds(replaceElectionTimeouts*simElection - 2)
		s.start(n)
		s.rounds(3 * simElection)
	}
	if _, changes := s.countReturns(); changes != 1 {
		t.Errorf("%d memberships, want the first one only", changes)
	}
	if len(s.departures) != 3 {
		t.Errorf("%d departures were reported, want 3: %+v", len(s.departures), s.departures)
	}
}

// Guards against a learner that is promoted although its own process ends.
func TestLeavingLearnerIsNotPromoted(t *testing.T) {
	s, leader := newSimWithLearners(t, 1)
	learner, voter := s.nodes[3], s.others(leader)[0]
	s.leave(learner)
	s.rounds(2)
	s.leave(voter)
	s.rounds(2 * simElection)
	members := leader.node.Members()
	if members.IsVoter(learner.member.ID) || !members.IsVoter(voter.member.ID) {
		t.Errorf("a leaving learner took the place of a voter: %+v", members)
	}
	if len(s.departures) != 1 || s.departures[0] != (Departure{ID: voter.member.ID}) {
		t.Errorf("reported departures: %+v", s.departures)
	}
}

// Guards against an announcement that outlives the process: one that arrives after the restart must
// end with the next response, and leave a group that commits and that has all its voters.
func TestDepartureEndsWithTheRestart(t *testing.T) {
	s := newBoundedSim(t.Fatalf, 3, 1)
	leader := s.elect(t)
	s.rounds(5)
	voter := s.others(leader)[0]
	s.leave(voter)
	var late []Message
	for _, m := range s.network {
		if m.From == voter.member.ID && m.Leaving {
			late = append(late, m)
		}
	}
	s.network = nil
	if len(late) == 0 {
		t.Fatal("the voter has not announced its departure")
	}
	s.crash(voter, allParts)
	s.start(voter)
	s.rounds(2)
	for _, m := range late {
		s.step(m)
	}
	if !leader.node.peers[voter.member.ID].leaving {
		t.Fatal("invalid test schedule: the late announcement was not processed")
	}
	s.rounds(2)
	if leader.node.peers[voter.member.ID].leaving {
		t.Error("the announcement of the former process still counts")
	}
	s.addNonMembers(leader)
	s.rounds(10 * simElection)
	if members := leader.node.Members(); members.Voters() != 3 || !members.IsVoter(voter.member.ID) {
		t.Errorf("the restarted voter was replaced: %+v", members)
	}
	for _, m := range late { // now a learner could take over
		s.step(m)
	}
	s.rounds(10 * simElection)
	if members := leader.node.Members(); members.Voters() < 3 || !s.converged() || !(departed{sim: s}).commits() {
		t.Errorf("the late announcement left %+v", members)
	}
}

// Guards against a message that earlier versions refuse, while the controllers are updated one by one,
// and against an announcement that is lost between versions that know it.
func TestEncodedDeparture(t *testing.T) {
	data, err := model.Encode(Message{Kind: MsgHeartbeatResponse, From: "a", To: "b", Term: 7, Leaving: true})
	if err != nil {
		t.Fatal(err)
	}
	var m Message
	if err := model.Decode(data, &m); err != nil || !m.Leaving {
		t.Errorf("decoded %+v, %v", m, err)
	}
	var earlier struct {
		Kind MessageKind `cbor:"1,keyasint"`
		From MemberID    `cbor:"2,keyasint"`
		To   MemberID    `cbor:"3,keyasint"`
		Term uint64      `cbor:"4,keyasint"`
	}
	if err := model.Decode(data, &earlier); err != nil || earlier.Kind != MsgHeartbeatResponse || earlier.Term != 7 {
		t.Errorf("an earlier version decodes %+v, %v", earlier, err)
	}
}

// Guards against a leaving voter that is elected and keeps the leadership until its process ends, so
// that nobody replaces it before.
func TestLeavingVoterThatIsElectedIsReplaced(t *testing.T) {
	s, leader := newSimWithLearners(t, 1)
	voter := s.others(leader)[0]
	voter.node.leaving = true // the leader does not know it yet
	if err := leader.node.TransferLeadership(voter.member.ID); err != nil {
		t.Fatal(err)
	}
	s.processOutput(leader)
	s.rounds(10 * simElection)
	members := s.elect(t).node.Members()
	if _, ok := members.Find(voter.member.ID); ok || members.Voters() != 3 {
		t.Errorf("the leaving voter was not replaced: %+v", members)
	}
}
