package consensus

import (
	"bytes"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	"samphirepaddle.example/core/model"
)

// TestMain sets a fixed seed and number of checks for the property tests, unless they are given
// on the command line.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true", "rapid.checks": "1000"} {
		if !given[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// simDisk is the durable content of a data directory.
type simDisk struct {
	saved   Saved
	data    []byte // of the newest snapshot
	receive []byte // chunks of the snapshot that is being received
}

// simNode is a node with its disk.
type simNode struct {
	member  Member
	disk    simDisk
	node    *Node  // nil while the process is down
	write   *Write // in progress, nil if none
	applied []Entry
	starts  uint64 // number of process starts
}

type simRead struct {
	node     MemberID
	minIndex uint64 // highest commit index of any node when the read began
}

// sim simulates nodes with a network that loses, duplicates and reorders messages, and checks
// the invariants after each step.
type sim struct {
	fatalf             func(format string, args ...any)
	nodes              []*simNode
	lostDisks          map[MemberID]bool // ids whose disk was lost
	isolated           map[MemberID]bool // nodes that can neither send nor receive messages
	installedSnapshots int
	network            []Message           // messages in transit
	departures         []Departure         // that leaders have reported
	committed          []Entry             // by index-1, as first applied by any node
	leaders            map[uint64]MemberID // by term
	reads              map[uint64]simRead  // reads in progress, by id
	maxCommit          uint64              // highest commit index of any node
	servedReads        int
	proposals          int
	nextID             int
	nextRead           uint64
	maxVoters          int // Options.MaxVoters of all nodes
}

const simHeartbeat, simElection = 1, 5

func newSim(fatalf func(string, ...any), size int) *sim {
	s := &sim{fatalf: fatalf, lostDisks: map[MemberID]bool{}, isolated: map[MemberID]bool{}, leaders: map[uint64]MemberID{}, reads: map[uint64]simRead{}}
	var members Membership
	for i := range size {
		n := s.addNode(model.GatewayID(fmt.Sprint("g", i)))
		members = members.With(n.member)
	}
	data, err := EncodeMembership(members)
	if err != nil {
		s.fatalf("%v", err)
	}
	for _, n := range s.nodes {
		n.disk.saved = Saved{HardState: HardState{Term: 1}, Entries: []Entry{{Index: 1, Term: 1, Kind: EntryMembership, Data: data}}}
		s.start(n)
	}
	return s
}

func (s *sim) addNode(gateway model.GatewayID) *simNode {
	s.nextID++
	n := &simNode{member: Member{ID: MemberID(fmt.Sprintf("id%03d", s.nextID)), Gateway: gateway}}
	s.nodes = append(s.nodes, n)
	return n
}

func (s *sim) start(n *simNode) {
	n.starts++
	saved := n.disk.saved
	saved.Entries = slices.Clone(saved.Entries)
	node, err := New(Options{
		ID: n.member.ID, Rand: rand.New(rand.NewPCG(uint64(len(n.member.ID))+n.starts, uint64(n.member.ID[4]))),
		HeartbeatTicks: simHeartbeat, ElectionTicks: simElection,
		MaxBatchBytes: 150, MaxInflight: 3, MaxUncommittedBytes: 1 << 20, MaxVoters: s.maxVoters, Saved: saved,
	})
	if err != nil {
		s.fatalf("start %s: %v", n.member.ID, err)
		return
	}
	n.node, n.write, n.disk.receive = node, nil, nil
	n.applied = s.decodeApplied(n.disk.data)
}

func (s *sim) decodeApplied(data []byte) []Entry {
	var entries []Entry
	if len(data) > 0 {
		if err := model.Decode(data, &entries); err != nil {
			s.fatalf("decode snapshot: %v", err)
		}
	}
	return entries
}

// crash stops the process. The given number of parts of a write in progress becomes durable.
func (s *sim) crash(n *simNode, parts int) {
	if n.write != nil {
		s.persist(n, *n.write, parts)
	}
	for id, read := range s.reads {
		if read.node == n.member.ID {
			delete(s.reads, id)
		}
	}
	n.node, n.write = nil, nil
}

// persist makes the given number of parts of a write durable. The parts are the hard state,
// the chunk, the installed snapshot, and each entry. It reports whether a received snapshot
// is valid, which is always the case here.
func (s *sim) persist(n *simNode, w Write, parts int) bool {
	saved := &n.disk.saved
	if w.HardState != nil && parts > 0 {
		saved.HardState = *w.HardState
	}
	if w.Chunk != nil && parts > 1 {
		if w.Chunk.Offset == 0 {
			n.disk.receive = nil
		}
		n.disk.receive = append(slices.Clone(n.disk.receive), w.Chunk.Data...)
	}
	if w.InstallSnapshot != nil && parts > 2 {
		saved.Snapshot, saved.Entries = *w.InstallSnapshot, nil
		n.disk.data = n.disk.receive
	}
	for i, e := range w.Entries {
		if parts <= 3+i {
			break
		}
		keep := slices.IndexFunc(saved.Entries, func(o Entry) bool { return o.Index >= e.Index })
		if keep >= 0 {
			saved.Entries = slices.Clone(saved.Entries[:keep])
		}
		saved.Entries = append(saved.Entries, e)
	}
	return true
}

const allParts = 1 << 30

func (s *sim) finishWrite(n *simNode) {
	if n.node == nil || n.write == nil {
		return
	}
	w := *n.write
	n.write = nil
	n.node.WriteDone(w.Seq, s.persist(n, w, allParts))
	s.processOutput(n)
}

// processOutput executes the outputs of the node and checks the invariants.
func (s *sim) processOutput(n *simNode) {
	out := n.node.TakeOutput()
	for _, m := range out.Messages {
		s.network = append(s.network, s.loadChunk(n, m))
	}
	if out.Write != nil {
		if n.write != nil {
			s.fatalf("%s has two writes in progress", n.member.ID)
		}
		n.write = out.Write
	}
	if out.InstallSnapshot != nil {
		s.installedSnapshots++
		n.applied = s.decodeApplied(n.disk.data)
		if got := uint64(len(n.applied)); got != out.InstallSnapshot.Index {
			s.fatalf("%s: snapshot %d holds %d entries", n.member.ID, out.InstallSnapshot.Index, got)
		}
	}
	for _, e := range out.Committed {
		s.apply(n, e)
	}
	s.departures = append(s.departures, out.Departures...)
	for _, read := range out.Reads {
		s.servedReads++
		if minIndex := s.reads[read.ID].minIndex; read.Index < minIndex {
			s.fatalf("stale read at %s: index %d, but %d was committed before the read began", n.member.ID, read.Index, minIndex)
		}
		delete(s.reads, read.ID)
	}
	s.checkLeader(n)
	s.maxCommit = max(s.maxCommit, n.node.log.commit)
}

// loadChunk fills in the data of a snapshot chunk, as the driver does before it sends one.
func (s *sim) loadChunk(n *simNode, m Message) Message {
	if m.Chunk != nil {
		c := *m.Chunk
		if !c.Snapshot.same(n.disk.saved.Snapshot) {
			s.fatalf("%s sends a snapshot that it does not have", n.member.ID)
		}
		c.Data = n.disk.data[c.Offset : c.Offset+c.Length]
		m.Chunk = &c
	}
	return m
}

// apply checks that the entry is the next one of this node and equals the one that other nodes
// applied at its index.
func (s *sim) apply(n *simNode, e Entry) {
	if e.Index != uint64(len(n.applied))+1 {
		s.fatalf("%s applies entry %d after %d entries", n.member.ID, e.Index, len(n.applied))
	}
	n.applied = append(n.applied, e)
	if e.Index > uint64(len(s.committed)) {
		s.committed = append(s.committed, e)
		return
	}
	if !sameEntry(s.committed[e.Index-1], e) {
		s.fatalf("%s applies another entry %d (term %d) than was committed (term %d)", n.member.ID, e.Index, e.Term, s.committed[e.Index-1].Term)
	}
}

func sameEntry(a, b Entry) bool {
	return a.Index == b.Index && a.Term == b.Term && a.Kind == b.Kind && bytes.Equal(a.Data, b.Data)
}

// checkLeader checks that a term has only one leader, and that its log has every committed entry.
func (s *sim) checkLeader(n *simNode) {
	if n.node.Role() != RoleLeader {
		return
	}
	term := n.node.Term()
	if other, ok := s.leaders[term]; ok {
		if other != n.member.ID {
			s.fatalf("term %d has two leaders, %s and %s", term, other, n.member.ID)
		}
		return
	}
	s.leaders[term] = n.member.ID
	for _, e := range s.committed {
		got, known := n.node.log.term(e.Index)
		if e.Index > n.node.log.baseIndex && (!known || got != e.Term) {
			s.fatalf("leader %s of term %d lacks committed entry %d of term %d", n.member.ID, term, e.Index, e.Term)
		}
	}
}

// checkLogs checks the log matching property: if two logs have an entry with the same index
// and term, they are identical up to that entry.
func (s *sim) checkLogs() {
	for i, a := range s.nodes {
		for _, b := range s.nodes[i+1:] {
			if a.node == nil || b.node == nil {
				continue
			}
			s.checkPair(a.node, b.node)
		}
	}
}

func (s *sim) checkPair(a, b *Node) {
	matched := false
	low := max(a.log.baseIndex, b.log.baseIndex)
	for index := min(a.log.lastIndex(), b.log.lastIndex()); index > low; index-- {
		x, y := a.log.slice(index, index)[0], b.log.slice(index, index)[0]
		if x.Term == y.Term && !sameEntry(x, y) || matched && x.Term != y.Term {
			s.fatalf("logs of %s and %s do not match at entry %d", a.id, b.id, index)
		}
		matched = matched || x.Term == y.Term
	}
}

// step delivers the message, unless its receiver is down or either end is isolated.
func (s *sim) step(m Message) {
	for _, n := range s.nodes {
		if n.member.ID == m.To && n.node != nil && !s.isolated[m.To] && !s.isolated[m.From] {
			n.node.Step(m)
			s.processOutput(n)
		}
	}
}

func (s *sim) tick(n *simNode) {
	if n.node != nil {
		n.node.Tick()
		s.processOutput(n)
	}
}

func (s *sim) propose(n *simNode) {
	if n.node == nil {
		return
	}
	s.proposals++
	if _, _, err := n.node.Propose([]byte(fmt.Sprint("command ", s.proposals))); err == nil {
		s.processOutput(n)
	}
}

func (s *sim) read(n *simNode) {
	if n.node == nil {
		return
	}
	s.nextRead++
	request := n.node.Read
	if s.nextRead%2 == 0 {
		request = n.node.ReadAtHeartbeat
	}
	if request(s.nextRead) == nil {
		s.reads[s.nextRead] = simRead{n.member.ID, s.maxCommit}
		s.processOutput(n)
	}
}

// compact stores a snapshot of the state that the node has applied.
func (s *sim) compact(n *simNode) {
	if n.node == nil || n.write != nil || len(n.applied) == 0 {
		return
	}
	last := n.applied[len(n.applied)-1]
	snapshot := Snapshot{Index: last.Index, Term: last.Term}
	for _, e := range n.applied {
		if e.Kind == EntryMembership {
			snapshot.Members, _ = DecodeMembership(e.Data)
		}
	}
	data, err := model.Encode(n.applied)
	if err != nil {
		s.fatalf("%v", err)
	}
	snapshot.Size = uint64(len(data))
	if snapshot.Index <= n.disk.saved.Snapshot.Index {
		return
	}
	n.disk.saved.Snapshot, n.disk.data = snapshot, data
	n.disk.receive = nil
	n.node.incoming = nil // simDisk discards a partly received snapshot when it stores its own
	to := n.node.SnapshotSaved(snapshot, 60)
	n.disk.saved.Entries = slices.DeleteFunc(slices.Clone(n.disk.saved.Entries), func(e Entry) bool { return e.Index < to })
	s.processOutput(n)
}

// changeInFlight reports whether a node or a message holds an uncommitted membership. If a disk
// is lost at such a time, the group may lose its quorum permanently. For example, if the
// members are {a,b,c}, the removal of b is stored only on c, and the disk of a is lost, then b
// cannot be elected because the log of c is longer, and c cannot be elected without the vote of a.
func (s *sim) changeInFlight() bool {
	for _, n := range s.nodes {
		if n.node != nil && n.node.memberships[len(n.node.memberships)-1].index > uint64(len(s.committed)) {
			return true
		}
	}
	for _, m := range s.network {
		for _, e := range m.Entries {
			if e.Kind == EntryMembership && e.Index > uint64(len(s.committed)) {
				return true
			}
		}
	}
	return false
}

// loseDisk replaces a node by one with an empty disk and a new id at the same gateway. It does
// nothing while a membership change is in flight or a node is down. Nor does it if the members
// with a disk would be less than a quorum in the view of some node, even if all learners were
// promoted before a leader notices that the disk is lost. With a maximum number of voters, which
// stands for one tolerated loss, the disk that was lost before must have been replaced.
func (s *sim) loseDisk(n *simNode) {
	if s.lostDisks[n.member.ID] || s.changeInFlight() || s.maxVoters > 0 && s.hasLostMember() {
		return
	}
	for _, o := range s.nodes {
		if o.node == nil {
			return
		}
		members := o.node.Members()
		alive, voters := 0, 0
		for _, m := range members {
			if s.lostDisks[m.ID] || m.ID == n.member.ID {
				continue
			}
			alive++
			if !m.Learner {
				voters++
			}
		}
		if len(members) > 0 && (voters < members.Quorum() || alive < len(members)/2+1) {
			return
		}
	}
	s.crash(n, 0)
	s.lostDisks[n.member.ID] = true
	s.nodes = slices.DeleteFunc(s.nodes, func(o *simNode) bool { return o == n })
	s.start(s.addNode(n.member.Gateway))
}

// addNonMembers asks the node to add the nodes that are not members yet, if it is a leader.
func (s *sim) addNonMembers(n *simNode) {
	if n.node == nil || n.node.Role() != RoleLeader {
		return
	}
	for _, o := range s.nodes {
		if _, ok := n.node.Members().Find(o.member.ID); !ok {
			_ = n.node.Add(o.member)
		}
	}
	s.processOutput(n)
}
