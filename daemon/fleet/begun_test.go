package fleet

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/workflow"
	"samphirepaddle.example/daemon/bootclock"
)

// shown returns what callers are told of the queue and of job j.
func (r *rig) shown() (pending int, status workflow.JobStatus) {
	r.t.Helper()
	r.until("the leader answers", func() bool {
		queue, err := r.engine.Lookup(context.Background(), Query{Host: "h", Path: "/q/"})
		if err != nil {
			return false
		}
		job, err := r.engine.Lookup(context.Background(), Query{Host: "h", Path: "/q/j"})
		pending, status = queue.Pending, job.Status
		return err == nil && queue.Queue && job.Code == state.CodeOK
	})
	return pending, status
}

// wantBegun waits until the job is shown as begun, for as long as the number of pending jobs may be old.
func (r *rig) wantBegun(when string) {
	r.t.Helper()
	began := time.Now()
	r.until(when+" the job is shown as running", func() bool {
		pending, status := r.shown()
		return pending == 0 && status == workflow.StatusRunning
	})
	if took := time.Since(began); took > 2*time.Second {
		r.t.Errorf("%s the job is shown as running after %v, want 2 s at most", when, took)
	}
}

// untilBegunOrEnded waits until the job is not queued any more. An ended job stays ended.
func (r *rig) untilBegunOrEnded(id string) {
	r.t.Helper()
	r.until("job "+id+" has begun or ended", func() bool { return r.jobStatus(id) != workflow.StatusQueued })
}

// Guards against a job that is shown as running, and not counted as pending, while its task was only assigned to
// a worker that does not answer.
func TestJobIsPendingWhileItsStartIsNotAnswered(t *testing.T) {
	r := newRig(t)
	r.lease = silentLease
	r.changeLeader()
	a := r.workers.add("a", 1)
	sent := make(chan struct{}, 1)
	a.delayStart = func(workflow.Attempt) bool {
		a.silent = true
		sent <- struct{}{}
		return true
	}
	r.report(a)
	r.submit("j", oneTask)
	<-sent
	for range 10 {
		time.Sleep(100 * time.Millisecond)
		if pending, status := r.shown(); pending != 1 || status != workflow.StatusQueued {
			t.Fatalf("%d jobs are pending, want 1; the job is %s, want queued", pending, status)
		}
	}
	b := r.addWorker("b", 1)
	a.withLock(func() { a.silent, a.delayStart = false, nil })
	r.until("the task runs", func() bool { return soleRunner(a, b) != nil })
	r.wantBegun("after the start was answered")
}

// Guards against a job that stays queued although its task runs: the start was executed but not answered, or an
// earlier leader got the answer and did not record it.
func TestListedTaskProvesThatItsJobHasBegun(t *testing.T) {
	r := newRig(t)
	a := r.workers.add("a", 1)
	a.panics = true
	r.report(a)
	r.submit("j", oneTask)
	r.until("the task runs", func() bool { return len(a.runningAttempts()) == 1 })
	r.wantBegun("after the worker listed it")
	assignWithoutStart(r, a)
	never := workflow.Attempt{Task: workflow.TaskKey{Job: "never"}, Number: 1}
	a.withLock(func() { a.running[never] = "" })
	r.changeLeader()
	r.until("the job that an earlier leader started is shown as running", func() bool { return r.jobStatus("never") == workflow.StatusRunning })
	if a.startedAttempts() != 1 {
		t.Errorf("%d attempts were started, want 1", a.startedAttempts())
	}
}

// Guards against a job that counts as begun because a worker lists an attempt that no leader has assigned.
func TestListOfAnUnknownAttemptProvesNothing(t *testing.T) {
	r := newRig(t)
	a := r.workers.add("a", 1)
	other := workflow.Attempt{Task: workflow.TaskKey{Job: "j"}, Number: 9}
	a.running[other] = ""
	r.submit("j", workflow.StepSpec{Count: 1, CPUMillis: 1000, RequiredLabel: "none"})
	r.report(a)
	r.until("the worker was asked to stop it", func() bool { return len(a.runningAttempts()) == 0 })
	time.Sleep(2 * beginInterval)
	if pending, status := r.shown(); pending != 1 || status != workflow.StatusQueued {
		t.Errorf("%d jobs are pending, want 1; the job is %s, want queued", pending, status)
	}
}

// Guards against an entry of the log for each start, against batches without bound, and against evidence that is
// dropped because its batch was not committed.
func TestBegunJobsAreRecordedTogether(t *testing.T) {
	const jobs = maxBatchBegun + 100
	l := &leadership{}
	st := workflow.New()
	routing := &model.Routing{Routes: []model.Route{{Name: "q", Host: "h", PathPrefix: "/q/", Service: "s"}}}
	apply := func(c workflow.Command) {
		if outcome, message := st.Apply(1, routing, &c); outcome != workflow.Accepted {
			t.Fatal(message)
		}
	}
	w := workflow.Worker{Incarnation: workflow.Incarnation{Worker: "a", StartedAt: 1}}
	start := workflow.Batch{Workers: []workflow.Worker{w}}
	for i := range jobs {
		id := fmt.Sprintf("j%04d", i)
		apply(workflow.Command{Submit: &workflow.Submission{Host: "h", Path: "/q/" + id, Steps: []workflow.StepSpec{oneTask}}})
		attempt := workflow.Attempt{Task: workflow.TaskKey{Job: workflow.JobID(id)}, Number: 1}
		start.Assign = append(start.Assign, workflow.Assignment{Attempt: attempt, Incarnation: w.Incarnation})
		l.noteBegun(attempt, "a", 1)
	}
	apply(workflow.Command{Batch: &start})
	end := workflow.End{Incarnation: w.Incarnation, Number: 1, Attempt: start.Assign[0].Attempt, Kind: workflow.EndStopped}
	apply(workflow.Command{Batch: &workflow.Batch{Ends: []workflow.End{end}}})
	now := bootclock.Time(1)
	pass := func(after time.Duration, want int) workflow.Batch {
		t.Helper()
		now = now.Add(after)
		p := &passPlan{}
		l.addBegun(st, now, p)
		if len(p.batch.Begun) != want || p.empty() != (want == 0) {
			t.Fatalf("%d jobs in a batch, want %d", len(p.batch.Begun), want)
		}
		return p.batch
	}
	pass(beginInterval-1, 0)
	lost := pass(1, maxBatchBegun)
	pass(1, 0)
	again := pass(beginInterval, maxBatchBegun)
	if !slices.Equal(lost.Begun, again.Begun) || again.Begun[0] != "j0001" {
		t.Errorf("the batch begins with %v, the one that was not committed began with %v", again.Begun[:2], lost.Begun[:2])
	}
	apply(workflow.Command{Batch: &again})
	pass(beginInterval-1, 0)
	last := pass(1, jobs-maxBatchBegun-1)
	apply(workflow.Command{Batch: &last})
	if pending := st.PendingJobs("q"); pending != 0 {
		t.Errorf("%d jobs are pending, want 0", pending)
	}
	pass(beginInterval, 0)
}
