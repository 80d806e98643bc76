package agent

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
	"samphirepaddle.example/daemon/bootclock"
	"samphirepaddle.example/daemon/fleet"
	"samphirepaddle.example/daemon/intake"
)

// fakeWorkers is a WorkerClient that records starts and answers as the test sets it up.
type fakeWorkers struct {
	mu     sync.Mutex
	starts []workflow.Attempt
	tokens []uint64

	startError error
	hold       func(ctx context.Context) (fleet.Listing, error)
	panics     bool // every pace call panics
}

func (f *fakeWorkers) Start(_ context.Context, _ fleet.Endpoint, call fleet.StartCall) (model.Millis, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts, f.tokens = append(f.starts, call.Attempt), append(f.tokens, call.Token)
	return 77, f.startError
}

func (f *fakeWorkers) Stop(context.Context, fleet.Endpoint, workflow.Attempt, uint64) (model.Millis, error) {
	return 78, nil
}

func (f *fakeWorkers) Hold(ctx context.Context, _ fleet.Endpoint, _ fleet.HoldCall) (fleet.Listing, error) {
	return f.hold(ctx)
}

func (f *fakeWorkers) Pace(context.Context, fleet.Endpoint, workflow.Attempt, int, uint64) error {
	if f.panics {
		panic("test")
	}
	return nil
}

func (f *fakeWorkers) startCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.starts)
}

// testAgent is an agent in a zone that listens on a loopback port.
type testAgent struct {
	server  *Server
	workers *fakeWorkers
	http    *httptest.Server
	addr    string
}

func newTestAgent(t *testing.T, zone model.Zone) *testAgent {
	t.Helper()
	workers := &fakeWorkers{}
	a := &testAgent{server: NewServer(workers, zone, intake.New(intake.Options{BodyBytes: 64 << 20}), zerolog.Nop()), workers: workers}
	mux := http.NewServeMux()
	mux.Handle("GET "+StreamPath, a.server)
	a.http = httptest.NewServer(mux)
	a.addr = strings.TrimPrefix(a.http.URL, "http://")
	t.Cleanup(a.http.Close)
	return a
}

// newTestPool returns a running pool with the agents, and the client that it uses without one.
func newTestPool(t *testing.T, addrs ...string) (*Pool, *fakeWorkers) {
	t.Helper()
	direct := &fakeWorkers{}
	p := NewPool(Options{
		Self: "self", Direct: direct, Members: func() []string { return append([]string{"self"}, addrs...) },
		MinWorkers: 5, Dial: (&net.Dialer{}).DialContext, Logger: zerolog.Nop(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		p.Run(ctx, func() int { return 5 })
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return p, direct
}

func (p *Pool) streamCount() int {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return len(p.streams)
}

// until waits until the condition holds. The long timeout only ends a test that fails.
func until(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not reached within a minute: %s", what)
		}
	}
}

var (
	testWorker  = fleet.Endpoint{Incarnation: workflow.Incarnation{Worker: "w", StartedAt: 3}, Addr: "w:1", Zone: "z"}
	testAttempt = workflow.Attempt{Task: workflow.TaskKey{Job: "j", Occurrence: 1, Step: 2, Index: 3}, Number: 4}
)

// Guards against calls and lists that change on their way through an agent, and against errors that
// lose their meaning: whether a call may have run depends on them.
func TestCallsThroughAgent(t *testing.T) {
	a := newTestAgent(t, "z")
	p, direct := newTestPool(t, a.addr)
	until(t, "the agent is connected", func() bool { return p.streamCount() == 1 })
	ctx := t.Context()
	if clock, err := p.Start(ctx, testWorker, fleet.StartCall{Attempt: testAttempt, Token: 5}); err != nil || clock != 77 {
		t.Errorf("start: clock %d, %v", clock, err)
	}
	if clock, err := p.Stop(ctx, testWorker, testAttempt, 5); err != nil || clock != 78 {
		t.Errorf("stop: clock %d, %v", clock, err)
	}
	want := fleet.Listing{
		Clock: 9, StartedAt: 3, Truncated: true,
		Running: []fleet.RunningAttempt{{Attempt: testAttempt, Checkpoint: "c", Progress: 50, Usage: 6}},
		Ended:   []fleet.EndedAttempt{{Number: 8, Attempt: testAttempt, Kind: workflow.EndDone, Checkpoint: "d"}},
	}
	a.workers.hold = func(context.Context) (fleet.Listing, error) { return want, nil }
	if got, err := p.Hold(ctx, testWorker, fleet.HoldCall{Token: 5}); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("hold: %+v, %v", got, err)
	}
	for _, known := range append([]error{errors.New("no response")}, knownErrors...) {
		a.workers.startError = known
		_, err := p.Start(ctx, testWorker, fleet.StartCall{Attempt: testAttempt, Token: 5})
		if err == nil || err.Error() != known.Error() {
			t.Errorf("the error %q arrives as %v", known, err)
		}
		for _, other := range knownErrors {
			if errors.Is(err, other) != errors.Is(known, other) {
				t.Errorf("the error %q arrives as %q", known, err)
			}
		}
	}
	if direct.startCount() != 0 {
		t.Error("the leader made a call itself")
	}
}

// Guards against tasks that wait while agents fail: the leader uses another agent, and without one
// it makes the calls itself.
func TestAgentsAreReplaced(t *testing.T) {
	local, remote := newTestAgent(t, "z"), newTestAgent(t, "other")
	p, direct := newTestPool(t, local.addr, remote.addr)
	until(t, "both agents are connected", func() bool { return p.streamCount() == 2 })
	start := func() {
		t.Helper()
		if _, err := p.Start(t.Context(), testWorker, fleet.StartCall{Attempt: testAttempt, Token: 5}); err != nil {
			t.Error(err)
		}
	}
	start()
	if local.workers.startCount() != 1 {
		t.Error("the call did not pass through the agent in the worker's zone")
	}
	local.server.Drain()
	until(t, "the leader knows that the agent drains", func() bool { return p.pick(testWorker).addr == remote.addr })
	start()
	if remote.workers.startCount() != 1 {
		t.Error("the call did not pass through the other agent")
	}
	remote.server.Drain()
	until(t, "the leader knows that both drain", func() bool { return p.pick(testWorker) == nil })
	start()
	if direct.startCount() != 1 {
		t.Error("the leader did not make the call itself")
	}
}

// Guards against calls through an agent whose connection has ended: they would not be sent until it is back.
func TestLostAgentIsNotUsed(t *testing.T) {
	agent := newTestAgent(t, "z")
	p, direct := newTestPool(t, agent.addr)
	until(t, "the agent is connected", func() bool { return p.streamCount() == 1 })
	_ = agent.http.Listener.Close()
	p.pick(testWorker).end()
	until(t, "the leader knows that the agent is lost", func() bool { return p.pick(testWorker) == nil })
	if _, err := p.Start(t.Context(), testWorker, fleet.StartCall{Attempt: testAttempt, Token: 5}); err != nil {
		t.Error(err)
	}
	if direct.startCount() != 1 {
		t.Error("the leader did not make the call itself")
	}
}

// Guards against a verdict that is wrong when a stream ends: a request that was written may have
// run, one that was not has not.
func TestEndedStreamTellsWhetherCallsWereSent(t *testing.T) {
	a := newTestAgent(t, "z")
	begun := make(chan struct{})
	a.workers.hold = func(ctx context.Context) (fleet.Listing, error) {
		close(begun)
		<-ctx.Done()
		return fleet.Listing{}, ctx.Err()
	}
	ctx, cancel := context.WithCancel(t.Context())
	s, reader, err := openStream(ctx, (&net.Dialer{}).DialContext, a.addr)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		_ = s.run(ctx, reader)
		close(ended)
	}()
	result := make(chan error)
	go func() {
		_, err := s.call(t.Context(), request{Operation: opHold, Token: 1})
		result <- err
	}()
	<-begun
	cancel()
	if err := <-result; err == nil || errors.Is(err, fleet.ErrNotSent) {
		t.Errorf("a call in progress: %v, want an unknown outcome", err)
	}
	<-ended
	if _, err := s.call(t.Context(), request{Operation: opStart, Token: 1}); !errors.Is(err, fleet.ErrNotSent) {
		t.Errorf("a call after the end: %v, want ErrNotSent", err)
	}
	if a.workers.startCount() != 0 {
		t.Error("a start reached a worker")
	}
}

// Guards against calls that wait for an agent that is frozen or cut off: its stream ends.
func TestSilentAgentIsGivenUp(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_ = (&Server{zone: "z"}).accept(conn)
			}
		}
	}()
	s, reader, err := openStream(t.Context(), (&net.Dialer{}).DialContext, listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	result := make(chan error, 1)
	go func() {
		_, err := s.call(context.Background(), request{Operation: opHold})
		result <- err
	}()
	if err := s.run(t.Context(), reader); err == nil || !strings.Contains(err.Error(), "ping") {
		t.Errorf("the stream ended with %v", err)
	}
	if err := <-result; err == nil {
		t.Error("the call was answered")
	}
}

// Guards against executing a call that waited in a frozen agent or on the network until the leader
// had given it up.
func TestLateCallIsNotExecuted(t *testing.T) {
	a := newTestAgent(t, "z")
	stream := &serverStream{server: a.server, ctx: t.Context(), responses: newBatcher(10, func([]response) error { return nil })}
	r := request{ID: 1, Operation: opStart, TimeoutMs: 500, Token: 5, Attempt: testAttempt}
	stream.execute(r, bootclock.Now().Add(-time.Second))
	if answer := stream.responses.take()[0]; !errors.Is(answer.err(), fleet.ErrNotSent) || a.workers.startCount() != 0 {
		t.Errorf("a late start: %v, executed %d times", answer.err(), a.workers.startCount())
	}
	stream.execute(r, bootclock.Now())
	if answer := stream.responses.take()[0]; answer.err() != nil || a.workers.startCount() != 1 {
		t.Errorf("a start in time: %v, executed %d times", answer.err(), a.workers.startCount())
	}
}

// Guards against orders of an earlier leader after a later one has called workers: a worker that
// has just restarted would accept them.
func TestCallsOfEarlierLeadersAreFenced(t *testing.T) {
	a := newTestAgent(t, "z")
	p, _ := newTestPool(t, a.addr)
	until(t, "the agent is connected", func() bool { return p.streamCount() == 1 })
	for _, step := range []struct {
		token  uint64
		fenced bool
	}{{5, false}, {7, false}, {5, true}, {7, false}} {
		_, err := p.Start(t.Context(), testWorker, fleet.StartCall{Attempt: testAttempt, Token: step.token})
		if errors.Is(err, fleet.ErrFenced) != step.fenced {
			t.Errorf("token %d: %v", step.token, err)
		}
	}
	if !reflect.DeepEqual(a.workers.tokens, []uint64{5, 7, 7}) {
		t.Errorf("workers were called with tokens %v", a.workers.tokens)
	}
}

// Guards against a panic in one call, or bytes that are no frame, that end the process or other
// calls.
func TestPanicAndMalformedFrameEndOneCallOnly(t *testing.T) {
	a := newTestAgent(t, "z")
	a.workers.panics = true
	p, _ := newTestPool(t, a.addr)
	until(t, "the agent is connected", func() bool { return p.streamCount() == 1 })
	if err := p.Pace(t.Context(), testWorker, testAttempt, 50, 5); err == nil || errors.Is(err, fleet.ErrNotSent) {
		t.Errorf("a call that panicked: %v, want an unknown outcome", err)
	}
	for _, garbage := range []string{"\x00\x00\x00\x01\xff", "\xff\xff\xff\xff", "\x00\x00\x00\x02\x82\x01", "GET / HTTP/1.1\r\n\r\n"} {
		s, _, err := openStream(t.Context(), (&net.Dialer{}).DialContext, a.addr)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.conn.Write([]byte(garbage)); err != nil {
			t.Fatal(err)
		}
		// The answer is the end of the connection.
		if n, err := s.conn.Read(make([]byte, 1)); err == nil {
			t.Errorf("%q was answered with %d bytes", garbage, n)
		}
	}
	if _, err := p.Start(t.Context(), testWorker, fleet.StartCall{Attempt: testAttempt, Token: 5}); err != nil {
		t.Errorf("a call after that: %v", err)
	}
}

// Guards against small fleets that pay for a hop, and against streams that stay open after the term.
func TestPoolConnectsForLargeFleetsOnly(t *testing.T) {
	a := newTestAgent(t, "z")
	looked := make(chan struct{}, 1000)
	p := NewPool(Options{MinWorkers: 5, Members: func() []string { return []string{a.addr} }, Dial: (&net.Dialer{}).DialContext})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		p.Run(ctx, func() int { looked <- struct{}{}; return 4 })
		close(done)
	}()
	<-looked
	<-looked
	if p.streamCount() != 0 {
		t.Error("an agent is connected")
	}
	cancel()
	<-done
}

// Guards against workers that move between agents, which costs new connections: an agent that
// leaves moves only its own workers.
func TestWorkersKeepTheirAgent(t *testing.T) {
	p := NewPool(Options{})
	for _, addr := range []string{"a:1", "b:1", "c:1", "d:1"} {
		p.add(&stream{addr: addr, zone: "far"})
	}
	before := map[workflow.WorkerID]string{}
	share := map[string]int{}
	const workers = 1000
	for i := range workers {
		id := workflow.WorkerID("i-" + string(rune('a'+i%26)) + string(rune('a'+i/26%26)) + string(rune('a'+i/676)))
		before[id] = p.pick(fleet.Endpoint{Incarnation: workflow.Incarnation{Worker: id}}).addr
		share[before[id]]++
	}
	for addr, n := range share {
		if n < workers/8 || n > workers/2 {
			t.Errorf("agent %s has %d of %d workers", addr, n, workers)
		}
	}
	p.remove(p.streams[0])
	for id, addr := range before {
		if now := p.pick(fleet.Endpoint{Incarnation: workflow.Incarnation{Worker: id}}).addr; now != addr && addr != "a:1" {
			t.Errorf("worker %s moved from %s to %s", id, addr, now)
		}
	}
}
