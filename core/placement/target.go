// Package placement decides on which target a task runs. A placement has four stages: filter
// finds targets on which the task fits, score ranks them, reserve holds the resources while
// the decision is committed, and bind makes the reservation permanent.
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

// Predictor predicts the slowdown of quick work by batch tasks; slowdown.Model implements it.
type Predictor interface {
	// PredictUnthrottled returns the slowdown of a service on a target, as if no task there were
	// throttled.
	PredictUnthrottled(target model.TargetID, service model.ServiceID, load float64) slowdown.Estimate
	// AddedSlowdown returns the slowdown that another task of the kind adds to a service.
	AddedSlowdown(service model.ServiceID, kind string, load float64) slowdown.Estimate
}

// Config sets the policy of a Placer. Zero fields take the defaults.
type Config struct {
	Seed           uint64        // of the random offsets at which filter starts
	MaxCandidates  int           // number of targets scored per decision; default 32
	MaxPredictions int           // number of slowdown predictions per decision; default 128
	Weights        model.Weights // of pools without weights of their own; see Placer.SetWeights
	// Predictor predicts the slowdown of quick work; nil if placement does not consider it.
	Predictor Predictor
	// MaxSlowdown bounds the predicted slowdown of quick work with the new task; default 1.5.
	MaxSlowdown float64
	// StdDevMargin is the number of standard deviations added to a predicted mean; default 0.5.
	StdDevMargin float64
	// MaxListedTargets is the largest number of targets in a pool for which a NoFitError lists
	// the reason of each target; default 100, negative for no list.
	MaxListedTargets int
}

const (
	defaultMaxCandidates    = 32
	defaultMaxPredictions   = 128
	defaultMaxSlowdown      = 1.5
	defaultStdDevMargin     = 0.5
	defaultMaxListedTargets = 100
)

// TargetInfo describes a target.
type TargetInfo struct {
	ID            model.TargetID
	Pool          model.PoolID
	Zone          model.Zone
	Rack          model.Rack
	Capacity      model.Resources
	KeptForQuick  model.Resources // reserved for quick work
	QuickExcess   model.Resources // used by quick work beyond KeptForQuick at present; temporary
	BlockedReason string          // reason why the target takes no new work; empty if it takes work
}

// QuickLoad is the load of one service on a target, as a fraction of the target's slots.
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
	LossMs   float64 // work lost if the task is evicted now, milliseconds; see SetEvictionLoss
	Evicting bool    // an eviction is in progress, so Preempt does not choose the task
}

// target holds the description of a target and the tasks that run on it.
type target struct {
	info  TargetInfo
	free  model.Resources // available to batch work; negative if overcommitted
	tasks []Task
	loads []QuickLoad
	pool  *pool
	index int // in pool.targets
}

func (t *target) find(id model.AttemptID) int {
	for i := range t.tasks {
		if t.tasks[i].Attempt == id {
			return i
		}
	}
	return -1
}

func (t *target) updateResources() {
	free := t.info.Capacity.Sub(t.info.KeptForQuick).Sub(t.info.QuickExcess)
	for i := range t.tasks {
		free = free.Sub(t.tasks[i].Size)
	}
	t.free = free
	t.pool.updateResources(t)
}

// rackKey and zoneKey identify the tasks of one kind in a failure domain.
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
	cfg        Config
	rng        *rand.Rand
	targets    map[model.TargetID]*target
	tasks      map[model.AttemptID]*target
	pools      map[model.PoolID]*pool
	rackTasks  map[rackKey]int
	zoneTasks  map[zoneKey]int
	weights    map[model.PoolID]model.Weights
	candidates []candidate // buffer of filter, reused between decisions
}

// New returns a Placer without targets.
func New(cfg Config) *Placer {
	cfg.MaxCandidates = cmp.Or(cfg.MaxCandidates, defaultMaxCandidates)
	cfg.MaxPredictions = cmp.Or(cfg.MaxPredictions, defaultMaxPredictions)
	cfg.MaxSlowdown = cmp.Or(cfg.MaxSlowdown, defaultMaxSlowdown)
	cfg.StdDevMargin = cmp.Or(cfg.StdDevMargin, defaultStdDevMargin)
	cfg.MaxListedTargets = cmp.Or(cfg.MaxListedTargets, defaultMaxListedTargets)
	return &Placer{
		cfg:       cfg,
		rng:       rand.New(rand.NewPCG(cfg.Seed, 1)),
		targets:   map[model.TargetID]*target{},
		tasks:     map[model.AttemptID]*target{},
		pools:     map[model.PoolID]*pool{},
		rackTasks: map[rackKey]int{},
		zoneTasks: map[zoneKey]int{},
		weights:   map[model.PoolID]model.Weights{},
	}
}

// SetTarget adds a target or updates its description and keeps its tasks.
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
	p.adjustAllDomainCounts(t, -1)
	t.info = info
	p.adjustAllDomainCounts(t, 1)
	t.updateResources()
}

// RemoveTarget removes a target and its tasks.
func (p *Placer) RemoveTarget(id model.TargetID) {
	t := p.targets[id]
	if t == nil {
		return
	}
	p.adjustAllDomainCounts(t, -1)
	for i := range t.tasks {
		delete(p.tasks, t.tasks[i].Attempt)
	}
	t.pool.remove(t)
	delete(p.targets, id)
}

// SetBlocked sets the reason why a target takes no new work; an empty reason unblocks it.
func (p *Placer) SetBlocked(id model.TargetID, reason string) {
	if t := p.targets[id]; t != nil && t.info.BlockedReason != reason {
		t.info.BlockedReason = reason
		t.updateResources()
	}
}

// SetLoads replaces the loads of quick work on a target.
func (p *Placer) SetLoads(id model.TargetID, loads []QuickLoad) {
	if t := p.targets[id]; t != nil {
		t.loads = append(t.loads[:0], loads...)
	}
}

// Tasks returns a copy of the tasks on a target.
func (p *Placer) Tasks(id model.TargetID) []Task {
	if t := p.targets[id]; t != nil {
		return append([]Task(nil), t.tasks...)
	}
	return nil
}

// Free returns the resources of a target that are available to batch work.
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

func (p *Placer) adjustAllDomainCounts(t *target, sign int) {
	for i := range t.tasks {
		p.adjustDomainCounts(t, t.tasks[i].Kind, sign)
	}
}

func (p *Placer) adjustDomainCounts(t *target, kind string, sign int) {
	adjustCount(p.rackTasks, rackKey{kind, t.info.Zone, t.info.Rack}, sign)
	adjustCount(p.zoneTasks, zoneKey{kind, t.info.Zone}, sign)
}

func adjustCount[K comparable](counts map[K]int, key K, sign int) {
	counts[key] += sign
	if counts[key] == 0 {
		delete(counts, key)
	}
}
