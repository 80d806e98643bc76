package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
)

// simulation models workers whose serving tasks suffer interference from best-effort tasks. The
// load of each serving job follows a sine wave. A best-effort task adds its share of the cores
// times the true coefficient of the pair of images, which the planner does not know. Latency
// samples carry noise, as those of real workers do.
type simulation struct {
	rng               *rand.Rand
	state             *PlannerState
	workers           []*Worker
	queue             []*workflow.Job
	coefficients      map[imagePair]float64
	submitted         int
	done              int
	overTargetSteps   int // serving tasks over their target, summed over the steps of 100 ms
	longestOverTarget int // most consecutive steps in which one task was over its target
	overTargetStreak  map[workflow.TaskKey]int
	withoutModel      bool // the planner assumes that nothing interferes and changes no pace
	progress          map[workflow.Attempt]float64
	now               model.Millis
}

// imagePair is the images of a serving task and of a best-effort task.
type imagePair struct{ serving, bestEffort string }

// learned returns the estimated coefficient of a pair and the number of samples that updated it.
func (m *InterferenceModel) learned(pair imagePair) (coefficient float64, samples int) {
	s := m.sensitivityOf(pair.serving, 0)
	i, ok := s.images[pair.bestEffort]
	if !ok {
		return 0, 0
	}
	return s.coefficients[i], s.samples[i]
}

// setCoefficient sets the estimated coefficient of a pair.
func (m *InterferenceModel) setCoefficient(serving, bestEffort string, coefficient float64) {
	s := m.sensitivityOf(serving, 0)
	s.coefficients[s.indexOf(bestEffort, 0)] = coefficient
}

const (
	simulationStep      = model.Millis(100)
	tailTarget          = model.Millis(45)
	baseTailMs          = 10.0
	workerCPUMillis     = int64(16_000)
	workerCount         = 12
	bestEffortCPUMillis = int64(1800)
	bestEffortSeconds   = 2.5
)

func newSimulation(seed uint64, withoutModel bool) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), state: NewPlannerState(), withoutModel: withoutModel,
		coefficients: map[imagePair]float64{}, overTargetStreak: map[workflow.TaskKey]int{}, progress: map[workflow.Attempt]float64{},
	}
	for s := range 3 {
		for f := range 6 {
			if (s+f)%3 == 0 {
				sim.coefficients[imagePair{fmt.Sprintf("s%d", s), fmt.Sprintf("f%d", f)}] = 1.0 + sim.rng.Float64()
			}
		}
	}
	for i := range workerCount {
		worker := testWorker(fmt.Sprintf("w%02d", i), workerCPUMillis, 1<<20)
		for index := range 4 {
			step := workflow.StepSpec{
				Count: 4, CPUMillis: 2500, LongRunning: true, TailTargetMs: tailTarget, Image: fmt.Sprintf("s%d", i%3),
			}
			// Workers of one image share their jobs: of each job, two tasks run on one worker
			// and two on the next, because a step may limit its tasks on one worker.
			job := (i + 3*(index/2)) % workerCount
			key := workflow.TaskKey{Job: workflow.JobID(fmt.Sprintf("serving%02d", job)), Index: index}
			worker.Allocations = append(worker.Allocations, Allocation{
				OpenAttempt: workflow.OpenAttempt{Attempt: workflow.Attempt{Task: key, Number: 1}, Incarnation: worker.Incarnation, Step: &step},
				Listed:      true, Percent: 100, Pace: 100,
			})
		}
		sim.workers = append(sim.workers, worker)
	}
	return sim
}

// load returns the true load of a serving job.
func (sim *simulation) load(job workflow.JobID) float64 {
	phase := float64(len(job)) + float64(job[len(job)-1])
	return 0.42 + 0.21*math.Sin(2*math.Pi*float64(sim.now)/10_000+phase)
}

// run simulates a number of seconds in which about rate best-effort tasks arrive per second.
func (sim *simulation) run(seconds, rate int) {
	for range seconds * 10 {
		sim.now += simulationStep
		if sim.rng.IntN(10) < rate/2 {
			sim.submit(2)
		}
		sim.place()
		sim.advance()
		if sim.now%500 == 0 {
			sim.report()
		}
		sim.countOverTarget()
	}
}

func (sim *simulation) submit(count int) {
	sim.submitted++
	job := testJob(fmt.Sprintf("j%d", sim.submitted), 2, workflow.StepSpec{
		Count: count, CPUMillis: bestEffortCPUMillis, MemoryMiB: 1, UsesSpareCPU: true, EstimateMs: 2500,
		Image: fmt.Sprintf("f%d", sim.rng.IntN(6)),
	})
	job.Sequence, job.AcceptedAt = uint64(sim.submitted), sim.now
	job.Runs = map[int]*workflow.Run{0: {Steps: []workflow.StepRun{{Tasks: make([]workflow.Task, count)}}}}
	sim.queue = append(sim.queue, job)
}

func (sim *simulation) place() {
	p := &Snapshot{Now: sim.now, Workers: sim.workers}
	for _, job := range sim.queue {
		p.PendingRuns = append(p.PendingRuns, PendingRun{Job: job, Run: job.Runs[0]})
	}
	if sim.withoutModel {
		sim.state.InterferenceModel = NewInterferenceModel()
		for s := range 3 {
			for f := range 6 {
				sim.state.InterferenceModel.setCoefficient(fmt.Sprintf("s%d", s), fmt.Sprintf("f%d", f), 0)
			}
		}
	}
	assigned, _ := Plan(p, sim.state)
	for _, a := range assigned {
		for _, job := range sim.queue {
			if job.ID != a.Attempt.Task.Job {
				continue
			}
			task := &job.Runs[0].Steps[0].Tasks[a.Attempt.Task.Index]
			task.Phase, task.Attempt = workflow.TaskOpen, a.Attempt.Number
			sim.addBestEffort(a, job.Steps[0])
		}
	}
}

func (sim *simulation) addBestEffort(a workflow.Assignment, step workflow.StepSpec) {
	for _, worker := range sim.workers {
		if worker.Incarnation == a.Incarnation {
			worker.Allocations = append(worker.Allocations, Allocation{
				OpenAttempt: workflow.OpenAttempt{Attempt: a.Attempt, Incarnation: a.Incarnation, Step: &step}, Listed: true, Pace: 100,
			})
		}
	}
}

// advance moves the best-effort tasks on by one step at their pace and removes those that are done.
func (sim *simulation) advance() {
	for _, worker := range sim.workers {
		kept := worker.Allocations[:0]
		for _, r := range worker.Allocations {
			if r.bestEffort() {
				sim.progress[r.Attempt] += float64(simulationStep) / 1000 * float64(r.Pace) / 100
				if sim.progress[r.Attempt] >= bestEffortSeconds {
					sim.done++
					continue
				}
			}
			kept = append(kept, r)
		}
		worker.Allocations = kept
	}
}

// utilization returns the true utilization of a serving task.
func (sim *simulation) utilization(worker *Worker, serving *Allocation) float64 {
	value := sim.load(serving.Attempt.Task.Job)
	for i := range worker.Allocations {
		f := &worker.Allocations[i]
		if f.bestEffort() {
			share := float64(f.Step.CPUMillis) * float64(f.Pace) / 100 / float64(workerCPUMillis)
			value += sim.coefficients[imagePair{serving.Step.Image, f.Step.Image}] * share
		}
	}
	return min(0.98, value)
}

// report passes samples of all workers to the planner and applies the paces that it returns.
func (sim *simulation) report() {
	for _, worker := range sim.workers {
		for i := range worker.Allocations {
			r := &worker.Allocations[i]
			if r.Step.Serving() {
				noisy := min(0.98, max(0, sim.utilization(worker, r)+0.04*sim.rng.NormFloat64()))
				r.TailMs = model.Millis(baseTailMs / (1 - noisy))
			} else {
				r.CPUUsed = r.Step.CPUMillis * int64(r.Pace) / 100
			}
		}
		latency, orders := sim.state.InterferenceModel.Adjust(sim.now, worker, sim.now)
		worker.Latency = latency
		if sim.withoutModel {
			continue
		}
		for _, o := range orders {
			for i := range worker.Allocations {
				if worker.Allocations[i].Attempt == o.Attempt {
					worker.Allocations[i].Pace = o.Percent
				}
			}
		}
	}
}

// countOverTarget counts the serving tasks that are over their target in this step.
func (sim *simulation) countOverTarget() {
	limit := 1 - baseTailMs/float64(tailTarget)
	for _, worker := range sim.workers {
		for i := range worker.Allocations {
			r := &worker.Allocations[i]
			if !r.Step.Serving() {
				continue
			}
			if sim.utilization(worker, r) <= limit {
				sim.overTargetStreak[r.Attempt.Task] = 0
				continue
			}
			sim.overTargetSteps++
			sim.overTargetStreak[r.Attempt.Task]++
			sim.longestOverTarget = max(sim.longestOverTarget, sim.overTargetStreak[r.Attempt.Task])
		}
	}
}

// Guards against serving tasks that miss their latency target because of interference, against
// pacing that reacts too late, and against best-effort tasks that are slowed too much. The baseline
// is a planner that ignores interference and never slows a task.
func TestServingTasksKeepTheirTarget(t *testing.T) {
	const maxSteps = 40 // steps of 100 ms; users tolerate a task over its target for less than 4 s
	for seed := uint64(1); seed <= 5; seed++ {
		withModel, withoutModel := newSimulation(seed, false), newSimulation(seed, true)
		withModel.run(60, 8)
		withoutModel.run(60, 8)
		if withModel.overTargetSteps*4 > withoutModel.overTargetSteps {
			t.Errorf("seed %d: over the target for %d steps, without the model %d", seed, withModel.overTargetSteps, withoutModel.overTargetSteps)
		}
		if withModel.longestOverTarget >= maxSteps {
			t.Errorf("seed %d: a serving task was over its target for %d steps of 100 ms in a row", seed, withModel.longestOverTarget)
		}
		if float64(withModel.done) < 0.8*float64(withoutModel.done) {
			t.Errorf("seed %d: %d best-effort tasks were done, without the model %d", seed, withModel.done, withoutModel.done)
		}
	}
}

// Guards against a model that cannot tell pairs that interfere from those that do not while the
// load rises and falls and best-effort tasks come and go.
func TestModelLearnsCoefficients(t *testing.T) {
	for seed := uint64(1); seed <= 10; seed++ {
		sim := newSimulation(seed, false)
		sim.run(40, 8)
		for s := range 3 {
			for f := range 6 {
				pair := imagePair{fmt.Sprintf("s%d", s), fmt.Sprintf("f%d", f)}
				coefficient, samples := sim.state.InterferenceModel.learned(pair)
				if samples < 30 {
					continue
				}
				if interferes := sim.coefficients[pair] > 0; interferes != (coefficient > 0.5) {
					t.Errorf("seed %d, %v: coefficient %.2f after %d samples, want %.2f", seed, pair, coefficient, samples, sim.coefficients[pair])
				}
			}
		}
	}
}

// sharedWorker returns a worker with one serving task, which is over its target, and one
// best-effort task.
func sharedWorker(bestEffortCPU int64) *Worker {
	worker := testWorker("a", workerCPUMillis, 1000)
	serving := workflow.StepSpec{Count: 2, CPUMillis: 2000, LongRunning: true, TailTargetMs: tailTarget, Image: "s"}
	bestEffort := workflow.StepSpec{Count: 1, CPUMillis: bestEffortCPU, UsesSpareCPU: true, Image: "f"}
	worker.Allocations = []Allocation{
		{OpenAttempt: workflow.OpenAttempt{Attempt: workflow.Attempt{Task: workflow.TaskKey{Job: "s"}}, Step: &serving}, Listed: true, Percent: 100, Pace: 100, TailMs: 60},
		{OpenAttempt: workflow.OpenAttempt{Attempt: workflow.Attempt{Task: workflow.TaskKey{Job: "f"}}, Step: &bestEffort}, Listed: true, Pace: 100, CPUUsed: bestEffortCPU},
	}
	return worker
}

// Guards against slowing best-effort tasks that do not interfere when the serving task is over its
// target because of its own load. The fault paused all best-effort tasks on the worker, and they
// were then moved.
func TestNonInterferingTasksKeepTheirPace(t *testing.T) {
	m := NewInterferenceModel()
	m.sensitivityOf("s", 0).baseTail = baseTailMs
	m.setCoefficient("s", "f", 0.03)
	if _, orders := m.Adjust(500, sharedWorker(4000), 500); len(orders) > 0 {
		t.Errorf("the best-effort task gets pace %d %%, want no change", orders[0].Percent)
	}
}

// Guards against a serving task that stays just over its target because of weak interference that
// is never reduced. Without the interference, the task would meet its target.
func TestServingTaskJustOverTargetLowersPaces(t *testing.T) {
	m := NewInterferenceModel()
	m.sensitivityOf("s", 0).baseTail = baseTailMs
	m.setCoefficient("s", "f", 0.1)
	worker := sharedWorker(8000)
	worker.Allocations[0].TailMs = tailTarget + 1
	_, orders := m.Adjust(500, worker, 500)
	if len(orders) != 1 || orders[0].Percent >= 100 {
		t.Errorf("orders %+v, want a lower pace for the best-effort task", orders)
	}
}

// Guards against best-effort tasks that are never paused because single noisy samples below the
// target reset the time since which the serving task is over it. The serving task then stayed over
// its target for longer than users tolerate.
func TestNoisySamplesDoNotResetOverTargetTime(t *testing.T) {
	m := NewInterferenceModel()
	m.sensitivityOf("s", 0).baseTail = baseTailMs
	m.setCoefficient("s", "f", 0) // wrong: the best-effort task does interfere
	worker := sharedWorker(4000)
	for now := model.Millis(500); now <= 4000; now += 500 {
		worker.Allocations[0].TailMs = tailTarget + 2
		if now/500%3 == 0 {
			worker.Allocations[0].TailMs = tailTarget - 1
		}
		latency, orders := m.Adjust(now, worker, now)
		worker.Latency = latency
		for _, o := range orders {
			if o.Percent == 0 {
				return
			}
		}
	}
	t.Errorf("the best-effort task still runs at pace %d %% after 4 s", worker.Allocations[1].Pace)
}

// Guards against pacing that stops at a large task with negligible interference and never slows a
// small task that interferes.
func TestSmallInterferingTaskIsSlowed(t *testing.T) {
	m := NewInterferenceModel()
	m.sensitivityOf("s", 0).baseTail = baseTailMs
	m.setCoefficient("s", "f", 0.1)
	m.setCoefficient("s", "g", 1)
	worker := sharedWorker(8000)
	worker.Allocations[0].TailMs = 300 // caused by its own load
	interfering := workflow.StepSpec{Count: 1, CPUMillis: 500, UsesSpareCPU: true, Image: "g"}
	worker.Allocations = append(worker.Allocations, allocation(worker, "g", 0, &interfering))
	_, orders := m.Adjust(500, worker, 500)
	if len(orders) != 1 || orders[0].Attempt.Task.Job != "g" {
		t.Errorf("orders %+v, want one for the task that interferes", orders)
	}
}

// Guards against a best-effort task that stays slowed after the load has fallen.
func TestPaceRecoversAfterLoadFalls(t *testing.T) {
	m := NewInterferenceModel()
	m.sensitivityOf("s", 0).baseTail = baseTailMs
	m.setCoefficient("s", "f", 1.5)
	worker := sharedWorker(4000)
	pace := func(now model.Millis) int {
		latency, orders := m.Adjust(now, worker, now)
		worker.Latency = latency
		for _, o := range orders {
			worker.Allocations[1].Pace = o.Percent
		}
		return worker.Allocations[1].Pace
	}
	if got := pace(500); got >= 100 {
		t.Fatalf("the best-effort task runs at pace %d %% although the serving task is over its target", got)
	}
	worker.Allocations[1].CPUUsed = 0
	for now := model.Millis(1000); now < 8000; now += 500 {
		worker.Allocations[0].TailMs = 12 + now/1000%2 // the value changes, because an equal one does not count as a new sample
		if pace(now) == 100 {
			return
		}
	}
	t.Errorf("the best-effort task still runs at pace %d %% long after the load has fallen", worker.Allocations[1].Pace)
}

// Guards against a model that keeps the data of serving jobs that have ended.
func TestEndedJobsAreForgotten(t *testing.T) {
	sim := newSimulation(1, false)
	sim.run(5, 8)
	m := sim.state.InterferenceModel
	if len(m.jobLoads) == 0 || len(m.lastSamples) == 0 {
		t.Fatal("nothing was learned")
	}
	m.Forget(func(id workflow.JobID) bool { return id == "serving00" })
	if len(m.jobLoads) != 1 || len(m.lastSamples) != 4 {
		t.Errorf("%d loads and %d samples are kept, want those of one job with 4 tasks", len(m.jobLoads), len(m.lastSamples))
	}
}

// Guards against a model that grows with every image name that callers choose.
func TestImagesAreBounded(t *testing.T) {
	m := NewInterferenceModel()
	for i := range 3 * maxImages {
		now := model.Millis(500 * (i + 1))
		worker := sharedWorker(4000)
		worker.Allocations[0].Step.Image = fmt.Sprintf("s%d", i/2)
		worker.Allocations[1].Step.Image = fmt.Sprintf("f%d", i)
		m.Adjust(now, worker, now) // both images are new to the model or may be
		worker.Allocations[0].Step.Image, worker.Allocations[0].TailMs = "s", 61
		m.Adjust(now+1, worker, now+1)
	}
	if got := len(m.images); got > maxImages {
		t.Errorf("%d images of serving tasks are kept, want at most %d", got, maxImages)
	}
	s := m.images["s"]
	if s == nil || len(s.images) != maxImages || len(s.covariance) != maxImages {
		t.Fatal("the image in use was forgotten, or the number of best-effort images beside it is not bounded")
	}
	if _, ok := s.images[fmt.Sprintf("f%d", 3*maxImages-1)]; !ok {
		t.Error("the latest best-effort image was forgotten")
	}
}
