package dispatch

import (
	"testing"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
)

// Guards against a long-running task that stays down because the only workers with room are
// quarantined, against a job that waits for the end of a quarantine on a service that is mostly free, and
// against other work, a last attempt, or more than one task on such a worker.
func TestOnlyTasksWithoutRoomElsewhereUseLastResorts(t *testing.T) {
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
	short, spare := first, first
	short.LongRunning, spare.LongRunning, spare.UsesSpareCPU = false, false, true
	short.Count, spare.Count = 3, 3
	failed := func(failures uint32) *workflow.Job {
		job := restart("j", 1, workflow.StepSpec{})
		job.Runs[0].Steps[0].Tasks[0].Failures = failures
		return job
	}
	full := workflow.StepSpec{Count: 1, CPUMillis: 1000, MemoryMiB: 1, LongRunning: true}
	idle := starvationTimeoutIdle + 1
	for name, c := range map[string]struct {
		usable, quarantined int // workers
		jobs                []*workflow.Job
		want                int // tasks on quarantined workers
		waited              model.Millis
		busy                bool // half of the cores of the quarantined workers are in use
	}{
		"no room elsewhere":      {usable: 1, quarantined: 2, jobs: []*workflow.Job{restart("j", 4, lasting)}, want: 2},
		"equal steps":            {usable: 0, quarantined: 3, jobs: []*workflow.Job{restart("i", 1, lasting), restart("j", 1, lasting)}, want: 2},
		"starved":                {usable: 0, quarantined: 1, jobs: []*workflow.Job{restart("j", 1, lasting)}, want: 1, waited: 2 * starvationTimeoutBusy},
		"room elsewhere":         {usable: 2, quarantined: 2, jobs: []*workflow.Job{restart("j", 4, lasting)}, want: 0},
		"never ran":              {usable: 0, quarantined: 1, jobs: []*workflow.Job{testJob("j", 0, first)}, want: 0},
		"ends by itself":         {usable: 0, quarantined: 1, jobs: []*workflow.Job{restart("j", 1, workflow.StepSpec{})}, want: 0},
		"uses spare CPU":         {usable: 0, quarantined: 1, jobs: []*workflow.Job{restart("j", 1, workflow.StepSpec{LongRunning: true, UsesSpareCPU: true})}, want: 0},
		"long-running, waited":   {quarantined: 1, jobs: []*workflow.Job{testJob("j", 0, first)}, want: 1, waited: idle},
		"short, waited":          {quarantined: 3, jobs: []*workflow.Job{testJob("j", 0, short)}, want: 1, waited: idle},
		"best-effort, waited":    {quarantined: 3, jobs: []*workflow.Job{testJob("j", 0, spare)}, want: 1, waited: idle},
		"each of two jobs":       {quarantined: 3, jobs: []*workflow.Job{testJob("i", 0, short), testJob("j", 0, short)}, want: 2, waited: idle},
		"room elsewhere, waited": {usable: 2, quarantined: 2, jobs: []*workflow.Job{testJob("j", 0, short)}, want: 0, waited: idle},
		"a service in use":       {quarantined: 2, jobs: []*workflow.Job{testJob("j", 0, short)}, want: 0, waited: idle, busy: true},
		"two attempts left":      {quarantined: 1, jobs: []*workflow.Job{failed(1)}, want: 1, waited: idle},
		"the last attempt":       {quarantined: 1, jobs: []*workflow.Job{failed(2)}, want: 0, waited: idle},
		"a gang, waited":         {quarantined: 2, jobs: []*workflow.Job{testJob("j", 0, workflow.StepSpec{Count: 2, CPUMillis: 1000, Gang: true})}, want: 0, waited: idle},
		"another label":          {usable: 0, quarantined: 1, jobs: []*workflow.Job{restart("j", 1, workflow.StepSpec{LongRunning: true, RequiredLabel: "x"})}, want: 0},
		"a gang is not divided":  {usable: 0, quarantined: 2, jobs: []*workflow.Job{restart("j", 2, workflow.StepSpec{LongRunning: true, Gang: true})}, want: 0},
	} {
		var workers []*Worker
		for i := range c.usable + c.quarantined {
			w := testWorker(string(rune('a'+i)), 2000, 1000)
			w.Usable, w.LastResort = i < c.usable, i >= c.usable
			if c.busy {
				w.Allocations = []Allocation{allocation(w, "other", i, &full)}
			}
			workers = append(workers, w)
		}
		snapshot := newSnapshot(workers, c.jobs...)
		snapshot.Now += c.waited
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
