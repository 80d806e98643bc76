package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/syncmsg"
)

// Guards against calls that are forwarded more than once, and against verdicts that are lost when
// a call is forwarded.
func TestForwardTakesOneHopAndKeepsVerdicts(t *testing.T) {
	var seen atomic.Int32
	count := func(w http.ResponseWriter, r *http.Request) { seen.Add(1); echo(w, r) }
	entry, middle, last := newFixture(t, "g1", echo), newFixture(t, "g2", echo), newFixture(t, "g3", count)
	last.addTarget(t, "t3")
	entry.setPeers(middle)
	middle.setPeers(last)
	r := mustCall(t, entry, http.MethodPost, "/", "x", headerDeadline, "300")
	if r.verdict != "not-run" || seen.Load() != 0 {
		t.Errorf("over two hops: %+v, seen %d", r, seen.Load())
	}
	entry.setPeers(last)
	r = mustCall(t, entry, http.MethodPost, "/", "x")
	if r.verdict != "ran" || r.body != "x" || seen.Load() != 1 {
		t.Errorf("over one hop: %+v, seen %d", r, seen.Load())
	}
}

// Guards against waiting beyond the deadline for a peer that does not respond, and against
// forwarding to it again at once.
func TestSilentPeerIsBoundedAndNotAskedAgain(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	f := newFixture(t, "g1", echo)
	f.session.peers = []syncmsg.Peer{{ID: "g2", PeerAddr: silent.Addr().String(), FreeQuick: map[model.PoolID]int32{"p": 4}}}
	r := mustCall(t, f, http.MethodPost, "/", "x", headerDeadline, "100")
	if r.verdict != "unknown" {
		t.Errorf("response %+v", r)
	}
	if f.gateway.peers.anyFree(f.session.Peers(), "p") {
		t.Error("calls are still forwarded to the peer that did not respond")
	}
}

// Guards against a call that is reported as possibly run although its peer had no memory for its body.
func TestPeerWithoutMemoryHasNotRunTheCall(t *testing.T) {
	full := httptest.NewServer(http.HandlerFunc(RefusePeerForMemory))
	defer full.Close()
	f := newFixture(t, "g1", echo)
	f.session.peers = []syncmsg.Peer{{ID: "g2", PeerAddr: address(full), FreeQuick: map[model.PoolID]int32{"p": 4}}}
	r := mustCall(t, f, http.MethodPost, "/", "x", headerDeadline, "100")
	if r.verdict != "not-run" {
		t.Errorf("response %+v", r)
	}
}

// Guards against free-slot summaries of peers that stay wrong until the next renewal of the
// session.
func TestForwardsCorrectTheSummaries(t *testing.T) {
	entry, peer := newFixture(t, "g1", echo), newFixture(t, "g2", echo)
	entry.setPeers(peer) // the summary says 4 free slots, and the peer owns no target
	r := mustCall(t, entry, http.MethodPost, "/", "x", headerDeadline, "30")
	if r.verdict != "not-run" {
		t.Errorf("response %+v", r)
	}
	table := newPeerTable()
	peers := entry.session.Peers()
	for range slots {
		if _, ok := table.choose(peers, "p"); !ok {
			t.Fatal("a free peer is not chosen")
		}
	}
	if table.anyFree(peers, "p") {
		t.Error("more calls are forwarded than the peer has free slots")
	}
	table.correct("g2", "p", "2")
	if !table.anyFree(peers, "p") {
		t.Error("the free slots in a response of the peer do not correct the summary")
	}
}

// Guards against a target that stays unused for up to a second after another gateway has taken
// it over from a killed owner, because its announcement was refused in the meantime.
func TestAnnouncementIsHeldUntilADeadOwnerIsReplaced(t *testing.T) {
	f := newFixture(t, "g1", echo)
	dead := httptest.NewServer(nil)
	dead.Close()
	f.control.owners["t1"] = address(dead)
	f.session.peers = []syncmsg.Peer{{ID: "g2", PeerAddr: address(dead)}}
	results := make(chan error, 1)
	go func() {
		_, err := f.gateway.announceToOwner(context.Background(), model.Announcement{
			Target: "t1", StartID: "s1", Sequence: 2, Address: address(f.target), Pool: "p", State: model.TargetReady,
		})
		results <- err
	}()
	select {
	case err := <-results:
		t.Fatalf("handled while the killed owner counts as live: %v", err)
	case <-time.After(3 * ownerPollInterval):
	}
	f.addTarget(t, "t1")
	f.setPeers()
	if err := <-results; err != nil {
		t.Fatal(err)
	}
}

// outputs serves the output of attempts by path. If cut is set, it aborts the connection after the
// output instead of ending the response.
func outputs(parts map[string]string, cut *atomic.Bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		content, ok := parts[r.URL.Path]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		var offset int
		fmt.Sscan(r.URL.Query().Get("offset"), &offset)
		offset = min(offset, len(content))
		_, _ = io.WriteString(w, content[offset:])
		_ = http.NewResponseController(w).Flush()
		if cut.Load() {
			panic(http.ErrAbortHandler)
		}
	}
}

// setJob stores job j with the given number of attempts. If open is set, the last one is open on
// target t1.
func (f *fixture) setJob(phase state.JobPhase, number uint32, open bool) {
	f.control.mu.Lock()
	defer f.control.mu.Unlock()
	job := &state.Job{Phase: phase, Attempts: number}
	if open {
		job.OpenAttempt = &state.Attempt{ID: model.AttemptID{Job: "j", Number: number}, Target: "t1"}
	}
	f.control.state.Jobs["j"] = job
}

const outputPath = "/samphire/v1/tasks/j/%d/output"

// Guards against output that is lost or repeated over an eviction and a restart when it is read
// through a gateway that does not own the target.
func TestOutputFollowsTheJob(t *testing.T) {
	var cut atomic.Bool
	parts := map[string]string{fmt.Sprintf(outputPath, 1): "one,", fmt.Sprintf(outputPath, 2): "one,two."}
	f := newFixture(t, "g1", outputs(parts, &cut))
	f.addTarget(t, "t1")
	other := newFixture(t, "g2", echo)
	other.control = f.control
	other.gateway.control = f.control
	f.setJob(state.JobAssigned, 1, true)
	response, err := http.Get(other.public.URL + "/v1/jobs/j/output?follow=true&offset=1")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	first := make([]byte, 3)
	if _, err := io.ReadFull(response.Body, first); err != nil || string(first) != "ne," {
		t.Fatalf("first attempt: %q, %v", first, err)
	}
	f.setJob(state.JobQueued, 1, false)
	f.setJob(state.JobAssigned, 2, true)
	second := make([]byte, 4)
	if _, err := io.ReadFull(response.Body, second); err != nil || string(second) != "two." {
		t.Fatalf("second attempt: %q, %v", second, err)
	}
	f.setJob(state.JobFinished, 2, false)
	if rest, err := io.ReadAll(response.Body); err != nil || len(rest) != 0 || response.Trailer.Get(headerNextOffset) != "8" {
		t.Errorf("end: %q, %v, trailer %v", rest, err, response.Trailer)
	}
}

// Guards against a clean end of a stream whose output is incomplete.
func TestBrokenOutputDoesNotEndCleanly(t *testing.T) {
	var cut atomic.Bool
	cut.Store(true)
	f := newFixture(t, "g1", outputs(map[string]string{fmt.Sprintf(outputPath, 1): "one"}, &cut))
	f.addTarget(t, "t1")
	f.setJob(state.JobAssigned, 1, true)
	response, err := http.Get(f.public.URL + "/v1/jobs/j/output?follow=true")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if _, err := io.ReadFull(response.Body, make([]byte, 3)); err != nil {
		t.Fatal(err)
	}
	f.setJob(state.JobFinished, 1, false)
	if _, err := io.ReadAll(response.Body); err == nil {
		t.Error("the stream ended cleanly although the target aborted it")
	}
}

// Guards against a relay to another gateway that ends cleanly although the target aborted the
// output.
func TestBrokenRelayAborts(t *testing.T) {
	var cut atomic.Bool
	cut.Store(true)
	f := newFixture(t, "g1", outputs(map[string]string{fmt.Sprintf(outputPath, 1): "one"}, &cut))
	f.addTarget(t, "t1")
	response, err := http.Get(f.peer.URL + relayPrefix + "j/1?target=t1")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if _, err := io.ReadAll(response.Body); err == nil {
		t.Error("the relay ended cleanly")
	}
}

// Guards against a draining gateway that aborts open requests or dispatches new ones to its own
// targets.
func TestDrainedGatewayCutsOffNothing(t *testing.T) {
	blocking := newBlockingTarget()
	f, peer := newFixture(t, "g1", blocking.handle), newFixture(t, "g2", echo)
	f.addTarget(t, "t1")
	peer.addTarget(t, "t2")
	done := make(chan reply, 1)
	go func() {
		r, _ := f.call(http.MethodPost, "/", "mine")
		done <- r
	}()
	<-blocking.arrived
	f.gateway.Drain()
	f.owners.Drain(context.Background())
	f.setPeers(peer)
	if r := mustCall(t, f, http.MethodPost, "/", "x"); r.verdict != "ran" || len(blocking.arrived) != 0 {
		t.Errorf("a call to a draining gateway: %+v", r)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- f.public.Config.Shutdown(context.Background()) }()
	select {
	case <-stopped:
		t.Error("the shutdown did not wait for the open request")
	case <-time.After(50 * time.Millisecond):
	}
	close(blocking.release)
	if r := <-done; r.verdict != "ran" || r.body != "mine" {
		t.Errorf("the open request got %+v", r)
	}
	if err := f.gateway.WaitIdle(context.Background()); err != nil {
		t.Error(err)
	}
	<-stopped
}

// Guards against a histogram response without its classes, quantiles or unit.
func TestHistograms(t *testing.T) {
	f := newFixture(t, "g1", echo)
	f.addTarget(t, "t1")
	_ = mustCall(t, f, http.MethodPost, "/", "x")
	response := httptest.NewRecorder()
	f.gateway.serveHistograms(response, nil)
	for _, want := range []string{`"shop":{"count":1`, `"quick":{"count":1`, `"p99.9"`, `"unit":"us"`} {
		if !strings.Contains(response.Body.String(), want) {
			t.Errorf("%s lacks %s", response.Body, want)
		}
	}
}
