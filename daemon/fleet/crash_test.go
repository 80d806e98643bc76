package fleet

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/workflow"
	"samphirepaddle.example/daemon/bootclock"
)

// crashingPool is a set of fake workers of which each crashes when it starts a task of job poison,
// and is followed by another worker at its address.
type crashingPool struct {
	rig *rig

	mu      sync.Mutex
	next    int
	crashes int
	stay    bool     // workers that crash are not replaced
	vacant  []string // addresses of workers that crashed and were not replaced
}

func newCrashingPool(r *rig, workers int) *crashingPool {
	p := &crashingPool{rig: r}
	for i := range workers {
		p.replace(fmt.Sprintf("addr-%d", i))
	}
	return p
}

// replace adds a worker at the address in place of the one that listens there.
func (p *crashingPool) replace(addr string) {
	p.mu.Lock()
	p.next++
	id := fmt.Sprintf("w%d", p.next)
	p.mu.Unlock()
	w := p.rig.workers.add(id, model.Millis(1))
	w.delayStart = func(a workflow.Attempt) bool {
		if a.Task.Job != "poison" {
			return false
		}
		go p.crash(w)
		return true
	}
	p.rig.workers.move(w, addr)
	p.rig.report(w)
}

func (p *crashingPool) crash(w *fakeWorker) {
	p.mu.Lock()
	p.crashes++
	stay := p.stay
	if stay {
		p.vacant = append(p.vacant, w.worker.Addr)
	}
	p.mu.Unlock()
	w.withLock(func() { w.silent = true })
	if stay {
		return
	}
	time.Sleep(crashedFor)
	p.replace(w.worker.Addr)
}

// crashedFor is the time between the crash of a worker and the start of the next one at its address.
const crashedFor = 50 * time.Millisecond

func (p *crashingPool) crashCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.crashes
}

func (r *rig) status(job workflow.JobID) (status workflow.JobStatus) {
	r.log.View(func(st *state.State) { status, _ = st.Workflows.StatusOf(job) })
	return status
}

// maxCrashStarts is the number of starts of a task that crashes its workers: three, and two more.
const maxCrashStarts = 5

// Guards against a task that crashes worker after worker, also when the leader changes meanwhile.
func TestTaskThatCrashesItsWorkersStopsStarting(t *testing.T) {
	for _, leaderChanges := range []bool{false, true} {
		t.Run(fmt.Sprintf("leader changes %v", leaderChanges), func(t *testing.T) {
			r := newRig(t)
			p := newCrashingPool(r, 3)
			r.submit("sound", workflow.StepSpec{Count: 3, CPUMillis: 100, LongRunning: true})
			r.submit("poison", workflow.StepSpec{Count: 1, CPUMillis: 100})
			if leaderChanges {
				r.until("a worker has crashed", func() bool { return p.crashCount() >= 1 })
				r.stop()
				r.startEngine()
			}
			r.until("the job has failed or its task starts too often", func() bool {
				return r.status("poison") == workflow.StatusFailed || p.crashCount() > maxCrashStarts
			})
			if status, crashes := r.status("poison"), p.crashCount(); status != workflow.StatusFailed || crashes > maxCrashStarts {
				t.Errorf("the job is %s after %d workers have crashed under its task", status, crashes)
			}
			r.untilBegunOrEnded("sound")
			if status := r.status("sound"); status != workflow.StatusRunning {
				t.Errorf("the job that ran beside it is %s", status)
			}
		})
	}
}

// Guards against a task that is given up for crashes of workers that had ended before it was to start
// there, and against one that waits until a worker that refuses connections is proven to have ended.
func TestStartWithoutConnectionDoesNotCountAsCrash(t *testing.T) {
	r := newRig(t)
	ended := map[string]*fakeWorker{}
	for i := range refusingWorkers {
		w := r.addWorker(fmt.Sprintf("w%d", i), 1)
		w.refusesStarts = true
		ended[w.worker.Addr] = w
	}
	r.submit("j", workflow.StepSpec{Count: 1, CPUMillis: 100, LongRunning: true})
	for len(ended) > 0 {
		r.until("a start was refused", func() bool { return refusedBy(ended) != nil || r.status("j") == workflow.StatusFailed })
		w := refusedBy(ended)
		if w == nil {
			t.Fatal("the job has failed, although its task never ran")
		}
		delete(ended, w.worker.Addr)
		next := r.workers.add("next-"+string(w.worker.Incarnation.Worker), 1)
		next.refusesStarts = true
		r.workers.move(next, w.worker.Addr)
		r.until("the crash is recorded", func() bool { return r.crashed(w) })
	}
	sound := r.addWorker("sound", 1)
	r.until("the task runs", func() bool { return len(sound.runningAttempts()) == 1 })
}

// refusingWorkers exceeds the number of crashes after which any task is given up.
const refusingWorkers = 6

// refusedBy returns a worker that has refused a start, or nil.
func refusedBy(workers map[string]*fakeWorker) (found *fakeWorker) {
	for _, w := range workers {
		w.withLock(func() {
			if w.refused > 0 {
				found = w
			}
		})
	}
	return found
}

// heldBackFor is much longer than a worker with room takes to start a task that waits.
const heldBackFor = 1500 * time.Millisecond

// Guards against a task that takes down worker after worker before any of their crashes is proven: after
// three it starts once more, alone on its worker.
func TestTaskIsHeldBackWhileItsWorkersAreSilent(t *testing.T) {
	for _, leaderChanges := range []bool{false, true} {
		t.Run(fmt.Sprintf("leader changes %v", leaderChanges), func(t *testing.T) {
			r := newRig(t)
			p := newCrashingPool(r, 6)
			p.stay = true
			r.submit("poison", workflow.StepSpec{Count: 1, CPUMillis: 100})
			if leaderChanges {
				r.until("two workers have crashed", func() bool { return p.crashCount() == 2 })
				r.stop()
				r.startEngine()
			}
			r.until("four workers have crashed and the task waits", func() bool { return p.crashCount() > 4 || r.waitsAfter("poison", 4) })
			time.Sleep(heldBackFor)
			if crashes := p.crashCount(); crashes != 4 {
				t.Fatalf("%d workers crashed under the task before any crash was proven, want 4", crashes)
			}
			for _, addr := range p.vacant {
				p.replace(addr)
			}
			r.until("the job has failed", func() bool { return r.status("poison") == workflow.StatusFailed || p.crashCount() > 4 })
			if crashes := p.crashCount(); crashes != 4 {
				t.Errorf("%d workers crashed under the task, want 4", crashes)
			}
		})
	}
}

// Guards against tasks that start beside one under which several workers may have crashed.
func TestWorkerOfTaskThatStartsAloneIsIsolated(t *testing.T) {
	l, st := planningLeadership(t, 1, 0, 1)
	s := l.sessions[st.Workflows.OpenIncarnations()[0]]
	attempt := workflow.Attempt{Task: workflow.TaskKey{Job: "timed0"}, Number: 1}
	l.startAlone = map[workflow.TaskKey]bool{attempt.Task: true}
	for _, c := range []struct {
		ran  time.Duration
		want bool
	}{{0, true}, {time.Duration(workflow.CrashWindow) * time.Millisecond, false}} {
		s.orders[attempt].answeredAt = s.listReceivedAt.Add(-c.ran)
		if l.allocations(st.Workflows, s, nil, bootclock.Now()); s.isolated != c.want {
			t.Errorf("the worker is isolated %v after the task ran for %v, want %v", s.isolated, c.ran, c.want)
		}
	}
}

// Guards against new leaders that make suspects of all tasks on workers that crashed before their term. Each
// suspect starts alone, so that hundreds of them wait for seconds beside free workers.
func TestAttemptsOfEarlierLeadersAreNotSuspectedOfCrashes(t *testing.T) {
	for name, c := range map[string]struct {
		change func(l *leadership, s *session)
		want   bool // all tasks are suspects
	}{
		"the worker never answered this leader": {func(l *leadership, s *session) { delete(l.sessions, s.incarnation) }, false},
		"the attempts were never listed":        {func(_ *leadership, s *session) { s.orders = map[workflow.Attempt]*order{} }, false},
		"this leader has just started them": {func(_ *leadership, s *session) {
			for _, o := range s.orders {
				o.phase, o.answeredAt, s.aliveAt = startAnswered, bootclock.Now(), bootclock.Now()
			}
		}, true},
		"this leader has sent the starts": {func(_ *leadership, s *session) {
			for _, o := range s.orders {
				o.phase = startSent
			}
		}, true},
	} {
		for _, silentBefore := range []bool{false, true} {
			l, st := planningLeadership(t, 1, 1, 0)
			incarnation := st.Workflows.OpenIncarnations()[0]
			c.change(l, l.sessions[incarnation])
			if silentBefore {
				silent := workflow.Crash{Incarnation: incarnation, Attempts: l.possibleCauses(incarnation, nil, st.Workflows, nil)}
				batch := workflow.Batch{Lapsed: []workflow.Crash{silent}}
				for _, a := range silent.Attempts {
					batch.Lost = append(batch.Lost, workflow.LostAttempt{Incarnation: incarnation, Attempt: a.Attempt})
				}
				applyOrFail(t, st, workflow.Command{Batch: &batch})
			}
			p := &passPlan{}
			l.addCrash(incarnation, nil, st.Workflows, nil, p)
			applyOrFail(t, st, workflow.Command{Batch: &p.batch})
			job, suspects := st.Workflows.Jobs["lasting0"], 0
			for i := range job.Steps[0].Count {
				if job.IsSuspect(workflow.TaskKey{Job: job.ID, Index: i}) {
					suspects++
				}
			}
			if want := map[bool]int{true: job.Steps[0].Count}[c.want]; suspects != want {
				t.Errorf("%s, lost by silence before %v: %d of %d tasks are suspects, want %d", name, silentBefore, suspects, job.Steps[0].Count, want)
			}
		}
	}
}

// waitsAfter reports whether the only task of the job waits after the attempt.
func (r *rig) waitsAfter(job workflow.JobID, attempt uint32) (waits bool) {
	r.log.View(func(st *state.State) {
		if run := st.Workflows.Jobs[job].Runs[0]; run != nil {
			task := run.Steps[0].Tasks[0]
			waits = task.Phase == workflow.TaskWaiting && task.Attempt == attempt
		}
	})
	return waits
}

// Guards against a task that is given up for crashes of workers that had stopped it before: they were
// silent, answered again, and crashed when it ran elsewhere.
func TestCrashAfterSilenceDoesNotCountForStoppedTask(t *testing.T) {
	r := newRig(t)
	workers := []*fakeWorker{r.addWorker("a", 1), r.addWorker("b", 1), r.addWorker("c", 1), r.addWorker("d", 1)}
	r.submit("j", workflow.StepSpec{Count: 1, CPUMillis: 100, LongRunning: true})
	running := func() *fakeWorker { return soleRunner(workers...) }
	for range len(workers) - 1 {
		r.until("a worker runs the task", func() bool { return running() != nil })
		silent := running()
		silent.withLock(func() { silent.silent = true })
		workers = slices.DeleteFunc(workers, func(w *fakeWorker) bool { return w == silent })
		r.until("another worker runs the task", func() bool { return running() != nil })
		holds := silent.holdCount()
		silent.withLock(func() {
			silent.silent = false
			for a := range silent.running {
				silent.end(a, workflow.EndLeaseExpired)
			}
		})
		r.until("the worker has answered", func() bool { return silent.holdCount() > holds+1 })
		next := r.workers.add("next-"+string(silent.worker.Incarnation.Worker), 1)
		r.workers.move(next, silent.worker.Addr)
		r.report(next)
		r.until("the crash is recorded", func() bool { return r.crashed(silent) })
	}
	if status := r.status("j"); status != workflow.StatusRunning {
		t.Errorf("the job is %s, although no worker has crashed under its task", status)
	}
}

func (r *rig) crashed(w *fakeWorker) (crashed bool) {
	r.log.View(func(st *state.State) { crashed = st.Workflows.Workers[w.worker.Incarnation.Worker].Crashed })
	return crashed
}

// maxSilences exceeds the number of crashes after which a sole suspect is given up.
const maxSilences = 4

// Guards against a silent worker that is taken for a crashed one.
func TestSilentWorkersAreNotCountedAsCrashed(t *testing.T) {
	r := newRig(t)
	workers := []*fakeWorker{r.addWorker("a", 1), r.addWorker("b", 1)}
	r.submit("j", workflow.StepSpec{Count: 1, CPUMillis: 100, LongRunning: true})
	runsOn := func() int {
		for i, w := range workers {
			if len(w.runningAttempts()) > 0 {
				return i
			}
		}
		return -1
	}
	for range maxSilences {
		r.until("a worker runs the task", func() bool { return runsOn() >= 0 })
		silent := workers[runsOn()]
		other := workers[1-runsOn()]
		silent.withLock(func() { silent.silent = true })
		r.until("the other worker runs the task", func() bool { return len(other.runningAttempts()) > 0 })
		silent.withLock(func() {
			silent.silent = false
			for a := range silent.running {
				silent.end(a, workflow.EndLeaseExpired)
			}
		})
	}
	if status := r.status("j"); status != workflow.StatusRunning {
		t.Errorf("the job is %s after its workers were silent", status)
	}
}

// Guards against a job that is given up although its task never ran: the VMs to which it was to start had just lost
// their power.
func TestStartsThatReachNoLivingWorkerDoNotGiveUpAJob(t *testing.T) {
	r := newRig(t)
	r.submit("j", oneTask)
	for i := range refusingWorkers {
		w := r.workers.add(fmt.Sprintf("w%d", i), 1)
		w.withLock(func() { w.powerLossAt = 2 })
		r.report(w)
		r.until("the worker and the start get no answer", func() bool {
			ignored := 0
			w.withLock(func() { ignored = w.ignored })
			return ignored >= 2
		})
		next := r.workers.add(fmt.Sprintf("next%d", i), 1)
		r.workers.move(next, w.worker.Addr)
		r.until("the crash is recorded", func() bool { return r.crashed(w) })
	}
	sound := r.addWorker("sound", 1)
	r.until("the task runs or the job has failed", func() bool { return len(sound.runningAttempts()) == 1 || r.status("j") == workflow.StatusFailed })
	r.untilBegunOrEnded("j")
	if status := r.status("j"); status != workflow.StatusRunning {
		t.Errorf("the job is %s, although its task never ran before", status)
	}
}
