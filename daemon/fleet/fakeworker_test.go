package fleet

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
)

// fakeWorker implements the workers' side of the protocol: fencing, leases, stopped attempts, and
// ends that are listed until they are acknowledged.
type fakeWorker struct {
	mu      sync.Mutex
	worker  workflow.Worker
	started time.Time
	token   uint64
	until   model.Millis
	limit   time.Duration               // of a lease
	running map[workflow.Attempt]string // the checkpoints that the attempts were started with
	stopped map[workflow.TaskKey]uint32 // highest attempt that was stopped or has ended
	ends    []EndedAttempt
	last    uint64 // number of the last end

	allAtWork     bool                        // tasks are listed as at work, with all of their startup done
	percentMs     model.Millis                // time in which the attempts advance by one percent
	tailMs        int64                       // tail latency of every running attempt
	longPolls     bool                        // hold calls last for their full wait if there is no end to list
	holds         int                         // number of hold calls
	overlap       int                         // starts of a task while another attempt of it was running
	silent        bool                        // responds to no calls
	silentAfter   int                         // if not zero, the hold call after whose response it is silent
	ignoresStops  bool                        // does not respond to stop calls
	powerLossAt   int                         // if not zero, the call at which the VM loses its power, counted from the next one
	refusesStarts bool                        // refuses the connections of start calls
	refused       int                         // number of refused starts
	ignored       int                         // number of calls without an answer because the VM had no power
	panics        bool                        // the next start panics after it was executed
	delayStart    func(workflow.Attempt) bool // selects starts that get no response and are executed by runDelayed
	delayed       []StartCall                 // to be executed by runDelayed
	starts        map[workflow.Attempt]int    // number of executed starts
}

var errSilent = errors.New("no response")

// fakeWorkers is a WorkerClient for a set of fake workers.
type fakeWorkers struct {
	t      *testing.T
	mu     sync.Mutex
	byAddr map[string]*fakeWorker
}

func newFakeWorkers(t *testing.T) *fakeWorkers {
	return &fakeWorkers{t: t, byAddr: map[string]*fakeWorker{}}
}

func (f *fakeWorkers) add(id string, startedAt model.Millis) *fakeWorker {
	w := &fakeWorker{
		worker: workflow.Worker{
			Incarnation: workflow.Incarnation{Worker: workflow.WorkerID(id), StartedAt: startedAt}, Addr: "addr-" + id, Service: "s",
			CPUMillis: 4000, MemoryMiB: 4000,
		},
		started: time.Now(), limit: testLimit, percentMs: 10, running: map[workflow.Attempt]string{}, stopped: map[workflow.TaskKey]uint32{},
		starts: map[workflow.Attempt]int{},
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.byAddr[w.worker.Addr] = w
	return w
}

// move makes the worker listen at the address in place of the one that does.
func (f *fakeWorkers) move(w *fakeWorker, addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.byAddr, w.worker.Addr)
	w.worker.Addr = addr
	f.byAddr[addr] = w
}

func (f *fakeWorkers) find(to Endpoint) (*fakeWorker, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, ok := f.byAddr[to.Addr]
	if !ok {
		return nil, errSilent
	}
	if w.worker.Incarnation.Worker != to.Incarnation.Worker {
		return nil, ErrWrongWorker
	}
	return w, nil
}

// lockReachable returns the worker at the endpoint with its mutex locked, or an error if the worker
// cannot be reached.
func (f *fakeWorkers) lockReachable(to Endpoint) (*fakeWorker, error) {
	w, err := f.find(to)
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	if w.silent {
		w.mu.Unlock()
		return nil, errSilent
	}
	return w, nil
}

func (w *fakeWorker) clock() model.Millis {
	return model.Millis(time.Since(w.started).Milliseconds()) + 1
}

// extend extends the lease up to the limit; w.mu must be held.
func (w *fakeWorker) extend(until model.Millis) {
	w.until = max(w.until, min(until, w.clock()+model.Millis(w.limit.Milliseconds())))
}

// checkToken ends all attempts if the lease has expired, and checks the fencing token; w.mu must be
// held.
func (w *fakeWorker) checkToken(token uint64) error {
	if w.until > 0 && w.clock() > w.until {
		for a := range w.running {
			w.end(a, workflow.EndLeaseExpired)
		}
	}
	if token < w.token {
		return ErrFenced
	}
	w.token = token
	return nil
}

func (w *fakeWorker) end(a workflow.Attempt, kind workflow.EndKind) {
	delete(w.running, a)
	w.last++
	w.stopped[a.Task] = max(w.stopped[a.Task], a.Number)
	w.ends = append(w.ends, EndedAttempt{Number: w.last, Attempt: a, Kind: kind, Checkpoint: "saved"})
}

// lockAnswering is like lockReachable, but waits for the end of ctx if the worker's VM has no power.
func (f *fakeWorkers) lockAnswering(ctx context.Context, to Endpoint) (*fakeWorker, error) {
	w, err := f.lockReachable(to)
	if err != nil || w.powerLossAt == 0 {
		return w, err
	}
	if w.powerLossAt--; w.powerLossAt > 0 {
		return w, nil
	}
	w.powerLossAt, w.ignored = 1, w.ignored+1
	w.mu.Unlock()
	<-ctx.Done()
	return nil, errSilent
}

func (f *fakeWorkers) Start(ctx context.Context, to Endpoint, call StartCall) (model.Millis, error) {
	w, err := f.lockAnswering(ctx, to)
	if err != nil {
		return 0, err
	}
	defer w.mu.Unlock()
	if w.refusesStarts {
		w.refused++
		return 0, ErrUnreachable
	}
	if w.delayStart != nil && w.delayStart(call.Attempt) {
		w.delayed = append(w.delayed, call)
		return 0, errSilent
	}
	err = w.start(call)
	if w.panics {
		w.panics = false
		panic("test")
	}
	return w.clock(), err
}

func (w *fakeWorker) start(call StartCall) error {
	if err := w.checkToken(call.Token); err != nil {
		return err
	}
	if _, ok := w.running[call.Attempt]; ok {
		return nil
	}
	if call.LeaseUntil <= w.clock() {
		return ErrLeaseExpired
	}
	if call.Attempt.Number <= w.stopped[call.Attempt.Task] {
		return ErrStaleAttempt
	}
	w.extend(call.LeaseUntil)
	for a := range w.running {
		if a.Task == call.Attempt.Task {
			w.overlap++
		}
	}
	w.running[call.Attempt] = call.Checkpoint
	w.starts[call.Attempt]++
	return nil
}

// runDelayed executes the starts that got no response.
func (w *fakeWorker) runDelayed() (errs []error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, call := range w.delayed {
		errs = append(errs, w.start(call))
	}
	w.delayed = nil
	return errs
}

func (f *fakeWorkers) Stop(_ context.Context, to Endpoint, a workflow.Attempt, token uint64) (model.Millis, error) {
	w, err := f.lockReachable(to)
	if err != nil {
		return 0, err
	}
	defer w.mu.Unlock()
	if w.ignoresStops {
		return 0, errSilent
	}
	if err := w.checkToken(token); err != nil {
		return 0, err
	}
	if _, ok := w.running[a]; ok {
		w.end(a, workflow.EndStopped)
	}
	w.stopped[a.Task] = max(w.stopped[a.Task], a.Number)
	return w.clock(), nil
}

func (f *fakeWorkers) Hold(ctx context.Context, to Endpoint, call HoldCall) (Listing, error) {
	w, err := f.lockAnswering(ctx, to)
	if err != nil {
		return Listing{}, err
	}
	defer w.mu.Unlock()
	if err := w.checkToken(call.Token); err != nil {
		return Listing{}, err
	}
	w.holds++
	if w.longPolls && len(w.ends) == 0 {
		w.mu.Unlock()
		time.Sleep(time.Duration(call.Wait) * time.Millisecond)
		w.mu.Lock()
		if now, err := f.find(to); err != nil || now != w {
			return Listing{}, errSilent // the process has ended and its connections are closed
		}
	}
	w.extend(call.LeaseUntil)
	w.ends = slices.DeleteFunc(w.ends, func(e EndedAttempt) bool { return e.Number <= call.AckedThrough })
	listing := Listing{Clock: w.clock(), StartedAt: w.worker.Incarnation.StartedAt, Ended: slices.Clone(w.ends)}
	for a := range w.running {
		progress := int(w.clock()/w.percentMs) % 100
		if w.allAtWork {
			progress = 100
		}
		listing.Running = append(listing.Running, RunningAttempt{Attempt: a, Checkpoint: "listed", Progress: progress, Usage: w.tailMs})
	}
	w.silent = w.silent || w.silentAfter == w.holds
	return listing, nil
}

func (f *fakeWorkers) Pace(context.Context, Endpoint, workflow.Attempt, int, uint64) error {
	return nil
}

// holdCount returns the number of hold calls so far.
func (w *fakeWorker) holdCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.holds
}

// startedAttempts returns the number of attempts that were started.
func (w *fakeWorker) startedAttempts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.starts)
}

// unacknowledged returns the number of ends that the worker still lists.
func (w *fakeWorker) unacknowledged() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.ends)
}

// runningAttempts returns the running attempts.
func (w *fakeWorker) runningAttempts() []workflow.Attempt {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Collect(maps.Keys(w.running))
}

func (w *fakeWorker) withLock(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// finish ends all running attempts.
func (w *fakeWorker) finish(kind workflow.EndKind) {
	w.withLock(func() {
		for a := range w.running {
			w.end(a, kind)
		}
	})
}
