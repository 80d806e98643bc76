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
