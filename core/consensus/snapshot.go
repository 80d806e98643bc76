package consensus

// snapshotRetryFactor is the number of heartbeats after which a part of a snapshot without
// an answer is sent again.
const snapshotRetryFactor = 20

// receiving is a snapshot that is arriving in parts.
type receiving struct {
	snapshot Snapshot
	next     uint64 // offset of the next part
	complete bool
	write    uint64 // write that contains the last part
}

// Compacted says that a snapshot of the applied state is durable here. The log keeps
// keepBytes of entries before it for members that are slightly behind. It returns the last
// entry that the storage may delete.
func (n *Node) Compacted(s Snapshot, keepBytes int) uint64 {
	if s.Index <= n.snapshot.Index || s.Index > n.log.handed {
		return 0
	}
	n.snapshot = s
	n.log.compact(n.log.compactionPoint(s.Index, keepBytes))
	kept := []config{{s.Index, s.Members}}
	for _, c := range n.configs {
		if c.index > s.Index {
			kept = append(kept, c)
		}
	}
	n.configs = kept
	return n.log.baseIndex
}

func (n *Node) startSnapshot(to MemberID, p *progress) {
	p.mode = modeSnapshot
	p.snapshot = n.snapshot
	p.offset = 0
	p.stalled = 0
	n.sendChunk(to, p)
}

func (n *Node) sendChunk(to MemberID, p *progress) {
	length := min(uint64(n.opts.MaxBatchBytes), p.snapshot.Size-p.offset)
	n.send(Message{Kind: MsgSnapshot, To: to, Chunk: &Chunk{Snapshot: p.snapshot, Offset: p.offset, Length: length}})
}

// retrySnapshots sends the present part again to members that answer but lost it.
func (n *Node) retrySnapshots() {
	for _, member := range n.members() {
		p := n.peers[member.ID]
		if p.mode != modeSnapshot || p.stalled < snapshotRetryFactor*n.opts.HeartbeatTicks || p.silent >= n.opts.ElectionTicks {
			continue
		}
		n.startSnapshot(member.ID, p)
	}
}

func (n *Node) handleSnapshotAnswer(m Message, p *progress) {
	if p.mode != modeSnapshot || m.Index != p.snapshot.Index {
		return
	}
	p.stalled = 0
	if !p.snapshot.same(n.snapshot) {
		// The earlier snapshot's data may be gone.
		n.startSnapshot(m.From, p)
		return
	}
	if m.Offset == p.offset && m.Offset != 0 || m.Offset >= p.snapshot.Size {
		return // repeated answer
	}
	p.offset = m.Offset
	n.sendChunk(m.From, p)
}

func (n *Node) handleSnapshot(m Message) {
	n.followLeader(m.From)
	c := *m.Chunk
	if c.Snapshot.Index <= n.log.commit || n.log.matches(c.Snapshot.Index, c.Snapshot.Term) {
		n.log.commit = max(n.log.commit, c.Snapshot.Index)
		n.answer(Message{Kind: MsgAppendAnswer, To: m.From, Index: n.log.commit}, n.log.commit)
		return
	}
	if n.receiving == nil || (!n.receiving.snapshot.same(c.Snapshot) && !n.receiving.complete) {
		n.receiving = &receiving{snapshot: c.Snapshot}
	}
	r := n.receiving
	if r.complete || n.disk.chunk != nil {
		return
	}
	end := c.Offset + uint64(len(c.Data))
	if c.Offset != r.next || end > c.Snapshot.Size || (len(c.Data) == 0 && !c.Last()) {
		n.answer(Message{Kind: MsgSnapshotAnswer, To: m.From, Index: c.Snapshot.Index, Offset: r.next}, 0)
		return
	}
	n.disk.chunk = &c
	r.next = end
	if c.Last() {
		r.complete = true
		r.write = n.disk.next
		return
	}
	n.hold(Message{Kind: MsgSnapshotAnswer, To: m.From, Index: c.Snapshot.Index, Offset: r.next}, n.disk.next)
}

// finishChunk goes on when the last part of a snapshot was written and its checksum tested.
func (n *Node) finishChunk(seq uint64, valid bool) {
	r := n.receiving
	if r == nil || !r.complete || r.write != seq {
		return
	}
	n.receiving = nil
	if !valid {
		if n.leader != "" && n.leader != n.id {
			n.answer(Message{Kind: MsgSnapshotAnswer, To: n.leader, Index: r.snapshot.Index}, 0)
		}
		return
	}
	if r.snapshot.Index <= n.log.commit {
		return
	}
	n.install(r.snapshot)
}

// install replaces the log by the snapshot. The next write does the same on the disk.
func (n *Node) install(s Snapshot) {
	n.log.reset(s)
	n.configs = []config{{s.Index, s.Members}}
	n.snapshot = s
	n.disk.install = &s
	n.disk.installed = n.disk.next
	if n.leader != "" && n.leader != n.id {
		n.answer(Message{Kind: MsgAppendAnswer, To: n.leader, Index: s.Index}, s.Index)
	}
}

// finishInstall hands the snapshot to the driver when it is durable.
func (n *Node) finishInstall(seq uint64) {
	if n.disk.installed != seq {
		return
	}
	n.disk.installed = 0
	s := n.snapshot
	n.out.Install = &s
}
