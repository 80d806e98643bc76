package fleet

import (
	"testing"
	"time"

	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/workflow"
)

// Guards against sound tasks that start one after the other, each alone on a worker, because their worker
// crashed around a change of leader: the new leader counted each as the possible cause of the crash.
func TestLongRunsUnderAnEarlierLeaderAreNoSuspects(t *testing.T) {
	r := newRig(t)
	r.lease = silentLease
	r.changeLeader()
	a := r.addWorker("a", 1)
	submit := func(id string, running int) {
		r.submit(id, workflow.StepSpec{Count: 1, CPUMillis: 100, LongRunning: true})
		r.until("the task runs", func() bool { return len(a.runningAttempts()) == running })
	}
	submit("long", 1)
	time.Sleep(unreachableAfter + 2*maxPassInterval + orderTimeout + 2*time.Duration(workflow.CrashWindow)*time.Millisecond)
	submit("recent", 2)
	a.withLock(func() { a.silent = true })
	r.stop()
	restarted := r.workers.add("a", 2)
	r.startEngine()
	r.report(restarted)
	r.until("the tasks run again", func() bool { return len(restarted.runningAttempts()) == 2 })
	r.log.View(func(st *state.State) {
		for id, want := range map[workflow.JobID]bool{"long": false, "recent": true} {
			if got := st.Workflows.Jobs[id].IsSuspect(workflow.TaskKey{Job: id}); got != want {
				t.Errorf("task of job %s: suspect is %t, want %t", id, got, want)
			}
		}
	})
}
