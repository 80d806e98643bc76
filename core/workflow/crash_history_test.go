package workflow

import (
	"testing"

	"samphirepaddle.example/core/model"
)

// Guards against a sound task that is given up for crashes of workers that are weeks apart.
func TestCrashesFarApartDoNotGiveUpATask(t *testing.T) {
	for apart, want := range map[model.Millis]JobStatus{1000: StatusFailed, suspicionExpiry / 2: StatusFailed, 2 * suspicionExpiry: StatusRunning} {
		r := newCrashRig(t)
		submit(t, r.state, "j", StepSpec{Count: 1, LongRunning: true})
		for range minCrashes {
			c := r.start(key("j", 0, 0))
			r.now += apart
			r.apply(Batch{Crashes: []Crash{c}, Lost: lossesOf(c)})
		}
		if got, _ := r.state.StatusOf("j"); got != want {
			t.Errorf("crashes %d ms apart: the job is %s, want %s", apart, got, want)
		}
	}
}

// Guards against one crash that counts twice for a task that was started again on a worker that had been silent.
func TestOneCrashCountsOnceForTwoAttemptsOfATask(t *testing.T) {
	r := newCrashRig(t)
	submit(t, r.state, "j", StepSpec{Count: 1, LongRunning: true})
	c := r.start(key("j", 0, 0))
	r.apply(Batch{Lapsed: []Crash{c}, Lost: lossesOf(c)})
	again := Attempt{key("j", 0, 0), c.Attempts[0].Attempt.Number + 1}
	r.apply(Batch{Assign: []Assignment{{Attempt: again, Incarnation: c.Incarnation}}})
	r.apply(Batch{Crashes: []Crash{{Incarnation: c.Incarnation, Attempts: []CrashedAttempt{{Attempt: again}}}}})
	if s := r.state.Jobs["j"].Suspects[0]; len(s.Crashed) != 1 || s.Suspicions != 1 || s.Sole != 1 {
		t.Errorf("one crash under the only task of a worker counts as %+v", s)
	}
}

// Guards against a crash that counts for the tasks beside a suspect because its batch is applied again.
func TestRepeatedCrashOfAReplacedProcessDoesNotCount(t *testing.T) {
	r := newCrashRig(t)
	submit(t, r.state, "a", StepSpec{Count: 1, LongRunning: true})
	submit(t, r.state, "b", StepSpec{Count: 1, LongRunning: true})
	first := r.start(key("a", 0, 0))
	r.apply(Batch{Crashes: []Crash{first}, Lost: lossesOf(first)})
	c := r.start(key("a", 0, 0), key("b", 0, 0))
	c.Attempts[1].RanMs = 5000
	next := worker(string(c.Incarnation.Worker), c.Incarnation.StartedAt+10)
	for range 2 {
		r.apply(Batch{Workers: []Worker{next}, Crashes: []Crash{c}, Lost: lossesOf(c)})
	}
	if s := r.state.Jobs["b"].Suspects; len(s) != 0 {
		t.Errorf("the task that ran for 5 s is suspect: %+v", s)
	}
}
