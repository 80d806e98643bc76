// Package state implements the replicated state of the controllers: commands change it through
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

// Job is the record of a job, with its open attempt if it has one.
type Job struct {
	Spec                model.JobSpec    `json:"spec" cbor:"1,keyasint"`
	Phase               JobPhase         `json:"phase" cbor:"2,keyasint,omitempty"`
	Key                 string           `json:"key,omitempty" cbor:"3,keyasint,omitempty"`
	Ticket              uint64           `json:"ticket,omitempty" cbor:"4,keyasint,omitempty"` // ticket that declared it, zero if submitted by a caller
	SubmittedAt         model.Millis     `json:"submitted_at" cbor:"5,keyasint,omitempty"`
	QueuedAt            model.Millis     `json:"queued_at" cbor:"6,keyasint,omitempty"` // start of the current wait; requeueing resets it
	Sequence            uint64           `json:"sequence" cbor:"7,keyasint,omitempty"`  // position in the queueing order and, after the end, in the order of ending
	SpecHash            [32]byte         `json:"spec_hash" cbor:"8,keyasint"`           // hash of the spec with its payload; the payload is dropped when the job ends
	Attempts            uint32           `json:"attempts" cbor:"9,keyasint,omitempty"`  // attempts assigned so far
	Failures            uint32           `json:"failures" cbor:"10,keyasint,omitempty"`
	Evictions           uint32           `json:"evictions" cbor:"11,keyasint,omitempty"`
	Losses              uint32           `json:"losses,omitempty" cbor:"12,keyasint,omitempty"` // attempts whose target was lost
	OpenAttempt         *Attempt         `json:"open,omitempty" cbor:"13,keyasint,omitempty"`
	FailedOn            []model.TargetID `json:"failed_on,omitempty" cbor:"14,keyasint,omitempty"`
	NeverRunnableReason string           `json:"never_reason,omitempty" cbor:"15,keyasint,omitempty"`
	Message             string           `json:"message,omitempty" cbor:"16,keyasint,omitempty"` // of the last failure, why the job was given up, or why a result or checkpoint was dropped
	Cancelling          bool             `json:"cancelling,omitempty" cbor:"17,keyasint,omitempty"`
	Checkpoint          []byte           `json:"checkpoint,omitempty" cbor:"18,keyasint,omitempty"`
	Result              []byte           `json:"result,omitempty" cbor:"19,keyasint,omitempty"`
	EndedAt             model.Millis     `json:"ended_at,omitempty" cbor:"20,keyasint,omitempty"`
	ChangedRevision     model.Revision   `json:"changed" cbor:"21,keyasint,omitempty"`
	Crashes             uint32           `json:"crashes,omitempty" cbor:"22,keyasint,omitempty"`      // target processes that ended unannounced under it, since an attempt ran for SoundRunTime
	SoleCrashes         uint32           `json:"sole_crashes,omitempty" cbor:"23,keyasint,omitempty"` // those that ran no other job
}

// Ended reports whether the job will not run again.
func (j *Job) Ended() bool {
	return j.Phase == JobFinished || j.Phase == JobFailed || j.Phase == JobCancelled
}

// retainedSize estimates the memory of an ended job in bytes.
func (j *Job) retainedSize() int64 {
	return int64(len(j.Result)+len(j.Message)) + jobOverheadBytes
}

func (j *Job) endedRef() endedJobRef {
	entry := endedJobRef{sequence: j.Sequence, at: j.EndedAt, job: j.Spec.ID}
	if j.Key != "" {
		entry.key = RequestKey{j.Spec.Tenant, j.Key}
	}
	return entry
}

// JobKeyRecord is the record of the idempotency key of a submitted job.
type JobKeyRecord struct {
	Job      model.JobID  `json:"job" cbor:"1,keyasint,omitempty"`
	SpecHash [32]byte     `json:"spec_hash" cbor:"2,keyasint"` // hash of the spec as the caller sent it
	Ended    bool         `json:"ended,omitempty" cbor:"3,keyasint,omitempty"`
	EndedAt  model.Millis `json:"ended_at,omitempty" cbor:"4,keyasint,omitempty"`
	Sequence uint64       `json:"sequence,omitempty" cbor:"5,keyasint,omitempty"` // position in the order of ending
}

// Attempt is an open execution of a job.
type Attempt struct {
	ID             model.AttemptID `json:"id" cbor:"1,keyasint"`
	Target         model.TargetID  `json:"target" cbor:"2,keyasint,omitempty"`
	StartID        string          `json:"start_id" cbor:"3,keyasint,omitempty"` // process of the target at the time of assignment
	Epoch          model.Epoch     `json:"epoch" cbor:"4,keyasint,omitempty"`
	Reserved       model.Resources `json:"reserved" cbor:"5,keyasint"`
	EvictionReason string          `json:"evicting,omitempty" cbor:"6,keyasint,omitempty"` // reason of a requested eviction, else empty
	AssignedAt     model.Millis    `json:"at" cbor:"7,keyasint,omitempty"`
	ProcessEnd     *ProcessEnd     `json:"process_end,omitempty" cbor:"8,keyasint,omitempty"` // set once its process has ended unannounced
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

// CanOwnTargets reports whether the session is neither expired nor draining.
func (g *Gateway) CanOwnTargets() bool {
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
	Moving           bool            `json:"moving,omitempty"` // the owner has been asked to hand it over
	Leaving          bool            `json:"leaving,omitempty" cbor:"10,keyasint,omitempty"`
	Lost             bool            `json:"lost,omitempty" cbor:"11,keyasint,omitempty"`
	QuarantineReason string          `json:"quarantined,omitempty" cbor:"12,keyasint,omitempty"` // reason of the quarantine, else empty
	// QuarantinedByOperator is set if only an operator may lift the quarantine.
	QuarantinedByOperator bool `json:"quarantined_by_operator,omitempty" cbor:"13,keyasint,omitempty"`

	Evacuated bool `json:"evacuated,omitempty" cbor:"18,keyasint,omitempty"` // its zone is evacuated, so it takes no new work

	PastStartIDs     []string        `json:"past_start_ids,omitempty" cbor:"14,keyasint,omitempty"` // earlier processes, whose delayed announcements are rejected
	LostAt           model.Millis    `json:"lost_at,omitempty" cbor:"15,keyasint,omitempty"`
	LostSequence     uint64          `json:"lost_sequence,omitempty" cbor:"16,keyasint,omitempty"` // position in the order of losses
	Lapsed           []LapsedAttempt `json:"-" cbor:"31,keyasint,omitempty"`                       // attempts lost because the present process was silent
	AssignedRevision model.Revision  `json:"assigned" cbor:"30,keyasint,omitempty"`                // revision at which the current owner was assigned
	ChangedRevision  model.Revision  `json:"changed" cbor:"17,keyasint,omitempty"`
}

// TicketRecord is the record of an accepted ticket. It holds only a hash of the content, because
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
	BodyHash  [32]byte        `json:"body_hash" cbor:"1,keyasint"`
	Request   model.RequestID `json:"request" cbor:"2,keyasint,omitempty"`
	Gateway   model.GatewayID `json:"gateway" cbor:"3,keyasint,omitempty"`
	Epoch     model.Epoch     `json:"epoch" cbor:"4,keyasint,omitempty"`
	Ended     bool            `json:"ended" cbor:"5,keyasint,omitempty"`
	Verdict   model.Verdict   `json:"verdict" cbor:"6,keyasint,omitempty"`
	Response  *StoredResponse `json:"answer,omitempty" cbor:"7,keyasint,omitempty"`
	UpdatedAt model.Millis    `json:"at" cbor:"8,keyasint,omitempty"`                 // time of the begin or, once ended, of the end
	Sequence  uint64          `json:"sequence,omitempty" cbor:"9,keyasint,omitempty"` // position in the order of ending
}

// Config is the configuration that tickets declare. Every gateway has a copy.
type Config struct {
	Revision model.Revision                    `json:"revision"` // of the last change
	Services map[model.ServiceID]model.Service `json:"services"`
	Pools    map[model.PoolID]model.Pool       `json:"pools"`
	Tenants  map[model.TenantID]model.Tenant   `json:"tenants"`
	// Routing is replaced as a whole and never changed in place, so copies may share it.
	Routing *model.Routing `json:"routing,omitempty"`
}

// State is the replicated state. It is not safe for concurrent use; the controller protects it
// with a single lock.
type State struct {
	Revision  model.Revision
	Now       model.Millis // latest time of any command so far
	NextEpoch model.Epoch  // epoch of the next session or ownership to be granted

	NextSequence uint64 // last number given to a queued or ended job, an ended request or a lost target

	Config      Config
	LastTicket  map[model.ObjectRef]uint64 // number of the last ticket that declared or deleted an object
	Tickets     map[uint64]*TicketRecord
	TicketFloor uint64 // new tickets below this number are rejected; records of lower numbers were dropped

	Gateways map[model.GatewayID]*Gateway
	Targets  map[model.TargetID]*Target
	Jobs     map[model.JobID]*Job
	JobKeys  map[RequestKey]*JobKeyRecord
	Requests map[RequestKey]*RequestRecord

	Workflows *workflow.State

	Evacuations map[model.Zone]Evacuation // orders of operators in force, by zone

	// ownedTargetsChanged holds for each gateway the revision of the last change of its targets
	// or of the attempts on them. It is not part of snapshots; a restore sets it to the revision
	// of the snapshot for every gateway.
	ownedTargetsChanged map[model.GatewayID]model.Revision
	index               index

	// ownedSetChanged holds for each gateway the revision at which it last gained or lost a target.
	ownedSetChanged map[model.GatewayID]model.Revision
	// configChanged holds the revision of the last change of each configuration object that
	// changed after configSince.
	configChanged map[model.ObjectRef]model.Revision
	configSince   model.Revision

	journal journal

	// gatewaysChanged is the revision of the last change of any gateway session; it is not part of
	// snapshots.
	gatewaysChanged model.Revision

	// closedAttempts holds the attempts that closed after closedSince, by the owner of their target.
	// It is not part of snapshots.
	closedAttempts map[model.GatewayID]*closedLog
	closedSince    model.Revision
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
		JobKeys:    map[RequestKey]*JobKeyRecord{},
		Requests:   map[RequestKey]*RequestRecord{},
		Workflows:  workflow.New(),

		Evacuations: map[model.Zone]Evacuation{},

		ownedTargetsChanged: map[model.GatewayID]model.Revision{},
		index:               newIndex(),
		closedAttempts:      map[model.GatewayID]*closedLog{},

		ownedSetChanged: map[model.GatewayID]model.Revision{},
		configChanged:   map[model.ObjectRef]model.Revision{},
	}
}

func (s *State) allocateEpoch() model.Epoch {
	epoch := s.NextEpoch
	s.NextEpoch++
	return epoch
}

func (s *State) allocateSequence() uint64 {
	s.NextSequence++
	return s.NextSequence
}

// markTargetChanged records a change of a target in the journal and for its owner.
func (s *State) markTargetChanged(t *Target) {
	t.ChangedRevision = s.Revision
	s.journal.add(change{revision: s.Revision, target: t.ID})
	s.markOwnerChanged(t.Owner)
}

func (s *State) markOwnerChanged(gateway model.GatewayID) {
	if gateway != "" {
		s.ownedTargetsChanged[gateway] = s.Revision
	}
}

// markJobChanged records a change of a job in the journal and, if an attempt is open, for the
// owner of its target.
func (s *State) markJobChanged(j *Job) {
	j.ChangedRevision = s.Revision
	s.journal.add(change{revision: s.Revision, job: j.Spec.ID})
	if j.OpenAttempt == nil {
		return
	}
	if target, ok := s.Targets[j.OpenAttempt.Target]; ok {
		s.markOwnerChanged(target.Owner)
	}
}
