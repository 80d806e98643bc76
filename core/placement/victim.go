package placement

import (
	"cmp"
	"math"
	"slices"

	"samphirepaddle.example/core/model"
)

// Preemption is a target and the tasks to evict there so that an urgent job fits.
type Preemption struct {
	Target  model.TargetID
	Victims []model.AttemptID
	LossMs  float64 // total work lost by the victims, milliseconds
}

// SetEvictionLoss records the work in milliseconds that a task would lose if it were evicted now.
// If evicting is set, an eviction of the task is in progress and Preempt does not choose it.
func (p *Placer) SetEvictionLoss(attempt model.AttemptID, lossMs float64, evicting bool) {
	t := p.tasks[attempt]
	if t == nil {
		return
	}
	task := &t.tasks[t.find(attempt)]
	task.LossMs = lossMs
	task.Evicting = evicting
}

// Preempt chooses the tasks to evict for an urgent job that fits on no target. Of at most
// cfg.MaxCandidates targets on which evictions would make the job fit, it takes the one whose
// victims lose the least work. Urgent and unbound tasks are never evicted. If evictions make
// the job fit on no target, the error is a *NoFitError.
func (p *Placer) Preempt(job Job) (Preemption, error) {
	var best *Preemption
	pool := p.pools[job.Pool]
	if pool == nil || len(pool.targets) == 0 {
		return Preemption{}, p.noFitError(job)
	}
	feasible := 0
	visit := func(i int) bool {
		t := pool.targets[i]
		if t.info.BlockedReason != "" || avoided(job, t) {
			return true
		}
		plan := preemptOn(job, t)
		if plan == nil {
			return true
		}
		feasible++
		if best == nil || plan.LossMs < best.LossMs {
			best = plan
		}
		return feasible < p.cfg.MaxCandidates
	}
	start := p.rng.IntN(len(pool.targets))
	if pool.capacity.walk(job.Size, start, len(pool.targets), visit) {
		pool.capacity.walk(job.Size, 0, start, visit)
	}
	if best == nil {
		return Preemption{}, p.noFitError(job)
	}
	return *best, nil
}

// preemptOn returns the tasks to evict on one target, or nil if no evictions make the job
// fit. It selects tasks in ascending order of lost work until the job fits, then drops those
// that are not needed after all, beginning with the greatest loss.
func preemptOn(job Job, t *target) *Preemption {
	tasks := evictionCandidates(t)
	free := t.free
	taken := 0
	for taken < len(tasks) && !job.Size.Fits(free) {
		free = free.Add(tasks[taken].Size)
		taken++
	}
	if !job.Size.Fits(free) {
		return nil
	}
	plan := &Preemption{Target: t.info.ID}
	for i := taken - 1; i >= 0; i-- {
		if without := free.Sub(tasks[i].Size); job.Size.Fits(without) {
			free = without
			continue
		}
		plan.Victims = append(plan.Victims, tasks[i].Attempt)
		plan.LossMs += tasks[i].LossMs
	}
	return plan
}

func evictionCandidates(t *target) []Task {
	var tasks []Task
	for _, task := range t.tasks {
		if task.Bound && !task.Urgent && !task.Evicting {
			tasks = append(tasks, task)
		}
	}
	slices.SortStableFunc(tasks, func(a, b Task) int { return cmp.Compare(a.LossMs, b.LossMs) })
	return tasks
}

// EvictionLoss returns the work in milliseconds that a task loses if it is evicted: the duration of
// a checkpoint if the task can be checkpointed, otherwise the time since its start.
func EvictionLoss(sinceStart, checkpointCost model.Millis, canCheckpoint bool) float64 {
	if canCheckpoint {
		return math.Min(float64(checkpointCost), float64(sinceStart))
	}
	return float64(sinceStart)
}
