package fleet

import (
	"context"
	"testing"
	"time"

	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/workflow"
	"samphirepaddle.example/daemon/bootclock"
)

// reportCapacity reports the worker with a capacity in millicores.
func (r *rig) reportCapacity(w *fakeWorker, sequence uint64, cpuMillis int64) {
	r.t.Helper()
	worker := w.worker
	worker.CPUMillis = cpuMillis
	r.until("the report is recorded", func() bool {
		_, err := r.engine.ReportWorker(context.Background(), WorkerReport{Worker: worker, Sequence: sequence, Clock: w.clock()})
		return err == nil
	})
}

func (r *rig) recordedCapacity(w *fakeWorker) int64 {
	var cpuMillis int64
	r.log.View(func(st *state.State) { cpuMillis = st.Workflows.Workers[w.worker.Incarnation.Worker].CPUMillis })
	return cpuMillis
}

func TestLateHeartbeatAfterLeaderChangeDoesNotRestoreCapacity(t *testing.T) {
	r := newRig(t)
	w := r.addWorker("a", 1)
	r.reportCapacity(w, 5, 1000)
	r.stop()
	r.startEngine()
	r.reportCapacity(w, 4, 4000)
	if got := r.recordedCapacity(w); got != 1000 {
		t.Errorf("the recorded capacity is %d millicores after a heartbeat from before it shrank, want 1000", got)
	}
	r.reportCapacity(w, 6, 4000)
	if got := r.recordedCapacity(w); got != 4000 {
		t.Errorf("the recorded capacity is %d millicores after it grew again, want 4000", got)
	}
}

func TestPassDoesNotOverloadWorkerThatReportsLessCapacity(t *testing.T) {
	r := newRig(t)
	w := r.addWorker("a", 1)
	l := r.engine.currentLeadership()
	s := r.pauseStarts(l, w)
	r.submit("j", workflow.StepSpec{Count: 1, CPUMillis: 3000})
	l.mu.Lock()
	defer l.mu.Unlock()
	s.pauseUntil = 0
	smaller := w.worker
	smaller.CPUMillis = 1000
	l.reports["a"] = &pendingReport{worker: smaller, done: make(chan struct{})}
	if assigned := planPass(r, l); len(assigned) > 0 {
		t.Errorf("a task of 3000 millicores is assigned to a worker that reports 1000: %v", assigned)
	}
}

func TestStoppingAttemptOfClosedTaskHoldsItsWorker(t *testing.T) {
	r := newRig(t)
	w := r.addWorker("a", 1)
	l := r.engine.currentLeadership()
	s := r.pauseStarts(l, w)
	r.submit("j", workflow.StepSpec{Count: 1, CPUMillis: 3000})
	l.mu.Lock()
	defer l.mu.Unlock()
	s.pauseUntil = 0
	closed := workflow.Attempt{Task: workflow.TaskKey{Job: "closed"}, Number: 2}
	s.running, s.changed = map[workflow.Attempt]RunningAttempt{closed: {Attempt: closed}}, true
	if assigned := planPass(r, l); len(assigned) > 0 {
		t.Errorf("a task is assigned beside an attempt that still runs and whose needs are not known: %v", assigned)
	}
	s.running, s.changed = map[workflow.Attempt]RunningAttempt{}, true
	if assigned := planPass(r, l); len(assigned) != 1 {
		t.Errorf("%d tasks are assigned once the attempt has ended, want 1", len(assigned))
	}
}

// pauseStarts waits until the worker takes tasks and then keeps the engine from starting any on it.
func (r *rig) pauseStarts(l *leadership, w *fakeWorker) *session {
	r.t.Helper()
	var s *session
	r.until("the worker takes tasks", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		s = l.sessions[w.worker.Incarnation]
		return s != nil && s.tokenAccepted
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	s.pauseUntil = bootclock.Now().Add(testPause)
	return s
}

// testPause exceeds the duration of a test.
const testPause = 1 << 50

// planPass plans one pass without committing it; l.mu must be held.
func planPass(r *rig, l *leadership) []workflow.Assignment {
	p := &passPlan{kind: fullPass}
	r.log.View(func(st *state.State) { l.buildPlan(st, p) })
	return p.batch.Assign
}

func TestShrunkWorkerKeepsItsTasksAndTakesNoOthers(t *testing.T) {
	r := newRig(t)
	w := r.addWorker("a", 1)
	r.submit("runs", workflow.StepSpec{Count: 3, CPUMillis: 1000, LongRunning: true})
	r.until("the tasks run", func() bool { return len(w.runningAttempts()) == 3 })
	r.reportCapacity(w, 2, 500)
	r.submit("waits", workflow.StepSpec{Count: 1, CPUMillis: 400})
	r.until("the leader has seen the tasks and the job in some passes", func() bool { return w.holdCount() > 100 })
	if attempts := w.runningAttempts(); len(attempts) != 3 || w.startedAttempts() != 3 {
		t.Errorf("%d attempts run and %d were started after the capacity shrank, want the same 3", len(attempts), w.startedAttempts())
	}
	r.reportCapacity(w, 3, 0)
	r.reportCapacity(w, 4, 4000)
	grown := time.Now()
	r.until("the job runs", func() bool { return len(w.runningAttempts()) == 4 })
	if waited := time.Since(grown); waited > growthDelay {
		t.Errorf("the job was started %v after the capacity grew", waited)
	}
}

// growthDelay is much longer than a pass and its commit take.
const growthDelay = 2 * time.Second
