package fleet

import (
	"slices"
	"time"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/workflow"
	"samphirepaddle.example/daemon/bootclock"
)

// addCrashes adds the worker processes to the batch that have ended without having announced it. The
// proof of an end is another worker that answers at the address: a process that is cut off, frozen
// or slow keeps its address, and connections may be refused on the way to it.
func (l *leadership) addCrashes(workflows *workflow.State, ended map[workflow.Attempt]bool, p *passPlan) {
	for incarnation, s := range l.sessions {
		if !s.replaced || !s.otherWorker {
			continue
		}
		w, known := workflows.Workers[incarnation.Worker]
		if known && w.Incarnation == incarnation && !w.Crashed && !l.announcedEnd(w) {
			l.addCrash(incarnation, nil, workflows, ended, p)
		}
	}
}

// addAnswers adds the worker processes to the batch that have answered since their attempts were lost
// by silence or they were recorded as silent, whose report displaced another process, or which were taken for
// crashed. An answer within unreachableAfter is later than the loss, which follows a longer silence.
func (l *leadership) addAnswers(workflows *workflow.State, now bootclock.Time, p *passPlan) {
	for _, id := range l.sortedWorkers(workflows) {
		w := workflows.Workers[id]
		s := l.sessions[w.Incarnation]
		if s == nil || s.replaced || s.answeredAt == 0 || now.Sub(s.answeredAt) >= unreachableAfter {
			continue
		}
		if len(w.Lapsed) > 0 || s.silence.recorded || w.Displaced != nil || w.Crashed {
			p.batch.Answered = append(p.batch.Answered, w.Incarnation)
		}
	}
}

// announcedEnd reports whether the worker process has announced that it leaves, in a recorded report
// or in one that waits for the next commit.
func (l *leadership) announcedEnd(w *workflow.Worker) bool {
	report := l.reports[w.Incarnation.Worker]
	pending := report != nil && report.worker.Incarnation == w.Incarnation && (report.worker.Draining || report.worker.Deregistered)
	return pending || w.Draining || w.Deregistered
}

// addCrash adds the crash of a worker process to the batch, unless it is recorded. next is the session
// with the process that followed under the same id, or nil.
func (l *leadership) addCrash(incarnation workflow.Incarnation, next *session, workflows *workflow.State, ended map[workflow.Attempt]bool, p *passPlan) {
	if l.seenAt.crashed[incarnation] {
		return
	}
	p.batch.Crashes = append(p.batch.Crashes, workflow.Crash{
		Incarnation: incarnation, Attempts: l.possibleCauses(incarnation, next, workflows, ended),
		Common: l.isCommonCrash(incarnation),
	})
}

// possibleCauses returns the open attempts of live jobs that may have run on the worker process when it ended or
// fell silent, in the order of their tasks.
func (l *leadership) possibleCauses(incarnation workflow.Incarnation, next *session, workflows *workflow.State, ended map[workflow.Attempt]bool) []workflow.CrashedAttempt {
	s := l.sessions[incarnation]
	var attempts []workflow.CrashedAttempt
	workflows.VisitOpenAttempts(incarnation, func(a workflow.OpenAttempt) {
		if a.Ended || ended[a.Attempt] || (next != nil && next.lists(a.Attempt)) {
			return
		}
		if s == nil {
			attempts = append(attempts, workflow.CrashedAttempt{Attempt: a.Attempt, Unseen: true, Evidence: workflow.EvidenceUnknown})
		} else if o := s.orders[a.Attempt]; o == nil || (o.phase != startPlanned && o.phase != startImpossible) {
			ran, known := s.ranFor(a.Attempt)
			attempts = append(attempts, workflow.CrashedAttempt{Attempt: a.Attempt, RanMs: ran, Unseen: !known, Evidence: s.evidenceOf(a.Attempt)})
		}
	})
	slices.SortFunc(attempts, func(a, b workflow.CrashedAttempt) int { return a.Attempt.Task.Compare(b.Attempt.Task) })
	return attempts
}

func (s *session) lists(a workflow.Attempt) bool {
	_, listed := s.running[a]
	return listed
}

// ranFor returns for how long an attempt ran at least while the worker was known to be alive. known is false if an
// earlier leader started it and its worker never listed it to this one.
func (s *session) ranFor(a workflow.Attempt) (ran model.Millis, known bool) {
	o := s.orders[a]
	switch {
	case o == nil, o.phase == startInherited:
		return 0, false
	case o.phase != startAnswered:
		return 0, true
	}
	return max(0, model.Millis(s.aliveAt.Sub(o.answeredAt).Milliseconds())), true
}

// evidenceOf returns what shows that an attempt ran in the worker process. The last answer before a start proves
// little, because it may be older than a second: only a call that was answered just before does. A list since then
// without the attempt contradicts it.
func (s *session) evidenceOf(a workflow.Attempt) workflow.CrashEvidence {
	o := s.orders[a]
	switch {
	case o == nil, o.phase == startInherited:
		return workflow.EvidenceUnknown
	case o.phase == startAnswered, o.probedAt != 0 && s.fullListSentAt < o.probedAt:
		return workflow.EvidenceRan
	}
	return workflow.EvidenceNone
}

// survives reports whether the worker has listed the attempt after it ran for long enough that it is
// not going to crash the worker by its start.
func (s *session) survives(a workflow.Attempt) bool {
	o := s.orders[a]
	if !s.lists(a) || o == nil || o.phase != startAnswered {
		return false
	}
	return s.listReceivedAt.Sub(o.answeredAt).Milliseconds() >= int64(workflow.CrashWindow)
}

// noteFailure records how long the worker was known to be alive when a hold call fails for the first
// time. A connection breaks when the process ends, long before the call would time out.
func (s *session) noteFailure(sentAt, now bootclock.Time, call HoldCall) {
	if !s.failing && now.Sub(sentAt) < time.Duration(call.Wait)*time.Millisecond+holdTimeoutMargin/2 {
		s.aliveAt = now
		s.noteConnectionEnd(now)
	}
}

// markCrashesRecorded logs the crashes of a committed batch and the jobs that it gave up.
func (l *leadership) markCrashesRecorded(crashes []workflow.Crash) {
	if len(crashes) == 0 {
		return
	}
	l.engine.opts.Log.View(func(st *state.State) {
		for _, crash := range crashes {
			l.seenAt.crashed[crash.Incarnation] = true
			l.logCrash(st.Workflows, crash)
		}
	})
}

func (l *leadership) logCrash(workflows *workflow.State, crash workflow.Crash) {
	recent, unproven := []string{}, []string{}
	failed := map[workflow.JobID]string{}
	for _, a := range crash.Attempts {
		if a.JustStarted() {
			recent = append(recent, a.Attempt.Task.String())
		}
		if a.Evidence != workflow.EvidenceRan {
			unproven = append(unproven, a.Attempt.Task.String())
		}
		if job := workflows.Jobs[a.Attempt.Task.Job]; job != nil && job.Phase == workflow.PhaseFailed {
			failed[job.ID] = job.Reason
		}
	}
	l.engine.opts.Metrics.count("workers", "crashed", 1)
	l.engine.opts.Metrics.count("jobs", "given_up", len(failed))
	l.logger.Warn().Str("worker", string(crash.Incarnation.Worker)).Int64("born", int64(crash.Incarnation.StartedAt)).
		Int("attempts", len(crash.Attempts)).Strs("recent", recent).Strs("unproven", unproven).Bool("common", crash.Common).Msg("worker crashed")
	for job, reason := range failed {
		l.logger.Warn().Str("job", string(job)).Str("detail", reason).Msg("job failed")
	}
}
