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
		actions := randomActions(source)
		for range rapid.SampledFrom([]int{300, 2000, 8000}).Draw(t, "steps") {
			s.randomStep(source, actions)
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

// action is one kind of step; weights differ between schedules, so that some are almost
// without crashes and others consist of little else.
type action struct {
	weight int
	run    func(s *sim, n *simNode, pick int)
}

func randomActions(source *rand.Rand) []action {
	factor := func(weight int) int { return weight * []int{1, 1, 3, 10}[source.IntN(4)] / 2 }
	return []action{
		{factor(300), func(s *sim, n *simNode, pick int) { s.deliver(pick, false) }},
		{factor(100), func(s *sim, n *simNode, pick int) { s.deliver(0, false) }},
		{factor(20), func(s *sim, n *simNode, pick int) { s.deliver(pick, true) }},
		{factor(20), func(s *sim, n *simNode, pick int) { s.drop(pick) }},
		{factor(100), func(s *sim, n *simNode, pick int) { s.tick(n) }},
		{factor(30), func(s *sim, n *simNode, pick int) { s.tickMany(n, pick%(3*simElection)) }},
		{factor(150), func(s *sim, n *simNode, pick int) { s.finishWrite(n) }},
		{factor(50), func(s *sim, n *simNode, pick int) { s.propose(n) }},
		{factor(20), func(s *sim, n *simNode, pick int) { s.read(n) }},
		{factor(10), func(s *sim, n *simNode, pick int) { s.admit(n) }},
		{factor(8), func(s *sim, n *simNode, pick int) { s.compact(n) }},
		{factor(4), func(s *sim, n *simNode, pick int) { s.restart(n, pick%6) }},
		{factor(2), func(s *sim, n *simNode, pick int) { s.loseDisk(n) }},
		{factor(2), func(s *sim, n *simNode, pick int) { s.transfer(n) }},
		{factor(2), func(s *sim, n *simNode, pick int) { s.remove(n, s.nodes[pick%len(s.nodes)]) }},
		{factor(4), func(s *sim, n *simNode, pick int) { s.cut[n.member.ID] = !s.cut[n.member.ID] }},
		{factor(10), func(s *sim, n *simNode, pick int) { clear(s.cut) }},
	}
}

func (s *sim) randomStep(source *rand.Rand, actions []action) {
	total := 0
	for _, a := range actions {
		total += a.weight
	}
	left := source.IntN(total)
	n := s.nodes[source.IntN(len(s.nodes))]
	for _, a := range actions {
		if left -= a.weight; left < 0 {
			a.run(s, n, source.IntN(1<<16))
			return
		}
	}
}

func (s *sim) drop(pick int) {
	if len(s.network) > 0 {
		i := pick % len(s.network)
		s.network = append(s.network[:i], s.network[i+1:]...)
	}
}

func (s *sim) tickMany(n *simNode, count int) {
	for range count {
		s.tick(n)
	}
}

// restart stops the process, or starts it if it is down.
func (s *sim) restart(n *simNode, parts int) {
	if n.node == nil {
		s.start(n)
		return
	}
	s.crash(n, parts)
}

func (s *sim) transfer(n *simNode) {
	if n.node != nil {
		_ = n.node.Transfer("")
		s.drive(n)
	}
}

// remove removes a live voter. With a voter lost, that can leave no quorum. So can the loss
// of a second voter at the moment when a group of one promotes it.
func (s *sim) remove(n, o *simNode) {
	if n.node != nil && n.node.Members().Voters() > 2 && !s.lostVoter(n) {
		_ = n.node.Remove(o.member.ID)
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
	clear(s.cut)
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
