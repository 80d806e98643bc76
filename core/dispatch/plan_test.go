package dispatch

import (
	"fmt"
	"slices"
	"testing"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
)

func testWorker(id string, cpu, memory int64, labels ...string) *Worker {
	return &Worker{
		Worker: workflow.Worker{
			Incarnation: workflow.Incarnation{Worker: workflow.WorkerID(id), StartedAt: 1}, Service: "s",
			CPUMillis: cpu, MemoryMiB: memory, Labels: labels,
		},
		Usable: true,
	}
}

func testJob(id string, priority int, steps ...workflow.StepSpec) *workflow.Job {
	return &workflow.Job{
		ID: workflow.JobID(id), Service: "s", Priority: priority, MaxFailures: 3, Slack: 2, TargetMs: 1000,
		Phase: workflow.PhaseLive, Steps: steps,
	}
}

func newSnapshot(workers []*Worker, jobs ...*workflow.Job) *Snapshot {
	p := &Snapshot{Now: 1000, Workers: workers}
	for i, job := range jobs {
		job.Sequence = uint64(i + 1)
		job.AcceptedAt = 1000
		p.PendingRuns = append(p.PendingRuns, PendingRun{Job: job, Run: job.Runs[0]})
	}
	return p
}

// placed returns the workers to which tasks of a job were assigned.
func placed(assignments []workflow.Assignment, job string) []workflow.WorkerID {
	var workers []workflow.WorkerID
	for _, a := range assignments {
		if a.Attempt.Task.Job == workflow.JobID(job) {
			workers = append(workers, a.Incarnation.Worker)
		}
	}
	return workers
}

// Guards against assignments that exceed a worker's cores, memory or accelerators. Tasks that are
// being stopped still hold their resources.
func TestReservationsHold(t *testing.T) {
	w := testWorker("a", 4000, 1000)
	stopping := workflow.OpenAttempt{
		Attempt: workflow.Attempt{Task: workflow.TaskKey{Job: "old"}, Number: 1},
		Step:    &workflow.StepSpec{Count: 1, CPUMillis: 2000, MemoryMiB: 100}, Ended: true,
	}
	w.Allocations = []Allocation{{OpenAttempt: stopping, Stopping: true}}
	for _, c := range []struct {
		name string
		step workflow.StepSpec
		want int
	}{
		{"cores", workflow.StepSpec{Count: 5, CPUMillis: 1000, MemoryMiB: 1}, 2},
		{"memory", workflow.StepSpec{Count: 5, CPUMillis: 1, MemoryMiB: 300}, 3},
		{"accelerators", workflow.StepSpec{Count: 5, Accelerators: 1}, 0},
	} {
		got, _ := Plan(newSnapshot([]*Worker{w}, testJob("j", 0, c.step)), NewPlannerState())
		if len(got) != c.want {
			t.Errorf("%s: %d tasks were placed, want %d", c.name, len(got), c.want)
		}
	}
}

// Guards against assignments to workers that the step's requirements exclude.
func TestRequirements(t *testing.T) {
	workers := []*Worker{testWorker("a", 8000, 8000, "x", "r1"), testWorker("b", 8000, 8000, "y", "r2"), testWorker("c", 8000, 8000, "y", "r3")}
	workers[2].Usable = false
	label, _ := Plan(newSnapshot(workers, testJob("j", 0, workflow.StepSpec{Count: 2, CPUMillis: 100, RequiredLabel: "y"})), NewPlannerState())
	for _, id := range placed(label, "j") {
		if id != "b" {
			t.Errorf("a task that requires label y was placed on %s", id)
		}
	}
	spread, _ := Plan(newSnapshot(workers, testJob("j", 0, workflow.StepSpec{Count: 4, CPUMillis: 100, MaxPerWorker: 1})), NewPlannerState())
	if got := placed(spread, "j"); len(got) != 2 || got[0] == got[1] {
		t.Errorf("with at most one task per worker, the tasks went to %v", got)
	}
	near, _ := Plan(newSnapshot(workers, testJob("j", 0, workflow.StepSpec{Count: 1, CPUMillis: 100, DataRack: "r2"})), NewPlannerState())
	if got := placed(near, "j"); len(got) != 1 || got[0] != "b" {
		t.Errorf("the task whose data is in r2 went to %v", got)
	}
	other := testJob("j", 0, workflow.StepSpec{Count: 1, CPUMillis: 100})
	other.Service = "other"
	if got, _ := Plan(newSnapshot(workers, other), NewPlannerState()); len(got) != 0 {
		t.Errorf("a task was placed on the workers of another service: %v", got)
	}
}

// Guards against a gang of which only some members start, and against members with different
// attempt numbers.
func TestGangStartsAllMembersOrNone(t *testing.T) {
	workers := []*Worker{testWorker("a", 2000, 100), testWorker("b", 2000, 100)}
	tooWide := testJob("wide", 0, workflow.StepSpec{Count: 5, CPUMillis: 1000, Gang: true})
	fitting := testJob("fits", 0, workflow.StepSpec{Count: 4, CPUMillis: 1000, Gang: true})
	fitting.Runs = map[int]*workflow.Run{0: {Steps: []workflow.StepRun{{Tasks: make([]workflow.Task, 4)}}}}
	fitting.Runs[0].Steps[0].Tasks[2].Attempt = 6
	got, _ := Plan(newSnapshot(workers, tooWide, fitting), NewPlannerState())
	if len(placed(got, "wide")) != 0 || len(placed(got, "fits")) != 4 {
		t.Fatalf("placed: %v", got)
	}
	for _, a := range got {
		if a.Attempt.Number != 7 {
			t.Errorf("member %s has attempt %d, want 7", a.Attempt.Task, a.Attempt.Number)
		}
	}
}

// Guards against a retry on the worker where the task has just failed.
func TestFailedTaskAvoidsItsLastWorker(t *testing.T) {
	workers := []*Worker{testWorker("a", 8000, 100), testWorker("b", 4000, 100)}
	job := testJob("j", 0, workflow.StepSpec{Count: 1, CPUMillis: 1000})
	failed := workflow.Task{Attempt: 1, Failures: 1, Incarnation: workers[0].Incarnation}
	job.Runs = map[int]*workflow.Run{0: {Steps: []workflow.StepRun{{Tasks: []workflow.Task{failed}}}}}
	assigned, _ := Plan(newSnapshot(workers, job), NewPlannerState())
	if got := placed(assigned, "j"); len(got) != 1 || got[0] != "b" {
		t.Errorf("the task went to %v", got)
	}
}

// Guards against short tasks that wait because first starts of long-running tasks took all cores,
// and against long-running tasks that are not restarted because of the reserve for short tasks.
func TestReserveForShortTasks(t *testing.T) {
	longRunning := workflow.StepSpec{Count: 20, CPUMillis: 1000, LongRunning: true}
	workers := []*Worker{testWorker("a", 10_000, 100), testWorker("b", 10_000, 100)}
	first := testJob("long-running", 0, longRunning)
	got, _ := Plan(newSnapshot(workers, first), NewPlannerState())
	if free := 20 - len(got); free < 1 || free > 3 {
		t.Errorf("first starts left %d of 20 cores, want 5 to 15 %%", free)
	}
	restarted := testJob("long-running", 0, longRunning)
	restarted.Runs = map[int]*workflow.Run{0: {Steps: []workflow.StepRun{{Tasks: make([]workflow.Task, 20)}}}}
	for i := range restarted.Runs[0].Steps[0].Tasks {
		restarted.Runs[0].Steps[0].Tasks[i].Attempt = 1
	}
	if got, _ := Plan(newSnapshot(workers, restarted), NewPlannerState()); len(got) != 20 {
		t.Errorf("%d of 20 long-running tasks were restarted", len(got))
	}
}

// Guards against a long-running task that stays down beside free cores because a task of its step that
// never ran has to leave them to short tasks, and against a first start that takes its place.
func TestRestartsComeBeforeFirstStartsOfTheirStep(t *testing.T) {
	for name, c := range map[string]struct {
		demand float64 // recent peak of short tasks
		memory int64   // of the worker
		want   []int
		reason WaitReason
	}{
		"the reserve holds back first starts": {1500, 1000, []int{1, 3}, WaitShortTaskReserve},
		"room for one task":                   {0, 30, []int{1}, WaitNoCapacity},
	} {
		w := testWorker("w", 10_000, c.memory)
		w.Allocations = []Allocation{allocation(w, "other", 0, &workflow.StepSpec{Count: 1, CPUMillis: 7900, LongRunning: true})}
		job := testJob("j", 0, workflow.StepSpec{Count: 4, CPUMillis: 700, MemoryMiB: 20, LongRunning: true})
		job.Runs = map[int]*workflow.Run{0: {Steps: []workflow.StepRun{{Tasks: []workflow.Task{{}, {Attempt: 1}, {}, {Attempt: 2}}}}}}
		state := NewPlannerState()
		state.ShortTaskReserve.peaks["s"] = &peak{demand: c.demand, at: 1000}
		assigned, waits := Plan(newSnapshot([]*Worker{w}, job), state)
		var got []int
		for _, a := range assigned {
			got = append(got, a.Attempt.Task.Index)
		}
		if !slices.Equal(got, c.want) || len(waits) != 1 || waits[0].Reason != c.reason {
			t.Errorf("%s: tasks %v were assigned, want %v; waits %+v, want %v", name, got, c.want, waits, c.reason)
		}
	}
}

// Guards against an order that makes every job late when there are more heavy jobs than fit. With
// the least remaining work first, more jobs end in time than in order of arrival. The largest job
// must still run.
func TestOrderUnderOverload(t *testing.T) {
	inTime := func(byArrival bool) (count int, largest bool) {
		state := NewPlannerState()
		w := testWorker("a", 4000, 1<<20)
		var jobs []*workflow.Job
		for i := range 40 {
			size := 1 + i%4
			if i == 0 {
				size = 6
			}
			job := testJob(fmt.Sprintf("j%02d", i), 0, workflow.StepSpec{Count: size, CPUMillis: 1000, EstimateMs: 1000})
			job.Sequence, job.AcceptedAt, job.Slack, job.TargetMs = uint64(i+1), 0, 4, 8000
			jobs = append(jobs, job)
		}
		left := map[workflow.JobID]int{}
		for _, job := range jobs {
			left[job.ID] = job.Steps[0].Count
		}
		for second := model.Millis(0); second < 40; second++ {
			p := &Snapshot{Now: second * 1000, Workers: []*Worker{w}}
			for _, job := range jobs {
				if left[job.ID] == 0 {
					continue
				}
				pending := *job
				pending.Steps = []workflow.StepSpec{job.Steps[0]}
				pending.Steps[0].Count = left[job.ID]
				if byArrival {
					pending.Priority = int(job.Sequence)
				}
				p.PendingRuns = append(p.PendingRuns, PendingRun{Job: &pending})
			}
			assigned, _ := Plan(p, state)
			for _, a := range assigned {
				id := a.Attempt.Task.Job
				if left[id]--; left[id] == 0 && second < 12 {
					count++
				}
			}
		}
		return count, left[jobs[0].ID] == 0
	}
	arrival, _ := inTime(true)
	work, largest := inTime(false)
	if work <= arrival {
		t.Errorf("%d jobs ended in time when ordered by remaining work, %d by arrival", work, arrival)
	}
	if !largest {
		t.Error("the largest job did not end")
	}
}

// Guards against moving a paused task at a loss: only a best-effort task with checkpoints is
// moved, and only after a pause longer than a restart.
func TestWorthMoving(t *testing.T) {
	bestEffort := workflow.StepSpec{UsesSpareCPU: true, Checkpoints: true}
	withoutCheckpoints := workflow.StepSpec{UsesSpareCPU: true}
	reserved := workflow.StepSpec{Checkpoints: true}
	for _, c := range []struct {
		step   workflow.StepSpec
		paused model.Millis
		want   bool
	}{
		{bestEffort, maxPause + 1, true}, {bestEffort, maxPause, false},
		{withoutCheckpoints, 100 * maxPause, false}, {reserved, 100 * maxPause, false},
	} {
		if got := WorthMoving(&c.step, c.paused, PlaceCosts{}); got != c.want {
			t.Errorf("%+v paused for %d ms: %v, want %v", c.step, c.paused, got, c.want)
		}
	}
}

// Guards against a wait that is reported with the wrong reason.
func TestWaitReasons(t *testing.T) {
	full := testWorker("full", 4000, 100)
	for _, c := range []struct {
		name string
		step workflow.StepSpec
		want WaitReason
	}{
		{"label", workflow.StepSpec{Count: 1, RequiredLabel: "gpu"}, WaitNoLabel},
		{"capacity", workflow.StepSpec{Count: 1, CPUMillis: 5000}, WaitNoCapacity},
		{"max per worker", workflow.StepSpec{Count: 2, CPUMillis: 100, MaxPerWorker: 1}, WaitMaxPerWorker},
		{"spare CPU", workflow.StepSpec{Count: 1, CPUMillis: 5000, UsesSpareCPU: true}, WaitNoSpareCPU},
		{"short-task reserve", workflow.StepSpec{Count: 2, CPUMillis: 2000, LongRunning: true}, WaitShortTaskReserve},
	} {
		_, waits := Plan(newSnapshot([]*Worker{full}, testJob("j", 0, c.step)), NewPlannerState())
		if len(waits) != 1 || waits[0].Reason != c.want || waits[0].Job != "j" {
			t.Errorf("%s: waits %+v, want %v", c.name, waits, c.want)
		}
	}
	if _, waits := Plan(newSnapshot(nil, testJob("j", 0, workflow.StepSpec{Count: 1})), NewPlannerState()); len(waits) != 1 || waits[0].Reason != WaitNoWorker {
		t.Errorf("no worker: waits %+v", waits)
	}
}

// Guards against a step that is skipped because an earlier step of the same pass, which needs more
// or has other requirements, could not be placed.
func TestStepsThatNeedLessAreStillPlaced(t *testing.T) {
	first := workflow.StepSpec{Count: 1, CPUMillis: 5000, MemoryMiB: 1000, RequiredLabel: "a", UsesSpareCPU: true, Image: "f"}
	for name, change := range map[string]func(first, second *workflow.StepSpec){
		"less CPU": func(_, second *workflow.StepSpec) { second.CPUMillis = 100 },
		"less memory": func(first, second *workflow.StepSpec) {
			first.CPUMillis, second.CPUMillis, first.MemoryMiB = 100, 100, 2000
		},
		"another label": func(first, second *workflow.StepSpec) { first.RequiredLabel, second.CPUMillis = "b", 4000 },
		"another image": func(first, second *workflow.StepSpec) {
			first.CPUMillis, second.CPUMillis, second.Image = 4000, 4000, "g"
		},
		"reserved CPU": func(_, second *workflow.StepSpec) { second.CPUMillis, second.UsesSpareCPU = 4000, false },
		"no limit per worker": func(first, second *workflow.StepSpec) {
			first.Count, first.CPUMillis, first.MemoryMiB, first.MaxPerWorker = 2, 100, 10, 1
			second.CPUMillis = 100
		},
	} {
		w := testWorker("w", 4000, 1100, "a")
		before, after := first, first
		change(&before, &after)
		state := NewPlannerState()
		if name == "another image" {
			serving := workflow.StepSpec{Count: 1, CPUMillis: 1, LongRunning: true, TailTargetMs: 45, Image: "s"}
			w.Allocations = append(w.Allocations, allocation(w, "serving", 0, &serving))
			state.InterferenceModel.setCoefficient("s", "f", maxCoefficient)
			state.InterferenceModel.setCoefficient("s", "g", 0)
			before.CPUMillis, after.CPUMillis = 3000, 3000
		}
		assigned, waits := Plan(newSnapshot([]*Worker{w}, testJob("1", 0, before), testJob("2", 1, after)), state)
		if len(placed(assigned, "2")) != 1 {
			t.Errorf("%s: the second step was not placed; waits %+v", name, waits)
		}
		if len(waits) == 0 || waits[0].Job != "1" {
			t.Errorf("%s: the first step was placed; waits %+v", name, waits)
		}
	}
}

// Guards against a wait that does not tell how many long-running tasks are down.
func TestWaitsCountRestarts(t *testing.T) {
	for _, c := range []struct {
		longRunning bool
		want        int
	}{{true, 2}, {false, 0}} {
		job := testJob("j", 0, workflow.StepSpec{Count: 4, CPUMillis: 3000, LongRunning: c.longRunning})
		tasks := []workflow.Task{{Attempt: 1}, {Attempt: 1}, {Attempt: 3}, {}}
		job.Runs = map[int]*workflow.Run{0: {Steps: []workflow.StepRun{{Tasks: tasks}}}}
		_, waits := Plan(newSnapshot([]*Worker{testWorker("w", 4000, 1000)}, job), NewPlannerState())
		if len(waits) != 1 || waits[0].Restarts != c.want {
			t.Errorf("long-running %v: waits %+v, want %d restarts", c.longRunning, waits, c.want)
		}
	}
}

// Guards against a wait that is reported for only one of two equal steps. The planner skips the
// second one, because it has found no feasible worker for the first.
func TestEqualStepsReportTheirWaits(t *testing.T) {
	step := workflow.StepSpec{Count: 1, CPUMillis: 5000, UsesSpareCPU: true, Image: "f"}
	_, waits := Plan(newSnapshot([]*Worker{testWorker("w", 4000, 1000)}, testJob("1", 0, step), testJob("2", 0, step)), NewPlannerState())
	if len(waits) != 2 || waits[0].Reason != waits[1].Reason {
		t.Errorf("waits %+v, want two for the same reason", waits)
	}
}

// Guards against serving tasks of several images on one worker while others are empty. A
// best-effort image that interferes with one of these images could then run on no worker.
func TestServingImagesAreSeparated(t *testing.T) {
	serving := func(image string, count int) workflow.StepSpec {
		return workflow.StepSpec{Count: count, CPUMillis: 2500, MemoryMiB: 1, LongRunning: true, TailTargetMs: 45, Image: image}
	}
	workers := []*Worker{testWorker("a", 16_000, 1000), testWorker("b", 16_000, 1000), testWorker("c", 16_000, 1000)}
	var jobs []*workflow.Job
	imageOf := map[workflow.JobID]string{}
	for i := range 6 {
		job := testJob(fmt.Sprint(i), 0, serving(fmt.Sprintf("s%d", i%3), 2))
		imageOf[job.ID] = job.Steps[0].Image
		jobs = append(jobs, job)
	}
	assigned, _ := Plan(newSnapshot(workers, jobs...), NewPlannerState())
	if len(assigned) != 12 {
		t.Errorf("%d tasks placed, want 12", len(assigned))
	}
	served := map[workflow.WorkerID]string{}
	for _, a := range assigned {
		image := imageOf[a.Attempt.Task.Job]
		if other, ok := served[a.Incarnation.Worker]; ok && other != image {
			t.Errorf("worker %s serves %s and %s", a.Incarnation.Worker, other, image)
		}
		served[a.Incarnation.Worker] = image
	}
	assigned, _ = Plan(newSnapshot(workers[:1], testJob("x", 0, serving("s0", 1)), testJob("y", 0, serving("s1", 1))), NewPlannerState())
	if len(assigned) != 2 {
		t.Errorf("%d tasks of two images placed on the only worker, want 2", len(assigned))
	}
}

// Guards against a short pass that places work ahead of best-effort work that comes before it.
func TestPassBeforeBestEffort(t *testing.T) {
	reserved := workflow.StepSpec{Count: 1, CPUMillis: 1000, MemoryMiB: 100, EstimateMs: 500}
	bestEffort := reserved
	bestEffort.UsesSpareCPU = true
	p := newSnapshot([]*Worker{testWorker("a", workerCPUMillis, 64_000)},
		testJob("urgent", 0, reserved), testJob("filler", 1, bestEffort), testJob("later", 2, reserved), testJob("mixed", 0, reserved, bestEffort))
	p.BeforeBestEffort = true
	assigned, _ := Plan(p, NewPlannerState())
	if len(assigned) != 1 || assigned[0].Attempt.Task.Job != "urgent" {
		t.Errorf("assigned %v, want only the task of job urgent", assigned)
	}
	p.BeforeBestEffort = false
	if assigned, _ := Plan(p, NewPlannerState()); len(assigned) != 5 {
		t.Errorf("a full pass assigned %v, want a task of each step", assigned)
	}
}
