// Package placement decides where a task runs. A decision passes four named stages:
// filter finds targets on which the task fits, score ranks them, reserve holds the
// resources while the decision is committed, and bind makes the hold permanent.
//
// The filter walks an index of free capacity from a random offset and stops after a fixed
// number of candidates, so its cost grows with the logarithm of the number of targets.
package placement

import (
	"cmp"
	"math/rand/v2"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/slowdown"
)

// Predictor predicts slowdowns; slowdown.Model implements it.
type Predictor interface {
	PredictUnthrottled(target model.TargetID, service model.ServiceID, load float64) slowdown.Estimate
	AddedSlowdown(service model.ServiceID, kind string, load float64) slowdown.Estimate
}

// Config sets the policy of a Placer. Zero fields take the defaults.
type Config struct {
	Seed       uint64        // of the offsets at which the filter starts
	Candidates int           // targets that are scored per decision; default 32
	Examined   int           // targets whose slowdown is predicted per decision; default 128
	Weights    model.Weights // of the site
	// Predictor is nil if neighbours are not considered.
	Predictor Predictor
	// MaxSlowdown bounds the predicted slowdown of quick work beside the new task; default 1.5.
	MaxSlowdown float64
	// Caution is the number of standard deviations added to a prediction; default 0.5.
	Caution float64
	// MaxListedTargets is the size of a pool up to which an error lists every target's reason;
	// default 100, negative for never.
	MaxListedTargets int
}

const (
	defaultCandidates  = 32
	defaultExamined    = 128
	defaultMaxSlowdown = 1.5
	defaultCaution     = 0.5
	defaultListed      = 100
)

// TargetInfo describes a target.
type TargetInfo struct {
	ID            model.TargetID
	Pool          model.PoolID
	Zone          model.Zone
	Rack          model.Rack
	Capacity      model.Resources
	KeptForQuick  model.Resources // set aside for quick work
	QuickExcess   model.Resources // what quick work takes beyond Kept now; it passes
	BlockedReason string          // reason why it takes no new work, empty if it does
}

// QuickLoad is the load of one service on a target, as a part of the target's slots.
type QuickLoad struct {
	Service model.ServiceID
	Load    float64
}

// Task is a batch task that holds resources of a target.
type Task struct {
	Attempt  model.AttemptID
	Tenant   model.TenantID
	Kind     string
	Size     model.Resources // reserved
	Urgent   bool
	Bound    bool    // false between reserve and bind
	LossMs   float64 // work lost if it is evicted now, milliseconds; see SetEvictionLoss
	Evicting bool    // an eviction is in progress; no second one is asked for
}

// target is a target with its tasks. Free is what batch work may still take.
type target struct {
	info  TargetInfo
	free  model.Resources
	tasks []Task
	loads []QuickLoad
	pool  *pool
	slot  int // position in the pool's index
}

func (t *target) find(id model.AttemptID) int {
	for i := range t.tasks {
		if t.tasks[i].Attempt == id {
			return i
		}
	}
	return -1
}

func (t *target) refresh() {
	free := t.info.Capacity.Sub(t.info.KeptForQuick).Sub(t.info.QuickExcess)
	for i := range t.tasks {
		free = free.Sub(t.tasks[i].Size)
	}
	t.free = free
	t.pool.refresh(t)
}

// rackKey and zoneKey name a failure domain of one batch class.
type rackKey struct {
	kind string
	zone model.Zone
	rack model.Rack
}

type zoneKey struct {
	kind string
	zone model.Zone
}

// Placer holds the targets and decides placements. It is not safe for concurrent use.
type Placer struct {
	cfg     Config
	rng     *rand.Rand
	targets map[model.TargetID]*target
	tasks   map[model.AttemptID]*target
	pools   map[model.PoolID]*pool
	racks   map[rackKey]int
	zones   map[zoneKey]int
	weights map[model.PoolID]model.Weights
	found   []candidate // candidates of the present decision, reused
}

// New returns a Placer without targets.
func New(cfg Config) *Placer {
	cfg.Candidates = cmp.Or(cfg.Candidates, defaultCandidates)
	cfg.Examined = cmp.Or(cfg.Examined, defaultExamined)
	cfg.MaxSlowdown = cmp.Or(cfg.MaxSlowdown, defaultMaxSlowdown)
	cfg.Caution = cmp.Or(cfg.Caution, defaultCaution)
	cfg.MaxListedTargets = cmp.Or(cfg.MaxListedTargets, defaultListed)
	return &Placer{
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(cfg.Seed, 1)),
		targets: map[model.TargetID]*target{},
		tasks:   map[model.AttemptID]*target{},
		pools:   map[model.PoolID]*pool{},
		racks:   map[rackKey]int{},
		zones:   map[zoneKey]int{},
		weights: map[model.PoolID]model.Weights{},
	}
}

// SetTarget adds a target or changes its description; its tasks stay.
func (p *Placer) SetTarget(info TargetInfo) {
	t := p.targets[info.ID]
	if t != nil && t.info == info {
		return
	}
	if t == nil {
		t = &target{}
		p.targets[info.ID] = t
	}
	if t.pool == nil || t.pool.id != info.Pool {
		if t.pool != nil {
			t.pool.remove(t)
		}
		p.pool(info.Pool).add(t)
	}
	p.countTasks(t, -1)
	t.info = info
	p.countTasks(t, 1)
	t.refresh()
}

// RemoveTarget forgets a target and the tasks on it.
func (p *Placer) RemoveTarget(id model.TargetID) {
	t := p.targets[id]
	if t == nil {
		return
	}
	p.countTasks(t, -1)
	for i := range t.tasks {
		delete(p.tasks, t.tasks[i].Attempt)
	}
	t.pool.remove(t)
	delete(p.targets, id)
}

// SetBlocked says why a target takes no new work; an empty reason opens it.
func (p *Placer) SetBlocked(id model.TargetID, reason string) {
	if t := p.targets[id]; t != nil && t.info.BlockedReason != reason {
		t.info.BlockedReason = reason
		t.refresh()
	}
}

// SetLoads records the load of quick work on a target.
func (p *Placer) SetLoads(id model.TargetID, loads []QuickLoad) {
	if t := p.targets[id]; t != nil {
		t.loads = append(t.loads[:0], loads...)
	}
}

// Tasks returns the tasks on a target.
func (p *Placer) Tasks(id model.TargetID) []Task {
	if t := p.targets[id]; t != nil {
		return append([]Task(nil), t.tasks...)
	}
	return nil
}

// Free returns what batch work may still take on a target.
func (p *Placer) Free(id model.TargetID) model.Resources {
	if t := p.targets[id]; t != nil {
		return t.free
	}
	return model.Resources{}
}

func (p *Placer) pool(id model.PoolID) *pool {
	found := p.pools[id]
	if found == nil {
		found = &pool{id: id}
		p.pools[id] = found
	}
	return found
}

func (p *Placer) countTasks(t *target, sign int) {
	for i := range t.tasks {
		p.count(t, t.tasks[i].Kind, sign)
	}
}

func (p *Placer) count(t *target, kind string, sign int) {
	addTo(p.racks, rackKey{kind, t.info.Zone, t.info.Rack}, sign)
	addTo(p.zones, zoneKey{kind, t.info.Zone}, sign)
}

func addTo[K comparable](counts map[K]int, key K, sign int) {
	counts[key] += sign
	if counts[key] == 0 {
		delete(counts, key)
	}
}
