package consensus

// progressMode says how the leader sends entries to a member.
type progressMode uint8

const (
	modeProbe     progressMode = iota // one message at a time until the logs match
	modeReplicate                     // messages are sent ahead of the answers
	modeSnapshot                      // the member needs entries that are compacted
)

// progress is what the leader knows of one member.
type progress struct {
	mode     progressMode
	match    uint64   // last entry known to be durable on the member
	next     uint64   // next entry to send
	inflight []uint64 // last entries of the messages without an answer
	paused   bool     // modeProbe: a probe is in progress
	silent   int      // ticks since the last message from the member
	stalled  int      // ticks since match changed or an answer came
	round    uint64   // last heartbeat round that the member answered

	snapshot Snapshot // modeSnapshot: what is being sent
	offset   uint64
}

func (p *progress) probe(next uint64) {
	p.mode = modeProbe
	p.next = max(next, p.match+1)
	p.inflight = nil
	p.paused = false
	p.stalled = 0
}

func (p *progress) replicate() {
	p.mode = modeReplicate
	p.next = p.match + 1
	p.inflight = nil
	p.paused = false
}

// acknowledged records that the member has the entries up to the index.
func (p *progress) acknowledged(index uint64) {
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	p.stalled = 0
	for len(p.inflight) > 0 && p.inflight[0] <= index {
		p.inflight = p.inflight[1:]
	}
}

// Progress is the leader's view of one member.
type Progress struct {
	Match    uint64 `json:"match"`    // last entry known to be durable on the member
	Silent   int    `json:"silent"`   // ticks since the last message
	Snapshot bool   `json:"snapshot"` // the member is receiving a snapshot
}
