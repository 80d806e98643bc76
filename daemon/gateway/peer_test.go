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

// Guards against calls that hop more than once, and against verdicts lost on the way.
func TestForwardTakesOneHopAndKeepsVerdicts(t *testing.T) {
	var seen atomic.Int32
	count := func(w http.ResponseWriter, r *http.Request) { seen.Add(1); echo(w, r) }
	entry, middle, last := newWorld(t, "g1", echo), newWorld(t, "g2", echo), newWorld(t, "g3", count)
	last.own(t, "t3")
	entry.see(middle)
	middle.see(last)
	r := mustCall(t, entry, http.MethodPost, "/", "x", headerDeadline, "300")
	if r.verdict != "not-run" || seen.Load() != 0 {
		t.Errorf("over two hops: %+v, seen %d", r, seen.Load())
	}
	entry.see(last)
	r = mustCall(t, entry, http.MethodPost, "/", "x")
	if r.verdict != "ran" || r.body != "x" || seen.Load() != 1 {
		t.Errorf("over one hop: %+v, seen %d", r, seen.Load())
	}
}

// Guards against a wait for a peer that answers nothing, and against asking it again at once.
func TestSilentPeerIsBoundedAndNotAskedAgain(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	w := newWorld(t, "g1", echo)
	w.session.peers = []syncmsg.Peer{{ID: "g2", PeerAddr: silent.Addr().String(), FreeQuick: map[model.PoolID]int32{"p": 4}}}
	r := mustCall(t, w, http.MethodPost, "/", "x", headerDeadline, "100")
	if r.verdict != "unknown" {
		t.Errorf("answer %+v", r)
	}
	if w.gateway.peers.anyFree(w.session.Peers(), "p") {
		t.Error("the silent peer is asked again at once")
	}
}

// Guards against summaries that stay wrong until the next renewal of the session.
func TestForwardsCorrectTheSummaries(t *testing.T) {
	entry, peer := newWorld(t, "g1", echo), newWorld(t, "g2", echo)
	entry.see(peer) // the summary says 4 free slots, and the peer owns no target
	r := mustCall(t, entry, http.MethodPost, "/", "x", headerDeadline, "30")
	if r.verdict != "not-run" {
		t.Errorf("answer %+v", r)
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
	table.learn("g2", "p", "2")
	if !table.anyFree(peers, "p") {
		t.Error("the peer's own answer does not correct the summary")
	}
}

// Guards against a target that stays unused for up to a second after another gateway has taken
// it over from a killed owner, because its announcement was refused meanwhile.
func TestAnnouncementIsHeldUntilADeadOwnerIsReplaced(t *testing.T) {
	w := newWorld(t, "g1", echo)
	dead := httptest.NewServer(nil)
	dead.Close()
	w.control.owners["t1"] = address(dead)
	w.session.peers = []syncmsg.Peer{{ID: "g2", PeerAddr: address(dead)}}
	answers := make(chan error, 1)
	go func() {
		_, err := w.gateway.announceAnywhere(context.Background(), model.Announcement{
			Target: "t1", StartID: "s1", Sequence: 2, Address: address(w.target), Pool: "p", State: model.TargetReady,
		})
		answers <- err
	}()
	select {
	case err := <-answers:
		t.Fatalf("answered while the dead owner counts as live: %v", err)
	case <-time.After(3 * ownerPoll):
	}
	w.own(t, "t1")
	w.see()
	if err := <-answers; err != nil {
		t.Fatal(err)
	}
}

// outputs serves the output of attempts: attempt 1 breaks off at an eviction if cut is set.
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

func (w *world) setJob(phase state.JobPhase, number uint32, open bool) {
	w.control.mu.Lock()
	defer w.control.mu.Unlock()
	job := &state.Job{Phase: phase, Attempts: number}
	if open {
		job.OpenAttempt = &state.Attempt{ID: model.AttemptID{Job: "j", Number: number}, Target: "t1"}
	}
	w.control.state.Jobs["j"] = job
}

const outputPath = "/samphire/v1/tasks/j/%d/output"

// Guards against output that is lost or doubled over an eviction and a restart, read through
// a gateway that does not own the target.
func TestOutputFollowsTheJob(t *testing.T) {
	var cut atomic.Bool
	parts := map[string]string{fmt.Sprintf(outputPath, 1): "one,", fmt.Sprintf(outputPath, 2): "one,two."}
	w := newWorld(t, "g1", outputs(parts, &cut))
	w.own(t, "t1")
	other := newWorld(t, "g2", echo)
	other.control = w.control
	other.gateway.control = w.control
	w.setJob(state.JobAssigned, 1, true)
	response, err := http.Get(other.public.URL + "/v1/jobs/j/output?follow=true&offset=1")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	first := make([]byte, 3)
	if _, err := io.ReadFull(response.Body, first); err != nil || string(first) != "ne," {
		t.Fatalf("first attempt: %q, %v", first, err)
	}
	w.setJob(state.JobQueued, 1, false)
	w.setJob(state.JobAssigned, 2, true)
	second := make([]byte, 4)
	if _, err := io.ReadFull(response.Body, second); err != nil || string(second) != "two." {
		t.Fatalf("second attempt: %q, %v", second, err)
	}
	w.setJob(state.JobFinished, 2, false)
	if rest, err := io.ReadAll(response.Body); err != nil || len(rest) != 0 || response.Trailer.Get(headerNextOffset) != "8" {
		t.Errorf("end: %q, %v, trailer %v", rest, err, response.Trailer)
	}
}

// Guards against a clean end of a stream whose output is not complete.
func TestBrokenOutputDoesNotEndCleanly(t *testing.T) {
	var cut atomic.Bool
	cut.Store(true)
	w := newWorld(t, "g1", outputs(map[string]string{fmt.Sprintf(outputPath, 1): "one"}, &cut))
	w.own(t, "t1")
	w.setJob(state.JobAssigned, 1, true)
	response, err := http.Get(w.public.URL + "/v1/jobs/j/output?follow=true")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if _, err := io.ReadFull(response.Body, make([]byte, 3)); err != nil {
		t.Fatal(err)
	}
	w.setJob(state.JobFinished, 1, false)
	if _, err := io.ReadAll(response.Body); err == nil {
		t.Error("the stream ended cleanly although the target broke it off")
	}
}

// Guards against a peer that passes a broken relay on as a complete one.
func TestBrokenRelayAborts(t *testing.T) {
	var cut atomic.Bool
	cut.Store(true)
	w := newWorld(t, "g1", outputs(map[string]string{fmt.Sprintf(outputPath, 1): "one"}, &cut))
	w.own(t, "t1")
	response, err := http.Get(w.peer.URL + relayPrefix + "j/1?target=t1")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if _, err := io.ReadAll(response.Body); err == nil {
		t.Error("the relay ended cleanly")
	}
}

// Guards against a drained gateway that cuts off requests or takes new dispatches itself.
func TestDrainedGatewayCutsOffNothing(t *testing.T) {
	g := newGate()
	w, peer := newWorld(t, "g1", g.handle), newWorld(t, "g2", echo)
	w.own(t, "t1")
	peer.own(t, "t2")
	done := make(chan reply, 1)
	go func() {
		r, _ := w.call(http.MethodPost, "/", "mine")
		done <- r
	}()
	<-g.arrived
	w.gateway.Drain()
	w.owners.Drain(context.Background())
	w.see(peer)
	if r := mustCall(t, w, http.MethodPost, "/", "x"); r.verdict != "ran" || len(g.arrived) != 0 {
		t.Errorf("a call to a draining gateway: %+v", r)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- w.public.Config.Shutdown(context.Background()) }()
	select {
	case <-stopped:
		t.Error("the shutdown did not wait for the open request")
	case <-time.After(50 * time.Millisecond):
	}
	close(g.open)
	if r := <-done; r.verdict != "ran" || r.body != "mine" {
		t.Errorf("the open request got %+v", r)
	}
	if err := w.gateway.WaitIdle(context.Background()); err != nil {
		t.Error(err)
	}
	<-stopped
}

// Guards against histograms that cannot be read.
func TestHistograms(t *testing.T) {
	w := newWorld(t, "g1", echo)
	w.own(t, "t1")
	_ = mustCall(t, w, http.MethodPost, "/", "x")
	answer := httptest.NewRecorder()
	w.gateway.serveHistograms(answer, nil)
	for _, want := range []string{`"shop":{"count":1`, `"quick":{"count":1`, `"p99.9"`, `"unit":"us"`} {
		if !strings.Contains(answer.Body.String(), want) {
			t.Errorf("%s lacks %s", answer.Body, want)
		}
	}
}
