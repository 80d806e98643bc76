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
}

// TargetSummary is the free capacity of one owned target.
type TargetSummary struct {
	Target    model.TargetID  `json:"target"`
	Epoch     model.Epoch     `json:"epoch"`
	Pool      model.PoolID    `json:"pool"`
	Open      bool            `json:"open"` // takes new work
	FreeBatch model.Resources `json:"free_batch"`
	FreeQuick int32           `json:"free_quick"` // free slots for quick requests
}

// Peer is a gateway as its peers see it.
type Peer struct {
	ID         model.GatewayID        `json:"id"`
	Zone       model.Zone             `json:"zone"`
	PublicAddr string                 `json:"public_addr"`
	PeerAddr   string                 `json:"peer_addr"`
	Draining   bool                   `json:"draining,omitempty"`
	FreeQuick  map[model.PoolID]int32 `json:"free_quick,omitempty"`
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
	Known    bool           `json:"known"`    // false: the session has expired; register again
	LeaseMs  model.Millis   `json:"lease_ms"` // counted from the time the request was sent
	Revision model.Revision `json:"revision"`
	SendAll  bool           `json:"send_all,omitempty"` // the next request must hold all summaries

	Config  *state.Config `json:"config,omitempty"` // nil if unchanged
	Peers   []Peer        `json:"peers"`
	Changes *Changes      `json:"changes,omitempty"` // nil if nothing owned has changed
}

// Changes lists what is owned now and the content of what changed.
type Changes struct {
	Owned   []model.TargetID  `json:"owned"`
	Open    []model.AttemptID `json:"open"`
	Targets []state.Target    `json:"targets,omitempty"`
	Orders  []Order           `json:"orders,omitempty"`
}
