// Package fleet runs workflows on workers. The leading controller keeps one session with each
// worker, which covers leases, start and stop calls, and the list of running attempts. It plans
// with core/dispatch on the replicated state, commits each decision to the log before it acts on
// it, and serves callers, workers and operators through the daemons that forward to it.
package fleet

import (
	"context"
	"errors"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
)

// Endpoint is the address of one worker process.
type Endpoint struct {
	Incarnation workflow.Incarnation
	Addr        string
	Zone        model.Zone
}

// StartCall is the request to start an attempt.
type StartCall struct {
	Attempt    workflow.Attempt
	Payload    string
	Checkpoint string
	LeaseUntil model.Millis // end of the lease of all tasks on the worker, on the worker's clock
	Token      uint64       // fencing token
}

// HoldCall is the long-poll request that renews the lease, acknowledges ends, and returns a
// Listing.
type HoldCall struct {
	LeaseUntil   model.Millis // new end of the lease; 0 leaves it unchanged
	Token        uint64
	AckedThrough uint64       // ends up to this number are committed and need not be listed again
	Wait         model.Millis // how long the worker may wait for an attempt to end before it responds
}

// Listing is the response to a HoldCall: the attempts that run on the worker and the ends that are
// not acknowledged yet.
type Listing struct {
	Clock     model.Millis // reading of the worker's clock
	StartedAt model.Millis // start time of the worker process
	Running   []RunningAttempt
	Ended     []EndedAttempt
	Truncated bool // there are more ends than the response holds
}

// RunningAttempt is one running attempt.
type RunningAttempt struct {
	Attempt    workflow.Attempt
	Checkpoint string
	Progress   int   // percent of the work done
	Usage      int64 // tail latency in milliseconds of a serving task, CPU usage in millicores of any other
}

// EndedAttempt is one ended attempt.
type EndedAttempt struct {
	Number     uint64
	Attempt    workflow.Attempt
	Kind       workflow.EndKind
	Checkpoint string
}

// WorkerClient calls workers. After an error that is none of those below, the worker may have
// executed the call or may still execute it.
type WorkerClient interface {
	Start(ctx context.Context, to Endpoint, call StartCall) (clock model.Millis, err error)
	Stop(ctx context.Context, to Endpoint, attempt workflow.Attempt, token uint64) (clock model.Millis, err error)
	Hold(ctx context.Context, to Endpoint, call HoldCall) (Listing, error)
	Pace(ctx context.Context, to Endpoint, attempt workflow.Attempt, percent int, token uint64) error
}

// Errors of WorkerClient that guarantee that the call had no effect.
var (
	ErrWrongWorker       = errors.New("another process answers at the worker's address")
	ErrWorkerUnavailable = errors.New("the worker temporarily refuses calls")
	ErrFenced            = errors.New("the worker has seen a higher fencing token")
	ErrStaleAttempt      = errors.New("the worker will never run the attempt") // the same or a later attempt was stopped or has ended there
	ErrLeaseExpired      = errors.New("the lease in the call has expired")
	ErrNoCapacity        = errors.New("the task does not fit on the worker")
	ErrMalformed         = errors.New("the worker could not decode the call")
	ErrNotSent           = errors.New("the call was not sent to the worker")       // says nothing about the worker
	ErrUnreachable       = errors.New("no connection to the worker can be opened") // its process may have ended
)

// rejected reports whether the error guarantees that a start was not and will not be executed.
func rejected(err error) bool {
	for _, known := range []error{ErrWrongWorker, ErrWorkerUnavailable, ErrFenced, ErrStaleAttempt, ErrLeaseExpired, ErrNoCapacity, ErrMalformed, ErrNotSent, ErrUnreachable} {
		if errors.Is(err, known) {
			return true
		}
	}
	return false
}

// WorkerReport is the content of a worker's heartbeat.
type WorkerReport struct {
	Worker           workflow.Worker `cbor:"1,keyasint"`
	Sequence         uint64          `cbor:"2,keyasint,omitempty"` // increases with each heartbeat of a worker process
	Clock            model.Millis    `cbor:"3,keyasint,omitempty"`
	DrainRemainingMs model.Millis    `cbor:"4,keyasint,omitempty"` // minimum time until a draining worker ends
}
