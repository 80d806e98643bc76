package dispatch

import (
	"cmp"
	"slices"

	"samphirepaddle.example/core/model"
)

// urgency is what decides the place of a job in the order.
type urgency struct {
	queue    PendingRun
	priority int
	group    group
	late     bool    // it can no longer meet its objective
	begun    bool    // work was invested
	work     float64 // core-milliseconds that remain
}

// ordered sorts the queues: by priority, then the jobs that can still meet their objective,
// then those that have begun, and among equals the ones with the least work left. The load
// that it answers: more heavy jobs than the workers can do in time, where the order of arrival
// makes all of them late.
func ordered(p *Snapshot) []PendingRun {
	list := make([]urgency, 0, len(p.PendingRuns))
	for _, q := range p.PendingRuns {
		list = append(list, assess(p.Now, q))
	}
	slices.SortStableFunc(list, func(a, b urgency) int {
		return cmp.Or(
			cmp.Compare(a.priority, b.priority),
			cmp.Compare(a.group, b.group),
			compareBool(a.late, b.late),
			compareBool(b.begun, a.begun),
			cmp.Compare(a.work, b.work),
			cmp.Compare(a.queue.Job.Sequence, b.queue.Job.Sequence),
		)
	})
	queues := make([]PendingRun, len(list))
	for i, u := range list {
		queues[i] = u.queue
	}
	return queues
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

func assess(now model.Millis, q PendingRun) urgency {
	lasting := q.Job.Steps[0].LongRunning
	return urgency{
		queue: q, priority: q.Job.Priority, group: groupOf(q), begun: q.Run != nil,
		late: !lasting && isLate(now, q), work: remainingWork(q),
	}
}

// isLate reports whether the job cannot meet its objective even if every step starts at once.
func isLate(now model.Millis, q PendingRun) bool {
	chain, remaining := chains(q)
	begin := q.Job.AcceptedAt
	if q.Job.Repeats > 0 {
		begin = q.Job.FirstMs + model.Millis(q.Occurrence)*q.Job.Interval
	}
	due := begin + model.Millis(q.Job.Slack*float64(chain)) + q.Job.TargetMs
	return now+remaining > due
}

// group separates kinds of jobs of one priority.
type group uint8

const (
	groupReturning group = iota // long-running tasks that ran before and are down now
	groupShort
	groupFirst // first starts of long-running tasks, which hold their cores for minutes
)

func groupOf(q PendingRun) group {
	if !q.Job.Steps[0].LongRunning {
		return groupShort
	}
	if q.Run != nil {
		return groupReturning
	}
	return groupFirst
}

// chains returns the estimated longest chain of steps, of the whole job and of what remains.
func chains(q PendingRun) (whole, remaining model.Millis) {
	ends := make([]model.Millis, len(q.Job.Steps))
	left := make([]model.Millis, len(q.Job.Steps))
	for i, step := range q.Job.Steps {
		for _, earlier := range step.After {
			ends[i] = max(ends[i], ends[earlier])
			left[i] = max(left[i], left[earlier])
		}
		ends[i] += step.EstimateMs
		if q.Run == nil || q.Run.Steps[i].Done < step.Count {
			left[i] += step.EstimateMs
		}
		whole = max(whole, ends[i])
		remaining = max(remaining, left[i])
	}
	return whole, remaining
}

// remainingWork returns the core-milliseconds of the tasks that are not done.
func remainingWork(q PendingRun) float64 {
	work := 0.0
	for i, step := range q.Job.Steps {
		open := step.Count
		if q.Run != nil {
			open -= q.Run.Steps[i].Done
		}
		work += float64(open) * float64(step.EstimateMs) * float64(step.CPUMillis) / 1000
	}
	return work
}
