package consensus

// becomeFollower makes the node a follower in the term. leader is empty if it is not known.
func (n *Node) becomeFollower(term uint64, leader MemberID) {
	if term > n.hardState.Term {
		n.setHardState(HardState{Term: term})
		// Pending responses of the earlier term can be dropped: the protocol tolerates lost messages.
		n.writes.held = nil
	}
	n.role = RoleFollower
	n.leader = leader
	n.votes = nil
	n.peers = nil
	n.transferTo = ""
	n.removed = ""
	n.uncommitted = 0
	n.failReads()
	n.resetElectionTimer()
	n.ticksSinceLeader = 0
}

// campaign requests pre-votes (RolePreCandidate) or votes (RoleCandidate) from the other
// voters. A pre-vote does not change any term, so a member that cannot win, for example
// because it is partitioned, does not depose the leader when it reconnects.
func (n *Node) campaign(role Role) {
	n.leader = ""
	n.role = role
	n.votes = map[MemberID]bool{}
	m := Message{
		Kind: MsgPreVote, Term: n.hardState.Term + 1,
		Index: n.log.lastIndex(), LogTerm: n.log.lastTerm(), TransferRequested: n.transferRequested,
	}
	after := uint64(0)
	if role == RoleCandidate {
		n.writes.held = nil
		n.setHardState(HardState{Term: n.hardState.Term + 1, Vote: n.id})
		n.resetElectionTimer()
		m.Kind = MsgVote
		after = n.writes.hardStateSeq
	}
	for _, member := range n.members() {
		if !member.Learner && member.ID != n.id {
			m.To = member.ID
			n.sendAfterWrite(m, after)
		}
	}
	if role == RolePreCandidate {
		n.countVote(n.id, true)
	}
}

// countOwnVote counts the vote of the node for itself; called when that vote is durable.
func (n *Node) countOwnVote() {
	if n.role == RoleCandidate {
		n.countVote(n.id, true)
	}
}

// countVote records the vote of a member and changes the role once a quorum has granted or
// refused the request.
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
		n.transferRequested = false
		n.campaign(RoleCandidate)
	case yes >= quorum:
		n.becomeLeader()
	case no >= quorum:
		n.becomeFollower(n.hardState.Term, "")
	}
}

func (n *Node) handlePreVote(m Message) {
	granted := m.Term > n.hardState.Term && !n.leaderIsAlive() && n.log.upToDate(m.Index, m.LogTerm)
	response := Message{Kind: MsgPreVoteResponse, To: m.From, Refused: !granted}
	if granted {
		response.Term = m.Term
	}
	n.sendWhenDurable(response, 0)
}

func (n *Node) handleVote(m Message) {
	canVote := n.hardState.Vote == m.From || (n.hardState.Vote == "" && n.leader == "")
	granted := canVote && n.log.upToDate(m.Index, m.LogTerm)
	if granted {
		n.setHardState(HardState{Term: n.hardState.Term, Vote: m.From})
		n.resetElectionTimer()
	}
	n.sendWhenDurable(Message{Kind: MsgVoteResponse, To: m.From, Refused: !granted}, 0)
}

func (n *Node) handleVoteResponse(m Message, role Role) {
	if n.role != role {
		return
	}
	if role == RolePreCandidate && !m.Refused && m.Term != n.hardState.Term+1 {
		return
	}
	n.countVote(m.From, !m.Refused)
}

func (n *Node) becomeLeader() {
	n.role = RoleLeader
	n.leader = n.id
	n.votes = nil
	n.transferRequested = false
	n.ticksElapsed = 0
	n.uncommitted = 0
	n.peers = map[MemberID]*progress{}
	n.updatePeers()
	// Entries of earlier terms are committed only together with an entry of the current term,
	// so the new leader appends an empty one.
	n.appendAsLeader(EntryEmpty, nil)
}

// updatePeers adds and removes progress records so that they match the current membership.
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
			p.probe(n.log.lastIndex() + 1)
			n.peers[member.ID] = p
		}
	}
	n.peers[n.id].match = n.log.stable
}

func (n *Node) tickLeader() {
	for id, p := range n.peers {
		if id != n.id {
			p.ticksSinceMessage++
			p.ticksWithoutProgress++
		}
	}
	if !n.quorumActive() {
		n.becomeFollower(n.hardState.Term, "")
		return
	}
	n.tickTransfer()
	if n.ticksElapsed < n.opts.HeartbeatTicks {
		return
	}
	n.ticksElapsed = 0
	n.reprobeStalledPeers()
	n.sendHeartbeat()
	n.notifyRemoved()
	n.handOverWhileLeaving()
	n.repairMembership()
}

// quorumActive reports whether messages from a quorum of voters arrived within twice the
// minimum election timeout. A partitioned leader steps down, so that its callers turn to the
// new leader.
func (n *Node) quorumActive() bool {
	responding := 0
	for _, member := range n.members() {
		if !member.Learner && n.peers[member.ID].ticksSinceMessage < 2*n.opts.ElectionTicks {
			responding++
		}
	}
	return responding >= n.members().Quorum()
}

// TransferLeadership asks a voter to take over the leadership. Proposals are refused until it
// has done so or the minimum election timeout has passed. An empty id selects the live voter
// with the highest match index.
func (n *Node) TransferLeadership(to MemberID) error {
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
	n.transferTicks = 0
	n.continueTransfer(to)
	return nil
}

// bestSuccessor returns the live voter with the highest match index, or an empty id. It prefers voters
// that are not leaving.
func (n *Node) bestSuccessor() MemberID {
	best := MemberID("")
	for _, member := range n.members() {
		p := n.peers[member.ID]
		if member.Learner || member.ID == n.id || p.ticksSinceMessage >= n.opts.ElectionTicks {
			continue
		}
		b := n.peers[best]
		if b == nil || b.leaving && !p.leaving || b.leaving == p.leaving && p.match > b.match {
			best = member.ID
		}
	}
	return best
}

// tickTransfer aborts a transfer that takes longer than the minimum election timeout.
func (n *Node) tickTransfer() {
	if n.transferTo == "" {
		return
	}
	n.transferTicks++
	if n.transferTicks >= n.opts.ElectionTicks {
		n.transferTo = ""
	}
}

// continueTransfer asks the successor to campaign once its log matches the log of the leader.
func (n *Node) continueTransfer(from MemberID) {
	if from == n.transferTo && n.peers[from] != nil && n.peers[from].match == n.log.lastIndex() {
		n.send(Message{Kind: MsgTimeoutNow, To: from})
	}
}

func (n *Node) handleTimeoutNow(m Message) {
	if m.From != n.leader || !n.promotable() {
		return
	}
	n.transferRequested = true
	n.campaign(RoleCandidate)
	n.transferRequested = false
}
