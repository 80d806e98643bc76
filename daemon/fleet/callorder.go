package fleet

import (
	"context"
	"fmt"
	"sync"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
)

// Classes of the calls to one worker other than hold calls, in their order.
const (
	classStop operationClass = iota
	classPace
	classStart
)

// callLimits leave one of the two connections to a worker to its hold call, which renews the lease: one other
// call is in progress. 256 starts of 3 ms are made within orderTimeout; further ones would not be sent in time.
var callLimits = [operationClasses]classLimits{
	classStop:  {name: "stop", inProgress: 1, waiting: 1024},
	classPace:  {name: "pace", inProgress: 1, waiting: 1024},
	classStart: {name: "start", inProgress: 1, waiting: 256},
}

// orderedCalls is a WorkerClient that makes one stop, pace or start call to a worker at a time, in that order.
// Connections to a worker are few and are given out in the order of arrival, so that a hold call, or the stop
// of a cancelled task, would otherwise wait behind all starts for a slow worker.
type orderedCalls struct {
	WorkerClient

	mu      sync.Mutex
	workers map[string]*workerCalls // by address; those with calls
}

type workerCalls struct {
	*admission
	calls int // in progress or waiting; guarded by orderedCalls.mu
}

// OrderCalls returns a client that orders the calls of c to each worker.
func OrderCalls(c WorkerClient) WorkerClient {
	return &orderedCalls{WorkerClient: c, workers: map[string]*workerCalls{}}
}

// enter waits until a call of the class may be made to the address.
func (o *orderedCalls) enter(ctx context.Context, addr string, class operationClass) (leave func(), err error) {
	o.mu.Lock()
	w := o.workers[addr]
	if w == nil {
		w = &workerCalls{admission: newAdmission(&callLimits)}
		o.workers[addr] = w
	}
	w.calls++
	o.mu.Unlock()
	forget := func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		if w.calls--; w.calls == 0 {
			delete(o.workers, addr)
		}
	}
	end, err := w.admission.enter(ctx, class)
	if err != nil {
		forget()
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return func() {
		end()
		forget()
	}, nil
}

func (o *orderedCalls) Start(ctx context.Context, to Endpoint, call StartCall) (model.Millis, error) {
	leave, err := o.enter(ctx, to.Addr, classStart)
	if err != nil {
		return 0, err
	}
	defer leave()
	return o.WorkerClient.Start(ctx, to, call)
}

func (o *orderedCalls) Stop(ctx context.Context, to Endpoint, a workflow.Attempt, token uint64) (model.Millis, error) {
	leave, err := o.enter(ctx, to.Addr, classStop)
	if err != nil {
		return 0, err
	}
	defer leave()
	return o.WorkerClient.Stop(ctx, to, a, token)
}

func (o *orderedCalls) Pace(ctx context.Context, to Endpoint, a workflow.Attempt, percent int, token uint64) error {
	leave, err := o.enter(ctx, to.Addr, classPace)
	if err != nil {
		return err
	}
	defer leave()
	return o.WorkerClient.Pace(ctx, to, a, percent, token)
}
