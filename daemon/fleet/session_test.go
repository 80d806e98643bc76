package fleet

import (
	"context"
	"fmt"
	"math"
	"testing"
	"time"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/workflow"
	"samphirepaddle.example/daemon/bootclock"
)

// Guards against starting a task elsewhere before the lease of a silent worker has expired, and
// against never starting it elsewhere.
func TestSilentWorkerLosesItsTasksAfterItsLease(t *testing.T) {
	r := newRig(t)
	a := r.startTask()
	var until model.Millis
	a.withLock(func() { a.silent, until = true, a.until })
	b := r.addWorker("b", 1)
	r.until("the task runs on the other worker", func() bool { return len(b.runningAttempts()) == 1 })
	if now := a.clock(); now <= until {
		t.Errorf("the task was started elsewhere at %d, the lease ends at %d", now, until)
	}
	if got := b.running[b.runningAttempts()[0]]; got != "listed" && got != "" {
		t.Errorf("the task was started from checkpoint %q", got)
	}
}

// Guards against a new leader that treats the lease of a worker as expired when the worker answered
// once and fell silent before it got a new lease: the previous leader's lease may still be valid.
func TestEarlierLeaseOutlastsOneResponse(t *testing.T) {
	now := bootclock.Now()
	began := now.Add(-unreachableAfter - time.Second)
	l := &leadership{engine: &Engine{opts: Options{WorkerLease: 2 * unreachableAfter}}, since: began}
	s := &session{leadership: l, openedAt: began, answeredAt: began, tokenAccepted: true}
	if s.leaseExpired(now) {
		t.Error("the lease counts as expired although the previous leader may have renewed it")
	}
	if !s.leaseExpired(began.Add(l.earlierLeaseBound())) {
		t.Error("the lease never ends")
	}
}

// Guards against waiting for tasks of a worker that has restarted with the same id: they no longer
// run, and a start for the previous process must not run in the new one.
func TestTasksOfRestartedWorkerRunAgain(t *testing.T) {
	r := newRig(t)
	r.startTask()
	restarted := r.addWorker("a", 2)
	r.until("the task runs in the new process", func() bool { return len(restarted.runningAttempts()) == 1 })
	if got := restarted.runningAttempts()[0].Number; got != 2 {
		t.Errorf("it runs as attempt %d, want 2", got)
	}
}

// Guards against running a completed task again. Calls carry only the worker id, so a start that is
// sent before the leader knows of the worker's restart is executed by the new process.
func TestStartExecutedByNextIncarnation(t *testing.T) {
	for name, finish := range map[string]bool{"it has ended": true, "it still runs": false} {
		r := newRig(t)
		a := r.workers.add("a", 1)
		a.longPolls = true // the session detects the restart only with its next call
		r.report(a)
		r.until("the session has begun", func() bool { return a.holdCount() > 1 })
		restarted := r.workers.add("a", 2)
		r.submit("j", oneTask)
		r.until("the new process runs the task", func() bool { return len(restarted.runningAttempts()) == 1 })
		if finish {
			restarted.finish(workflow.EndDone)
		}
		r.report(restarted)
		r.until("the attempts of the previous process are closed", func() bool {
			open := true
			r.log.View(func(st *state.State) { open = st.Workflows.HasOpen(a.worker.Incarnation) })
			return !open
		})
		if restarted.overlap > 0 {
			t.Errorf("%s: two attempts of the task ran at the same time", name)
		}
		if finish && r.jobStatus("j") != workflow.StatusCompleted {
			t.Errorf("%s: the job is shown as %s", name, r.jobStatus("j"))
		}
	}
}

// Guards against losing the end of a task, so that the task runs again. Calls carry only the worker
// id, and end numbers start again at 1 in each process. A call with the last number of the previous
// process would therefore acknowledge ends of the new process that the leader has not received.
func TestUnseenEndsOfNextIncarnationAreNotAcknowledged(t *testing.T) {
	for name, change := range map[string]bool{"the leader stays": false, "the leader changes": true} {
		r := newRig(t)
		a := r.startTask()
		a.finish(workflow.EndDone)
		r.until("the end is acknowledged", func() bool { return a.unacknowledged() == 0 })
		a.withLock(func() { a.longPolls, a.holds = true, 0 })
		r.until("a hold call is open", func() bool { return a.holdCount() > 0 })
		restarted := r.workers.add("a", 2)
		r.submit("next", oneTask)
		r.until("the new process runs the task", func() bool { return len(restarted.runningAttempts()) == 1 })
		if change {
			r.stop()
		}
		restarted.finish(workflow.EndDone)
		if change {
			r.startEngine()
		}
		r.until("the new process has received a hold call", func() bool { return restarted.holdCount() > 0 })
		r.report(restarted)
		r.until("the job ends or its task runs again", func() bool {
			return r.jobStatus("next") == workflow.StatusCompleted || restarted.startedAttempts() > 1
		})
		if started := restarted.startedAttempts(); started > 1 {
			t.Errorf("%s: the task was started %d times", name, started)
		}
	}
}

// Guards against tasks that stay open for ever: their worker has restarted, and the new process ends
// before it responds to a call.
func TestReplacementThatNeverAnswers(t *testing.T) {
	r := newRig(t)
	r.startTask()
	restarted := r.workers.add("a", 2)
	restarted.withLock(func() { restarted.silent = true })
	r.report(restarted)
	b := r.addWorker("b", 1)
	r.until("the task runs on another worker", func() bool { return len(b.runningAttempts()) == 1 })
}

// Guards against delayed heartbeats, of the same or of a previous process, that undo later ones.
func TestLateHeartbeatsChangeNothing(t *testing.T) {
	r := newRig(t)
	a := r.addWorker("a", 5)
	draining := a.worker
	draining.Draining = true
	ctx := context.Background()
	for _, report := range []WorkerReport{
		{Worker: draining, Sequence: 9},
		{Worker: a.worker, Sequence: 8},
		{Worker: func() workflow.Worker { w := a.worker; w.Incarnation.StartedAt = 4; return w }(), Sequence: 20},
	} {
		if _, err := r.engine.ReportWorker(ctx, report); err != nil {
			t.Fatal(err)
		}
	}
	r.log.View(func(st *state.State) {
		if w := st.Workflows.Workers["a"]; w.Incarnation.StartedAt != 5 || !w.Draining {
			t.Errorf("the worker is recorded as %+v", w)
		}
	})
}

// Guards against a leader that spends its time on hold calls to hundreds of workers, and against
// one that calls a worker too rarely while a serving task there is over its target.
func TestColocatedHoldsAreBounded(t *testing.T) {
	for _, workers := range []int{1, 66, 490, 5000} {
		l := &leadership{engine: NewEngine(Options{}), sessions: map[workflow.Incarnation]*session{}}
		for i := range workers {
			l.sessions[workflow.Incarnation{StartedAt: model.Millis(i)}] = nil
		}
		s := &session{leadership: l}
		wait := s.colocatedWait()
		if rate := float64(workers) / wait.Seconds(); rate > maxColocatedHoldRate && wait < holdWait {
			t.Errorf("%d workers: %.0f hold calls per second, want at most %d", workers, rate, maxColocatedHoldRate)
		}
		if workers < 200 && wait != holdWaitColocated {
			t.Errorf("%d workers: a hold call waits for %v, want %v", workers, wait, holdWaitColocated)
		}
		if s.latency.OverTargetSince = 1; s.colocatedWait() != holdWaitColocated {
			t.Errorf("%d workers: a hold call waits for %v although a task is over its target", workers, s.colocatedWait())
		}
	}
}

// Guards against losing an end that a worker lists behind one with a higher number: the
// acknowledgement of the higher number covers it, and its task would run again.
func TestEndsAreQueuedInTheOrderOfTheirNumbers(t *testing.T) {
	s := &session{orders: map[workflow.Attempt]*order{}}
	s.applyListing(1, 2, Listing{Ended: []EndedAttempt{{Number: 3}, {Number: 1}, {Number: 2}}})
	for i, e := range s.ends {
		if e.Number != uint64(i+1) {
			t.Errorf("end %d is queued at position %d", e.Number, i+1)
		}
	}
	if len(s.ends) != 3 {
		t.Errorf("%d ends are queued, want 3", len(s.ends))
	}
}

// Guards against ends that look repeated, and tasks that never end, behind one odd number.
func TestEndWithOddNumberHidesNoLaterEnd(t *testing.T) {
	for _, odd := range []uint64{1 << 53, math.MaxUint64} {
		s := &session{orders: map[workflow.Attempt]*order{}, recordedThrough: 7}
		s.applyListing(1, 2, Listing{Ended: []EndedAttempt{{Number: 8}, {Number: odd}}})
		s.applyListing(2, 3, Listing{Ended: []EndedAttempt{{Number: odd}, {Number: 9}}})
		if len(s.ends) != 2 || s.ends[0].Number != 8 || s.ends[1].Number != 9 {
			t.Errorf("with an end %d: queued are %+v, want 8 and 9", odd, s.ends)
		}
	}
}

// Guards against a worker that forgets an end of which the next leader finds no record, so that the task runs again.
func TestEndIsAcknowledgedOnceItIsRecorded(t *testing.T) {
	l := &leadership{engine: NewEngine(Options{}), sessions: map[workflow.Incarnation]*session{}, passRequests: make(chan struct{}, 1)}
	l.lease.until.Store(math.MaxInt64)
	s := &session{leadership: l, tokenAccepted: true, orders: map[workflow.Attempt]*order{}, recordedThrough: 7, wake: make(chan struct{}, 1)}
	acknowledged := func() uint64 {
		_, call, ok := s.prepareHold()
		if !ok {
			t.Fatal("no hold call is made")
		}
		return call.AckedThrough
	}
	s.applyListing(1, 2, Listing{Ended: []EndedAttempt{{Number: 8}}})
	if got := acknowledged(); got != 7 {
		t.Errorf("ends up to %d are acknowledged before the record, want 7", got)
	}
	s.markRecorded(8)
	if got := acknowledged(); got != 8 {
		t.Errorf("ends up to %d are acknowledged after the record, want 8", got)
	}
}

// Guards against taking a shortage on the leader's VM for a silent worker.
func TestHoldThatWasNotSentIsNoEvidenceAgainstTheWorker(t *testing.T) {
	l := &leadership{engine: NewEngine(Options{}), sessions: map[workflow.Incarnation]*session{}, passRequests: make(chan struct{}, 1)}
	s := &session{leadership: l, tokenAccepted: true, answeredAt: bootclock.Now(), orders: map[workflow.Attempt]*order{}}
	s.handleHoldResult(bootclock.Now(), HoldCall{}, Listing{}, fmt.Errorf("%w: no descriptor", ErrNotSent))
	if s.failing {
		t.Error("the worker counts as failing")
	}
}

// Guards against a leader that spends its time on a worker that lists an end that cannot be read: the
// worker answers each hold call at once.
func TestHoldsThatAreAnsweredAtOnceAreSpaced(t *testing.T) {
	l := &leadership{engine: NewEngine(Options{}), passRequests: make(chan struct{}, 1)}
	s := &session{leadership: l, orders: map[workflow.Attempt]*order{}}
	began, pauses := bootclock.Now(), time.Duration(0)
	for range 100 {
		pauses += s.handleHoldResult(began.Add(pauses), HoldCall{Wait: 1000}, Listing{}, nil)
	}
	if pauses < 10*time.Second {
		t.Errorf("100 calls are made in %v", pauses)
	}
}
