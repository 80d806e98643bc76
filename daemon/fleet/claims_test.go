package fleet

import (
	"context"
	"math"
	"testing"
	"time"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/workflow"
)

// beating is a worker that has run a task and goes on sending heartbeats.
type beating struct {
	*rig
	w        *fakeWorker
	sequence uint64
}

const beatingBorn = model.Millis(1_000_000)

// beat sends a heartbeat of the worker, and reports whether it was acknowledged.
func (b *beating) beat() bool {
	b.sequence++
	return b.send(WorkerReport{Worker: b.w.worker, Sequence: b.sequence, Clock: b.w.clock()})
}

func (b *beating) send(r WorkerReport) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	result, err := b.engine.ReportWorker(ctx, r)
	return err == nil && !result.NotRecorded
}

// foreign sends a heartbeat of another writer under the worker's id.
func (b *beating) foreign(born model.Millis, sequence uint64, addr string) {
	w := b.w.worker
	w.Incarnation.StartedAt, w.Addr, w.CPUMillis = born, addr, 0
	b.send(WorkerReport{Worker: w, Sequence: sequence})
}

func (b *beating) recorded() (w workflow.Worker) {
	b.log.View(func(st *state.State) { w = *st.Workflows.Workers["a"] })
	return w
}

// within waits for a condition while the worker sends heartbeats.
func (b *beating) within(limit time.Duration, what string, condition func() bool) {
	b.t.Helper()
	for end := time.Now().Add(limit); !condition(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			b.t.Fatalf("not reached within %v: %s; recorded is %+v", limit, what, b.recorded())
		}
		b.beat()
	}
}

// changeLeader starts another engine on the same log.
func (b *beating) changeLeader() {
	b.stop()
	b.startEngine()
	b.until("the next leader leads", func() bool { return b.engine.currentLeadership() != nil })
}

// restart starts a new process of the worker at its address.
func (b *beating) restart(born model.Millis) {
	b.w = b.workers.add("a", born)
	b.sequence = 0
}

// Guards against a worker that gets no tasks for good although it is free, beats and answers, because
// another writer has sent a heartbeat under its id.
func TestForeignHeartbeatDoesNotReplaceWorker(t *testing.T) {
	for name, disturb := range map[string]func(*beating){
		"a start time far in the future": func(b *beating) { b.foreign(1<<62, 3, "nobody") },
		"a start time a minute later":    func(b *beating) { b.foreign(beatingBorn+60_000, 3, "nobody") },
		"the highest sequence number":    func(b *beating) { b.foreign(beatingBorn, math.MaxUint64, "nobody") },
		"a higher sequence number":       func(b *beating) { b.foreign(beatingBorn, 1000, "nobody") },
		"a deregistration of an earlier process": func(b *beating) {
			b.until("the deregistration is acknowledged", func() bool { _, err := b.engine.Deregister(b.t.Context(), "a"); return err == nil })
			time.Sleep(1300 * time.Millisecond)
		},
		"an earlier start time":         func(b *beating) { b.foreign(5, 1000, "nobody") },
		"the address of another worker": func(b *beating) { b.addWorker("b", 1).refusesStarts = true; b.foreign(beatingBorn, 1000, "addr-b") },
		"its own address":               func(b *beating) { b.foreign(beatingBorn, math.MaxUint64, "addr-a") },
		"no start time":                 func(b *beating) { b.foreign(0, 1000, "nobody") },
		"again and again": func(b *beating) {
			for i := range 5 {
				b.foreign(1<<62+model.Millis(i), 3, "nobody")
				b.beat()
			}
		},
		"while the worker is silent": func(b *beating) {
			b.w.withLock(func() { b.w.silent = true })
			time.Sleep(50 * time.Millisecond)
			b.foreign(1<<62, 3, "nobody")
			b.w.withLock(func() { b.w.silent = false })
		},
		"recorded before the leader changes": func(b *beating) {
			b.w.withLock(func() { b.w.silent = true })
			time.Sleep(50 * time.Millisecond)
			b.foreign(1<<62, 3, "nobody")
			b.changeLeader()
			b.w.withLock(func() { b.w.silent = false })
		},
		"recorded by an earlier version": func(b *beating) {
			foreign := b.recorded()
			foreign.Incarnation.StartedAt, foreign.Addr = 1<<62, "nobody"
			batch := &workflow.Batch{Workers: []workflow.Worker{foreign}}
			if _, err := b.log.Propose(context.Background(), state.Command{Workflow: &workflow.Command{Batch: batch}}); err != nil {
				b.t.Fatal(err)
			}
		},
		"another process at its address for a moment": func(b *beating) {
			other := b.workers.add("a", 7)
			b.until("the other process was called", func() bool { return other.holdCount() > 0 })
			b.workers.move(b.w, "addr-a")
		},
		"then a restart after the clock was set back": func(b *beating) {
			b.foreign(1<<62, 3, "nobody")
			b.restart(beatingBorn - 60_000)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := &beating{rig: newRig(t), sequence: 1}
			b.w = b.addWorker("a", beatingBorn)
			b.submit("first", oneTask)
			b.within(5*time.Second, "the first task runs", func() bool { return len(b.w.runningAttempts()) == 1 })
			disturb(b)
			b.submit("second", oneTask)
			b.within(5*time.Second, "both tasks run", func() bool { return len(b.w.runningAttempts()) == 2 })
			if b.w.overlap > 0 {
				t.Error("two attempts of a task ran at the same time")
			}
			if b.w.worker.Incarnation.StartedAt == beatingBorn && b.w.startedAttempts() != 2 {
				t.Errorf("%d attempts were started, want 2", b.w.startedAttempts())
			}
		})
	}
}

// Guards against a worker that is never used because another writer registered its id first.
func TestForeignHeartbeatBeforeTheFirstOwnOne(t *testing.T) {
	for name, foreign := range map[string]struct {
		born model.Millis
		addr string
	}{
		"a later start time": {1 << 62, "nobody"}, "its start time": {beatingBorn, "nobody"},
		"the address of another worker": {beatingBorn, "addr-b"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := &beating{rig: newRig(t)}
			b.addWorker("b", 1).refusesStarts = true
			b.w = b.workers.add("a", beatingBorn)
			b.foreign(foreign.born, 1000, foreign.addr)
			b.submit("j", oneTask)
			b.within(5*time.Second, "the task runs", func() bool { return len(b.w.runningAttempts()) == 1 })
		})
	}
}

// Guards against tasks that start on a worker whose draining was acknowledged but not recorded.
func TestDrainingIsRecordedBesideForeignHeartbeats(t *testing.T) {
	for name, disturb := range map[string]func(*beating){
		"a higher sequence number at its address": func(b *beating) { b.foreign(beatingBorn, math.MaxUint64, "addr-a") },
		"a higher sequence number":                func(b *beating) { b.foreign(beatingBorn, 1000, "nobody") },
		"a later start time": func(b *beating) {
			b.w.withLock(func() { b.w.silent = true })
			time.Sleep(50 * time.Millisecond)
			b.foreign(1<<62, 3, "nobody")
		},
		"its own draining before": func(b *beating) {
			b.w.worker.Draining = true
			b.until("the draining is acknowledged", b.beat)
			b.w.withLock(func() { b.w.silent = true })
			time.Sleep(50 * time.Millisecond)
			b.foreign(1<<62, 3, "nobody")
			b.w.worker.Draining = false // a heartbeat that was sent before
			b.w.withLock(func() { b.w.silent = false })
			b.until("the worker is known again", func() bool { b.beat(); return b.recorded().Addr == "addr-a" })
			b.w.worker.Draining = true
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := &beating{rig: newRig(t), sequence: 1}
			b.w = b.addWorker("a", beatingBorn)
			disturb(b)
			b.w.worker.Draining = true
			if b.beat() {
				if w := b.recorded(); w.Incarnation.StartedAt != beatingBorn || !w.Draining {
					t.Errorf("the draining was acknowledged, but the worker is recorded as %+v", w)
				}
			}
			b.w.withLock(func() { b.w.silent = false })
			b.within(5*time.Second, "the draining is recorded", func() bool {
				w := b.recorded()
				return w.Incarnation.StartedAt == beatingBorn && w.Draining
			})
		})
	}
}

// Guards against draining that is acknowledged but not recorded, because a heartbeat with a higher number
// waits for its commit.
func TestOutdatedDrainingIsAddedToThePendingReport(t *testing.T) {
	l := &leadership{reports: map[workflow.WorkerID]*pendingReport{}}
	w := workflow.Worker{Incarnation: workflow.Incarnation{Worker: "a", StartedAt: 1}, Addr: "a", CPUMillis: 1}
	l.queueReport(WorkerReport{Worker: w, Sequence: 9}, false)
	w.Draining, w.CPUMillis = true, 2
	l.queueReport(WorkerReport{Worker: w, Sequence: 8}, false)
	if p := l.reports["a"]; !p.worker.Draining || p.worker.CPUMillis != 1 || p.worker.ReportSequence != 9 {
		t.Errorf("the pending report is %+v", p.worker)
	}
}
