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

// Options select the parts of a scheduler that a measured policy uses.
type Options struct {
	Name       string
	KeepSlots  bool // set slots aside for quick work
	Neighbours bool // place by predicted slowdown
	LearnSizes bool
	Health     bool
	Respond    bool
	// RouteSlowdown routes by predicted slowdown and queue, not by free slots only.
	RouteSlowdown bool
	AtArrival     bool // take reports as if they covered the time of their arrival
	Truth         bool // know the hidden state: the oracle
}

// Policies returns the policies that are measured side by side; the last is the oracle.
func Policies() []Options {
	full := Options{
		Name:          "full",
		KeepSlots:     true,
		Neighbours:    true,
		LearnSizes:    true,
		Health:        true,
		Respond:       true,
		RouteSlowdown: true,
	}
	atArrival, oracle := full, full
	atArrival.Name, atArrival.AtArrival = "at-arrival", true
	oracle.Name, oracle.Truth = "oracle", true
	return []Options{
		{Name: "fit-only"},
		{Name: "fit+reserved", KeepSlots: true},
		atArrival,
		full,
		oracle,
	}
}

// Steps returns the full policy built up part by part, each a policy of its own.
func Steps() []Options {
	steps := []Options{{Name: "fit+reserved", KeepSlots: true}}
	add := func(name string, change func(*Options)) {
		next := steps[len(steps)-1]
		next.Name = name
		change(&next)
		steps = append(steps, next)
	}
	add("+sizes", func(o *Options) { o.LearnSizes = true })
	add("+health", func(o *Options) { o.Health = true })
	add("+neighbours", func(o *Options) { o.Neighbours = true })
	add("+response", func(o *Options) { o.Respond = true })
	add("+routing", func(o *Options) { o.RouteSlowdown = true })
	add("oracle", func(o *Options) { o.Truth = true })
	return steps
}

// waiting is a job as the scheduler knows it.
type waiting struct {
	spec     model.JobSpec
	attempts uint32
	avoid    []model.TargetID
	// preemptedUntil is the time before which no further room is made for the job.
	preemptedUntil model.Millis
}

// running is an open attempt as the scheduler knows it.
type running struct {
	job      *waiting
	id       model.AttemptID
	target   model.TargetID
	started  model.Millis
	size     model.Resources // reserved
	level    float64
	evicting bool
}

// predictor is what the scheduler asks about slowdowns: the model, or the truth.
type predictor interface {
	placement.Predictor
	Predict(target model.TargetID, service model.ServiceID, load float64) slowdown.Estimate
	Contributions(target model.TargetID, service model.ServiceID, load float64) []slowdown.Contribution
}

// Scheduler composes the decisions as the controllers and gateways do.
type Scheduler struct {
	options Options
	world   *World // read by the oracle only
	site    Site
	now     model.Millis

	predictor predictor
	model     *slowdown.Model
	sizes     *sizing.Model
	placer    *placement.Placer
	tenants   *placement.Tenants
	health    *health.Tracker
	response  *response.Controller
	routes    []routing.Candidate // reused

	targets map[model.TargetID]*targetState
	ids     []model.TargetID
	jobs    map[model.JobID]*waiting
	queue   []model.JobID
	open    map[model.AttemptID]*running
	orders  Orders
}

// targetState is what the scheduler has heard of a target's quick work.
type targetState struct {
	capacity model.Resources
	loads    [numServices]float64
	slow     [numServices]float64 // predicted, refreshed each second
	newest   model.Millis         // start of the newest interval that was used
	tasks    []*running
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
		jobs:    map[model.JobID]*waiting{},
		open:    map[model.AttemptID]*running{},
	}
	s.predictor = s.model
	if options.Truth {
		s.predictor = truth{s}
	}
	cfg := placement.Config{Seed: seed, Weights: w.Site.Weights, MaxSlowdown: w.Site.MaxSlowdown, MaxListedTargets: -1}
	if options.Neighbours {
		cfg.Predictor = s.predictor
	}
	s.placer = placement.New(cfg)
	s.response = response.New(response.Config{Weights: w.Site.Weights, MaxSlowdown: w.Site.MaxSlowdown})
	return s
}

// Hear implements Policy.
func (s *Scheduler) Hear(news News) Orders {
	s.now = news.Now
	s.orders = Orders{}
	for _, view := range news.Joined {
		s.join(view)
	}
	for _, id := range news.Lost {
		s.placer.SetBlocked(id, "its lease ran out")
	}
	for _, end := range news.Ended {
		s.ended(end)
	}
	for _, id := range news.Cancelled {
		s.cancel(id)
	}
	for _, spec := range news.Submitted {
		s.submit(spec)
	}
	for _, d := range news.Reports {
		s.report(d)
	}
	s.respond()
	s.probe()
	s.place()
	s.predictAll()
	return s.orders
}

func (s *Scheduler) join(view TargetView) {
	info := placement.TargetInfo{ID: view.ID, Pool: Pool, Zone: view.Zone, Rack: view.Rack, Capacity: view.Capacity}
	if s.options.KeepSlots {
		info.KeptForQuick.Slots = s.site.KeptSlots
	}
	if s.health.Quarantined(view.ID) {
		info.BlockedReason = quarantined
	}
	if s.options.Truth && s.world.byID[view.ID].broken {
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
	if s.options.Truth && s.world.jobs[spec.ID].failsAll {
		s.orders.GiveUp = append(s.orders.GiveUp, spec.ID)
		return
	}
	s.jobs[spec.ID] = &waiting{spec: spec}
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
	s.forget(id)
}

func (s *Scheduler) forget(id model.JobID) {
	delete(s.jobs, id)
	s.health.ForgetJob(id)
}

func (s *Scheduler) release(r *running) {
	s.placer.Release(r.id)
	s.tenants.Refund(r.job.spec.Tenant, r.size)
	s.model.TaskStopped(r.target, r.id, s.now)
	delete(s.open, r.id)
	t := s.targets[r.target]
	t.tasks = slices.DeleteFunc(t.tasks, func(o *running) bool { return o == r })
}

func (s *Scheduler) ended(end End) {
	r := s.open[end.Attempt]
	if r == nil {
		return
	}
	s.release(r)
	id := r.job.spec.ID
	switch end.Outcome {
	case EndFinished:
		s.sizes.ObserveRunTime(r.job.spec.Kind, s.now-r.started)
		s.change(s.health.Succeeded(id, r.target, s.now))
		s.forget(id)
		return
	case EndFailed:
		r.job.avoid = append(r.job.avoid, r.target)
		if s.options.Health {
			s.change(s.health.Failed(id, r.target, s.now))
		}
		// Without a split of blame, a job is given up after the default number of failures.
		if len(r.job.avoid) >= 5 && !s.options.Health {
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
	s.forget(id)
}

func (s *Scheduler) change(changes []health.Change) {
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

// report passes one report to the learners.
func (s *Scheduler) report(d Delivered) {
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
	if obs.Reason != slowdown.ReasonUsed || d.Report.FromMs < t.newest {
		return
	}
	t.newest = d.Report.FromMs
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

func (s *Scheduler) size(j *waiting) model.Resources {
	switch {
	case s.options.Truth:
		return j.spec.Declared.Max(s.world.jobs[j.spec.ID].size)
	case s.options.LearnSizes:
		return s.sizes.ReservationSize(j.spec.Kind, j.spec.Declared)
	default:
		return j.spec.Declared
	}
}

func (s *Scheduler) request(j *waiting) placement.Job {
	return placement.Job{
		ID:      j.spec.ID,
		Tenant:  j.spec.Tenant,
		Pool:    Pool,
		Kind:    j.spec.Kind,
		Size:    s.size(j),
		Urgent:  j.spec.Urgent,
		Avoid:   j.avoid,
		Attempt: model.AttemptID{Job: j.spec.ID, Number: j.attempts + 1},
	}
}

// maxMisses is the number of jobs of one class that may fail to fit in one round before the
// rest of the class waits for the next round.
const maxMisses = 2

func (s *Scheduler) place() {
	var jobs []placement.Job
	for _, id := range s.queue {
		if j := s.jobs[id]; j != nil {
			jobs = append(jobs, s.request(j))
		}
	}
	misses := map[string]int{}
	placed := map[model.JobID]bool{}
	for _, job := range s.tenants.OrderByShare(jobs) {
		if misses[job.Kind] >= maxMisses && !job.Urgent {
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
		s.unplaced(job, err, misses)
	}
	s.queue = slices.DeleteFunc(s.queue, func(id model.JobID) bool { return s.jobs[id] == nil || placed[id] })
}

func (s *Scheduler) unplaced(job placement.Job, err error, misses map[string]int) {
	var noFit *placement.NoFitError
	if errors.As(err, &noFit) && noFit.Infeasible {
		s.giveUp(job.ID)
		return
	}
	if !job.Urgent {
		misses[job.Kind]++
		return
	}
	s.preempt(job)
}

// preemptWait is the time for which a preemption may make room before another one is asked for.
const preemptWait = model.Millis(4000)

// preempt makes room for an urgent job that waits, once per job until the room is there.
func (s *Scheduler) preempt(job placement.Job) {
	j := s.jobs[job.ID]
	if s.now < j.preemptedUntil {
		return
	}
	j.preemptedUntil = s.now + preemptWait
	for _, r := range s.open {
		s.placer.SetEvictionLoss(r.id, s.loss(r), r.evicting)
	}
	plan, err := s.placer.Preempt(job)
	if err != nil {
		return
	}
	for _, id := range plan.Victims {
		s.evict(id)
		s.world.notePreemption()
	}
}

func (s *Scheduler) evict(id model.AttemptID) {
	r := s.open[id]
	r.evicting = true
	s.placer.SetEvictionLoss(id, s.loss(r), true)
	s.orders.Evict = append(s.orders.Evict, id)
}

// loss is the work that an eviction would lose. Which classes can be checkpointed is known
// from the targets' answers to earlier checkpoints.
func (s *Scheduler) loss(r *running) float64 {
	spec := &s.world.kinds[s.world.jobs[r.job.spec.ID].kind]
	return placement.EvictionLoss(s.now-r.started, model.Millis(spec.checkpointSec*1000), spec.checkpoint)
}

func (s *Scheduler) start(job placement.Job, target model.TargetID) {
	j := s.jobs[job.ID]
	j.attempts++
	r := &running{job: j, id: job.Attempt, target: target, started: s.now, size: job.Size, level: 1}
	s.open[job.Attempt] = r
	t := s.targets[target]
	t.tasks = append(t.tasks, r)
	s.placer.Bind(job.Attempt)
	s.tenants.Charge(job.Tenant, job.Size)
	s.model.TaskStarted(target, job.Attempt, job.Kind, s.now)
	s.orders.Start = append(s.orders.Start, Start{job.Attempt, target})
}

// probe starts one waiting job on each quarantined target that is due for one.
func (s *Scheduler) probe() {
	if !s.options.Health {
		return
	}
	for _, target := range s.health.ProbeDue(s.now) {
		for i, id := range s.queue {
			j := s.jobs[id]
			if j == nil || j.spec.Urgent || slices.Contains(j.avoid, target) {
				continue
			}
			job := s.request(j)
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
