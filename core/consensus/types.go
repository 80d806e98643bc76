// Package consensus implements Raft as a deterministic state machine without I/O. The inputs
// of a Node are messages, ticks, proposals, read requests and completed disk writes. TakeOutput
// returns its outputs: messages to send, data to write, committed entries and reads that may
// be served. The package uses no network, files, goroutines or clock, and its only source of
// randomness is passed in.
package consensus

import (
	"slices"
	"strings"

	"samphirepaddle.example/core/model"
)

// MemberID is the random id of a data directory. A VM that has lost its disk gets a new one.
type MemberID string

// Member is one controller of the Raft group.
type Member struct {
	ID      MemberID        `json:"id"`
	Gateway model.GatewayID `json:"gateway"`
	Addr    string          `json:"addr"`
	Learner bool            `json:"learner,omitempty"` // receives the log but does not vote
}

// Membership lists the members of the group, ordered by id.
type Membership []Member

// Find returns the member with the id.
func (m Membership) Find(id MemberID) (Member, bool) {
	for _, member := range m {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// IsVoter reports whether the id is a member with a vote.
func (m Membership) IsVoter(id MemberID) bool {
	member, ok := m.Find(id)
	return ok && !member.Learner
}

// Voters returns the number of members with a vote.
func (m Membership) Voters() int {
	count := 0
	for _, member := range m {
		if !member.Learner {
			count++
		}
	}
	return count
}

// Quorum returns the number of voters that form a majority.
func (m Membership) Quorum() int {
	return m.Voters()/2 + 1
}

// With returns a copy of the membership with the member added or replaced.
func (m Membership) With(member Member) Membership {
	result := append(m.Without(member.ID), member)
	slices.SortFunc(result, func(a, b Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return result
}

// Without returns a copy of the membership without the id.
func (m Membership) Without(id MemberID) Membership {
	result := make(Membership, 0, len(m)+1)
	for _, member := range m {
		if member.ID != id {
			result = append(result, member)
		}
	}
	return result
}

// EncodeMembership encodes the data of a membership entry.
func EncodeMembership(m Membership) ([]byte, error) {
	return model.Encode(m)
}

// DecodeMembership decodes the data of a membership entry.
func DecodeMembership(data []byte) (Membership, error) {
	var m Membership
	err := model.Decode(data, &m)
	return m, err
}

// EntryKind is the kind of data that an entry holds.
type EntryKind uint8

// The kinds of entries.
const (
	EntryCommand    EntryKind = iota // a command of the replicated state
	EntryEmpty                       // appended by a new leader to commit earlier entries
	EntryMembership                  // the complete new membership
)

// Entry is one entry of the replicated log.
type Entry struct {
	_     struct{} `cbor:",toarray"`
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// entryOverhead is added to the size of the data of an entry in size limits, in bytes.
const entryOverhead = 40

func (e Entry) size() int { return len(e.Data) + entryOverhead }

// HardState is the state that must be durable before any message that depends on it is sent.
type HardState struct {
	Term uint64   `json:"term"`
	Vote MemberID `json:"vote"` // empty if the node did not vote in Term
}

// Snapshot describes a snapshot of the replicated state after entry Index. The storage holds
// its data.
type Snapshot struct {
	Index   uint64     `json:"index"`
	Term    uint64     `json:"term"`
	Members Membership `json:"members"`
	Size    uint64     `json:"size"` // of the data, in bytes
	CRC     uint32     `json:"crc"`  // CRC-32C of the data
}

func (s Snapshot) same(o Snapshot) bool {
	return s.Index == o.Index && s.Term == o.Term && s.Size == o.Size && s.CRC == o.CRC
}

// Chunk is a part of the data of a snapshot. A Node leaves Data empty in its outgoing messages;
// the driver fills in up to Length bytes before it sends them.
type Chunk struct {
	Snapshot Snapshot `json:"snapshot"`
	Offset   uint64   `json:"offset"`
	Length   uint64   `json:"length"`
	Data     []byte   `json:"data"`
}

// Last reports whether this is the last chunk of the snapshot.
func (c Chunk) Last() bool {
	return c.Offset+uint64(len(c.Data)) == c.Snapshot.Size
}

// MessageKind is the kind of a request or response between members.
type MessageKind uint8

// The kinds of messages.
const (
	MsgPreVote MessageKind = iota + 1
	MsgPreVoteResponse
	MsgVote
	MsgVoteResponse
	MsgAppend
	MsgAppendResponse
	MsgHeartbeat
	MsgHeartbeatResponse
	MsgSnapshot
	MsgSnapshotResponse
	MsgTimeoutNow // asks the receiver to start an election immediately
)

// Message is a request or response between members.
type Message struct {
	Kind MessageKind `cbor:"1,keyasint"`
	From MemberID    `cbor:"2,keyasint"`
	To   MemberID    `cbor:"3,keyasint"`
	Term uint64      `cbor:"4,keyasint"` // term of the sender; in MsgPreVote and its positive response, the proposed term

	// Index is the index of the entry before Entries (MsgAppend), of the last entry of the
	// candidate (MsgPreVote, MsgVote), of the last matching or the refused entry
	// (MsgAppendResponse), or of the snapshot (MsgSnapshotResponse).
	Index             uint64  `cbor:"5,keyasint,omitempty"`
	LogTerm           uint64  `cbor:"6,keyasint,omitempty"` // term of the entry at Index, or at Hint if Refused
	Commit            uint64  `cbor:"7,keyasint,omitempty"`
	Entries           []Entry `cbor:"8,keyasint,omitempty"`
	Refused           bool    `cbor:"9,keyasint,omitempty"`
	Hint              uint64  `cbor:"10,keyasint,omitempty"` // with Refused: index at which the logs may match
	Round             uint64  `cbor:"11,keyasint,omitempty"` // read round of a heartbeat; the response repeats it
	TransferRequested bool    `cbor:"12,keyasint,omitempty"` // MsgVote: the leader requested the election to transfer the leadership
	Chunk             *Chunk  `cbor:"13,keyasint,omitempty"`
	Offset            uint64  `cbor:"14,keyasint,omitempty"` // MsgSnapshotResponse: offset of the next expected byte

	// Leaving says in a response to the leader that the process of the sender is shutting down. In
	// MsgHeartbeat, it says that the leader knows this of the receiver and no longer waits for a
	// learner to take its place. Earlier versions ignore it.
	Leaving bool `cbor:"15,keyasint,omitempty"`
}

// ReadState is a confirmed read, which may be served once entry Index is applied.
type ReadState struct {
	ID    uint64
	Index uint64
}

// Write is data that must be made durable, in the order of the fields, before Node.WriteDone
// is called with Seq.
type Write struct {
	Seq             uint64
	HardState       *HardState // nil if unchanged
	Chunk           *Chunk     // received chunk of a snapshot; the data need not be synced before the last chunk
	InstallSnapshot *Snapshot  // the received snapshot replaces the log; nil if none
	Entries         []Entry    // replace the stored entries from the index of the first one on
}

// Output is the work that the driver must do after it has passed inputs to a Node.
type Output struct {
	Messages        []Message
	Write           *Write      // nil if there is nothing to write or a write is in progress
	InstallSnapshot *Snapshot   // replaces the replicated state before Committed is applied; nil if none
	Committed       []Entry     // to be applied in this order
	Reads           []ReadState // confirmed reads
	FailedReads     []uint64    // reads that ended because the leader changed
	Departures      []Departure // voters that have announced their shutdown; leader only
}

// Departure is a voter whose process shuts down, and the learner that is to take its place once it has
// caught up.
type Departure struct {
	ID        MemberID
	Successor MemberID // empty if there is no live learner
}
