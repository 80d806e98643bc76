package fleet

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/workflow"
	"samphirepaddle.example/daemon/replica"
	"samphirepaddle.example/daemon/replica/replicatest"
	"samphirepaddle.example/daemon/rpc"
)

// testLease is short, so that tests of lapsed leases are quick.
const testLease = 1200 * time.Millisecond

// rig is one controller that leads, and fake workers.
type rig struct {
	t       *testing.T
	log     *replica.Replica
	engine  *Engine
	workers *fakeWorkers
	stop    context.CancelFunc
}

func newRig(t *testing.T) *rig {
	t.Helper()
	log, listener := replicatest.OpenAlone(t)
	mux := http.NewServeMux()
	mux.Handle(rpc.ConsensusPathPrefix, log.Handler())
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(listener) }()
	r := &rig{t: t, log: log, workers: newFakeWorkers(t)}
	r.lead()
	t.Cleanup(func() {
		r.stop()
		_ = log.Close()
		_ = server.Close()
	})
	r.until("the controller leads", func() bool { return r.engine.current() != nil })
	ticket := model.Ticket{Number: 1, Routing: &model.Routing{
		Routes:   []model.Route{{Name: "q", Host: "h", PathPrefix: "/q/", Service: "s", TimeoutMs: 1000, MaxAttempts: 2}},
		Services: []model.WorkerService{{Name: "s"}},
	}}
	if result, err := r.engine.Configure(context.Background(), ticket); err != nil || !result.OK() {
		t.Fatalf("ticket: %v, %v", result, err)
	}
	return r
}

// lead starts an engine on the log, like a leader that takes over.
func (r *rig) lead() {
	ctx, stop := context.WithCancel(context.Background())
	r.engine = NewEngine(Options{
		Log: r.log, Workers: r.workers, Logger: zerolog.Nop(), LeaderLease: 200 * time.Millisecond, WorkerLease: testLease,
	})
	done := make(chan struct{})
	go func() {
		r.engine.Run(ctx)
		close(done)
	}()
	r.stop = func() {
		stop()
		<-done
	}
}

// until waits for a condition; the time only bounds a test that fails.
func (r *rig) until(what string, condition func() bool) {
	r.t.Helper()
	for end := time.Now().Add(time.Minute); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("did not happen: %s", what)
		}
	}
}

func (r *rig) report(w *fakeWorker) {
	r.t.Helper()
	r.until("the report is recorded", func() bool {
		_, err := r.engine.Report(context.Background(), Report{Worker: w.worker, Clock: w.clock()})
		return err == nil
	})
}

// join adds a worker and reports it.
func (r *rig) join(id string, born model.Millis) *fakeWorker {
	r.t.Helper()
	w := r.workers.add(id, born)
	r.report(w)
	return w
}

func (r *rig) submit(id string, steps ...workflow.StepSpec) {
	r.t.Helper()
	answer, err := r.engine.Submit(context.Background(), workflow.Submission{Host: "h", Path: "/q/" + id, Payload: "p", Steps: steps})
	if err != nil || answer.Code != state.CodeOK {
		r.t.Fatalf("submission: %+v, %v", answer, err)
	}
}

// runningTask adds a worker that runs the only task of job j.
func (r *rig) runningTask() *fakeWorker {
	r.t.Helper()
	w := r.join("a", 1)
	r.submit("j", oneTask)
	r.until("the task runs", func() bool { return len(w.runs()) == 1 })
	return w
}

func (r *rig) shown(id string) workflow.JobStatus {
	var shown workflow.JobStatus
	r.log.View(func(st *state.State) { shown, _ = st.Workflows.StatusOf(workflow.JobID(id)) })
	return shown
}

var oneTask = workflow.StepSpec{Count: 1, CPUMillis: 1000, MemoryMiB: 10}

// running returns the worker that runs a task, if exactly one does.
func running(workers ...*fakeWorker) *fakeWorker {
	var found *fakeWorker
	for _, w := range workers {
		if len(w.runs()) > 0 {
			if found != nil {
				return nil
			}
			found = w
		}
	}
	return found
}

// Guards against a job that is not run to its end, and against ends that are acknowledged
// before they are in the log.
func TestJobRunsToItsEnd(t *testing.T) {
	r := newRig(t)
	w := r.join("a", 1)
	r.submit("j", oneTask, workflow.StepSpec{Count: 2, CPUMillis: 1000, After: []int{0}})
	r.until("the first step runs", func() bool { return len(w.runs()) == 1 })
	w.finish(workflow.EndDone)
	r.until("the second step runs", func() bool { return len(w.runs()) == 2 })
	w.finish(workflow.EndDone)
	r.until("the job is completed", func() bool { return r.shown("j") == workflow.StatusCompleted })
	r.until("the ends are acknowledged", func() bool {
		left := 0
		w.set(func() { left = len(w.ends) })
		return left == 0
	})
}

// Guards against a task that is started elsewhere while its first start, which got no answer,
// may still be carried out.
func TestUnansweredStartIsSettledFirst(t *testing.T) {
	r := newRig(t)
	a, b := r.workers.add("a", 1), r.workers.add("b", 1)
	first := true
	late := func(workflow.Attempt) bool {
		was := first
		first = false
		return was
	}
	a.lateFor, b.lateFor = late, late
	r.report(a)
	r.report(b)
	r.submit("j", oneTask)
	r.until("the task runs", func() bool { return running(a, b) != nil })
	for _, w := range []*fakeWorker{a, b} {
		for _, err := range w.runLate() {
			if !errors.Is(err, ErrStaleAttempt) {
				t.Errorf("the late start was carried out: %v", err)
			}
		}
	}
	if running(a, b) == nil {
		t.Error("the task runs twice or not at all")
	}
}

// Guards against a start without an answer that stays open for ever on a worker with nothing
// else to tell: its lists take longer than the pause between two stops.
func TestUnansweredStartOnIdleWorkerIsSettled(t *testing.T) {
	r := newRig(t)
	a := r.workers.add("a", 1)
	a.waits = true
	first := true
	a.lateFor = func(workflow.Attempt) bool {
		was := first
		first = false
		return was
	}
	r.report(a)
	r.submit("j", oneTask)
	r.until("the task runs as its second attempt", func() bool {
		runs := a.runs()
		return len(runs) == 1 && runs[0].Number == 2
	})
}

// Guards against a new leader that starts a task again which runs already, or that does not
// continue one that was assigned and never started.
func TestNextLeaderTakesOver(t *testing.T) {
	r := newRig(t)
	a := r.join("a", 1)
	r.submit("runs", oneTask)
	r.until("the task runs", func() bool { return len(a.runs()) == 1 })
	before := a.runs()[0]
	r.stop()
	assignNever(r, a)
	r.lead()
	r.until("the next leader leads", func() bool { return r.engine.current() != nil })
	r.until("the task that was never started runs", func() bool { return len(a.runs()) == 2 })
	for _, attempt := range a.runs() {
		if attempt.Task == before.Task && attempt != before {
			t.Errorf("attempt %v replaced %v", attempt, before)
		}
	}
}

// assignNever records an assignment whose start was never sent.
func assignNever(r *rig, w *fakeWorker) {
	r.t.Helper()
	ctx := context.Background()
	submit := workflow.Command{Submit: &workflow.Submission{Host: "h", Path: "/q/never", Steps: []workflow.StepSpec{oneTask}}}
	assign := workflow.Command{Batch: &workflow.Batch{Assign: []workflow.Assignment{{
		Attempt: workflow.Attempt{Task: workflow.TaskKey{Job: "never"}, Number: 1}, Incarnation: w.worker.Incarnation,
	}}}}
	for _, c := range []workflow.Command{submit, assign} {
		if _, err := r.log.Propose(ctx, state.Command{Workflow: &c}); err != nil {
			r.t.Fatal(err)
		}
	}
}

// Guards against a cancelled task that runs on, and against a cancellation that starts it
// again.
func TestCancelStopsTasks(t *testing.T) {
	r := newRig(t)
	a := r.join("a", 1)
	r.submit("j", workflow.StepSpec{Count: 2, CPUMillis: 100, LongRunning: true})
	r.until("the tasks run", func() bool { return len(a.runs()) == 2 })
	if answer, err := r.engine.Cancel(context.Background(), workflow.Cancel{Host: "h", Path: "/q/j"}); err != nil || answer.Code != state.CodeOK {
		t.Fatalf("cancellation: %+v, %v", answer, err)
	}
	r.until("the tasks are gone and closed", func() bool {
		open := false
		r.log.View(func(st *state.State) { open = st.Workflows.HasOpen(a.worker.Incarnation) })
		return len(a.runs()) == 0 && !open
	})
}

// Guards against tasks that stay on a worker that leaves, and against starts on it.
func TestLeavingWorkerHandsItsTasksOver(t *testing.T) {
	r := newRig(t)
	a := r.join("a", 1)
	r.submit("lasts", workflow.StepSpec{Count: 1, CPUMillis: 100, LongRunning: true})
	r.until("the task runs", func() bool { return len(a.runs()) == 1 })
	b := r.join("b", 1)
	a.worker.Draining = true
	r.report(a)
	r.until("the task has moved", func() bool { return len(a.runs()) == 0 && len(b.runs()) == 1 })
	r.submit("next", oneTask)
	r.until("the next task runs", func() bool { return len(b.runs()) == 2 })
}

// Guards against a filler that stands still beside a serving task for as long as it presses on
// it, and holds its place meanwhile.
func TestPausedFillerMoves(t *testing.T) {
	r := newRig(t)
	a := r.join("a", 1)
	r.submit("serves", workflow.StepSpec{Count: 1, CPUMillis: 1000, LongRunning: true, Image: "s", TailTargetMs: 20})
	r.until("the serving task runs", func() bool { return len(a.runs()) == 1 })
	r.submit("fills", workflow.StepSpec{Count: 1, CPUMillis: 1000, UsesSpareCPU: true, Checkpoints: true, Image: "f"})
	r.until("the filler runs beside it", func() bool { return len(a.runs()) == 2 })
	a.set(func() { a.tail = 50 })
	b := r.join("b", 1)
	r.until("the filler has moved", func() bool { return len(a.runs()) == 1 && len(b.runs()) == 1 })
	if moved := b.runs()[0]; moved.Task.Job != "fills" || b.running[moved] != "saved" {
		t.Errorf("attempt %v runs on the other worker from checkpoint %q", moved, b.running[moved])
	}
}

// Guards against a leader that goes on giving orders after a worker has told it of a higher
// token.
func TestFencedLeaderStops(t *testing.T) {
	r := newRig(t)
	a := r.workers.add("a", 1)
	a.token = 1000
	lead := r.engine.current()
	r.report(a)
	r.until("the leadership ends", func() bool { return lead.ctx.Err() != nil })
}

// Guards against a verdict "not run" for a call that may have had an effect.
func TestClientVerdicts(t *testing.T) {
	ask := func(status int, hang bool) error {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if hang {
				_, _ = io.Copy(io.Discard, r.Body) // the server notices a client that leaves only after that
				<-r.Context().Done()
				return
			}
			w.WriteHeader(status)
		}))
		defer server.Close()
		client := NewClient([]string{server.Listener.Addr().String()}, &http.Transport{}, zerolog.Nop())
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_, err := client.Submit(ctx, workflow.Submission{})
		return err
	}
	var notRun *NotRunError
	if err := ask(statusNotLeading, false); !errors.As(err, &notRun) {
		t.Errorf("refused by a controller that does not lead: %v", err)
	}
	if err := ask(statusNoConfiguration, false); !errors.As(err, &notRun) {
		t.Errorf("refused without a configuration: %v", err)
	}
	if err := ask(statusUnknownOutcome, false); !errors.Is(err, ErrUnknownOutcome) {
		t.Errorf("unknown outcome: %v", err)
	}
	if err := ask(0, true); !errors.Is(err, ErrUnknownOutcome) {
		t.Errorf("no answer: %v", err)
	}
	closed := NewClient([]string{"127.0.0.1:1"}, &http.Transport{}, zerolog.Nop())
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if _, err := closed.Submit(ctx, workflow.Submission{}); !errors.As(err, &notRun) {
		t.Errorf("no connection: %v", err)
	}
}

// Guards against a daemon that forgets the leader because a call to a frozen VM, which began
// before the leader was found, fails later, and against one that passes over controllers because
// several calls fail at one of them.
func TestLateFailuresKeepTheLeader(t *testing.T) {
	c := NewClient([]string{"frozen", "leads", "follows"}, http.DefaultTransport, zerolog.Nop())
	for range 5 {
		c.failed("frozen", "")
	}
	if got := c.pick(); got != "leads" {
		t.Fatalf("after calls that failed at the first controller, %q is asked", got)
	}
	c.succeeded("leads")
	c.failed("frozen", "")
	if got := c.pick(); got != "leads" || c.LeaderAddr() != "leads" {
		t.Errorf("after a late failure elsewhere %q is asked", got)
	}
	c.failed("leads", "follows")
	if got := c.pick(); got != "follows" || c.LeaderAddr() != "" {
		t.Errorf("after a failure of the leader %q is asked, known is %q", got, c.LeaderAddr())
	}
}

// Guards against callers that are held until their deadline although no leader can be found.
func TestClientGivesUpWithoutALeader(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(statusNotLeading)
	}))
	defer server.Close()
	client := NewClient([]string{server.Listener.Addr().String()}, &http.Transport{}, zerolog.Nop())
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	var notRun *NotRunError
	if _, err := client.Submit(ctx, workflow.Submission{}); !errors.As(err, &notRun) || ctx.Err() != nil {
		t.Errorf("the call ended with %v", err)
	}
}

// noDirectory names nobody.
type noDirectory struct{}

func (noDirectory) LeaderAddr() string    { return "" }
func (noDirectory) MemberAddrs() []string { return nil }

// Guards against daemons that know only relays, which know only each other: nobody finds the
// controllers after all have lost power, although they have a leader.
func TestRelaysLearnWhoLeads(t *testing.T) {
	r := newRig(t)
	leader := httptest.NewServer(Handler(r.engine, noDirectory{}, zerolog.Nop()))
	defer leader.Close()
	leaderAddr := leader.Listener.Addr().String()
	var relayClient *Client
	relay := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		RedirectHandler(relayClient).ServeHTTP(w, request)
	}))
	defer relay.Close()
	seeds := []string{relay.Listener.Addr().String()}
	relayClient = NewClient(seeds, &http.Transport{}, zerolog.Nop())
	member := NewMemberClient(seeds, &http.Transport{}, func() []string { return []string{leaderAddr} }, zerolog.Nop())
	member.Introduce(context.Background())
	gateway := NewClient(seeds, &http.Transport{}, zerolog.Nop())
	for name, client := range map[string]*Client{"a relay": relayClient, "a gateway": gateway, "a controller": member} {
		r.until(name+" finds the leader", func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			return client.Ping(ctx) == nil && client.LeaderAddr() == leaderAddr
		})
	}
}
