// Package syncmsg defines the messages by which a gateway renews its session at the leader
// and learns what changed.
package syncmsg

import (
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
)

// Request renews the session and reports the gateway's targets.
type Request struct {
	Gateway  model.GatewayID `json:"gateway"`
	Epoch    model.Epoch     `json:"epoch"`    // session epoch
	Revision model.Revision  `json:"revision"` // revision of the gateway's view; zero asks for all
	WaitMs   model.Millis    `json:"wait_ms"`  // longest time to wait for news

	// Targets holds the summaries that changed since the leader's last answer, or all of
	// them if that answer asked for all.
	Targets []TargetSummary `json:"targets,omitempty"`
	All     bool            `json:"all,omitempty"`

	// Partial says that the client holds the view of Revision and merges partial answers
	// into it; control.Client does so. Ack is the number of the answer that it holds.
	Partial bool   `json:"partial,omitempty"`
	Ack     uint64 `json:"ack,omitempty"`

	// Usage holds the targets' reports since the last request, at most MaxUsageReports.
	Usage []TargetUsage `json:"usage,omitempty"`
}

// MaxUsageReports bounds the usage reports of one request; the oldest are dropped by the sender.
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
	AcceptsWork bool            `json:"open" cbor:"4,keyasint"` // takes new work
	FreeBatch   model.Resources `json:"free_batch" cbor:"5,keyasint"`
	FreeQuick   int32           `json:"free_quick" cbor:"6,keyasint"` // free slots for quick requests
}

// Peer is a gateway as its peers see it.
type Peer struct {
	ID         model.GatewayID        `json:"id" cbor:"1,keyasint"`
	Zone       model.Zone             `json:"zone" cbor:"2,keyasint,omitempty"`
	PublicAddr string                 `json:"public_addr" cbor:"3,keyasint,omitempty"`
	PeerAddr   string                 `json:"peer_addr" cbor:"4,keyasint,omitempty"`
	Draining   bool                   `json:"draining,omitempty" cbor:"5,keyasint,omitempty"`
	FreeQuick  map[model.PoolID]int32 `json:"free_quick,omitempty" cbor:"6,keyasint,omitempty"`
}

// Order is an open attempt on one of the gateway's targets.
type Order struct {
	Attempt    state.Attempt `json:"attempt"`
	Spec       model.JobSpec `json:"spec"`
	Checkpoint []byte        `json:"checkpoint,omitempty"`
	Cancelling bool          `json:"cancelling,omitempty"`
}

// Response extends the session lease.
type Response struct {
	SessionKnown bool           `json:"known"`    // false: the session has expired; register again
	LeaseMs      model.Millis   `json:"lease_ms"` // counted from the time the request was sent
	Revision     model.Revision `json:"revision"`
	SendAll      bool           `json:"send_all,omitempty"` // the next request must hold all summaries

	Config  *state.Config `json:"config,omitempty"` // nil if unchanged
	Peers   []Peer        `json:"peers,omitempty"`
	Changes *Changes      `json:"changes,omitempty"` // nil if nothing owned has changed

	// Throttles holds the levels of all throttled attempts on the gateway's targets, nil if
	// they have not changed since the answer that the request acknowledged. An attempt that
	// is not listed runs at full speed.
	Throttles *Throttles `json:"throttles,omitempty"`

	// Number identifies this answer; the fields below are set in partial answers only and
	// are merged by the client.
	Number       uint64             `json:"number,omitempty"`
	ConfigDelta  *state.ConfigDelta `json:"config_delta,omitempty"`
	PeersPartial bool               `json:"peers_partial,omitempty"` // Peers holds the changed ones
	PeersGone    []model.GatewayID  `json:"peers_gone,omitempty"`
}

// Throttles lists the throttled attempts of one gateway.
type Throttles struct {
	Attempts []Throttle `json:"attempts"`
}

// Throttle orders the owner to run an attempt at a part of its speed.
type Throttle struct {
	Attempt model.AttemptID `json:"attempt"`
	Level   float64         `json:"level"` // 0 to 1, the part of its full speed at which it runs
}

// Changes lists what is owned now and the content of what changed.
type Changes struct {
	OwnedTargets []model.TargetID  `json:"owned,omitempty"`
	OpenAttempts []model.AttemptID `json:"open,omitempty"`
	Targets      []state.Target    `json:"targets,omitempty"`
	Orders       []Order           `json:"orders,omitempty"`

	// Partial answers name the attempts that closed in place of all that are open, and leave
	// Owned out if it is the same as before.
	Partial   bool              `json:"partial,omitempty"`
	SameOwned bool              `json:"same_owned,omitempty"`
	Closed    []model.AttemptID `json:"closed,omitempty"`
}
