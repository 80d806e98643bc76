// Package fleetd is the daemon that runs workflows on the users' platform: gateways take
// callers' requests, controllers keep the state, and their leader drives the workers.
package fleetd

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"

	"samphirepaddle.example/daemon/fleet"
	"samphirepaddle.example/daemon/settings"
	"samphirepaddle.example/daemon/wait"
)

// Limits of the listeners.
const (
	headerTimeout  = 3 * time.Second
	idleTimeout    = 60 * time.Second
	bodyTimeout    = 10 * time.Second // for a request to arrive in full
	maxHeaderBytes = 16 << 10
)

// Connections to one address.
const (
	connsToController = 64
	connsToWorker     = 4 // one hold call and up to three orders
)

// memoryShare of the VM's memory is the limit at which the garbage collector works harder.
const memoryShare = 0.6

// gcPercent lets the heap grow to four times what lives before a collection: at 350 workers a
// fifth of the leader's processor time went to the collector with the default of 100, while
// the process used a quarter of its memory.
const gcPercent = 300

// Daemon is one running process.
type Daemon struct {
	settings settings.Fleet
	path     string
	logger   zerolog.Logger
	client   *fleet.Client
	servers  []*http.Server
	node     *controllerNode // nil on gateways
	draining drainFlag
}

// Adapter connects the daemon to the protocol that callers, operators and workers speak.
type Adapter interface {
	Callers(*fleet.Client, zerolog.Logger) http.Handler
	RegisterControl(mux *http.ServeMux, c *fleet.Client, leader func() string, logger zerolog.Logger)
	Workers(transport http.RoundTripper, logger zerolog.Logger) fleet.WorkerClient
}

// Run reads the settings and serves until the first signal, then shuts down; the second
// signal ends it at once. reload is signalled when the settings may have changed.
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
		debug.SetMemoryLimit(int64(float64(s.MemoryMiB<<20) * memoryShare))
	}
	d := &Daemon{settings: s, path: path, logger: logger}
	d.client = fleet.NewClient(s.Controllers, d.transport(connsToController), logger)
	listeners, err := d.build(adapter)
	if err != nil {
		logger.Error().Err(err).Msg("not started")
		return err
	}
	return d.serve(ctx, force, reload, listeners)
}

func (d *Daemon) build(adapter Adapter) ([]net.Listener, error) {
	switch d.settings.Role {
	case settings.RoleController:
		return d.buildController(adapter)
	case settings.RoleRelay:
		return d.buildRelay(adapter)
	}
	return d.buildGateway(adapter)
}

func (d *Daemon) buildGateway(adapter Adapter) ([]net.Listener, error) {
	ready := http.NewServeMux()
	ready.HandleFunc("GET /readyz", d.ready)
	callers := d.draining.closeAfterAnswer(adapter.Callers(d.client, d.logger))
	return d.listen(map[string]http.Handler{d.settings.CallersListen: callers, d.settings.ReadyListen: ready})
}

// buildRelay serves workers and operators, who may be sent to any VM of a zone, on a VM that
// cannot keep a log.
func (d *Daemon) buildRelay(adapter Adapter) ([]net.Listener, error) {
	mux := http.NewServeMux()
	mux.Handle(fleet.PathPrefix, fleet.RedirectHandler(d.client))
	adapter.RegisterControl(mux, d.client, d.client.LeaderAddr, d.logger)
	return d.listen(map[string]http.Handler{d.settings.ControlListen: mux})
}

// readyFor is how long a gateway reports ready after the last answer of a leader. It exceeds
// a change of leader, because a gateway out of rotation helps nobody then.
const readyFor = 4 * time.Second

func (d *Daemon) ready(w http.ResponseWriter, _ *http.Request) {
	if d.draining.on() || d.client.SinceContact() > readyFor {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (d *Daemon) listen(handlers map[string]http.Handler) ([]net.Listener, error) {
	var listeners []net.Listener
	for addr, handler := range handlers {
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, listener)
		d.servers = append(d.servers, &http.Server{
			Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout,
			IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: nil,
		})
	}
	return listeners, nil
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
	go d.keepContact(background)
	go d.watchSettings(background, reload)
	d.logger.Info().Str("zone", string(d.settings.Zone)).Strs("controllers", d.settings.Controllers).
		Bool("may_found", d.settings.MayFound).Msg("started")
	select {
	case err := <-failures:
		d.logger.Error().Err(err).Msg("a listener failed")
		return err
	case <-ctx.Done():
	}
	return d.shutdown(force)
}

// shutdownLimit leaves room before the platform kills the process.
const shutdownLimit = 2 * time.Second

func (d *Daemon) shutdown(force context.Context) error {
	d.logger.Info().Msg("stopping")
	d.draining.set()
	if d.node != nil {
		d.node.handOver(force)
	} else {
		wait.For(force, time.Duration(d.settings.DrainMs)*time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(force, shutdownLimit)
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

// Times of the search for a leader.
const (
	contactEvery   = 500 * time.Millisecond
	contactTimeout = 1200 * time.Millisecond
	settingsEvery  = 2 * time.Second // the settings may change without a signal
)

// keepContact asks for the leader now and then, so that readiness is known without requests.
func (d *Daemon) keepContact(ctx context.Context) {
	for ctx.Err() == nil {
		if d.client.SinceContact() >= contactEvery {
			call, cancel := context.WithTimeout(ctx, contactTimeout)
			// The client logs the change; a failed call is repeated below.
			_ = d.client.Ping(call)
			cancel()
		}
		wait.For(ctx, contactEvery)
	}
}

// watchSettings takes over changed addresses of controllers; other settings need a restart.
func (d *Daemon) watchSettings(ctx context.Context, reload <-chan struct{}) {
	ticker := time.NewTicker(settingsEvery)
	defer ticker.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-reload:
			signalled = true
		case <-ticker.C:
			if d.client.SinceContact() < readyFor {
				continue
			}
		}
		s, err := settings.LoadFleet(d.path)
		if err != nil {
			d.logger.Warn().Err(err).Msg("changed settings are not valid; the earlier ones stay")
			continue
		}
		if signalled {
			d.logger.Info().Strs("controllers", s.Controllers).Msg("settings reloaded")
		}
		d.client.SetSeeds(s.Controllers)
	}
}
