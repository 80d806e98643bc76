package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/rs/zerolog"

	"samphirepaddle.example/daemon/control"
	"samphirepaddle.example/daemon/controller"
	"samphirepaddle.example/daemon/gateway"
	"samphirepaddle.example/daemon/intake"
	"samphirepaddle.example/daemon/operator"
	"samphirepaddle.example/daemon/owner"
	"samphirepaddle.example/daemon/replica"
	"samphirepaddle.example/daemon/rpc"
	"samphirepaddle.example/daemon/scheduler"
	"samphirepaddle.example/daemon/session"
	"samphirepaddle.example/daemon/settings"
	"samphirepaddle.example/daemon/target"
)

// Limits of listeners and connections.
const (
	headerTimeout     = 5 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 64 << 10
	connsPerPeer      = 64
	connsPerTarget    = 64
	peerDialTimeout   = 500 * time.Millisecond
	peerIdleTimeout   = 30 * time.Second
	shutdownKeepGoing = 100 * time.Millisecond
)

// daemon holds the components of the samphired run command.
type daemon struct {
	settings settings.Settings
	logger   zerolog.Logger

	public, peer *http.Server
	replica      *replica.Replica // nil unless this VM is a controller
	controller   *controller.Service
	scheduler    *scheduler.Scheduler
	session      *session.Session
	owners       *owner.Table
	gateway      *gateway.Gateway
	control      *control.Client
	publicGuard  *intake.Guard // of callers, targets and operators
	peerGuard    *intake.Guard // of other daemons
	budgets      listenerBudgets
}

func newDaemon(s settings.Settings) (*daemon, error) {
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, fmt.Errorf("log_level: %w", err)
	}
	logger := zerolog.New(os.Stderr).Level(level).With().Timestamp().Str("gateway", string(s.Gateway)).Logger()
	d := &daemon{settings: s, logger: logger}
	publicMux, peerMux := http.NewServeMux(), http.NewServeMux()
	if s.IsController() {
		if err := d.buildController(peerMux); err != nil {
			return nil, err
		}
	}
	d.buildGateway(publicMux, peerMux)
	if err := d.buildGuards(); err != nil {
		return nil, err
	}
	d.public = newServer(s.PublicListen, d.publicGuard.Handler(d.gateway.WithTimeouts(publicMux)))
	d.publicGuard.Attach(d.public)
	d.peer = newServer(s.PeerListen, d.peerGuard.Handler(peerMux))
	d.peerGuard.Attach(d.peer)
	return d, nil
}

// newServer returns an HTTP server with the limits of this daemon.
func newServer(address string, handler http.Handler) *http.Server {
	return &http.Server{
		Addr:              address,
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

func (d *daemon) buildController(peerMux *http.ServeMux) error {
	r, err := replica.Open(d.replicaOptions())
	if err != nil {
		return fmt.Errorf("data_dir: %w", err)
	}
	d.replica = r
	peerMux.Handle(rpc.ConsensusPathPrefix, r.Handler())
	ttl := time.Duration(d.settings.SessionTTLMs) * time.Millisecond
	d.controller = controller.NewService(d.replica, ttl, d.logger)
	d.scheduler = scheduler.New(d.replica, d.controller, d.logger)
	d.controller.SetExplainer(d.scheduler)
	d.controller.SetMembers(members{r})
	peerMux.Handle(rpc.ControlPathPrefix, rpc.NewControlServer(d.controller))
	return nil
}

func (d *daemon) replicaOptions() replica.Options {
	options := replica.Options{
		Gateway: d.settings.Gateway,
		Addr:    d.settings.PeerAddr,
		Dir:     d.settings.DataDir,
		Client:  &http.Client{Transport: peerTransport(d.settings.PeerListen)},
		Logger:  d.logger,
	}
	for _, c := range d.settings.Controllers {
		options.InitialControllers = append(options.InitialControllers, replica.Controller{Gateway: c.ID, Addr: c.PeerAddr})
	}
	return options
}

func (d *daemon) buildGateway(publicMux, peerMux *http.ServeMux) {
	transport := peerTransport(d.settings.PeerListen)
	var addresses []string
	for _, c := range d.settings.Controllers {
		addresses = append(addresses, c.PeerAddr)
	}
	client := control.NewClient(addresses, transport)
	targets := target.NewClient(connsPerTarget)
	d.owners = owner.NewTable(owner.Options{
		Gateway:          d.settings.Gateway,
		PublicAddr:       d.settings.PublicAddr,
		TargetTTL:        time.Duration(d.settings.TargetTTLMs) * time.Millisecond,
		AnnounceInterval: time.Duration(d.settings.AnnounceMs) * time.Millisecond,
		Targets:          targets,
		Proposer:         client,
		Picker:           owner.NewPredictivePicker(),
		Logger:           d.logger,
	})
	identity := session.Identity{
		Gateway:    d.settings.Gateway,
		Zone:       d.settings.Zone,
		PublicAddr: d.settings.PublicAddr,
		PeerAddr:   d.settings.PeerAddr,
	}
	d.session = session.New(identity, client, d.owners, d.logger)
	d.owners.SetLease(d.session)
	d.gateway = gateway.New(gateway.Options{
		Session:   d.session,
		Owners:    d.owners,
		Targets:   targets,
		Control:   client,
		MaxQueued: d.settings.MaxQueued,
		PeerIP:    peerListenIP(d.settings.PeerListen),
		Logger:    d.logger,
	})
	d.session.OnRenewal(d.gateway.WakeQueues)
	d.control = client
	d.gateway.Register(publicMux)
	d.gateway.RegisterPeer(peerMux)
	operator.New(client).Register(publicMux)
	peerMux.Handle(rpc.OwnerPathPrefix, rpc.NewOwnerServer(gateway.OwnerService{Owners: d.owners}))
}

// run serves until ctx is done, then shuts down gracefully: requests in progress complete. It
// returns early if force is done during the shutdown.
func (d *daemon) run(ctx, force context.Context) error {
	publicListener, err := intake.Listen(d.settings.PublicListen, d.budgets.public)
	if err != nil {
		return fmt.Errorf("public_listen: %w", err)
	}
	peerListener, err := intake.Listen(d.settings.PeerListen, d.budgets.peer)
	if err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	serveErrs := make(chan error, 2)
	go func() { serveErrs <- d.peer.Serve(d.peerGuard.Listener(peerListener)) }()
	go func() { serveErrs <- d.public.Serve(d.publicGuard.Listener(publicListener)) }()
	background, stop := context.WithCancel(context.Background())
	defer stop()
	d.startLoops(background)
	d.logger.Info().Str("public", d.settings.PublicAddr).Str("peer", d.settings.PeerAddr).
		Bool("controller", d.replica != nil).Int("max_connections", d.budgets.public.Connections).Int("max_peer_connections", d.budgets.peer.Connections).Msg("started")
	select {
	case err := <-serveErrs:
		return err
	case <-ctx.Done():
	}
	return d.shutdown(force)
}

func (d *daemon) startLoops(ctx context.Context) {
	if d.replica != nil {
		go d.controller.Run(ctx)
		go d.scheduler.Run(ctx)
	}
	go d.session.Run(ctx)
	go d.owners.Run(ctx)
}
