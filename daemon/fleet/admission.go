package fleet

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"
)

// ErrOverloaded reports that nothing was done because the leader has more to record than its log takes in
// time. Another controller cannot help.
var ErrOverloaded = errors.New("the leader is overloaded")

// operationClass orders the commands that wait for the log. The batches of the passes, which record ends,
// lost leases and workers' reports, are in no class: one at a time is in progress, and it never waits here.
type operationClass uint8

const (
	classConfiguration operationClass = iota
	classCancellation
	classSubmission
	operationClasses // number of classes
)

// classLimits are the bounds of one class.
type classLimits struct {
	name string
	// inProgress is the number of commands of all classes in the log below which one of this class is
	// proposed. The log commits in the order of arrival, so it also bounds what a batch of a pass and a
	// command of a higher class wait behind.
	inProgress int
	waiting    int           // commands that wait to be proposed; further ones are refused at once
	wait       time.Duration // after which a command is refused; 0 is the caller's patience
}

// A commit of 20 ms carries 64 submissions, which is 3,200 a second; the largest site starts 1,800 tasks a second.
// With 128, configurations and cancellations waited behind 128 submissions in TestOverloadKeepsItsPromises, with 64
// behind 64. Submissions wait for a third of callTimeout, so that the commit still fits into it.
var admissionLimits = [operationClasses]classLimits{
	classConfiguration: {name: "configuration", inProgress: 192, waiting: 64},
	classCancellation:  {name: "cancellation", inProgress: 128, waiting: 1024},
	classSubmission:    {name: "submission", inProgress: 64, waiting: 512, wait: callTimeout / 3},
}

// errNotAdmitted reports that an operation must not be begun.
var errNotAdmitted = errors.New("not admitted")

// admission bounds the operations in progress: commands of callers and operators in the log, or calls to one
// worker. Those that wait are admitted by class, and in the order of their arrival within a class.
type admission struct {
	limits *[operationClasses]classLimits

	mu         sync.Mutex
	inProgress int
	waiting    [operationClasses][]chan struct{} // closed once admitted
}

func newAdmission(limits *[operationClasses]classLimits) *admission {
	return &admission{limits: limits}
}

// enter waits until an operation of the class may begin. leave must be called once it has ended. The error is
// errNotAdmitted.
func (a *admission) enter(ctx context.Context, class operationClass) (leave func(), err error) {
	admitted, err := a.enqueue(class)
	if err != nil {
		return nil, err
	}
	var expired <-chan time.Time
	if wait := a.limits[class].wait; wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-admitted:
		return a.leave, nil
	case <-expired:
	case <-ctx.Done():
	}
	if !a.abandon(class, admitted) {
		return a.leave, nil // admitted in the meantime
	}
	return nil, fmt.Errorf("%w: the %s has waited for too long", errNotAdmitted, a.limits[class].name)
}

// enqueue adds an operation to those that wait, and returns the channel that is closed once it is admitted.
func (a *admission) enqueue(class operationClass) (chan struct{}, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.waiting[class]) >= a.limits[class].waiting {
		return nil, fmt.Errorf("%w: %d operations of the class %s wait", errNotAdmitted, len(a.waiting[class]), a.limits[class].name)
	}
	admitted := make(chan struct{})
	a.waiting[class] = append(a.waiting[class], admitted)
	a.admit()
	return admitted, nil
}

// admit admits what the limits allow, higher classes first; a.mu must be held.
func (a *admission) admit() {
	for class := range a.waiting {
		for len(a.waiting[class]) > 0 && a.inProgress < a.limits[class].inProgress {
			close(a.waiting[class][0])
			a.waiting[class] = slices.Delete(a.waiting[class], 0, 1)
			a.inProgress++
		}
	}
}

// abandon removes an operation that waits. It reports false if it has been admitted.
func (a *admission) abandon(class operationClass, admitted chan struct{}) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	i := slices.Index(a.waiting[class], admitted)
	if i < 0 {
		return false
	}
	a.waiting[class] = slices.Delete(a.waiting[class], i, i+1)
	return true
}

func (a *admission) leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inProgress--
	a.admit()
}
