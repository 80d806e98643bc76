package placement

import (
	"fmt"
	"math"

	"samphirepaddle.example/core/model"
)

// Job is a job that waits for a placement.
type Job struct {
	ID      model.JobID
	Tenant  model.TenantID
	Pool    model.PoolID
	Kind    string
	Size    model.Resources // greater of declared and learned; see sizing.Model.ReservationSize
	Urgent  bool
	Avoid   []model.TargetID // targets on which it failed before
	Attempt model.AttemptID  // the attempt that would be assigned
}

// Decision is the outcome of filter and score. Nothing is held until Reserve.
type Decision struct {
	Job       Job
	Target    model.TargetID
	Cost      float64 // the lower the better
	Predicted float64 // slowdown of quick work beside the new task, cautious
}

// Place runs filter and score and changes nothing. If the job fits nowhere now, the error
// is a *NoFitError.
func (p *Placer) Place(job Job) (Decision, error) {
	candidates := p.filter(job, p.cfg.MaxSlowdown)
	if len(candidates) == 0 && job.Urgent {
		// Urgent work starts even where it slows quick work beyond the bound; the response
		// then throttles its neighbours.
		candidates = p.filter(job, math.Inf(1))
	}
	if len(candidates) == 0 {
		return Decision{}, p.noFit(job)
	}
	best, cost := p.score(job, candidates)
	return Decision{Job: job, Target: best.target.info.ID, Cost: cost, Predicted: best.predicted}, nil
}

// candidate is a target on which the job fits.
type candidate struct {
	target    *target
	predicted float64 // cautious slowdown of quick work beside the new task
}

// filter returns up to cfg.Candidates targets on which the job fits and whose quick work
// stays within the slowdown bound, in index order from a random offset. It predicts for at
// most cfg.Examined targets, because a site where the bound excludes nearly all of them
// would cost a prediction for each; a later decision starts at another offset.
func (p *Placer) filter(job Job, maxSlowdown float64) []candidate {
	p.found = p.found[:0]
	examined := 0
	pool := p.pools[job.Pool]
	if pool == nil || len(pool.targets) == 0 {
		return nil
	}
	visit := func(i int) bool {
		t := pool.targets[i]
		if avoided(job, t) {
			return true
		}
		examined++
		if predicted := p.predict(job, t); predicted <= maxSlowdown {
			p.found = append(p.found, candidate{t, predicted})
		}
		return len(p.found) < p.cfg.Candidates && examined < p.cfg.Examined
	}
	start := p.rng.IntN(len(pool.targets))
	if pool.free.walk(job.Size, start, len(pool.targets), visit) {
		pool.free.walk(job.Size, 0, start, visit)
	}
	return p.found
}

func avoided(job Job, t *target) bool {
	for _, id := range job.Avoid {
		if id == t.info.ID {
			return true
		}
	}
	return false
}

// predict returns the cautious slowdown of the worst-hit service beside the new task, 1 if
// neighbours are not considered.
func (p *Placer) predict(job Job, t *target) float64 {
	worst := 1.0
	if p.cfg.Predictor == nil {
		return worst
	}
	for _, quick := range t.loads {
		present := p.cfg.Predictor.PredictUnthrottled(t.info.ID, quick.Service, quick.Load)
		added := p.cfg.Predictor.AddedSlowdown(quick.Service, job.Kind, quick.Load)
		std := math.Hypot(present.Std, added.Std)
		worst = max(worst, present.Mean+added.Mean+p.cfg.Caution*std)
	}
	return worst
}

// Relative weights of the parts of a score. Spread counts more than balance, so that a
// full rack is not chosen only because it has the emptiest target.
const (
	spreadCost  = 0.3
	balanceCost = 0.1
)

// score returns the candidate with the lowest cost.
func (p *Placer) score(job Job, candidates []candidate) (best candidate, cost float64) {
	cost = math.Inf(1)
	for _, c := range candidates {
		if next := p.cost(job, c); next < cost {
			best, cost = c, next
		}
	}
	return best, cost
}

func (p *Placer) cost(job Job, c candidate) float64 {
	tail := p.tailShare(job.Pool) * (c.predicted - 1)
	spread := spreadCost * p.spread(job.Kind, c.target)
	balance := balanceCost * usedShare(c.target, job.Size)
	return tail + spread + balance
}

// SetWeights sets the weights of one pool in place of those of the site.
func (p *Placer) SetWeights(pool model.PoolID, w model.Weights) {
	p.weights[pool] = w
}

// tailShare is the weight of the tail latency among the three weights of the pool.
func (p *Placer) tailShare(pool model.PoolID) float64 {
	w, ok := p.weights[pool]
	if !ok {
		w = p.cfg.Weights
	}
	sum := w.TailLatency + w.Throughput + w.Evictions
	if sum <= 0 {
		return 1
	}
	return w.TailLatency / sum
}

// spread is the part of the class's tasks that share the target's rack or zone.
func (p *Placer) spread(kind string, t *target) float64 {
	rack := p.racks[rackKey{kind, t.info.Zone, t.info.Rack}]
	zone := p.zones[zoneKey{kind, t.info.Zone}]
	return float64(rack)/float64(rack+4) + 0.5*float64(zone)/float64(zone+16)
}

// usedShare is the greatest part of any resource that is taken beside the new task.
func usedShare(t *target, size model.Resources) float64 {
	total := t.info.Capacity.Sub(t.info.KeptForQuick)
	left := t.free.Sub(size)
	share := 0.0
	add := func(left, total int64) {
		if total > 0 {
			share = max(share, 1-float64(left)/float64(total))
		}
	}
	add(int64(left.Slots), int64(total.Slots))
	add(left.CPUMillis, total.CPUMillis)
	add(left.MemoryMiB, total.MemoryMiB)
	return share
}

// Reserve holds the job's resources on the chosen target until Bind or Release.
func (p *Placer) Reserve(d Decision) error {
	t := p.targets[d.Target]
	if t == nil {
		return fmt.Errorf("target %q is not known", d.Target)
	}
	if t.info.BlockedReason != "" {
		return fmt.Errorf("target %q takes no work: %s", d.Target, t.info.BlockedReason)
	}
	if short := d.Job.Size.Shortfall(t.free); short != "" {
		return fmt.Errorf("target %q: %s", d.Target, short)
	}
	return p.Track(d.Target, Task{
		Attempt: d.Job.Attempt,
		Tenant:  d.Job.Tenant,
		Kind:    d.Job.Kind,
		Size:    d.Job.Size,
		Urgent:  d.Job.Urgent,
	})
}

// Track counts a task that holds resources already, whether or not it fits, for example
// after a change of leader.
func (p *Placer) Track(id model.TargetID, task Task) error {
	t := p.targets[id]
	if t == nil {
		return fmt.Errorf("target %q is not known", id)
	}
	if held := p.tasks[task.Attempt]; held != nil {
		return fmt.Errorf("attempt %s already holds resources on target %q", task.Attempt, held.info.ID)
	}
	t.tasks = append(t.tasks, task)
	p.tasks[task.Attempt] = t
	p.count(t, task.Kind, 1)
	t.refresh()
	return nil
}

// Bind makes a reservation permanent once the assignment is committed.
func (p *Placer) Bind(attempt model.AttemptID) error {
	t := p.tasks[attempt]
	if t == nil {
		return fmt.Errorf("attempt %s holds no reservation", attempt)
	}
	t.tasks[t.find(attempt)].Bound = true
	return nil
}

// Release gives back what an attempt holds. Repeats change nothing.
func (p *Placer) Release(attempt model.AttemptID) {
	t := p.tasks[attempt]
	if t == nil {
		return
	}
	i := t.find(attempt)
	p.count(t, t.tasks[i].Kind, -1)
	t.tasks = append(t.tasks[:i], t.tasks[i+1:]...)
	delete(p.tasks, attempt)
	t.refresh()
}
