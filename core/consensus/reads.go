package consensus

// reads holds the linearizable reads in progress. Reads are confirmed in rounds: the leader
// records its commit index, sends a heartbeat, and serves the reads at that index when a
// quorum has responded. The responses prove that no other leader had committed anything
// before the round began.
type reads struct {
	waiting     []uint64      // not in a round yet
	atHeartbeat []uint64      // wait for the next regular heartbeat or for an earlier round
	round       uint64        // number of the latest round
	pending     []pendingRead // in a round that is not confirmed yet
}

// pendingRead is a read whose round awaits responses from a quorum.
type pendingRead struct {
	id    uint64
	index uint64 // commit index when the round began
	round uint64
}

// Read requests a linearizable read. The result appears in Output.Reads or
// Output.FailedReads under the id.
func (n *Node) Read(id uint64) error {
	if n.role != RoleLeader {
		return ErrNotLeader
	}
	n.reads.waiting = append(n.reads.waiting, id)
	return nil
}

// ReadAtHeartbeat requests a linearizable read like Read, but sends no additional heartbeat:
// the read waits for the next regular heartbeat or for the round of another read.
func (n *Node) ReadAtHeartbeat(id uint64) error {
	if n.role != RoleLeader {
		return ErrNotLeader
	}
	n.reads.atHeartbeat = append(n.reads.atHeartbeat, id)
	return nil
}

// sendHeartbeat sends the regular heartbeat, and starts a read round with it if reads wait.
func (n *Node) sendHeartbeat() {
	r := &n.reads
	r.waiting = append(r.waiting, r.atHeartbeat...)
	r.atHeartbeat = nil
	if !n.startReadRound() {
		n.broadcastHeartbeat()
	}
}

// startReadRound starts a round for the waiting reads by sending a heartbeat, if no round is
// in progress, and reports whether it did. Reads wait until an entry of the current term
// is committed: before that, the commit index may not cover all entries that earlier leaders
// committed.
func (n *Node) startReadRound() bool {
	r := &n.reads
	if len(r.waiting) == 0 || len(r.pending) > 0 || !n.committedInTerm() {
		return false
	}
	r.round++
	for _, id := range append(r.waiting, r.atHeartbeat...) {
		r.pending = append(r.pending, pendingRead{id, n.log.commit, r.round})
	}
	r.waiting = nil
	r.atHeartbeat = nil
	n.broadcastHeartbeat()
	n.confirmReads()
	return true
}

// confirmReads outputs the reads of the rounds that a quorum has confirmed.
func (n *Node) confirmReads() {
	r := &n.reads
	for len(r.pending) > 0 && n.roundConfirmed(r.pending[0].round) {
		read := r.pending[0]
		r.pending = r.pending[1:]
		n.out.Reads = append(n.out.Reads, ReadState{ID: read.id, Index: read.index})
	}
}

// roundConfirmed reports whether a quorum has responded to the heartbeat of the round or of a
// later one.
func (n *Node) roundConfirmed(round uint64) bool {
	responded := 0
	for _, member := range n.members() {
		if !member.Learner && (member.ID == n.id || n.peers[member.ID].round >= round) {
			responded++
		}
	}
	return responded >= n.members().Quorum()
}

// failReads outputs all reads in progress as failed.
func (n *Node) failReads() {
	for _, read := range n.reads.pending {
		n.out.FailedReads = append(n.out.FailedReads, read.id)
	}
	n.out.FailedReads = append(n.out.FailedReads, n.reads.waiting...)
	n.out.FailedReads = append(n.out.FailedReads, n.reads.atHeartbeat...)
	n.reads.pending = nil
	n.reads.waiting = nil
	n.reads.atHeartbeat = nil
}
