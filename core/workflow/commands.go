package workflow

// Command is one change. Exactly one of the pointers is set.
type Command struct {
	Submit *Submission `json:"submit,omitempty"`
	Cancel *Cancel     `json:"cancel,omitempty"`
	Batch  *Batch      `json:"batch,omitempty"`
}

// Cancel cancels a workflow. An id that nobody submitted is remembered, so that a submission
// that is still on its way never runs.
type Cancel struct {
	Host string `json:"host"`
	Path string `json:"path"`
}

// Batch is everything that one scheduling pass of the leader records. The parts apply in the
// order of the fields, so that a pass may reuse what it has just freed.
type Batch struct {
	Workers []Worker      `cbor:"1,keyasint,omitempty"` // first report or changed report of a life
	Ends    []End         `cbor:"2,keyasint,omitempty"`
	Lost    []LostAttempt `cbor:"3,keyasint,omitempty"`
	Assign  []Assignment  `cbor:"4,keyasint,omitempty"`
}

// EndKind says how an attempt ended on its worker.
type EndKind uint8

// The kinds of ends.
const (
	EndDone           EndKind = iota + 1
	EndFailed                 // by its own fault or the worker's
	EndStopped                // the scheduler asked for it
	EndLeaseExpired           // the lease ran out
	EndGangBroken             // another member of the gang ended
	EndGangIncomplete         // the gang was not complete in time
)

// String returns the name used in logs.
func (k EndKind) String() string {
	names := [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone"}
	if int(k) < len(names) {
		return names[k]
	}
	return names[0]
}

// End is the end of an attempt as its worker listed it. Number is the worker's own count of
// ends in this life.
type End struct {
	_           struct{} `cbor:",toarray"`
	Incarnation Incarnation
	Number      uint64
	Attempt     Attempt
	Kind        EndKind
	Checkpoint  string
}

// LostAttempt closes an attempt that is known not to run and never to run: its worker's life is
// over, its lease ran out, or the worker refuses it for good.
type LostAttempt struct {
	_           struct{} `cbor:",toarray"`
	Incarnation Incarnation
	Attempt     Attempt
	Checkpoint  string // last one that the worker listed
}

// Assignment opens an attempt on a worker.
type Assignment struct {
	_           struct{} `cbor:",toarray"`
	Attempt     Attempt
	Incarnation Incarnation
}

// Outcome is the result of a command.
type Outcome uint8

// The outcomes.
const (
	Accepted Outcome = iota
	Repeated         // it had this effect before
	Unknown          // no such job
	NoRoute          // no route matches the host and path
	Invalid
)
