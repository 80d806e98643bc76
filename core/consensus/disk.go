package consensus

// writeState tracks the disk writes of a node and the messages that must not be sent before
// them. Writes are identified by consecutive sequence numbers.
type writeState struct {
	nextSeq      uint64    // sequence number of the next write
	inProgress   uint64    // sequence number of the write in progress, zero if none
	lastEntry    uint64    // index of the last entry of the write in progress that is still in the log
	hardStateSeq uint64    // write that makes the current term and vote durable, zero if they are durable
	install      *Snapshot // received snapshot that the next write installs, nil if none
	installSeq   uint64    // write that installs a snapshot, zero if none
	chunk        *Chunk    // received snapshot chunk for the next write, nil if none
	held         []heldMessage
}

// heldMessage is a message that is sent when a write has completed.
type heldMessage struct {
	after uint64 // sequence number of that write
	m     Message
}

// send queues a message that does not depend on any pending write.
func (n *Node) send(m Message) {
	m.From = n.id
	if m.Term == 0 {
		m.Term = n.hardState.Term
	}
	n.out.Messages = append(n.out.Messages, n.markLeaving(m))
}

// sendWhenDurable queues a message that is sent once the current term and vote and the
// entries up to index are durable. A response that is sent earlier may become false after a
// restart: the node could vote twice in one term, or lack an entry that it acknowledged.
func (n *Node) sendWhenDurable(m Message, index uint64) {
	after := n.writes.hardStateSeq
	if index > 0 {
		after = max(after, n.writes.installSeq)
	}
	if index > n.log.stable {
		after = max(after, n.writeSeqFor(index))
	}
	n.sendAfterWrite(m, after)
}

// sendAfterWrite queues a message that is sent when the write with sequence number after has
// completed, or at once if after is zero.
func (n *Node) sendAfterWrite(m Message, after uint64) {
	if after == 0 {
		n.send(m)
		return
	}
	m.From = n.id
	if m.Term == 0 {
		m.Term = n.hardState.Term
	}
	n.writes.held = append(n.writes.held, heldMessage{after, m})
}

// writeSeqFor returns the sequence number of the write that makes the entry durable.
func (n *Node) writeSeqFor(index uint64) uint64 {
	if index >= n.log.nextToWrite {
		return n.writes.nextSeq
	}
	return n.writes.inProgress
}

func (n *Node) setHardState(h HardState) {
	if n.hardState == h {
		return
	}
	n.hardState = h
	n.writes.hardStateSeq = n.writes.nextSeq
}

// takeWrite returns the next write and marks it as in progress. It returns nil if nothing is
// to be written or a write is in progress already.
func (n *Node) takeWrite() *Write {
	writes := &n.writes
	dirty := writes.hardStateSeq == writes.nextSeq || n.log.nextToWrite <= n.log.lastIndex() || writes.install != nil || writes.chunk != nil
	if writes.inProgress != 0 || !dirty {
		return nil
	}
	w := &Write{Seq: writes.nextSeq, Chunk: writes.chunk, InstallSnapshot: writes.install}
	if writes.hardStateSeq == writes.nextSeq {
		hardState := n.hardState
		w.HardState = &hardState
	}
	w.Entries = n.log.slice(n.log.nextToWrite, n.log.lastIndex())
	n.log.nextToWrite = n.log.lastIndex() + 1
	writes.chunk, writes.install = nil, nil
	writes.inProgress = writes.nextSeq
	writes.lastEntry = n.log.lastIndex()
	writes.nextSeq++
	return w
}

// WriteDone tells the node that the write with sequence number seq is durable. chunkValid is false
// if the write completed a received snapshot whose checksum does not match.
func (n *Node) WriteDone(seq uint64, chunkValid bool) {
	writes := &n.writes
	if seq != writes.inProgress {
		return
	}
	writes.inProgress = 0
	n.log.stable = max(n.log.stable, min(writes.lastEntry, n.log.lastIndex()))
	if writes.hardStateSeq == seq {
		writes.hardStateSeq = 0
		n.countOwnVote()
	}
	n.releaseHeld(seq)
	n.finishInstall(seq)
	n.finishReceiving(seq, chunkValid)
	if n.role == RoleLeader {
		n.peers[n.id].acknowledged(n.log.stable)
		n.advanceCommit()
	}
}

// releaseHeld sends the held messages that waited for the write seq or an earlier one.
func (n *Node) releaseHeld(seq uint64) {
	kept := n.writes.held[:0]
	for _, h := range n.writes.held {
		if h.after <= seq {
			n.send(h.m)
		} else {
			kept = append(kept, h)
		}
	}
	n.writes.held = kept
}

// truncateLog removes the entries from index on, which conflict with the leader's log, and
// the memberships that they hold.
func (n *Node) truncateLog(index uint64) {
	n.log.truncate(index)
	n.writes.lastEntry = min(n.writes.lastEntry, index-1)
	for len(n.memberships) > 1 && n.memberships[len(n.memberships)-1].index >= index {
		n.memberships = n.memberships[:len(n.memberships)-1]
	}
}
