package consensus

// progressMode is the way in which the leader sends entries to a member.
type progressMode uint8

const (
	modeProbe     progressMode = iota // one message at a time until the logs match
	modeReplicate                     // messages are sent without waiting for responses
	modeSnapshot                      // the member needs entries that were compacted
)

// progress is the replication state of one member, as known to the leader.
type progress struct {
	mode                 progressMode
	match                uint64   // last entry known to be durable on the member
	next                 uint64   // next entry to send
	inflight             []uint64 // last entries of the unacknowledged messages
	paused               bool     // modeProbe: a probe awaits its response
	ticksSinceMessage    int      // since the last message from the member
	ticksWithoutProgress int      // since the last acknowledgement or the start of a probe or snapshot
	round                uint64   // latest read round whose heartbeat the member responded to
	leaving              bool     // the last response of the member says that its process is shutting down

	snapshot Snapshot // modeSnapshot: the snapshot that is being sent
	offset   uint64   // modeSnapshot: offset of the chunk that is being sent
}

// probe switches to modeProbe, with the given next entry unless the member has it already.
func (p *progress) probe(next uint64) {
	p.mode = modeProbe
	p.next = max(next, p.match+1)
	p.inflight = nil
	p.paused = false
	p.ticksWithoutProgress = 0
}

// replicate switches to modeReplicate.
func (p *progress) replicate() {
	p.mode = modeReplicate
	p.next = p.match + 1
	p.inflight = nil
	p.paused = false
}

// acknowledged records that the entries up to the index are durable on the member.
func (p *progress) acknowledged(index uint64) {
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	p.ticksWithoutProgress = 0
	for len(p.inflight) > 0 && p.inflight[0] <= index {
		p.inflight = p.inflight[1:]
	}
}

// Progress is the leader's view of one member.
type Progress struct {
	MatchIndex        uint64 `json:"match"`    // last entry known to be durable on the member
	TicksSinceMessage int    `json:"silent"`   // ticks since the last message
	ReceivingSnapshot bool   `json:"snapshot"` // the member is receiving a snapshot
}
