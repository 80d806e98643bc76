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

// Guards against returning the response to another request to the caller, and against the verdict
// "not run" when a peer's response is lost: the request may have run and must not run again.
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
		f := newFixture(t, "g1", echo)
		f.session.peers = []syncmsg.Peer{{ID: "g2", PeerAddr: address(peer), FreeQuick: map[model.PoolID]int32{"p": 4}}}
		if r := mustCall(t, f, http.MethodPost, "/", "x", headerDeadline, "5000"); r.verdict != "unknown" || r.code != "peer_failed" {
			t.Errorf("response %s: %+v; want unknown", name, r)
		}
		peer.Close()
	}
}

// Guards against the verdict "not run" for a call of which an earlier dispatch may have run.
func TestRefusedRetryStaysUnknown(t *testing.T) {
	var seen atomic.Int32
	f := newFixture(t, "g1", func(w http.ResponseWriter, r *http.Request) {
		if seen.Add(1) == 1 {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
		w.Header().Set(target.HeaderRefused, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	f.addTarget(t, "t1")
	if r := mustCall(t, f, http.MethodGet, "/", "", headerDeadline, "5000"); r.verdict != "unknown" || seen.Load() < 2 {
		t.Errorf("%+v after %d dispatches, want unknown", r, seen.Load())
	}
}

// Guards against a draining gateway that still reports itself ready: load balancers would send it
// new connections.
func TestDrainedGatewayIsNotReady(t *testing.T) {
	f := newFixture(t, "g1", echo)
	for _, want := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		response, err := http.Get(f.public.URL + "/healthz/ready")
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if response.StatusCode != want {
			t.Errorf("status %d, want %d", response.StatusCode, want)
		}
		f.gateway.Drain()
	}
}

// Guards against a gateway that is cut off from the controllers and keeps responding from an
// outdated configuration: it may use the configuration only while its session lease is valid.
func TestNoAnswerFromAnOldConfiguration(t *testing.T) {
	f := newFixture(t, "g1", echo)
	f.addTarget(t, "t1")
	f.session.valid.Store(false)
	f.session.service.ID = "replaced"
	if r := mustCall(t, f, http.MethodPost, "/", "x"); r.verdict != "not-run" || r.code != "not_ready" {
		t.Errorf("%+v without a session, want not_ready", r)
	}
}
