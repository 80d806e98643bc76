// Package fleetd implements the daemon that runs workflows on the users' platform: gateways accept
// callers' requests, controllers replicate the state, and their leader drives the workers.
package fleetd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"time"

	"github.com/rs/zerolog"

	coreintake "samphirepaddle.example/core/intake"
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/daemon/fleet"
	"samphirepaddle.example/daemon/intake"
	"samphirepaddle.example/daemon/operator"
	"samphirepaddle.example/daemon/replica"
	"samphirepaddle.example/daemon/rpc"
	"samphirepaddle.example/daemon/settings"
	"samphirepaddle.example/daemon/wait"
)

// Limits of the listeners.
const (
	headerTimeout  = 3 * time.Second
	idleTimeout    = 60 * time.Second
	bodyTimeout    = 10 * time.Second // to read a whole request
	writeTimeout   = 10 * time.Second // to take a part of an answer
	maxHeaderBytes = 16 << 10
)

// Maximum connections to one address.
const (
	maxControllerConns = 64
	maxWorkerConns     = 2 // one for the hold call, one for all other calls
)

// memoryLimitShare is the soft memory limit of the Go runtime, as a share of the VM's memory.
const memoryLimitShare = 0.6

// gcPercent lets the heap grow to four times the live heap before a collection. With the default of
// 100, the collector used a fifth of the leader's processor time at 350 workers, while the process
// used a quarter of its memory.
const gcPercent = 300

// Daemon is one running process.
type Daemon struct {
	settings settings.Fleet
	path     string // of the settings file
	logger   zerolog.Logger
	log      io.Closer // flushes the lines of logger
	client   *fleet.Client
	servers  []*http.Server
	node     *controllerNode // nil on gateways
	draining drainFlag
	metrics  *fleet.Metrics
	guard    *intake.Guard // of callers, or of workers and operators
	inside   *intake.Guard // of calls of other daemons, on the same listener

	metricsServer *http.Server
}

// Adapter implements the platform's protocol for callers, operators and workers.
type Adapter interface {
	CallerHandler(*fleet.Client, zerolog.Logger) http.Handler
	RegisterControl(mux *http.ServeMux, c fleet.Control, logger zerolog.Logger)
	WorkerClient(transport http.RoundTripper, logger zerolog.Logger) fleet.WorkerClient
}

// Run reads the settings and serves until ctx is done, then shuts down gracefully; when force is
// done, the shutdown ends at once. A message on reload means that the settings may have changed.
func Run(ctx, force context.Context, reload <-chan struct{}, path string, adapter Adapter) error {
	s, err := settings.LoadFleet(path)
	if err != nil {
		return err
	}
	logger, closer, err := newLogger(s.LogLevel, s.ID, string(s.Role))
	if err != nil {
		return fmt.Errorf("log_level: %w", err)
	}
	defer closer.Close()
	if s.MemoryMiB > 0 {
		debug.SetGCPercent(gcPercent)
		debug.SetMemoryLimit(int64(float64(s.MemoryMiB<<20) * memoryLimitShare))
	}
	d := newDaemon(s, path, logger, closer)
	d.warnSkipped(s)
	listeners, err := d.build(ctx, adapter)
	if err != nil {
		logger.Error().Err(err).Msg("startup failed")
		return err
	}
	return d.serve(ctx, force, reload, listeners)
}

func newDaemon(s settings.Fleet, path string, logger zerolog.Logger, log io.Closer) *Daemon {
	d := &Daemon{settings: s, path: path, logger: logger, log: log, metrics: fleet.NewMetrics()}
	d.metricsServer = newMetricsServer(d.metrics)
	d.inside = d.newGuard(coreintake.ListenerBudget{})
	d.client = fleet.NewClient(s.Controllers, d.transport(maxControllerConns), logger)
	return d
}

func (d *Daemon) build(ctx context.Context, adapter Adapter) ([]net.Listener, error) {
	switch d.settings.Role {
	case settings.RoleController:
		return d.buildController(ctx, adapter)
	case settings.RoleRelay:
		return d.buildRelay(adapter)
	}
	return d.buildGateway(adapter)
}

func (d *Daemon) buildGateway(adapter Adapter) ([]net.Listener, error) {
	ready := http.NewServeMux()
	ready.HandleFunc("GET /readyz", d.ready)
	callers := d.draining.closeAfterResponse(d.metrics.ObserveRequests(adapter.CallerHandler(d.client, d.logger)))
	return d.listen(map[string]http.Handler{d.settings.CallersListen: callers, d.settings.ReadyListen: ready})
}

// buildRelay builds a daemon on a VM that cannot store a log. It serves workers and operators,
// because the platform may route their requests to any VM of a zone.
// As a seed it takes part in the first start of the group.
func (d *Daemon) buildRelay(adapter Adapter) ([]net.Listener, error) {
	witness, err := replica.NewWitness(replica.WitnessOptions{
		Gateway: model.GatewayID(d.settings.ControlAddr), Seeds: seedsOf(d.settings), MayVote: d.settings.MayFound,
		Client: &http.Client{Transport: d.transport(maxControllerConns)}, Logger: d.logger,
	})
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle(rpc.ConsensusPathPrefix, witness.Handler())
	mux.Handle(fleet.PathPrefix, fleet.RedirectHandler(d.client))
	c := fleet.Control{Client: d.client, Reporter: d.client, HeartbeatAddr: d.client.HeartbeatMember, Zones: d.settings.Zones}
	operator.RegisterZones(mux, c)
	operator.RegisterExplain(mux, c)
	adapter.RegisterControl(mux, c, d.logger)
	return d.listen(map[string]http.Handler{d.settings.ControlListen: mux})
}

// readinessTimeout is how long a gateway reports ready after the last response from a leader. It
// is longer than a change of leader, during which taking gateways out of rotation does not help.
const readinessTimeout = 4 * time.Second

func (d *Daemon) ready(w http.ResponseWriter, _ *http.Request) {
	if d.draining.isSet() || d.client.SinceContact() > readinessTimeout {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (d *Daemon) listen(handlers map[string]http.Handler) ([]net.Listener, error) {
	limit, err := descriptorLimit()
	if err != nil {
		return nil, err
	}
	main, probes := d.mainBudget(limit), d.probeBudget()
	d.guard = d.newGuard(main)
	var listeners []net.Listener
	for addr, handler := range handlers {
		guard, budget := d.guard, main
		if addr == d.settings.ReadyListen {
			guard, budget = d.newGuard(probes), probes // a crowd of callers must not take the gateway out of rotation
		}
		listener, err := intake.Listen(addr, budget)
		if err != nil {
			return nil, err
		}
		server := &http.Server{
			Handler: recoverPanics(d.guardBodies(guard, addr, handler), d.logger), ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout,
			IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: nil,
		}
		guard.Attach(server)
		listeners = append(listeners, guard.Listener(listener))
		d.servers = append(d.servers, server)
	}
	return listeners, nil
}

// guardBodies returns a handler that reads requests within the budget. Calls of other daemons have a budget of
// their own, so that a crowd of operators or workers does not stop the group.
func (d *Daemon) guardBodies(guard *intake.Guard, addr string, handler http.Handler) http.Handler {
	outside := guard.Handler(handler)
	if addr != d.settings.ControlListen {
		return outside
	}
	inside := d.inside.Handler(handler)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, fleet.PathPrefix) || strings.HasPrefix(r.URL.Path, rpc.ConsensusPathPrefix) {
			inside.ServeHTTP(w, r)
			return
		}
		outside.ServeHTTP(w, r)
	})
}

func (d *Daemon) newGuard(listener coreintake.ListenerBudget) *intake.Guard {
	bytes := d.settings.BodyMemoryMiB << 20
	if bytes == 0 {
		bytes = intake.BodyBytesFor(d.settings.MemoryMiB << 20)
	}
	return intake.New(intake.Options{BodyBytes: bytes, Listener: listener, Counters: d.metrics, Logger: d.logger, WriteTimeout: writeTimeout})
}

func (d *Daemon) serve(ctx, force context.Context, reload <-chan struct{}, listeners []net.Listener) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	failures := make(chan error, len(listeners))
	for i, listener := range listeners {
		go func() { failures <- d.servers[i].Serve(listener) }()
	}
	if d.node != nil {
		d.node.start(background)
	}
	go d.serveMetrics()
	defer d.metricsServer.Close()
	go d.pollLeader(background)
	go d.watchSettings(background, reload)
	d.logger.Info().Str("zone", string(d.settings.Zone)).Strs("controllers", d.settings.Controllers).
		Bool("may_found", d.settings.MayFound).Msg("started")
	select {
	case err := <-failures:
		d.logger.Error().Err(err).Msg("listener failed")
		return err
	case <-ctx.Done():
	}
	return d.shutdown(force)
}

// shutdownTimeout bounds the shutdown of the servers, with a margin before the platform kills the
// process.
const shutdownTimeout = 2 * time.Second

func (d *Daemon) shutdown(force context.Context) error {
	d.logger.Info().Msg("stopping")
	d.draining.set()
	if d.node != nil {
		d.node.leave(force)
	} else {
		wait.For(force, time.Duration(d.settings.DrainMs)*time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(force, shutdownTimeout)
	defer cancel()
	var err error
	for _, server := range d.servers {
		if failure := server.Shutdown(ctx); failure != nil && !errors.Is(failure, context.DeadlineExceeded) {
			err = errors.Join(err, failure)
		}
	}
	if d.node != nil {
		err = errors.Join(err, d.node.close())
	}
	d.logger.Info().Err(err).Msg("stopped")
	return err
}

// Intervals and timeouts of the checks for a leader and for changed settings.
const (
	contactInterval  = 500 * time.Millisecond
	contactTimeout   = 1200 * time.Millisecond
	searchAfter      = 1200 * time.Millisecond // silence after which all controllers are asked at the same time
	settingsInterval = 2 * time.Second         // the settings file may change without a signal
)

// pollLeader pings the leader if it has not responded within contactInterval, so that readiness is
// known without callers' requests.
func (d *Daemon) pollLeader(ctx context.Context) {
	watch := contactWatch{logger: d.logger, metrics: d.metrics}
	for ctx.Err() == nil {
		if d.client.SinceContact() >= contactInterval {
			call, cancel := context.WithTimeout(ctx, contactTimeout)
			// The client logs changes of the leader; a failed call is repeated in the next round.
			if d.client.SinceContact() < searchAfter {
				_ = d.client.Ping(call)
			} else {
				d.client.FindLeader(call)
			}
			cancel()
		}
		watch.observe(d.client, time.Now())
		d.guard.SetGauges()
		wait.For(ctx, contactInterval)
	}
}

func (d *Daemon) warnSkipped(s settings.Fleet) {
	if len(s.SkippedControllers) > 0 {
		d.logger.Warn().Strs("skipped", s.SkippedControllers).Msg("settings: entries of controllers that are no addresses")
	}
}

// watchSettings applies changed addresses of controllers; other settings need a restart. Without a
// signal, gateways and relays read the settings only while no leader responds. Controllers always do,
// because they announce the group to the present seeds.
func (d *Daemon) watchSettings(ctx context.Context, reload <-chan struct{}) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-reload:
			signalled = true
		case <-ticker.C:
			if d.node == nil && d.client.SinceContact() < readinessTimeout {
				continue
			}
		}
		s, err := settings.LoadFleet(d.path)
		if err != nil {
			d.logger.Warn().Err(err).Msg("changed settings are invalid; keeping the previous ones")
			continue
		}
		if signalled {
			d.warnSkipped(s)
			d.logger.Info().Strs("controllers", s.Controllers).Msg("settings reloaded")
		}
		d.client.SetSeeds(s.Controllers)
	}
}
