package replica

import "samphirepaddle.example/core/consensus"

// publishLeader updates the leader that Leader returns, and ends the proposals in progress if the
// leadership of this controller has ended.
func (r *Replica) publishLeader() {
	leader := Leader{Term: r.node.Term(), Self: r.node.Role() == consensus.RoleLeader}
	if member, ok := r.node.Members().Find(r.node.Leader()); ok {
		leader.ID = member.Gateway
		leader.PeerAddr = member.Addr
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leader == leader {
		return
	}
	if r.leader.Self && (!leader.Self || leader.Term != r.leader.Term) {
		r.failProposals(ErrOutcomeUnknown)
	}
	r.opts.Logger.Info().Str("leader", string(leader.ID)).Uint64("term", leader.Term).Msg("leader changed")
	r.leader = leader
	r.notifyChanged()
}

// notifyChanged closes the channel that Changed has returned and replaces it. The caller holds mu.
func (r *Replica) notifyChanged() {
	close(r.changed)
	r.changed = make(chan struct{})
}
