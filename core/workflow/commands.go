package workflow

import "samphirepaddle.example/core/model"

// Command is one change of the state. Exactly one of the pointers is set.
type Command struct {
	Submit *Submission `json:"submit,omitempty"`
	Cancel *Cancel     `json:"cancel,omitempty"`
	Batch  *Batch      `json:"batch,omitempty"`
}

// Cancel cancels a workflow. The id of an unknown workflow is recorded for a while, so that a submission that
// arrives later does not run; see maxUnsubmitted.
type Cancel struct {
	Host string `json:"host"`
	Path string `json:"path"`
}

// Batch holds the changes of one scheduling pass of the leader. The changes are applied in the
// order of the fields unless a field says otherwise, so that assignments can use workers that Workers reports and tasks whose
// attempts Ends and Lost close.
type Batch struct {
	Workers []Worker      `cbor:"1,keyasint,omitempty"` // incarnations that are new or whose report changed
	Ends    []End         `cbor:"2,keyasint,omitempty"`
	Lost    []LostAttempt `cbor:"3,keyasint,omitempty"`
	Assign  []Assignment  `cbor:"4,keyasint,omitempty"`
	Crashes []Crash       `cbor:"5,keyasint,omitempty"` // worker processes that have ended unannounced; applied before Lost
	Lapsed  []Crash       `cbor:"6,keyasint,omitempty"` // silent workers, whose attempts Lost closes; applied before Lost

	// Answered are the worker processes that have answered since their attempts lapsed or they were
	// recorded as silent; applied before Lapsed.
	Answered []Incarnation `cbor:"7,keyasint,omitempty"`

	// Silent are the worker processes that do not answer; applied after Answered.
	Silent []SilentWorker `cbor:"8,keyasint,omitempty"`

	// Proven are reports of processes that have answered with their start time at the reported address;
	// applied after Workers.
	Proven []Worker `cbor:"9,keyasint,omitempty"`

	// Begun are the jobs of which a worker has accepted a start or listed a task. An end that is recorded proves
	// as much, so that jobs with one are left out.
	Begun []JobID `cbor:"10,keyasint,omitempty"`
}

// SilentWorker reports that a worker process does not answer and is sent no lease until a later batch
// reports that it has answered.
type SilentWorker struct {
	_           struct{} `cbor:",toarray"`
	Incarnation Incarnation
	LeaseLeftMs model.Millis // upper bound of the remaining time of every lease that was sent to it
}

// EndKind tells how an attempt ended on its worker.
type EndKind uint8

// The kinds of ends.
const (
	EndDone           EndKind = iota + 1
	EndFailed                 // failure of the task or of the worker
	EndStopped                // stopped by the scheduler
	EndLeaseExpired           // the lease expired
	EndGangBroken             // another member of the gang ended
	EndGangIncomplete         // the gang was not complete in time
)

// String returns the name used in logs and metrics.
func (k EndKind) String() string {
	names := [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone"}
	if int(k) < len(names) {
		return names[k]
	}
	return names[0]
}

// End is the end of an attempt as reported by its worker. Number increases with each end that the
// incarnation reports.
type End struct {
	_           struct{} `cbor:",toarray"`
	Incarnation Incarnation
	Number      uint64
	Attempt     Attempt
	Kind        EndKind
	Checkpoint  string
}

// LostAttempt closes an attempt without an end report. It requires that the attempt does not run
// and cannot start any more: its incarnation has ended, its lease has expired, or the worker has
// permanently refused it.
type LostAttempt struct {
	_           struct{} `cbor:",toarray"`
	Incarnation Incarnation
	Attempt     Attempt
	Checkpoint  string // last checkpoint that the worker reported
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
	Repeated         // the command took effect earlier
	Unknown          // no such job
	NoRoute          // no route matches the host and path
	Invalid
)
