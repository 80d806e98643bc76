// Package replica keeps the replicated state on a controller: it commits commands, applies
// them in order and serves reads.
package replica

import (
	"context"
	"errors"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
)

// ErrNotLeader is returned by operations that only the leader can serve.
var ErrNotLeader = errors.New("this controller is not the leader")

// ErrOutcomeUnknown is returned by Propose if the command may or may not be committed, for
// example after a change of leader. The caller may propose it again: every command carries an
// identity that makes it idempotent.
var ErrOutcomeUnknown = errors.New("the outcome of the proposal is unknown")

// Leader describes the current leader as this controller knows it.
type Leader struct {
	ID       model.GatewayID // empty if none is known
	PeerAddr string
	Self     bool
	Term     uint64
}

// Log is a replicated log and the state that results from it.
type Log interface {
	// Propose commits the command and returns the result of applying it. It returns ErrNotLeader
	// if this controller is not the leader and nothing was appended.
	Propose(ctx context.Context, c state.Command) (state.Result, error)

	// Read calls query with a state that includes every command committed before Read was
	// called. It returns ErrNotLeader on other controllers. query must not keep references
	// to the state.
	Read(ctx context.Context, query func(*state.State)) error

	// ReadAtHeartbeat is like Read but sends no message of its own: it waits for the next
	// heartbeat to confirm the leadership.
	ReadAtHeartbeat(ctx context.Context, query func(*state.State)) error

	// View calls query with the local state, which may lag behind the committed commands.
	View(query func(*state.State))

	// Confirm returns when a quorum has confirmed, after the call began, that this
	// controller is the leader.
	Confirm(ctx context.Context) error

	// Leader returns the leader that this controller knows.
	Leader() Leader

	// Changed returns a channel that is closed when the next command has been applied or the
	// leader has changed.
	Changed() <-chan struct{}

	// Close stops the replica; it does not wait for proposals in progress.
	Close() error
}
