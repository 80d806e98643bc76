// Package scheduler places queued jobs on targets. It runs on the leader: it plans against a
// snapshot and proposes each placement; applying the proposal checks it again.
//
// The scheduler keeps a picture of the targets and of the open attempts (package placement),
// brings it up to date before each plan, and plans when something has changed.
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

// Bounds of the scheduler.
const (
	// planPause is the shortest time between two plans, so that a burst of changes is planned
	// once. It is small beside the 2.1 s in which urgent work has to start.
	planPause = 20 * time.Millisecond
	// pauseFactor times the time that a plan took is paused after it, so that plans take at
	// most 2% of a core. maxPlanPause bounds the pause; it delays urgent work.
	pauseFactor  = 50
	maxPlanPause = 250 * time.Millisecond
	// idlePlan is the longest time between two plans: probes and pauses after refusals become
	// due without any change.
	idlePlan = 500 * time.Millisecond
	// maxInFlight bounds the proposals that wait for their commit. At 2,200 starts/s and a
	// commit time of 50 ms, 110 are in flight.
	maxInFlight = 256
	// perPlan bounds the queued jobs that one plan looks at, perTenant those of one tenant. At
	// least minPerTenant of each are looked at. maxOffset bounds how far a plan reads a queue.
	perPlan      = 2048
	perTenant    = 64
	minPerTenant = 8
	maxOffset    = 4096
	// refusalPause keeps new work off a target whose owner refused a task, until its next
	// reports of free capacity have arrived. It doubles with each refusal in a row, so that a
	// target that refuses everything causes few commits.
	refusalPause    = model.Millis(500)
	maxRefusalPause = model.Millis(32_000)
)

// Owners answers what the owners of the targets reported; the controller implements it.
type Owners interface {
	// TakeSummaries returns the free capacity that was reported in a term since the last call.
	TakeSummaries(term uint64) map[model.TargetID]syncmsg.TargetSummary
	// Reported returns a channel that is closed at the next report.
	Reported() <-chan struct{}
	// TakeUsage returns the usage reports that arrived since the last call.
	TakeUsage() []syncmsg.TargetUsage
	// SetThrottles replaces the levels of the throttled attempts of all gateways.
	SetThrottles(levels map[model.GatewayID][]syncmsg.Throttle)
}

// Scheduler plans batch work.
type Scheduler struct {
	log    replica.Log
	owners Owners
	logger zerolog.Logger
	slots  chan struct{} // one for each proposal in flight
	wake   chan struct{} // a proposal has ended

	// mu guards the fields below. It is never held while the log is called, because the
	// explain query takes it with the state locked.
	mu      sync.Mutex
	term    uint64
	picture *picture
}

// picture is what the scheduler knows during one leadership.
type picture struct {
	placer   *placement.Placer
	tenants  *placement.Tenants
	health   *health.Tracker
	sizes    *sizing.Model
	response *responder

	revision model.Revision          // of the state that the picture shows
	config   model.Revision          // of the configuration
	dirty    map[model.TargetID]bool // targets to look at in the next update
	recheck  map[model.JobID]bool    // jobs to look at in the next update
	reports  map[model.TargetID]syncmsg.TargetSummary
	byJob    map[model.JobID]model.AttemptID // the tracked attempt of each job
	refilled model.Millis                    // last refill of the eviction budgets
	losses   model.Millis                    // time for which the losses are set

	known    map[model.TargetID]*knownTarget
	tracked  map[model.AttemptID]tracked
	pending  map[model.AttemptID]bool // proposed and not yet answered
	proposed map[model.JobID]bool     // commands about a job without a known outcome yet
	changing map[model.TargetID]bool  // targets with a proposed change of quarantine
	refused  map[model.TargetID]refusal
	holds    map[model.TargetID]hold
	heldFor  map[model.JobID]model.TargetID
	offset   map[model.TenantID]int             // place in its queue that the next plan starts from
	tooLarge map[model.PoolID][]model.Resources // sizes that found no target in this plan
	capacity model.Resources
	checked  model.Revision // configuration that the never-runnable jobs were checked with

	checkedCapacity model.Resources // total capacity that they were checked with
	checkedAt       model.Millis
}

// knownTarget is a target as the placer knows it.
type knownTarget struct {
	state    state.Target
	capacity model.Resources
}

// refusal is the pause after refusals of a target's owner.
type refusal struct {
	until model.Millis
	pause model.Millis
	over  bool // the target was opened again
}

// tracked is an open attempt that holds resources.
type tracked struct {
	target    model.TargetID
	tenant    model.TenantID
	kind      string
	size      model.Resources
	at        model.Millis
	failures  uint32
	evictions uint32
	losses    uint32
}

// New returns a scheduler.
func New(log replica.Log, owners Owners, logger zerolog.Logger) *Scheduler {
	return &Scheduler{
		log:     log,
		owners:  owners,
		logger:  logger,
		slots:   make(chan struct{}, maxInFlight),
		wake:    make(chan struct{}, 1),
		picture: newPicture(),
	}
}

func newPicture() *picture {
	p := &picture{
		tenants:  placement.NewTenants(model.Resources{}),
		health:   health.New(health.Config{}),
		sizes:    sizing.New(),
		response: newResponder(),
		dirty:    map[model.TargetID]bool{},
		recheck:  map[model.JobID]bool{},
		reports:  map[model.TargetID]syncmsg.TargetSummary{},
		byJob:    map[model.JobID]model.AttemptID{},
		known:    map[model.TargetID]*knownTarget{},
		tracked:  map[model.AttemptID]tracked{},
		pending:  map[model.AttemptID]bool{},
		proposed: map[model.JobID]bool{},
		changing: map[model.TargetID]bool{},
		refused:  map[model.TargetID]refusal{},
		holds:    map[model.TargetID]hold{},
		heldFor:  map[model.JobID]model.TargetID{},
		offset:   map[model.TenantID]int{},
		tooLarge: map[model.PoolID][]model.Resources{},
	}
	p.placer = placement.New(placement.Config{Seed: 1, Predictor: p.response.model})
	return p
}

// Run plans while this controller is the leader, until ctx is done. It sleeps until the
// state, the reported capacity or a proposal of its own changes.
func (s *Scheduler) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed, reported := s.log.Changed(), s.owners.Reported()
		if leader := s.log.Leader(); leader.Self {
			took := s.plan(ctx, leader.Term)
			wait.For(ctx, max(planPause, min(maxPlanPause, pauseFactor*took)))
		}
		timer := time.NewTimer(idlePlan)
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

// plan decides on one snapshot and proposes what it decided. It returns how long it decided.
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
			s.picture = newPicture()
		}
		commands = s.picture.decide(st, summaries, usage, now)
		levels = s.picture.response.levelsByOwner(st)
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
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	go func() {
		defer func() { <-s.slots }()
		command.ProposedAt = model.Millis(time.Now().UnixMilli())
		result, err := s.log.Propose(ctx, command)
		if err != nil {
			s.logger.Debug().Err(err).Msg("decision not committed")
		} else if !result.OK() {
			s.logger.Debug().Str("reason", result.Message).Msg("decision refused")
		}
		s.settle(term, command, err == nil && result.OK())
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}()
}

// settle ends the hold of a proposal. An assignment whose outcome is unknown is released as
// well: if it was committed, the next plan finds the attempt in the state.
func (s *Scheduler) settle(term uint64, command state.Command, committed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.term != term {
		return
	}
	p := s.picture
	switch {
	case command.AssignAttempt != nil:
		id := command.AssignAttempt.Attempt
		delete(p.pending, id)
		p.recheck[id.Job] = true
		if !committed {
			p.release(id)
		} else if err := p.placer.Bind(id); err != nil {
			s.logger.Debug().Err(err).Msg("assignment without a reservation")
		}
	case command.QuarantineTarget != nil:
		delete(p.changing, command.QuarantineTarget.Target)
		p.dirty[command.QuarantineTarget.Target] = true
	case command.MarkNeverRunnable != nil:
		delete(p.proposed, command.MarkNeverRunnable.Job)
	}
}
