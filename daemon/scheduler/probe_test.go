package scheduler

import (
	"fmt"
	"testing"

	"samphirepaddle.example/core/state"
)

// quarantineOnly lets four urgent jobs fail on the target t0, which is quarantined then.
func (w *site) quarantineOnly() {
	w.t.Helper()
	for i := range 4 {
		w.submit(fmt.Sprint("j", i), "a", 1, true)
	}
	w.plan()
	w.end(state.OutcomeFailed, func(*state.Job) bool { return true })
	w.plan()
	w.log.View(func(st *state.State) {
		if st.Targets["t0"].QuarantineReason == "" {
			w.t.Fatal("four different jobs failed and the target is not in quarantine")
		}
	})
}

// Guards against urgent jobs that wait beside free targets without end because only other jobs serve as probes.
func TestQuarantineEndsWhenOnlyUrgentJobsWait(t *testing.T) {
	w := newSite(t, newSingleLog(), 1)
	w.quarantineOnly()
	for range 6 {
		w.now += 10_000
		w.plan()
		w.end(state.OutcomeFinished, func(*state.Job) bool { return true })
	}
	for i := range 4 {
		if phase := w.job(fmt.Sprint("j", i)).Phase; phase != state.JobFinished {
			t.Errorf("urgent job j%d is %s after a minute in which the target was sound and free", i, phase)
		}
	}
}

// Guards against urgent jobs as probes while others wait or a sound target has room for them.
func TestUrgentJobsAreTheLastProbes(t *testing.T) {
	w := newSite(t, newSingleLog(), 1)
	w.quarantineOnly()
	w.submit("other", "b", 1, false)
	w.now += 20_000
	w.plan()
	if w.job("other").Phase != state.JobAssigned {
		t.Errorf("the job that is not urgent is %s", w.job("other").Phase)
	}
	w.end(state.OutcomeFailed, func(*state.Job) bool { return true })
	w.plan()
	w.join("t1", 8)
	w.now += 600_000
	w.plan()
	for i := range 4 {
		job := w.job(fmt.Sprint("j", i))
		if job.Phase != state.JobAssigned || job.OpenAttempt.Target != "t1" {
			t.Errorf("urgent job j%d is %s and not on the sound target", i, job.Phase)
		}
	}
}

// Guards against a quarantine that never ends because the assignment of a probe was not committed.
func TestProbeThatIsNotCommittedIsRepeated(t *testing.T) {
	w := newSite(t, newSingleLog(), 1)
	w.quarantineOnly()
	w.submit("probe", "b", 1, false)
	w.now += 20_000
	var commands []state.Command
	w.log.View(func(st *state.State) { commands = w.s.planner.decide(st, nil, nil, w.now) })
	if len(commands) != 1 || commands[0].AssignAttempt == nil {
		t.Fatalf("a probe is due, the plan is %+v", commands)
	}
	commands[0].ProposedAt = w.now
	w.s.finishProposal(0, commands[0], false)
	for range 6 {
		w.now += 10_000
		w.plan()
		w.end(state.OutcomeFinished, func(*state.Job) bool { return true })
	}
	if phase := w.job("probe").Phase; phase != state.JobFinished {
		t.Errorf("the job is %s after a minute in which the target was sound and free", phase)
	}
}
