package state

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"samphirepaddle.example/core/model"
)

// restart replaces the process of a target.
func (f *fixture) restart(target model.TargetID) {
	f.t.Helper()
	start := fmt.Sprint("start-", f.s.Revision)
	f.ok(Command{JoinTarget: &JoinTarget{Target: target, StartID: start, Pool: "shops", Capacity: model.Resources{Slots: 8}}})
}

// crash assigns the next attempt of the jobs and replaces their process before they end as lost.
func (f *fixture) crash(jobs ...model.JobID) {
	f.t.Helper()
	for _, id := range jobs {
		f.ok(f.assign(id, f.s.Jobs[id].Attempts+1))
	}
	f.restart("t1")
	for _, id := range jobs {
		f.ok(end(id, f.s.Jobs[id].Attempts, f.s.Targets["t1"].Epoch, OutcomeLost))
	}
}

func (f *fixture) wantPhase(id model.JobID, phase JobPhase) {
	f.t.Helper()
	if job := f.s.Jobs[id]; job.Phase != phase {
		f.t.Fatalf("job %s is %s after %d losses, want %s", id, job.Phase, job.Losses, phase)
	}
}

// Guards against a batch job that is started without end although each target that starts it ends.
func TestJobThatEndsItsTargetsIsGivenUp(t *testing.T) {
	f := newFixture(t)
	f.submit("a")
	for range 3 {
		f.wantPhase("a", JobQueued)
		f.crash("a")
	}
	f.wantPhase("a", JobFailed)
	if message := f.s.Jobs["a"].Message; !strings.Contains(message, "3 target processes ended") {
		t.Errorf("the reason is %q", message)
	}
}

// Guards against a limit that a target evades whose lease expires before its next process announces itself.
func TestJobThatEndsItsTargetsForLongIsGivenUp(t *testing.T) {
	f := newFixture(t)
	f.submit("a")
	for range 3 {
		f.wantPhase("a", JobQueued)
		f.ok(f.assign("a", f.s.Jobs["a"].Attempts+1))
		f.ok(Command{LoseTarget: &LoseTarget{"t1", f.s.Targets["t1"].Epoch}})
		f.wantPhase("a", JobQueued)
		f.restart("t1")
	}
	f.wantPhase("a", JobFailed)
}

// Guards against a job that is given up for targets that were only silent, cut off, leaving or handed over.
func TestLossesWithoutProcessEndDoNotFailAJob(t *testing.T) {
	f := newFixture(t)
	f.submit("a")
	for i := range 20 {
		number := f.s.Jobs["a"].Attempts + 1
		f.ok(f.assign("a", number))
		target := f.s.Targets["t1"]
		switch i % 4 {
		case 0: // the same process answers again, and ends when nothing runs on it
			f.ok(Command{LoseTarget: &LoseTarget{"t1", target.Epoch}})
			f.ok(Command{JoinTarget: &JoinTarget{Target: "t1", StartID: target.StartID, Pool: "shops", Capacity: model.Resources{Slots: 8}}})
			f.restart("t1")
		case 1: // it left
			f.ok(Command{LeaveTarget: &LeaveTarget{"t1", target.StartID}})
			f.restart("t1")
			f.ok(end("a", number, f.s.Targets["t1"].Epoch, OutcomeLost))
		case 2: // it left and was lost
			f.ok(Command{LeaveTarget: &LeaveTarget{"t1", target.StartID}})
			f.ok(Command{LoseTarget: &LoseTarget{"t1", target.Epoch}})
			f.restart("t1")
		case 3: // the attempt was never sent
			f.restart("t1")
			f.ok(end("a", number, f.s.Targets["t1"].Epoch, OutcomeRefused))
		}
		f.wantPhase("a", JobQueued)
	}
	if crashes := f.s.Jobs["a"].Crashes; crashes != 0 {
		t.Errorf("%d crashes are counted", crashes)
	}
}

// Guards against giving up the jobs that ran beside the one that ends targets.
func TestVictimsOfAJobThatEndsItsTargetsAreKept(t *testing.T) {
	f := newFixture(t)
	for _, id := range []model.JobID{"a", "b", "c"} {
		f.submit(id)
	}
	f.crash("a", "b", "c")
	f.crash("a", "b", "c")
	if !f.s.Jobs["a"].IsSuspect() {
		t.Fatal("the job does not run alone after two crashes")
	}
	f.crash("a")
	f.crash("a")
	f.wantPhase("a", JobFailed)
	f.wantPhase("b", JobQueued)
	f.wantPhase("c", JobQueued)
}

// Guards against a job without a target of its own that is repeated for good.
func TestJobThatNeverRunsAloneIsGivenUp(t *testing.T) {
	f := newFixture(t)
	f.submit("a")
	for i := range maxCrashes {
		f.wantPhase("a", JobQueued)
		other := model.JobID(fmt.Sprint("other", i))
		f.submit(other)
		f.crash("a", other)
	}
	f.wantPhase("a", JobFailed)
}

// Guards against a long job that is given up for crashes far apart, between which it ran all the while.
func TestCrashesFarApartDoNotFailAJob(t *testing.T) {
	f := newFixture(t)
	f.submit("a")
	for range 20 {
		f.ok(f.assign("a", f.s.Jobs["a"].Attempts+1))
		f.s.Now += SoundRunTime
		f.restart("t1")
		f.ok(end("a", f.s.Jobs["a"].Attempts, f.s.Targets["t1"].Epoch, OutcomeLost))
		f.wantPhase("a", JobQueued)
	}
}

// Guards against attempts that never started and clear a job that ends its targets.
func TestRefusalDoesNotClearAJob(t *testing.T) {
	f := newFixture(t)
	f.submit("a")
	f.crash("a")
	f.crash("a")
	f.ok(f.assign("a", 3))
	f.s.Now += SoundRunTime
	f.ok(end("a", 3, f.s.Targets["t1"].Epoch, OutcomeRefused))
	f.crash("a")
	f.wantPhase("a", JobFailed)
}

// Guards against ending a job while its attempt may still run.
func TestJobOverTheLimitEndsWithItsAttempt(t *testing.T) {
	f := newFixture(t)
	f.submit("a")
	f.ok(Command{JoinTarget: &JoinTarget{Target: "t2", StartID: "p", Pool: "shops", Capacity: model.Resources{Slots: 8}}})
	f.crash("a")
	f.crash("a")
	f.ok(f.assign("a", 3))
	f.ok(Command{LoseTarget: &LoseTarget{"t1", f.s.Targets["t1"].Epoch}})
	next := f.assign("a", 4)
	next.AssignAttempt.Target, next.AssignAttempt.Epoch = "t2", f.s.Targets["t2"].Epoch
	f.ok(next)
	f.restart("t1")
	f.wantPhase("a", JobAssigned)
	f.ok(end("a", 4, f.s.Targets["t2"].Epoch, OutcomeEvicted))
	f.wantPhase("a", JobFailed)
}

// Guards against a restored replica that has forgotten the crashes, and gives a job up later than the others.
func TestCrashesSurviveARestore(t *testing.T) {
	f := newFixture(t)
	f.submit("a")
	f.submit("b")
	f.crash("a")
	f.ok(f.assign("a", 2))
	f.ok(Command{LoseTarget: &LoseTarget{"t1", f.s.Targets["t1"].Epoch}})
	f.restart("t1")
	f.ok(f.assign("a", 3))
	f.restart("t1")
	before, err := f.s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if f.s, err = Restore(before); err != nil {
		t.Fatal(err)
	}
	if after, err := f.s.Snapshot(); err != nil || !bytes.Equal(before, after) {
		t.Fatalf("the snapshot of the restored state differs, %v", err)
	}
	f.ok(end("a", 3, f.s.Targets["t1"].Epoch, OutcomeLost))
	f.wantPhase("a", JobFailed)
}
