package model

// TargetState says whether a target accepts new work.
type TargetState string

// The states that a target announces.
const (
	TargetReady   TargetState = "ready"
	TargetLeaving TargetState = "leaving"
)

// Announcement is the report that a target sends to any entry VM about once per second.
type Announcement struct {
	Target   TargetID    `json:"target"`
	StartID  string      `json:"start_id"` // unique to each process of the target
	Sequence uint64      `json:"sequence"` // increases with each announcement of this process
	Epoch    Epoch       `json:"epoch"`    // greatest ownership epoch seen by this process
	Address  string      `json:"address"`  // ip:port of the target's HTTP interface
	Zone     Zone        `json:"zone"`
	Rack     Rack        `json:"rack"`
	Pool     PoolID      `json:"pool"`
	Capacity Resources   `json:"capacity"`
	State    TargetState `json:"state"`

	Running  []AttemptID    `json:"running,omitempty"`  // attempts in progress
	Requests []RequestID    `json:"requests,omitempty"` // quick requests in progress
	Ended    []EndedAttempt `json:"ended,omitempty"`    // ended attempts that are not yet acknowledged
	Usage    []UsageReport  `json:"usage,omitempty"`
}

// EndedAttempt is a target's report of how an attempt ended.
type EndedAttempt struct {
	Attempt AttemptID `json:"attempt"`
	Failed  bool      `json:"failed"`
	Message string    `json:"message,omitempty"` // reason of a failure
	Result  []byte    `json:"result,omitempty"`
}

// UsageReport is the usage of one task, or of a service's quick requests at the target, in one
// interval. It may arrive long after the interval.
type UsageReport struct {
	Attempt     AttemptID `json:"attempt,omitzero"`  // zero for quick requests
	Service     ServiceID `json:"service,omitempty"` // set for quick requests
	FromMs      Millis    `json:"from_ms"`
	ToMs        Millis    `json:"to_ms"`
	Used        Resources `json:"used"`
	LatencyUs   int64     `json:"latency_us,omitempty"`   // mean time that quick requests took at the target
	Requests    int64     `json:"requests,omitempty"`     // quick requests in the interval
	ProgressPct float64   `json:"progress_pct,omitempty"` // progress made by a batch task
}

// AnnouncementResponse is the response to an Announcement; it renews the target's lease.
type AnnouncementResponse struct {
	Epoch        Epoch       `json:"epoch"`
	LeaseMs      Millis      `json:"lease_ms"` // counted from the time at which the target sent the announcement
	Owner        GatewayID   `json:"owner"`
	OwnerAddress string      `json:"owner_address"` // hint; other entry VMs accept announcements too
	NextMs       Millis      `json:"next_ms"`       // time until the next announcement
	Acknowledged []AttemptID `json:"acknowledged,omitempty"`
	Stop         []AttemptID `json:"stop,omitempty"` // attempts that are no longer current
}
