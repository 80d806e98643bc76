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

// testLease is short, so that tests of expired leases are quick.
const testLease = 1200 * time.Millisecond

// Limits of the fake workers, which are short as well.
const (
	testLimit     = 1500 * time.Millisecond
	testCallDelay = 500 * time.Millisecond
)

// rig is a test fixture: a controller group with one member, which is the leader, and fake workers.
type rig struct {
	t       *testing.T
	log     *replica.Replica
	engine  *Engine
	workers *fakeWorkers
	lease   time.Duration // WorkerLease of the engines
	limit   time.Duration // WorkerLeaseLimit of the engines
	stop    context.CancelFunc
}

func newRig(t *testing.T) *rig {
	t.Helper()
	log, listener := replicatest.OpenSingleMember(t)
	mux := http.NewServeMux()
	mux.Handle(rpc.ConsensusPathPrefix, log.Handler())
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(listener) }()
	r := &rig{t: t, log: log, workers: newFakeWorkers(t), lease: testLease, limit: testLimit}
	r.startEngine()
	t.Cleanup(func() {
		r.stop()
		_ = log.Close()
		_ = server.Close()
	})
	r.until("the controller leads", func() bool { return r.engine.currentLeadership() != nil })
	ticket := model.Ticket{Number: 1, Routing: &model.Routing{
		Routes:   []model.Route{{Name: "q", Host: "h", PathPrefix: "/q/", Service: "s", TimeoutMs: 1000, MaxAttempts: 2}},
		Services: []model.WorkerService{{Name: "s"}},
	}}
	r.untilKnown("ticket", func() (state.Code, error) {
		result, err := r.engine.Configure(context.Background(), ticket)
		return result.Code, err
	})
	return r
}

// startEngine starts an engine on the log, as after a change of leader.
func (r *rig) startEngine() { r.startEngineOn(r.log) }

func (r *rig) startEngineOn(log replica.Log) {
	ctx, stop := context.WithCancel(context.Background())
	r.engine = NewEngine(Options{
		Log: log, Workers: r.workers, Logger: zerolog.Nop(), LeaderLease: 200 * time.Millisecond, WorkerLease: r.lease,
		WorkerLeaseLimit: r.limit, MaxCallDelay: testCallDelay,
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

// until waits until the condition holds. The long timeout only ends a test that fails.
func (r *rig) until(what string, condition func() bool) {
	r.t.Helper()
	for end := time.Now().Add(time.Minute); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("not reached within a minute: %s", what)
		}
	}
}

// untilKnown repeats an idempotent operation while its outcome is unknown, as callers do. A commit
// whose sync takes longer than commitTimeout has an unknown outcome.
func (r *rig) untilKnown(what string, operation func() (state.Code, error)) {
	r.t.Helper()
	tries := 0
	r.until("the outcome is known: "+what, func() bool {
		tries++
		code, err := operation()
		switch {
		case errors.Is(err, ErrUnknownOutcome):
			return false
		case err != nil:
			r.t.Fatalf("%s: %v", what, err)
		case code != state.CodeOK && (tries == 1 || code != state.CodeRepeated):
			r.t.Fatalf("%s: code %s", what, code)
		}
		return true
	})
}

func (r *rig) report(w *fakeWorker) {
	r.t.Helper()
	r.until("the report is recorded", func() bool {
		result, err := r.engine.ReportWorker(context.Background(), WorkerReport{Worker: w.worker, Clock: w.clock()})
		return err == nil && !result.NotRecorded
	})
}

// addWorker adds a worker and reports its heartbeat.
func (r *rig) addWorker(id string, startedAt model.Millis) *fakeWorker {
	r.t.Helper()
	w := r.workers.add(id, startedAt)
	r.report(w)
	return w
}

func (r *rig) submit(id string, steps ...workflow.StepSpec) {
	r.t.Helper()
	r.untilKnown("submission", func() (state.Code, error) {
		answer, err := r.engine.Submit(context.Background(), workflow.Submission{Host: "h", Path: "/q/" + id, Payload: "p", Steps: steps})
		return answer.Code, err
	})
}

// startTask adds a worker and waits until it runs the only task of job j.
func (r *rig) startTask() *fakeWorker {
	r.t.Helper()
	w := r.addWorker("a", 1)
	r.submit("j", oneTask)
	r.until("the task runs", func() bool { return len(w.runningAttempts()) == 1 })
	return w
}

func (r *rig) jobStatus(id string) workflow.JobStatus {
	var status workflow.JobStatus
	r.log.View(func(st *state.State) { status, _ = st.Workflows.StatusOf(workflow.JobID(id)) })
	return status
}

var oneTask = workflow.StepSpec{Count: 1, CPUMillis: 1000, MemoryMiB: 10}

// soleRunner returns the only worker that runs a task, or nil if none or several do.
func soleRunner(workers ...*fakeWorker) *fakeWorker {
	var found *fakeWorker
	for _, w := range workers {
		if len(w.runningAttempts()) > 0 {
			if found != nil {
				return nil
			}
			found = w
		}
	}
	return found
}

// Guards against a job that does not complete, and against ends that are never acknowledged.
func TestJobRunsToItsEnd(t *testing.T) {
	r := newRig(t)
	w := r.addWorker("a", 1)
	r.submit("j", oneTask, workflow.StepSpec{Count: 2, CPUMillis: 1000, After: []int{0}})
	r.until("the first step runs", func() bool { return len(w.runningAttempts()) == 1 })
	w.finish(workflow.EndDone)
	r.until("the second step runs", func() bool { return len(w.runningAttempts()) == 2 })
	w.finish(workflow.EndDone)
	r.until("the job is completed", func() bool { return r.jobStatus("j") == workflow.StatusCompleted })
	r.until("the ends are acknowledged", func() bool {
		left := 0
		w.withLock(func() { left = len(w.ends) })
		return left == 0
	})
}

// Guards against starting a task elsewhere while its first start, which got no response, may still be
// executed.
func TestUnansweredStartIsSettledFirst(t *testing.T) {
	r := newRig(t)
	a, b := r.workers.add("a", 1), r.workers.add("b", 1)
	first := true
	late := func(workflow.Attempt) bool {
		was := first
		first = false
		return was
	}
	a.delayStart, b.delayStart = late, late
	r.report(a)
	r.report(b)
	r.submit("j", oneTask)
	r.until("the task runs", func() bool { return soleRunner(a, b) != nil })
	for _, w := range []*fakeWorker{a, b} {
		for _, err := range w.runDelayed() {
			if !errors.Is(err, ErrStaleAttempt) {
				t.Errorf("the late start was executed: %v", err)
			}
		}
	}
	if soleRunner(a, b) == nil {
		t.Error("the task runs twice or not at all")
	}
}

// Guards against an unanswered start that stays open for ever on an otherwise idle worker, whose
// hold calls last longer than the interval between two stops.
func TestUnansweredStartOnIdleWorkerIsSettled(t *testing.T) {
	r := newRig(t)
	a := r.workers.add("a", 1)
	a.longPolls = true
	first := true
	a.delayStart = func(workflow.Attempt) bool {
		was := first
		first = false
		return was
	}
	r.report(a)
	r.submit("j", oneTask)
	r.until("the task runs as its second attempt", func() bool {
		runningAttempts := a.runningAttempts()
		return len(runningAttempts) == 1 && runningAttempts[0].Number == 2
	})
}

// Guards against a new leader that restarts a running task, or that never starts a task that an
// earlier leader assigned but did not start.
func TestNextLeaderTakesOver(t *testing.T) {
	r := newRig(t)
	a := r.addWorker("a", 1)
	r.submit("runs", oneTask)
	r.until("the task runs", func() bool { return len(a.runningAttempts()) == 1 })
	before := a.runningAttempts()[0]
	r.stop()
	assignWithoutStart(r, a)
	r.startEngine()
	r.until("the next leader leads", func() bool { return r.engine.currentLeadership() != nil })
	r.until("the task that was never started runs", func() bool { return len(a.runningAttempts()) == 2 })
	for _, attempt := range a.runningAttempts() {
		if attempt.Task == before.Task && attempt != before {
			t.Errorf("attempt %v replaced %v", attempt, before)
		}
	}
}

// assignWithoutStart commits an assignment whose start is never sent.
func assignWithoutStart(r *rig, w *fakeWorker) {
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

// Guards against a cancelled task that keeps running or is started again.
func TestCancelStopsTasks(t *testing.T) {
	r := newRig(t)
	a := r.addWorker("a", 1)
	r.submit("j", workflow.StepSpec{Count: 2, CPUMillis: 100, LongRunning: true})
	r.until("the tasks run", func() bool { return len(a.runningAttempts()) == 2 })
	r.untilKnown("cancellation", func() (state.Code, error) {
		answer, err := r.engine.Cancel(context.Background(), workflow.Cancel{Host: "h", Path: "/q/j"})
		return answer.Code, err
	})
	r.until("the tasks have ended and their attempts are closed", func() bool {
		open := false
		r.log.View(func(st *state.State) { open = st.Workflows.HasOpen(a.worker.Incarnation) })
		return len(a.runningAttempts()) == 0 && !open
	})
}

// Guards against tasks that stay on a draining worker, and against starts on it.
func TestTasksMoveOffDrainingWorker(t *testing.T) {
	r := newRig(t)
	a := r.addWorker("a", 1)
	r.submit("lasts", workflow.StepSpec{Count: 1, CPUMillis: 100, LongRunning: true})
	r.until("the task runs", func() bool { return len(a.runningAttempts()) == 1 })
	b := r.addWorker("b", 1)
	a.worker.Draining = true
	r.report(a)
	r.until("the task has moved", func() bool { return len(a.runningAttempts()) == 0 && len(b.runningAttempts()) == 1 })
	r.submit("next", oneTask)
	r.until("the next task runs", func() bool { return len(b.runningAttempts()) == 2 })
}

// Guards against a best-effort task that stays paused, and keeps its capacity, for as long as it
// would slow down a serving task on the same worker.
func TestPausedBestEffortTaskMoves(t *testing.T) {
	r := newRig(t)
	a := r.addWorker("a", 1)
	r.submit("serves", workflow.StepSpec{Count: 1, CPUMillis: 1000, LongRunning: true, Image: "s", TailTargetMs: 20})
	r.until("the serving task runs", func() bool { return len(a.runningAttempts()) == 1 })
	r.submit("batch", workflow.StepSpec{Count: 1, CPUMillis: 1000, UsesSpareCPU: true, Checkpoints: true, Image: "f"})
	r.until("the best-effort task runs beside it", func() bool { return len(a.runningAttempts()) == 2 })
	a.withLock(func() { a.tailMs = 50 })
	b := r.addWorker("b", 1)
	r.until("the best-effort task has moved", func() bool { return len(a.runningAttempts()) == 1 && len(b.runningAttempts()) == 1 })
	if moved := b.runningAttempts()[0]; moved.Task.Job != "batch" || b.running[moved] != "saved" {
		t.Errorf("attempt %v runs on the other worker from checkpoint %q", moved, b.running[moved])
	}
}

// Guards against a leader that continues to act after a worker has reported a higher fencing token.
func TestFencedLeaderStops(t *testing.T) {
	r := newRig(t)
	a := r.workers.add("a", 1)
	a.token = 1000
	lead := r.engine.currentLeadership()
	r.report(a)
	r.until("the leadership ends", func() bool { return lead.ctx.Err() != nil })
}

// Guards against a NotRunError for a call that may have had an effect.
func TestClientErrorsReportPossibleEffects(t *testing.T) {
	ask := func(status int, hang bool) error {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if hang {
				_, _ = io.Copy(io.Discard, r.Body) // the server detects a closed connection only after that
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
		t.Errorf("no response: %v", err)
	}
	closed := NewClient([]string{"127.0.0.1:1"}, &http.Transport{}, zerolog.Nop())
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if _, err := closed.Submit(ctx, workflow.Submission{}); !errors.As(err, &notRun) {
		t.Errorf("no connection: %v", err)
	}
}

// Guards against a client that forgets the leader because a call to a frozen VM, which began before
// the leader was found, fails later, and against skipping controllers because several concurrent
// calls to one of them fail.
func TestLateFailuresKeepTheLeader(t *testing.T) {
	c := NewClient([]string{"frozen", "leads", "follows"}, http.DefaultTransport, zerolog.Nop())
	for range 5 {
		c.recordFailure("frozen", "")
	}
	if got := c.nextAddr(); got != "leads" {
		t.Fatalf("after failed calls to the first controller, the next address is %q", got)
	}
	c.recordSuccess("leads")
	c.recordFailure("frozen", "")
	if got := c.nextAddr(); got != "leads" || c.LeaderAddr() != "leads" {
		t.Errorf("after a late failure elsewhere the next address is %q", got)
	}
	c.recordFailure("leads", "follows")
	if got := c.nextAddr(); got != "follows" || c.LeaderAddr() != "" {
		t.Errorf("after a failure of the leader the next address is %q, the known leader is %q", got, c.LeaderAddr())
	}
}

// Guards against callers that wait until their deadline although no leader can be found.
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

// Guards against callers that are all held while a controller is silent and no leader can be found, and
// against a client that does not find the leader behind silent controllers.
func TestClientWithoutALeaderHoldsFewCallers(t *testing.T) {
	released := make(chan struct{})
	silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		select {
		case <-r.Context().Done():
		case <-released:
		}
	}))
	defer silent.Close()
	defer close(released)
	leads := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		data, _ := model.Encode(struct{}{})
		_, _ = w.Write(data)
	}))
	defer leads.Close()
	client := NewClient([]string{silent.Listener.Addr().String()}, &http.Transport{}, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	held := make(chan error, maxSearchingCalls)
	for range maxSearchingCalls {
		go func() {
			_, err := client.Submit(ctx, workflow.Submission{})
			held <- err
		}()
	}
	for searching := 0; searching < maxSearchingCalls; time.Sleep(time.Millisecond) {
		client.mu.Lock()
		searching = client.searching
		client.mu.Unlock()
	}
	var notRun *NotRunError
	if _, err := client.Submit(context.Background(), workflow.Submission{}); !errors.As(err, &notRun) {
		t.Errorf("a further call ended with %v, want a refusal", err)
	}
	cancel()
	for range maxSearchingCalls {
		<-held
	}
	client.SetSeeds([]string{silent.Listener.Addr().String(), silent.Listener.Addr().String(), leads.Listener.Addr().String()})
	client.FindLeader(context.Background())
	if got := client.LeaderAddr(); got != leads.Listener.Addr().String() {
		t.Errorf("the leader is %q", got)
	}
}

// emptyDirectory knows no controllers.
type emptyDirectory struct{}

func (emptyDirectory) LeaderAddr() string               { return "" }
func (emptyDirectory) KnownControllers() ControllerList { return ControllerList{} }

// Guards against daemons whose seeds are only relays, which have only each other as seeds: after a
// power loss of all VMs none of them finds the controllers, although these have a leader.
func TestRelaysLearnWhoLeads(t *testing.T) {
	r := newRig(t)
	leader := httptest.NewServer(Handler(r.engine, emptyDirectory{}, zerolog.Nop()))
	defer leader.Close()
	leaderAddr := leader.Listener.Addr().String()
	var relayClient *Client
	relay := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		RedirectHandler(relayClient).ServeHTTP(w, request)
	}))
	defer relay.Close()
	seeds := []string{relay.Listener.Addr().String()}
	relayClient = NewClient(seeds, &http.Transport{}, zerolog.Nop())
	member := NewControllerClient(leaderAddr, seeds, &http.Transport{}, func() ControllerList { return ControllerList{Addrs: []string{leaderAddr}} }, zerolog.Nop())
	member.AnnounceMembers(context.Background())
	gateway := NewClient(seeds, &http.Transport{}, zerolog.Nop())
	for name, client := range map[string]*Client{"a relay": relayClient, "a gateway": gateway, "a controller": member} {
		r.until(name+" finds the leader", func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			return client.Ping(ctx) == nil && client.LeaderAddr() == leaderAddr
		})
	}
}
