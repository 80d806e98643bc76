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
	Size    model.Resources // maximum of the declared and the learned size; see sizing.Model.ReservationSize
	Urgent  bool
	Avoid   []model.TargetID // targets to exclude because the job failed on them
	Attempt model.AttemptID  // id of the attempt that a placement would start
}

// Decision is the result of filter and score. No resources are held before Reserve.
type Decision struct {
	Job               Job
	Target            model.TargetID
	Cost              float64 // score of the target; lower is better
	PredictedSlowdown float64 // of quick work on the target with the new task, including the margin
}

// Place runs filter and score without reserving resources. If the job fits on no target at
// present, the error is a *NoFitError.
func (p *Placer) Place(job Job) (Decision, error) {
	candidates := p.filter(job, p.cfg.MaxSlowdown)
	if len(candidates) == 0 && job.Urgent {
		// An urgent job starts even if it slows quick work beyond the bound; package response
		// then throttles the batch tasks on the target.
		candidates = p.filter(job, math.Inf(1))
	}
	if len(candidates) == 0 {
		return Decision{}, p.noFitError(job)
	}
	best, cost := p.score(job, candidates)
	return Decision{Job: job, Target: best.target.info.ID, Cost: cost, PredictedSlowdown: best.predictedSlowdown}, nil
}

// candidate is a target on which the job fits.
type candidate struct {
	target            *target
	predictedSlowdown float64 // see Decision.PredictedSlowdown
}

// filter returns up to cfg.MaxCandidates targets on which the job fits and the predicted
// slowdown of quick work is at most maxSlowdown, in index order from a random offset. It
// predicts the slowdown of at most cfg.MaxPredictions targets, which limits the cost at a
// site where the bound excludes nearly all of them; later decisions start at other offsets.
func (p *Placer) filter(job Job, maxSlowdown float64) []candidate {
	p.candidates = p.candidates[:0]
	predictions := 0
	pool := p.pools[job.Pool]
	if pool == nil || len(pool.targets) == 0 {
		return nil
	}
	visit := func(i int) bool {
		t := pool.targets[i]
		if avoided(job, t) {
			return true
		}
		predictions++
		if predicted := p.predictSlowdown(job, t); predicted <= maxSlowdown {
			p.candidates = append(p.candidates, candidate{t, predicted})
		}
		return len(p.candidates) < p.cfg.MaxCandidates && predictions < p.cfg.MaxPredictions
	}
	start := p.rng.IntN(len(pool.targets))
	if pool.free.walk(job.Size, start, len(pool.targets), visit) {
		pool.free.walk(job.Size, 0, start, visit)
	}
	return p.candidates
}

func avoided(job Job, t *target) bool {
	for _, id := range job.Avoid {
		if id == t.info.ID {
			return true
		}
	}
	return false
}

// predictSlowdown returns the slowdown of the most affected service on the target with the
// new task: the predicted mean plus cfg.StdDevMargin standard deviations. It is 1 without a
// predictor.
func (p *Placer) predictSlowdown(job Job, t *target) float64 {
	worst := 1.0
	if p.cfg.Predictor == nil {
		return worst
	}
	for _, quick := range t.loads {
		present := p.cfg.Predictor.PredictUnthrottled(t.info.ID, quick.Service, quick.Load)
		added := p.cfg.Predictor.AddedSlowdown(quick.Service, job.Kind, quick.Load)
		std := math.Hypot(present.Std, added.Std)
		worst = max(worst, present.Mean+added.Mean+p.cfg.StdDevMargin*std)
	}
	return worst
}

// Relative weights of the terms of a cost. Concentration weighs more than utilization, so
// that a rack with many tasks of the same kind is not chosen only because it contains the
// target with the lowest utilization.
const (
	concentrationWeight = 0.3
	utilizationWeight   = 0.1
)

// score returns the candidate with the lowest cost, and that cost.
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
	tail := p.tailLatencyWeight(job.Pool) * (c.predictedSlowdown - 1)
	concentration := concentrationWeight * p.concentration(job.Kind, c.target)
	utilization := utilizationWeight * maxUtilization(c.target, job.Size)
	return tail + concentration + utilization
}

// SetWeights sets the weights of one pool, which replace Config.Weights for its jobs.
func (p *Placer) SetWeights(pool model.PoolID, w model.Weights) {
	p.weights[pool] = w
}

// tailLatencyWeight returns the weight of tail latency as a fraction of the sum of the pool's
// three weights.
func (p *Placer) tailLatencyWeight(pool model.PoolID) float64 {
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

// concentration returns a penalty that grows with the number of tasks of the kind in the
// target's rack and zone. The rack term reaches half of its limit at 4 tasks, the zone term,
// which has half the weight, at 16.
func (p *Placer) concentration(kind string, t *target) float64 {
	rack := p.rackTasks[rackKey{kind, t.info.Zone, t.info.Rack}]
	zone := p.zoneTasks[zoneKey{kind, t.info.Zone}]
	return float64(rack)/float64(rack+4) + 0.5*float64(zone)/float64(zone+16)
}

// maxUtilization returns the highest utilization of slots, CPU and memory for batch work on
// the target with a new task of the given size.
func maxUtilization(t *target, size model.Resources) float64 {
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

// Reserve holds the job's resources on the chosen target. The reservation becomes permanent
// with Bind and ends with Release.
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

// Track records a task that already holds resources, for example after a change of leader. It
// does not check whether the task fits.
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
	p.adjustDomainCounts(t, task.Kind, 1)
	t.updateResources()
	return nil
}

// Bind makes a reservation permanent after the assignment has been committed.
func (p *Placer) Bind(attempt model.AttemptID) error {
	t := p.tasks[attempt]
	if t == nil {
		return fmt.Errorf("attempt %s holds no reservation", attempt)
	}
	t.tasks[t.find(attempt)].Bound = true
	return nil
}

// Release frees the resources of an attempt. It does nothing if the attempt holds none.
func (p *Placer) Release(attempt model.AttemptID) {
	t := p.tasks[attempt]
	if t == nil {
		return
	}
	i := t.find(attempt)
	p.adjustDomainCounts(t, t.tasks[i].Kind, -1)
	t.tasks = append(t.tasks[:i], t.tasks[i+1:]...)
	delete(p.tasks, attempt)
	t.updateResources()
}
