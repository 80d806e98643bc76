package consensus

// disk tracks what was handed out for writing and the messages that wait for it.
type disk struct {
	next        uint64 // number of the next write
	outstanding uint64 // number of the write in progress, zero if none
	last        uint64 // last entry of the write in progress that is still in the log
	hard        uint64 // write that makes the present term and vote durable, zero if they are
	install     *Snapshot
	installed   uint64 // write that installs a snapshot, zero if none
	chunk       *Chunk
	held        []heldMessage
}

type heldMessage struct {
	after uint64 // write that must be done first
	m     Message
}

// send queues a message that depends on nothing that is still to be written.
func (n *Node) send(m Message) {
	m.From = n.id
	if m.Term == 0 {
		m.Term = n.hard.Term
	}
	n.out.Messages = append(n.out.Messages, m)
}

// answer queues a message once the present term and vote and the entries up to index are
// durable. An answer that left earlier could be contradicted after a restart: a second vote
// in one term, or an acknowledged entry that is gone.
func (n *Node) answer(m Message, index uint64) {
	after := n.disk.hard
	if index > 0 {
		after = max(after, n.disk.installed)
	}
	if index > n.log.stable {
		after = max(after, n.writeOf(index))
	}
	n.hold(m, after)
}

func (n *Node) hold(m Message, after uint64) {
	if after == 0 {
		n.send(m)
		return
	}
	m.From = n.id
	if m.Term == 0 {
		m.Term = n.hard.Term
	}
	n.disk.held = append(n.disk.held, heldMessage{after, m})
}

// writeOf returns the write that makes the entry durable.
func (n *Node) writeOf(index uint64) uint64 {
	if index >= n.log.unsaved {
		return n.disk.next
	}
	return n.disk.outstanding
}

func (n *Node) setHard(h HardState) {
	if n.hard == h {
		return
	}
	n.hard = h
	n.disk.hard = n.disk.next
}

// takeWrite hands out the next write if none is in progress.
func (n *Node) takeWrite() *Write {
	d := &n.disk
	dirty := d.hard == d.next || n.log.unsaved <= n.log.last() || d.install != nil || d.chunk != nil
	if d.outstanding != 0 || !dirty {
		return nil
	}
	w := &Write{Seq: d.next, Chunk: d.chunk, Install: d.install}
	if d.hard == d.next {
		hard := n.hard
		w.Hard = &hard
	}
	w.Entries = n.log.slice(n.log.unsaved, n.log.last())
	n.log.unsaved = n.log.last() + 1
	d.chunk, d.install = nil, nil
	d.outstanding = d.next
	d.last = n.log.last()
	d.next++
	return w
}

// WriteDone says that the write is durable. chunkValid is false if the write ended a
// received snapshot whose checksum was wrong.
func (n *Node) WriteDone(seq uint64, chunkValid bool) {
	d := &n.disk
	if seq != d.outstanding {
		return
	}
	d.outstanding = 0
	n.log.stable = max(n.log.stable, min(d.last, n.log.last()))
	if d.hard == seq {
		d.hard = 0
		n.countOwnVote()
	}
	n.releaseHeld(seq)
	n.finishInstall(seq)
	n.finishChunk(seq, chunkValid)
	if n.role == RoleLeader {
		n.peers[n.id].acknowledged(n.log.stable)
		n.advanceCommit()
	}
}

func (n *Node) releaseHeld(seq uint64) {
	kept := n.disk.held[:0]
	for _, h := range n.disk.held {
		if h.after <= seq {
			n.send(h.m)
		} else {
			kept = append(kept, h)
		}
	}
	n.disk.held = kept
}

// truncateLog removes entries that conflict with the leader's.
func (n *Node) truncateLog(index uint64) {
	n.log.truncate(index)
	n.disk.last = min(n.disk.last, index-1)
	for len(n.configs) > 1 && n.configs[len(n.configs)-1].index >= index {
		n.configs = n.configs[:len(n.configs)-1]
	}
}
