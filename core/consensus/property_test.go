package consensus

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// Guards against two leaders in one term, mismatched logs, lost or reordered commits and stale
// reads, while messages are dropped, duplicated and reordered, processes restart from their
// durable state, with and without an announced shutdown, disks are lost and the membership changes.
func TestInvariants(t *testing.T) {
	var commits, reads, lost, terms, changes, installs int
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t.Fatalf, rapid.SampledFrom([]int{1, 3, 3, 4, 5}).Draw(t, "size"))
		// The schedule uses a uniform random source, because rapid favors small numbers.
		source := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), rapid.Uint64().Draw(t, "stream")))
		actions := randomActions(source)
		for range rapid.SampledFrom([]int{300, 2000, 8000}).Draw(t, "steps") {
			s.randomStep(source, actions)
		}
		s.checkLogs()
		s.recoverAndCheck(t)
		commits += len(s.committed)
		reads += s.servedReads
		lost += len(s.lostDisks)
		terms += len(s.leaders)
		installs += s.installedSnapshots
		for _, e := range s.committed {
			if e.Kind == EntryMembership {
				changes++
			}
		}
	})
	t.Logf("%d entries committed, %d reads served, %d terms with a leader, %d disks lost, %d memberships, %d snapshots installed", commits, reads, terms, lost, changes, installs)
	if commits == 0 || reads == 0 || lost == 0 || changes == 0 || installs == 0 {
		t.Error("the schedules must exercise commits, reads, lost disks, membership changes and snapshot installs")
	}
}

// action is one kind of step. run gets a random number to choose its parameters. The weights
// differ between schedules, so that some have almost no crashes and others mostly crashes.
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
		{factor(10), func(s *sim, n *simNode, pick int) { s.addNonMembers(n) }},
		{factor(8), func(s *sim, n *simNode, pick int) { s.compact(n) }},
		{factor(4), func(s *sim, n *simNode, pick int) { s.crashOrStart(n, pick%6) }},
		{factor(2), func(s *sim, n *simNode, pick int) { s.loseDisk(n) }},
		{factor(2), func(s *sim, n *simNode, pick int) { s.transfer(n) }},
		{factor(2), func(s *sim, n *simNode, pick int) { s.remove(n, s.nodes[pick%len(s.nodes)]) }},
		{factor(4), func(s *sim, n *simNode, pick int) { s.isolated[n.member.ID] = !s.isolated[n.member.ID] }},
		{factor(10), func(s *sim, n *simNode, pick int) { clear(s.isolated) }},
		{factor(4), func(s *sim, n *simNode, pick int) { s.leave(n) }},
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

// crashOrStart crashes the process, or starts it if it is down.
func (s *sim) crashOrStart(n *simNode, parts int) {
	if n.node == nil {
		s.start(n)
		return
	}
	s.crash(n, parts)
}

func (s *sim) transfer(n *simNode) {
	if n.node != nil {
		_ = n.node.TransferLeadership("")
		s.processOutput(n)
	}
}

// remove asks node n to remove o if there are at least three voters and none has lost its disk.
// Otherwise the group could lose its quorum: by the removal if another voter is lost, or, after
// shrinking to one voter, if a second voter is lost while it is promoted.
func (s *sim) remove(n, o *simNode) {
	if n.node != nil && n.node.Members().Voters() > 2 && !s.hasLostVoter(n) {
		_ = n.node.Remove(o.member.ID)
		s.processOutput(n)
	}
}

func (s *sim) hasLostVoter(n *simNode) bool {
	for _, member := range n.node.Members() {
		if s.lostDisks[member.ID] {
			return true
		}
	}
	return false
}

// deliver takes a message from the network and processes it. With keep, it stays in the network
// and may be delivered again.
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

// recoverAndCheck ends all failures and checks that the group makes progress, that all nodes
// apply every committed entry, and that the gateways with lost disks are voters again.
func (s *sim) recoverAndCheck(t *rapid.T) {
	clear(s.isolated)
	for _, n := range s.nodes {
		if n.node != nil && n.node.Leaving() {
			s.crash(n, allParts) // the announced shutdown ends
		}
		if n.node == nil {
			s.start(n)
		}
	}
	before := len(s.committed)
	for round := range 600 {
		s.round()
		for _, n := range s.nodes {
			s.addNonMembers(n)
			if round%10 == 0 {
				s.propose(n)
				s.read(n)
			}
		}
		if round > 100 && len(s.committed) > before && s.converged() {
			s.checkLogs()
			return
		}
	}
	for _, n := range s.nodes {
		t.Logf("%+v", n.node.Status())
	}
	t.Fatalf("the group did not converge after all failures ended")
}

// round ticks every node once, delivers all messages and finishes all writes.
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

// converged reports whether all nodes are members, as many of them voters as are allowed, and have
// applied every committed entry. A silent voter that returned before it was removed may be one more.
func (s *sim) converged() bool {
	voters, surplus := len(s.nodes), 0
	if s.maxVoters > 0 && voters > s.maxVoters {
		voters, surplus = s.maxVoters, 1
	}
	for _, n := range s.nodes {
		members := n.node.Members()
		_, member := members.Find(n.member.ID)
		if len(members) != len(s.nodes) || members.Voters() < voters || members.Voters() > voters+surplus || !member || len(n.applied) != len(s.committed) {
			return false
		}
	}
	return true
}
