package gateway

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/syncmsg"
	"samphirepaddle.example/daemon/target"
)

// Guards against a peer's answer to another request that reaches this caller, and against a
// second run because a peer's lost answer counts as not run.
func TestDamagedAnswersOfPeers(t *testing.T) {
	tests := map[string]http.HandlerFunc{
		"of another request": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(target.HeaderRequestID, "other")
			w.Header().Set(model.VerdictHeader, "ran")
			_, _ = w.Write([]byte("other"))
		},
		"cut short": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
			w.Header().Set(model.VerdictHeader, "ran")
			w.Header().Set("Content-Length", "10")
			_, _ = w.Write([]byte("half"))
		},
		"without a verdict": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
		},
		"lost": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	}
	for name, handle := range tests {
		peer := httptest.NewServer(handle)
		w := newWorld(t, "g1", echo)
		w.session.peers = []syncmsg.Peer{{ID: "g2", PeerAddr: address(peer), FreeQuick: map[model.PoolID]int32{"p": 4}}}
		if r := mustCall(t, w, http.MethodPost, "/", "x", headerDeadline, "5000"); r.verdict != "unknown" || r.code != "peer_failed" {
			t.Errorf("answer %s: %+v; want unknown", name, r)
		}
		peer.Close()
	}
}

// Guards against "not run" for a call of which an earlier dispatch may have run.
func TestRefusedRetryStaysUnknown(t *testing.T) {
	var seen atomic.Int32
	w := newWorld(t, "g1", func(w http.ResponseWriter, r *http.Request) {
		if seen.Add(1) == 1 {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
		w.Header().Set(target.HeaderRefused, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	w.own(t, "t1")
	if r := mustCall(t, w, http.MethodGet, "/", "", headerDeadline, "5000"); r.verdict != "unknown" || seen.Load() < 2 {
		t.Errorf("%+v after %d dispatches, want unknown", r, seen.Load())
	}
}

// Guards against a new connection to a gateway that shuts down: the load balancer asks whether
// it is ready.
func TestDrainedGatewayIsNotReady(t *testing.T) {
	w := newWorld(t, "g1", echo)
	for _, want := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		response, err := http.Get(w.public.URL + "/healthz/ready")
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if response.StatusCode != want {
			t.Errorf("status %d, want %d", response.StatusCode, want)
		}
		w.gateway.Drain()
	}
}

// Guards against an answer from an old configuration: behind a silent partition the session
// lease bounds how long it may be used.
func TestNoAnswerFromAnOldConfiguration(t *testing.T) {
	w := newWorld(t, "g1", echo)
	w.own(t, "t1")
	w.session.valid.Store(false)
	w.session.service.ID = "replaced"
	if r := mustCall(t, w, http.MethodPost, "/", "x"); r.verdict != "not-run" || r.code != "not_ready" {
		t.Errorf("%+v without a session, want not_ready", r)
	}
}
