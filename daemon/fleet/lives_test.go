package fleet

import (
	"context"
	"testing"
	"time"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/workflow"
	"samphirepaddle.example/daemon/bootclock"
)

// Guards against a task that is started elsewhere before the lease of a silent worker is
// over, and against one that never is.
func TestSilentWorkerLosesItsTasksAfterItsLease(t *testing.T) {
	r := newRig(t)
	a := r.runningTask()
	var until model.Millis
	a.set(func() { a.silent, until = true, a.until })
	b := r.join("b", 1)
	r.until("the task runs on the other worker", func() bool { return len(b.runs()) == 1 })
	if now := a.clock(); now <= until {
		t.Errorf("the task was started elsewhere at %d, the lease ends at %d", now, until)
	}
	if got := b.running[b.runs()[0]]; got != "listed" && got != "" {
		t.Errorf("the task was started from checkpoint %q", got)
	}
}

// Guards against a new leader that takes a worker, which answered it once and fell silent before
// it got a lease, for lapsed: the lease of the leader before may go on.
func TestEarlierLeaseOutlastsOneAnswer(t *testing.T) {
	now := bootclock.Now()
	began := now.Add(-unreachable - time.Second)
	l := &lead{engine: &Engine{opts: Options{WorkerLease: 2 * unreachable}}, since: began}
	s := &session{lead: l, openedAt: began, answeredAt: began, fenced: true}
	if s.lapsed(now) {
		t.Error("the lease counts as over although the leader before may have renewed it")
	}
	if !s.lapsed(began.Add(l.earlierLeases())) {
		t.Error("the lease never ends")
	}
}

// Guards against tasks of a worker that has started again under its id: they are gone, and a
// start of its former life must not run there.
func TestRestartedWorkerKnowsNothing(t *testing.T) {
	r := newRig(t)
	r.runningTask()
	again := r.join("a", 2)
	r.until("the task runs on the new life", func() bool { return len(again.runs()) == 1 })
	if got := again.runs()[0].Number; got != 2 {
		t.Errorf("it runs as attempt %d, want 2", got)
	}
}

// Guards against a task that runs again although it was done: its start, sent before anybody
// knew of the worker's restart, was taken by the new life, because calls name the id only.
func TestStartTakenByTheNextLife(t *testing.T) {
	for name, finish := range map[string]bool{"it has ended": true, "it still runs": false} {
		r := newRig(t)
		a := r.workers.add("a", 1)
		a.waits = true // the session sees the restart only with its next call
		r.report(a)
		r.until("the session has begun", func() bool { return a.called() > 1 })
		again := r.workers.add("a", 2)
		r.submit("j", oneTask)
		r.until("the new life runs the task", func() bool { return len(again.runs()) == 1 })
		if finish {
			again.finish(workflow.EndDone)
		}
		r.report(again)
		r.until("the former life is closed", func() bool {
			open := true
			r.log.View(func(st *state.State) { open = st.Workflows.HasOpen(a.worker.Incarnation) })
			return !open
		})
		if again.overlap > 0 {
			t.Errorf("%s: the task ran twice at a time", name)
		}
		if finish && r.shown("j") != workflow.StatusCompleted {
			t.Errorf("%s: the job is shown as %s", name, r.shown("j"))
		}
	}
}

// Guards against the end of a task that is forgotten, so that the task runs again: calls name
// a worker's id only, and numbers of ends begin anew with each life, so the number that the
// former life has reached acknowledges ends of the next one that nobody has seen.
func TestEndsOfTheNextLifeAreNotAcknowledgedUnseen(t *testing.T) {
	for name, change := range map[string]bool{"the leader goes on": false, "another one leads": true} {
		r := newRig(t)
		a := r.runningTask()
		a.finish(workflow.EndDone)
		r.until("the end is acknowledged", func() bool { return a.unacknowledged() == 0 })
		a.set(func() { a.waits, a.holds = true, 0 })
		r.until("a call waits", func() bool { return a.called() > 0 })
		again := r.workers.add("a", 2)
		r.submit("next", oneTask)
		r.until("the new life runs the task", func() bool { return len(again.runs()) == 1 })
		if change {
			r.stop()
		}
		again.finish(workflow.EndDone)
		if change {
			r.lead()
		}
		r.until("the new life has been asked", func() bool { return again.called() > 0 })
		r.report(again)
		r.until("the job ends or its task runs again", func() bool {
			return r.shown("next") == workflow.StatusCompleted || again.attempts() > 1
		})
		if started := again.attempts(); started > 1 {
			t.Errorf("%s: the task was started %d times", name, started)
		}
	}
}

// Guards against tasks that stay open for ever because the life that replaced their worker's
// has ended before it answered a call.
func TestReplacedByALifeThatNeverAnswers(t *testing.T) {
	r := newRig(t)
	r.runningTask()
	again := r.workers.add("a", 2)
	again.set(func() { again.silent = true })
	r.report(again)
	b := r.join("b", 1)
	r.until("the task runs on another worker", func() bool { return len(b.runs()) == 1 })
}

// Guards against heartbeats of a former life or of an earlier moment that undo later ones.
func TestLateHeartbeatsChangeNothing(t *testing.T) {
	r := newRig(t)
	a := r.join("a", 5)
	leaving := a.worker
	leaving.Draining = true
	ctx := context.Background()
	for _, report := range []Report{
		{Worker: leaving, Sequence: 9},
		{Worker: a.worker, Sequence: 8},
		{Worker: func() workflow.Worker { w := a.worker; w.Incarnation.StartedAt = 4; return w }(), Sequence: 20},
	} {
		if _, err := r.engine.Report(ctx, report); err != nil {
			t.Fatal(err)
		}
	}
	r.log.View(func(st *state.State) {
		if w := st.Workflows.Workers["a"]; w.Incarnation.StartedAt != 5 || !w.Draining {
			t.Errorf("the worker is recorded as %+v", w)
		}
	})
}

// Guards against a leader of hundreds of workers that is busy with looking at them, and against
// one that looks too seldom at a worker whose serving task is over its target.
func TestLooksAreBounded(t *testing.T) {
	for _, workers := range []int{1, 66, 490, 5000} {
		l := &lead{sessions: map[workflow.Incarnation]*session{}}
		for i := range workers {
			l.sessions[workflow.Incarnation{StartedAt: model.Millis(i)}] = nil
		}
		s := &session{lead: l}
		wait := s.sharedWait()
		if looks := float64(workers) / wait.Seconds(); looks > looksPerSecond && wait < holdWait {
			t.Errorf("%d workers: %.0f looks a second, want at most %d", workers, looks, looksPerSecond)
		}
		if workers < 200 && wait != holdWaitShared {
			t.Errorf("%d workers: a look waits for %v, want %v", workers, wait, holdWaitShared)
		}
		if s.share.OverTargetSince = 1; s.sharedWait() != holdWaitShared {
			t.Errorf("%d workers: a look waits for %v although a task is over its target", workers, s.sharedWait())
		}
	}
}
