package scheduler

import (
	"fmt"
	"testing"

	"samphirepaddle.example/core/state"
)

// Guards against urgent jobs that wait while a target is kept free for a large job that is not urgent.
func TestHoldForALargeJobDoesNotDelayUrgentJobs(t *testing.T) {
	for _, running := range []int{3, 4} {
		t.Run(fmt.Sprint(running), func(t *testing.T) {
			w := newSite(t, newSingleLog(), 1)
			for i := range running {
				w.submit(fmt.Sprint("small", i), "a", 1, false)
			}
			w.plan()
			w.submit("large", "b", 4, false)
			w.plan()
			w.now += waitBeforeHold
			w.plan()
			w.plan()
			w.submit("urgent", "a", 1, true)
			w.plan()
			w.end(state.OutcomeEvicted, func(j *state.Job) bool { return j.OpenAttempt.EvictionReason != "" })
			w.plan()
			if phase := w.job("urgent").Phase; phase != state.JobAssigned {
				t.Errorf("the urgent job is %s", phase)
			}
		})
	}
}
