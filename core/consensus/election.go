package consensus

// becomeFollower adopts the term and the leader, which is empty if it is not known.
func (n *Node) becomeFollower(term uint64, leader MemberID) {
	if term > n.hard.Term {
		n.setHard(HardState{Term: term})
		// Answers of the earlier term may be lost like any message.
		n.disk.held = nil
	}
	n.role = RoleFollower
	n.leader = leader
	n.votes = nil
	n.peers = nil
	n.transferTo = ""
	n.uncommitted = 0
	n.failReads()
	n.resetElectionTimer()
	n.sinceLeader = 0
}

// campaign asks for pre-votes or votes. A pre-vote changes no term, so a member that cannot
// win, for example behind a partition, does not interrupt the others when it returns.
func (n *Node) campaign(role Role) {
	n.leader = ""
	n.role = role
	n.votes = map[MemberID]bool{}
	m := Message{
		Kind: MsgPreVote, Term: n.hard.Term + 1,
		Index: n.log.last(), LogTerm: n.log.lastTerm(), Forced: n.forced,
	}
	after := uint64(0)
	if role == RoleCandidate {
		n.disk.held = nil
		n.setHard(HardState{Term: n.hard.Term + 1, Vote: n.id})
		n.resetElectionTimer()
		m.Kind = MsgVote
		after = n.disk.hard
	}
	for _, member := range n.members() {
		if !member.Learner && member.ID != n.id {
			m.To = member.ID
			n.hold(m, after)
		}
	}
	if role == RolePreCandidate {
		n.countVote(n.id, true)
	}
}

// countOwnVote counts the vote for itself, once it is durable.
func (n *Node) countOwnVote() {
	if n.role == RoleCandidate {
		n.countVote(n.id, true)
	}
}

func (n *Node) countVote(from MemberID, granted bool) {
	if !n.members().IsVoter(from) {
		return
	}
	if _, ok := n.votes[from]; !ok {
		n.votes[from] = granted
	}
	yes, no := 0, 0
	for _, vote := range n.votes {
		if vote {
			yes++
		} else {
			no++
		}
	}
	quorum := n.members().Quorum()
	switch {
	case yes >= quorum && n.role == RolePreCandidate:
		n.forced = false
		n.campaign(RoleCandidate)
	case yes >= quorum:
		n.becomeLeader()
	case no >= quorum:
		n.becomeFollower(n.hard.Term, "")
	}
}

func (n *Node) handlePreVote(m Message) {
	granted := m.Term > n.hard.Term && !n.leaderIsAlive() && n.log.upToDate(m.Index, m.LogTerm)
	reply := Message{Kind: MsgPreVoteAnswer, To: m.From, Refused: !granted}
	if granted {
		reply.Term = m.Term
	}
	n.answer(reply, 0)
}

func (n *Node) handleVote(m Message) {
	free := n.hard.Vote == m.From || (n.hard.Vote == "" && n.leader == "")
	granted := free && n.log.upToDate(m.Index, m.LogTerm)
	if granted {
		n.setHard(HardState{Term: n.hard.Term, Vote: m.From})
		n.resetElectionTimer()
	}
	n.answer(Message{Kind: MsgVoteAnswer, To: m.From, Refused: !granted}, 0)
}

func (n *Node) handleVoteAnswer(m Message, role Role) {
	if n.role != role {
		return
	}
	if role == RolePreCandidate && !m.Refused && m.Term != n.hard.Term+1 {
		return
	}
	n.countVote(m.From, !m.Refused)
}

func (n *Node) becomeLeader() {
	n.role = RoleLeader
	n.leader = n.id
	n.votes = nil
	n.forced = false
	n.elapsed = 0
	n.uncommitted = 0
	n.peers = map[MemberID]*progress{}
	n.updatePeers()
	// An entry of an earlier term counts as committed only with a later entry of this term.
	n.appendOwn(EntryEmpty, nil)
}

// updatePeers makes the progress table follow the membership.
func (n *Node) updatePeers() {
	members := n.members()
	for id := range n.peers {
		if _, ok := members.Find(id); !ok {
			delete(n.peers, id)
		}
	}
	for _, member := range members {
		if n.peers[member.ID] == nil {
			p := &progress{}
			p.probe(n.log.last() + 1)
			n.peers[member.ID] = p
		}
	}
	n.peers[n.id].match = n.log.stable
}

func (n *Node) tickLeader() {
	for id, p := range n.peers {
		if id != n.id {
			p.silent++
			p.stalled++
		}
	}
	if !n.quorumHeard() {
		n.becomeFollower(n.hard.Term, "")
		return
	}
	n.tickTransfer()
	if n.elapsed < n.opts.HeartbeatTicks {
		return
	}
	n.elapsed = 0
	n.unblockPeers()
	n.sendHeartbeat()
	n.repairMembership()
}

// quorumHeard reports whether a quorum was heard within twice the shortest election
// timeout. A leader that is cut off steps down, so that its callers turn to the new one.
func (n *Node) quorumHeard() bool {
	heard := 0
	for _, member := range n.members() {
		if !member.Learner && n.peers[member.ID].silent < 2*n.opts.ElectionTicks {
			heard++
		}
	}
	return heard >= n.members().Quorum()
}

// Transfer asks the voter to take over the leadership. Proposals are refused until it did
// or the shortest election timeout has passed. An empty id chooses the most complete voter.
func (n *Node) Transfer(to MemberID) error {
	if n.role != RoleLeader {
		return ErrNotLeader
	}
	if to == "" {
		to = n.bestSuccessor()
	}
	if to == n.id || !n.members().IsVoter(to) {
		return ErrNoSuccessor
	}
	n.transferTo = to
	n.transferTime = 0
	n.continueTransfer(to)
	return nil
}

func (n *Node) bestSuccessor() MemberID {
	best := MemberID("")
	for _, member := range n.members() {
		p := n.peers[member.ID]
		if member.Learner || member.ID == n.id || p.silent >= n.opts.ElectionTicks {
			continue
		}
		if best == "" || p.match > n.peers[best].match {
			best = member.ID
		}
	}
	return best
}

func (n *Node) tickTransfer() {
	if n.transferTo == "" {
		return
	}
	n.transferTime++
	if n.transferTime >= n.opts.ElectionTicks {
		n.transferTo = ""
	}
}

// continueTransfer asks the successor to campaign once it has the complete log.
func (n *Node) continueTransfer(from MemberID) {
	if from == n.transferTo && n.peers[from] != nil && n.peers[from].match == n.log.last() {
		n.send(Message{Kind: MsgTimeoutNow, To: from})
	}
}

func (n *Node) handleTimeoutNow(m Message) {
	if m.From != n.leader || !n.promotable() {
		return
	}
	n.forced = true
	n.campaign(RoleCandidate)
	n.forced = false
}
