package fake

import (
	"errors"
	"slices"

	"samphirepaddle.example/core/health"
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/placement"
	"samphirepaddle.example/core/response"
	"samphirepaddle.example/core/routing"
	"samphirepaddle.example/core/sizing"
	"samphirepaddle.example/core/slowdown"
)

// Options select the features of the scheduler that a measured policy uses.
type Options struct {
	Name            string
	ReserveSlots    bool // reserve slots for quick work
	PlaceBySlowdown bool // place by predicted slowdown
	LearnSizes      bool
	TrackHealth     bool
	Respond         bool
	// RouteBySlowdown routes by predicted slowdown and queueing, rather than by free slots only.
	RouteBySlowdown bool
	AtArrival       bool // treat the interval of a late report as if it ended on arrival
	Oracle          bool // use the hidden state instead of estimates
}

// Policies returns the policies to compare; the last is the oracle.
func Policies() []Options {
	full := Options{
		Name:            "full",
		ReserveSlots:    true,
		PlaceBySlowdown: true,
		LearnSizes:      true,
		TrackHealth:     true,
		Respond:         true,
		RouteBySlowdown: true,
	}
	atArrival, oracle := full, full
	atArrival.Name, atArrival.AtArrival = "at-arrival", true
	oracle.Name, oracle.Oracle = "oracle", true
	return []Options{
		{Name: "fit-only"},
		{Name: "fit+reserved", ReserveSlots: true},
		atArrival,
		full,
		oracle,
	}
}

// IncrementalPolicies returns a series of policies, each of which adds one feature to the previous
// one; the last is the oracle.
func IncrementalPolicies() []Options {
	steps := []Options{{Name: "fit+reserved", ReserveSlots: true}}
	add := func(name string, change func(*Options)) {
		next := steps[len(steps)-1]
		next.Name = name
		change(&next)
		steps = append(steps, next)
	}
	add("+sizes", func(o *Options) { o.LearnSizes = true })
	add("+health", func(o *Options) { o.TrackHealth = true })
	add("+neighbours", func(o *Options) { o.PlaceBySlowdown = true })
	add("+response", func(o *Options) { o.Respond = true })
	add("+routing", func(o *Options) { o.RouteBySlowdown = true })
	add("oracle", func(o *Options) { o.Oracle = true })
	return steps
}

// jobState is the scheduler's state of a job.
type jobState struct {
	spec     model.JobSpec
	attempts uint32
	avoid    []model.TargetID
	// noPreemptionBefore is the time before which no further tasks are preempted for the job.
	noPreemptionBefore model.Millis
}

// openAttempt is the scheduler's state of an open attempt.
type openAttempt struct {
	job      *jobState
	id       model.AttemptID
	target   model.TargetID
	started  model.Millis
	size     model.Resources // reserved
	level    float64
	evicting bool
}

// predictor predicts slowdowns. It is implemented by the slowdown model and the oracle.
type predictor interface {
	placement.Predictor
	Predict(target model.TargetID, service model.ServiceID, load float64) slowdown.Estimate
	Contributions(target model.TargetID, service model.ServiceID, load float64) []slowdown.Contribution
}

// Scheduler implements Policy with the decision packages that the controllers and gateways use.
type Scheduler struct {
	options Options
	world   *World // hidden state; apart from the oracle, read only for eviction losses and lost targets
	site    Site
	now     model.Millis

	predictor predictor
	model     *slowdown.Model
	sizes     *sizing.Model
	placer    *placement.Placer
	tenants   *placement.Tenants
	health    *health.Tracker
	response  *response.Controller
	routes    []routing.Candidate // buffer reused by Route

	targets map[model.TargetID]*targetState
	ids     []model.TargetID
	jobs    map[model.JobID]*jobState
	queue   []model.JobID
	open    map[model.AttemptID]*openAttempt
	orders  Orders
}

// targetState is the scheduler's state of a target.
type targetState struct {
	capacity        model.Resources
	loads           [numServices]float64
	slowdowns       [numServices]float64 // predicted for routing, refreshed each second
	lastReportStart model.Millis         // start of the interval of the newest report that was used
	tasks           []*openAttempt
}

// NewScheduler returns a scheduler for one run.
func NewScheduler(w *World, seed uint64, options Options) *Scheduler {
	s := &Scheduler{
		options: options,
		world:   w,
		site:    w.Site,
		model:   slowdown.New(slowdown.Config{}),
		sizes:   sizing.New(),
		tenants: placement.NewTenants(model.Resources{}),
		health:  health.New(health.Config{}),
		targets: map[model.TargetID]*targetState{},
		jobs:    map[model.JobID]*jobState{},
		open:    map[model.AttemptID]*openAttempt{},
	}
	s.predictor = s.model
	if options.Oracle {
		s.predictor = oraclePredictor{s}
	}
	cfg := placement.Config{Seed: seed, Weights: w.Site.Weights, MaxSlowdown: w.Site.MaxSlowdown, MaxListedTargets: -1}
	if options.PlaceBySlowdown {
		cfg.Predictor = s.predictor
	}
	s.placer = placement.New(cfg)
	s.response = response.New(response.Config{Weights: w.Site.Weights, MaxSlowdown: w.Site.MaxSlowdown})
	return s
}

// Schedule implements Policy.
func (s *Scheduler) Schedule(update Update) Orders {
	s.now = update.Now
	s.orders = Orders{}
	for _, view := range update.Joined {
		s.addTarget(view)
	}
	for _, id := range update.Lost {
		s.placer.SetBlocked(id, "its lease expired")
	}
	for _, end := range update.Ended {
		s.handleEnd(end)
	}
	for _, id := range update.Cancelled {
		s.cancel(id)
	}
	for _, spec := range update.Submitted {
		s.submit(spec)
	}
	for _, d := range update.Reports {
		s.handleReport(d)
	}
	s.respond()
	s.probe()
	s.place()
	s.refreshPredictions()
	return s.orders
}

func (s *Scheduler) addTarget(view TargetView) {
	info := placement.TargetInfo{ID: view.ID, Pool: Pool, Zone: view.Zone, Rack: view.Rack, Capacity: view.Capacity}
	if s.options.ReserveSlots {
		info.KeptForQuick.Slots = s.site.KeptSlots
	}
	if s.health.Quarantined(view.ID) {
		info.BlockedReason = quarantined
	}
	if s.options.Oracle && s.world.byID[view.ID].broken {
		info.BlockedReason = quarantined
	}
	s.placer.SetTarget(info)
	s.model.SetTarget(view.ID, view.Capacity.Slots)
	if s.targets[view.ID] == nil {
		s.ids = append(s.ids, view.ID)
	}
	s.targets[view.ID] = &targetState{capacity: view.Capacity}
	var total model.Resources
	for _, t := range s.targets {
		total = total.Add(t.capacity)
	}
	s.tenants.SetTotal(total)
}

const quarantined = "quarantined"

func (s *Scheduler) submit(spec model.JobSpec) {
	if s.options.Oracle && s.world.jobs[spec.ID].failsAll {
		s.orders.GiveUp = append(s.orders.GiveUp, spec.ID)
		return
	}
	s.jobs[spec.ID] = &jobState{spec: spec}
	s.queue = append(s.queue, spec.ID)
}

func (s *Scheduler) cancel(id model.JobID) {
	for _, r := range s.open {
		if r.job.spec.ID == id {
			s.release(r)
			s.health.AbandonProbe(r.target, id, s.now)
			break
		}
	}
	s.forgetJob(id)
}

func (s *Scheduler) forgetJob(id model.JobID) {
	delete(s.jobs, id)
	s.health.ForgetJob(id)
}

func (s *Scheduler) release(r *openAttempt) {
	s.placer.Release(r.id)
	s.tenants.Refund(r.job.spec.Tenant, r.size)
	s.model.TaskStopped(r.target, r.id, s.now)
	delete(s.open, r.id)
	t := s.targets[r.target]
	t.tasks = slices.DeleteFunc(t.tasks, func(o *openAttempt) bool { return o == r })
}

func (s *Scheduler) handleEnd(end End) {
	r := s.open[end.Attempt]
	if r == nil {
		return
	}
	s.release(r)
	id := r.job.spec.ID
	switch end.Outcome {
	case EndFinished:
		s.sizes.ObserveRunTime(r.job.spec.Kind, s.now-r.started)
		s.applyHealthChanges(s.health.Succeeded(id, r.target, s.now))
		s.forgetJob(id)
		return
	case EndFailed:
		r.job.avoid = append(r.job.avoid, r.target)
		if s.options.TrackHealth {
			s.applyHealthChanges(s.health.Failed(id, r.target, s.now))
		}
		// Without health tracking, a job is given up after five failures, the default of
		// core/state.
		if len(r.job.avoid) >= 5 && !s.options.TrackHealth {
			s.giveUp(id)
		}
	default:
		s.health.AbandonProbe(r.target, id, s.now)
	}
	if s.jobs[id] != nil {
		s.queue = append([]model.JobID{id}, s.queue...)
	}
}

func (s *Scheduler) giveUp(id model.JobID) {
	s.orders.GiveUp = append(s.orders.GiveUp, id)
	s.forgetJob(id)
}

func (s *Scheduler) applyHealthChanges(changes []health.Change) {
	for _, c := range changes {
		switch {
		case c.Job != "":
			s.giveUp(c.Job)
		case c.Quarantine:
			s.placer.SetBlocked(c.Target, quarantined)
		default:
			s.placer.SetBlocked(c.Target, "")
		}
	}
}

// handleReport passes a usage report to the size and slowdown models.
func (s *Scheduler) handleReport(d DeliveredReport) {
	t := s.targets[d.Target]
	if d.Report.Service == "" {
		if r := s.open[d.Report.Attempt]; r != nil && s.options.LearnSizes && r.level == 1 {
			s.sizes.ObserveUsage(r.job.spec.Kind, d.Report.Used, t.capacity)
		}
		return
	}
	if s.options.AtArrival && d.Report.ToMs < s.now {
		length := d.Report.ToMs - d.Report.FromMs
		d.Report.FromMs, d.Report.ToMs = s.now-length, s.now
	}
	obs := s.model.Observe(d.Target, d.Report, s.now)
	if obs.Reason != slowdown.ReasonUsed || d.Report.FromMs < t.lastReportStart {
		return
	}
	t.lastReportStart = d.Report.FromMs
	i := serviceIndex(d.Report.Service)
	t.loads[i] = obs.Load
	s.placer.SetLoads(d.Target, t.quickLoads())
}

func (t *targetState) quickLoads() []placement.QuickLoad {
	var out []placement.QuickLoad
	for i, load := range t.loads {
		out = append(out, placement.QuickLoad{Service: services[i].id, Load: load})
	}
	return out
}

func (s *Scheduler) reservation(j *jobState) model.Resources {
	switch {
	case s.options.Oracle:
		return j.spec.Declared.Max(s.world.jobs[j.spec.ID].size)
	case s.options.LearnSizes:
		return s.sizes.ReservationSize(j.spec.Kind, j.spec.Declared)
	default:
		return j.spec.Declared
	}
}

func (s *Scheduler) placementJob(j *jobState) placement.Job {
	return placement.Job{
		ID:      j.spec.ID,
		Tenant:  j.spec.Tenant,
		Pool:    Pool,
		Kind:    j.spec.Kind,
		Size:    s.reservation(j),
		Urgent:  j.spec.Urgent,
		Avoid:   j.avoid,
		Attempt: model.AttemptID{Job: j.spec.ID, Number: j.attempts + 1},
	}
}

// maxFitFailures is the number of placement failures of one class in a round after which the
// remaining jobs of the class wait for the next round.
const maxFitFailures = 2

func (s *Scheduler) place() {
	var jobs []placement.Job
	for _, id := range s.queue {
		if j := s.jobs[id]; j != nil {
			jobs = append(jobs, s.placementJob(j))
		}
	}
	fitFailures := map[string]int{}
	placed := map[model.JobID]bool{}
	for _, job := range s.tenants.OrderByShare(jobs) {
		if fitFailures[job.Kind] >= maxFitFailures && !job.Urgent {
			continue
		}
		if s.tenants.CheckQuota(job.Tenant, job.Size) != nil {
			continue
		}
		d, err := s.placer.Place(job)
		if err == nil && s.placer.Reserve(d) == nil {
			s.start(job, d.Target)
			placed[job.ID] = true
			continue
		}
		s.handleUnplaced(job, err, fitFailures)
	}
	s.queue = slices.DeleteFunc(s.queue, func(id model.JobID) bool { return s.jobs[id] == nil || placed[id] })
}

func (s *Scheduler) handleUnplaced(job placement.Job, err error, fitFailures map[string]int) {
	var noFit *placement.NoFitError
	if errors.As(err, &noFit) && noFit.Infeasible {
		s.giveUp(job.ID)
		return
	}
	if !job.Urgent {
		fitFailures[job.Kind]++
		return
	}
	s.preempt(job)
}

// preemptRetryDelay is the minimum time between two preemptions for the same job.
const preemptRetryDelay = model.Millis(4000)

// preempt evicts tasks to free capacity for a waiting urgent job, at most once per
// preemptRetryDelay.
func (s *Scheduler) preempt(job placement.Job) {
	j := s.jobs[job.ID]
	if s.now < j.noPreemptionBefore {
		return
	}
	j.noPreemptionBefore = s.now + preemptRetryDelay
	for _, r := range s.open {
		s.placer.SetEvictionLoss(r.id, s.evictionLoss(r), r.evicting)
	}
	plan, err := s.placer.Preempt(job)
	if err != nil {
		return
	}
	for _, id := range plan.Victims {
		s.evict(id)
		s.world.countPreemption()
	}
}

func (s *Scheduler) evict(id model.AttemptID) {
	r := s.open[id]
	r.evicting = true
	s.placer.SetEvictionLoss(id, s.evictionLoss(r), true)
	s.orders.Evict = append(s.orders.Evict, id)
}

// evictionLoss returns the work that an eviction would lose. It reads from the hidden state which
// classes can be checkpointed; a real scheduler learns this from the targets' responses to earlier
// checkpoints.
func (s *Scheduler) evictionLoss(r *openAttempt) float64 {
	spec := &s.world.kinds[s.world.jobs[r.job.spec.ID].kind]
	return placement.EvictionLoss(s.now-r.started, model.Millis(spec.checkpointSec*1000), spec.checkpoint)
}

func (s *Scheduler) start(job placement.Job, target model.TargetID) {
	j := s.jobs[job.ID]
	j.attempts++
	r := &openAttempt{job: j, id: job.Attempt, target: target, started: s.now, size: job.Size, level: 1}
	s.open[job.Attempt] = r
	t := s.targets[target]
	t.tasks = append(t.tasks, r)
	s.placer.Bind(job.Attempt)
	s.tenants.Charge(job.Tenant, job.Size)
	s.model.TaskStarted(target, job.Attempt, job.Kind, s.now)
	s.orders.Start = append(s.orders.Start, Start{job.Attempt, target})
}

// probe starts one waiting job on each quarantined target whose next probe is due.
func (s *Scheduler) probe() {
	if !s.options.TrackHealth {
		return
	}
	for _, target := range s.health.ProbeDue(s.now) {
		for i, id := range s.queue {
			j := s.jobs[id]
			if j == nil || j.spec.Urgent || slices.Contains(j.avoid, target) {
				continue
			}
			job := s.placementJob(j)
			if !job.Size.Fits(s.placer.Free(target)) || s.world.byID[target].lost {
				continue
			}
			s.health.StartProbe(target, id)
			s.placer.Track(target, placement.Task{Attempt: job.Attempt, Tenant: job.Tenant, Kind: job.Kind, Size: job.Size})
			s.start(job, target)
			s.queue = slices.Delete(s.queue, i, i+1)
			break
		}
	}
}
