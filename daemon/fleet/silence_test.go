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

// silentLease outlasts unreachableAfter, as the lease of a deployment does.
const silentLease = 4 * time.Second

// changeLeader ends the term of the engine and begins another one.
func (r *rig) changeLeader() {
	r.t.Helper()
	r.stop()
	r.startEngine()
	r.until("the next leader leads", func() bool { return r.engine.currentLeadership() != nil })
}

// Guards against a task on a lost worker that waits for a whole lease again after each change of leader,
// and against one that is started elsewhere before the lease has expired.
func TestChangesOfLeaderDoNotProlongTheWaitForASilentWorker(t *testing.T) {
	r := newRig(t)
	r.lease = silentLease
	r.changeLeader()
	bound := r.engine.currentLeadership().earlierLeaseBound()
	a := r.startTask()
	b := r.addWorker("b", 1)
	var until model.Millis
	a.withLock(func() { a.silent, until = true, a.until })
	silentAt := time.Now()
	for _, after := range []time.Duration{unreachableAfter + 500*time.Millisecond, bound - 700*time.Millisecond} {
		time.Sleep(time.Until(silentAt.Add(after)))
		r.changeLeader()
	}
	r.until("the task runs on the other worker", func() bool { return len(b.runningAttempts()) == 1 })
	if now := a.clock(); now <= until {
		t.Errorf("the task was started elsewhere at %d, the lease ends at %d", now, until)
	}
	if waited := time.Since(silentAt); waited > bound+2*time.Second {
		t.Errorf("the task waited for %v, the lease is bounded by %v", waited, bound)
	}
}

// Guards against a lease that a worker gets while it may be recorded that none is sent to it: the next
// leader would close its attempts too early, and their tasks would run twice.
func TestNoLeaseIsSentWhileAWorkerIsRecordedAsSilent(t *testing.T) {
	l, _ := planningLeadership(t, 1, 0, 0)
	l.lease.until.Store(int64(bootclock.Now().Add(time.Hour)))
	incarnation := workflow.Incarnation{Worker: "w"}
	s := &session{leadership: l, incarnation: incarnation, tokenAccepted: true, clock: 1, orders: map[workflow.Attempt]*order{}, silence: silence{recorded: true}}
	l.sessions[incarnation] = s
	attempt := workflow.Attempt{Number: 1}
	l.sendStart(s, attempt, "", "", false)
	if _, call, _ := s.prepareHold(); call.LeaseUntil != 0 || s.leaseUntil != 0 || s.orders[attempt].phase != startImpossible {
		t.Errorf("a call has the lease %d, %d is the latest that was sent, and the start is in phase %d", call.LeaseUntil, s.leaseUntil, s.orders[attempt].phase)
	}
	l.endSilences([]workflow.Incarnation{incarnation})
	if _, call, _ := s.prepareHold(); call.LeaseUntil == 0 {
		t.Error("the worker gets no lease after its answer is committed")
	}
}

// Guards against a worker that gets no lease and no task any more after it was recorded as silent.
func TestSilentWorkerIsUsedAgainAfterItsAnswer(t *testing.T) {
	r := newRig(t)
	r.lease = silentLease
	r.changeLeader()
	a := r.startTask()
	recorded := func() (silent bool) {
		r.log.View(func(st *state.State) { silent = st.Workflows.Workers["a"].Silent })
		return silent
	}
	a.withLock(func() { a.silent = true })
	r.until("the worker is recorded as silent", recorded)
	r.changeLeader()
	var until model.Millis
	a.withLock(func() { a.silent, until = false, a.until })
	r.until("its answer is recorded and it gets leases again", func() bool {
		extended := false
		a.withLock(func() { extended = a.until > until })
		return extended && !recorded()
	})
	r.submit("next", oneTask)
	r.until("it gets tasks again", func() bool { return len(a.runningAttempts()) == 2 })
}

// Guards against a task that runs twice: a deregistration names the worker's id only. It may be that of an earlier
// process and arrive late, and a worker whose deregistration was not answered goes on for some seconds. It
// guards against a task that waits for longer than the lease as well.
func TestTasksOfADeregisteredWorkerWaitForItsLease(t *testing.T) {
	deregister := func(r *rig, _ *fakeWorker) { r.deregister("a") }
	drain := func(r *rig, a *fakeWorker) { r.drain(a) }
	nothing := func(*rig, *fakeWorker) {}
	changeLeader := func(r *rig, _ *fakeWorker) { r.changeLeader() }
	for name, test := range map[string]struct{ before, after func(*rig, *fakeWorker) }{
		"of an earlier process":                           {nothing, nothing},
		"of an earlier process, and the leader changes":   {nothing, changeLeader},
		"of a worker that drains":                         {drain, nothing},
		"of a worker that drains, and the leader changes": {drain, changeLeader},
		"of a worker that drains after it":                {deregister, drain},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t)
			r.lease = silentLease
			r.changeLeader()
			a := r.startTask()
			b := r.addWorker("b", 1)
			test.before(r, a)
			var until model.Millis
			a.withLock(func() { a.silent, until = true, a.until })
			deregister(r, a)
			test.after(r, a)
			began := time.Now()
			r.until("the task runs on the other worker", func() bool { return len(b.runningAttempts()) == 1 })
			if now := a.clock(); now <= until {
				t.Errorf("the task was started elsewhere at %d, the lease ends at %d", now, until)
			}
			if waited, bound := time.Since(began), r.engine.currentLeadership().earlierLeaseBound(); waited > bound+2*time.Second {
				t.Errorf("the task waited for %v, the leases end after %v", waited, bound)
			}
		})
	}
}

// Guards against a task that is ended on a worker that drains and answers, because the deregistration of an earlier
// process arrived and the leader changed: the next leader made no calls to a deregistered worker.
func TestDeregisteredWorkerThatAnswersKeepsItsLease(t *testing.T) {
	r := newRig(t)
	a := r.startTask()
	r.drain(a)
	r.deregister("a")
	r.stop()
	var until model.Millis
	a.withLock(func() { until = a.until })
	r.startEngine()
	r.until("the next leader extends the lease", func() bool {
		extended := false
		a.withLock(func() { extended = a.until > until })
		return extended
	})
	if runs := a.runningAttempts(); len(runs) != 1 || runs[0].Number != 1 {
		t.Errorf("the worker runs %v, want the first attempt", runs)
	}
}

func (r *rig) drain(w *fakeWorker) {
	r.t.Helper()
	w.worker.Draining = true
	r.report(w)
}

func (r *rig) deregister(id workflow.WorkerID) {
	r.t.Helper()
	r.until("the worker is deregistered", func() bool {
		_, err := r.engine.Deregister(context.Background(), id)
		return err == nil
	})
}
