package consensus

import "slices"

// stallHeartbeats is the number of heartbeat intervals without progress after which a member
// that is behind is probed again, because the entries or the response were probably lost.
const stallHeartbeats = 4

// appendAsLeader appends a new entry of the current term and returns its index; leader only.
func (n *Node) appendAsLeader(kind EntryKind, data []byte) uint64 {
	e := Entry{Index: n.log.lastIndex() + 1, Term: n.hardState.Term, Kind: kind, Data: data}
	n.log.append(e)
	n.uncommitted += e.size()
	return e.Index
}

// sendEntries sends each member the entries that it lacks, as far as MaxInflight allows.
func (n *Node) sendEntries() {
	for _, member := range n.members() {
		if member.ID == n.id {
			continue
		}
		p := n.peers[member.ID]
		for n.sendNextEntries(member.ID, p) {
		}
	}
}

// sendNextEntries sends one MsgAppend to a member, or starts a snapshot if the entries are
// compacted. It reports whether another message may follow.
func (n *Node) sendNextEntries(to MemberID, p *progress) bool {
	switch p.mode {
	case modeSnapshot:
		return false
	case modeProbe:
		if p.paused {
			return false
		}
	case modeReplicate:
		if p.next > n.log.lastIndex() || len(p.inflight) >= n.opts.MaxInflight {
			return false
		}
	}
	term, ok := n.log.term(p.next - 1)
	if !ok {
		n.startSnapshot(to, p)
		return false
	}
	m := Message{Kind: MsgAppend, To: to, Index: p.next - 1, LogTerm: term, Commit: n.log.commit}
	// A member that does not respond gets empty probes, to avoid encoding entries for it.
	if p.ticksSinceMessage < n.opts.ElectionTicks {
		m.Entries = n.log.batch(p.next, n.opts.MaxBatchBytes)
	}
	n.send(m)
	if p.mode == modeProbe {
		p.paused = true
		return false
	}
	p.next += uint64(len(m.Entries))
	p.inflight = append(p.inflight, p.next-1)
	return len(m.Entries) > 0
}

// reprobeStalledPeers probes the members that made no progress for stallHeartbeats, and
// restarts stalled snapshots.
func (n *Node) reprobeStalledPeers() {
	limit := stallHeartbeats * n.opts.HeartbeatTicks
	for id, p := range n.peers {
		if id == n.id || p.ticksWithoutProgress < limit {
			continue
		}
		switch {
		case p.mode == modeSnapshot:
			continue // retried by retrySnapshots
		case p.mode == modeProbe || p.match < n.log.lastIndex():
			p.probe(p.match + 1)
		}
	}
	n.retrySnapshots()
}

// broadcastHeartbeat sends a heartbeat with the current read round to all other members.
func (n *Node) broadcastHeartbeat() {
	for _, member := range n.members() {
		if member.ID == n.id {
			continue
		}
		n.sendHeartbeatTo(member.ID)
	}
}

func (n *Node) sendHeartbeatTo(id MemberID) {
	p := n.peers[id]
	n.send(Message{
		Kind: MsgHeartbeat, To: id, Round: n.reads.round, Commit: min(n.log.commit, p.match),
		Leaving: p.leaving && !n.replacing(),
	})
}

// recordLeaderContact follows the leader of the current term and resets the election timer.
func (n *Node) recordLeaderContact(leader MemberID) {
	if n.role != RoleFollower {
		n.becomeFollower(n.hardState.Term, leader)
	}
	n.leader = leader
	n.ticksElapsed = 0
	n.ticksSinceLeader = 0
}

func (n *Node) handleHeartbeat(m Message) {
	n.recordLeaderContact(m.From)
	n.leaveKnown = n.leaveKnown || n.leaving && m.Leaving
	n.log.commit = max(n.log.commit, min(m.Commit, n.log.lastIndex()))
	n.sendWhenDurable(Message{Kind: MsgHeartbeatResponse, To: m.From, Round: m.Round}, 0)
}

func (n *Node) handleAppend(m Message) {
	n.recordLeaderContact(m.From)
	if m.Index < n.log.commit {
		m = n.skipCommitted(m)
	}
	if !n.log.matches(m.Index, m.LogTerm) {
		hint := n.log.lastWithTermAtMost(m.Index, m.LogTerm)
		term, _ := n.log.term(hint)
		n.sendWhenDurable(Message{Kind: MsgAppendResponse, To: m.From, Refused: true, Index: m.Index, Hint: hint, LogTerm: term}, 0)
		return
	}
	n.appendReceived(m.Entries)
	last := m.Index + uint64(len(m.Entries))
	n.log.commit = max(n.log.commit, min(m.Commit, last))
	n.sendWhenDurable(Message{Kind: MsgAppendResponse, To: m.From, Index: last}, last)
}

// skipCommitted removes the entries that are committed on this node from a message. They are
// identical to the local ones.
func (n *Node) skipCommitted(m Message) Message {
	skip := min(n.log.commit-m.Index, uint64(len(m.Entries)))
	m.Entries = m.Entries[skip:]
	m.Index = n.log.commit
	m.LogTerm, _ = n.log.term(n.log.commit)
	return m
}

// appendReceived appends the entries that the log lacks, and first truncates the log at the
// first conflicting entry.
func (n *Node) appendReceived(entries []Entry) {
	for _, e := range entries {
		if n.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= n.log.lastIndex() {
			n.truncateLog(e.Index)
		}
		n.log.append(e)
		if err := n.recordMembership(e); err != nil {
			panic(err) // Step has checked that the entry can be decoded
		}
	}
}

// handlePeerResponse processes the response of a member to a message of the leader.
func (n *Node) handlePeerResponse(m Message) {
	p := n.peers[m.From]
	if n.role != RoleLeader || p == nil {
		return
	}
	p.ticksSinceMessage = 0
	switch m.Kind {
	case MsgAppendResponse:
		n.handleAppendResponse(m, p)
	case MsgHeartbeatResponse:
		p.round = max(p.round, m.Round)
		n.confirmReads()
	case MsgSnapshotResponse:
		n.handleSnapshotResponse(m, p)
	}
	n.recordDeparture(m.From, m.Leaving)
}

func (n *Node) handleAppendResponse(m Message, p *progress) {
	if m.Refused {
		n.handleRefusal(m, p)
		return
	}
	if m.Index > n.log.lastIndex() {
		return
	}
	p.acknowledged(m.Index)
	switch p.mode {
	case modeProbe:
		p.replicate()
	case modeSnapshot:
		if _, ok := n.log.term(p.match); ok {
			p.replicate()
		}
	}
	n.advanceCommit()
	n.continueTransfer(m.From)
}

// handleRefusal probes further back after a member refused entries, using the hint in its
// response. It ignores outdated responses.
func (n *Node) handleRefusal(m Message, p *progress) {
	stale := p.mode == modeSnapshot || m.Index <= p.match || (p.mode == modeProbe && m.Index != p.next-1)
	if stale {
		return
	}
	p.probe(min(m.Index, n.log.lastWithTermAtMost(m.Hint, m.LogTerm)+1))
}

// advanceCommit commits the entries that are durable on a quorum of the membership in force.
func (n *Node) advanceCommit() {
	var matches []uint64
	for _, member := range n.members() {
		if !member.Learner {
			matches = append(matches, n.peers[member.ID].match)
		}
	}
	slices.Sort(matches)
	index := matches[len(matches)-n.members().Quorum()]
	if index <= n.log.commit {
		return
	}
	// Entries of earlier terms are committed only together with an entry of the current term:
	// even if a quorum holds an entry of an earlier term, a later leader may overwrite it.
	if term, _ := n.log.term(index); term != n.hardState.Term {
		return
	}
	for _, e := range n.log.slice(n.log.commit+1, index) {
		if e.Term == n.hardState.Term {
			n.uncommitted -= e.size()
		}
	}
	n.log.commit = index
}

// committedInTerm reports whether an entry of the current term is committed.
func (n *Node) committedInTerm() bool {
	term, _ := n.log.term(n.log.commit)
	return term == n.hardState.Term
}
