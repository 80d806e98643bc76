package dispatch

import (
	"math"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
)

// PlaceCosts are what a place costs a task, as far as the settings say. Zero values are not known.
type PlaceCosts struct {
	StopMs       model.Millis // until a stopped task has released its worker
	RestoreMs    model.Millis // until a task that resumes from a checkpoint makes progress
	RemoteFactor float64      // run time away from the task's data or group, as a multiple of that near them
}

// relocation returns the time that a task is expected to lose when it is stopped and resumes elsewhere. A stop
// takes any time up to its bound.
func (c PlaceCosts) relocation() model.Millis { return c.StopMs/2 + c.RestoreMs }

// maxPause is how long a best-effort task may be paused in favour of a serving task before it is stopped, if
// the cost of a move is not known.
const maxPause = model.Millis(500)

// WorthMoving reports whether a paused task should be stopped and placed again. It then resumes from its
// checkpoint on a worker where it does not interfere, and frees capacity on this worker for tasks that do not
// interfere here. How long a pause lasts is not known ahead, so a task waits for as long as the move costs it: it
// loses at most twice what it would if the end of the pause were known.
func WorthMoving(step *workflow.StepSpec, pausedFor model.Millis, costs PlaceCosts) bool {
	patience := costs.relocation()
	if patience == 0 {
		patience = maxPause
	}
	return step.Checkpoints && step.UsesSpareCPU && pausedFor > patience
}

// NearWaits records since when steps wait for a place near their data or their group.
type NearWaits struct {
	waits map[stepKey]nearWait
}

type nearWait struct {
	since, seen model.Millis
}

// nearWaitMemory is the time after which a step that has not waited counts as one that never did.
const nearWaitMemory = model.Millis(5000)

// NewNearWaits returns a record without waits.
func NewNearWaits() *NearWaits { return &NearWaits{waits: map[stepKey]nearWait{}} }

// observe notes that the step waits now and returns for how long it has.
func (n *NearWaits) observe(key stepKey, now model.Millis) model.Millis {
	wait, ok := n.waits[key]
	if !ok || now-wait.seen > nearWaitMemory {
		wait.since = now
	}
	wait.seen = now
	n.waits[key] = wait
	return now - wait.since
}

func (n *NearWaits) forgetOld(now model.Millis) {
	for key, wait := range n.waits {
		if now-wait.seen > nearWaitMemory {
			delete(n.waits, key)
		}
	}
}

// rack is the part of a service's workers that a step is near to, in one pass.
type rack struct {
	cores int64   // millicores that long-running tasks leave on its usable workers
	work  float64 // millicore-milliseconds that run or wait there
}

type rackKey struct {
	service, label string
}

// rackOf sums up the workers with the label.
func (p *pass) rackOf(service, label string) *rack {
	key := rackKey{service, label}
	if r, ok := p.racks[key]; ok {
		return r
	}
	r := &rack{}
	for _, w := range p.usable {
		if w.Service != service || !w.HasLabel(label) {
			continue
		}
		load := w.load()
		r.cores += max(0, w.CPUMillis-load.LastingCPU)
		for i := range w.Allocations {
			if a := &w.Allocations[i]; !a.Step.LongRunning && !a.Stopping {
				r.work += taskWork(a.Step) * float64(100-a.Percent) / 100
			}
		}
	}
	if p.racks == nil {
		p.racks = map[rackKey]*rack{}
	}
	p.racks[key] = r
	return r
}

// taskWork returns the estimated millicore-milliseconds of a task.
func taskWork(step *workflow.StepSpec) float64 {
	return float64(step.CPUMillis) * float64(step.EstimateMs)
}

// expectedWait returns the time until the work that runs or waits on the rack is done, which is when the next
// task finds room there.
func (r *rack) expectedWait() float64 {
	if r.cores <= 0 {
		return math.Inf(1)
	}
	return r.work / float64(r.cores)
}

// groupRack returns the rack on which the tasks of a step should run together, or an empty string.
func (p *pass) groupRack(q PendingRun, step, waiting int) string {
	if p.costs.RemoteFactor <= 1 {
		return ""
	}
	if q.Run != nil {
		for _, task := range q.Run.Steps[step].Tasks {
			if w := p.workerOf(task.Incarnation); task.Phase != workflow.TaskWaiting && w != nil {
				return w.Rack
			}
		}
	}
	return p.roomiestRack(q.Job.Service, &q.Job.Steps[step], waiting)
}

func (p *pass) workerOf(incarnation workflow.Incarnation) *Worker {
	for _, w := range p.workers {
		if w.Incarnation == incarnation {
			return w
		}
	}
	return nil
}

// roomiestRack returns the rack on which most of the tasks of a step can start now. Of racks with room for
// all, it is the one with the least room, so that larger groups find theirs.
func (p *pass) roomiestRack(service string, spec *workflow.StepSpec, tasks int) string {
	room := map[string]int{}
	best := ""
	for _, c := range p.candidates {
		if c.worker.Service != service || c.worker.Rack == "" || (spec.RequiredLabel != "" && !c.worker.HasLabel(spec.RequiredLabel)) {
			continue
		}
		room[c.worker.Rack] += c.tasksThatFit(spec, tasks)
	}
	for name, fits := range room {
		if best == "" || betterRack(fits, room[best], tasks) || (fits == room[best] && name < best) {
			best = name
		}
	}
	return best
}

// betterRack reports whether a rack with room for fits tasks suits a step better than one with room for other.
func betterRack(fits, other, tasks int) bool {
	if fits >= tasks && other >= tasks {
		return fits < other
	}
	return fits > other
}

// tasksThatFit returns how many tasks of the step can start on the worker now, at most limit.
func (c *candidate) tasksThatFit(spec *workflow.StepSpec, limit int) int {
	if c.isolated || !c.fits(spec) {
		return 0
	}
	if spec.MaxPerWorker != 0 {
		limit = min(limit, spec.MaxPerWorker)
	}
	if spec.CPUMillis > 0 {
		free := c.freeCPU
		if spec.UsesSpareCPU {
			free = c.spareCPU
		}
		limit = min(limit, int(max(0, free)/spec.CPUMillis))
	}
	if spec.MemoryMiB > 0 {
		limit = min(limit, int(c.freeMemory/spec.MemoryMiB))
	}
	return limit
}

// isNear reports whether the tasks of the step run at full speed on the worker.
func (n *needs) isNear(w *Worker) bool { return n.near == "" || w.HasLabel(n.near) }

// waitPays reports whether a task should wait for a place near its data or its group instead of starting on
// the given worker. It pays while the expected wait is shorter than what the task would lose elsewhere. The
// step waits no longer than that loss in total, because the expectation may be wrong.
func (p *pass) waitPays(n *needs, on *candidate) bool {
	if n.near == "" || n.spec.LongRunning || p.costs.RemoteFactor <= 1 {
		return false
	}
	near := p.rackOf(n.service, n.near)
	if n.isNear(on.worker) {
		near.work += taskWork(n.spec)
		return false
	}
	loss := model.Millis((p.costs.RemoteFactor - 1) * float64(n.spec.EstimateMs))
	if near.expectedWait() >= float64(loss) || p.nearWaits.observe(n.step, p.now) >= loss {
		return false
	}
	near.work += taskWork(n.spec) // those that come after wait behind it
	return true
}
