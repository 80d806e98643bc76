package owner

import (
	"sync"
	"sync/atomic"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/routing"
	"samphirepaddle.example/core/slowdown"
)

const (
	// upperBoundDeviations is the number of standard deviations added to a predicted slowdown,
	// as measured in docs/decisions/admission-routing.md.
	upperBoundDeviations = 2
	// probeInterval is the time without a usable report after which a target gets one request
	// that measures it. A target without requests sends no reports, so without the probe a
	// wrong prediction would keep requests away for as long as the target's tasks run.
	probeInterval = model.Millis(30_000)
	// maxKinds bounds the task kinds that the model distinguishes, because tenants choose them
	// freely. Tasks of further kinds share otherKind.
	maxKinds = 512
	// maxServices bounds the services that the model learns; a later service is routed as by
	// MostFree.
	maxServices = 256
	otherKind   = "other kinds"
)

// PredictivePicker picks the target on which the request is predicted to take the least time,
// queueing included. A service without a learned latency is routed as by MostFree.
//
// Lock order: mu is never held together with another lock. Pick takes no lock.
type PredictivePicker struct {
	fallback  MostFree
	forecasts atomic.Pointer[map[model.TargetID]*forecast]

	mu       sync.Mutex
	model    *slowdown.Model
	targets  map[model.TargetID]*observedTarget
	kinds    map[string]bool
	services map[model.ServiceID]float64 // the latest load of each learned service
}

// forecast holds the predictions for one target. A published list is never modified, only replaced.
type forecast struct {
	services atomic.Pointer[[]prediction]
}

type prediction struct {
	service  model.ServiceID
	slowdown float64
	probeDue *atomic.Bool // set while the target is due for a request that measures it
}

// observedTarget is what the model was told about one target.
type observedTarget struct {
	epoch    model.Epoch
	version  uint64
	tasks    map[model.AttemptID]float64 // running tasks and their levels
	services map[model.ServiceID]*serviceReports
	forecast *forecast
}

// serviceReports is the state of the reports about one service on one target.
type serviceReports struct {
	reported   bool
	load       float64
	measuredAt model.Millis // time of the last report that was used, or of the last probe
	probeDue   atomic.Bool
}

// NewPredictivePicker returns a picker that knows no targets.
func NewPredictivePicker() *PredictivePicker {
	p := &PredictivePicker{
		model:    slowdown.New(slowdown.Config{}),
		targets:  map[model.TargetID]*observedTarget{},
		kinds:    map[string]bool{},
		services: map[model.ServiceID]float64{},
	}
	p.publish()
	return p
}

// Pick returns the index of the candidate with the least predicted time. A candidate without
// a prediction gets the mean slowdown of the others, so that it is neither starved nor
// preferred.
func (p *PredictivePicker) Pick(service model.Service, candidates []Candidate) int {
	forecasts := *p.forecasts.Load()
	s := slowdownBuffers.Get().(*slowdownBuffer)
	defer slowdownBuffers.Put(s)
	s.values = s.values[:0]
	sum, count := 0.0, 0
	for i := range candidates {
		value := 0.0
		if known := forecasts[candidates[i].Target].find(service.ID); known != nil {
			if known.probeDue.Load() && known.probeDue.CompareAndSwap(true, false) {
				return i
			}
			value = known.slowdown
			sum += value
			count++
		}
		s.values = append(s.values, value)
	}
	if count == 0 {
		return p.fallback.Pick(service, candidates)
	}
	return s.best(candidates, sum/float64(count))
}

// slowdownBuffer is the scratch memory of one Pick: the predicted slowdown of each candidate,
// 0 without a prediction.
type slowdownBuffer struct{ values []float64 }

var slowdownBuffers = sync.Pool{New: func() any { return &slowdownBuffer{} }}

// best returns the index of the candidate with the least cost; of equal ones, that with the
// most free slots.
func (s *slowdownBuffer) best(candidates []Candidate, mean float64) int {
	best, bestCost := 0, 0.0
	for i := range candidates {
		c := &candidates[i]
		value := s.values[i]
		if value == 0 {
			value = mean
		}
		slots := max(c.Slots, c.Free.Slots, 1)
		cost := value * queueFactor(slots, slots-c.Free.Slots)
		if i == 0 || cost < bestCost || cost == bestCost && c.Free.Slots > candidates[best].Free.Slots {
			best, bestCost = i, cost
		}
	}
	return best
}

// maxTableSlots is the number of slots up to which queue factors are precomputed. Computing the
// powers in routing.Cost would take most of the time of a Pick.
const maxTableSlots = 64

var queueFactors = func() (table [maxTableSlots + 1][maxTableSlots + 1]float64) {
	for slots := 1; slots <= maxTableSlots; slots++ {
		for busy := 0; busy <= slots; busy++ {
			table[slots][busy] = computeQueueFactor(int32(slots), int32(busy))
		}
	}
	return table
}()

// queueFactor returns the part of routing.Cost that does not depend on the slowdown.
func queueFactor(slots, busy int32) float64 {
	if slots > maxTableSlots {
		return computeQueueFactor(slots, busy)
	}
	return queueFactors[slots][busy]
}

func computeQueueFactor(slots, busy int32) float64 {
	return routing.Cost(routing.Candidate{Slots: float64(slots), Busy: float64(busy), Slowdown: 1})
}

func (f *forecast) find(service model.ServiceID) *prediction {
	if f == nil {
		return nil
	}
	list := f.services.Load()
	if list == nil {
		return nil
	}
	for i := range *list {
		if (*list)[i].service == service {
			return &(*list)[i]
		}
	}
	return nil
}

// SetTargets sets the targets that the gateway owns and removes every other one.
func (p *PredictivePicker) SetTargets(targets []model.TargetID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	keep := make(map[model.TargetID]bool, len(targets))
	changed := false
	for _, id := range targets {
		keep[id] = true
		if p.targets[id] == nil {
			p.targets[id] = &observedTarget{
				tasks:    map[model.AttemptID]float64{},
				services: map[model.ServiceID]*serviceReports{},
				forecast: &forecast{},
			}
			changed = true
		}
	}
	for id := range p.targets {
		if !keep[id] {
			delete(p.targets, id)
			p.model.RemoveTarget(id)
			changed = true
		}
	}
	if changed {
		p.publish()
	}
}

// publish makes the set of targets visible to Pick. The caller holds p.mu.
func (p *PredictivePicker) publish() {
	forecasts := make(map[model.TargetID]*forecast, len(p.targets))
	for id, target := range p.targets {
		forecasts[id] = target.forecast
	}
	p.forecasts.Store(&forecasts)
}

// Observe updates the model with the tasks that run on a target and its new usage reports, and
// recomputes the predictions for the target.
func (p *PredictivePicker) Observe(o Observation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	target := p.targets[o.Target]
	if target == nil {
		return
	}
	p.model.SetTarget(o.Target, o.Slots)
	if o.Epoch > target.epoch || o.Epoch == target.epoch && o.Version > target.version {
		target.epoch, target.version = o.Epoch, o.Version
		p.setTasks(target, o)
	}
	for _, report := range o.Usage {
		p.learn(target, o, report)
	}
	p.predict(target, o)
}

// setTasks tells the model which tasks have started, stopped or changed their level since the
// last observation.
func (p *PredictivePicker) setTasks(target *observedTarget, o Observation) {
	running := make(map[model.AttemptID]bool, len(o.Tasks))
	for _, task := range o.Tasks {
		running[task.Attempt] = true
		level, known := target.tasks[task.Attempt]
		if !known {
			level = 1
			p.model.TaskStarted(o.Target, task.Attempt, p.kind(task.Kind), task.Started)
		}
		if task.Level != level {
			p.model.TaskThrottled(o.Target, task.Attempt, task.Level, o.Now)
		}
		target.tasks[task.Attempt] = task.Level
	}
	for id := range target.tasks {
		if !running[id] {
			delete(target.tasks, id)
			p.model.TaskStopped(o.Target, id, o.Now)
		}
	}
}

func (p *PredictivePicker) kind(kind string) string {
	if !p.kinds[kind] {
		if len(p.kinds) >= maxKinds {
			return otherKind
		}
		p.kinds[kind] = true
	}
	return kind
}

func (p *PredictivePicker) learn(target *observedTarget, o Observation, report model.UsageReport) {
	_, known := p.services[report.Service]
	if !known && len(p.services) >= maxServices {
		return
	}
	seen := p.model.Observe(o.Target, report, o.Now)
	if seen.Reason == slowdown.ReasonCollected {
		p.services[report.Service] = 0 // counts towards maxServices
	}
	if seen.Reason != slowdown.ReasonUsed {
		return
	}
	p.services[report.Service] = seen.Load
	m := target.service(report.Service, o.Now)
	m.reported, m.load, m.measuredAt = true, seen.Load, o.Now
	m.probeDue.Store(false)
}

func (target *observedTarget) service(id model.ServiceID, now model.Millis) *serviceReports {
	m := target.services[id]
	if m == nil {
		m = &serviceReports{measuredAt: now}
		target.services[id] = m
	}
	return m
}

// predict recomputes the predictions for a target. For a service without a report about this
// target, the load is that of the latest report about another one.
func (p *PredictivePicker) predict(target *observedTarget, o Observation) {
	var list []prediction
	for id, load := range p.services {
		if p.model.BaseLatencyUs(id, load) == 0 {
			continue
		}
		m := target.service(id, o.Now)
		if m.reported {
			load = m.load
		}
		if o.Now-m.measuredAt >= probeInterval {
			m.measuredAt = o.Now
			m.probeDue.Store(true)
		}
		estimate := p.model.Predict(o.Target, id, load)
		list = append(list, prediction{id, estimate.Upper(upperBoundDeviations), &m.probeDue})
	}
	target.forecast.services.Store(&list)
}
