// Package gateway serves the callers' interface: quick requests, jobs and their output.
package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/daemon/control"
	"samphirepaddle.example/daemon/owner"
	"samphirepaddle.example/daemon/session"
	"samphirepaddle.example/daemon/target"
)

// Bounds on callers' input.
const (
	maxQuickBody = 1 << 20 // bytes
	maxJobBody   = 6 << 20 // bytes of JSON; a payload of 4 MiB grows by a third in base64
)

// controlTimeout bounds a caller's command that goes through the log.
const controlTimeout = 5 * time.Second

// Gateway serves callers.
type Gateway struct {
	session  *session.Session
	owners   *owner.Table
	targets  *target.Client
	control  *control.Client
	forwards *http.Client
	logger   zerolog.Logger
	draining atomic.Bool
}

// Options configures a Gateway.
type Options struct {
	Session  *session.Session
	Owners   *owner.Table
	Targets  *target.Client
	Control  *control.Client
	Forwards *http.Client // client towards other gateways
	Logger   zerolog.Logger
}

// New returns a gateway.
func New(o Options) *Gateway {
	return &Gateway{
		session:  o.Session,
		owners:   o.Owners,
		targets:  o.Targets,
		control:  o.Control,
		forwards: o.Forwards,
		logger:   o.Logger,
	}
}

// Register adds the callers' paths to the public mux.
func (g *Gateway) Register(mux *http.ServeMux) {
	mux.HandleFunc("/v1/call/{service}/{path...}", g.serveCall)
	mux.HandleFunc("POST /v1/jobs", g.submitJob)
	mux.HandleFunc("GET /v1/jobs/{id}", g.showJob)
	mux.HandleFunc("POST /v1/jobs/{id}/cancel", g.cancelJob)
	mux.HandleFunc("POST /v1/targets/announce", g.announce)
	mux.HandleFunc("GET /healthz/live", g.live)
	mux.HandleFunc("GET /healthz/ready", g.ready)
}

// RegisterPeer adds the paths for other gateways to the peer mux.
func (g *Gateway) RegisterPeer(mux *http.ServeMux) {
	mux.HandleFunc(forwardPath, g.serveForward)
}

// Drain makes the gateway answer that it is not ready.
func (g *Gateway) Drain() { g.draining.Store(true) }

func (g *Gateway) live(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string]bool{"live": true})
}

func (g *Gateway) ready(w http.ResponseWriter, _ *http.Request) {
	ready := g.session.Valid() && !g.draining.Load()
	status := http.StatusOK
	if !ready {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, map[string]bool{"ready": ready})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}

// Problem is the body of every error answer.
type Problem struct {
	Error   string        `json:"error"`
	Code    string        `json:"code"`
	Verdict string        `json:"verdict"`
	Ticket  *model.Ticket `json:"accepted_ticket,omitempty"`
}

func writeProblem(w http.ResponseWriter, status int, verdict model.Verdict, code, message string) {
	w.Header().Set(model.VerdictHeader, verdict.String())
	if verdict == model.VerdictNotRun && status >= http.StatusInternalServerError {
		w.Header().Set("Retry-After", "1")
	}
	writeJSON(w, status, Problem{Error: message, Code: code, Verdict: verdict.String()})
}

func (g *Gateway) propose(ctx context.Context, c state.Command) (state.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	return g.control.Propose(ctx, c)
}
