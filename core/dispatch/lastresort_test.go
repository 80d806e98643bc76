package dispatch

import (
	"testing"

	"samphirepaddle.example/core/workflow"
)

// Guards against a long-running task that stays down because the only workers with room are
// quarantined, and against other work, or more than one task, on such a worker.
func TestOnlyRestartsWithoutRoomElsewhereUseLastResorts(t *testing.T) {
	restart := func(id string, count int, step workflow.StepSpec) *workflow.Job {
		step.Count, step.CPUMillis = count, 1000
		job := testJob(id, 0, step)
		job.Runs = map[int]*workflow.Run{0: {Steps: []workflow.StepRun{{Tasks: make([]workflow.Task, count)}}}}
		for i := range count {
			job.Runs[0].Steps[0].Tasks[i].Attempt = 1
		}
		return job
	}
	lasting := workflow.StepSpec{LongRunning: true}
	first := lasting
	first.Count, first.CPUMillis = 1, 1000
	for name, c := range map[string]struct {
		usable, quarantined int // workers
		jobs                []*workflow.Job
		want                int // tasks on quarantined workers
	}{
		"no room elsewhere":     {1, 2, []*workflow.Job{restart("j", 4, lasting)}, 2},
		"equal steps":           {0, 3, []*workflow.Job{restart("i", 1, lasting), restart("j", 1, lasting)}, 2},
		"starved":               {0, 1, []*workflow.Job{restart("j", 1, lasting)}, 1},
		"room elsewhere":        {2, 2, []*workflow.Job{restart("j", 4, lasting)}, 0},
		"never ran":             {0, 1, []*workflow.Job{testJob("j", 0, first)}, 0},
		"ends by itself":        {0, 1, []*workflow.Job{restart("j", 1, workflow.StepSpec{})}, 0},
		"uses spare CPU":        {0, 1, []*workflow.Job{restart("j", 1, workflow.StepSpec{LongRunning: true, UsesSpareCPU: true})}, 0},
		"another label":         {0, 1, []*workflow.Job{restart("j", 1, workflow.StepSpec{LongRunning: true, RequiredLabel: "x"})}, 0},
		"a gang is not divided": {0, 2, []*workflow.Job{restart("j", 2, workflow.StepSpec{LongRunning: true, Gang: true})}, 0},
	} {
		var workers []*Worker
		for i := range c.usable + c.quarantined {
			w := testWorker(string(rune('a'+i)), 2000, 1000)
			w.Usable, w.LastResort = i < c.usable, i >= c.usable
			workers = append(workers, w)
		}
		snapshot := newSnapshot(workers, c.jobs...)
		if name == "starved" {
			snapshot.Now += 2 * starvationTimeoutBusy
		}
		assigned, waits := Plan(snapshot, NewPlannerState())
		tasks := map[workflow.WorkerID]int{}
		got := 0
		for _, a := range assigned {
			tasks[a.Incarnation.Worker]++
		}
		for _, w := range workers[c.usable:] {
			got += tasks[w.Incarnation.Worker]
			if tasks[w.Incarnation.Worker] > 1 {
				t.Errorf("%s: %d tasks on a quarantined worker", name, tasks[w.Incarnation.Worker])
			}
		}
		if got != c.want {
			t.Errorf("%s: %d tasks on quarantined workers, want %d; waits %+v", name, got, c.want, waits)
		}
	}
}
