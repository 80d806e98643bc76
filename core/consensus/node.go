package consensus

import (
	"errors"
	"fmt"
	"math/rand/v2"
)

// Role is the Raft role of a node.
type Role uint8

// The roles.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// Errors of proposals and membership changes. Nothing was appended when one is returned.
var (
	ErrNotLeader        = errors.New("not the leader")
	ErrTransferring     = errors.New("leadership is being transferred")
	ErrUncommittedLimit = errors.New("too many uncommitted bytes")
	ErrChangePending    = errors.New("another membership change is not committed yet")
	ErrNoCommitInTerm   = errors.New("no entry of the current term is committed yet")
)

// Options are the settings of a Node. All fields except MaxVoters and Saved must be set.
type Options struct {
	ID   MemberID
	Rand *rand.Rand // randomizes election timeouts

	HeartbeatTicks int
	ElectionTicks  int // minimum election timeout; timeouts are random between this and twice this

	MaxBatchBytes       int // maximum size of the entries or snapshot data in one message
	MaxInflight         int // maximum number of unacknowledged messages with entries to one member
	MaxUncommittedBytes int // maximum size of uncommitted entries; further proposals are refused

	// MaxVoters is the maximum number of voters; 0 is unlimited. When it is reached, a learner
	// is promoted only in place of a voter from which no messages arrive. Until that voter is
	// removed, there is one voter more.
	MaxVoters int

	Saved Saved
}

// Saved is the persistent state that the storage holds at the start.
type Saved struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry // contiguous; the first index is at most Snapshot.Index+1
}

// Node is one member of the group. It is not safe for concurrent use.
type Node struct {
	id   MemberID
	opts Options
	log  *memoryLog

	hardState HardState
	role      Role
	leader    MemberID

	ticksElapsed      int // since the election timer was reset, or since the last heartbeat of a leader
	electionTimeout   int // ticks
	ticksSinceLeader  int // since the last message of the leader
	votes             map[MemberID]bool
	transferRequested bool // the leader requested this campaign to transfer the leadership

	peers         map[MemberID]*progress // leader only; includes the leader itself
	uncommitted   int                    // size of the entries of this term that are not committed, in bytes
	transferTo    MemberID
	transferTicks int
	removed       MemberID // leader only; a departed member that is told when its removal is committed

	leaving    bool // Leave was called
	leaveKnown bool // the leader knows it, and waits for no learner to take the place of this node

	memberships []indexedMembership // of the snapshot and of later entries; the last one is in force
	reads       reads

	snapshot Snapshot          // newest snapshot; durable unless the write that installs it is pending
	incoming *incomingSnapshot // snapshot that is being received, nil if none

	writes writeState
	out    Output
}

// indexedMembership is a membership and the index of the entry that holds it.
type indexedMembership struct {
	index   uint64
	members Membership
}

// New returns a node that continues from the saved state.
func New(opts Options) (*Node, error) {
	if opts.ID == "" || opts.Rand == nil || opts.HeartbeatTicks < 1 || opts.ElectionTicks <= opts.HeartbeatTicks ||
		opts.MaxBatchBytes < 1 || opts.MaxInflight < 1 || opts.MaxUncommittedBytes < 1 {
		return nil, errors.New("consensus: the options are incomplete")
	}
	log, err := newMemoryLog(opts.Saved.Snapshot, opts.Saved.Entries)
	if err != nil {
		return nil, err
	}
	n := &Node{
		id:          opts.ID,
		opts:        opts,
		log:         log,
		hardState:   opts.Saved.HardState,
		snapshot:    opts.Saved.Snapshot,
		memberships: []indexedMembership{{opts.Saved.Snapshot.Index, opts.Saved.Snapshot.Members}},
		writes:      writeState{nextSeq: 1},
	}
	n.opts.Saved = Saved{}
	for _, e := range log.entries {
		if e.Index > n.snapshot.Index {
			if err := n.recordMembership(e); err != nil {
				return nil, err
			}
		}
	}
	n.becomeFollower(n.hardState.Term, "")
	return n, nil
}

// Tick advances the logical clock by one tick.
func (n *Node) Tick() {
	n.ticksElapsed++
	n.ticksSinceLeader++
	if n.role == RoleLeader {
		n.tickLeader()
		return
	}
	if n.ticksElapsed < n.electionTimeout {
		return
	}
	n.resetElectionTimer()
	if n.promotable() {
		n.campaign(RolePreCandidate)
		return
	}
	// The change that added this learner may have been dropped with its leader, and no later leader would
	// know it.
	n.leader = ""
}

// promotable reports whether the node may become leader. It may not while a completely
// received snapshot is about to replace its log.
func (n *Node) promotable() bool {
	return n.members().IsVoter(n.id) && (n.incoming == nil || !n.incoming.complete)
}

func (n *Node) resetElectionTimer() {
	n.ticksElapsed = 0
	n.electionTimeout = n.opts.ElectionTicks + n.opts.Rand.IntN(n.opts.ElectionTicks)
}

// Step processes a message from another member.
func (n *Node) Step(m Message) {
	// A message for another id is meant for an earlier data directory of this VM.
	if m.To != n.id || m.From == n.id || !entriesValid(m) {
		return
	}
	switch {
	case m.Term > n.hardState.Term:
		if !n.adoptTerm(m) {
			return
		}
	case m.Term < n.hardState.Term:
		n.rejectOldTerm(m)
		return
	}
	n.dispatch(m)
}

// adoptTerm handles the term of a message whose term is greater than the current one. It
// reports whether the message is to be processed further.
func (n *Node) adoptTerm(m Message) bool {
	switch m.Kind {
	case MsgPreVote:
		return true
	case MsgPreVoteResponse:
		if !m.Refused {
			return true // a granted pre-vote carries the proposed term, which no member has adopted
		}
	case MsgVote:
		if n.leaderIsAlive() && !m.TransferRequested {
			return false
		}
	}
	leader := MemberID("")
	if m.Kind == MsgAppend || m.Kind == MsgHeartbeat || m.Kind == MsgSnapshot {
		leader = m.From
	}
	n.becomeFollower(m.Term, leader)
	return true
}

// leaderIsAlive reports whether a message of the leader arrived within the minimum election
// timeout. Votes are refused then, so that a member that is partitioned from the leader, or
// that was removed, does not depose the leader.
func (n *Node) leaderIsAlive() bool {
	return n.role == RoleLeader || (n.leader != "" && n.ticksSinceLeader < n.opts.ElectionTicks)
}

// rejectOldTerm informs the sender of a message of an earlier term about the current term.
func (n *Node) rejectOldTerm(m Message) {
	switch m.Kind {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		// The response makes an old leader step down. Without it, a member with a greater term
		// could never rejoin, because pre-votes are refused while that leader is alive.
		n.sendWhenDurable(Message{Kind: MsgAppendResponse, To: m.From, Refused: true, Index: m.Index}, 0)
	case MsgPreVote:
		n.sendWhenDurable(Message{Kind: MsgPreVoteResponse, To: m.From, Refused: true}, 0)
	}
}

func (n *Node) dispatch(m Message) {
	switch m.Kind {
	case MsgPreVote:
		n.handlePreVote(m)
	case MsgVote:
		n.handleVote(m)
	case MsgPreVoteResponse:
		n.handleVoteResponse(m, RolePreCandidate)
	case MsgVoteResponse:
		n.handleVoteResponse(m, RoleCandidate)
	case MsgAppend:
		n.handleAppend(m)
	case MsgHeartbeat:
		n.handleHeartbeat(m)
	case MsgSnapshot:
		n.handleSnapshot(m)
	case MsgAppendResponse, MsgHeartbeatResponse, MsgSnapshotResponse:
		n.handlePeerResponse(m)
	case MsgTimeoutNow:
		n.handleTimeoutNow(m)
	}
}

// entriesValid reports whether the entries of a message are contiguous and decodable, and
// whether a snapshot message has a chunk.
func entriesValid(m Message) bool {
	for i, e := range m.Entries {
		if e.Index != m.Index+uint64(i)+1 || e.Term > m.Term {
			return false
		}
		if e.Kind != EntryMembership {
			continue
		}
		if _, err := DecodeMembership(e.Data); err != nil {
			return false
		}
	}
	return m.Kind != MsgSnapshot || m.Chunk != nil
}

// Propose appends a command to the log and returns its index and term.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if n.role != RoleLeader {
		return 0, 0, ErrNotLeader
	}
	if n.transferTo != "" {
		return 0, 0, ErrTransferring
	}
	if n.uncommitted > 0 && n.uncommitted+len(data) > n.opts.MaxUncommittedBytes {
		return 0, 0, ErrUncommittedLimit
	}
	return n.appendAsLeader(EntryCommand, data), n.hardState.Term, nil
}

// TakeOutput returns the output that has accumulated since the last call. At most one write is
// in progress at a time; further changes are collected into the next write.
func (n *Node) TakeOutput() Output {
	if n.role == RoleLeader {
		n.startReadRound()
		n.sendEntries()
	}
	out := n.out
	n.out = Output{}
	out.Write = n.takeWrite()
	// Only entries that are durable on this node are applied, so that a snapshot never covers
	// more than the local log.
	to := min(n.log.commit, n.log.stable)
	if to > n.log.delivered {
		out.Committed = n.log.slice(n.log.delivered+1, to)
		n.log.delivered = to
	}
	return out
}

// Status describes the state of a node for status reports.
type Status struct {
	ID            MemberID
	Role          Role
	Term          uint64
	Leader        MemberID // empty if none is known
	CommitIndex   uint64
	LastIndex     uint64
	LogBytes      int    // size of the entries in memory, including overhead
	SnapshotIndex uint64 // index of the newest snapshot
	Members       Membership
	MembersIndex  uint64                // of the entry that holds Members
	Committed     Membership            // the newest committed membership; empty before the first commit
	CommittedAt   uint64                // index of the entry that holds Committed
	ChangePending bool                  // Members is not committed yet
	Progress      map[MemberID]Progress // leader only
}

// Status returns the current state.
func (n *Node) Status() Status {
	s := Status{
		ID: n.id, Role: n.role, Term: n.hardState.Term, Leader: n.leader,
		CommitIndex: n.log.commit, LastIndex: n.log.lastIndex(), LogBytes: n.log.bytes,
		SnapshotIndex: n.snapshot.Index, Members: n.members(), MembersIndex: n.memberships[len(n.memberships)-1].index,
		ChangePending: n.memberships[len(n.memberships)-1].index > n.log.commit,
	}
	for _, m := range n.memberships {
		if m.index <= n.log.commit {
			s.Committed, s.CommittedAt = m.members, m.index
		}
	}
	if n.role == RoleLeader {
		s.Progress = map[MemberID]Progress{}
		for id, p := range n.peers {
			s.Progress[id] = Progress{MatchIndex: p.match, TicksSinceMessage: p.ticksSinceMessage, ReceivingSnapshot: p.mode == modeSnapshot}
		}
	}
	return s
}

// Role returns the current role.
func (n *Node) Role() Role { return n.role }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.hardState.Term }

// Leader returns the known leader, or an empty id.
func (n *Node) Leader() MemberID { return n.leader }

// Members returns the membership in force. The caller must not modify it.
func (n *Node) Members() Membership { return n.members() }

// MembershipState returns the index of the entry that holds the membership in force, and whether it is
// committed.
func (n *Node) MembershipState() (index uint64, committed bool) {
	index = n.memberships[len(n.memberships)-1].index
	return index, index <= n.log.commit
}

// LogBytes returns the size of the entries in memory, including overhead.
func (n *Node) LogBytes() int { return n.log.bytes }

func (n *Node) members() Membership {
	return n.memberships[len(n.memberships)-1].members
}

// recordMembership records the membership of a membership entry; it ignores other entries.
func (n *Node) recordMembership(e Entry) error {
	if e.Kind != EntryMembership {
		return nil
	}
	members, err := DecodeMembership(e.Data)
	if err != nil {
		return fmt.Errorf("membership entry %d: %w", e.Index, err)
	}
	n.memberships = append(n.memberships, indexedMembership{e.Index, members})
	return nil
}
