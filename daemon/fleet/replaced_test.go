package fleet

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"samphirepaddle.example/core/workflow"
)

// Guards against tasks that wait for ever: the start of one got no answer, and the process that followed answered a
// hold call and ended before it answered a stop of the attempt, or listed the attempt and ended.
func TestReplacementThatEndsAfterItsFirstAnswer(t *testing.T) {
	other := func(r *rig, _ *fakeWorker) *fakeWorker { // another worker starts at the address
		c := r.workers.add("c", 3)
		r.workers.move(c, "addr-a")
		r.report(c)
		return c
	}
	elsewhere := func(r *rig, _ *fakeWorker) *fakeWorker { return r.addWorker("c", 3) }
	changeLeader := func(r *rig, _ *fakeWorker) *fakeWorker {
		r.changeLeader()
		return r.addWorker("c", 3)
	}
	deregister := func(r *rig, _ *fakeWorker) *fakeWorker {
		r.deregister("a")
		return r.addWorker("c", 3)
	}
	thirdLife := func(r *rig, _ *fakeWorker) *fakeWorker {
		c := r.workers.add("a", 3)
		r.report(c)
		return c
	}
	for name, c := range map[string]struct {
		executes bool // the process that followed has executed the start
		then     func(*rig, *fakeWorker) *fakeWorker
	}{
		"another worker starts at its address":                  {false, other},
		"another worker starts at its address, it ran the task": {true, other},
		"it is silent for good":                                 {false, elsewhere},
		"it is silent for good and runs the task":               {true, elsewhere},
		"it is silent, and the leader changes":                  {true, changeLeader},
		"it deregisters":                                        {true, deregister},
		"a third process follows":                               {false, thirdLife},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, a := newStrayRig(t)
			first := r.failStart(a, oneTask)
			next := r.restart()
			next.withLock(func() {
				next.silentAfter = 2 // the leader's call before the restart is recorded is the first
				if c.executes {
					if err := next.start(first); err != nil {
						t.Errorf("the next process refuses the start: %v", err)
					}
				}
			})
			r.report(next)
			r.until("the next process falls silent", func() bool { return next.holdCount() >= 2 })
			r.until("the metrics show the open attempt", func() bool { return r.gauge(formerAttemptsGauge) == 1 })
			began := time.Now()
			runner := c.then(r, next)
			r.until("the task runs on the worker that is left", func() bool { return len(runner.runningAttempts()) == 1 })
			r.until("the metrics show no open attempt", func() bool { return r.gauge(formerAttemptsGauge) == 0 })
			moved := r.workers.current("addr-a") != next
			next.withLock(func() {
				if now := next.clock(); !moved && now <= next.until {
					t.Errorf("the task was started elsewhere at %d ms, the lease of the silent worker ends at %d ms", now, next.until)
				}
			})
			if waited := time.Since(began); waited > strayLimit+testCallDelay+unreachableAfter+2*time.Second {
				t.Errorf("the task waited for %v", waited)
			}
		})
	}
}

// failStart submits job j, a task whose start gets no answer from the worker, and returns the call.
func (r *rig) failStart(w *fakeWorker, task workflow.StepSpec) (call StartCall) {
	r.t.Helper()
	w.withLock(func() { w.delayStart = func(workflow.Attempt) bool { return true } })
	r.submit("j", task)
	r.until("the start is sent", func() bool {
		sent := false
		w.withLock(func() {
			if sent = len(w.delayed) > 0; sent {
				call = w.delayed[0]
			}
		})
		return sent
	})
	return call
}

func (r *rig) gauge(name string) int64 {
	return metrics.GetOrRegisterGauge(name, r.engine.opts.Metrics.registry).Value()
}

// current returns the worker at the address.
func (f *fakeWorkers) current(addr string) *fakeWorker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byAddr[addr]
}

// Guards against a worker over its capacity: the room of an attempt whose start the next process may still execute
// was given to another task.
func TestStartForTheFormerProcessHoldsItsRoom(t *testing.T) {
	t.Parallel()
	const most = 3000 // millicores, of the 4000 of a worker
	r, a := newStrayRig(t)
	r.failStart(a, workflow.StepSpec{Count: 1, CPUMillis: most})
	next := r.restart()
	next.withLock(func() { next.ignoresStops = true })
	r.report(next)
	r.until("the next process answers", func() bool { return r.answers(next) })
	r.submit("other", workflow.StepSpec{Count: 1, CPUMillis: most})
	time.Sleep(5 * maxPassInterval)
	if started := next.startedAttempts(); started != 0 {
		t.Errorf("%d tasks were started beside an attempt that the worker may start at any time", started)
	}
	next.withLock(func() { next.ignoresStops = false })
	r.until("a task starts once the attempt is stopped", func() bool { return next.startedAttempts() == 1 })
}
