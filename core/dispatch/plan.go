package dispatch

import (
	"slices"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
)

// Plan computes the assignments of one scheduling pass. It takes the runs in the order of
// sortRuns and assigns each waiting task to the feasible worker with the highest score. waits
// has an entry for each step with a task that could not be placed, with the reason of the first
// such task.
func Plan(p *Snapshot, state *PlannerState) (assign []workflow.Assignment, waits []WaitingStep) {
	pass := newPass(p, state)
	pass.placeRuns(p)
	return pass.assignments, pass.waits
}

func newPass(p *Snapshot, state *PlannerState) *pass {
	pass := &pass{
		now: p.Now, workers: p.Workers, cautions: p.Cautions, interference: state.InterferenceModel, restarts: state.RestartHistory,
		costs: p.Costs, nearWaits: state.NearWaits, spareRunBytes: p.SpareRunBytes,
		starvationTimeouts: starvationTimeouts(p), firstStartBudget: state.ShortTaskReserve.firstStartBudget(p),
	}
	for _, w := range p.Workers {
		switch {
		case w.Usable:
			pass.usable = append(pass.usable, w)
		case w.LastResort:
			pass.lastResorts = append(pass.lastResorts, w)
		}
	}
	return pass
}

func (p *pass) placeRuns(snapshot *Snapshot) {
	p.restarts.forgetOld(p.now)
	p.nearWaits.forgetOld(p.now)
	for _, turn := range sortRuns(snapshot, p.restarts) {
		if snapshot.BeforeBestEffort && usesSpareCPU(turn.Job) {
			break
		}
		if turn.until > 0 {
			p.placeBacklog(turn)
			continue
		}
		p.placeRun(turn)
	}
}

func usesSpareCPU(job *workflow.Job) bool {
	return slices.ContainsFunc(job.Steps, func(step workflow.StepSpec) bool { return step.UsesSpareCPU })
}

// pass is the working state of one call of Plan.
type pass struct {
	now                model.Millis
	cautions           workflow.Cautions
	interference       *InterferenceModel
	restarts           *RestartHistory
	costs              PlaceCosts
	nearWaits          *NearWaits
	racks              map[rackKey]*rack       // set by rackOf
	starvationTimeouts map[string]model.Millis // by service
	firstStartBudget   map[string]int64        // for first starts of long-running tasks, by service
	spareRunBytes      int64                   // see Snapshot
	startedRuns        map[*workflow.Job]int   // occurrences that this pass starts
	backlogTasks       int                     // tasks of backlogs that this pass starts
	workers            []*Worker
	usable             []*Worker
	answering          map[workflow.Incarnation]bool // set by answers
	lastResorts        []*Worker                     // those that have no task of this pass
	candidates         []*candidate                  // the usable workers; set by buildCandidates
	servingImages      imageIndex
	coefficients       map[string]*coefficientRow // by best-effort image
	steps              []readyStep                // of the present run; the memory serves all runs
	tasks              []readyTask                // of steps
	ranking            ranking                    // of the present step; its memory serves all steps
	unplaced           []unplaced
	assignments        []workflow.Assignment
	waits              []WaitingStep
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
	return u.needsNoMore(service, step) && u.step.Image == step.Image && u.step.UsesSpareCPU == step.UsesSpareCPU &&
		u.step.CPUMillis <= step.CPUMillis
}

// leavesNoRoomFor reports whether no worker has the room for the given step, of whatever image. A step that
// uses spare CPU finds room whatever its CPU is, so the given step must not be one unless u is.
func (u *unplaced) leavesNoRoomFor(service string, step *workflow.StepSpec) bool {
	return u.reason <= WaitNoCapacity && u.needsNoMore(service, step) &&
		(u.step.UsesSpareCPU || (!step.UsesSpareCPU && u.step.CPUMillis <= step.CPUMillis))
}

func (u *unplaced) needsNoMore(service string, step *workflow.StepSpec) bool {
	return u.service == service && u.step.RequiredLabel == step.RequiredLabel && u.step.MaxPerWorker == 0 &&
		u.step.MemoryMiB <= step.MemoryMiB && u.step.Accelerators <= step.Accelerators
}

// knownUnplaced returns why no worker is feasible for the step, if that is known in this pass. A rating might give
// another reason for a suspect, and a gang that finds no room ends what is known.
func (p *pass) knownUnplaced(job *workflow.Job, step *workflow.StepSpec) (WaitReason, bool) {
	for i := range p.unplaced {
		if p.unplaced[i].rulesOut(job.Service, step) {
			return p.unplaced[i].reason, true
		}
	}
	if step.Gang || len(job.Suspects) > 0 || len(p.cautions.StartAlone) > 0 {
		return 0, false
	}
	for i := range p.unplaced {
		if reason := p.unplaced[i].reason; p.unplaced[i].leavesNoRoomFor(job.Service, step) {
			p.unplaced = append(p.unplaced, unplaced{job.Service, step, reason}) // as after a rating
			return reason, true
		}
	}
	return 0, false
}

// readyStep holds the tasks of one step that may start.
type readyStep struct {
	step    int
	first   int // index of the first task among those of the run
	tasks   []readyTask
	failing bool // some of the tasks are
}

type readyTask struct {
	index   int
	task    workflow.Task
	failing bool // the last restart failed soon
}

func (p *pass) placeRun(turn turn) {
	q := turn.PendingRun
	for _, ready := range p.readySteps(q) {
		p.restarts.markFailing(q, &ready)
		ready.forTurn(turn.failing)
		ready.putRestartsFirst()
		if p.dropHeldBack(q, &ready); len(ready.tasks) > 0 {
			p.placeStep(q, ready)
		}
	}
}

// readySteps returns the steps of a run with tasks that may start. They are valid until the next call.
func (p *pass) readySteps(q PendingRun) []readyStep {
	steps, tasks := p.steps[:0], p.tasks[:0]
	q.Job.ReadyTasks(q.Run, func(step, index int, task workflow.Task) {
		if len(steps) == 0 || steps[len(steps)-1].step != step {
			steps = append(steps, readyStep{step: step, first: len(tasks)})
		}
		tasks = append(tasks, readyTask{index: index, task: task})
	})
	end := len(tasks)
	for i := len(steps) - 1; i >= 0; i-- {
		steps[i].tasks = tasks[steps[i].first:end:end]
		end = steps[i].first
	}
	p.steps, p.tasks = steps, tasks
	return steps
}

// putRestartsFirst moves the tasks that ran before to the front, because the reserve for short tasks may
// hold back the others.
func (r *readyStep) putRestartsFirst() {
	slices.SortStableFunc(r.tasks, func(a, b readyTask) int { return compareBool(a.task.Attempt == 0, b.task.Attempt == 0) })
}

func (p *pass) placeStep(q PendingRun, ready readyStep) {
	p.buildCandidates()
	spec := &q.Job.Steps[ready.step]
	starved := p.starved(q) || p.isDownTooLong(q, spec, ready.tasks[0].task)
	first := len(p.assignments)
	defer func() { p.recordRestarts(spec, ready.tasks, first) }()
	minAttempt := uint32(0)
	if spec.Gang {
		minAttempt = nextGangAttempt(q, ready.step)
	}
	if !starved && !p.mayUseLastResort(q.Job, spec, ready.tasks[0].task, starved) {
		if reason, known := p.knownUnplaced(q.Job, spec); known && !p.mayShare(q, ready) {
			p.recordWait(q, ready.step, ready.tasks, reason)
			return
		}
	}
	n := p.needsOf(q, ready.step)
	if spec.SameRack && n.near == "" {
		n.near = p.groupRack(q, ready.step, len(ready.tasks))
	}
	var ranked *ranking
	for i, waiting := range ready.tasks {
		key := workflow.TaskKey{Job: q.Job.ID, Occurrence: q.Occurrence, Step: ready.step, Index: waiting.index}
		if ranked == nil && !starved && waiting.task.Failures == 0 {
			ranked = p.newRanking(n)
		}
		suspect := p.isSuspect(q.Job, key)
		best, reason := p.bestFor(ranked, n, waiting.task, starved)
		if best == nil && !starved {
			p.unplaced = append(p.unplaced, unplaced{q.Job.Service, spec, reason})
		}
		if suspect {
			best, reason = p.workerForSuspect(n, waiting.task, p.mayShareIsolation(q.Job, key, waiting.task), starved, reason)
		}
		if best == nil {
			best = p.takeLastResort(q.Job, n, waiting.task, starved)
		}
		if best != nil && best.index != notRanked && !starved && p.waitPays(&n, best) {
			best, reason = nil, WaitNearPlace
		}
		if best != nil && best.index != notRanked && !p.takeFirstStartBudget(q.Job, spec, waiting.task) {
			best, reason = nil, WaitShortTaskReserve
		}
		if best == nil && suspect {
			p.recordWait(q, ready.step, ready.tasks[i:i+1], reason)
			continue // a suspect that has waited for longer may share a worker
		}
		if best == nil {
			p.recordWait(q, ready.step, ready.tasks[i:], reason)
			if spec.Gang {
				p.undoAssignments(first, q.Job, &n, ready.tasks)
			}
			return // the tasks that follow need the same, and none of them is a restart if this one is not
		}
		best.reserve(spec, key)
		best.consumeHeadroom(&n, 1)
		best.isolated, best.sharable = suspect, suspect && p.isSharable(q.Job, key)
		if ranked != nil {
			ranked.update(best)
		}
		starved = starved && spec.Gang // one task is enough to go on, but a gang needs all of them
		number := max(minAttempt, waiting.task.Attempt+1)
		p.assignments = append(p.assignments, workflow.Assignment{
			Attempt: workflow.Attempt{Task: key, Number: number}, Incarnation: best.worker.Incarnation,
		})
	}
	if spec.Gang && len(ready.tasks) < spec.Count {
		p.undoAssignments(first, q.Job, &n, ready.tasks) // a member still runs; the gang starts again once all members wait
	}
}

// recordWait records that the tasks of a step wait, and how many of them are restarts.
func (p *pass) recordWait(q PendingRun, step int, tasks []readyTask, reason WaitReason) {
	wait := WaitingStep{Job: q.Job.ID, Occurrence: q.Occurrence, Step: step, Service: q.Job.Service, Reason: reason}
	if q.Job.Steps[step].LongRunning {
		for _, waiting := range tasks {
			if waiting.task.Attempt > 0 {
				wait.Restarts++
			}
		}
	}
	p.waits = append(p.waits, wait)
}

// buildCandidates computes the free resources of the usable workers at its first call in a pass,
// so that a pass without tasks to place skips this work.
func (p *pass) buildCandidates() {
	if p.candidates != nil {
		return
	}
	block := make([]candidate, len(p.usable)) // rankings visit all of them many times
	p.candidates = make([]*candidate, len(p.usable))
	for i, w := range p.usable {
		block[i].init(w, i)
		p.candidates[i] = &block[i]
	}
}

// needs is what the tasks of one step require of a worker.
type needs struct {
	service      string
	spec         *workflow.StepSpec
	step         stepKey
	coefficients *coefficientRow // nil unless the step uses spare CPU
	near         string          // label of the rack near which the tasks are faster; empty if none
}

func (p *pass) needsOf(q PendingRun, step int) needs {
	n := needs{service: q.Job.Service, spec: &q.Job.Steps[step], step: stepKey{q.Job.ID, q.Occurrence, step}}
	n.near = n.spec.DataRack
	if n.spec.UsesSpareCPU {
		n.coefficients = p.coefficientsOf(n.spec.Image)
	}
	return n
}

// bestFor returns the worker for a task, or nil and the reason why none is feasible. It uses the
// ranking of the step, if there is one, for a task without a rating of its own.
func (p *pass) bestFor(r *ranking, n needs, task workflow.Task, starved bool) (*candidate, WaitReason) {
	if r != nil && !starved && task.Failures == 0 {
		return r.best()
	}
	return p.best(n, task, starved)
}

// best returns the feasible worker with the highest score, or nil and the reason why none
// is feasible. A starved task ignores interference and missing spare CPU.
func (p *pass) best(n needs, task workflow.Task, starved bool) (best *candidate, reason WaitReason) {
	bestScore := 0.0
	for _, c := range p.candidates {
		score, obstacle, ok := c.rate(&n, task, starved)
		switch {
		case !ok:
			reason = max(reason, obstacle)
		case best == nil || score > bestScore:
			best, bestScore = c, score
		}
	}
	return best, reason
}

// rate returns the score of a worker for a task, or the obstacle if the worker is not feasible.
func (c *candidate) rate(n *needs, task workflow.Task, starved bool) (value float64, obstacle WaitReason, ok bool) {
	if c.worker.Service != n.service {
		return 0, WaitNoWorker, false
	}
	if obstacle, ok := c.feasible(n); !ok {
		return 0, obstacle, false
	}
	cost := 0.0
	if n.spec.UsesSpareCPU {
		var tolerable bool
		if cost, tolerable = c.interferenceCost(n); !tolerable && !starved {
			return 0, WaitInterference, false
		}
		if c.spareCPU < n.spec.CPUMillis && !starved {
			return 0, WaitNoSpareCPU, false
		}
	}
	return c.score(n, task, cost), 0, true
}

// feasible reports whether the worker meets the requirements of the step and has the resources
// free, and if not, which obstacle it found first.
func (c *candidate) feasible(n *needs) (obstacle WaitReason, ok bool) {
	spec := n.spec
	switch {
	case spec.RequiredLabel != "" && !c.worker.HasLabel(spec.RequiredLabel):
		return WaitNoLabel, false
	case !c.fits(spec):
		return WaitNoCapacity, false
	case spec.MaxPerWorker != 0 && c.taskCount(n.step) >= spec.MaxPerWorker:
		return WaitMaxPerWorker, false
	case c.isolated:
		return WaitIsolation, false
	}
	return 0, true
}

// interferenceCost returns the utilization that a best-effort task would add to the serving tasks
// of the worker in total, and whether each of them has the headroom for it.
func (c *candidate) interferenceCost(n *needs) (cost float64, tolerable bool) {
	tolerable = true
	share := c.shareOf(n.spec)
	for _, h := range c.headroomsFor(n) {
		coeff := n.coefficients.of(h.image)
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

// consumeHeadroom subtracts (sign 1) or adds back (sign -1) the expected interference of a new best-effort
// task from the headroom of the serving tasks.
func (c *candidate) consumeHeadroom(n *needs, sign float64) {
	if !n.spec.UsesSpareCPU {
		return
	}
	share := c.shareOf(n.spec)
	headrooms := c.headroomsFor(n)
	for i := range headrooms {
		h := &headrooms[i]
		h.free -= sign * n.coefficients.of(h.image) * share
	}
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
func (c *candidate) score(n *needs, task workflow.Task, cost float64) float64 {
	spec := n.spec
	value := -c.coldCost()
	if n.near != "" && n.isNear(c.worker) {
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
		if c.taskCount(n.step) > 0 {
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
