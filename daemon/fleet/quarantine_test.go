package fleet

import (
	"fmt"
	"testing"
	"time"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/workflow"
	"samphirepaddle.example/daemon/bootclock"
)

// Guards against a long-running task that stays down for the whole quarantine of the only worker with
// room, and against restarts in quick succession on a worker that fails every task.
func TestRestartOnTheOnlyWorkerDespiteItsQuarantine(t *testing.T) {
	l, st := planningLeadership(t, 1, 1, 0)
	w := st.Workflows.Workers[l.sortedWorkers(st.Workflows)[0]]
	s := l.sessions[w.Incarnation]
	for _, job := range []workflow.JobID{"a", "b", "c", "d"} {
		s.quarantine.recordFailure(job, bootclock.Now())
	}
	ends := uint64(0)
	restarts := func() int {
		p := &passPlan{}
		l.buildPlan(st, p)
		applyOrFail(t, st, workflow.Command{Batch: &p.batch})
		var failed []workflow.End
		st.Workflows.VisitOpenAttempts(w.Incarnation, func(a workflow.OpenAttempt) {
			ends++
			failed = append(failed, workflow.End{Incarnation: w.Incarnation, Number: ends, Attempt: a.Attempt, Kind: workflow.EndFailed})
		})
		applyOrFail(t, st, workflow.Command{Batch: &workflow.Batch{Ends: failed}})
		answer(st, s, 0)
		return len(p.batch.Assign)
	}
	restarts() // ends the attempts that ran before
	if got := restarts(); got != 1 {
		t.Errorf("%d tasks were restarted on the quarantined worker, want 1", got)
	}
	if got := restarts(); got != 0 {
		t.Errorf("%d tasks were restarted right after one that failed, want none", got)
	}
	s.quarantine.nextStart = s.quarantine.nextStart.Add(-quarantineStartInterval - time.Millisecond)
	if got := restarts(); got != 1 {
		t.Errorf("%d tasks were restarted after the interval, want 1", got)
	}
}

// Guards against a recovered worker that stays quarantined because long-running tasks, which never end as
// done, are all that starts there, and against a quarantine that ends without evidence.
func TestQuarantineEndsOnceATaskThatWasStartedLaterIsAtWork(t *testing.T) {
	for name, c := range map[string]struct {
		startedAfter time.Duration // the last failure
		ranFor       time.Duration
		progress     int
		want         bool
	}{
		"at work":                 {time.Second, time.Second, 100, false},
		"just started":            {time.Second, 900 * time.Millisecond, 100, true},
		"still in its startup":    {time.Second, 5 * time.Second, 99, true},
		"started before it fails": {-time.Second, 5 * time.Second, 100, true},
	} {
		s := &session{leadership: &leadership{passRequests: make(chan struct{}, 1)}, incarnation: workflow.Incarnation{Worker: "w"}, orders: map[workflow.Attempt]*order{}}
		failed := bootclock.Now()
		for _, job := range []workflow.JobID{"a", "b", "c", "d"} {
			s.quarantine.recordFailure(job, failed)
		}
		attempt := workflow.Attempt{Task: workflow.TaskKey{Job: "lasting"}, Number: 2}
		started := failed.Add(c.startedAfter)
		s.orders[attempt] = &order{phase: startAnswered, answeredAt: started, pace: 100}
		now := started.Add(c.ranFor)
		s.applyListing(now, now, Listing{Running: []RunningAttempt{{Attempt: attempt, Progress: c.progress}}})
		if got := s.quarantine.active(now); got != c.want {
			t.Errorf("%s: the worker is quarantined: %v, want %v", name, got, c.want)
		}
	}
}

// restartsOnQuarantinedWorker quarantines the only worker, with as many tasks down as given, and returns its
// session and a function that plans a pass and returns the number of restarts. The first one was made.
func restartsOnQuarantinedWorker(t *testing.T, tasks int) (*state.State, *session, func() int) {
	l, st := planningLeadership(t, 1, 0, 0)
	applyOrFail(t, st, workflow.Command{Submit: &workflow.Submission{Host: "h", Path: "/u/lasting", Steps: []workflow.StepSpec{{Count: tasks, CPUMillis: 1000, LongRunning: true}}}})
	w := st.Workflows.Workers[l.sortedWorkers(st.Workflows)[0]]
	s := l.sessions[w.Incarnation]
	assigned := func() int {
		p := &passPlan{}
		l.buildPlan(st, p)
		applyOrFail(t, st, workflow.Command{Batch: &p.batch})
		return len(p.batch.Assign)
	}
	if got := assigned(); got != tasks {
		t.Fatalf("%d tasks were started, want %d", got, tasks)
	}
	var failed []workflow.End
	st.Workflows.VisitOpenAttempts(w.Incarnation, func(a workflow.OpenAttempt) {
		failed = append(failed, workflow.End{Incarnation: w.Incarnation, Number: uint64(len(failed) + 1), Attempt: a.Attempt, Kind: workflow.EndFailed})
	})
	applyOrFail(t, st, workflow.Command{Batch: &workflow.Batch{Ends: failed}})
	for _, job := range []workflow.JobID{"a", "b", "c", "d"} {
		s.quarantine.recordFailure(job, bootclock.Now())
	}
	answer(st, s, 0)
	if got := assigned(); got != 1 {
		t.Fatalf("%d tasks were restarted on the quarantined worker, want 1", got)
	}
	return st, s, assigned
}

// Guards against long-running tasks that wait for their turn of one start a second on a worker that has
// recovered: with 20 of them the last would be down for 20 s.
func TestAllRestartsAreMadeOnAWorkerThatHasRecovered(t *testing.T) {
	st, s, assigned := restartsOnQuarantinedWorker(t, 20)
	s.quarantine.failedAt = s.quarantine.failedAt.Add(-3 * time.Second)
	st.Workflows.VisitOpenAttempts(s.incarnation, func(a workflow.OpenAttempt) {
		s.orderOf(a.Attempt).answeredAt = bootclock.Now().Add(-2500 * time.Millisecond)
	})
	answer(st, s, 0)
	if got := assigned(); got != 19 {
		t.Errorf("%d tasks were restarted after the first one was at work for 2.5 s, want 19", got)
	}
}

// Guards against a pause between restarts on a quarantined worker that outlasts its quarantine.
func TestEndOfAQuarantineEndsThePauseBetweenItsRestarts(t *testing.T) {
	st, s, assigned := restartsOnQuarantinedWorker(t, 20)
	s.quarantine.recordSuccess()
	answer(st, s, 0)
	if got := assigned(); got != 19 {
		t.Errorf("%d tasks were restarted right after the quarantine ended, want 19", got)
	}
}

// Guards against evidence of recovery that arrives a full hold call late.
func TestHoldCallsAreShortAfterARestartOnAQuarantinedWorker(t *testing.T) {
	_, s, _ := restartsOnQuarantinedWorker(t, 2)
	s.leadership.lease.until.Store(int64(bootclock.Now().Add(time.Hour)))
	if _, call, ok := s.prepareHold(); !ok || call.Wait != model.Millis(holdWaitProbation.Milliseconds()) {
		t.Errorf("the hold call is sent: %v, and waits for %d ms, want %v", ok, call.Wait, holdWaitProbation)
	}
	s.quarantine.recordSuccess()
	if _, call, _ := s.prepareHold(); call.Wait != model.Millis(holdWait.Milliseconds()) {
		t.Errorf("after the quarantine the hold call waits for %d ms, want %v", call.Wait, holdWait)
	}
}

// Guards against a quarantine of a sound worker for failures that are hours apart: long-running tasks
// may fail at any time and never end as done, so nothing else resets the count.
func TestFailuresFarApartDoNotQuarantineAWorker(t *testing.T) {
	q, now := &quarantine{}, bootclock.Now()
	for _, job := range []workflow.JobID{"a", "b", "c", "d", "e"} {
		now = now.Add(time.Hour)
		if q.recordFailure(job, now) {
			t.Errorf("the failure of job %s quarantines the worker, an hour after the one before", job)
		}
	}
}

// Guards against a worker that is never quarantined because its tasks fail only after they were at work for a
// while.
func TestWorkerThatFailsItsTasksLateIsQuarantined(t *testing.T) {
	var q quarantine
	now, quarantined := bootclock.Time(time.Minute), 0
	for i := range 20 {
		started := now.Add(10 * time.Millisecond)
		q.recordAtWork(started, started.Add(recoveryTime+100*time.Millisecond))
		now = started.Add(recoveryTime + 500*time.Millisecond)
		if q.recordFailure(workflow.JobID(fmt.Sprint("j", i)), now) {
			quarantined++
		}
	}
	if want := 20 - quarantineThreshold + 1; quarantined != want {
		t.Errorf("%d of 20 failures in a row quarantine the worker, want %d", quarantined, want)
	}
}
