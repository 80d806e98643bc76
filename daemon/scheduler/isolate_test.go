package scheduler

import (
	"fmt"
	"testing"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
)

// crashTargetOf replaces the process that runs the job and ends its attempts as lost.
func (w *site) crashTargetOf(id string) {
	w.t.Helper()
	target := w.job(id).OpenAttempt.Target
	var start string
	w.log.View(func(st *state.State) { start = fmt.Sprint("start-", st.Revision) })
	w.mustPropose(state.Command{ProposedAt: w.now, JoinTarget: &state.JoinTarget{Target: target, StartID: start, Pool: "shops", Capacity: model.Resources{Slots: 4}}})
	w.end(state.OutcomeLost, func(j *state.Job) bool { return j.OpenAttempt.Target == target })
}

// makeSuspect lets two targets end under the job.
func (w *site) makeSuspect(id string) {
	w.t.Helper()
	for range 2 {
		w.waitAssigned(id, 1)
		w.crashTargetOf(id)
	}
}

// waitAssigned plans up to n times until the job is assigned.
func (w *site) waitAssigned(id string, n int) {
	w.t.Helper()
	for range n {
		w.plan()
		if w.job(id).Phase == state.JobAssigned {
			return
		}
	}
	w.t.Fatalf("job %s is %s after %d plans", id, w.job(id).Phase, n)
}

// Guards against a job that ends its targets and takes other jobs with it each time.
func TestJobThatEndsItsTargetsIsGivenUpAlone(t *testing.T) {
	w := newSite(t, newSingleLog(), 4)
	for i := range 400 {
		w.submit(fmt.Sprint("sound", i), "a", 1, false)
		if i == 50 {
			w.submit("deadly", "a", 1, false)
		}
		w.plan()
		if i >= 50 && w.job("deadly").Phase == state.JobAssigned {
			w.crashTargetOf("deadly")
		}
		w.now += 2_000
		w.end(state.OutcomeFinished, func(j *state.Job) bool { return j.Spec.ID != "deadly" && w.now-j.OpenAttempt.AssignedAt > 30_000 })
	}
	if job := w.job("deadly"); job.Phase != state.JobFailed || job.Losses > 4 {
		t.Errorf("the deadly job is %s after %d losses", job.Phase, job.Losses)
	}
	for i := range 400 {
		if job := w.job(fmt.Sprint("sound", i)); job.Phase == state.JobFailed || job.Losses > 2 {
			t.Errorf("job sound%d is %s after %d losses", i, job.Phase, job.Losses)
		}
	}
}

// Guards against work that starts beside a suspect job, and against a target that stays closed once the job has proven sound.
func TestNothingStartsBesideASuspectJob(t *testing.T) {
	w := newSite(t, newSingleLog(), 1)
	w.submit("suspect", "a", 1, false)
	w.makeSuspect("suspect")
	w.waitAssigned("suspect", 1)
	w.submit("sound", "a", 1, false)
	for range 3 {
		w.plan()
		if w.job("sound").Phase != state.JobQueued {
			t.Fatal("a job was started beside a suspect one")
		}
		w.now += waitBeforeHold
	}
	w.now += state.SoundRunTime
	w.submit("late", "a", 1, false)
	w.waitAssigned("late", 2)
}

// Guards against a suspect job that waits for good because all targets run long jobs.
func TestSuspectJobStartsBesideLongJobsInTheEnd(t *testing.T) {
	w := newSite(t, newSingleLog(), 1)
	w.submit("suspect", "a", 1, false)
	w.makeSuspect("suspect")
	for i := range 3 {
		w.submit(fmt.Sprint("long", i), "b", 1, true)
	}
	w.plan()
	if w.job("suspect").Phase != state.JobQueued {
		t.Fatal("a suspect job was started beside others at once")
	}
	w.now += waitBeforeHold
	for range 3 {
		w.plan()
	}
	if w.job("suspect").Phase != state.JobQueued {
		t.Fatal("a suspect job was started beside others on the target that is kept free for it")
	}
	w.now += longWaitHold
	w.waitAssigned("suspect", 2)
}

// Guards against urgent jobs that wait until a suspect job has proven sound.
func TestUrgentJobStartsBesideASuspectJob(t *testing.T) {
	w := newSite(t, newSingleLog(), 1)
	w.submit("suspect", "a", 1, false)
	w.makeSuspect("suspect")
	w.waitAssigned("suspect", 1)
	w.submit("urgent", "b", 1, true)
	w.waitAssigned("urgent", 2)
}

// Guards against jobs that wait for good while suspect jobs run on the only target one after the other.
func TestSuspectJobsInTurnDoNotHoldBackOthers(t *testing.T) {
	w := newSite(t, newSingleLog(), 1)
	for i := range 4 {
		w.submit(fmt.Sprint("suspect", i), "a", 1, false)
	}
	for range 2 {
		w.plan()
		w.crashTargetOf("suspect0")
	}
	w.submit("sound", "a", 1, false)
	for range 4 {
		w.plan()
		w.plan()
		w.now += 4 * 60_000
		w.plan()
		if w.job("sound").Phase == state.JobAssigned {
			return
		}
		w.end(state.OutcomeFinished, func(*state.Job) bool { return true })
	}
	t.Error("the sound job waits for 16 minutes")
}
