// Package state is the replicated state of the controllers: commands change it through
// Apply, queries read it, and snapshots save and restore it. Apply is deterministic: the
// same commands in the same order give the same state on every replica.
package state

import (
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
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
	Spec                model.JobSpec    `json:"spec" cbor:"1,keyasint"`
	Phase               JobPhase         `json:"phase" cbor:"2,keyasint,omitempty"`
	Key                 string           `json:"key,omitempty" cbor:"3,keyasint,omitempty"`
	Ticket              uint64           `json:"ticket,omitempty" cbor:"4,keyasint,omitempty"` // ticket that declared it, zero if submitted by a caller
	SubmittedAt         model.Millis     `json:"submitted_at" cbor:"5,keyasint,omitempty"`
	QueuedAt            model.Millis     `json:"queued_at" cbor:"6,keyasint,omitempty"` // of the present wait; requeueing sets it anew
	Sequence            uint64           `json:"sequence" cbor:"7,keyasint,omitempty"`  // order of queueing, and after the end the order of ends
	SpecHash            [32]byte         `json:"spec_hash" cbor:"8,keyasint"`           // of the whole spec; the payload is dropped at the end
	Attempts            uint32           `json:"attempts" cbor:"9,keyasint,omitempty"`  // attempts assigned so far
	Failures            uint32           `json:"failures" cbor:"10,keyasint,omitempty"`
	Evictions           uint32           `json:"evictions" cbor:"11,keyasint,omitempty"`
	Losses              uint32           `json:"losses,omitempty" cbor:"12,keyasint,omitempty"` // attempts whose target was lost
	OpenAttempt         *Attempt         `json:"open,omitempty" cbor:"13,keyasint,omitempty"`
	FailedOn            []model.TargetID `json:"failed_on,omitempty" cbor:"14,keyasint,omitempty"`
	NeverRunnableReason string           `json:"never_reason,omitempty" cbor:"15,keyasint,omitempty"`
	Message             string           `json:"message,omitempty" cbor:"16,keyasint,omitempty"` // of the last failure
	Cancelling          bool             `json:"cancelling,omitempty" cbor:"17,keyasint,omitempty"`
	Checkpoint          []byte           `json:"checkpoint,omitempty" cbor:"18,keyasint,omitempty"`
	Result              []byte           `json:"result,omitempty" cbor:"19,keyasint,omitempty"`
	EndedAt             model.Millis     `json:"ended_at,omitempty" cbor:"20,keyasint,omitempty"`
	ChangedRevision     model.Revision   `json:"changed" cbor:"21,keyasint,omitempty"`
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
	Job      model.JobID  `json:"job" cbor:"1,keyasint,omitempty"`
	SpecHash [32]byte     `json:"spec_hash" cbor:"2,keyasint"` // of the spec as the caller sent it
	Ended    bool         `json:"ended,omitempty" cbor:"3,keyasint,omitempty"`
	EndedAt  model.Millis `json:"ended_at,omitempty" cbor:"4,keyasint,omitempty"`
	Sequence uint64       `json:"sequence,omitempty" cbor:"5,keyasint,omitempty"` // order of ends
}

// Attempt is an open execution of a job.
type Attempt struct {
	ID             model.AttemptID `json:"id" cbor:"1,keyasint"`
	Target         model.TargetID  `json:"target" cbor:"2,keyasint,omitempty"`
	StartID        string          `json:"start_id" cbor:"3,keyasint,omitempty"` // process of the target when it was assigned
	Epoch          model.Epoch     `json:"epoch" cbor:"4,keyasint,omitempty"`
	Reserved       model.Resources `json:"reserved" cbor:"5,keyasint"`
	EvictionReason string          `json:"evicting,omitempty" cbor:"6,keyasint,omitempty"` // reason, if an eviction was asked for
	AssignedAt     model.Millis    `json:"at" cbor:"7,keyasint,omitempty"`
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
	ID               model.TargetID  `json:"id" cbor:"1,keyasint,omitempty"`
	StartID          string          `json:"start_id" cbor:"2,keyasint,omitempty"`
	Address          string          `json:"address" cbor:"3,keyasint,omitempty"`
	Zone             model.Zone      `json:"zone" cbor:"4,keyasint,omitempty"`
	Rack             model.Rack      `json:"rack" cbor:"5,keyasint,omitempty"`
	Pool             model.PoolID    `json:"pool" cbor:"6,keyasint,omitempty"`
	Capacity         model.Resources `json:"capacity" cbor:"7,keyasint"`
	Owner            model.GatewayID `json:"owner" cbor:"8,keyasint,omitempty"`
	Epoch            model.Epoch     `json:"epoch" cbor:"9,keyasint,omitempty"`
	Moving           bool            `json:"moving,omitempty"` // the owner is asked to hand it over
	Leaving          bool            `json:"leaving,omitempty" cbor:"10,keyasint,omitempty"`
	Lost             bool            `json:"lost,omitempty" cbor:"11,keyasint,omitempty"`
	QuarantineReason string          `json:"quarantined,omitempty" cbor:"12,keyasint,omitempty"` // reason
	// QuarantinedByOperator keeps the quarantine until an operator lifts it.
	QuarantinedByOperator bool `json:"quarantined_by_operator,omitempty" cbor:"13,keyasint,omitempty"`

	PastStartIDs     []string       `json:"past_start_ids,omitempty" cbor:"14,keyasint,omitempty"` // earlier processes, whose late announcements are refused
	LostAt           model.Millis   `json:"lost_at,omitempty" cbor:"15,keyasint,omitempty"`
	LostSequence     uint64         `json:"lost_sequence,omitempty" cbor:"16,keyasint,omitempty"` // order of losses
	AssignedRevision model.Revision `json:"assigned" cbor:"30,keyasint,omitempty"`                // revision at which the present owner got it
	ChangedRevision  model.Revision `json:"changed" cbor:"17,keyasint,omitempty"`
}

// TicketRecord is the outcome of an accepted ticket. Its content is kept as a hash, because
// 4,096 tickets with job payloads would not fit into the memory of an entry VM.
type TicketRecord struct {
	Number     uint64            `json:"number" cbor:"1,keyasint,omitempty"`
	Author     string            `json:"author" cbor:"2,keyasint,omitempty"`
	Hash       [32]byte          `json:"hash" cbor:"3,keyasint"`
	Objects    []model.ObjectRef `json:"objects" cbor:"4,keyasint,omitempty"`
	Revision   model.Revision    `json:"revision" cbor:"5,keyasint,omitempty"`
	AcceptedAt model.Millis      `json:"at" cbor:"6,keyasint,omitempty"`
}

// RequestKey identifies a non-idempotent request.
type RequestKey struct {
	Tenant model.TenantID `json:"tenant" cbor:"1,keyasint,omitempty"`
	Key    string         `json:"key" cbor:"2,keyasint,omitempty"`
}

// RequestRecord is the record of a non-idempotent request.
type RequestRecord struct {
	BodyHash [32]byte        `json:"body_hash" cbor:"1,keyasint"`
	Request  model.RequestID `json:"request" cbor:"2,keyasint,omitempty"`
	Gateway  model.GatewayID `json:"gateway" cbor:"3,keyasint,omitempty"`
	Epoch    model.Epoch     `json:"epoch" cbor:"4,keyasint,omitempty"`
	Ended    bool            `json:"ended" cbor:"5,keyasint,omitempty"`
	Verdict  model.Verdict   `json:"verdict" cbor:"6,keyasint,omitempty"`
	Response *StoredResponse `json:"answer,omitempty" cbor:"7,keyasint,omitempty"`
	At       model.Millis    `json:"at" cbor:"8,keyasint,omitempty"`
	Sequence uint64          `json:"sequence,omitempty" cbor:"9,keyasint,omitempty"` // order of ends
}

// Config is the part of the state that tickets declare and every gateway keeps a copy of.
type Config struct {
	Revision model.Revision                    `json:"revision"` // of the last change
	Services map[model.ServiceID]model.Service `json:"services"`
	Pools    map[model.PoolID]model.Pool       `json:"pools"`
	Tenants  map[model.TenantID]model.Tenant   `json:"tenants"`
	// Routing is replaced as a whole and never changed in place, so copies may share it.
	Routing *model.Routing `json:"routing,omitempty"`
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

	Workflows *workflow.State

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

	journal journal

	// gatewaysChanged is the revision of the last change of a session; not part of snapshots.
	gatewaysChanged model.Revision

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
		Workflows:  workflow.New(),

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
	t.ChangedRevision = s.Revision
	s.journal.add(change{revision: s.Revision, target: t.ID})
	s.touchOwner(t.Owner)
}

func (s *State) touchOwner(gateway model.GatewayID) {
	if gateway != "" {
		s.ownedChanged[gateway] = s.Revision
	}
}

// touchJob records a change of a job for the owner of the target that its attempt is on.
func (s *State) touchJob(j *Job) {
	j.ChangedRevision = s.Revision
	s.journal.add(change{revision: s.Revision, job: j.Spec.ID})
	if j.OpenAttempt == nil {
		return
	}
	if target, ok := s.Targets[j.OpenAttempt.Target]; ok {
		s.touchOwner(target.Owner)
	}
}
