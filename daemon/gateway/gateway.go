// Package gateway serves the public API: quick requests, jobs and their output.
package gateway

import (
	"net"

	"context"
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"samphirepaddle.example/core/admission"
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/syncmsg"
	"samphirepaddle.example/daemon/owner"
	"samphirepaddle.example/daemon/target"
)

// Limits on request bodies.
const (
	maxQuickBody = 1 << 20 // bytes
	maxJobBody   = 6 << 20 // bytes of JSON; a payload of 4 MiB grows by a third in base64
)

// controlTimeout limits a command or query that the gateway sends to the controllers.
const controlTimeout = 5 * time.Second

// Session is the gateway's session with the controllers.
type Session interface {
	// Valid reports whether the session lease is valid now.
	Valid() bool
	Epoch() model.Epoch
	Gateway() model.GatewayID
	Service(model.ServiceID) (model.Service, bool)
	Tenant(model.TenantID) (model.Tenant, bool)
	// Peers returns the other gateways that are live and not draining.
	Peers() []syncmsg.Peer
}

// Control is the client of the controllers.
type Control interface {
	Propose(ctx context.Context, c state.Command) (state.Result, error)
	Read(ctx context.Context, query string, arguments any) (json.RawMessage, error)
}

// Gateway serves the public API, and the requests that other gateways forward.
type Gateway struct {
	session       Session
	owners        *owner.Table
	targets       *target.Client
	control       Control
	logger        zerolog.Logger
	draining      atomic.Bool
	active        atomic.Int64 // calls, output streams and outcome recordings in progress; some continue without their caller
	forwardClient *http.Client // quick requests to peers, each sent at most once
	relayClient   *http.Client // job output from peers and announcements to them

	queueLimit   *admission.WaitLimit
	tenantLimits *admission.Limiter
	retryBudget  *admission.RetryBudget
	peers        *peerTable
	metrics      *gatewayMetrics

	mu     sync.RWMutex
	queues map[model.ServiceID]*serviceQueue
}

// serviceQueue is the queue of one service and the pool that serves it.
type serviceQueue struct {
	*admission.Queue
	pool atomic.Value // model.PoolID
}

// Options configures a Gateway.
type Options struct {
	Session   Session
	Owners    *owner.Table
	Targets   *target.Client
	Control   Control
	MaxQueued int // limit of waiting requests over all services
	// PeerIP is the source address of connections to other gateways; any local one if nil.
	PeerIP net.IP
	Logger zerolog.Logger
}

// New returns a gateway.
func New(o Options) *Gateway {
	dialer := &net.Dialer{Timeout: peerDialTimeout}
	if o.PeerIP != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: o.PeerIP}
	}
	g := &Gateway{
		session:       o.Session,
		owners:        o.Owners,
		targets:       o.Targets,
		control:       o.Control,
		logger:        o.Logger,
		forwardClient: newForwardClient(dialer),
		relayClient:   newRelayClient(dialer),
		queueLimit:    admission.NewWaitLimit(o.MaxQueued),
		tenantLimits:  admission.NewLimiter(),
		retryBudget:   admission.NewRetryBudget(),
		peers:         newPeerTable(),
		metrics:       newGatewayMetrics(),
		queues:        map[model.ServiceID]*serviceQueue{},
	}
	o.Owners.OnCapacityFreed(g.wakePool)
	return g
}

// Register adds the paths of the public API to mux.
func (g *Gateway) Register(mux *http.ServeMux) {
	mux.HandleFunc("/v1/call/{service}/{path...}", g.serveCall)
	mux.HandleFunc("POST /v1/jobs", g.submitJob)
	mux.HandleFunc("GET /v1/jobs/{id}", g.showJob)
	mux.HandleFunc("GET /v1/jobs/{id}/output", g.serveOutput)
	mux.HandleFunc("POST /v1/jobs/{id}/cancel", g.cancelJob)
	mux.HandleFunc("POST /v1/targets/announce", g.announce)
	mux.HandleFunc("GET /v1/histograms", g.serveHistograms)
	mux.HandleFunc("GET /v1/metrics", g.serveMetrics)
	mux.HandleFunc("GET /healthz/live", g.serveLive)
	mux.HandleFunc("GET /healthz/ready", g.serveReady)
}

// RegisterPeer adds the paths for other gateways to mux.
func (g *Gateway) RegisterPeer(mux *http.ServeMux) {
	mux.HandleFunc("/forward/{service}/{path...}", g.serveForward)
	mux.HandleFunc("GET "+relayPrefix+"{job}/{number}", g.serveRelay)
}

// Drain makes the readiness check fail, and asks callers to close their connections after their
// current request.
func (g *Gateway) Drain() { g.draining.Store(true) }

// idlePollInterval is the interval at which WaitIdle checks for work in progress.
const idlePollInterval = 10 * time.Millisecond

// WaitIdle returns when no call, output stream or outcome recording is in progress, or ctx is done.
func (g *Gateway) WaitIdle(ctx context.Context) error {
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	for g.active.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// WakeQueues makes waiting requests look for free capacity at peers. It is called after each
// renewal of the session, which may change the list of peers and their free slots, and must not
// block.
func (g *Gateway) WakeQueues() {
	g.mu.RLock()
	defer g.mu.RUnlock()
	for _, q := range g.queues {
		q.Wake()
	}
}

// wakePool tells the queues of a pool that capacity may have become free.
func (g *Gateway) wakePool(pool model.PoolID) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	for _, q := range g.queues {
		if q.pool.Load() == pool {
			q.Wake()
		}
	}
}

func (g *Gateway) queue(service model.Service) *serviceQueue {
	g.mu.RLock()
	q, ok := g.queues[service.ID]
	g.mu.RUnlock()
	if !ok {
		q = g.addQueue(service.ID)
	}
	if q.pool.Load() != service.Pool {
		q.pool.Store(service.Pool)
	}
	return q
}

func (g *Gateway) addQueue(id model.ServiceID) *serviceQueue {
	g.mu.Lock()
	defer g.mu.Unlock()
	if q, ok := g.queues[id]; ok {
		return q
	}
	q := &serviceQueue{Queue: admission.NewQueue(g.queueLimit)}
	g.queues[id] = q
	return q
}

func (g *Gateway) serveLive(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string]bool{"live": true})
}

func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	ready := g.session.Valid() && !g.draining.Load()
	status := http.StatusOK
	if !ready {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, map[string]bool{"ready": ready})
}

func (g *Gateway) propose(ctx context.Context, c state.Command) (state.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	return g.control.Propose(ctx, c)
}
