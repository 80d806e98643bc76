package dispatch

import (
	"testing"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
)

// Guards against a zone that is filled at once when it comes back cold, and against cold workers that get
// work while warm ones have room.
func TestColdWorkersAreFilledAsTheyWarmUp(t *testing.T) {
	for _, c := range []struct {
		coldFor model.Millis
		want    int
	}{{0, 8}, {5000, 4}, {60_000, 2}} {
		w := testWorker("a", 8000, 1000)
		w.ColdFor = c.coldFor
		got, _ := Plan(newSnapshot([]*Worker{w}, testJob("j", 0, workflow.StepSpec{Count: 10, CPUMillis: 1000, MemoryMiB: 1})), NewPlannerState())
		if len(got) != c.want {
			t.Errorf("cold for %d ms: %d tasks were placed, want %d", c.coldFor, len(got), c.want)
		}
	}
	cold, warm := testWorker("a", 8000, 1000), testWorker("b", 8000, 1000)
	cold.ColdFor = 5000
	got, _ := Plan(newSnapshot([]*Worker{cold, warm}, testJob("j", 0, workflow.StepSpec{Count: 1, CPUMillis: 1000, MemoryMiB: 1})), NewPlannerState())
	if where := placed(got, "j"); len(where) != 1 || where[0] != "b" {
		t.Errorf("beside a warm worker the task went to %v", where)
	}
}
