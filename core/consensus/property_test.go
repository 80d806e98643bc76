package consensus

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// Guards against two leaders in one term, logs that do not match, lost or reordered
// commits and stale reads, while messages are dropped, repeated and reordered, processes
// restart from what is durable, disks are lost and the membership changes.
func TestInvariants(t *testing.T) {
	var commits, reads, lost, terms, changes, installs int
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t.Fatalf, rapid.SampledFrom([]int{1, 3, 3, 4, 5}).Draw(t, "size"))
		// The schedule comes from a uniform source, because rapid prefers small numbers.
		source := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), rapid.Uint64().Draw(t, "stream")))
		for range rapid.SampledFrom([]int{300, 1000, 4000}).Draw(t, "steps") {
			s.randomStep(source)
		}
		s.checkLogs()
		s.heal(t)
		commits += len(s.committed)
		reads += s.served
		lost += len(s.lost)
		terms += len(s.leaders)
		installs += s.installs
		for _, e := range s.committed {
			if e.Kind == EntryMembership {
				changes++
			}
		}
	})
	t.Logf("%d entries committed, %d reads served, %d terms with a leader, %d disks lost, %d memberships, %d snapshots installed", commits, reads, terms, lost, changes, installs)
	if commits == 0 || reads == 0 || lost == 0 || changes == 0 || installs == 0 {
		t.Error("the schedules exercise too little")
	}
}

func (s *sim) randomStep(source *rand.Rand) {
	action := source.IntN(1000)
	pick := source.IntN(1 << 16)
	n := s.nodes[pick%len(s.nodes)]
	switch {
	case action < 350:
		s.deliver(pick, false)
	case action < 500 && len(s.network) > 0:
		s.deliver(0, false)
	case action < 520:
		s.deliver(pick, true)
	case action < 550 && len(s.network) > 0:
		i := pick % len(s.network)
		s.network = append(s.network[:i], s.network[i+1:]...)
	case action < 710:
		s.tick(n)
	case action < 850:
		s.finishWrite(n)
	case action < 900:
		s.propose(n)
	case action < 930:
		s.read(n)
	case action < 950:
		s.admit(n)
	case action < 960:
		s.compact(n)
	case action < 970 && n.node != nil:
		s.crash(n, pick%6)
	case action < 990 && n.node == nil:
		s.start(n)
	case action < 993:
		s.loseDisk(n)
	case action < 996 && n.node != nil:
		_ = n.node.Transfer("")
		s.drive(n)
	case n.node != nil && n.node.Members().Voters() > 2 && !s.lostVoter(n):
		// With a voter lost, the removal of a live one can leave no quorum. So can the loss
		// of a second voter at the moment when a group of one promotes it.
		_ = n.node.Remove(s.nodes[(pick/7)%len(s.nodes)].member.ID)
		s.drive(n)
	}
}

func (s *sim) lostVoter(n *simNode) bool {
	for _, member := range n.node.Members() {
		if s.lost[member.ID] {
			return true
		}
	}
	return false
}

func (s *sim) deliver(pick int, keep bool) {
	if len(s.network) == 0 {
		return
	}
	i := pick % len(s.network)
	m := s.network[i]
	if !keep {
		s.network = append(s.network[:i], s.network[i+1:]...)
	}
	s.step(m)
}

// heal lets everything work again and checks that the group makes progress, that all
// nodes hold every commit, and that the gateways of lost disks have votes again.
func (s *sim) heal(t *rapid.T) {
	for _, n := range s.nodes {
		if n.node == nil {
			s.start(n)
		}
	}
	before := len(s.committed)
	for round := range 600 {
		s.round()
		for _, n := range s.nodes {
			s.admit(n)
			if round%10 == 0 {
				s.propose(n)
				s.read(n)
			}
		}
		if round > 100 && len(s.committed) > before && s.settled() {
			s.checkLogs()
			return
		}
	}
	for _, n := range s.nodes {
		t.Logf("%+v", n.node.Status())
	}
	t.Fatalf("the group does not settle after all failures ended")
}

// round lets every node tick once, and delivers all messages and finishes all writes.
func (s *sim) round() {
	for _, n := range s.nodes {
		s.tick(n)
	}
	for range 10 {
		for len(s.network) > 0 {
			s.deliver(0, false)
		}
		for _, n := range s.nodes {
			s.finishWrite(n)
		}
	}
}

func (s *sim) settled() bool {
	for _, n := range s.nodes {
		members := n.node.Members()
		if len(members) != len(s.nodes) || !members.IsVoter(n.member.ID) || len(n.applied) != len(s.committed) {
			return false
		}
	}
	return true
}
