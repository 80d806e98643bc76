package consensus

import "testing"

// Guards against a controller that stays outside its group for good: the change that added it as a learner was
// dropped with the leader that made it, and the learner goes on to follow that leader.
func TestLearnerOfADroppedChangeForgetsItsLeader(t *testing.T) {
	s := newBoundedSim(t.Fatalf, 3, 1)
	first := s.elect(t)
	s.rounds(5)
	learner := s.nodes[3]
	for _, n := range s.others(first) {
		s.isolated[n.member.ID] = n != learner
	}
	s.addNonMembers(first)
	s.rounds(5)
	if _, ok := learner.node.Members().Find(learner.member.ID); !ok || learner.node.Leader() != first.member.ID {
		t.Fatal("invalid test schedule: the learner does not follow the leader that adds it")
	}
	s.crash(first, allParts)
	clear(s.isolated)
	next := s.elect(t)
	s.rounds(2 * simElection)
	if _, ok := next.node.Members().Find(learner.member.ID); ok {
		t.Fatal("invalid test schedule: the change that adds the learner was not dropped")
	}
	if leader := learner.node.Leader(); leader != "" {
		t.Errorf("the learner still follows %s, although %s leads and does not know it", leader, next.member.ID)
	}
}
