// Package syncmsg defines the messages with which a gateway renews its session at the leader
// and receives the changes since its last renewal.
package syncmsg

import (
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
)

// Request renews the session and reports the gateway's targets.
type Request struct {
	Gateway  model.GatewayID `json:"gateway"`
	Epoch    model.Epoch     `json:"epoch"`    // session epoch
	Revision model.Revision  `json:"revision"` // revision of the gateway's view; zero requests the full state
	WaitMs   model.Millis    `json:"wait_ms"`  // longest time for which the leader may wait for changes

	// Targets holds the summaries that changed since the leader's last response. If that response
	// had SendAll set, it holds all summaries and All is set.
	Targets []TargetSummary `json:"targets,omitempty"`
	All     bool            `json:"all,omitempty"`

	// Partial means that the client holds the view of Revision and accepts a partial response,
	// which it merges into that view, as control.Client does. Ack is the Number of the last
	// response that the client merged into the view.
	Partial bool   `json:"partial,omitempty"`
	Ack     uint64 `json:"ack,omitempty"`

	// Usage holds the targets' usage reports since the last request, at most MaxUsageReports.
	Usage []TargetUsage `json:"usage,omitempty"`
}

// MaxUsageReports is the greatest number of usage reports in one request. The sender drops the
// oldest reports beyond it.
const MaxUsageReports = 256

// TargetUsage is a usage report of one owned target.
type TargetUsage struct {
	Target model.TargetID    `json:"target"`
	Report model.UsageReport `json:"report"`
}

// TargetSummary is the free capacity of one owned target.
type TargetSummary struct {
	Target      model.TargetID  `json:"target" cbor:"1,keyasint"`
	Epoch       model.Epoch     `json:"epoch" cbor:"2,keyasint"`
	Pool        model.PoolID    `json:"pool" cbor:"3,keyasint"`
	AcceptsWork bool            `json:"open" cbor:"4,keyasint"` // the target takes new work
	FreeBatch   model.Resources `json:"free_batch" cbor:"5,keyasint"`
	FreeQuick   int32           `json:"free_quick" cbor:"6,keyasint"` // free slots for quick requests
}

// Peer describes a gateway to the other gateways.
type Peer struct {
	ID         model.GatewayID        `json:"id" cbor:"1,keyasint"`
	Zone       model.Zone             `json:"zone" cbor:"2,keyasint,omitempty"`
	PublicAddr string                 `json:"public_addr" cbor:"3,keyasint,omitempty"`
	PeerAddr   string                 `json:"peer_addr" cbor:"4,keyasint,omitempty"`
	Draining   bool                   `json:"draining,omitempty" cbor:"5,keyasint,omitempty"`
	FreeQuick  map[model.PoolID]int32 `json:"free_quick,omitempty" cbor:"6,keyasint,omitempty"`
}

// Order is an open attempt, which the gateway has to run on one of its targets.
type Order struct {
	Attempt    state.Attempt `json:"attempt"`
	Spec       model.JobSpec `json:"spec"`
	Checkpoint []byte        `json:"checkpoint,omitempty"`
	Cancelling bool          `json:"cancelling,omitempty"`
}

// Response renews the session lease and holds the changes since the view of the request.
type Response struct {
	SessionKnown bool           `json:"known"`    // false: the session has expired; register again
	LeaseMs      model.Millis   `json:"lease_ms"` // counted from the time the request was sent
	Revision     model.Revision `json:"revision"`
	SendAll      bool           `json:"send_all,omitempty"` // the next request must hold all target summaries

	Config  *state.Config `json:"config,omitempty"` // nil if unchanged
	Peers   []Peer        `json:"peers,omitempty"`
	Changes *Changes      `json:"changes,omitempty"` // nil if no owned target and no attempt on one has changed

	// Throttles lists all throttled attempts on the gateway's targets. It is nil if they have
	// not changed since the response that the request acknowledged. Attempts that are not listed
	// run at full speed.
	Throttles *Throttles `json:"throttles,omitempty"`

	// Number identifies this response. The fields below it are set in partial responses only;
	// the client merges them into its view.
	Number       uint64             `json:"number,omitempty"`
	ConfigDelta  *state.ConfigDelta `json:"config_delta,omitempty"`
	PeersPartial bool               `json:"peers_partial,omitempty"` // Peers holds only the changed peers
	PeersGone    []model.GatewayID  `json:"peers_gone,omitempty"`
}

// Throttles lists the throttled attempts of one gateway.
type Throttles struct {
	Attempts []Throttle `json:"attempts"`
}

// Throttle instructs the owner of a target to run an attempt at reduced speed.
type Throttle struct {
	Attempt model.AttemptID `json:"attempt"`
	Level   float64         `json:"level"` // fraction of the full speed, 0 to 1
}

// Changes lists the owned targets and their open attempts by id, and the content of those that
// changed.
type Changes struct {
	OwnedTargets []model.TargetID  `json:"owned,omitempty"`
	OpenAttempts []model.AttemptID `json:"open,omitempty"`
	Targets      []state.Target    `json:"targets,omitempty"`
	Orders       []Order           `json:"orders,omitempty"`

	// A partial response sets Partial and lists the closed attempts in Closed instead of all open
	// ones in OpenAttempts. If the set of owned targets has not changed, it sets SameOwned and
	// omits OwnedTargets.
	Partial   bool              `json:"partial,omitempty"`
	SameOwned bool              `json:"same_owned,omitempty"`
	Closed    []model.AttemptID `json:"closed,omitempty"`
}
