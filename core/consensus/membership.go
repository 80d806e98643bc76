package consensus

import "errors"

// Errors of membership changes. Nothing was appended when one is returned.
var (
	ErrNoSuccessor        = errors.New("no other voter can take over")
	ErrNotMember          = errors.New("no such member")
	ErrCannotRemoveLeader = errors.New("the leader cannot be removed; transfer the leadership first")
	ErrLastVoter          = errors.New("the last voter cannot be removed")
	ErrQuorumLost         = errors.New("too few voters of the new membership respond; the group would lose its quorum")
)

const (
	// maxPromotionLag is the maximum number of entries that a learner may be behind the commit
	// index when it is promoted. Under load a learner is always some entries behind.
	maxPromotionLag = 128
	// replaceElectionTimeouts is the number of minimum election timeouts without a message
	// after which the leader replaces a member by a learner. The delay keeps a second VM
	// that has the same gateway id by mistake from replacing a live member.
	replaceElectionTimeouts = 4
	// spareElectionTimeouts is the same for a voter whose place a learner of another VM takes. A voter that
	// returns becomes a learner, so that a mistake costs little.
	spareElectionTimeouts = 2
)

// Add adds the member as a learner, which is promoted to a voter when it has caught up. If
// the id is a member already, only its address is changed.
func (n *Node) Add(member Member) error {
	member.Learner = true
	if old, ok := n.members().Find(member.ID); ok {
		if old.Addr == member.Addr {
			return nil
		}
		member.Learner = old.Learner
		member.Gateway = old.Gateway
	}
	return n.change(n.members().With(member))
}

// Remove removes a member other than the leader.
func (n *Node) Remove(id MemberID) error {
	members := n.members()
	if _, ok := members.Find(id); !ok {
		return ErrNotMember
	}
	if id == n.id {
		return ErrCannotRemoveLeader
	}
	if members.IsVoter(id) && members.Voters() == 1 {
		return ErrLastVoter
	}
	leaving := n.peers[id] != nil && n.peers[id].leaving
	if err := n.change(members.Without(id)); err != nil {
		return err
	}
	if leaving {
		n.removed = id
	}
	return nil
}

// change appends a new membership, which takes effect immediately. It differs from the current
// one by a single member, so that every quorum of one overlaps every quorum of the other.
func (n *Node) change(members Membership) error {
	if err := n.checkChangeAllowed(); err != nil {
		return err
	}
	if !n.hasLiveQuorum(members) {
		return ErrQuorumLost
	}
	data, err := EncodeMembership(members)
	if err != nil {
		return err
	}
	index := n.appendAsLeader(EntryMembership, data)
	n.memberships = append(n.memberships, indexedMembership{index, members})
	n.updatePeers()
	return nil
}

// hasLiveQuorum reports whether the live members that are voters both now and in the new
// membership form a quorum of the new one. A change without a quorum could neither be
// committed nor reverted. A learner that is being promoted is not counted, because the group
// must keep its quorum if that learner loses its disk at this moment. There are two exceptions: a
// group with one voter, which cannot grow without depending on the new voter, and a learner that
// is promoted in place of a silent voter, which counts again when it returns.
func (n *Node) hasLiveQuorum(members Membership) bool {
	now := n.members()
	learnersCount := now.Voters() == 1 || n.aboveMaxVoters(members)
	alive := 0
	for _, member := range members {
		counts := now.IsVoter(member.ID) || learnersCount
		if !member.Learner && counts && n.alive(member.ID) {
			alive++
		}
	}
	return alive >= members.Quorum()
}

// checkChangeAllowed returns an error if the membership may not be changed now.
func (n *Node) checkChangeAllowed() error {
	if n.role != RoleLeader {
		return ErrNotLeader
	}
	if n.transferTo != "" {
		return ErrTransferring
	}
	if n.memberships[len(n.memberships)-1].index > n.log.commit {
		return ErrChangePending
	}
	// Until an entry of the current term is committed, another member may hold an uncommitted
	// change of an earlier leader. The quorums of that change and of a new one need not
	// overlap.
	if !n.committedInTerm() {
		return ErrNoCommitInTerm
	}
	return nil
}

// repairMembership makes at most one membership change to promote a learner or to replace a
// member that has lost its disk.
//
// When a VM restarts with a new data directory, its old id is removed first and its new id is
// promoted afterwards. If one of three voters is lost, the removal leaves two voters with a
// quorum of two, the same two that were needed before. Promoting first would result in four
// voters with a quorum of three, one of them permanently lost, so the group would lose its
// quorum if the new voter failed as well. It would also give one VM two votes. The learner
// must have caught up before the removal, so that the group has fewer voters only until two
// changes are committed.
//
// With MaxVoters, a learner of another VM takes the place of a voter that is silent, whose disk may
// be intact, or that is leaving (see Leave). The learner is promoted first, and that voter is removed
// when this is committed. If the removal came first and another voter lost its disk at this moment, the group would never
// have a quorum again: the leader would need the vote of the lost disk, and the silent voter would
// no longer count when it returns.
func (n *Node) repairMembership() {
	if n.checkChangeAllowed() != nil || n.removeSurplusVoter() {
		return
	}
	for _, member := range n.members() {
		if !member.Learner || !n.alive(member.ID) {
			continue
		}
		if n.promoteOrReplace(member) {
			return
		}
	}
}

// removeSurplusVoter removes the silent or leaving voter whose place a promoted learner has taken. It
// reports whether it made a change. If that voter has returned meanwhile, all voters stay until one
// is silent or leaving.
func (n *Node) removeSurplusVoter() bool {
	if !n.aboveMaxVoters(n.members()) {
		return false
	}
	voter, ok := n.replaceableVoter()
	return ok && n.Remove(voter.ID) == nil
}

// promoteOrReplace promotes the learner, or removes the member of the same gateway that it is to
// replace. It reports whether it made a change.
func (n *Node) promoteOrReplace(learner Member) bool {
	if old, ok := n.otherMemberOfGateway(learner); ok {
		ready := old.Learner || n.caughtUp(learner.ID)
		return ready && n.isSilent(old.ID) && n.Remove(old.ID) == nil
	}
	if !n.caughtUp(learner.ID) || !n.needsVoter() {
		return false
	}
	learner.Learner = false
	return n.change(n.members().With(learner)) == nil
}

// needsVoter reports whether a learner is to be promoted. When the maximum number of voters is
// reached, another voter is needed only in place of a silent or leaving one.
func (n *Node) needsVoter() bool {
	voters := n.members().Voters()
	if n.opts.MaxVoters == 0 || voters < n.opts.MaxVoters {
		return true
	}
	_, ok := n.replaceableVoter()
	return ok && voters == n.opts.MaxVoters
}

func (n *Node) aboveMaxVoters(members Membership) bool {
	return n.opts.MaxVoters > 0 && members.Voters() > n.opts.MaxVoters
}

// isSilent reports whether no message of the member arrived for so long that it may be replaced.
func (n *Node) isSilent(id MemberID) bool {
	return n.peers[id].ticksSinceMessage >= replaceElectionTimeouts*n.opts.ElectionTicks
}

// isReplaceable reports whether a learner of another VM may take the place of the voter.
func (n *Node) isReplaceable(id MemberID) bool {
	p := n.peers[id]
	return p.leaving || p.ticksSinceMessage >= spareElectionTimeouts*n.opts.ElectionTicks
}

// otherMemberOfGateway returns another member with the same gateway id as the learner.
func (n *Node) otherMemberOfGateway(learner Member) (Member, bool) {
	for _, member := range n.members() {
		if member.Gateway == learner.Gateway && member.ID != learner.ID {
			return member, true
		}
	}
	return Member{}, false
}

// replaceableVoter returns the voter, other than this node, that is silent or leaving and whose last
// message is the oldest.
func (n *Node) replaceableVoter() (Member, bool) {
	var longest Member
	found := false
	for _, member := range n.members() {
		if member.Learner || member.ID == n.id || !n.isReplaceable(member.ID) {
			continue
		}
		if !found || n.peers[member.ID].ticksSinceMessage > n.peers[longest.ID].ticksSinceMessage {
			longest, found = member, true
		}
	}
	return longest, found
}

// alive reports whether a message of the member arrived within the minimum election timeout;
// leader only.
func (n *Node) alive(id MemberID) bool {
	return n.peers[id].ticksSinceMessage < n.opts.ElectionTicks
}

// caughtUp reports whether the learner is alive, stays, and is close enough to the commit index to be
// promoted.
func (n *Node) caughtUp(id MemberID) bool {
	p := n.peers[id]
	return p.mode == modeReplicate && p.match+maxPromotionLag >= n.log.commit && n.alive(id) && !p.leaving
}
