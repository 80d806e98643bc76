package consensus

import "slices"

// stallFactor is the number of heartbeats without an answer after which a member that is
// behind is probed again: the entries or their answer were lost.
const stallFactor = 4

// appendOwn appends an entry of the current term; leader only.
func (n *Node) appendOwn(kind EntryKind, data []byte) uint64 {
	e := Entry{Index: n.log.last() + 1, Term: n.hard.Term, Kind: kind, Data: data}
	n.log.append(e)
	n.uncommitted += e.size()
	return e.Index
}

// sendEntries sends each member what it lacks, as far as its window allows.
func (n *Node) sendEntries() {
	for _, member := range n.members() {
		if member.ID == n.id {
			continue
		}
		p := n.peers[member.ID]
		for n.sendNext(member.ID, p) {
		}
	}
}

// sendNext sends one message with entries and reports whether another one may follow.
func (n *Node) sendNext(to MemberID, p *progress) bool {
	switch p.mode {
	case modeSnapshot:
		return false
	case modeProbe:
		if p.paused {
			return false
		}
	case modeReplicate:
		if p.next > n.log.last() || len(p.inflight) >= n.opts.MaxInflight {
			return false
		}
	}
	term, ok := n.log.term(p.next - 1)
	if !ok {
		n.startSnapshot(to, p)
		return false
	}
	m := Message{Kind: MsgAppend, To: to, Index: p.next - 1, LogTerm: term, Commit: n.log.commit}
	// A member that does not answer gets empty probes, so that entries are not encoded for it.
	if p.silent < n.opts.ElectionTicks {
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

// unblockPeers probes again members whose messages seem lost.
func (n *Node) unblockPeers() {
	limit := stallFactor * n.opts.HeartbeatTicks
	for id, p := range n.peers {
		if id == n.id || p.stalled < limit {
			continue
		}
		switch {
		case p.mode == modeSnapshot:
			continue // retried by retrySnapshots
		case p.mode == modeProbe || p.match < n.log.last():
			p.probe(p.match + 1)
		}
	}
	n.retrySnapshots()
}

func (n *Node) broadcastHeartbeat() {
	for _, member := range n.members() {
		if member.ID == n.id {
			continue
		}
		n.send(Message{
			Kind: MsgHeartbeat, To: member.ID, Round: n.reads.round,
			Commit: min(n.log.commit, n.peers[member.ID].match),
		})
	}
}

// followLeader records that the leader of the current term was heard.
func (n *Node) followLeader(leader MemberID) {
	if n.role != RoleFollower {
		n.becomeFollower(n.hard.Term, leader)
	}
	n.leader = leader
	n.elapsed = 0
	n.sinceLeader = 0
}

func (n *Node) handleHeartbeat(m Message) {
	n.followLeader(m.From)
	n.log.commit = max(n.log.commit, min(m.Commit, n.log.last()))
	n.answer(Message{Kind: MsgHeartbeatAnswer, To: m.From, Round: m.Round}, 0)
}

func (n *Node) handleAppend(m Message) {
	n.followLeader(m.From)
	if m.Index < n.log.commit {
		m = n.skipCommitted(m)
	}
	if !n.log.matches(m.Index, m.LogTerm) {
		hint := n.log.lastAtMost(m.Index, m.LogTerm)
		term, _ := n.log.term(hint)
		n.answer(Message{Kind: MsgAppendAnswer, To: m.From, Refused: true, Index: m.Index, Hint: hint, LogTerm: term}, 0)
		return
	}
	n.appendReceived(m.Entries)
	last := m.Index + uint64(len(m.Entries))
	n.log.commit = max(n.log.commit, min(m.Commit, last))
	n.answer(Message{Kind: MsgAppendAnswer, To: m.From, Index: last}, last)
}

// skipCommitted removes from a message the entries that are committed here; they are equal.
func (n *Node) skipCommitted(m Message) Message {
	skip := min(n.log.commit-m.Index, uint64(len(m.Entries)))
	m.Entries = m.Entries[skip:]
	m.Index = n.log.commit
	m.LogTerm, _ = n.log.term(n.log.commit)
	return m
}

// appendReceived appends the entries that are new and removes own ones that conflict.
func (n *Node) appendReceived(entries []Entry) {
	for _, e := range entries {
		if n.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= n.log.last() {
			n.truncateLog(e.Index)
		}
		n.log.append(e)
		if err := n.noteMembership(e); err != nil {
			panic(err) // Step has checked that the entry can be read
		}
	}
}

// handleProgress takes a member's answer; leader only.
func (n *Node) handleProgress(m Message) {
	p := n.peers[m.From]
	if n.role != RoleLeader || p == nil {
		return
	}
	p.silent = 0
	switch m.Kind {
	case MsgAppendAnswer:
		n.handleAppendAnswer(m, p)
	case MsgHeartbeatAnswer:
		p.round = max(p.round, m.Round)
		n.confirmReads()
	case MsgSnapshotAnswer:
		n.handleSnapshotAnswer(m, p)
	}
}

func (n *Node) handleAppendAnswer(m Message, p *progress) {
	if m.Refused {
		n.handleRefusal(m, p)
		return
	}
	if m.Index > n.log.last() {
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

func (n *Node) handleRefusal(m Message, p *progress) {
	stale := p.mode == modeSnapshot || m.Index <= p.match || (p.mode == modeProbe && m.Index != p.next-1)
	if stale {
		return
	}
	p.probe(min(m.Index, n.log.lastAtMost(m.Hint, m.LogTerm)+1))
}

// advanceCommit commits what a quorum of the membership in force holds durably.
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
	// Entries of earlier terms are committed only through an entry of the current term: a
	// quorum that holds an old entry does not keep another leader from replacing it.
	if term, _ := n.log.term(index); term != n.hard.Term {
		return
	}
	for _, e := range n.log.slice(n.log.commit+1, index) {
		if e.Term == n.hard.Term {
			n.uncommitted -= e.size()
		}
	}
	n.log.commit = index
}

// committedInTerm reports whether an entry of the current term is committed.
func (n *Node) committedInTerm() bool {
	term, _ := n.log.term(n.log.commit)
	return term == n.hard.Term
}
