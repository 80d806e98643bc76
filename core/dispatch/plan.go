package dispatch

import (
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
)

// Plan computes the assignments of one scheduling pass. It takes the runs in the order of
// sortRuns and assigns each waiting task to the feasible worker with the highest score. waits
// has an entry for each step with a task that could not be placed, with the reason of the first
// such task.
func Plan(p *Snapshot, state *PlannerState) (assign []workflow.Assignment, waits []WaitingStep) {
	pass := &pass{now: p.Now, interference: state.InterferenceModel, starvationTimeout: starvationTimeout(p), firstStartBudget: state.ShortTaskReserve.firstStartBudget(p)}
	for _, w := range p.Workers {
		if w.Usable {
			pass.usable = append(pass.usable, w)
		}
	}
	for _, run := range sortRuns(p) {
		pass.placeRun(run)
	}
	return pass.assignments, pass.waits
}

// pass is the working state of one call of Plan.
type pass struct {
	now               model.Millis
	interference      *InterferenceModel
	starvationTimeout model.Millis
	firstStartBudget  map[string]int64 // for first starts of long-running tasks, by service
	usable            []*Worker
	candidates        []*candidate // the usable workers; set by buildCandidates
	unplaced          []unplaced
	assignments       []workflow.Assignment
	waits             []WaitingStep
}

// unplaced is a step for which no worker was feasible in this pass. Free capacity only shrinks
// within a pass, so steps that need as much or more are skipped. With hundreds of workers and
// dozens of waiting steps, searching for each of them made passes last longer than short jobs can
// wait.
type unplaced struct {
	service string
	step    *workflow.StepSpec
	reason  WaitReason
}

// rulesOut reports whether no worker can be feasible for the given step either, because it has the
// same requirements and needs at least as much.
func (u *unplaced) rulesOut(service string, step *workflow.StepSpec) bool {
	return u.service == service && u.step.Image == step.Image && u.step.RequiredLabel == step.RequiredLabel &&
		u.step.UsesSpareCPU == step.UsesSpareCPU && u.step.MaxPerWorker == 0 &&
		u.step.CPUMillis <= step.CPUMillis && u.step.MemoryMiB <= step.MemoryMiB && u.step.Accelerators <= step.Accelerators
}

// knownUnplaced returns why no worker is feasible for the step, if that is known in this pass.
func (p *pass) knownUnplaced(service string, step *workflow.StepSpec) (WaitReason, bool) {
	for i := range p.unplaced {
		if p.unplaced[i].rulesOut(service, step) {
			return p.unplaced[i].reason, true
		}
	}
	return 0, false
}

// readyStep holds the tasks of one step that may start.
type readyStep struct {
	step  int
	tasks []readyTask
}

type readyTask struct {
	index int
	task  workflow.Task
}

func (p *pass) placeRun(q PendingRun) {
	var steps []readyStep
	q.Job.ReadyTasks(q.Run, func(step, index int, task workflow.Task) {
		if len(steps) == 0 || steps[len(steps)-1].step != step {
			steps = append(steps, readyStep{step: step})
		}
		last := &steps[len(steps)-1]
		last.tasks = append(last.tasks, readyTask{index, task})
	})
	for _, ready := range steps {
		p.placeStep(q, ready)
	}
}

func (p *pass) placeStep(q PendingRun, ready readyStep) {
	p.buildCandidates()
	spec := &q.Job.Steps[ready.step]
	starved := p.starved(q)
	first := len(p.assignments)
	minAttempt := uint32(0)
	if spec.Gang {
		minAttempt = nextGangAttempt(q, ready.step)
	}
	if reason, known := p.knownUnplaced(q.Job.Service, spec); known && !starved {
		p.waits = append(p.waits, WaitingStep{q.Job.ID, q.Occurrence, ready.step, reason})
		return
	}
	for _, waiting := range ready.tasks {
		key := workflow.TaskKey{Job: q.Job.ID, Occurrence: q.Occurrence, Step: ready.step, Index: waiting.index}
		best, reason := p.best(q.Job, spec, key, waiting.task, starved)
		if best == nil && !starved {
			p.unplaced = append(p.unplaced, unplaced{q.Job.Service, spec, reason})
		}
		if best != nil && !p.takeFirstStartBudget(q.Job, spec, waiting.task) {
			best, reason = nil, WaitShortTaskReserve
		}
		if best == nil {
			p.waits = append(p.waits, WaitingStep{q.Job.ID, q.Occurrence, ready.step, reason})
			if spec.Gang {
				p.undoAssignments(first, spec)
			}
			return // the other tasks of the step have the same requirements
		}
		best.reserve(spec, key)
		best.consumeHeadroom(p.interference, spec)
		starved = false
		number := max(minAttempt, waiting.task.Attempt+1)
		p.assignments = append(p.assignments, workflow.Assignment{
			Attempt: workflow.Attempt{Task: key, Number: number}, Incarnation: best.worker.Incarnation,
		})
	}
	if spec.Gang && len(ready.tasks) < spec.Count {
		p.undoAssignments(first, spec) // a member still runs; the gang starts again once all members wait
	}
}

// buildCandidates computes the free resources of the usable workers at its first call in a pass,
// so that a pass without tasks to place skips this work.
func (p *pass) buildCandidates() {
	if p.candidates != nil {
		return
	}
	for _, w := range p.usable {
		p.candidates = append(p.candidates, newCandidate(w))
	}
}

// takeFirstStartBudget charges the first start of a long-running task to the budget of its
// service and reports whether the budget allows it. Other tasks are not charged; restarts are not
// limited, because a task that ran before must run again soon, however little capacity is free.
func (p *pass) takeFirstStartBudget(job *workflow.Job, spec *workflow.StepSpec, task workflow.Task) bool {
	if !spec.LongRunning || spec.UsesSpareCPU || task.Attempt > 0 {
		return true
	}
	if p.firstStartBudget[job.Service] < spec.CPUMillis {
		return false
	}
	p.firstStartBudget[job.Service] -= spec.CPUMillis
	return true
}

// nextGangAttempt returns the attempt number that all members of the next gang start share.
func nextGangAttempt(q PendingRun, step int) uint32 {
	highest := uint32(0)
	if q.Run != nil {
		for _, task := range q.Run.Steps[step].Tasks {
			highest = max(highest, task.Attempt)
		}
	}
	return highest + 1
}

// undoAssignments drops the assignments from the index on, because the members of a gang
// must all start together.
func (p *pass) undoAssignments(from int, spec *workflow.StepSpec) {
	for _, a := range p.assignments[from:] {
		for _, c := range p.candidates {
			if c.worker.Incarnation == a.Incarnation {
				c.release(spec, a.Attempt.Task)
			}
		}
	}
	p.unplaced = nil // free capacity has grown again
	p.assignments = p.assignments[:from]
}

// Starvation timeouts: how long a job with ready tasks may have none running before a best-effort
// task is placed even where it interferes. The timeout is short while most of the capacity is
// free, because only interference can explain the wait then. It is much longer otherwise, because
// the placement raises the tail latency of serving tasks.
const (
	starvationTimeoutIdle = model.Millis(1200)
	starvationTimeoutBusy = model.Millis(10_000)
	idleUtilization       = 0.5 // share of the CPU in use below which the short timeout applies
)

// starvationTimeout returns the starvation timeout at the present load.
func starvationTimeout(p *Snapshot) model.Millis {
	used, capacity := int64(0), int64(0)
	for _, w := range p.Workers {
		capacity += w.CPUMillis
		for i := range w.Allocations {
			used += w.Allocations[i].Step.CPUMillis
		}
	}
	if float64(used) < idleUtilization*float64(capacity) {
		return starvationTimeoutIdle
	}
	return starvationTimeoutBusy
}

// starved reports whether the run has had no running task for longer than the starvation timeout.
func (p *pass) starved(q PendingRun) bool {
	since := q.Job.AcceptedAt
	if q.Run != nil {
		for _, step := range q.Run.Steps {
			for i := range step.Tasks {
				if step.Tasks[i].Phase == workflow.TaskOpen {
					return false
				}
				since = max(since, step.Tasks[i].WaitingAt)
			}
		}
	}
	return p.now-since > p.starvationTimeout
}

// best returns the feasible worker with the highest score, or nil and the reason why none
// is feasible. A starved task ignores interference and missing spare CPU.
func (p *pass) best(job *workflow.Job, spec *workflow.StepSpec, key workflow.TaskKey, task workflow.Task, starved bool) (best *candidate, reason WaitReason) {
	bestScore := 0.0
	for _, c := range p.candidates {
		if c.worker.Service != job.Service {
			continue
		}
		if obstacle, ok := feasible(c, spec, key); !ok {
			reason = max(reason, obstacle)
			continue
		}
		cost := 0.0
		if spec.UsesSpareCPU {
			var tolerable bool
			if cost, tolerable = c.interferenceCost(p.interference, spec); !tolerable && !starved {
				reason = max(reason, WaitInterference)
				continue
			}
			if c.spareCPU < spec.CPUMillis && !starved {
				reason = max(reason, WaitNoSpareCPU)
				continue
			}
		}
		score := score(c, spec, key, task, cost)
		if best == nil || score > bestScore {
			best, bestScore = c, score
		}
	}
	return best, reason
}

// feasible reports whether the worker meets the requirements of the step and has the resources
// free, and if not, which obstacle it found first.
func feasible(c *candidate, spec *workflow.StepSpec, key workflow.TaskKey) (obstacle WaitReason, ok bool) {
	switch {
	case spec.RequiredLabel != "" && !c.worker.HasLabel(spec.RequiredLabel):
		return WaitNoLabel, false
	case !c.fits(spec):
		return WaitNoCapacity, false
	case spec.MaxPerWorker != 0 && c.taskCount(stepKeyOf(key)) >= spec.MaxPerWorker:
		return WaitMaxPerWorker, false
	}
	return 0, true
}

// interferenceCost returns the utilization that a best-effort task would add to the serving tasks
// of the worker in total, and whether each of them has the headroom for it.
func (c *candidate) interferenceCost(m *InterferenceModel, spec *workflow.StepSpec) (cost float64, tolerable bool) {
	tolerable = true
	share := float64(spec.CPUMillis) / float64(max(1, c.worker.CPUMillis))
	for _, h := range c.cachedHeadrooms(m) {
		coeff := m.coefficient(h.image, spec.Image)
		if coeff < negligibleCoefficient {
			continue
		}
		cost += coeff * share
		tolerable = tolerable && coeff*share <= h.free
	}
	return cost, tolerable
}

// negligibleCoefficient is the coefficient below which interference is ignored. The noise of the
// samples causes coefficients of this size.
const negligibleCoefficient = 0.15

// consumeHeadroom subtracts the expected interference of a new best-effort task from the headroom
// of the serving tasks.
func (c *candidate) consumeHeadroom(m *InterferenceModel, spec *workflow.StepSpec) {
	if !spec.UsesSpareCPU {
		return
	}
	share := float64(spec.CPUMillis) / float64(max(1, c.worker.CPUMillis))
	headrooms := c.cachedHeadrooms(m)
	for i := range headrooms {
		headrooms[i].free -= m.coefficient(headrooms[i].image, spec.Image) * share
	}
}

// cachedHeadrooms returns the headroom of each serving task of the worker, computed at the first
// call in a pass.
func (c *candidate) cachedHeadrooms(m *InterferenceModel) []headroom {
	if !c.headroomsKnown {
		c.headrooms, c.headroomsKnown = m.headrooms(c.worker), true
	}
	return c.headrooms
}

// Weights of the score. Only their order of magnitude matters: running near the data saves half
// of the run time, and avoiding the worker of the last failure may save the whole attempt.
const (
	dataRackWeight     = 4.0
	lastFailureWeight  = 8.0
	interferenceWeight = 6.0 // a best-effort task that interferes is slowed, or slows serving tasks
	colocationWeight   = 0.4 // for best-effort tasks that do not interfere; leaves workers without serving tasks to those that do
	sameJobWeight      = 1.0 // the tasks of a job have the same load, so they leave CPU spare at the same time
	sameImageWeight    = 1.5 // for workers that serve only this image; each best-effort image then interferes on fewer workers
)

// score rates a feasible worker; higher is better. cost is the result of interferenceCost.
func score(c *candidate, spec *workflow.StepSpec, key workflow.TaskKey, task workflow.Task, cost float64) float64 {
	value := 0.0
	if spec.DataRack != "" && c.worker.HasLabel(spec.DataRack) {
		value += dataRackWeight
	}
	if task.Failures > 0 && task.Incarnation == c.worker.Incarnation {
		value -= lastFailureWeight
	}
	capacity := float64(max(1, c.worker.CPUMillis))
	switch {
	case spec.UsesSpareCPU:
		value += float64(c.spareCPU)/capacity - interferenceWeight*cost
		if c.longRunning > 0 && cost == 0 {
			value += colocationWeight
		}
	case spec.LongRunning:
		value -= float64(c.freeCPU) / capacity // bin packing, so that other workers stay free of serving tasks
		if c.taskCount(stepKeyOf(key)) > 0 {
			value += sameJobWeight
		}
		switch {
		case c.runsOnlyImage(spec.Image):
			value += sameImageWeight
		case c.longRunning > 0:
			value -= sameImageWeight
		}
	default:
		value += float64(c.freeCPU)/capacity + 0.5*float64(c.spareCPU)/capacity
	}
	return value
}
