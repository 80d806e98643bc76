// Package consensus is a Raft implementation as a pure, deterministic step function. A Node
// takes messages, ticks, proposals, read requests and notices of finished disk writes; Take
// returns the messages to send, the records to write, the committed entries and the reads
// that may be served. The package has no network, files, goroutines or clock, and its only
// source of randomness is passed in.
package consensus

import (
	"slices"
	"strings"

	"samphirepaddle.example/core/model"
)

// MemberID is the random id of a data directory. A VM that lost its disk has a new one.
type MemberID string

// Member is one controller of the group.
type Member struct {
	ID      MemberID        `json:"id"`
	Gateway model.GatewayID `json:"gateway"`
	Addr    string          `json:"addr"`
	Learner bool            `json:"learner,omitempty"` // receives the log and has no vote
}

// Membership is the members of the group, ordered by id.
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

// Quorum returns the number of votes that is a majority.
func (m Membership) Quorum() int {
	return m.Voters()/2 + 1
}

// With returns the membership with the member added or replaced.
func (m Membership) With(member Member) Membership {
	result := append(m.Without(member.ID), member)
	slices.SortFunc(result, func(a, b Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return result
}

// Without returns the membership without the id.
func (m Membership) Without(id MemberID) Membership {
	result := make(Membership, 0, len(m)+1)
	for _, member := range m {
		if member.ID != id {
			result = append(result, member)
		}
	}
	return result
}

// EncodeMembership returns the data of a membership entry.
func EncodeMembership(m Membership) ([]byte, error) {
	return model.Encode(m)
}

// DecodeMembership reads the data of a membership entry.
func DecodeMembership(data []byte) (Membership, error) {
	var m Membership
	err := model.Decode(data, &m)
	return m, err
}

// EntryKind says what an entry holds.
type EntryKind uint8

// The kinds of entries.
const (
	EntryCommand    EntryKind = iota // a command of the replicated state
	EntryEmpty                       // appended by a new leader to commit earlier entries
	EntryMembership                  // the complete new membership
)

// Entry is one entry of the log.
type Entry struct {
	_     struct{} `cbor:",toarray"`
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// entryOverhead is the counted size of an entry without its data, in bytes.
const entryOverhead = 40

func (e Entry) size() int { return len(e.Data) + entryOverhead }

// HardState is the part of the state that must be durable before any answer that depends
// on it.
type HardState struct {
	Term uint64   `json:"term"`
	Vote MemberID `json:"vote"` // empty if no vote was given in Term
}

// Snapshot describes a snapshot of the replicated state; the data is kept outside.
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

// Chunk is a part of a snapshot's data. A Node leaves Data empty in the messages that it
// sends; the driver fills in up to Length bytes before it sends them.
type Chunk struct {
	Snapshot Snapshot `json:"snapshot"`
	Offset   uint64   `json:"offset"`
	Length   uint64   `json:"length"`
	Data     []byte   `json:"data"`
}

// Last reports whether the chunk ends the snapshot.
func (c Chunk) Last() bool {
	return c.Offset+uint64(len(c.Data)) == c.Snapshot.Size
}

// MessageKind says what a message asks or answers.
type MessageKind uint8

// The kinds of messages.
const (
	MsgPreVote MessageKind = iota + 1
	MsgPreVoteAnswer
	MsgVote
	MsgVoteAnswer
	MsgAppend
	MsgAppendAnswer
	MsgHeartbeat
	MsgHeartbeatAnswer
	MsgSnapshot
	MsgSnapshotAnswer
	MsgTimeoutNow // asks the receiver to campaign at once
)

// Message is sent between members.
type Message struct {
	Kind MessageKind `cbor:"1,keyasint"`
	From MemberID    `cbor:"2,keyasint"`
	To   MemberID    `cbor:"3,keyasint"`
	Term uint64      `cbor:"4,keyasint"` // of the sender; the proposed term in MsgPreVote

	// Index is the entry before Entries (MsgAppend), the last entry of the candidate
	// (MsgPreVote, MsgVote), or the last matching or the refused entry (MsgAppendAnswer).
	Index   uint64  `cbor:"5,keyasint,omitempty"`
	LogTerm uint64  `cbor:"6,keyasint,omitempty"` // term of the entry at Index
	Commit  uint64  `cbor:"7,keyasint,omitempty"`
	Entries []Entry `cbor:"8,keyasint,omitempty"`
	Refused bool    `cbor:"9,keyasint,omitempty"`
	Hint    uint64  `cbor:"10,keyasint,omitempty"` // with Refused: where the logs may match
	Round   uint64  `cbor:"11,keyasint,omitempty"` // of heartbeats; the answer repeats it
	Forced  bool    `cbor:"12,keyasint,omitempty"` // vote for a transfer that the leader asked for
	Chunk   *Chunk  `cbor:"13,keyasint,omitempty"`
	Offset  uint64  `cbor:"14,keyasint,omitempty"` // MsgSnapshotAnswer: next byte that is expected
}

// ReadState says that a read may be served once entry Index is applied.
type ReadState struct {
	ID    uint64
	Index uint64
}

// Write is what must be durable, in this order, before Node.WriteDone is called with Seq.
type Write struct {
	Seq     uint64
	Hard    *HardState // nil if unchanged
	Chunk   *Chunk     // received part of a snapshot; the data need not be synced before the last part
	Install *Snapshot  // the received snapshot replaces the log
	Entries []Entry    // replaces everything from the first entry's index on
}

// Output is what the driver must do after it gave inputs to a Node.
type Output struct {
	Messages    []Message
	Write       *Write      // nil if nothing is to be written or a write is in progress
	Install     *Snapshot   // the replicated state must be replaced before Committed is applied
	Committed   []Entry     // to be applied in order
	Reads       []ReadState // confirmed reads
	FailedReads []uint64    // reads that ended because the leader changed
}
