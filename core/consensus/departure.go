package consensus

// Leave announces that the process of this node is about to end. From then on each response to the
// leader says so, which a lost message or a change of the leader does not undo. The leader lets a
// learner of another VM take the place of this voter at once, instead of after it was silent for
// replaceElectionTimeouts: until then, the loss of another voter's disk would leave the group without
// a quorum for good. If no learner has caught up, the membership stays as it is.
//
// The node votes and counts in quorums until it is removed. A restarted process sends responses
// without the announcement, which ends it. A response of the ended process that arrives later counts
// until the next response of the new one; the group may then have one voter more than MaxVoters, as
// after the return of a silent voter. When no more responses arrive, the voter becomes silent.
func (n *Node) Leave() {
	n.leaving = true
	if n.role == RoleFollower && n.leader != "" {
		n.sendWhenDurable(Message{Kind: MsgHeartbeatResponse, To: n.leader}, 0)
	}
}

// Leaving reports whether Leave was called.
func (n *Node) Leaving() bool { return n.leaving }

// LeaveKnown reports whether the leader knows that this node is leaving, and either has replaced it or
// has no live learner that could take its place.
func (n *Node) LeaveKnown() bool { return n.leaveKnown }

// markLeaving adds the announcement to a response to the leader.
func (n *Node) markLeaving(m Message) Message {
	switch m.Kind {
	case MsgAppendResponse, MsgHeartbeatResponse, MsgSnapshotResponse:
		m.Leaving = n.leaving
	}
	return m
}

// recordDeparture records whether the member is leaving. When a voter begins to, the leader at once
// starts to replace it, or tells it that no learner can; leader only.
func (n *Node) recordDeparture(id MemberID, leaving bool) {
	p := n.peers[id]
	began := leaving && !p.leaving
	p.leaving = leaving
	if !began || !n.members().IsVoter(id) {
		return
	}
	successor := n.successor()
	n.out.Departures = append(n.out.Departures, Departure{ID: id, Successor: successor})
	n.repairMembership()
	if !n.replacing() {
		n.sendHeartbeatTo(id)
	}
}

// successor returns a live learner that can take the place of a voter of another gateway once it has
// caught up, or an empty id. A new leader does not know yet which learners have caught up.
func (n *Node) successor() MemberID {
	for _, member := range n.members() {
		if !member.Learner || !n.alive(member.ID) || n.peers[member.ID].leaving {
			continue
		}
		if _, ok := n.otherMemberOfGateway(member); !ok {
			return member.ID
		}
	}
	return ""
}

// replacing reports whether a membership change is not complete, or a learner is about to become a
// voter; leader only.
func (n *Node) replacing() bool {
	pending := n.memberships[len(n.memberships)-1].index > n.log.commit
	return pending || n.aboveMaxVoters(n.members()) || n.needsVoter() && n.successor() != ""
}

// notifyRemoved tells a departed member that its removal is committed. It is no member any more, so it
// gets no other message.
func (n *Node) notifyRemoved() {
	if n.removed == "" || n.memberships[len(n.memberships)-1].index > n.log.commit {
		return
	}
	n.send(Message{Kind: MsgHeartbeat, To: n.removed, Leaving: true})
	n.removed = ""
}

// handOverWhileLeaving transfers the leadership of a leaving node that was elected, because a leader
// cannot be replaced. It waits for a voter that stays.
func (n *Node) handOverWhileLeaving() {
	if !n.leaving || n.transferTo != "" || !n.committedInTerm() {
		return
	}
	if to := n.bestSuccessor(); to != "" && !n.peers[to].leaving {
		_ = n.TransferLeadership(to) // to is a voter, so that this cannot fail
	}
}
