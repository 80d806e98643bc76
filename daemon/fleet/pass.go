package fleet

import (
	"cmp"
	"context"
	"slices"
	"time"

	"samphirepaddle.example/core/dispatch"
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/workflow"
	"samphirepaddle.example/daemon/bootclock"
)

// Bounds of one pass.
const (
	passTimeout  = 3 * time.Second // for the commit of a batch
	maxBatchEnds = 2000
)

// planned is what one pass decided.
type planned struct {
	batch   workflow.Batch
	reports []*pendingReport
	calls   []func() // stops and paces, which need no record in the log
}

func (p *planned) empty() bool {
	b := &p.batch
	return len(b.Workers) == 0 && len(b.Ends) == 0 && len(b.Lost) == 0 && len(b.Assign) == 0
}

// pass records what happened, plans, commits the plan, and carries it out.
func (l *lead) pass() {
	p := &planned{}
	started := bootclock.Now()
	l.mu.Lock()
	l.engine.opts.Log.View(func(st *state.State) { l.prepare(st, p) })
	l.mu.Unlock()
	l.plannedAt = bootclock.Now()
	l.planTook = l.plannedAt.Sub(started)
	l.engine.opts.Metrics.observe("pass_plan_ms", l.planTook)
	for _, call := range p.calls {
		go call()
	}
	if p.empty() {
		return
	}
	ctx, cancel := context.WithTimeout(l.ctx, passTimeout)
	defer cancel()
	began := bootclock.Now()
	result, err := l.engine.opts.Log.Propose(ctx, state.Command{Workflow: &workflow.Command{Batch: &p.batch}})
	if err == nil && !result.OK() {
		l.logger.Error().Str("code", string(result.Code)).Str("detail", result.Message).Msg("batch not applied")
	}
	l.engine.opts.Metrics.observe("pass_commit_ms", bootclock.Since(began))
	l.settle(p, err)
	l.kick()
}

// prepare plans on the state; mu and the state's lock are held.
func (l *lead) prepare(st *state.State, p *planned) {
	now := bootclock.Now()
	flows := st.Workflows
	l.takeReports(p)
	l.alignSessions(flows)
	ended := l.takeEnds(flows, now, p)
	complete := now.Sub(l.completeAt) >= idlePass
	if complete {
		l.completeAt = now
	}
	for _, life := range flows.OpenIncarnations() {
		// Time alone is looked at in complete passes only.
		if s := l.sessions[life]; complete || s == nil || s.changed {
			l.reconcileLife(flows, life, now, ended, p)
		}
	}
	l.stopStrays(flows, complete, now, p)
	l.memory.InterferenceModel.Forget(flows.IsLive)
	picture := l.picture(st, now)
	l.adjustSharing(picture, now, p)
	assigned, waits := dispatch.Plan(picture, l.memory)
	p.batch.Assign = assigned
	l.logWaits(waits, now)
	for _, a := range p.batch.Assign {
		l.sessions[a.Incarnation].orders[a.Attempt] = &order{phase: startPlanned, pace: 100}
	}
}

func (l *lead) takeReports(p *planned) {
	for _, report := range l.reports {
		p.reports = append(p.reports, report)
		p.batch.Workers = append(p.batch.Workers, report.worker)
	}
	slices.SortFunc(p.batch.Workers, func(a, b workflow.Worker) int { return cmp.Compare(a.Incarnation.Worker, b.Incarnation.Worker) })
}

// alignSessions opens a session for each life that is current and ends the others.
func (l *lead) alignSessions(flows *workflow.State) {
	for _, w := range flows.Workers {
		s := l.sessions[w.Incarnation]
		if s == nil {
			if !w.Deregistered {
				l.newSession(*w)
			}
			continue
		}
		s.through = max(s.through, w.LastRecordedEnd)
		if s.addr != w.Addr && !w.Deregistered {
			s.addr = w.Addr
		}
	}
	for life, s := range l.sessions {
		w, ok := flows.Workers[life.Worker]
		if ok && w.Incarnation == life {
			continue
		}
		s.cancel()
		if !flows.HasOpen(life) {
			delete(l.sessions, life)
		}
	}
}

// takeEnds puts the listed ends into the batch and returns their attempts.
func (l *lead) takeEnds(flows *workflow.State, now bootclock.Time, p *planned) map[workflow.Attempt]bool {
	ended := map[workflow.Attempt]bool{}
	for _, s := range l.sessions {
		for _, e := range s.ends {
			ended[e.Attempt] = true // also those that have to wait for the next batch
			if len(p.batch.Ends) >= maxBatchEnds {
				continue
			}
			p.batch.Ends = append(p.batch.Ends, e)
			l.countOutcome(flows, s, e, now)
		}
	}
	slices.SortFunc(p.batch.Ends, func(a, b workflow.End) int {
		return cmp.Or(cmp.Compare(a.Incarnation.Worker, b.Incarnation.Worker), cmp.Compare(a.Number, b.Number))
	})
	return ended
}

// countOutcome counts an end for or against the worker, once.
func (l *lead) countOutcome(flows *workflow.State, s *session, e workflow.End, now bootclock.Time) {
	if e.Number <= s.quarantine.counted {
		return
	}
	s.quarantine.counted = e.Number
	l.engine.opts.Metrics.count("ends", e.Kind.String(), 1)
	open, _ := flows.IsOpen(s.life, e.Attempt)
	l.detail.Info().Str("job", string(e.Attempt.Task.Job)).Str("task", e.Attempt.Task.String()).Uint32("attempt", e.Attempt.Number).Str("worker", string(s.life.Worker)).
		Stringer("end", e.Kind).Bool("open", open).Msg("attempt ended")
	switch e.Kind {
	case workflow.EndDone:
		s.quarantine.done()
	case workflow.EndFailed:
		if s.quarantine.failed(e.Attempt.Task.Job, now) {
			l.logger.Warn().Str("worker", string(s.life.Worker)).Int("failures", s.quarantine.inRow).
				Int64("for_ms", s.quarantine.until.Sub(now).Milliseconds()).Msg("worker quarantined: tasks of several jobs failed in a row")
		}
	}
}

// settle acts on the outcome of the batch.
func (l *lead) settle(p *planned, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		// The batch may be committed later. Its ends and reports are proposed again, which
		// repeats nothing; attempts that it opens are closed as never started.
		l.logger.Warn().Err(err).Int("assigned", len(p.batch.Assign)).Int("ends", len(p.batch.Ends)).Msg("batch not committed")
		for _, a := range p.batch.Assign {
			if s := l.sessions[a.Incarnation]; s != nil {
				s.orderOf(a.Attempt).phase = startImpossible
				s.changed = true
			}
		}
		return
	}
	for _, report := range p.reports {
		if l.reports[report.worker.Incarnation.Worker] == report {
			delete(l.reports, report.worker.Incarnation.Worker)
		}
		close(report.done)
	}
	l.engine.opts.Metrics.count("attempts", "lost", len(p.batch.Lost))
	l.engine.opts.Metrics.count("attempts", "assigned", len(p.batch.Assign))
	l.recordEnds(p.batch.Ends)
	for _, loss := range p.batch.Lost {
		if s := l.sessions[loss.Incarnation]; s != nil {
			delete(s.orders, loss.Attempt)
		}
	}
	l.startAssigned(p.batch.Assign)
}

func (l *lead) recordEnds(ends []workflow.End) {
	through := map[workflow.Incarnation]uint64{}
	for _, e := range ends {
		through[e.Incarnation] = max(through[e.Incarnation], e.Number)
	}
	for life, number := range through {
		if s := l.sessions[life]; s != nil {
			s.recorded(number)
		}
	}
}

// startAssigned sends the starts of the assignments that took effect; mu is held.
func (l *lead) startAssigned(assigned []workflow.Assignment) {
	if len(assigned) == 0 {
		return
	}
	l.engine.opts.Log.View(func(st *state.State) {
		for _, a := range assigned {
			s := l.sessions[a.Incarnation]
			if s == nil {
				continue
			}
			payload, task, ok := st.Workflows.StartArguments(a.Attempt, a.Incarnation)
			if !ok {
				s.orderOf(a.Attempt).phase = startImpossible
				s.changed = true
				continue
			}
			l.start(s, a.Attempt, payload, task.Checkpoint)
		}
	})
}

// picture describes workers and queues for the planner.
func (l *lead) picture(st *state.State, now bootclock.Time) *dispatch.Snapshot {
	flows := st.Workflows
	wall := model.Millis(time.Now().UnixMilli())
	p := &dispatch.Snapshot{Now: wall}
	for _, w := range flows.Workers {
		if s := l.sessions[w.Incarnation]; s != nil {
			p.Workers = append(p.Workers, l.describe(flows, s, w, now))
		}
	}
	slices.SortFunc(p.Workers, func(a, b *dispatch.Worker) int { return cmp.Compare(a.Incarnation.Worker, b.Incarnation.Worker) })
	flows.VisitLiveJobs(func(job *workflow.Job) {
		for occurrence, run := range job.DueRuns(wall) {
			p.PendingRuns = append(p.PendingRuns, dispatch.PendingRun{Job: job, Occurrence: occurrence, Run: run})
		}
	})
	return p
}

func (l *lead) describe(flows *workflow.State, s *session, w *workflow.Worker, now bootclock.Time) *dispatch.Worker {
	d := &dispatch.Worker{Worker: *w, Usable: s.usable(w, now), Latency: s.share}
	if version := flows.OpenVersion(s.life); s.changed || s.version != version {
		s.picture, s.version, s.changed = l.residents(flows, s), version, false
	}
	d.Residents = s.picture
	return d
}

// residents lists what holds resources on a worker, in a fixed order.
func (l *lead) residents(flows *workflow.State, s *session) []dispatch.Resident {
	residents := make([]dispatch.Resident, 0, len(s.picture)+1)
	serving, filling := false, false
	flows.VisitOpenAttempts(s.life, func(a workflow.OpenAttempt) {
		r := dispatch.Resident{OpenAttempt: a, Pace: 100}
		if o := s.orders[a.Attempt]; o != nil {
			r.Pace, r.Stopping = o.pace, o.stopSentAt != 0 || o.evict != ""
		}
		if run, ok := s.running[a.Attempt]; ok {
			r.Listed, r.Percent = true, run.Progress
			if a.Step.LongRunning {
				r.TailMs = model.Millis(run.Usage)
			} else {
				r.CPUUsed = run.Usage
			}
		}
		serving = serving || a.Step.Serving()
		filling = filling || a.Step.UsesSpareCPU
		residents = append(residents, r)
	})
	s.shared = serving && filling
	slices.SortFunc(residents, func(a, b dispatch.Resident) int {
		return a.Attempt.Task.Compare(b.Attempt.Task)
	})
	return residents
}

// adjustSharing answers the figures of serving tasks with new paces.
func (l *lead) adjustSharing(picture *dispatch.Snapshot, now bootclock.Time, p *planned) {
	for _, w := range picture.Workers {
		s := l.sessions[w.Incarnation]
		if !s.fenced || s.failing {
			continue
		}
		share, orders := l.memory.InterferenceModel.Adjust(picture.Now, w, model.Millis(time.Duration(s.figureAt).Milliseconds()))
		s.share, w.Latency = share, share
		for _, o := range orders {
			l.setPace(s, o, p)
		}
	}
}
