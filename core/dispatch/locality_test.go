package dispatch

import (
	"testing"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
)

// rackWorker returns a worker of a rack on which tasks with the given work are running.
func rackWorker(id, rack string, busyCPU int64, estimate model.Millis, percent int) *Worker {
	w := testWorker(id, 4000, 1000, "a", rack)
	w.Rack = rack
	if busyCPU > 0 {
		lastingJob("busy-"+id, workflow.StepSpec{Count: 1, CPUMillis: busyCPU, EstimateMs: estimate}, w)
		w.Allocations[0].Percent = percent
	}
	return w
}

func snapshotWithFactor(factor float64, workers []*Worker, jobs ...*workflow.Job) *Snapshot {
	p := newSnapshot(workers, jobs...)
	p.Costs.RemoteFactor = factor
	return p
}

// Guards against a task that runs slowly elsewhere although a place near its data is free soon, and against one
// that waits for longer than it would lose elsewhere.
func TestTaskWaitsForItsDataWhileThatPays(t *testing.T) {
	for name, c := range map[string]struct {
		factor  float64
		running model.Millis // estimate of the task that holds the rack
		percent int
		want    workflow.WorkerID // empty if the task waits
	}{
		"free soon":                 {3, 1000, 60, ""},
		"free late":                 {3, 10_000, 10, "far"},
		"little is lost elsewhere":  {1.1, 1000, 50, "far"},
		"what is lost is not known": {0, 1000, 90, "far"},
	} {
		workers := []*Worker{rackWorker("near", "r1", 4000, c.running, c.percent), rackWorker("far", "r2", 0, 0, 0)}
		job := testJob("j", 0, workflow.StepSpec{Count: 1, CPUMillis: 1000, MemoryMiB: 1, EstimateMs: 1000, DataRack: "r1"})
		assigned, waits := Plan(snapshotWithFactor(c.factor, workers, job), NewPlannerState())
		got := placed(assigned, "j")
		switch {
		case c.want == "" && (len(got) > 0 || len(waits) != 1 || waits[0].Reason != WaitNearPlace):
			t.Errorf("%s: the task went to %v, waits %v", name, got, waits)
		case c.want != "" && (len(got) != 1 || got[0] != c.want):
			t.Errorf("%s: the task went to %v, want %s", name, got, c.want)
		}
	}
}

// Guards against a hot rack for which every task waits: those whose turn would come too late start elsewhere.
func TestHotRackSpreads(t *testing.T) {
	workers := []*Worker{rackWorker("near", "r1", 4000, 1000, 50)}
	for _, id := range []string{"f1", "f2", "f3", "f4"} {
		workers = append(workers, rackWorker(id, "r2", 0, 0, 0))
	}
	job := testJob("j", 0, workflow.StepSpec{Count: 12, CPUMillis: 1000, MemoryMiB: 1, EstimateMs: 1000, DataRack: "r1"})
	p := snapshotWithFactor(2, workers, job)
	p.PendingRuns = nil
	for i := range 12 {
		one := testJob(string(rune('a'+i)), 0, workflow.StepSpec{Count: 1, CPUMillis: 1000, MemoryMiB: 1, EstimateMs: 1000, DataRack: "r1"})
		one.AcceptedAt = p.Now
		p.PendingRuns = append(p.PendingRuns, PendingRun{Job: one})
	}
	assigned, waits := Plan(p, NewPlannerState())
	// The rack works through 4 tasks a second; half a second of work runs there, and a second is lost elsewhere.
	if len(waits) != 2 || len(assigned) != 10 {
		t.Errorf("%d tasks wait for the rack and %d start elsewhere, want 2 and 10", len(waits), len(assigned))
	}
}

// Guards against a wait without end if the expected place does not come free.
func TestWaitForAPlaceIsBounded(t *testing.T) {
	workers := []*Worker{rackWorker("near", "r1", 4000, 1000, 60), rackWorker("far", "r2", 0, 0, 0)}
	state := NewPlannerState()
	job := testJob("j", 0, workflow.StepSpec{Count: 1, CPUMillis: 1000, MemoryMiB: 1, EstimateMs: 1000, DataRack: "r1"})
	// A sibling is at work, so that the run does not count as starved.
	job.Steps = append(job.Steps, workflow.StepSpec{Count: 1, CPUMillis: 1000})
	job.Runs = map[int]*workflow.Run{0: {Steps: []workflow.StepRun{
		{Tasks: make([]workflow.Task, 1)}, {Tasks: []workflow.Task{{Phase: workflow.TaskOpen, Attempt: 1, Incarnation: workers[1].Incarnation}}},
	}}}
	p := snapshotWithFactor(3, workers, job)
	for waited := model.Millis(0); waited <= 3000; waited += 100 {
		p.Now = 1000 + waited
		assigned, _ := Plan(p, state)
		if started := len(placed(assigned, "j")) > 0; started != (waited >= 2000) {
			t.Fatalf("after %d ms the task has started: %v; 2000 ms are lost elsewhere", waited, started)
		} else if started {
			return
		}
	}
}

// Guards against a group that is spread over racks although one has room for it, and against a small group
// that takes the room of a large one.
func TestGroupStartsOnOneRack(t *testing.T) {
	workers := []*Worker{rackWorker("a1", "r1", 2000, 60_000, 0), rackWorker("a2", "r1", 2000, 60_000, 0), rackWorker("b1", "r2", 0, 0, 0), rackWorker("b2", "r2", 0, 0, 0)}
	rackOf := map[workflow.WorkerID]string{"a1": "r1", "a2": "r1", "b1": "r2", "b2": "r2"}
	for count, want := range map[int]string{3: "r1", 4: "r1", 6: "r2"} {
		job := testJob("j", 0, workflow.StepSpec{Count: count, CPUMillis: 1000, MemoryMiB: 1, EstimateMs: 1000, SameRack: true})
		assigned, _ := Plan(snapshotWithFactor(3, workers, job), NewPlannerState())
		got := placed(assigned, "j")
		if len(got) != count {
			t.Fatalf("%d of %d tasks started", len(got), count)
		}
		for _, id := range got {
			if rackOf[id] != want {
				t.Errorf("a task of a group of %d went to %s, want rack %s", count, id, want)
			}
		}
	}
}

// Guards against moves of paused tasks that cost more than the pause, and against pauses without end.
func TestPausedTaskWaitsForAsLongAsAMoveCosts(t *testing.T) {
	step := &workflow.StepSpec{UsesSpareCPU: true, Checkpoints: true}
	costs := PlaceCosts{StopMs: 900, RestoreMs: 600}
	for paused, want := range map[model.Millis]bool{600: false, 1050: false, 1100: true} {
		if got := WorthMoving(step, paused, costs); got != want {
			t.Errorf("paused for %d ms: worth moving is %v", paused, got)
		}
	}
}
