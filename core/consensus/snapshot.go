package consensus

// snapshotRetryHeartbeats is the number of heartbeat intervals without a response after which
// a snapshot transfer is restarted.
const snapshotRetryHeartbeats = 20

// incomingSnapshot is a snapshot that is being received in chunks.
type incomingSnapshot struct {
	snapshot  Snapshot
	next      uint64 // offset of the next chunk
	complete  bool   // the last chunk was received
	lastWrite uint64 // sequence number of the write with the last chunk
}

// SnapshotSaved tells the node that a snapshot of the applied state is durable, and compacts
// the log. The log keeps at least keepBytes of entries before the snapshot, if it has them,
// for members that are slightly behind. SnapshotSaved returns the index up to which the
// storage may delete entries, or zero if the snapshot is outdated.
func (n *Node) SnapshotSaved(s Snapshot, keepBytes int) uint64 {
	if s.Index <= n.snapshot.Index || s.Index > n.log.delivered {
		return 0
	}
	n.snapshot = s
	n.log.compact(n.log.compactionPoint(s.Index, keepBytes))
	kept := []indexedMembership{{s.Index, s.Members}}
	for _, c := range n.memberships {
		if c.index > s.Index {
			kept = append(kept, c)
		}
	}
	n.memberships = kept
	return n.log.baseIndex
}

// startSnapshot starts to send the newest snapshot to a member.
func (n *Node) startSnapshot(to MemberID, p *progress) {
	p.mode = modeSnapshot
	p.snapshot = n.snapshot
	p.offset = 0
	p.ticksWithoutProgress = 0
	n.sendChunk(to, p)
}

// sendChunk sends the chunk at the current offset.
func (n *Node) sendChunk(to MemberID, p *progress) {
	length := min(uint64(n.opts.MaxBatchBytes), p.snapshot.Size-p.offset)
	n.send(Message{Kind: MsgSnapshot, To: to, Chunk: &Chunk{Snapshot: p.snapshot, Offset: p.offset, Length: length}})
}

// retrySnapshots restarts the snapshot transfers to live members that made no progress for
// snapshotRetryHeartbeats.
func (n *Node) retrySnapshots() {
	for _, member := range n.members() {
		p := n.peers[member.ID]
		if p.mode != modeSnapshot || p.ticksWithoutProgress < snapshotRetryHeartbeats*n.opts.HeartbeatTicks || p.ticksSinceMessage >= n.opts.ElectionTicks {
			continue
		}
		n.startSnapshot(member.ID, p)
	}
}

func (n *Node) handleSnapshotResponse(m Message, p *progress) {
	if p.mode != modeSnapshot || m.Index != p.snapshot.Index {
		return
	}
	p.ticksWithoutProgress = 0
	if !p.snapshot.same(n.snapshot) {
		// The data of the earlier snapshot may have been deleted.
		n.startSnapshot(m.From, p)
		return
	}
	if m.Offset == p.offset && m.Offset != 0 || m.Offset >= p.snapshot.Size {
		return // duplicate response
	}
	p.offset = m.Offset
	n.sendChunk(m.From, p)
}

func (n *Node) handleSnapshot(m Message) {
	n.recordLeaderContact(m.From)
	c := *m.Chunk
	if c.Snapshot.Index <= n.log.commit || n.log.matches(c.Snapshot.Index, c.Snapshot.Term) {
		n.log.commit = max(n.log.commit, c.Snapshot.Index)
		n.sendWhenDurable(Message{Kind: MsgAppendResponse, To: m.From, Index: n.log.commit}, n.log.commit)
		return
	}
	if n.incoming == nil || (!n.incoming.snapshot.same(c.Snapshot) && !n.incoming.complete) {
		n.incoming = &incomingSnapshot{snapshot: c.Snapshot}
	}
	r := n.incoming
	if r.complete || n.writes.chunk != nil {
		return
	}
	end := c.Offset + uint64(len(c.Data))
	if c.Offset != r.next || end > c.Snapshot.Size || (len(c.Data) == 0 && !c.Last()) {
		n.sendWhenDurable(Message{Kind: MsgSnapshotResponse, To: m.From, Index: c.Snapshot.Index, Offset: r.next}, 0)
		return
	}
	n.writes.chunk = &c
	r.next = end
	if c.Last() {
		r.complete = true
		r.lastWrite = n.writes.nextSeq
		return
	}
	n.sendAfterWrite(Message{Kind: MsgSnapshotResponse, To: m.From, Index: c.Snapshot.Index, Offset: r.next}, n.writes.nextSeq)
}

// finishReceiving installs a received snapshot when its last chunk is written, if its
// checksum is valid. Otherwise it asks the leader to send the snapshot from the start.
func (n *Node) finishReceiving(seq uint64, valid bool) {
	r := n.incoming
	if r == nil || !r.complete || r.lastWrite != seq {
		return
	}
	n.incoming = nil
	if !valid {
		if n.leader != "" && n.leader != n.id {
			n.sendWhenDurable(Message{Kind: MsgSnapshotResponse, To: n.leader, Index: r.snapshot.Index}, 0)
		}
		return
	}
	if r.snapshot.Index <= n.log.commit {
		return
	}
	n.installSnapshot(r.snapshot)
}

// installSnapshot replaces the log in memory by the snapshot. The next write does the same in
// the storage.
func (n *Node) installSnapshot(s Snapshot) {
	n.log.reset(s)
	n.memberships = []indexedMembership{{s.Index, s.Members}}
	n.snapshot = s
	n.writes.install = &s
	n.writes.installSeq = n.writes.nextSeq
	if n.leader != "" && n.leader != n.id {
		n.sendWhenDurable(Message{Kind: MsgAppendResponse, To: n.leader, Index: s.Index}, s.Index)
	}
}

// finishInstall outputs the installed snapshot to the driver when it is durable.
func (n *Node) finishInstall(seq uint64) {
	if n.writes.installSeq != seq {
		return
	}
	n.writes.installSeq = 0
	s := n.snapshot
	n.out.InstallSnapshot = &s
}
