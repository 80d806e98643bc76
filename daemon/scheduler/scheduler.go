// Package scheduler places queued jobs on targets. It runs on the leader: it plans against the
// state at one revision and proposes each placement. The state checks each placement again when
// the proposal is applied.
//
// The planner keeps a model of the targets and of the open attempts, which it updates before each
// plan. It plans when the state or a report of an owner has changed, and at a regular interval.
package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"samphirepaddle.example/core/health"
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/placement"
	"samphirepaddle.example/core/sizing"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/syncmsg"
	"samphirepaddle.example/daemon/replica"
	"samphirepaddle.example/daemon/wait"
)

// Intervals and limits of the scheduler.
const (
	// minPlanPause is the shortest pause between two plans, so that one plan handles a burst of
	// changes. It is small compared with the 2.1 s in which urgent work has to start.
	minPlanPause = 20 * time.Millisecond
	// pauseFactor is the ratio of the pause after a plan to the time that the plan took, so that
	// plans take at most 2% of a core. maxPlanPause bounds the pause, which delays urgent work.
	pauseFactor  = 50
	maxPlanPause = 250 * time.Millisecond
	// maxPlanInterval is how long the scheduler waits for a change before it plans anyway: probes
	// become due, and pauses after refusals end, without any change.
	maxPlanInterval = 500 * time.Millisecond
	// maxInFlight bounds the proposals that wait for their commit. At 2,200 starts/s and a
	// commit time of 50 ms, 110 are in flight.
	maxInFlight = 256
	// maxJobsPerPlan bounds the queued jobs that one plan considers, maxJobsPerTenant those of one
	// tenant. At least minJobsPerTenant of each tenant are considered. maxQueueOffset bounds how
	// far a plan reads into a queue.
	maxJobsPerPlan   = 2048
	maxJobsPerTenant = 64
	minJobsPerTenant = 8
	maxQueueOffset   = 4096
)

// OwnerReports gives access to what the owners of the targets reported, and takes the throttles
// for them; the controller implements it.
type OwnerReports interface {
	// TakeSummaries returns the free capacity that was reported in a term since the last call.
	TakeSummaries(term uint64) map[model.TargetID]syncmsg.TargetSummary
	// NextReport returns a channel that is closed at the next report.
	NextReport() <-chan struct{}
	// TakeUsage returns the usage reports that arrived since the last call.
	TakeUsage() []syncmsg.TargetUsage
	// SetThrottles replaces the levels of the throttled attempts of all gateways.
	SetThrottles(levels map[model.GatewayID][]syncmsg.Throttle)
}

// Scheduler plans batch work.
type Scheduler struct {
	log      replica.Log
	owners   OwnerReports
	logger   zerolog.Logger
	inFlight chan struct{} // holds one value for each proposal in flight
	wake     chan struct{} // signals that a proposal has ended

	// mu guards the fields below. It is never held while the log is called, because the
	// explain query takes it with the state locked.
	mu      sync.Mutex
	term    uint64
	planner *planner
}

// planner decides what to propose, from what it knows about targets and attempts. Each leadership
// starts with a new one.
type planner struct {
	placer    *placement.Placer
	tenants   *placement.Tenants
	health    *health.Tracker
	sizes     *sizing.Model
	responder *responder

	revision       model.Revision          // of the state at the last update
	configRevision model.Revision          // of the configuration at the last update
	dirtyTargets   map[model.TargetID]bool // targets to refresh in the next update
	dirtyJobs      map[model.JobID]bool    // jobs to refresh in the next update
	reports        map[model.TargetID]syncmsg.TargetSummary
	trackedByJob   map[model.JobID]model.AttemptID // the tracked attempt of each job
	refilledAt     model.Millis                    // last refill of the eviction budgets
	lossesSetAt    model.Millis                    // time for which the losses of evictions are computed

	targets            map[model.TargetID]*knownTarget
	tracked            map[model.AttemptID]trackedAttempt
	pendingAssignments map[model.AttemptID]bool // proposed, without a known outcome yet
	pendingMarks       map[model.JobID]bool     // jobs with a proposed mark, without a known outcome yet
	pendingQuarantines map[model.TargetID]bool  // targets with a proposed quarantine change, without a known outcome yet
	refusals           map[model.TargetID]refusal
	jobRefusals        map[model.JobID]jobRefusal
	holds              map[model.TargetID]hold
	heldFor            map[model.JobID]model.TargetID
	isolations         map[model.TargetID]model.AttemptID // attempts of suspect jobs, beside which nothing starts
	queueOffset        map[model.TenantID]int             // queue position from which the next plan continues
	probesDue          bool                               // at the start of this plan
	tooLarge           map[model.PoolID][]model.Resources // sizes that fit on no target in this plan
	capacity           model.Resources                    // total capacity of the targets that are not lost
	checkedRevision    model.Revision                     // configuration with which the never-runnable jobs were last checked

	checkedCapacity model.Resources // total capacity with which they were last checked
	checkedAt       model.Millis    // when they were last checked
}

// knownTarget is a target as of the last update.
type knownTarget struct {
	state    state.Target
	capacity model.Resources
}

// trackedAttempt is an open attempt that holds resources.
type trackedAttempt struct {
	target     model.TargetID
	tenant     model.TenantID
	kind       string
	size       model.Resources
	assignedAt model.Millis // 0 until the assignment is committed
	failures   uint32
	evictions  uint32
	losses     uint32
}

// New returns a scheduler.
func New(log replica.Log, owners OwnerReports, logger zerolog.Logger) *Scheduler {
	return &Scheduler{
		log:      log,
		owners:   owners,
		logger:   logger,
		inFlight: make(chan struct{}, maxInFlight),
		wake:     make(chan struct{}, 1),
		planner:  newPlanner(),
	}
}

func newPlanner() *planner {
	p := &planner{
		tenants:            placement.NewTenants(model.Resources{}),
		health:             health.New(health.Config{}),
		sizes:              sizing.New(),
		responder:          newResponder(),
		dirtyTargets:       map[model.TargetID]bool{},
		dirtyJobs:          map[model.JobID]bool{},
		reports:            map[model.TargetID]syncmsg.TargetSummary{},
		trackedByJob:       map[model.JobID]model.AttemptID{},
		targets:            map[model.TargetID]*knownTarget{},
		tracked:            map[model.AttemptID]trackedAttempt{},
		pendingAssignments: map[model.AttemptID]bool{},
		pendingMarks:       map[model.JobID]bool{},
		pendingQuarantines: map[model.TargetID]bool{},
		refusals:           map[model.TargetID]refusal{},
		jobRefusals:        map[model.JobID]jobRefusal{},
		holds:              map[model.TargetID]hold{},
		heldFor:            map[model.JobID]model.TargetID{},
		isolations:         map[model.TargetID]model.AttemptID{},
		queueOffset:        map[model.TenantID]int{},
		tooLarge:           map[model.PoolID][]model.Resources{},
	}
	p.placer = placement.New(placement.Config{Seed: 1, Predictor: p.responder.model})
	return p
}

// Run plans while this controller is the leader, until ctx is done. It sleeps until the
// state, the reported capacity or a proposal of its own changes.
func (s *Scheduler) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed, reported := s.log.Changed(), s.owners.NextReport()
		if leader := s.log.Leader(); leader.Self {
			took := s.plan(ctx, leader.Term)
			wait.For(ctx, max(minPlanPause, min(maxPlanPause, pauseFactor*took)))
		}
		timer := time.NewTimer(maxPlanInterval)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-reported:
		case <-s.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// plan makes the decisions for one revision of the state and proposes them. It returns how long
// the decisions took, without the proposals.
func (s *Scheduler) plan(ctx context.Context, term uint64) time.Duration {
	summaries := s.owners.TakeSummaries(term)
	usage := s.owners.TakeUsage()
	now := model.Millis(time.Now().UnixMilli())
	var commands []state.Command
	var levels map[model.GatewayID][]syncmsg.Throttle
	begin := time.Now()
	s.log.View(func(st *state.State) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.term != term {
			s.term = term
			s.planner = newPlanner()
		}
		commands = s.planner.decide(st, summaries, usage, now)
		levels = s.planner.responder.levelsByOwner(st)
	})
	took := time.Since(begin)
	s.owners.SetThrottles(levels)
	for i := range commands {
		s.propose(ctx, term, commands[i])
	}
	return took
}

// propose commits a command in the background; it waits only while too many are in flight.
func (s *Scheduler) propose(ctx context.Context, term uint64, command state.Command) {
	select {
	case s.inFlight <- struct{}{}:
	case <-ctx.Done():
		return
	}
	go func() {
		defer func() { <-s.inFlight }()
		command.ProposedAt = model.Millis(time.Now().UnixMilli())
		result, err := s.log.Propose(ctx, command)
		if err != nil {
			s.logger.Debug().Err(err).Msg("decision not committed")
		} else if !result.OK() {
			s.logger.Debug().Str("reason", result.Message).Msg("decision refused")
		}
		s.finishProposal(term, command, err == nil && result.OK())
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}()
}

// finishProposal updates the planner with the outcome of a proposal. An assignment whose outcome
// is unknown is released like a failed one: if it was committed, the next update finds the attempt
// in the state.
func (s *Scheduler) finishProposal(term uint64, command state.Command, committed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.term != term {
		return
	}
	p := s.planner
	switch {
	case command.AssignAttempt != nil:
		id := command.AssignAttempt.Attempt
		delete(p.pendingAssignments, id)
		p.dirtyJobs[id.Job] = true
		if !committed {
			p.removeTracked(id)
			p.health.AbandonProbe(command.AssignAttempt.Target, id.Job, command.ProposedAt)
		} else if err := p.placer.Bind(id); err != nil {
			s.logger.Debug().Err(err).Msg("committed assignment has no reservation")
		}
	case command.QuarantineTarget != nil:
		delete(p.pendingQuarantines, command.QuarantineTarget.Target)
		p.dirtyTargets[command.QuarantineTarget.Target] = true
	case command.MarkNeverRunnable != nil:
		delete(p.pendingMarks, command.MarkNeverRunnable.Job)
	}
}
