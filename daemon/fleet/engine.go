package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"samphirepaddle.example/core/dispatch"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/workflow"
	"samphirepaddle.example/daemon/bootclock"
	"samphirepaddle.example/daemon/replica"
	"samphirepaddle.example/daemon/wait"
)

// Options are the settings of an Engine.
type Options struct {
	Log         replica.Log
	Workers     WorkerClient
	Logger      zerolog.Logger
	Metrics     *Metrics      // a set of its own if nil
	LeaderLease time.Duration // less than the shortest election timeout
	WorkerLease time.Duration // of what runs on a worker; at most what workers grant
}

// Engine runs workflows while its controller is the leader.
type Engine struct {
	opts Options

	mu   sync.Mutex
	lead *lead // nil while another controller leads
	left bool  // the leadership is being given up
}

// NewEngine returns an engine. Run must be called.
func NewEngine(o Options) *Engine {
	if o.Metrics == nil {
		o.Metrics = NewMetrics()
	}
	return &Engine{opts: o}
}

// Run leads whenever the log says so, until ctx is done.
func (e *Engine) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := e.opts.Log.Changed()
		leader := e.opts.Log.Leader()
		if leader.Self && !e.leaving() {
			e.runTerm(ctx, leader.Term)
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// Resign ends the leadership's actions before it is handed over: a transfer does not wait
// until the lease is over.
func (e *Engine) Resign() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.left = true
	if e.lead != nil {
		e.lead.resign()
	}
}

func (e *Engine) leaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.left
}

// current returns the leadership if its lease holds.
func (e *Engine) current() *lead {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lead == nil || !e.lead.lease.valid(bootclock.Now()) {
		return nil
	}
	return e.lead
}

// lead is one leadership. Locks are taken in the order lead.mu, then the log's state.
type lead struct {
	engine *Engine
	logger zerolog.Logger
	limit  *logLimit
	detail zerolog.Logger // lines about single attempts, limited
	ctx    context.Context
	cancel context.CancelFunc
	token  uint64 // fencing token: the term, which no other leader has
	since  bootclock.Time
	lease  leaderLease
	group  sync.WaitGroup
	kicks  chan struct{}

	// The goroutine that runs passes owns these three.
	completeAt bootclock.Time // last pass that looked at every worker
	plannedAt  bootclock.Time // end of the planning of the last pass
	planTook   time.Duration

	mu       sync.Mutex // guards the fields below and those of the sessions
	sessions map[workflow.Incarnation]*session
	reports  map[workflow.WorkerID]*pendingReport
	watches  watches
	waits    map[waitKey]*waitLog
	memory   *dispatch.PlannerState
}

// pendingReport is a worker's report that is not recorded yet.
type pendingReport struct {
	worker workflow.Worker
	done   chan struct{} // closed once it is recorded
}

func (e *Engine) runTerm(parent context.Context, term uint64) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	l := &lead{
		engine: e, ctx: ctx, cancel: cancel, token: term, since: bootclock.Now(),
		logger: e.opts.Logger.With().Uint64("term", term).Logger(),
		kicks:  make(chan struct{}, 1), sessions: map[workflow.Incarnation]*session{},
		reports: map[workflow.WorkerID]*pendingReport{}, watches: newWatches(), waits: map[waitKey]*waitLog{},
		memory: dispatch.NewPlannerState(),
	}
	l.limit = &logLimit{most: decisionsPerSecond}
	l.detail = l.logger.Sample(l.limit)
	go l.watchLeadership(term)
	// The state must include everything that earlier leaders committed.
	if err := e.opts.Log.Read(ctx, func(*state.State) {}); err != nil {
		l.logger.Info().Err(err).Msg("leadership not confirmed")
		wait.For(parent, leaseRetry)
		return
	}
	l.logger.Info().Msg("leading")
	e.opts.Metrics.count("leaderships", "begun", 1)
	e.setLead(l)
	defer e.setLead(nil)
	l.group.Add(1)
	go func() {
		defer l.group.Done()
		l.lease.renew(ctx, e.opts.Log, e.opts.LeaderLease)
	}()
	l.run()
	l.resign()
	l.group.Wait()
	l.logger.Info().Msg("no longer leading")
}

func (e *Engine) setLead(l *lead) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lead = l
	if l != nil && e.left {
		l.resign()
	}
}

// resign ends the leadership's actions.
func (l *lead) resign() {
	l.lease.drop()
	l.cancel()
}

// watchLeadership ends the leadership when the log names another leader or term.
func (l *lead) watchLeadership(term uint64) {
	for {
		changed := l.engine.opts.Log.Changed()
		if leader := l.engine.opts.Log.Leader(); !leader.Self || leader.Term != term {
			l.resign()
			return
		}
		select {
		case <-l.ctx.Done():
			return
		case <-changed:
		}
	}
}

// kick asks for a scheduling pass.
func (l *lead) kick() {
	select {
	case l.kicks <- struct{}{}:
	default:
	}
}

// idlePass is the longest time between two passes; it bounds how late a lapsed lease, a due
// occurrence or a stop that must be repeated is noticed.
const idlePass = 100 * time.Millisecond

func (l *lead) run() {
	ticker := time.NewTicker(idlePass)
	defer ticker.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-l.kicks:
		case <-ticker.C:
			l.limit.report(l.logger)
		}
		if l.lease.valid(bootclock.Now()) {
			l.pass()
			l.rest()
		}
	}
}

// Planning may use a third of the processor; the rest is for calls to workers and from callers.
// Without the pause, hundreds of workers whose calls each ask for a pass keep a fraction of a
// core busy with planning alone. On one core the time of planning includes that of calls that
// run meanwhile, so the pause is bounded: quick jobs wait for it once or twice a step.
const (
	restFactor  = 2 // of the time that planning took
	longestRest = 40 * time.Millisecond
)

// rest waits until the next pass may begin.
func (l *lead) rest() {
	pause := min(longestRest, restFactor*l.planTook) - bootclock.Since(l.plannedAt)
	if pause > 0 {
		wait.For(l.ctx, pause)
	}
}
