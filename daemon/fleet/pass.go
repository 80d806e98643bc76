package fleet

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"samphirepaddle.example/core/dispatch"
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/workflow"
	"samphirepaddle.example/daemon/bootclock"
)

// Limits of one pass.
const (
	passTimeout  = 3 * time.Second // for the commit of a batch
	maxBatchEnds = 2000            // ends of attempts in one batch

	// maxBatchText bounds the bytes of texts that workers choose, of their heartbeats and of their ends
	// each. Batches were without bound, and one above 5 MiB, the limit of the log, was proposed for ever.
	maxBatchText = 1 << 20
)

// passPlan is the result of planning one pass.
type passPlan struct {
	kind    passKind
	batch   workflow.Batch
	reports []*pendingReport
	calls   []func() // stop and pace calls, which are not recorded in the log
	changes jobChanges
}

func (p *passPlan) empty() bool {
	b := &p.batch
	return len(b.Workers) == 0 && len(b.Proven) == 0 && len(b.Ends) == 0 && len(b.Crashes) == 0 && len(b.Lapsed) == 0 && len(b.Answered) == 0 && len(b.Silent) == 0 && len(b.Lost) == 0 && len(b.Assign) == 0 && len(b.Begun) == 0
}

// passKind is the extent of a pass.
type passKind uint8

const (
	// fullPass plans all pending runs and sets paces.
	fullPass passKind = iota
	// reservedPass plans the runs that come before best-effort work only: short jobs, for which a
	// caller waits, and restarts of lasting tasks.
	reservedPass
)

// runPass plans one pass, commits its batch to the log, and then executes it.
func (l *leadership) runPass(kind passKind) {
	p := &passPlan{kind: kind}
	started := bootclock.Now()
	l.mu.Lock()
	l.engine.opts.Log.View(func(st *state.State) { l.buildPlan(st, p) })
	l.mu.Unlock()
	planEnd := bootclock.Now()
	planDuration := planEnd.Sub(started)
	if kind == fullPass {
		l.lastPlanEnd, l.planDuration = planEnd, planDuration
	}
	l.engine.opts.Metrics.observe("pass_plan_ms", planDuration)
	l.passStats.planned(planDuration)
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
		err = fmt.Errorf("batch not applied: %s: %s", result.Code, result.Message)
	}
	l.engine.opts.Metrics.observe("pass_commit_ms", bootclock.Since(began))
	l.passStats.committed(bootclock.Since(began), len(p.batch.Assign))
	l.handleCommitResult(p, err)
	l.requestPass()
}

// buildPlan plans one pass from the state; l.mu and the lock of the state must be held.
func (l *leadership) buildPlan(st *state.State, p *passPlan) {
	now := bootclock.Now()
	workflows := st.Workflows
	l.noteEvacuations(st)
	l.addReports(p)
	l.syncSessions(st)
	ended := l.addEnds(workflows, now, p)
	checkAll := now.Sub(l.lastFullCheck) >= maxPassInterval
	if checkAll {
		l.lastFullCheck = now
		l.strays.forget(now.Add(-l.strayLeaseBound()))
	}
	l.addCrashes(workflows, ended, p)
	l.addAnswers(workflows, now, p)
	l.addBegun(workflows, now, p)
	if checkAll {
		l.gaugeFormerAttempts(workflows)
	}
	for _, incarnation := range l.incarnationsToReconcile(workflows, checkAll) {
		l.reconcileWorker(workflows, incarnation, now, ended, p)
	}
	l.stopOrphans(workflows, checkAll, now, p)
	l.forgetEndedJobs(workflows)
	plannerInput := l.plannerInput(st, now)
	if p.kind == fullPass {
		l.adjustPaces(plannerInput, now, p)
		l.moveOutOfEvacuated(plannerInput)
		l.answerExplains(st, plannerInput)
	}
	plannerInput.BeforeBestEffort = p.kind == reservedPass
	assigned, waits := dispatch.Plan(plannerInput, l.plannerState)
	p.batch.Assign = assigned
	p.changes = jobChangesOf(workflows, &p.batch)
	if p.kind == fullPass {
		l.logWaits(plannerInput, waits, now)
		l.logIdleRuns(plannerInput, waits, now)
		l.gaugeBacklogs(plannerInput)
	}
	for _, a := range p.batch.Assign {
		s := l.sessions[a.Incarnation]
		s.orders[a.Attempt] = &order{phase: startPlanned, pace: 100}
		if s.quarantine.active(now) {
			s.quarantine.recordRestart(now)
		}
	}
}

// incarnationsToReconcile returns the worker processes with open attempts whose listing or orders
// have changed. Timeouts of the others are checked every maxPassInterval only.
func (l *leadership) incarnationsToReconcile(workflows *workflow.State, all bool) []workflow.Incarnation {
	if all {
		return workflows.OpenIncarnations()
	}
	var changed []workflow.Incarnation
	for incarnation, s := range l.sessions {
		if s.changed && workflows.HasOpen(incarnation) {
			changed = append(changed, incarnation)
		}
	}
	slices.SortFunc(changed, workflow.Incarnation.Compare)
	return changed
}

func (l *leadership) addReports(p *passPlan) {
	text := 0
	for _, report := range l.reports {
		if text += reportText(&report.worker); text > maxBatchText {
			break // the next batch holds the others
		}
		p.reports = append(p.reports, report)
		if report.proven {
			p.batch.Proven = append(p.batch.Proven, report.worker)
		} else {
			p.batch.Workers = append(p.batch.Workers, report.worker)
		}
	}
	for _, workers := range [][]workflow.Worker{p.batch.Workers, p.batch.Proven} {
		slices.SortFunc(workers, func(a, b workflow.Worker) int { return cmp.Compare(a.Incarnation.Worker, b.Incarnation.Worker) })
	}
}

// reportText returns the bytes of the texts in a worker's report, and two for the encoding of each label.
func reportText(w *workflow.Worker) int {
	text := len(w.Incarnation.Worker) + len(w.Addr) + len(w.Service) + len(w.Zone) + len(w.Rack) + 2*len(w.Labels)
	for _, label := range w.Labels {
		text += len(label)
	}
	return text
}

// syncSessions opens a session for each current worker process and cancels all others. A cancelled
// session is kept while its worker process has open attempts. A worker that has deregistered gets a session
// only if attempts are open on it: it may still run them.
func (l *leadership) syncSessions(st *state.State) {
	workflows := st.Workflows
	for _, w := range workflows.Workers {
		s := l.sessions[w.Incarnation]
		if s == nil {
			if !w.Deregistered || workflows.HasOpen(w.Incarnation) {
				l.newSession(*w).followsRecently = l.followsRecently(w, st.Now)
			}
			continue
		}
		s.recordedThrough = max(s.recordedThrough, w.LastRecordedEnd)
		if (s.closed || s.addr != w.Addr) && !w.Deregistered {
			s.reopen(w)
		}
	}
	for incarnation, s := range l.sessions {
		w, ok := workflows.Workers[incarnation.Worker]
		if ok && w.Incarnation == incarnation {
			continue
		}
		s.cancel()
		s.closed = true
		if !workflows.HasOpen(incarnation) {
			delete(l.sessions, incarnation)
		}
	}
}

// addEnds adds the ends that workers listed to the batch and returns their attempts.
func (l *leadership) addEnds(workflows *workflow.State, now bootclock.Time, p *passPlan) map[workflow.Attempt]bool {
	ended := map[workflow.Attempt]bool{}
	text := 0
	for _, s := range l.sessions {
		for _, e := range s.ends {
			ended[e.Attempt] = true // including those that are left for the next batch
			text += len(e.Checkpoint)
			if len(p.batch.Ends) >= maxBatchEnds || (text > maxBatchText && len(p.batch.Ends) > 0) {
				continue
			}
			p.batch.Ends = append(p.batch.Ends, e)
			l.countOutcome(workflows, s, e, now)
		}
	}
	slices.SortFunc(p.batch.Ends, func(a, b workflow.End) int {
		return cmp.Or(cmp.Compare(a.Incarnation.Worker, b.Incarnation.Worker), cmp.Compare(a.Number, b.Number))
	})
	return ended
}

// countOutcome counts an end once, in the metrics and for the quarantine of the worker.
func (l *leadership) countOutcome(workflows *workflow.State, s *session, e workflow.End, now bootclock.Time) {
	if e.Number <= s.quarantine.lastCounted {
		return
	}
	s.quarantine.lastCounted = e.Number
	l.engine.opts.Metrics.count("ends", e.Kind.String(), 1)
	open, _ := workflows.IsOpen(s.incarnation, e.Attempt)
	l.sampledLogger.Info().Str("job", string(e.Attempt.Task.Job)).Str("task", e.Attempt.Task.String()).Uint32("attempt", e.Attempt.Number).Str("worker", string(s.incarnation.Worker)).
		Stringer("end", e.Kind).Bool("open", open).Msg("attempt ended")
	switch e.Kind {
	case workflow.EndDone:
		s.quarantine.recordSuccess()
	case workflow.EndFailed:
		if s.quarantine.recordFailure(e.Attempt.Task.Job, now) {
			l.logger.Warn().Str("worker", string(s.incarnation.Worker)).Int("failures", s.quarantine.consecutive).
				Int64("for_ms", s.quarantine.until.Sub(now).Milliseconds()).Msg("worker quarantined: tasks of several jobs failed in a row")
		}
	}
}

// handleCommitResult acts on the result of committing the batch.
func (l *leadership) handleCommitResult(p *passPlan, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		// The batch may still be committed later. Its ends and reports are proposed again, which
		// is idempotent; attempts that it opens are closed as never started.
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
	l.markEndsRecorded(p.batch.Ends)
	l.markCrashesRecorded(p.batch.Crashes)
	l.endSilences(p.batch.Answered)
	for _, loss := range p.batch.Lost {
		if s := l.sessions[loss.Incarnation]; s != nil {
			delete(s.orders, loss.Attempt)
		}
	}
	l.sendAssignedStarts(p.batch.Assign)
	l.observeJobs(p.changes)
}

func (l *leadership) markEndsRecorded(ends []workflow.End) {
	through := map[workflow.Incarnation]uint64{}
	for _, e := range ends {
		through[e.Incarnation] = max(through[e.Incarnation], e.Number)
	}
	for incarnation, number := range through {
		if s := l.sessions[incarnation]; s != nil {
			s.markRecorded(number)
		}
	}
}

// sendAssignedStarts sends the start calls of the assignments that were applied; l.mu must be held.
func (l *leadership) sendAssignedStarts(assigned []workflow.Assignment) {
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
			mayCrash := l.silenced[a.Attempt.Task] || st.Workflows.Jobs[a.Attempt.Task.Job].HasCrashes(a.Attempt.Task)
			l.sendStart(s, a.Attempt, payload, task.Checkpoint, mayCrash)
		}
	})
}

// plannerInput collects the workers and the pending runs for the planner.
func (l *leadership) plannerInput(st *state.State, now bootclock.Time) *dispatch.Snapshot {
	workflows := st.Workflows
	wall := model.Millis(time.Now().UnixMilli())
	latest := l.clock.read(wall, st.Now, now)
	p := &dispatch.Snapshot{Now: latest, Cautions: workflows.Cautions(latest), Costs: l.engine.opts.PlaceCosts}
	l.startAlone, l.silenced = p.Cautions.StartAlone, p.Cautions.Silenced
	p.SpareRunBytes = l.engine.spareRunBytes(workflows)
	p.Workers = l.describeWorkers(workflows, now)
	due := min(latest, wall+maxClockError)
	workflows.VisitLiveJobs(func(job *workflow.Job) { addDueRuns(p, job, due) })
	return p
}

// addDueRuns adds the due occurrences of a job that are not complete: the runs that have started one by one, the others
// as a backlog.
func addDueRuns(p *dispatch.Snapshot, job *workflow.Job, now model.Millis) {
	if job.Repeats == 0 {
		p.PendingRuns = append(p.PendingRuns, dispatch.PendingRun{Job: job, Run: job.Runs[0]})
		return
	}
	due := job.DueCount(now)
	for _, occurrence := range slices.Sorted(maps.Keys(job.Runs)) {
		if occurrence < due {
			p.PendingRuns = append(p.PendingRuns, dispatch.PendingRun{Job: job, Occurrence: occurrence, Run: job.Runs[occurrence]})
		}
	}
	if _, ok := job.NextUnstarted(0, due); ok {
		p.Backlogs = append(p.Backlogs, dispatch.Backlog{Job: job, Due: due})
	}
}

// describeWorkers returns the workers in order of their ids. The next pass reuses the memory.
func (l *leadership) describeWorkers(workflows *workflow.State, now bootclock.Time) []*dispatch.Worker {
	if cap(l.described) < len(workflows.Workers) {
		l.described = make([]dispatch.Worker, 0, 2*len(workflows.Workers))
	}
	clear(l.described)
	l.described = l.described[:0]
	workers := make([]*dispatch.Worker, 0, len(workflows.Workers))
	former := workflows.FormerIncarnations()
	for _, id := range l.sortedWorkers(workflows) {
		w := workflows.Workers[id]
		if s := l.sessions[w.Incarnation]; s != nil {
			l.described = append(l.described, dispatch.Worker{Worker: *w})
			d := &l.described[len(l.described)-1]
			l.describeWorker(workflows, s, former[id], d, now)
			workers = append(workers, d)
		}
	}
	return workers
}

// sortedWorkers returns the ids of the workers in order. Sorting a thousand of them takes longer
// than the rest of a pass without news, and they change rarely.
func (l *leadership) sortedWorkers(workflows *workflow.State) []workflow.WorkerID {
	if len(l.workerOrder) == len(workflows.Workers) && !slices.ContainsFunc(l.workerOrder, func(id workflow.WorkerID) bool { return workflows.Workers[id] == nil }) {
		return l.workerOrder
	}
	l.workerOrder = slices.Sorted(maps.Keys(workflows.Workers))
	return l.workerOrder
}

// describeWorker sets what the planner needs of a worker beside its record. The allocations and their load are
// kept until the worker's listing, an order or the set of its open attempts changes, unless attempts of
// former processes of the worker are open.
func (l *leadership) describeWorker(workflows *workflow.State, s *session, former []workflow.Incarnation, d *dispatch.Worker, now bootclock.Time) {
	why := s.usability(&d.Worker, now)
	d.Usable, d.LastResort = why == usable, why == unusableQuarantined && s.quarantine.allowsRestart(now)
	d.Silent, d.Latency = !s.answers(now), s.latency
	d.Evacuated, d.ColdFor = l.evacuated[d.Zone], l.coldFor(s, &d.Worker, now)
	l.applyPendingCapacity(&d.Worker)
	if openVersion := workflows.OpenVersion(s.incarnation); s.changed || s.openVersion != openVersion || len(former) > 0 {
		s.cachedAllocations, s.openVersion, s.changed = l.allocations(workflows, s, former, now), openVersion, len(former) > 0
		s.cachedLoad = dispatch.LoadOf(s.cachedAllocations)
	}
	d.Allocations, d.Load, d.Isolated = s.cachedAllocations, &s.cachedLoad, s.isolated
}

// applyPendingCapacity sets the capacity that the worker has reported since the last commit. The
// batch of this pass records it, so its assignments must fit as well.
func (l *leadership) applyPendingCapacity(w *workflow.Worker) {
	if report := l.reports[w.Incarnation.Worker]; report != nil && report.worker.Incarnation == w.Incarnation {
		w.CPUMillis, w.MemoryMiB, w.Accelerators = report.worker.CPUMillis, report.worker.MemoryMiB, report.worker.Accelerators
	}
}

// allocations lists the attempts that hold resources on a worker, sorted by task. Those of former processes that
// this one may run are among them: it may execute their starts at any time.
func (l *leadership) allocations(workflows *workflow.State, s *session, former []workflow.Incarnation, now bootclock.Time) []dispatch.Allocation {
	allocations := make([]dispatch.Allocation, 0, len(s.cachedAllocations)+1)
	serving, bestEffort, isolated, unsettled := false, false, false, false
	workflows.VisitOpenAttempts(s.incarnation, func(a workflow.OpenAttempt) {
		r := dispatch.Allocation{OpenAttempt: a, Pace: 100}
		if o := s.orders[a.Attempt]; o != nil {
			r.Pace, r.Stopping = o.pace, o.stopSentAt != 0 || o.evictReason != ""
			unsettled = unsettled || o.phase == startUnanswered
		}
		if run, ok := s.running[a.Attempt]; ok {
			r.Listed, r.Percent = true, run.Progress
			if a.Step.LongRunning {
				r.TailMs = model.Millis(run.Usage)
			} else {
				r.CPUUsed = run.Usage
			}
		}
		isolated = isolated || ((a.Suspect || l.startAlone[a.Attempt.Task]) && !s.survives(a.Attempt))
		serving = serving || a.Step.Serving()
		bestEffort = bestEffort || a.Step.UsesSpareCPU
		allocations = append(allocations, r)
	})
	allocations = l.appendFormerAllocations(allocations, workflows, s, former, now)
	s.colocated, s.isolated, s.unsettled = serving && bestEffort, isolated, unsettled
	slices.SortFunc(allocations, func(a, b dispatch.Allocation) int {
		return a.Attempt.Task.Compare(b.Attempt.Task)
	})
	return allocations
}

// appendFormerAllocations appends the attempts of former processes of the worker that its present one may run.
func (l *leadership) appendFormerAllocations(allocations []dispatch.Allocation, workflows *workflow.State, s *session, former []workflow.Incarnation, now bootclock.Time) []dispatch.Allocation {
	for _, incarnation := range former {
		old := l.sessions[incarnation]
		if old == nil {
			continue
		}
		workflows.VisitOpenAttempts(incarnation, func(a workflow.OpenAttempt) {
			if old.mayRunInSuccessor(a.Attempt, now) {
				allocations = append(allocations, dispatch.Allocation{OpenAttempt: a, Pace: 100, Listed: s.lists(a.Attempt), Stopping: true})
			}
		})
	}
	return allocations
}

// forgetEndedJobs removes the samples of jobs that are not live, if there may be any.
func (l *leadership) forgetEndedJobs(workflows *workflow.State) {
	model := l.plannerState.InterferenceModel
	if removals := workflows.LiveRemovals(); removals != l.forgotten || model.HasEndedJobs() {
		model.Forget(workflows.IsLive)
		maps.DeleteFunc(l.stalls, func(task workflow.TaskKey, _ int) bool { return !workflows.IsLive(task.Job) })
		l.forgotten = removals
	}
}

// adjustPaces changes the paces of best-effort tasks according to the latest tail latencies of the
// serving tasks beside them.
func (l *leadership) adjustPaces(snapshot *dispatch.Snapshot, now bootclock.Time, p *passPlan) {
	for _, w := range snapshot.Workers {
		s := l.sessions[w.Incarnation]
		if !s.tokenAccepted || s.failing {
			continue
		}
		latency, orders := l.plannerState.InterferenceModel.Adjust(snapshot.Now, w, model.Millis(time.Duration(s.listReceivedAt).Milliseconds()))
		s.latency, w.Latency = latency, latency
		for _, o := range orders {
			l.sendPace(s, o, p)
		}
	}
}
