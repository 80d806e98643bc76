// Package fleet runs workflows on workers. On the leader of the controllers it keeps one
// session with each worker: leases, starts, stops, and the list of what runs there. It plans
// with core/dispatch on the replicated state, records each decision in the log before it acts
// on it, and serves callers, workers and operators through the daemons that forward to it.
package fleet

import (
	"context"
	"errors"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
)

// Endpoint is where a life of a worker takes calls.
type Endpoint struct {
	Incarnation workflow.Incarnation
	Addr        string
}

// StartCall starts an attempt.
type StartCall struct {
	Attempt    workflow.Attempt
	Payload    string
	Checkpoint string
	LeaseUntil model.Millis // end of the lease of everything on the worker, on its clock
	Token      uint64       // fencing token
}

// HoldCall renews the lease, acknowledges ends, and asks what runs.
type HoldCall struct {
	LeaseUntil   model.Millis // 0 leaves the lease as it is
	Token        uint64
	AckedThrough uint64       // ends up to this number are recorded
	Wait         model.Millis // the answer may wait this long for an end
}

// Listing is what a worker says that it runs, and which ends are not acknowledged.
type Listing struct {
	Clock     model.Millis // of the worker
	StartedAt model.Millis
	Running   []Running
	Ended     []Ended
	Truncated bool // there are more ends than the answer holds
}

// Running is one running attempt.
type Running struct {
	Attempt    workflow.Attempt
	Checkpoint string
	Progress   int
	Usage      int64 // tail in milliseconds of a serving task, CPU in use in thousandths of a core of any other
}

// Ended is one ended attempt.
type Ended struct {
	Number     uint64
	Attempt    workflow.Attempt
	Kind       workflow.EndKind
	Checkpoint string
}

// WorkerClient calls workers. A call that returns none of the errors below and no answer may
// have been carried out, or may be carried out later.
type WorkerClient interface {
	Start(ctx context.Context, to Endpoint, call StartCall) (clock model.Millis, err error)
	Stop(ctx context.Context, to Endpoint, attempt workflow.Attempt, token uint64) (clock model.Millis, err error)
	Hold(ctx context.Context, to Endpoint, call HoldCall) (Listing, error)
	Pace(ctx context.Context, to Endpoint, attempt workflow.Attempt, percent int, token uint64) error
}

// Errors of WorkerClient that say that the call did nothing.
var (
	ErrWrongWorker       = errors.New("another process answers at the worker's address")
	ErrWorkerUnavailable = errors.New("the worker refuses calls for now")
	ErrFenced            = errors.New("the worker has seen a higher fencing token")
	ErrStaleAttempt      = errors.New("the worker will never run the attempt") // an equal or later one was stopped or has ended there
	ErrLeaseExpired      = errors.New("the lease of the call is over")
	ErrNoCapacity        = errors.New("the task does not fit on the worker")
	ErrMalformed         = errors.New("the worker cannot read the call")
)

// didNothing reports whether the error says that a start was not and will not be carried out.
func didNothing(err error) bool {
	for _, known := range []error{ErrWrongWorker, ErrWorkerUnavailable, ErrFenced, ErrStaleAttempt, ErrLeaseExpired, ErrNoCapacity, ErrMalformed} {
		if errors.Is(err, known) {
			return true
		}
	}
	return false
}

// Report is what a worker says about itself in a heartbeat.
type Report struct {
	Worker           workflow.Worker `cbor:"1,keyasint"`
	Sequence         uint64          `cbor:"2,keyasint,omitempty"` // rises within one life
	Clock            model.Millis    `cbor:"3,keyasint,omitempty"`
	DrainRemainingMs model.Millis    `cbor:"4,keyasint,omitempty"` // least time that a draining worker stays
}
