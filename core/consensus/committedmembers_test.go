package consensus

import "testing"

// Guards against daemons that hold the list of a deposed leader against that of its successor: the deposed one
// still has a membership in its log that the group has never committed.
func TestCommittedMembershipOfADeposedLeaderIsNotNewer(t *testing.T) {
	s := newBoundedSim(t.Fatalf, 3, 1)
	deposed := s.elect(t)
	s.rounds(5)
	s.isolated[deposed.member.ID] = true
	s.addNonMembers(deposed)
	leader := s.elect(t)
	s.rounds(10)
	clear(s.isolated)
	outranked := false
	for range 400 {
		if len(s.network) > 0 {
			s.deliver(0, false)
		}
		for _, n := range s.nodes {
			if len(s.network) == 0 {
				s.tick(n)
			}
			s.finishWrite(n)
		}
		d, l := deposed.node.Status(), leader.node.Status()
		outranked = outranked || d.MembersIndex > l.MembersIndex
		if d.CommittedAt > l.CommittedAt {
			t.Fatalf("the deposed leader names membership %d, its successor %d", d.CommittedAt, l.CommittedAt)
		}
	}
	if !outranked {
		t.Error("the deposed leader never had a membership that is not committed")
	}
}
