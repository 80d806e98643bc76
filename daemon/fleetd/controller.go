package fleetd

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"samphirepaddle.example/core/dispatch"
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
	"samphirepaddle.example/daemon/agent"
	"samphirepaddle.example/daemon/fleet"
	"samphirepaddle.example/daemon/intake"
	"samphirepaddle.example/daemon/operator"
	"samphirepaddle.example/daemon/replica"
	"samphirepaddle.example/daemon/rpc"
	"samphirepaddle.example/daemon/settings"
	"samphirepaddle.example/daemon/wait"
)

// Timing of the controller group: heartbeats every 100 ms and election timeouts of 600 to
// 1,200 ms. A VM with 0.8 of a core and a CPU quota per 100 ms may be throttled for longer than the
// defaults of package replica tolerate.
const (
	groupTick      = 25 * time.Millisecond
	heartbeatTicks = 4
	electionTicks  = 24
	// leaderLease is two ticks shorter than the shortest election timeout.
	leaderLease = (electionTicks - 2) * groupTick
)

// Snapshots are taken often, because a restart replays the log on a fraction of a core.
const (
	snapshotBytes = 2 << 20 // log size after which a snapshot is taken
	keepBytes     = 1 << 20 // log size that is kept after a snapshot
)

// controllerNode is the part of a daemon that only controllers have.
type controllerNode struct {
	log    *replica.Replica
	engine *fleet.Engine
	logger zerolog.Logger
	dir    directory
	watch  groupWatch
	client *fleet.Client
	agent  *agent.Server
}

func (d *Daemon) buildController(ctx context.Context, adapter Adapter) ([]net.Listener, error) {
	s := d.settings
	node := &controllerNode{logger: d.logger}
	d.client = fleet.NewControllerClient(s.ControlAddr, s.Controllers, d.transport(maxControllerConns), node.dir.Members, d.logger)
	node.client, node.dir.client = d.client, d.client
	workers, err := d.workerTransport()
	if err != nil {
		return nil, err
	}
	options := d.replicaOptions()
	log, err := openWhenRoom(ctx, d.logger, roomRetryInterval, func() (*replica.Replica, error) { return replica.Open(options) })
	if err != nil {
		return nil, err
	}
	node.log, node.dir.log = log, log
	node.watch = groupWatch{wanted: wantedVoters(s), logger: d.logger, metrics: d.metrics, asked: d.client.ControllerAddrs}
	direct := adapter.WorkerClient(workers, d.logger)
	node.agent = agent.NewServer(direct, s.Zone, d.inside, d.logger)
	pool := agent.NewPool(agent.Options{
		Self: s.ControlAddr, Direct: direct, Members: node.dir.MemberAddrs, MinWorkers: s.AgentWorkers, Dial: dialer(s.SourceIP).DialContext, Logger: d.logger,
	})
	node.engine = fleet.NewEngine(fleet.Options{
		Metrics: d.metrics,
		Log:     log, Workers: pool, Leading: pool.Run, Logger: d.logger,
		LeaderLease: leaderLease, WorkerLease: time.Duration(s.WorkerLeaseMs) * time.Millisecond,
		WorkerLeaseLimit: time.Duration(s.WorkerLeaseLimitMs) * time.Millisecond,
		SpareCold:        s.SpareColdWorkers, JobBytes: jobBytes(s),
		PlaceCosts: dispatch.PlaceCosts{StopMs: s.TaskStopMs, RestoreMs: s.TaskRestoreMs, RemoteFactor: s.RemoteFactor},
	})
	d.node = node
	mux := http.NewServeMux()
	mux.Handle(rpc.ConsensusPathPrefix, log.Handler())
	mux.Handle("POST "+fleet.PathAnnounce, d.client.AnnouncementHandler())
	mux.Handle(fleet.PathPrefix, d.client.LearnMembers(fleet.Handler(node.engine, &node.dir, d.logger)))
	mux.Handle("GET "+agent.StreamPath, node.agent)
	mux.Handle("GET /metrics", d.metrics.Handler())
	c := fleet.Control{
		Client: d.client, Reporter: fleet.LocalReporter{Log: log, Leader: d.client},
		HeartbeatAddr: func(workflow.WorkerID) string { return s.ControlAddr }, Zones: s.Zones,
	}
	operator.RegisterZones(mux, c)
	operator.RegisterExplain(mux, c)
	adapter.RegisterControl(mux, c, d.logger)
	return d.listen(map[string]http.Handler{s.ControlListen: mux})
}

// jobBytes returns the memory for jobs that have not ended.
func jobBytes(s settings.Fleet) int64 {
	if s.JobMemoryMiB > 0 {
		return s.JobMemoryMiB << 20
	}
	if s.MemoryMiB > 0 {
		return fleet.JobBytesFor(s.MemoryMiB)
	}
	return fleet.JobBytesFor(intake.MachineBytes() >> 20)
}

// replicaOptions returns the settings of the log. The client must exist already.
func (d *Daemon) replicaOptions() replica.Options {
	s := d.settings
	options := replica.Options{
		Gateway: model.GatewayID(s.ControlAddr), Addr: s.ControlAddr, Dir: s.DataDir,
		Client: &http.Client{Transport: d.transport(maxControllerConns)}, Logger: d.logger, OnFatal: d.onFatal(),
		JoinOnly: !s.MayFound, SeedsFound: true, OpenMembership: true, MaxVoters: wantedVoters(s),
		Tick: groupTick, HeartbeatTicks: heartbeatTicks, ElectionTicks: electionTicks,
		SnapshotBytes: snapshotBytes, KeepBytes: keepBytes, KnownControllers: d.client.MemberAddrs,
	}
	options.InitialControllers = seedsOf(s)
	return options
}

// seedsOf returns the seeds of the settings. On this platform the address of a daemon is its id.
func seedsOf(s settings.Fleet) []replica.Controller {
	var seeds []replica.Controller
	for _, addr := range s.Controllers {
		seeds = append(seeds, replica.Controller{Gateway: model.GatewayID(addr), Addr: addr})
	}
	return seeds
}

// wantedVoters is the number of voters with which the group tolerates the losses of the settings.
func wantedVoters(s settings.Fleet) int { return 2*max(1, s.ToleratedVMs) + 1 }

func (n *controllerNode) start(ctx context.Context) {
	go n.engine.Run(ctx)
	go n.watchGroup(ctx)
	go n.announceMembers(ctx)
}

// announceInterval is the time between two announcements of the controllers' addresses to the other
// seeds. The platform allows 12 s from a restart of all VMs until the service is available.
const announceInterval = time.Second

func (n *controllerNode) announceMembers(ctx context.Context) {
	for ctx.Err() == nil {
		n.client.AnnounceMembers(ctx)
		wait.For(ctx, announceInterval)
	}
}

// transferTimeout bounds the leadership transfer and the announcement of the shutdown to the group.
const transferTimeout = 1500 * time.Millisecond

// leave stops all activity as the leader, transfers the leadership and announces the shutdown.
func (n *controllerNode) leave(force context.Context) {
	n.agent.Drain()
	n.engine.Resign()
	ctx, cancel := context.WithTimeout(force, transferTimeout)
	defer cancel()
	if err := n.log.Leave(ctx); err != nil {
		n.logger.Warn().Err(err).Msg("the group may not know of the shutdown; it elects a leader or replaces this controller after a timeout")
	}
}

func (n *controllerNode) close() error { return n.log.Close() }

// directory provides the addresses of the controllers to other daemons.
type directory struct {
	log    *replica.Replica
	client *fleet.Client

	mu      sync.Mutex           // may be locked while the client's is held, but not the other way round
	members []string             // addresses of the members in force
	list    fleet.ControllerList // of the committed membership
}

func (d *directory) setMembers(s replica.Status) {
	members := memberAddrs(s.Members)
	list := fleet.ControllerList{Group: s.Group, Index: s.CommittedAt}
	for _, member := range s.Committed {
		list.Addrs = append(list.Addrs, member.Addr)
	}
	if len(list.Addrs) == 0 {
		list.Addrs = members // after a restart, until a leader is known
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.members, d.list = members, list
}

func memberAddrs(members []replica.MemberStatus) []string {
	var addrs []string
	for _, member := range members {
		addrs = append(addrs, member.Addr)
	}
	return addrs
}

// LeaderAddr returns the address of the known leader.
func (d *directory) LeaderAddr() string { return d.log.Leader().PeerAddr }

// Members returns the committed membership in the local log.
func (d *directory) Members() fleet.ControllerList {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list
}

// MemberAddrs returns the addresses of the members in force in the local log.
func (d *directory) MemberAddrs() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.members
}

// KnownControllers returns the members in the local log, or the list that another daemon has sent if it is
// newer: a controller may be outside its group, or have been removed while it was cut off.
func (d *directory) KnownControllers() fleet.ControllerList {
	return d.Members().Newer(d.client.KnownControllers())
}
