package workflow

import (
	"testing"

	"samphirepaddle.example/core/model"
)

// lapse loses the tasks on a new worker that falls silent shortly after it started them.
func (r *crashRig) lapse(tasks ...TaskKey) Crash {
	r.t.Helper()
	c := r.start(tasks...)
	r.apply(Batch{Lapsed: []Crash{c}, Lost: lossesOf(c)})
	return c
}

// wantCautions checks whether the task must start alone and whether it must not start yet.
func (r *crashRig) wantCautions(k TaskKey, alone, held bool) {
	r.t.Helper()
	if got := r.state.Cautions(r.now); got.StartAlone[k] != alone || got.HeldBack[k] != held {
		r.t.Errorf("at %d ms task %s must start alone: %v, is held back: %v, want %v and %v", r.now, k, got.StartAlone[k], got.HeldBack[k], alone, held)
	}
}

// Guards against a sound task that is held back for ever, because the workers on which it was lost never
// return, and against one that waits although it may start alone.
func TestTaskIsHeldBackForBoundedTime(t *testing.T) {
	r := newCrashRig(t)
	submit(t, r.state, "j", StepSpec{Count: 1, LongRunning: true})
	k := key("j", 0, 0)
	for crashes, want := range []model.Millis{0, 0, 0, 20_000, 40_000, 60_000, 60_000} {
		r.lapse(k)
		r.restart()
		if want == 0 {
			r.wantCautions(k, crashes+1 == minCrashes, false)
			continue
		}
		lost := r.now
		r.now = lost + want - 1
		r.wantCautions(k, true, true)
		r.now++
		if r.wantCautions(k, true, false); t.Failed() {
			t.Fatalf("after %d workers fell silent", crashes+1)
		}
	}
}

// Guards against holding back a task for workers that have survived it or were lost without a crash.
func TestTaskIsNotHeldBackForWorkersThatSurvivedIt(t *testing.T) {
	k := key("j", 0, 0)
	for name, explain := range map[string]func(r *crashRig, lapsed []Crash){
		"they answer": func(r *crashRig, lapsed []Crash) {
			for _, c := range lapsed {
				r.apply(Batch{Answered: []Incarnation{c.Incarnation}})
			}
		},
		"they announced their end": func(r *crashRig, lapsed []Crash) {
			for _, c := range lapsed {
				r.apply(Batch{Workers: []Worker{{Incarnation: c.Incarnation, Service: "s", Deregistered: true}}})
			}
		},
		"a later attempt failed by itself": func(r *crashRig, _ []Crash) {
			c := r.start(k)
			r.apply(Batch{Ends: []End{{Incarnation: c.Incarnation, Number: 1, Attempt: c.Attempts[0].Attempt, Kind: EndFailed}}})
		},
		"a later attempt ran for long": func(r *crashRig, _ []Crash) {
			c := r.start(k)
			c.Attempts[0].RanMs = soundRunTime
			r.apply(Batch{Crashes: []Crash{c}, Lost: lossesOf(c)})
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newCrashRig(t)
			submit(t, r.state, "j", StepSpec{Count: 1, LongRunning: true})
			lapsed := []Crash{r.lapse(k), r.lapse(k), r.lapse(k), r.lapse(k)}
			r.wantCautions(k, true, true)
			explain(r, lapsed)
			r.wantCautions(k, false, false)
		})
	}
}

// Guards against losses of a long-running task that add up over days: a run that was long before its
// worker fell silent shows that workers survive the task.
func TestLongRunsBeforeSilenceForgetEarlierLosses(t *testing.T) {
	r := newCrashRig(t)
	submit(t, r.state, "j", StepSpec{Count: 1, LongRunning: true})
	k := key("j", 0, 0)
	r.crash(k)
	for range maxCrashes {
		r.lapse(k)
		c := r.start(k)
		c.Attempts[0].RanMs = soundRunTime
		r.apply(Batch{Lapsed: []Crash{c}, Lost: lossesOf(c)})
	}
	r.wantCautions(k, false, false)
	if r.state.Jobs["j"].IsSuspect(k) {
		t.Error("the task is suspect of a crash from before its long runs")
	}
}

// Guards against a limit that proven and possible crashes reach only separately.
func TestProvenAndPossibleCrashesHoldTaskBackTogether(t *testing.T) {
	r := newCrashRig(t)
	submit(t, r.state, "j", StepSpec{Count: 1, LongRunning: true})
	r.crash(key("j", 0, 0))
	r.crash(key("j", 0, 0))
	r.wantCautions(key("j", 0, 0), false, false)
	r.lapse(key("j", 0, 0))
	r.wantCautions(key("j", 0, 0), true, false)
	r.lapse(key("j", 0, 0))
	r.wantCautions(key("j", 0, 0), true, true)
}
