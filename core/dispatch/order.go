package dispatch

import (
	"cmp"
	"slices"

	"samphirepaddle.example/core/model"
)

// sortKey holds the fields by which pending runs are ordered.
type sortKey struct {
	turn     turn
	priority int
	rank     rank
	since    model.Millis // when the first of the tasks that fail at their start began to wait; 0 in other turns
	late     bool         // the run can no longer meet its completion objective
	backlog  bool         // a long backlog of late occurrences
	started  bool         // a task of the run was assigned before
	workLeft float64      // in core-milliseconds
}

// turn is a run in the order of a pass, or a range of occurrences of a backlog, which begins with that of the run. A run
// with tasks that fail at their start has a second turn for these.
type turn struct {
	PendingRun
	until   int // end of the range of a backlog, exclusive; 0 for a single run
	failing bool
}

// sortRuns orders the runs by priority, then by rank, then tasks that fail at their start last and in
// the order of their wait, then jobs that can still meet their objective first, then long backlogs last, then
// runs that have started, then the least remaining work. When there are more heavy jobs than the workers can finish
// in time, running them in order of arrival would make all of them late.
func sortRuns(p *Snapshot, restarts *RestartHistory) []turn {
	keys := make([]sortKey, 0, len(p.PendingRuns)+2*len(p.Backlogs))
	for _, q := range p.PendingRuns {
		key := newSortKey(p.Now, q)
		keys = append(keys, key)
		if since, ok := restarts.failingSince(q); ok {
			key.turn.failing, key.since = true, since
			keys = append(keys, key)
		}
	}
	for _, b := range p.Backlogs {
		keys = appendBacklogKeys(keys, p.Now, b)
	}
	slices.SortStableFunc(keys, func(a, b sortKey) int {
		return cmp.Or(
			cmp.Compare(a.priority, b.priority),
			cmp.Compare(a.rank, b.rank),
			compareBool(a.turn.failing, b.turn.failing),
			cmp.Compare(a.since, b.since),
			compareBool(a.late, b.late),
			compareBool(a.backlog, b.backlog),
			compareBool(b.started, a.started),
			cmp.Compare(a.workLeft, b.workLeft),
			cmp.Compare(a.turn.Job.Sequence, b.turn.Job.Sequence),
		)
	})
	turns := make([]turn, len(keys))
	for i, key := range keys {
		turns[i] = key.turn
	}
	return turns
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

func newSortKey(now model.Millis, q PendingRun) sortKey {
	longRunning := q.Job.Steps[0].LongRunning
	return sortKey{
		turn: turn{PendingRun: q}, priority: q.Job.Priority, rank: rankOf(q), started: q.Run != nil,
		late: !longRunning && isLate(now, q), workLeft: remainingWork(q),
	}
}

// isLate reports whether the run would miss its completion objective even if no task had to wait
// any more. The objective is the slack factor times the critical path, plus the target time of the
// job's route, counted from the acceptance of the job or from the due time of the occurrence.
func isLate(now model.Millis, q PendingRun) bool {
	total, remaining := criticalPaths(q)
	return missesObjective(now, q, total, remaining)
}

func missesObjective(now model.Millis, q PendingRun, total, remaining model.Millis) bool {
	start := q.Job.AcceptedAt
	if q.Job.Repeats > 0 {
		start = q.Job.DueAt(q.Occurrence)
	}
	due := start + model.Millis(q.Job.Slack*float64(total)) + q.Job.TargetMs
	return now+remaining > due
}

// rank orders kinds of jobs of the same priority.
type rank uint8

const (
	rankRestart rank = iota // long-running tasks that ran before and do not run now
	rankShort
	rankFirstStart // long-running tasks that never ran; they may hold cores for minutes, so they come last
)

func rankOf(q PendingRun) rank {
	if !q.Job.Steps[0].LongRunning {
		return rankShort
	}
	if q.Run != nil {
		return rankRestart
	}
	return rankFirstStart
}

// criticalPaths returns the estimated duration of the longest chain of dependent steps, for the
// whole run and for its steps that are not done.
func criticalPaths(q PendingRun) (total, remaining model.Millis) {
	path := make([]model.Millis, len(q.Job.Steps))
	remainingPath := make([]model.Millis, len(q.Job.Steps))
	for i, step := range q.Job.Steps {
		for _, earlier := range step.After {
			path[i] = max(path[i], path[earlier])
			remainingPath[i] = max(remainingPath[i], remainingPath[earlier])
		}
		path[i] += step.EstimateMs
		if q.Run == nil || q.Run.Steps[i].Done < step.Count {
			remainingPath[i] += step.EstimateMs
		}
		total = max(total, path[i])
		remaining = max(remaining, remainingPath[i])
	}
	return total, remaining
}

// remainingWork returns the estimated core-milliseconds of the tasks that are not done.
func remainingWork(q PendingRun) float64 {
	work := 0.0
	for i, step := range q.Job.Steps {
		unfinished := step.Count
		if q.Run != nil {
			unfinished -= q.Run.Steps[i].Done
		}
		work += float64(unfinished) * float64(step.EstimateMs) * float64(step.CPUMillis) / 1000
	}
	return work
}
