package replica

import (
	"context"
	"errors"
	"time"

	"samphirepaddle.example/core/consensus"
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/daemon/storage"
)

// Status describes a replica for operators.
type Status struct {
	ID           consensus.MemberID `json:"id"`    // of the data directory
	Group        string             `json:"group"` // empty while the group is not known
	Gateway      model.GatewayID    `json:"gateway"`
	Term         uint64             `json:"term"`
	Leader       Leader             `json:"leader"`
	Members      []MemberStatus     `json:"members"`
	MembersIndex uint64             `json:"members_index"` // of the log entry that holds Members
	// Committed is the newest membership that is known as committed, and CommittedAt the index of its log entry.
	Committed     consensus.Membership `json:"committed_members"`
	CommittedAt   uint64               `json:"committed_members_index"`
	ChangePending bool                 `json:"changing"` // Members is not committed yet, so a repair is not complete
	CommitIndex   uint64               `json:"commit"`
	AppliedIndex  uint64               `json:"applied"`
	LastIndex     uint64               `json:"last"`       // last entry of the log
	LogBytes      int                  `json:"log_bytes"`  // entries in memory
	SnapshotIndex uint64               `json:"snapshot"`   // index of the last snapshot
	SentBytes     uint64               `json:"sent_bytes"` // to the other controllers since the start
}

// MemberStatus describes one member. MatchIndex and SilentFor are known to the leader only.
type MemberStatus struct {
	consensus.Member
	Leader     bool          `json:"leader"`
	MatchIndex uint64        `json:"match"`      // last entry known to be durable on the member
	SilentFor  time.Duration `json:"silent_for"` // time since its last message
	// SinceMessage is the time since a message of the member reached this process, whichever its role,
	// or the age of the process if none has. Followers that know a leader exchange no messages.
	SinceMessage time.Duration `json:"since_message"`
}

// identity returns the directory's id and group. It may be called from any goroutine.
func (r *Replica) identity() storage.Identity {
	return r.store.Identity()
}

// Status returns the current status. On a closed replica only Gateway is set.
func (r *Replica) Status() Status {
	result := make(chan Status, 1)
	if !r.post(func() { result <- r.status() }) {
		return Status{Gateway: r.opts.Gateway}
	}
	select {
	case s := <-result:
		return s
	case <-r.stop:
		return Status{Gateway: r.opts.Gateway}
	}
}

// status runs in the event loop.
func (r *Replica) status() Status {
	identity := r.identity()
	s := Status{ID: identity.ID, Group: identity.Group, Gateway: r.opts.Gateway, SentBytes: r.transport.sentBytes(), Leader: r.Leader()}
	r.mu.Lock()
	s.AppliedIndex = r.applied
	r.mu.Unlock()
	if r.node == nil {
		return s
	}
	node := r.node.Status()
	s.Term, s.CommitIndex, s.LastIndex = node.Term, node.CommitIndex, node.LastIndex
	s.MembersIndex, s.ChangePending = node.MembersIndex, node.ChangePending
	s.Committed, s.CommittedAt = node.Committed, node.CommittedAt
	s.LogBytes, s.SnapshotIndex = node.LogBytes, node.SnapshotIndex
	for _, member := range node.Members {
		p := node.Progress[member.ID]
		s.Members = append(s.Members, MemberStatus{
			Member: member, Leader: member.ID == node.Leader,
			MatchIndex: p.MatchIndex, SilentFor: time.Duration(p.TicksSinceMessage) * r.opts.Tick,
			SinceMessage: r.discovery.sinceMessage(member.ID),
		})
	}
	return s
}

// membershipState identifies a membership in the log.
type membershipState struct {
	index     uint64
	committed bool
}

// logMembership logs the membership in force when it has changed or is committed; it runs in the event loop.
func (r *Replica) logMembership() {
	var state membershipState
	state.index, state.committed = r.node.MembershipState()
	if state == r.loggedMembers {
		return
	}
	r.loggedMembers = state
	var voters, learners []string
	for _, member := range r.node.Members() {
		if member.Learner {
			learners = append(learners, member.Addr)
		} else {
			voters = append(voters, member.Addr)
		}
	}
	r.opts.Logger.Info().Uint64("term", r.node.Term()).Uint64("members_index", state.index).Bool("committed", state.committed).
		Strs("voters", voters).Strs("learners", learners).Msg("membership changed")
}

// AddMember adds a data directory as a learner, which becomes a voter when it has caught up. It
// returns when the change is appended, and ErrNotLeader on other controllers.
func (r *Replica) AddMember(ctx context.Context, id consensus.MemberID, gateway model.GatewayID, addr string) error {
	return r.callNode(ctx, func(n *consensus.Node) error {
		return n.Add(consensus.Member{ID: id, Gateway: gateway, Addr: addr})
	})
}

// RemoveMember removes a data directory from the group. The directory cannot join again, except
// with MaxVoters and OpenMembership, where a running controller asks for it at once.
func (r *Replica) RemoveMember(ctx context.Context, id consensus.MemberID) error {
	return r.callNode(ctx, func(n *consensus.Node) error { return n.Remove(id) })
}

// TransferLeadership hands the leadership to the other voter with the most complete log and
// returns when another leader is known. A controller calls it before a graceful shutdown.
//
// A single message asks the successor to take over, and consensus aborts a transfer after the
// minimum election timeout. TransferLeadership then starts the transfer again.
func (r *Replica) TransferLeadership(ctx context.Context) error {
	begin := func() error {
		return r.callNode(ctx, func(n *consensus.Node) error { return n.TransferLeadership("") })
	}
	if err := begin(); err != nil {
		return err
	}
	retry := time.NewTicker(time.Duration(r.opts.ElectionTicks) * r.opts.Tick)
	defer retry.Stop()
	for {
		changed := r.Changed()
		leader := r.Leader()
		if !leader.Self && leader.ID != "" {
			return nil
		}
		select {
		case <-changed:
		case <-retry.C:
			// ErrNotLeader means that another leader is about to become known. After ErrNoSuccessor
			// the transfer is tried again.
			if err := begin(); err != nil && !errors.Is(err, ErrNotLeader) && !errors.Is(err, consensus.ErrNoSuccessor) {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		case <-r.stop:
			return ErrClosed
		}
	}
}

// callNode calls f with the consensus node in the event loop.
func (r *Replica) callNode(ctx context.Context, f func(*consensus.Node) error) error {
	result := make(chan error, 1)
	ok := r.post(func() {
		if r.node == nil {
			result <- ErrNotLeader
			return
		}
		result <- f(r.node)
	})
	if !ok {
		return ErrClosed
	}
	select {
	case err := <-result:
		if errors.Is(err, consensus.ErrNotLeader) {
			return ErrNotLeader
		}
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-r.stop:
		return ErrClosed
	}
}

var _ Log = (*Replica)(nil)
