package scheduler

import (
	"fmt"
	"testing"

	"samphirepaddle.example/core/state"
)

// refuse ends the open attempts of a job as refused.
func (w *site) refuse(id string) (refused int) {
	w.end(state.OutcomeRefused, func(j *state.Job) bool {
		if string(j.Spec.ID) != id {
			return false
		}
		refused++
		return true
	})
	return refused
}

// Guards against a job that every target refuses and that keeps new work off all of them.
func TestJobThatTargetsRefuseDoesNotCloseThem(t *testing.T) {
	w := newSite(t, newSingleLog(), 3)
	w.submit("refused", "a", 1, false)
	refusals := 0
	for range 3000 { // five minutes
		w.plan()
		refusals += w.refuse("refused")
	}
	if refusals > 60 {
		t.Errorf("%d attempts in five minutes", refusals)
	}
	for i := range 20 {
		id := fmt.Sprint("urgent", i)
		w.submit(id, "b", 1, true)
		for range 21 { // 2.1 s
			w.plan()
			w.refuse("refused")
		}
		if phase := w.job(id).Phase; phase != state.JobAssigned {
			t.Fatalf("urgent job %d is %s beside free targets after 2.1 s, %d refusals before", i, phase, refusals)
		}
		w.end(state.OutcomeFinished, func(*state.Job) bool { return true })
		w.now += 5_000
	}
}

// Guards against a target that refuses everything, whose refusals are attributed to the jobs.
func TestTargetThatRefusesEverythingIsPaused(t *testing.T) {
	w := newSite(t, newSingleLog(), 4)
	refusals := 0
	for i := range 600 { // one minute
		if i%10 == 0 {
			w.submit(fmt.Sprint("j", i), "a", 1, false)
		}
		w.plan()
		w.end(state.OutcomeRefused, func(j *state.Job) bool {
			if j.OpenAttempt.Target == "t0" {
				refusals++
			}
			return j.OpenAttempt.Target == "t0"
		})
		w.end(state.OutcomeFinished, func(j *state.Job) bool { return w.now-j.OpenAttempt.AssignedAt > 1000 })
	}
	if refusals > 2*7 { // the pauses of a minute, and two jobs placed together after each
		t.Errorf("%d attempts were refused in one minute", refusals)
	}
	w.plan()
	if phase := w.job("j500").Phase; phase != state.JobFinished {
		t.Errorf("a job that three sound targets could run is %s", phase)
	}
}
