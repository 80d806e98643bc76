package consensus

// reads holds the linearizable reads in progress. A read is served at the commit index of
// the moment when its round began, after a quorum answered that round's heartbeat: no other
// leader can have committed anything before the round began.
type reads struct {
	waiting []uint64 // not in a round yet
	lazy    []uint64 // join the next heartbeat's round, or an earlier one
	round   uint64   // last round that began
	pending []pendingRead
}

type pendingRead struct {
	id    uint64
	index uint64
	round uint64
}

// Read asks for a linearizable read. It ends in Output.Reads or Output.FailedReads.
func (n *Node) Read(id uint64) error {
	if n.role != RoleLeader {
		return ErrNotLeader
	}
	n.reads.waiting = append(n.reads.waiting, id)
	return nil
}

// ReadAtHeartbeat asks for a linearizable read as Read does, but sends no heartbeat of its
// own: the read waits for the round of the next one.
func (n *Node) ReadAtHeartbeat(id uint64) error {
	if n.role != RoleLeader {
		return ErrNotLeader
	}
	n.reads.lazy = append(n.reads.lazy, id)
	return nil
}

// sendHeartbeat sends the regular heartbeat, as the round of the lazy reads if there are any.
func (n *Node) sendHeartbeat() {
	r := &n.reads
	r.waiting = append(r.waiting, r.lazy...)
	r.lazy = nil
	if !n.startReadRound() {
		n.broadcastHeartbeat()
	}
}

// startReadRound begins a round for the waiting reads if none is in progress. The reads
// wait until an entry of the current term is committed, because only then is the commit
// index of this leader known to be complete. It reports whether it sent a heartbeat.
func (n *Node) startReadRound() bool {
	r := &n.reads
	if len(r.waiting) == 0 || len(r.pending) > 0 || !n.committedInTerm() {
		return false
	}
	r.round++
	for _, id := range append(r.waiting, r.lazy...) {
		r.pending = append(r.pending, pendingRead{id, n.log.commit, r.round})
	}
	r.waiting = nil
	r.lazy = nil
	n.broadcastHeartbeat()
	n.confirmReads()
	return true
}

// confirmReads ends the reads whose round a quorum has answered.
func (n *Node) confirmReads() {
	r := &n.reads
	for len(r.pending) > 0 && n.roundConfirmed(r.pending[0].round) {
		read := r.pending[0]
		r.pending = r.pending[1:]
		n.out.Reads = append(n.out.Reads, ReadState{ID: read.id, Index: read.index})
	}
}

func (n *Node) roundConfirmed(round uint64) bool {
	answered := 0
	for _, member := range n.members() {
		if !member.Learner && (member.ID == n.id || n.peers[member.ID].round >= round) {
			answered++
		}
	}
	return answered >= n.members().Quorum()
}

func (n *Node) failReads() {
	for _, read := range n.reads.pending {
		n.out.FailedReads = append(n.out.FailedReads, read.id)
	}
	n.out.FailedReads = append(n.out.FailedReads, n.reads.waiting...)
	n.out.FailedReads = append(n.out.FailedReads, n.reads.lazy...)
	n.reads.pending = nil
	n.reads.waiting = nil
	n.reads.lazy = nil
}
