package fleet

import (
	"cmp"
	"slices"
	"time"

	"samphirepaddle.example/core/dispatch"
	"samphirepaddle.example/core/workflow"
	"samphirepaddle.example/daemon/bootclock"
)

// Logging of due runs of which nothing is at work although the service has capacity free.
const (
	idleCheckInterval = 500 * time.Millisecond
	minIdleTime       = 2500 * time.Millisecond // a task that can run should do so within 3 s
	idleLogInterval   = 5 * time.Second

	// maxIdleLines bounds the lines of one check. With all workers lost 700 runs were idle at once; the others are
	// written at the next checks, so that none is left out.
	maxIdleLines = 50
)

// runKey identifies one occurrence of a job.
type runKey struct {
	job        workflow.JobID
	occurrence int
}

// idleRuns holds the due runs of which nothing was at work at the last check.
type idleRuns struct {
	checkedAt bootclock.Time
	runs      map[runKey]*idleRun
}

type idleRun struct {
	since    bootclock.Time
	loggedAt bootclock.Time // zero if the run was never logged
}

// dueLine is an idle run for which a line is due.
type dueLine struct {
	*idleRun
	run  dispatch.PendingRun
	open int // attempts
}

// logIdleRuns writes a line that is never dropped for each due run of which nothing has been at work for
// minIdleTime while the service is mostly free. It also finds runs whose only attempts are on workers
// that do not list them, which are not among the waiting steps. l.mu must be held.
func (l *leadership) logIdleRuns(snapshot *dispatch.Snapshot, waits []dispatch.WaitingStep, now bootclock.Time) {
	if now.Sub(l.idleRuns.checkedAt) < idleCheckInterval {
		return
	}
	before := l.idleRuns.runs
	l.idleRuns = idleRuns{checkedAt: now, runs: map[runKey]*idleRun{}}
	var due []dueLine
	for _, q := range runsToWatch(snapshot) {
		open, atWork := l.openAttempts(q, now)
		if atWork {
			continue
		}
		key := runKey{q.Job.ID, q.Occurrence}
		entry := before[key]
		if entry == nil {
			entry = &idleRun{since: now}
		}
		l.idleRuns.runs[key] = entry
		if now.Sub(entry.since) >= minIdleTime && (entry.loggedAt == 0 || now.Sub(entry.loggedAt) >= idleLogInterval) {
			due = append(due, dueLine{entry, q, open})
		}
	}
	if len(due) == 0 {
		return
	}
	states := l.serviceStates(snapshot, now)
	due = slices.DeleteFunc(due, func(r dueLine) bool {
		state := states[r.run.Job.Service]
		return state == nil || !state.usage.MostlyFree()
	})
	slices.SortStableFunc(due, func(a, b dueLine) int { return cmp.Compare(a.loggedAt, b.loggedAt) })
	for _, r := range due[:min(len(due), maxIdleLines)] {
		l.logIdleRun(r, states[r.run.Job.Service], waits, now)
	}
}

// backlogGauge is the number of due occurrences of scheduled jobs of which no task was assigned yet.
const backlogGauge = "occurrences_overdue"

func (l *leadership) gaugeBacklogs(snapshot *dispatch.Snapshot) {
	total := 0
	for _, b := range snapshot.Backlogs {
		total += b.Unstarted()
	}
	l.engine.opts.Metrics.SetGauge(backlogGauge, total)
}

// runsToWatch returns the pending runs and the first occurrence of each backlog.
func runsToWatch(snapshot *dispatch.Snapshot) []dispatch.PendingRun {
	runs := slices.Clone(snapshot.PendingRuns)
	for _, b := range snapshot.Backlogs {
		if q, ok := b.Next(); ok {
			runs = append(runs, q)
		}
	}
	return runs
}

func (l *leadership) logIdleRun(r dueLine, state *serviceState, waits []dispatch.WaitingStep, now bootclock.Time) {
	q := r.run
	if r.loggedAt == 0 {
		l.engine.opts.Metrics.count("waits", "beside_free_capacity", 1)
	}
	r.loggedAt = now
	line := l.logger.Warn().Str("job", string(q.Job.ID)).Int("occurrence", q.Occurrence).Int("open_attempts", r.open).
		Int64("idle_ms", now.Sub(r.since).Milliseconds()).Int("waiting", len(waits))
	reason := "its attempts are open on workers that do not list them"
	for _, w := range waits {
		if w.Job == q.Job.ID && w.Occurrence == q.Occurrence {
			line, reason = line.Int("step", w.Step), w.Reason.String()
			break
		}
	}
	state.addTo(line.Str("reason", reason)).Msg("nothing of a job runs beside free capacity")
}

// openAttempts returns the number of open attempts of a run, and whether one of them is at work: a worker
// that answers has accepted or listed it.
func (l *leadership) openAttempts(q dispatch.PendingRun, now bootclock.Time) (open int, atWork bool) {
	if q.Run == nil {
		return 0, false
	}
	for step := range q.Run.Steps {
		for index, task := range q.Run.Steps[step].Tasks {
			if task.Phase != workflow.TaskOpen {
				continue
			}
			open++
			attempt := workflow.Attempt{Task: workflow.TaskKey{Job: q.Job.ID, Occurrence: q.Occurrence, Step: step, Index: index}, Number: task.Attempt}
			if s := l.sessions[task.Incarnation]; s != nil && s.answers(now) && s.hasAccepted(attempt) {
				return open, true
			}
		}
	}
	return open, false
}

// hasAccepted reports whether the worker has listed the attempt or has answered its start.
func (s *session) hasAccepted(a workflow.Attempt) bool {
	if s.lists(a) {
		return true
	}
	o := s.orders[a]
	return o != nil && o.phase == startAnswered
}
