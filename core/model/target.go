package model

// TargetState is a target's own statement of whether it takes new work.
type TargetState string

// The states that a target announces.
const (
	TargetReady   TargetState = "ready"
	TargetLeaving TargetState = "leaving"
)

// Announcement is what a target sends about once a second to any entry VM.
type Announcement struct {
	Target   TargetID    `json:"target"`
	StartID  string      `json:"start_id"` // new for each process of the target
	Sequence uint64      `json:"sequence"` // grows with each announcement of one start id
	Epoch    Epoch       `json:"epoch"`    // greatest ownership epoch seen by this process
	Address  string      `json:"address"`  // ip:port of the target's HTTP interface
	Zone     Zone        `json:"zone"`
	Rack     Rack        `json:"rack"`
	Pool     PoolID      `json:"pool"`
	Capacity Resources   `json:"capacity"`
	State    TargetState `json:"state"`

	Running  []AttemptID    `json:"running,omitempty"`  // attempts in progress
	Requests []RequestID    `json:"requests,omitempty"` // quick requests in progress
	Ended    []EndedAttempt `json:"ended,omitempty"`    // ends that are not yet acknowledged
	Usage    []UsageReport  `json:"usage,omitempty"`
}

// EndedAttempt is a target's report of how an attempt ended.
type EndedAttempt struct {
	Attempt AttemptID `json:"attempt"`
	Failed  bool      `json:"failed"`
	Message string    `json:"message,omitempty"` // reason of a failure
	Result  []byte    `json:"result,omitempty"`
}

// UsageReport covers one interval of one task or of the target's quick work; it may arrive
// long after the interval.
type UsageReport struct {
	Attempt     AttemptID `json:"attempt,omitzero"`  // zero for quick work
	Service     ServiceID `json:"service,omitempty"` // set for quick work
	FromMs      Millis    `json:"from_ms"`
	ToMs        Millis    `json:"to_ms"`
	Used        Resources `json:"used"`
	LatencyUs   int64     `json:"latency_us,omitempty"`   // mean time of quick requests at the target
	Requests    int64     `json:"requests,omitempty"`     // quick requests in the interval
	ProgressPct float64   `json:"progress_pct,omitempty"` // progress made by a batch task
}

// AnnouncementResponse renews the target's lease.
type AnnouncementResponse struct {
	Epoch        Epoch       `json:"epoch"`
	LeaseMs      Millis      `json:"lease_ms"` // counted from the target's time of asking
	Owner        GatewayID   `json:"owner"`
	OwnerAddress string      `json:"owner_address"` // hint; announcements to other entry VMs work too
	NextMs       Millis      `json:"next_ms"`       // when to announce again
	Acknowledged []AttemptID `json:"acknowledged,omitempty"`
	Stop         []AttemptID `json:"stop,omitempty"` // attempts that are no longer current
}
