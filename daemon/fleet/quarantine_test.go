package fleet

import (
	"testing"
	"time"

	"samphirepaddle.example/core/workflow"
	"samphirepaddle.example/daemon/bootclock"
)

// Guards against a long-running task that stays down for the whole quarantine of the only worker with
// room, and against restarts in quick succession on a worker that fails every task.
func TestRestartOnTheOnlyWorkerDespiteItsQuarantine(t *testing.T) {
	l, st := planningLeadership(t, 1, 1, 0)
	w := st.Workflows.Workers[l.sortedWorkers(st.Workflows)[0]]
	s := l.sessions[w.Incarnation]
	for _, job := range []workflow.JobID{"a", "b", "c", "d"} {
		s.quarantine.recordFailure(job, bootclock.Now())
	}
	ends := uint64(0)
	restarts := func() int {
		p := &passPlan{}
		l.buildPlan(st, p)
		applyOrFail(t, st, workflow.Command{Batch: &p.batch})
		var failed []workflow.End
		st.Workflows.VisitOpenAttempts(w.Incarnation, func(a workflow.OpenAttempt) {
			ends++
			failed = append(failed, workflow.End{Incarnation: w.Incarnation, Number: ends, Attempt: a.Attempt, Kind: workflow.EndFailed})
		})
		applyOrFail(t, st, workflow.Command{Batch: &workflow.Batch{Ends: failed}})
		answer(st, s, 0)
		return len(p.batch.Assign)
	}
	restarts() // ends the attempts that ran before
	if got := restarts(); got != 1 {
		t.Errorf("%d tasks were restarted on the quarantined worker, want 1", got)
	}
	if got := restarts(); got != 0 {
		t.Errorf("%d tasks were restarted right after one that failed, want none", got)
	}
	s.pauseUntil = s.pauseUntil.Add(-quarantineStartInterval - time.Millisecond)
	if got := restarts(); got != 1 {
		t.Errorf("%d tasks were restarted after the interval, want 1", got)
	}
}
