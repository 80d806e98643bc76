package fleet

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/workflow"
	"samphirepaddle.example/daemon/replica"
)

// slowLog is a log that commits one command after the other, in the order of their arrival, each after
// a delay. It records the order of the commits and the number of commands in progress.
type slowLog struct {
	replica.Log
	delay time.Duration
	turn  chan struct{}

	mu        sync.Mutex
	waiting   int
	peak      int
	committed int // submissions
	recorded  map[string]bool
}

func (s *slowLog) Propose(ctx context.Context, c state.Command) (state.Result, error) {
	s.count(1)
	defer s.count(-1)
	select {
	case s.turn <- struct{}{}:
		defer func() { <-s.turn }()
	case <-ctx.Done():
		return state.Result{}, ctx.Err()
	}
	time.Sleep(s.delay)
	result, err := s.Log.Propose(context.WithoutCancel(ctx), c)
	if c.Workflow != nil && c.Workflow.Submit != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.committed++
		s.recorded[c.Workflow.Submit.Path] = true
	}
	return result, err
}

func (s *slowLog) count(by int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting += by
	s.peak = max(s.peak, s.waiting)
}

func (s *slowLog) withLock(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// slowWorkers delays each start and stop, and looks for tasks that run on two workers.
type slowWorkers struct {
	*fakeWorkers
	delay time.Duration

	mu    sync.Mutex
	begun map[workflow.Attempt]workflow.WorkerID // the starts that were sent
	twice []workflow.TaskKey                     // tasks that ran on two workers or in two attempts at once
	all   []*fakeWorker
}

func (s *slowWorkers) Start(ctx context.Context, to Endpoint, call StartCall) (model.Millis, error) {
	s.mu.Lock()
	s.begun[call.Attempt] = to.Incarnation.Worker
	s.mu.Unlock()
	time.Sleep(s.delay)
	clock, err := s.fakeWorkers.Start(ctx, to, call)
	s.mu.Lock()
	defer s.mu.Unlock()
	running := 0
	for _, w := range s.all {
		for _, a := range w.runningAttempts() {
			if a.Task == call.Attempt.Task {
				running++
			}
		}
	}
	if running > 1 {
		s.twice = append(s.twice, call.Attempt.Task)
	}
	return clock, err
}

func (s *slowWorkers) Stop(ctx context.Context, to Endpoint, a workflow.Attempt, token uint64) (model.Millis, error) {
	time.Sleep(s.delay)
	return s.fakeWorkers.Stop(ctx, to, a, token)
}

// Hold lasts for the wait in the call, or until the worker lists an end that the call does not acknowledge.
func (s *slowWorkers) Hold(ctx context.Context, to Endpoint, call HoldCall) (Listing, error) {
	w, err := s.find(to)
	if err != nil {
		return Listing{}, err
	}
	for end := time.Now().Add(time.Duration(call.Wait) * time.Millisecond); time.Now().Before(end) && !w.hasEndAfter(call.AckedThrough); {
		time.Sleep(2 * time.Millisecond)
	}
	return s.fakeWorkers.Hold(ctx, to, call)
}

func (w *fakeWorker) hasEndAfter(number uint64) (has bool) {
	w.withLock(func() { has = len(w.ends) > 0 && w.ends[len(w.ends)-1].Number > number })
	return has
}

// overloadRig is a rig whose log and workers are slow.
type overloadRig struct {
	*rig
	slow   *slowLog
	client *slowWorkers
}

// Load of the overload test. Each caller submits one job after the other, so that far more submissions are
// in progress than the log commits while a caller waits.
const (
	overloadWorkers = 24
	overloadCallers = 1000
	overloadCancels = 40
	// maxOvertaking bounds the submissions that are committed before an order that was sent after them.
	// In the order of arrival it is the number of callers.
	maxOvertaking = overloadCallers / 2
	// maxInProgress bounds the commands that wait for the log.
	maxInProgress = 200
)

func newOverloadRig(t *testing.T) *overloadRig {
	r := &overloadRig{rig: newRig(t)}
	r.stop()
	r.lease = 9 * time.Second // the setting of the daemons: a lapse is an overload's fault, not that of a short lease
	r.slow = &slowLog{Log: r.log, delay: time.Millisecond, turn: make(chan struct{}, 1), recorded: map[string]bool{}}
	r.client = &slowWorkers{fakeWorkers: r.workers, delay: 50 * time.Millisecond, begun: map[workflow.Attempt]workflow.WorkerID{}}
	r.rig.client = r.client
	r.startEngineOn(r.slow)
	r.until("the controller leads", func() bool { return r.engine.currentLeadership() != nil })
	for i := range overloadWorkers {
		w := r.workers.add(fmt.Sprintf("w%d", i), 1)
		r.client.all = append(r.client.all, w)
		r.report(w)
	}
	for i := range overloadCancels {
		r.submit(fmt.Sprintf("cancelled%d", i), oneTask)
		r.submit(fmt.Sprintf("ending%d", i), oneTask)
	}
	r.until("the tasks run", func() bool { return r.runningTasks() == 2*overloadCancels })
	return r
}

func (r *overloadRig) runningTasks() int {
	count := 0
	for _, w := range r.client.all {
		count += len(w.runningAttempts())
	}
	return count
}

// outcomes are the paths of submissions by what their callers were told.
type outcomes struct {
	mu                         sync.Mutex
	accepted, refused, unknown []string
}

func (o *outcomes) add(path string, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case err == nil:
		o.accepted = append(o.accepted, path)
	case errors.Is(err, ErrUnknownOutcome):
		o.unknown = append(o.unknown, path)
	default:
		o.refused = append(o.refused, path)
	}
}

// flood has callers submit jobs until the returned function is called, which returns the outcomes.
func (r *overloadRig) flood() (end func() *outcomes) {
	var o outcomes
	var callers sync.WaitGroup
	done := make(chan struct{})
	for i := range overloadCallers {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for n := 0; ; n++ {
				path := fmt.Sprintf("/q/flood%d-%d", i, n)
				_, err := r.engine.Submit(context.Background(), workflow.Submission{Host: "h", Path: path, Payload: "p", Steps: []workflow.StepSpec{oneTask}})
				o.add(path, err)
				select {
				case <-done:
					return
				case <-time.After(10 * time.Millisecond):
				}
			}
		}()
	}
	return func() *outcomes {
		close(done)
		callers.Wait()
		return &o
	}
}

// overtaking fails the test if too many submissions are committed while the order is carried out.
func (r *overloadRig) overtaking(what string, order func()) {
	before, after := 0, 0
	r.slow.withLock(func() { before = r.slow.committed })
	order()
	r.slow.withLock(func() { after = r.slow.committed })
	r.t.Logf("%s: %d submissions were committed first", what, after-before)
	if after-before > maxOvertaking {
		r.t.Errorf("%s waited for %d submissions, at most %d are allowed", what, after-before, maxOvertaking)
	}
}

// attemptsOf returns the open attempts that the state has at this moment.
func (r *overloadRig) attemptsOf(match func(workflow.Attempt, workflow.WorkerID) bool) map[workflow.Attempt]bool {
	found := map[workflow.Attempt]bool{}
	r.log.View(func(st *state.State) {
		for _, incarnation := range st.Workflows.OpenIncarnations() {
			st.Workflows.VisitOpenAttempts(incarnation, func(a workflow.OpenAttempt) {
				if match(a.Attempt, incarnation.Worker) {
					found[a.Attempt] = true
				}
			})
		}
	})
	return found
}

// noFurtherStarts returns a check that no matching attempt is started but those that are open or were
// started by now.
func (r *overloadRig) noFurtherStarts(what string, match func(workflow.Attempt, workflow.WorkerID) bool) func() {
	r.client.mu.Lock()
	begun := maps.Clone(r.client.begun)
	r.client.mu.Unlock()
	open := r.attemptsOf(match)
	return func() {
		r.client.mu.Lock()
		defer r.client.mu.Unlock()
		for a, worker := range r.client.begun {
			if _, early := begun[a]; match(a, worker) && !early && !open[a] {
				r.t.Errorf("%s: attempt %v was started on %s after the acknowledgement", what, a, worker)
			}
		}
	}
}

// cancelAll cancels the jobs that were submitted before the flood, all at once.
func (r *overloadRig) cancelAll(checks chan<- func()) {
	var wg sync.WaitGroup
	for i := range overloadCancels {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := fmt.Sprintf("cancelled%d", i)
			r.untilKnown("cancellation", func() (state.Code, error) {
				response, err := r.engine.Cancel(context.Background(), workflow.Cancel{Host: "h", Path: "/q/" + id})
				return response.Code, err
			})
			checks <- r.noFurtherStarts(id, func(a workflow.Attempt, _ workflow.WorkerID) bool { return a.Task.Job == workflow.JobID(id) })
		}()
	}
	wg.Wait()
}

func (r *overloadRig) configure() {
	ticket := model.Ticket{Number: 2, Routing: &model.Routing{
		Routes:   []model.Route{{Name: "q", Host: "h", PathPrefix: "/q/", Service: "s", TimeoutMs: 2000, MaxAttempts: 2}},
		Services: []model.WorkerService{{Name: "s"}},
	}}
	r.untilKnown("ticket", func() (state.Code, error) {
		result, err := r.engine.Configure(context.Background(), ticket)
		return result.Code, err
	})
}

// drain reports that a worker drains.
func (r *overloadRig) drain(w *fakeWorker, checks chan<- func()) {
	w.withLock(func() { w.worker.Draining = true })
	r.report(w)
	checks <- r.noFurtherStarts("draining", func(_ workflow.Attempt, id workflow.WorkerID) bool { return id == w.worker.Incarnation.Worker })
}

// finishAll ends the tasks of the workers that belong to no cancelled job, and waits until the ends are acknowledged.
func (r *overloadRig) finishAll(workers []*fakeWorker) {
	last := map[*fakeWorker]uint64{}
	for _, w := range workers {
		w.withLock(func() {
			for a := range w.running {
				if strings.HasPrefix(string(a.Task.Job), "ending") {
					w.end(a, workflow.EndDone)
				}
			}
			last[w] = w.last
		})
	}
	for _, w := range workers {
		r.until("the ends are acknowledged", func() (acknowledged bool) {
			w.withLock(func() { acknowledged = len(w.ends) == 0 || w.ends[0].Number > last[w] })
			return acknowledged
		})
	}
}

// Guards against a leader that, beyond what it can carry, keeps configurations, cancellations, draining and
// ends waiting behind submissions, loses leases, or says of a submission that it was not recorded though it was.
func TestOverloadKeepsItsPromises(t *testing.T) {
	r := newOverloadRig(t)
	holds := map[*fakeWorker]int{}
	for _, w := range r.client.all {
		holds[w] = w.holdCount()
	}
	endFlood := r.flood()
	r.until("callers wait", func() bool { return r.slow.waitingNow() >= 50 })
	checks := make(chan func(), overloadCancels+1)
	var orders sync.WaitGroup
	for what, order := range map[string]func(){
		"configuration": r.configure,
		"cancellations": func() { r.cancelAll(checks) },
		"draining":      func() { r.drain(r.client.all[0], checks) },
		"ends":          func() { r.finishAll(r.client.all[1:]) },
	} {
		orders.Add(1)
		go func() {
			defer orders.Done()
			r.overtaking(what, order)
		}()
	}
	orders.Wait()
	for _, w := range r.client.all {
		r.until("every worker's lease is renewed", func() bool { return w.holdCount() > holds[w] })
	}
	o := endFlood()
	r.until("the cancelled tasks are stopped", func() bool { return r.runningOfCancelled() == 0 })
	close(checks)
	for check := range checks {
		check()
	}
	r.checkOutcomes(o)
	r.checkRuns()
}

func (r *overloadRig) runningOfCancelled() int {
	count := 0
	for _, w := range r.client.all {
		for _, a := range w.runningAttempts() {
			if strings.HasPrefix(string(a.Task.Job), "cancelled") {
				count++
			}
		}
	}
	return count
}

// checkOutcomes checks that the callers were told the truth, and early.
func (r *overloadRig) checkOutcomes(o *outcomes) {
	r.slow.mu.Lock()
	defer r.slow.mu.Unlock()
	r.t.Logf("%d submissions accepted, %d refused, %d without a known outcome; up to %d commands waited for the log",
		len(o.accepted), len(o.refused), len(o.unknown), r.slow.peak)
	for _, path := range o.accepted {
		if !r.slow.recorded[path] {
			r.t.Errorf("%s was accepted and not recorded", path)
		}
	}
	for _, path := range o.refused {
		if r.slow.recorded[path] {
			r.t.Errorf("%s was refused as not run and is recorded", path)
		}
	}
	if len(o.unknown) > 0 || len(o.refused) == 0 || len(o.accepted) == 0 {
		r.t.Errorf("%d submissions have no known outcome, %d are refused, %d accepted; want none, some, some", len(o.unknown), len(o.refused), len(o.accepted))
	}
	if r.slow.peak > maxInProgress {
		r.t.Errorf("%d commands waited for the log at once, at most %d are allowed", r.slow.peak, maxInProgress)
	}
}

// checkRuns checks that no task ran twice and that none was lost by a lapse.
func (r *overloadRig) checkRuns() {
	r.client.mu.Lock()
	defer r.client.mu.Unlock()
	if len(r.client.twice) > 0 {
		r.t.Errorf("tasks ran twice at the same time: %v", r.client.twice)
	}
	if lost := r.engine.opts.Metrics.counted("attempts", "lost"); lost > 0 {
		r.t.Errorf("%d attempts were lost although all workers answer", lost)
	}
	for _, w := range r.client.all {
		w.withLock(func() {
			for a, starts := range w.starts {
				if starts > 1 {
					r.t.Errorf("attempt %v was started %d times", a, starts)
				}
			}
		})
	}
}

func (s *slowLog) waitingNow() (waiting int) {
	s.withLock(func() { waiting = s.waiting })
	return waiting
}

// counted returns the value of a counter.
func (m *Metrics) counted(name, what string) int64 {
	return metrics.GetOrRegisterCounter(fmt.Sprintf("%s{%s}", name, what), m.registry).Count()
}
