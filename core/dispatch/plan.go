package dispatch

import (
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
)

// Plan returns the assignments of one pass: queues in order of urgency, and for each waiting
// task the worker with the best score among those that have room. waits tells of each step
// whose tasks did not all find a place what kept the first one.
func Plan(p *Snapshot, memory *PlannerState) (assign []workflow.Assignment, waits []WaitingStep) {
	pass := &pass{now: p.Now, pressure: memory.InterferenceModel, patience: patience(p), budget: memory.Reserve.budget(p)}
	for _, w := range p.Workers {
		if w.Usable {
			pass.usable = append(pass.usable, w)
		}
	}
	for _, queue := range ordered(p) {
		pass.place(queue)
	}
	return pass.assignments, pass.waits
}

// pass is one run of Plan.
type pass struct {
	now         model.Millis
	pressure    *Pressure
	patience    model.Millis
	budget      map[string]int64 // for first starts of long-running tasks, by service
	usable      []*Worker
	rooms       []*room // of the usable workers, from the first task on
	unplaced    []unplaced
	assignments []workflow.Assignment
	waits       []WaitingStep
}

// unplaced is a step none of whose tasks found a place in this pass. Room only shrinks within a
// pass, so a step that needs as much or more is not looked at again: with hundreds of workers
// and dozens of waiting steps, the search for places made passes last longer than quick jobs
// can wait.
type unplaced struct {
	service string
	step    *workflow.StepSpec
	reason  WaitReason
}

// covers reports whether a task of the step cannot have a place either.
func (u *unplaced) covers(service string, step *workflow.StepSpec) bool {
	return u.service == service && u.step.Image == step.Image && u.step.RequiredLabel == step.RequiredLabel &&
		u.step.UsesSpareCPU == step.UsesSpareCPU && u.step.MaxPerWorker == 0 &&
		u.step.CPUMillis <= step.CPUMillis && u.step.MemoryMiB <= step.MemoryMiB && u.step.Accelerators <= step.Accelerators
}

// knownUnplaced returns why no task of the step can have a place, if that is known.
func (p *pass) knownUnplaced(service string, step *workflow.StepSpec) (WaitReason, bool) {
	for i := range p.unplaced {
		if p.unplaced[i].covers(service, step) {
			return p.unplaced[i].reason, true
		}
	}
	return 0, false
}

// waiting is the tasks of one step that may start.
type waiting struct {
	step  int
	tasks []indexed
}

type indexed struct {
	index int
	task  workflow.Task
}

func (p *pass) place(q PendingRun) {
	var steps []waiting
	q.Job.ReadyTasks(q.Run, func(step, index int, task workflow.Task) {
		if len(steps) == 0 || steps[len(steps)-1].step != step {
			steps = append(steps, waiting{step: step})
		}
		last := &steps[len(steps)-1]
		last.tasks = append(last.tasks, indexed{index, task})
	})
	for _, w := range steps {
		p.placeStep(q, w)
	}
}

func (p *pass) placeStep(q PendingRun, w waiting) {
	p.buildRooms()
	spec := &q.Job.Steps[w.step]
	starved := p.starved(q)
	first := len(p.assignments)
	attempt := uint32(0)
	if spec.Gang {
		attempt = gangAttempt(q, w.step)
	}
	if reason, known := p.knownUnplaced(q.Job.Service, spec); known && !starved {
		p.waits = append(p.waits, WaitingStep{q.Job.ID, q.Occurrence, w.step, reason})
		return
	}
	for _, t := range w.tasks {
		key := workflow.TaskKey{Job: q.Job.ID, Occurrence: q.Occurrence, Step: w.step, Index: t.index}
		best, reason := p.best(q.Job, spec, key, t.task, starved)
		if best == nil && !starved {
			p.unplaced = append(p.unplaced, unplaced{q.Job.Service, spec, reason})
		}
		if best != nil && !p.withinBudget(q.Job, spec, t.task) {
			best, reason = nil, WaitReserve
		}
		if best == nil {
			p.waits = append(p.waits, WaitingStep{q.Job.ID, q.Occurrence, w.step, reason})
			if spec.Gang {
				p.undo(first, spec)
			}
			return // the other tasks of the step need the same
		}
		best.take(spec, key)
		best.press(p.pressure, spec)
		starved = false
		number := max(attempt, t.task.Attempt+1)
		p.assignments = append(p.assignments, workflow.Assignment{
			Attempt: workflow.Attempt{Task: key, Number: number}, Incarnation: best.worker.Incarnation,
		})
	}
	if spec.Gang && len(w.tasks) < spec.Count {
		p.undo(first, spec) // a member still runs; the next attempt begins when all are free
	}
}

// buildRooms accounts for what is free once a pass has something to place.
func (p *pass) buildRooms() {
	if p.rooms != nil {
		return
	}
	for _, w := range p.usable {
		p.rooms = append(p.rooms, newRoom(w))
	}
}

// withinBudget reports whether the task may take from what short tasks need, and takes it. A
// task that ran before has to be back soon, however full the workers are.
func (p *pass) withinBudget(job *workflow.Job, spec *workflow.StepSpec, task workflow.Task) bool {
	if !spec.LongRunning || spec.UsesSpareCPU || task.Attempt > 0 {
		return true
	}
	if p.budget[job.Service] < spec.CPUMillis {
		return false
	}
	p.budget[job.Service] -= spec.CPUMillis
	return true
}

// gangAttempt is the number that all members of the next attempt share.
func gangAttempt(q PendingRun, step int) uint32 {
	highest := uint32(0)
	if q.Run != nil {
		for _, task := range q.Run.Steps[step].Tasks {
			highest = max(highest, task.Attempt)
		}
	}
	return highest + 1
}

// undo takes back the assignments from the index on, because a gang works only together.
func (p *pass) undo(first int, spec *workflow.StepSpec) {
	for _, a := range p.assignments[first:] {
		for _, r := range p.rooms {
			if r.worker.Incarnation == a.Incarnation {
				r.giveBack(spec, a.Attempt.Task)
			}
		}
	}
	p.unplaced = nil // there is more room again
	p.assignments = p.assignments[:first]
}

// How long a job may have nothing running while a task's turn has come before a filler is
// placed even where it presses: shortly if most of the capacity is free, because then nothing
// else explains the wait, and much later if not, because the serving tasks pay for it.
const (
	starvedIdle = model.Millis(1200)
	starvedBusy = model.Millis(10_000)
	idleShare   = 0.5 // of the capacity that is in use
)

// patience returns how long a job waits at the present load.
func patience(p *Snapshot) model.Millis {
	used, capacity := int64(0), int64(0)
	for _, w := range p.Workers {
		capacity += w.CPUMillis
		for i := range w.Residents {
			used += w.Residents[i].Step.CPUMillis
		}
	}
	if float64(used) < idleShare*float64(capacity) {
		return starvedIdle
	}
	return starvedBusy
}

// starved reports whether the job has waited for long with nothing running.
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
	return p.now-since > p.patience
}

// best returns the worker with room that scores highest, or nil and what is in the way.
func (p *pass) best(job *workflow.Job, spec *workflow.StepSpec, key workflow.TaskKey, task workflow.Task, starved bool) (best *room, reason WaitReason) {
	bestScore := 0.0
	for _, r := range p.rooms {
		if r.worker.Service != job.Service {
			continue
		}
		if obstacle, ok := allowed(r, spec, key); !ok {
			reason = max(reason, obstacle)
			continue
		}
		cost := 0.0
		if spec.UsesSpareCPU {
			var bearable bool
			if cost, bearable = r.pressureOf(p.pressure, spec); !bearable && !starved {
				reason = max(reason, WaitInterference)
				continue
			}
			if r.spare < spec.CPUMillis && !starved {
				reason = max(reason, WaitSpare)
				continue
			}
		}
		score := score(r, spec, key, task, cost)
		if best == nil || score > bestScore {
			best, bestScore = r, score
		}
	}
	return best, reason
}

// allowed is the filter: what the step requires and what the worker has free.
func allowed(r *room, spec *workflow.StepSpec, key workflow.TaskKey) (obstacle WaitReason, ok bool) {
	switch {
	case spec.RequiredLabel != "" && !r.worker.HasLabel(spec.RequiredLabel):
		return WaitLabel, false
	case !r.fits(spec):
		return WaitRoom, false
	case spec.MaxPerWorker != 0 && r.tasksOf(keyOf(key)) >= spec.MaxPerWorker:
		return WaitMost, false
	}
	return 0, true
}

// pressureOf returns how much a filler would press on the serving tasks of the worker, and
// whether each of them can bear it.
func (r *room) pressureOf(p *Pressure, spec *workflow.StepSpec) (cost float64, bearable bool) {
	bearable = true
	share := float64(spec.CPUMillis) / float64(max(1, r.worker.CPUMillis))
	for _, h := range r.measure(p) {
		c := p.coefficient(h.image, spec.Image)
		if c < negligible {
			continue
		}
		cost += c * share
		bearable = bearable && c*share <= h.free
	}
	return cost, bearable
}

// negligible is the coefficient below which a filler does not count as pressing: the noise of
// the figures is of this size.
const negligible = 0.15

// press takes what a new filler costs from the headroom of the serving tasks.
func (r *room) press(p *Pressure, spec *workflow.StepSpec) {
	if !spec.UsesSpareCPU {
		return
	}
	share := float64(spec.CPUMillis) / float64(max(1, r.worker.CPUMillis))
	headrooms := r.measure(p)
	for i := range headrooms {
		headrooms[i].free -= p.coefficient(headrooms[i].image, spec.Image) * share
	}
}

// measure returns what the serving tasks of the worker can still bear in this pass.
func (r *room) measure(p *Pressure) []headroom {
	if !r.measured {
		r.headrooms, r.measured = p.headrooms(r.worker), true
	}
	return r.headrooms
}

// Weights of the score. Only their order of magnitude matters: staying near the data saves
// half of the run time, avoiding the worker of the last failure may save the whole attempt.
const (
	dataRackWeight    = 4.0
	lastFailureWeight = 8.0
	pressureWeight    = 6.0 // a filler that presses is paced down or slows its neighbours
	besideWeight      = 0.4 // fillers that press on nobody leave the workers without serving tasks to others
	sameJobWeight     = 1.0 // the load of one job rises and falls as one, so its tasks leave room at the same time
	imageWeight       = 1.5 // serving tasks of one image suffer from the same fillers; apart from others they suit more of them
)

// score compares the workers that passed the filter. cost is what a filler presses on others.
func score(r *room, spec *workflow.StepSpec, key workflow.TaskKey, task workflow.Task, cost float64) float64 {
	value := 0.0
	if spec.DataRack != "" && r.worker.HasLabel(spec.DataRack) {
		value += dataRackWeight
	}
	if task.Failures > 0 && task.Incarnation == r.worker.Incarnation {
		value -= lastFailureWeight
	}
	capacity := float64(max(1, r.worker.CPUMillis))
	switch {
	case spec.UsesSpareCPU:
		value += float64(r.spare)/capacity - pressureWeight*cost
		if r.serving > 0 && cost == 0 {
			value += besideWeight
		}
	case spec.LongRunning:
		value -= float64(r.cpu) / capacity // packed, so that other workers stay free of serving tasks
		if r.tasksOf(keyOf(key)) > 0 {
			value += sameJobWeight
		}
		switch {
		case r.servesOnly(spec.Image):
			value += imageWeight
		case r.serving > 0:
			value -= imageWeight
		}
	default:
		value += float64(r.cpu)/capacity + 0.5*float64(r.spare)/capacity
	}
	return value
}
