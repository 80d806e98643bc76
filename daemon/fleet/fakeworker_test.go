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

// fakeWorker keeps the workers' side of the protocol: fencing, leases, attempts that were
// stopped, ends that are listed until they are acknowledged.
type fakeWorker struct {
	mu      sync.Mutex
	worker  workflow.Worker
	started time.Time
	token   uint64
	until   model.Millis
	running map[workflow.Attempt]string // checkpoint it was started with
	stopped map[workflow.TaskKey]uint32
	ends    []Ended
	last    uint64

	tail    int64                       // figure of every run
	waits   bool                        // holds without an end take as long as they may
	holds   int                         // calls of hold
	overlap int                         // starts of a task that ran already as another attempt
	silent  bool                        // answers nothing
	lateFor func(workflow.Attempt) bool // starts that get no answer and are carried out by runLate
	late    []StartCall                 // carried out by runLate
	starts  map[workflow.Attempt]int    // starts that took effect
}

var errSilent = errors.New("no answer")

// fakeWorkers is a set of workers by life.
type fakeWorkers struct {
	t  *testing.T
	mu sync.Mutex
	at map[string]*fakeWorker // by address
}

func newFakeWorkers(t *testing.T) *fakeWorkers {
	return &fakeWorkers{t: t, at: map[string]*fakeWorker{}}
}

func (f *fakeWorkers) add(id string, born model.Millis) *fakeWorker {
	w := &fakeWorker{
		worker: workflow.Worker{
			Incarnation: workflow.Incarnation{Worker: workflow.WorkerID(id), StartedAt: born}, Addr: "addr-" + id, Service: "s",
			CPUMillis: 4000, MemoryMiB: 4000,
		},
		started: time.Now(), running: map[workflow.Attempt]string{}, stopped: map[workflow.TaskKey]uint32{},
		starts: map[workflow.Attempt]int{},
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.at[w.worker.Addr] = w
	return w
}

func (f *fakeWorkers) find(to Endpoint) (*fakeWorker, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, ok := f.at[to.Addr]
	if !ok {
		return nil, errSilent
	}
	if w.worker.Incarnation.Worker != to.Incarnation.Worker {
		return nil, ErrWrongWorker
	}
	return w, nil
}

// reach returns the worker that takes a call, locked.
func (f *fakeWorkers) reach(to Endpoint) (*fakeWorker, error) {
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

// admit checks the token and lets a lease that is over end everything; mu is held.
func (w *fakeWorker) admit(token uint64) error {
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
	w.ends = append(w.ends, Ended{Number: w.last, Attempt: a, Kind: kind, Checkpoint: "saved"})
}

func (f *fakeWorkers) Start(_ context.Context, to Endpoint, call StartCall) (model.Millis, error) {
	w, err := f.reach(to)
	if err != nil {
		return 0, err
	}
	defer w.mu.Unlock()
	if w.lateFor != nil && w.lateFor(call.Attempt) {
		w.late = append(w.late, call)
		return 0, errSilent
	}
	return w.clock(), w.start(call)
}

func (w *fakeWorker) start(call StartCall) error {
	if err := w.admit(call.Token); err != nil {
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
	w.until = max(w.until, call.LeaseUntil)
	for a := range w.running {
		if a.Task == call.Attempt.Task {
			w.overlap++
		}
	}
	w.running[call.Attempt] = call.Checkpoint
	w.starts[call.Attempt]++
	return nil
}

// runLate carries out the starts that got no answer.
func (w *fakeWorker) runLate() (errs []error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, call := range w.late {
		errs = append(errs, w.start(call))
	}
	w.late = nil
	return errs
}

func (f *fakeWorkers) Stop(_ context.Context, to Endpoint, a workflow.Attempt, token uint64) (model.Millis, error) {
	w, err := f.reach(to)
	if err != nil {
		return 0, err
	}
	defer w.mu.Unlock()
	if err := w.admit(token); err != nil {
		return 0, err
	}
	if _, ok := w.running[a]; ok {
		w.end(a, workflow.EndStopped)
	}
	w.stopped[a.Task] = max(w.stopped[a.Task], a.Number)
	return w.clock(), nil
}

func (f *fakeWorkers) Hold(_ context.Context, to Endpoint, call HoldCall) (Listing, error) {
	w, err := f.reach(to)
	if err != nil {
		return Listing{}, err
	}
	defer w.mu.Unlock()
	if err := w.admit(call.Token); err != nil {
		return Listing{}, err
	}
	w.holds++
	if w.waits && len(w.ends) == 0 {
		w.mu.Unlock()
		time.Sleep(time.Duration(call.Wait) * time.Millisecond)
		w.mu.Lock()
		if now, err := f.find(to); err != nil || now != w {
			return Listing{}, errSilent // the life has ended, and its connections with it
		}
	}
	w.until = max(w.until, call.LeaseUntil)
	w.ends = slices.DeleteFunc(w.ends, func(e Ended) bool { return e.Number <= call.AckedThrough })
	listing := Listing{Clock: w.clock(), StartedAt: w.worker.Incarnation.StartedAt, Ended: slices.Clone(w.ends)}
	for a := range w.running {
		listing.Running = append(listing.Running, Running{Attempt: a, Checkpoint: "listed", Progress: int(w.clock()/10) % 100, Usage: w.tail})
	}
	return listing, nil
}

func (f *fakeWorkers) Pace(context.Context, Endpoint, workflow.Attempt, int, uint64) error {
	return nil
}

// called returns how often the worker was asked what it runs.
func (w *fakeWorker) called() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.holds
}

// attempts returns the number of attempts that were started.
func (w *fakeWorker) attempts() int {
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

// runs returns the running attempts.
func (w *fakeWorker) runs() []workflow.Attempt {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Collect(maps.Keys(w.running))
}

func (w *fakeWorker) set(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// finish ends a running attempt of the task.
func (w *fakeWorker) finish(kind workflow.EndKind) {
	w.set(func() {
		for a := range w.running {
			w.end(a, kind)
		}
	})
}
