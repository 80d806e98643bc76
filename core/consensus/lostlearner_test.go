package consensus

import (
	"fmt"
	"slices"
	"testing"
)

// knownRedTicks are the moments at which TestLearnerLostBeforeItReplacesALostVoter loses the group; KNOWN-RED.txt
// lists them, and the test prints them and passes over exactly these.
var knownRedTicks = []int{8, 9}

// Guards against a group without a quorum for good, although two of its three voters are intact: a learner becomes
// a voter in place of a lost one although it is lost itself.
func TestLearnerLostBeforeItReplacesALostVoter(t *testing.T) {
	var failed []int
	for delay := range replaceElectionTimeouts * simElection {
		s, leader := newSimWithLearners(t, 1)
		voter, learner := s.others(leader)[0], s.nodes[3]
		s.crash(voter, 0)
		s.lostDisks[voter.member.ID] = true
		for range delay {
			s.propose(leader)
			s.round()
		}
		s.crash(learner, 0)
		s.lostDisks[learner.member.ID] = true
		if !(departed{s, voter}).commits() {
			failed = append(failed, delay)
		}
	}
	if !slices.Equal(failed, knownRedTicks) {
		t.Fatalf("no quorum for good if the learner is lost %v ticks after the voter, known are %v", failed, knownRedTicks)
	}
	fmt.Printf("known red: TestLearnerLostBeforeItReplacesALostVoter: no quorum for good if lost after %v ticks\n", failed)
}
