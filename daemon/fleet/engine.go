package fleet

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"samphirepaddle.example/core/dispatch"
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/workflow"
	"samphirepaddle.example/daemon/bootclock"
	"samphirepaddle.example/daemon/replica"
	"samphirepaddle.example/daemon/wait"
)

// Options are the settings of an Engine.
type Options struct {
	Log     replica.Log
	Workers WorkerClient
	Logger  zerolog.Logger
	Metrics *Metrics // a new set if nil
	// Leading is called in a goroutine of its own when this controller begins to lead. ctx is done
	// when the term ends; workers returns the number of workers. It may be nil.
	Leading     func(ctx context.Context, workers func() int)
	LeaderLease time.Duration // must be less than the shortest election timeout
	WorkerLease time.Duration // lease of the tasks on a worker; at most WorkerLeaseLimit
	// WorkerLeaseLimit is the longest lease that a worker grants; DefaultWorkerLeaseLimit if zero.
	WorkerLeaseLimit time.Duration
	// PlaceCosts are what a place or a move costs a task; unknown if zero.
	PlaceCosts dispatch.PlaceCosts
	// JobBytes bounds the memory of the jobs that have not ended; unlimited if zero.
	JobBytes int64
	// SpareCold has cold workers filled as they warm up.
	SpareCold bool
	// MaxCallDelay is the time after which no worker executes a call any more; DefaultMaxCallDelay if zero.
	MaxCallDelay time.Duration
}

// Defaults of what the engine assumes of workers.
const (
	DefaultWorkerLeaseLimit = 10 * time.Second
	DefaultMaxCallDelay     = 12 * time.Second
)

// Engine runs workflows while its controller is the leader.
type Engine struct {
	opts Options

	mu         sync.Mutex
	leadership *leadership // nil while this controller is not the leader
	resigned   bool        // Resign was called; this controller will not act as the leader again
}

// NewEngine returns an engine, which does nothing until Run is called.
func NewEngine(o Options) *Engine {
	if o.Metrics == nil {
		o.Metrics = NewMetrics()
	}
	o.WorkerLeaseLimit = cmp.Or(o.WorkerLeaseLimit, DefaultWorkerLeaseLimit)
	o.MaxCallDelay = cmp.Or(o.MaxCallDelay, DefaultMaxCallDelay)
	o.Workers = protectedClient{o.Workers, o.Logger, o.Metrics}
	return &Engine{opts: o}
}

// Run runs workflows in each term in which this controller is the leader, until ctx is done.
func (e *Engine) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := e.opts.Log.Changed()
		leader := e.opts.Log.Leader()
		if leader.Self && !e.hasResigned() {
			e.runTerm(ctx, leader.Term)
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// Resign stops all activity as the leader. It must precede a transfer of the leadership, which does
// not wait for the leader lease to expire.
func (e *Engine) Resign() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resigned = true
	if e.leadership != nil {
		e.leadership.resign()
	}
}

func (e *Engine) hasResigned() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.resigned
}

// currentLeadership returns the leadership, or nil if there is none with a valid lease.
func (e *Engine) currentLeadership() *leadership {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leadership == nil || !e.leadership.lease.valid(bootclock.Now()) {
		return nil
	}
	return e.leadership
}

// leadership is one term in which this controller leads. Lock order: leadership.mu, then the lock
// of the log's state.
type leadership struct {
	engine        *Engine
	logger        zerolog.Logger
	limiter       *logLimiter
	sampledLogger zerolog.Logger // rate-limited, for lines about single attempts and waiting steps
	ctx           context.Context
	cancel        context.CancelFunc
	token         uint64         // fencing token: the term, which is unique to one leader
	since         bootclock.Time // when this engine began to lead the term
	lease         leaderLease
	wg            sync.WaitGroup
	passRequests  chan struct{}

	// Owned by the goroutine that runs the passes.
	lastFullCheck bootclock.Time // time of the last pass that examined every worker
	lastPlanEnd   bootclock.Time // when the last full pass finished planning
	planDuration  time.Duration
	clock         passClock
	passStats     passStats
	workerOrder   []workflow.WorkerID       // result of sortedWorkers in the last pass
	forgotten     uint64                    // value of LiveRemovals when the model last forgot ended jobs
	described     []dispatch.Worker         // workers of the last pass
	startAlone    map[workflow.TaskKey]bool // tasks whose attempts isolate their workers in this pass
	silenced      map[workflow.TaskKey]bool // tasks under which a worker fell silent, in this pass
	evacuated     map[model.Zone]bool       // zones in which no task may start, in this pass

	mu             sync.Mutex // guards the fields below and those of the sessions
	sessions       map[workflow.Incarnation]*session
	reports        map[workflow.WorkerID]*pendingReport
	seenAt         seenAt
	strays         strayCalls
	connectionEnds map[workflow.Incarnation]connectionEnd // of processes that have not answered since
	explains       []explainRequest
	waits          map[waitKey]*waitLog
	idleRuns       idleRuns
	begun          begunJobs
	stalls         map[workflow.TaskKey]int // how often this leader has moved a task of a live job that made no progress
	plannerState   *dispatch.PlannerState
}

// pendingReport is a worker's report that is not committed to the log yet.
type pendingReport struct {
	worker workflow.Worker
	proven bool          // the process has answered at the reported address
	done   chan struct{} // closed once the report is committed
}

func (e *Engine) runTerm(parent context.Context, term uint64) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	l := &leadership{
		engine: e, ctx: ctx, cancel: cancel, token: term, since: bootclock.Now(),
		logger:       e.opts.Logger.With().Uint64("term", term).Logger(),
		passRequests: make(chan struct{}, 1), sessions: map[workflow.Incarnation]*session{},
		reports: map[workflow.WorkerID]*pendingReport{}, seenAt: newSeenAt(), connectionEnds: map[workflow.Incarnation]connectionEnd{}, waits: map[waitKey]*waitLog{},
		plannerState: dispatch.NewPlannerState(), stalls: map[workflow.TaskKey]int{},
	}
	l.limiter = &logLimiter{maxPerSecond: maxDecisionLinesPerSecond}
	l.sampledLogger = l.logger.Sample(l.limiter)
	go l.watchLeadership(term)
	// The state must include everything that earlier leaders committed.
	if err := e.opts.Log.Read(ctx, func(*state.State) {}); err != nil {
		l.logger.Info().Err(err).Msg("leadership not confirmed")
		wait.For(parent, leaseRetryDelay)
		return
	}
	l.logger.Info().Msg("leading")
	e.opts.Metrics.count("leaderships", "begun", 1)
	e.setLeadership(l)
	defer e.setLeadership(nil)
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		l.lease.renew(ctx, e.opts.Log, e.opts.LeaderLease)
	}()
	if e.opts.Leading != nil {
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			e.opts.Leading(ctx, e.workerCount)
		}()
	}
	l.runPasses()
	l.resign()
	e.opts.Metrics.SetGauge(formerAttemptsGauge, 0)
	e.opts.Metrics.SetGauge(backlogGauge, 0)
	l.wg.Wait()
	l.logger.Info().Msg("no longer leading")
}

func (e *Engine) workerCount() int {
	count := 0
	e.opts.Log.View(func(st *state.State) { count = len(st.Workflows.Workers) })
	return count
}

func (e *Engine) setLeadership(l *leadership) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leadership = l
	if l != nil && e.resigned {
		l.resign()
	}
}

// resign revokes the leader lease and cancels all work of this term.
func (l *leadership) resign() {
	l.lease.revoke()
	l.cancel()
}

// watchLeadership resigns when the log reports another leader or term.
func (l *leadership) watchLeadership(term uint64) {
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

// requestPass requests a scheduling pass without blocking.
func (l *leadership) requestPass() {
	select {
	case l.passRequests <- struct{}{}:
	default:
	}
}

// maxPassInterval is the longest time between two passes. It bounds the delay until an expired
// lease, a due occurrence, or a stop that must be repeated is noticed.
const maxPassInterval = 100 * time.Millisecond

func (l *leadership) runPasses() {
	ticker := time.NewTicker(maxPassInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-l.passRequests:
		case <-ticker.C:
			l.limiter.reportDropped(l.logger)
			l.passStats.log(l.logger, bootclock.Now())
		}
		if l.lease.valid(bootclock.Now()) {
			l.runPass(fullPass)
			l.pauseAfterPass()
		}
	}
}

// Planning may use a third of the processor time; the rest is for calls to workers and from
// callers. Without a pause, hundreds of workers whose calls each request a pass would keep a
// fraction of a core busy with planning alone. On a single core the measured planning time
// includes concurrent calls, so the pause is bounded: short jobs wait for it once or twice per
// step.
const (
	planPauseFactor = 2 // multiple of the planning time
	maxPlanPause    = 40 * time.Millisecond
)

// pauseAfterPass waits until the next full pass may start. On request it plans meanwhile what comes
// before best-effort work, so that short jobs do not wait for the pause and for a full pass.
func (l *leadership) pauseAfterPass() {
	for {
		pause := min(maxPlanPause, planPauseFactor*l.planDuration) - bootclock.Since(l.lastPlanEnd)
		if pause <= 0 {
			return
		}
		timer := time.NewTimer(pause)
		select {
		case <-l.ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
			return
		case <-l.passRequests:
			timer.Stop()
			defer l.requestPass() // the request is also for the full pass
		}
		if l.lease.valid(bootclock.Now()) {
			l.runPass(reservedPass)
		}
	}
}
