package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
)

// suspectJob returns a job of which the tasks with the given indexes are suspects.
func suspectJob(id workflow.JobID, step workflow.StepSpec, suspects ...int) PendingRun {
	job := &workflow.Job{ID: id, Service: "s", Phase: workflow.PhaseLive, Steps: []workflow.StepSpec{step}}
	for _, i := range suspects {
		job.Suspects = append(job.Suspects, workflow.Suspect{Index: i, Crashed: []uint32{1}, Suspicions: 1})
	}
	return PendingRun{Job: job}
}

func freeWorker(id string, attempts int) *Worker {
	w := &Worker{Usable: true, Worker: workflow.Worker{
		Incarnation: workflow.Incarnation{Worker: workflow.WorkerID(id), StartedAt: 1}, Service: "s", CPUMillis: 8000, MemoryMiB: 1000,
	}}
	for i := range attempts {
		w.Allocations = append(w.Allocations, Allocation{OpenAttempt: workflow.OpenAttempt{
			Attempt: workflow.Attempt{Task: workflow.TaskKey{Job: "running", Index: i}, Number: 1}, Step: &workflow.StepSpec{CPUMillis: 1},
		}})
	}
	return w
}

// Guards against a second suspect or another task beside a suspect that has just started: a crash
// would not tell which of them caused it, and would end them all.
func TestNoTaskStartsBesideSuspect(t *testing.T) {
	for name, alone := range map[string]map[workflow.TaskKey]bool{"crashes": nil, "possible crashes": {{Job: "j"}: true, {Job: "j", Index: 1}: true}} {
		p := &Snapshot{Workers: []*Worker{freeWorker("a", 3), freeWorker("b", 1), freeWorker("c", 2)}, Cautions: workflow.Cautions{StartAlone: alone}}
		q := suspectJob("j", workflow.StepSpec{Count: 6, CPUMillis: 100}, 0, 1)
		if alone != nil {
			q.Job.Suspects = nil
		}
		p.PendingRuns = []PendingRun{q}
		assigned, _ := Plan(p, NewPlannerState())
		workerOf := map[int]workflow.WorkerID{}
		for _, a := range assigned {
			workerOf[a.Attempt.Task.Index] = a.Incarnation.Worker
		}
		if workerOf[0] != "b" || workerOf[1] != "c" {
			t.Errorf("%s: the suspects start on %q and %q, want the workers with the fewest attempts, b and c", name, workerOf[0], workerOf[1])
		}
		for i := 2; i < 6; i++ {
			if workerOf[i] != "a" {
				t.Errorf("%s: task %d starts on %q, want a, on which no suspect starts", name, i, workerOf[i])
			}
		}
	}
}

// Guards against a task that starts beside a suspect of an earlier pass that has not survived yet.
func TestIsolatedWorkerTakesNoTasks(t *testing.T) {
	isolated := freeWorker("a", 1)
	isolated.Isolated = true
	p := &Snapshot{Workers: []*Worker{isolated}, PendingRuns: []PendingRun{suspectJob("j", workflow.StepSpec{Count: 1, CPUMillis: 100})}}
	assigned, waits := Plan(p, NewPlannerState())
	if len(assigned) > 0 || len(waits) != 1 || waits[0].Reason != WaitIsolation {
		t.Errorf("assigned %v, waits %v; want no task and the reason of the isolation", assigned, waits)
	}
}

// Guards against suspects that wait for each other beside free workers after all workers have crashed, also
// several times.
func TestManySuspectsStartWithinSeconds(t *testing.T) {
	const (
		workers, suspects, crashes = 48, 1000, 3
		isolation                  = model.Millis(750) // until a worker has cleared its suspects
		limit                      = model.Millis(3000)
	)
	s := newCrashSim(1)
	for range workers - simWorkers {
		s.addWorker()
	}
	s.apply(workflow.Command{Submit: &workflow.Submission{Host: "h", Path: "/q/j", Steps: []workflow.StepSpec{{Count: suspects, CPUMillis: 50}}}})
	for range crashes {
		s.assignAll("j")
		for _, incarnation := range s.liveWorkers() {
			s.crash(incarnation, true)
		}
	}
	isolatedUntil, started := map[workflow.Incarnation]model.Millis{}, 0
	for end := s.now + limit; s.now <= end; s.now += simStep {
		p := s.snapshot()
		for _, w := range p.Workers {
			w.Isolated = isolatedUntil[w.Incarnation] > s.now
		}
		assigned, _ := Plan(p, s.planner)
		for _, a := range assigned {
			isolatedUntil[a.Incarnation] = s.now + isolation
		}
		s.apply(workflow.Command{Batch: &workflow.Batch{Assign: assigned}})
		started += len(assigned)
	}
	if started < suspects {
		t.Errorf("%d of %d suspects have started after %d ms", started, suspects, limit)
	}
}

// Guards against sound tasks that are taken down again and again because they start beside a suspect of several
// crashes, which most likely crashes its workers.
func TestOnlyWeakSuspectsShareWorkers(t *testing.T) {
	for _, c := range []struct {
		name       string
		suspicions int
		alone      bool
		want       int
	}{{"one crash", 1, false, 3}, {"two crashes", 2, false, 1}, {"possible crashes", 1, true, 1}} {
		p := &Snapshot{Now: 2 * maxIsolationWait, Workers: []*Worker{freeWorker("a", 0)}}
		q := suspectJob("j", workflow.StepSpec{Count: 3, CPUMillis: 100}, 0, 1, 2)
		for i := range q.Job.Suspects {
			q.Job.Suspects[i].Suspicions = c.suspicions
		}
		if c.alone {
			p.Cautions.StartAlone = map[workflow.TaskKey]bool{{Job: "j"}: true, {Job: "j", Index: 1}: true, {Job: "j", Index: 2}: true}
		}
		p.PendingRuns = []PendingRun{q}
		if assigned, _ := Plan(p, NewPlannerState()); len(assigned) != c.want {
			t.Errorf("%s: %d suspects start on one worker, want %d", c.name, len(assigned), c.want)
		}
	}
}

// crashSim runs jobs on workers of which some crash, with the planner and the replicated state.
type crashSim struct {
	random   *rand.Rand
	state    *workflow.State
	routing  *model.Routing
	planner  *PlannerState
	now      model.Millis
	deadly   map[workflow.TaskKey]bool
	starts   map[workflow.TaskKey]int
	startsAt map[workflow.Attempt]model.Millis
	worker   int // number of the next worker
	ends     map[workflow.Incarnation]uint64
	down     map[workflow.Incarnation]bool // silent workers whose crash is not proven
}

const (
	simSeeds      = 100
	simPasses     = 300
	simWorkers    = 8
	simJobs       = 30
	simRunTime    = model.Millis(900)
	simStep       = model.Millis(100) // between two passes
	maxCrashStart = 5                 // starts of a task that crashes its workers: three, and two more
)

func newCrashSim(seed uint64) *crashSim {
	s := &crashSim{
		random: rand.New(rand.NewPCG(seed, 1)), state: workflow.New(), planner: NewPlannerState(), deadly: map[workflow.TaskKey]bool{},
		starts: map[workflow.TaskKey]int{}, startsAt: map[workflow.Attempt]model.Millis{}, ends: map[workflow.Incarnation]uint64{}, down: map[workflow.Incarnation]bool{},
		routing: &model.Routing{
			Routes:   []model.Route{{Name: "q", Host: "h", PathPrefix: "/q/", Service: "s", TimeoutMs: 1000, MaxAttempts: 3, SlackFactor: 2}},
			Services: []model.WorkerService{{Name: "s"}},
		},
	}
	for range simWorkers {
		s.addWorker()
	}
	return s
}

func (s *crashSim) apply(c workflow.Command) { s.state.Apply(s.now, s.routing, &c) }

func (s *crashSim) addWorker() {
	s.worker++
	w := workflow.Worker{
		Incarnation: workflow.Incarnation{Worker: workflow.WorkerID(fmt.Sprintf("w%03d", s.worker)), StartedAt: s.now}, Service: "s", CPUMillis: 4000, MemoryMiB: 1000,
	}
	s.apply(workflow.Command{Batch: &workflow.Batch{Workers: []workflow.Worker{w}}})
}

func (s *crashSim) submit(number int) {
	step := workflow.StepSpec{Count: 1 + s.random.IntN(4), CPUMillis: 1000, EstimateMs: simRunTime, LongRunning: s.random.IntN(6) == 0}
	id := fmt.Sprintf("j%02d", number)
	s.apply(workflow.Command{Submit: &workflow.Submission{Host: "h", Path: "/q/" + id, Steps: []workflow.StepSpec{step}}})
	if s.random.IntN(8) == 0 {
		s.deadly[workflow.TaskKey{Job: workflow.JobID(id), Index: s.random.IntN(step.Count)}] = true
	}
}

// attemptsOn returns the open attempts of the worker, in order.
func (s *crashSim) attemptsOn(incarnation workflow.Incarnation) []workflow.OpenAttempt {
	var attempts []workflow.OpenAttempt
	s.state.VisitOpenAttempts(incarnation, func(a workflow.OpenAttempt) { attempts = append(attempts, a) })
	slices.SortFunc(attempts, func(a, b workflow.OpenAttempt) int { return a.Attempt.Task.Compare(b.Attempt.Task) })
	return attempts
}

// ran returns for how long an attempt has run.
func (s *crashSim) ran(a workflow.Attempt) model.Millis { return s.now - s.startsAt[a] }

// crash ends a worker with all that runs there, and starts its successor. common tells that most workers crash.
func (s *crashSim) crash(incarnation workflow.Incarnation, common bool) {
	s.endWorker(incarnation, common)
	s.addWorker()
}

func (s *crashSim) endWorker(incarnation workflow.Incarnation, common bool) {
	c := workflow.Crash{Incarnation: incarnation, Common: common}
	var lost []workflow.LostAttempt
	for _, a := range s.attemptsOn(incarnation) {
		c.Attempts = append(c.Attempts, workflow.CrashedAttempt{Attempt: a.Attempt, RanMs: s.ran(a.Attempt)})
		lost = append(lost, workflow.LostAttempt{Incarnation: incarnation, Attempt: a.Attempt})
	}
	s.apply(workflow.Command{Batch: &workflow.Batch{Crashes: []workflow.Crash{c}, Lost: lost}})
}

// assignAll starts the tasks of a job on the workers in turn, without the planner.
func (s *crashSim) assignAll(id workflow.JobID) {
	live, job := s.liveWorkers(), s.state.Jobs[id]
	var assigned []workflow.Assignment
	for i := range job.Steps[0].Count {
		number := uint32(1)
		if run := job.Runs[0]; run != nil {
			number = run.Steps[0].Tasks[i].Attempt + 1
		}
		attempt := workflow.Attempt{Task: workflow.TaskKey{Job: id, Index: i}, Number: number}
		assigned = append(assigned, workflow.Assignment{Attempt: attempt, Incarnation: live[i%len(live)]})
		s.startsAt[attempt] = s.now
	}
	s.apply(workflow.Command{Batch: &workflow.Batch{Assign: assigned}})
}

// snapshot returns the input of a pass.
func (s *crashSim) snapshot() *Snapshot {
	p := &Snapshot{Now: s.now, Cautions: s.state.Cautions(s.now)}
	for _, incarnation := range s.liveWorkers() {
		w := s.state.Workers[incarnation.Worker]
		d := &Worker{Worker: *w, Usable: true}
		for _, a := range s.attemptsOn(incarnation) {
			d.Allocations = append(d.Allocations, Allocation{OpenAttempt: a, Listed: true})
			d.Isolated = d.Isolated || ((a.Suspect || p.Cautions.StartAlone[a.Attempt.Task]) && s.ran(a.Attempt) < workflow.CrashWindow)
		}
		p.Workers = append(p.Workers, d)
	}
	s.state.VisitLiveJobs(func(job *workflow.Job) { p.PendingRuns = append(p.PendingRuns, PendingRun{Job: job, Run: job.Runs[0]}) })
	return p
}

// plan plans a pass and applies its assignments. It returns the workers on which a deadly task started.
func (s *crashSim) plan() map[workflow.Incarnation]bool {
	assigned, _ := Plan(s.snapshot(), s.planner)
	s.apply(workflow.Command{Batch: &workflow.Batch{Assign: assigned}})
	crashing := map[workflow.Incarnation]bool{}
	for _, a := range assigned {
		s.starts[a.Attempt.Task]++
		s.startsAt[a.Attempt] = s.now
		if s.deadly[a.Attempt.Task] {
			crashing[a.Incarnation] = true
		}
	}
	return crashing
}

func (s *crashSim) liveWorkers() []workflow.Incarnation {
	var live []workflow.Incarnation
	for _, w := range s.state.Workers {
		if !w.Crashed && !s.down[w.Incarnation] {
			live = append(live, w.Incarnation)
		}
	}
	slices.SortFunc(live, workflow.Incarnation.Compare)
	return live
}

// finish ends the short attempts that have run for their time.
func (s *crashSim) finish() {
	for _, incarnation := range s.liveWorkers() {
		var ends []workflow.End
		for _, a := range s.attemptsOn(incarnation) {
			if s.ran(a.Attempt) < simRunTime || a.Step.LongRunning {
				continue
			}
			s.ends[incarnation]++
			ends = append(ends, workflow.End{Incarnation: incarnation, Number: s.ends[incarnation], Attempt: a.Attempt, Kind: workflow.EndDone})
		}
		s.apply(workflow.Command{Batch: &workflow.Batch{Ends: ends}})
	}
}

// step plays one pass and returns the number of workers that crashed under a deadly task.
func (s *crashSim) step(pass int) (crashes int) {
	s.now += simStep
	if pass%4 == 0 && pass/4 < simJobs {
		s.submit(pass / 4)
	}
	s.finish()
	if s.random.IntN(50) == 0 {
		live := s.liveWorkers()
		s.crash(live[s.random.IntN(len(live))], false)
	}
	crashing := s.plan()
	for _, incarnation := range s.liveWorkers() {
		if crashing[incarnation] {
			s.crash(incarnation, false)
			crashes++
		}
	}
	return crashes
}

// isDeadly reports whether the job has a task that crashes its workers.
func (s *crashSim) isDeadly(job workflow.JobID) bool {
	for task := range s.deadly {
		if task.Job == job {
			return true
		}
	}
	return false
}

// Guards against a task that crashes worker after worker without end, and against sound tasks that
// are given up because they ran on workers that others crashed or that crashed by themselves.
func TestOnlyTasksThatCrashWorkersAreGivenUp(t *testing.T) {
	crashes, givenUp := 0, 0
	for seed := range uint64(simSeeds) {
		s := newCrashSim(seed)
		for pass := range simPasses {
			crashes += s.step(pass)
		}
		for task := range s.deadly {
			if s.starts[task] > maxCrashStart {
				t.Errorf("seed %d: task %s crashed %d workers", seed, task, s.starts[task])
			}
		}
		for id, job := range s.state.Jobs {
			if job.Phase != workflow.PhaseFailed {
				continue
			}
			givenUp++
			if !s.isDeadly(id) {
				t.Errorf("seed %d: the sound job %s has failed: %s", seed, id, job.Reason)
			}
		}
	}
	t.Logf("%d crashes by tasks, %d jobs given up", crashes, givenUp)
}

// Guards against a task that starts while it is held back, and against others that wait with it: only
// the rest of its gang does.
func TestHeldBackTaskDoesNotStart(t *testing.T) {
	for _, gang := range []bool{false, true} {
		p := &Snapshot{Workers: []*Worker{freeWorker("a", 0)}, Cautions: workflow.Cautions{HeldBack: map[workflow.TaskKey]bool{{Job: "j", Index: 1}: true}}}
		p.PendingRuns = []PendingRun{suspectJob("j", workflow.StepSpec{Count: 3, CPUMillis: 100, Gang: gang})}
		assigned, waits := Plan(p, NewPlannerState())
		var started []int
		for _, a := range assigned {
			started = append(started, a.Attempt.Task.Index)
		}
		want := []int{0, 2}
		if gang {
			want = nil
		}
		if !slices.Equal(started, want) || len(waits) != 1 || waits[0].Reason != WaitBackoff {
			t.Errorf("gang %v: tasks %v start and %v wait, want %v and the one that is held back", gang, started, waits, want)
		}
	}
}

// Guards against restarts and short jobs that wait because suspects have taken every worker.
func TestSuspectsDoNotTakeEveryWorker(t *testing.T) {
	const suspects = 32
	crashed := testJob("crashed", 0, workflow.StepSpec{Count: suspects, CPUMillis: 100, LongRunning: true})
	tasks := make([]workflow.Task, suspects)
	for i := range tasks {
		tasks[i].Attempt = 1
		crashed.Suspects = append(crashed.Suspects, workflow.Suspect{Index: i, Crashed: []uint32{1}, Suspicions: 1})
	}
	crashed.Runs = map[int]*workflow.Run{0: {Steps: []workflow.StepRun{{Tasks: tasks}}}}
	restart := testJob("restart", 0, workflow.StepSpec{Count: 1, CPUMillis: 100, LongRunning: true})
	restart.Runs = map[int]*workflow.Run{0: {Steps: []workflow.StepRun{{Tasks: []workflow.Task{{Attempt: 1}}}}}}
	short := testJob("short", 0, workflow.StepSpec{Count: 1, CPUMillis: 100, EstimateMs: 800})
	var workers []*Worker
	for i := range 8 {
		workers = append(workers, testWorker(fmt.Sprint("w", i), 1000, 1000))
	}
	assigned, _ := Plan(newSnapshot(workers, crashed, restart, short), NewPlannerState())
	started := map[workflow.JobID]int{}
	for _, a := range assigned {
		started[a.Attempt.Task.Job]++
	}
	if started["crashed"] != 6 || started["restart"] != 1 || started["short"] != 1 {
		t.Errorf("started %v, want 6 suspects, the restart and the short job", started)
	}
}
