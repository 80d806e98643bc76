// Package state is the replicated state of the controllers: commands change it through
// Apply, queries read it, and snapshots save and restore it. Apply is deterministic: the
// same commands in the same order give the same state on every replica.
package state

import (
	"samphirepaddle.example/core/model"
)

// JobPhase is the state of a job.
type JobPhase string

// The phases of a job.
const (
	JobQueued    JobPhase = "queued"
	JobAssigned  JobPhase = "assigned" // an attempt is open
	JobFinished  JobPhase = "finished"
	JobFailed    JobPhase = "failed"
	JobCancelled JobPhase = "cancelled"
)

// Job is a job and its open attempt.
type Job struct {
	Spec        model.JobSpec    `json:"spec"`
	Phase       JobPhase         `json:"phase"`
	Key         string           `json:"key,omitempty"`
	Ticket      uint64           `json:"ticket,omitempty"` // ticket that declared it, zero if submitted by a caller
	SubmittedAt model.Millis     `json:"submitted_at"`
	QueuedAt    model.Millis     `json:"queued_at"` // of the present wait; requeueing sets it anew
	Sequence    uint64           `json:"sequence"`  // order of queueing, and after the end the order of ends
	SpecHash    [32]byte         `json:"spec_hash"` // of the whole spec; the payload is dropped at the end
	Attempts    uint32           `json:"attempts"`  // attempts assigned so far
	Failures    uint32           `json:"failures"`
	Evictions   uint32           `json:"evictions"`
	Losses      uint32           `json:"losses,omitempty"` // attempts whose target was lost
	Open        *Attempt         `json:"open,omitempty"`
	FailedOn    []model.TargetID `json:"failed_on,omitempty"`
	NeverReason string           `json:"never_reason,omitempty"`
	Message     string           `json:"message,omitempty"` // of the last failure
	Cancelling  bool             `json:"cancelling,omitempty"`
	Checkpoint  []byte           `json:"checkpoint,omitempty"`
	Result      []byte           `json:"result,omitempty"`
	EndedAt     model.Millis     `json:"ended_at,omitempty"`
	Changed     model.Revision   `json:"changed"`
}

// Ended reports whether the job will not run again.
func (j *Job) Ended() bool {
	return j.Phase == JobFinished || j.Phase == JobFailed || j.Phase == JobCancelled
}

// keptSize is an estimate of the memory that an ended job takes, in bytes.
func (j *Job) keptSize() int64 {
	return int64(len(j.Result)+len(j.Message)) + jobOverhead
}

func (j *Job) endedEntry() endedJob {
	entry := endedJob{sequence: j.Sequence, at: j.EndedAt, job: j.Spec.ID}
	if j.Key != "" {
		entry.key = RequestKey{j.Spec.Tenant, j.Key}
	}
	return entry
}

// JobKey is the record of the key of a submitted job.
type JobKey struct {
	Job      model.JobID  `json:"job"`
	SpecHash [32]byte     `json:"spec_hash"` // of the spec as the caller sent it
	Ended    bool         `json:"ended,omitempty"`
	EndedAt  model.Millis `json:"ended_at,omitempty"`
	Sequence uint64       `json:"sequence,omitempty"` // order of ends
}

// Attempt is an open execution of a job.
type Attempt struct {
	ID       model.AttemptID `json:"id"`
	Target   model.TargetID  `json:"target"`
	StartID  string          `json:"start_id"` // process of the target when it was assigned
	Epoch    model.Epoch     `json:"epoch"`
	Reserved model.Resources `json:"reserved"`
	Evicting string          `json:"evicting,omitempty"` // reason, if an eviction was asked for
	At       model.Millis    `json:"at"`
}

// Gateway is a gateway's session.
type Gateway struct {
	ID          model.GatewayID `json:"id"`
	Incarnation string          `json:"incarnation"`
	Epoch       model.Epoch     `json:"epoch"`
	Zone        model.Zone      `json:"zone"`
	PublicAddr  string          `json:"public_addr"`
	PeerAddr    string          `json:"peer_addr"`
	Draining    bool            `json:"draining,omitempty"`
	Expired     bool            `json:"expired,omitempty"`
}

// Live reports whether the session may own targets.
func (g *Gateway) Live() bool {
	return !g.Expired && !g.Draining
}

// Target is a known target and its owner.
type Target struct {
	ID          model.TargetID  `json:"id"`
	StartID     string          `json:"start_id"`
	Address     string          `json:"address"`
	Zone        model.Zone      `json:"zone"`
	Rack        model.Rack      `json:"rack"`
	Pool        model.PoolID    `json:"pool"`
	Capacity    model.Resources `json:"capacity"`
	Owner       model.GatewayID `json:"owner"`
	Epoch       model.Epoch     `json:"epoch"`
	Leaving     bool            `json:"leaving,omitempty"`
	Lost        bool            `json:"lost,omitempty"`
	Quarantined string          `json:"quarantined,omitempty"` // reason
	// QuarantinedByOperator keeps the quarantine until an operator lifts it.
	QuarantinedByOperator bool `json:"quarantined_by_operator,omitempty"`

	PastStartIDs []string       `json:"past_start_ids,omitempty"` // earlier processes, whose late announcements are refused
	LostAt       model.Millis   `json:"lost_at,omitempty"`
	LostSequence uint64         `json:"lost_sequence,omitempty"` // order of losses
	Changed      model.Revision `json:"changed"`
}

// TicketRecord is the outcome of an accepted ticket. Its content is kept as a hash, because
// 4,096 tickets with job payloads would not fit into the memory of an entry VM.
type TicketRecord struct {
	Number   uint64            `json:"number"`
	Author   string            `json:"author"`
	Hash     [32]byte          `json:"hash"`
	Objects  []model.ObjectRef `json:"objects"`
	Revision model.Revision    `json:"revision"`
	At       model.Millis      `json:"at"`
}

// RequestKey identifies a non-idempotent request.
type RequestKey struct {
	Tenant model.TenantID `json:"tenant"`
	Key    string         `json:"key"`
}

// RequestRecord is the record of a non-idempotent request.
type RequestRecord struct {
	BodyHash [32]byte        `json:"body_hash"`
	Request  model.RequestID `json:"request"`
	Gateway  model.GatewayID `json:"gateway"`
	Epoch    model.Epoch     `json:"epoch"`
	Ended    bool            `json:"ended"`
	Verdict  model.Verdict   `json:"verdict"`
	Answer   *StoredAnswer   `json:"answer,omitempty"`
	At       model.Millis    `json:"at"`
	Sequence uint64          `json:"sequence,omitempty"` // order of ends
}

// Config is the part of the state that tickets declare and every gateway keeps a copy of.
type Config struct {
	Revision model.Revision                    `json:"revision"` // of the last change
	Services map[model.ServiceID]model.Service `json:"services"`
	Pools    map[model.PoolID]model.Pool       `json:"pools"`
	Tenants  map[model.TenantID]model.Tenant   `json:"tenants"`
}

// State is the replicated state. It is not safe for concurrent use; the controller
// guards it with one lock.
type State struct {
	Revision  model.Revision
	Now       model.Millis // greatest command time seen
	NextEpoch model.Epoch  // grows with each session or ownership grant

	NextSequence uint64 // orders queued jobs, ends and losses

	Config      Config
	LastTicket  map[model.ObjectRef]uint64 // number of the last ticket that touched an object
	Tickets     map[uint64]*TicketRecord
	TicketFloor uint64 // outcomes of tickets below this number are no longer kept

	Gateways map[model.GatewayID]*Gateway
	Targets  map[model.TargetID]*Target
	Jobs     map[model.JobID]*Job
	JobKeys  map[RequestKey]*JobKey
	Requests map[RequestKey]*RequestRecord

	// ownedChanged is the revision of the last change that concerns a gateway's targets or the
	// attempts on them. It is not part of snapshots: after a restore every gateway counts as changed.
	ownedChanged map[model.GatewayID]model.Revision
	index        index

	// ownershipChanged is like ownedChanged, for changes of the set of owned targets only.
	ownershipChanged map[model.GatewayID]model.Revision
	// configChanged holds the revision of the last change of each service, pool and tenant
	// that changed after configSince.
	configChanged map[model.ObjectRef]model.Revision
	configSince   model.Revision

	// closed remembers the attempts that closed after closedSince, by owner; not part of snapshots.
	closed      map[model.GatewayID]*closedLog
	closedSince model.Revision
}

// New returns an empty state.
func New() *State {
	return &State{
		NextEpoch: 1,
		Config: Config{
			Services: map[model.ServiceID]model.Service{},
			Pools:    map[model.PoolID]model.Pool{},
			Tenants:  map[model.TenantID]model.Tenant{},
		},
		LastTicket: map[model.ObjectRef]uint64{},
		Tickets:    map[uint64]*TicketRecord{},
		Gateways:   map[model.GatewayID]*Gateway{},
		Targets:    map[model.TargetID]*Target{},
		Jobs:       map[model.JobID]*Job{},
		JobKeys:    map[RequestKey]*JobKey{},
		Requests:   map[RequestKey]*RequestRecord{},

		ownedChanged: map[model.GatewayID]model.Revision{},
		index:        newIndex(),
		closed:       map[model.GatewayID]*closedLog{},

		ownershipChanged: map[model.GatewayID]model.Revision{},
		configChanged:    map[model.ObjectRef]model.Revision{},
	}
}

func (s *State) takeEpoch() model.Epoch {
	epoch := s.NextEpoch
	s.NextEpoch++
	return epoch
}

func (s *State) takeSequence() uint64 {
	s.NextSequence++
	return s.NextSequence
}

// touchTarget records a change of a target for its owner.
func (s *State) touchTarget(t *Target) {
	t.Changed = s.Revision
	s.touchOwner(t.Owner)
}

func (s *State) touchOwner(gateway model.GatewayID) {
	if gateway != "" {
		s.ownedChanged[gateway] = s.Revision
	}
}

// touchJob records a change of a job for the owner of the target that its attempt is on.
func (s *State) touchJob(j *Job) {
	j.Changed = s.Revision
	if j.Open == nil {
		return
	}
	if target, ok := s.Targets[j.Open.Target]; ok {
		s.touchOwner(target.Owner)
	}
}
