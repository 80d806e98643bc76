package consensus

import (
	"errors"
	"testing"
)

// elect runs rounds until a node that is not isolated is leader and has committed an entry of
// its term, and returns that node.
func (s *sim) elect(t *testing.T) *simNode {
	t.Helper()
	for range 200 {
		s.round()
		for _, n := range s.nodes {
			if n.node != nil && !s.isolated[n.member.ID] && n.node.Role() == RoleLeader && n.node.committedInTerm() {
				return n
			}
		}
	}
	t.Fatal("no leader was elected")
	return nil
}

func (s *sim) rounds(count int) {
	for range count {
		s.round()
	}
}

// others returns all nodes except n.
func (s *sim) others(n *simNode) []*simNode {
	var result []*simNode
	for _, o := range s.nodes {
		if o != n {
			result = append(result, o)
		}
	}
	return result
}

// Guards against a second vote in one term: if a vote is sent before it is durable, the voter
// may forget it in a restart.
func TestVoteIsDurableBeforeItIsSent(t *testing.T) {
	s := newSim(t.Fatalf, 3)
	voter := s.nodes[0]
	requestVote := func(from MemberID) {
		s.step(Message{Kind: MsgVote, From: from, To: voter.member.ID, Term: 2, Index: 1, LogTerm: 1})
	}
	granted := func(to MemberID) bool {
		for _, m := range s.network {
			if m.Kind == MsgVoteResponse && m.To == to && !m.Refused {
				return true
			}
		}
		return false
	}
	requestVote("id002")
	if granted("id002") {
		t.Error("the vote was sent before it was durable")
	}
	s.crash(voter, 0)
	s.start(voter)
	requestVote("id003")
	s.finishWrite(voter)
	s.crash(voter, 0)
	s.start(voter)
	requestVote("id002")
	s.finishWrite(voter)
	if granted("id002") && granted("id003") {
		t.Error("two candidates got a vote in one term")
	}
	if !granted("id003") {
		t.Error("a durable vote was not sent")
	}
}

// Guards against an entry that is acknowledged and then lost in a restart.
func TestEntryIsDurableBeforeItIsAcknowledged(t *testing.T) {
	s := newSim(t.Fatalf, 3)
	leader := s.elect(t)
	follower := s.others(leader)[0]
	s.propose(leader)
	for len(s.network) > 0 {
		s.deliver(0, false)
	}
	if got := leader.node.peers[follower.member.ID].match; got != follower.node.log.stable {
		t.Errorf("the leader counts %d entries of a follower with %d durable ones", got, follower.node.log.stable)
	}
	if follower.node.log.lastIndex() == follower.node.log.stable {
		t.Fatal("the follower has received no entry that is not durable yet")
	}
}

// Guards against a node that returns from a partition and deposes the leader: without the
// pre-vote, its greater term would make the leader step down.
func TestReturnFromPartitionKeepsLeader(t *testing.T) {
	s := newSim(t.Fatalf, 3)
	leader := s.elect(t)
	term := leader.node.Term()
	partitioned := s.others(leader)[0]
	s.isolated[partitioned.member.ID] = true
	s.rounds(20 * simElection)
	s.isolated[partitioned.member.ID] = false
	s.rounds(5 * simElection)
	if leader.node.Role() != RoleLeader || leader.node.Term() != term {
		t.Errorf("the leadership changed when the partitioned node returned: %+v", leader.node.Status())
	}
	if partitioned.node.Leader() != leader.member.ID {
		t.Errorf("the node that returned from the partition does not follow the leader: %+v", partitioned.node.Status())
	}
}

// Guards against a partitioned leader that never steps down.
func TestLeaderWithoutQuorumStepsDown(t *testing.T) {
	s := newSim(t.Fatalf, 3)
	leader := s.elect(t)
	s.isolated[leader.member.ID] = true
	s.read(leader)
	s.rounds(4 * simElection)
	if leader.node.Role() == RoleLeader {
		t.Error("the leader without a quorum did not step down")
	}
	if s.servedReads != 0 {
		t.Error("a read was served without a quorum")
	}
	s.elect(t)
}

// Guards against two memberships whose quorums do not overlap. It would come about if a leader
// adds a fifth member and stores the change on few nodes, a second leader removes a member
// before an entry of its own term is committed, and the first leader is then elected by a
// quorum of the larger membership.
func TestNoMembershipChangeBeforeOwnCommit(t *testing.T) {
	s := newSim(t.Fatalf, 4)
	first := s.elect(t)
	s.rounds(3)
	rest := s.others(first)
	newMember := s.addNode("g4")
	s.start(newMember)
	for _, n := range rest {
		s.isolated[n.member.ID] = true
	}
	s.addNonMembers(first) // the change is stored on this node only
	s.finishWrite(first)
	s.isolated[first.member.ID] = true
	for _, n := range rest {
		s.isolated[n.member.ID] = false
	}
	var second *simNode
	for second == nil {
		for _, n := range rest {
			s.tick(n)
			s.finishWrite(n)
			if n.node.Role() == RoleLeader {
				second = n
				break
			}
		}
		for len(s.network) > 0 && second == nil {
			s.deliver(0, false)
		}
	}
	if second.node.committedInTerm() {
		t.Fatal("invalid test schedule: an entry of the new term is already committed")
	}
	if err := second.node.Remove(first.member.ID); !errors.Is(err, ErrNoCommitInTerm) {
		t.Errorf("Remove before an entry of the term is committed: %v", err)
	}
	s.rounds(3)
	if err := second.node.Remove(first.member.ID); err != nil {
		t.Errorf("Remove after an entry of the term is committed: %v", err)
	}
	if err := second.node.Add(newMember.member); !errors.Is(err, ErrChangePending) {
		t.Errorf("Add while another change is pending: %v", err)
	}
}

// Guards against the promotion of a learner that has not caught up, and against the replacement
// of a live member by another VM with the same gateway id.
func TestRepairOrder(t *testing.T) {
	s := newSim(t.Fatalf, 3)
	leader := s.elect(t)
	for range 2 * maxPromotionLag {
		s.propose(leader)
	}
	s.rounds(5)
	old := s.others(leader)[0]
	newMember := s.addNode(old.member.Gateway)
	s.start(newMember)
	s.addNonMembers(leader)
	s.rounds(10 * simElection)
	if _, ok := leader.node.Members().Find(old.member.ID); !ok || leader.node.Members().IsVoter(newMember.member.ID) {
		t.Fatalf("a live member was replaced: %+v", leader.node.Members())
	}
	s.isolated[old.member.ID] = true
	s.isolated[newMember.member.ID] = true
	for range 2 * maxPromotionLag {
		s.propose(leader)
	}
	s.rounds(10 * simElection)
	if _, ok := leader.node.Members().Find(old.member.ID); !ok {
		t.Fatal("the old id was removed before the learner had caught up")
	}
	s.isolated[newMember.member.ID] = false
	s.rounds(10 * simElection)
	if _, ok := leader.node.Members().Find(old.member.ID); ok || !leader.node.Members().IsVoter(newMember.member.ID) {
		t.Errorf("the old id was not replaced: %+v", leader.node.Members())
	}
}

// Guards against a fourth voter that stays and raises the quorum while another voter is permanently
// lost, and against a group that never replaces a lost voter by a learner of another gateway.
func TestBoundedVoters(t *testing.T) {
	s := newSim(t.Fatalf, 3)
	leader := s.elect(t)
	for _, n := range s.nodes {
		n.node.opts.MaxVoters = 3
	}
	newMember := s.addNode("g9")
	s.start(newMember)
	newMember.node.opts.MaxVoters = 3
	s.addNonMembers(leader)
	s.rounds(10 * simElection)
	if leader.node.Members().IsVoter(newMember.member.ID) || leader.node.Members().Voters() != 3 {
		t.Fatalf("a fourth voter was promoted: %+v", leader.node.Members())
	}
	lost := s.others(leader)[0]
	s.isolated[lost.member.ID] = true
	s.rounds(2 * replaceElectionTimeouts * simElection)
	members := leader.node.Members()
	if _, ok := members.Find(lost.member.ID); ok || !members.IsVoter(newMember.member.ID) || members.Voters() != 3 {
		t.Errorf("the lost voter was not replaced: %+v", members)
	}
}

// Guards against a leader shutdown after which the group has no leader for an election timeout.
func TestTransfer(t *testing.T) {
	s := newSim(t.Fatalf, 3)
	leader := s.elect(t)
	s.propose(leader)
	if err := leader.node.TransferLeadership(""); err != nil {
		t.Fatal(err)
	}
	if _, _, err := leader.node.Propose(nil); !errors.Is(err, ErrTransferring) {
		t.Errorf("a proposal during a transfer: %v", err)
	}
	s.processOutput(leader)
	s.rounds(2)
	if leader.node.Role() == RoleLeader || leader.node.Leader() == "" {
		t.Errorf("the leadership was not transferred: %+v", leader.node.Status())
	}
}

// Guards against committing an entry of an earlier term because a quorum holds it. A later
// leader may still overwrite such an entry until an entry of the current term is committed.
func TestEarlierTermIsNotCommittedByCount(t *testing.T) {
	s := newSim(t.Fatalf, 3)
	leader := s.elect(t)
	s.rounds(3)
	other := s.others(leader)[0]
	s.isolated[other.member.ID] = true
	s.isolated[s.others(leader)[1].member.ID] = true
	s.propose(leader)
	s.finishWrite(leader)
	index := leader.node.log.lastIndex()
	s.crash(leader, 0)
	s.start(leader)
	s.network = nil
	s.isolated[other.member.ID] = false
	for tries := 0; leader.node.Role() != RoleLeader; tries++ {
		if tries == 1000 {
			t.Fatal("the node with the longer log is not elected")
		}
		s.tick(other) // lets the election timeout since the last message of the old leader pass
		s.tick(leader)
		s.finishWrite(leader)
		s.finishWrite(other)
		for len(s.network) > 0 && leader.node.Role() != RoleLeader {
			s.deliver(0, false)
			s.finishWrite(other)
		}
	}
	s.finishWrite(leader)
	response := Message{Kind: MsgAppendResponse, From: other.member.ID, To: leader.member.ID, Term: leader.node.Term(), Index: index}
	leader.node.Step(response)
	if leader.node.log.commit >= index {
		t.Error("an entry of an earlier term was committed by counting")
	}
	response.Index++
	leader.node.Step(response)
	if leader.node.log.commit != index+1 {
		t.Errorf("commit is %d after a quorum holds entry %d of the current term", leader.node.log.commit, index+1)
	}
}

// Guards against a ReadAtHeartbeat that sends an additional heartbeat, is never served, or is
// served by a leader without a quorum.
func TestReadAtHeartbeat(t *testing.T) {
	s := newSim(t.Fatalf, 3)
	leader := s.elect(t)
	s.rounds(5)
	requestRead := func() {
		s.nextRead++
		if err := leader.node.ReadAtHeartbeat(s.nextRead); err != nil {
			t.Fatal(err)
		}
		s.reads[s.nextRead] = simRead{leader.member.ID, s.maxCommit}
		s.processOutput(leader)
	}
	waiting := len(s.network)
	requestRead()
	if len(s.network) != waiting {
		t.Fatal("the read has sent a message")
	}
	s.rounds(3)
	if s.servedReads != 1 {
		t.Fatalf("%d reads were served", s.servedReads)
	}
	s.isolated[leader.member.ID] = true
	requestRead()
	s.rounds(3)
	if s.servedReads != 1 {
		t.Fatal("a read was served without a quorum")
	}
}
