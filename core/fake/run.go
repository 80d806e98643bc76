package fake

import "samphirepaddle.example/core/model"

// Router returns the index of the worker to which a quick request of the service with index s is
// sent.
type Router func(service model.ServiceID, s int, workers []*worker) int

// Outcome is the way in which a task ended.
type Outcome string

// The outcomes of a task.
const (
	EndFinished Outcome = "finished"
	EndFailed   Outcome = "failed"
	EndEvicted  Outcome = "evicted"
	EndLost     Outcome = "lost" // its worker was lost
)

// End reports the end of a task to the scheduler.
type End struct {
	Attempt model.AttemptID
	Target  model.TargetID
	Outcome Outcome
}

// TargetView holds the properties that a worker announces.
type TargetView struct {
	ID       model.TargetID
	Zone     model.Zone
	Rack     model.Rack
	Capacity model.Resources
}

// Update holds all events that the scheduler receives in one second.
type Update struct {
	Now       model.Millis
	Joined    []TargetView
	Lost      []model.TargetID
	Submitted []model.JobSpec
	Cancelled []model.JobID
	Ended     []End
	Reports   []DeliveredReport
}

// DeliveredReport is a usage report that arrives in this second.
type DeliveredReport struct {
	Target model.TargetID
	Report model.UsageReport
}

// Orders are the actions that the scheduler requests. The world applies them immediately, except
// for evictions, which take evictSeconds for the checkpoint and the stop.
type Orders struct {
	Start    []Start
	Throttle []Throttle
	Evict    []model.AttemptID
	GiveUp   []model.JobID
}

// Start requests the start of an attempt on a target.
type Start struct {
	Attempt model.AttemptID
	Target  model.TargetID
}

// Throttle sets the throttle level of a task; 1 is full speed.
type Throttle struct {
	Attempt model.AttemptID
	Level   float64
}

// Policy is a scheduler whose decisions are measured.
type Policy interface {
	// Schedule processes the events of one second and returns the resulting orders.
	Schedule(Update) Orders
	// Route returns the index of the candidate to which a quick request is sent.
	Route(service model.ServiceID, candidates []Candidate) int
}

// Candidate is a gateway's view of one of its targets when it routes a request.
type Candidate struct {
	Target   model.TargetID
	Slots    int32
	Assigned float64 // mean slots in use by quick requests routed in this second
}

// Run simulates a policy on a site and returns the measurements. For the same site and seed, every
// policy gets the same jobs, loads and events.
func Run(site Site, seed uint64, newPolicy func(*World) Policy) Result {
	w := NewWorld(site, seed)
	policy := newPolicy(w)
	for w.now = 0; w.now < runSeconds; w.now++ {
		w.step(policy)
	}
	w.result.computeQuantiles()
	return w.result
}

// step simulates one second.
func (w *World) step(policy Policy) {
	update := Update{Now: model.Millis(w.now) * stepMs}
	if w.now == 0 {
		for _, v := range w.workers {
			update.Joined = append(update.Joined, v.view())
		}
	}
	ends, cancelled, lost, returned := w.applyEvents()
	update.Cancelled, update.Lost = cancelled, lost
	for _, id := range returned {
		update.Joined = append(update.Joined, w.byID[id].view())
	}
	for _, j := range w.arrivals() {
		update.Submitted = append(update.Submitted, j.spec)
	}
	update.Ended = append(ends, w.advance()...)
	for _, d := range w.deliveries[w.now] {
		update.Reports = append(update.Reports, DeliveredReport{d.target, d.report})
	}
	delete(w.deliveries, w.now)
	w.applyOrders(policy.Schedule(update))
	w.simulateQuick(w.router(policy))
	w.sendReports()
}

func (v *worker) view() TargetView {
	return TargetView{ID: v.id, Zone: v.zone, Rack: v.rack, Capacity: v.capacity}
}

func (w *World) applyOrders(orders Orders) {
	for _, o := range orders.Start {
		w.startTask(o.Attempt, o.Target)
	}
	for _, o := range orders.Throttle {
		if t := w.tasks[o.Attempt]; t != nil {
			t.level = o.Level
		}
	}
	for _, id := range orders.Evict {
		if t := w.tasks[id]; t != nil && t.evictAt == 0 {
			t.evictAt = w.now + evictSeconds
		}
	}
	for _, id := range orders.GiveUp {
		if j := w.jobs[id]; j != nil && j.openTask == nil {
			j.ended = true
			w.result.GivenUp++
		}
	}
}

// router adapts the policy's Route to a Router.
func (w *World) router(policy Policy) Router {
	var candidates []Candidate
	return func(id model.ServiceID, _ int, workers []*worker) int {
		candidates = candidates[:0]
		for _, v := range workers {
			candidates = append(candidates, Candidate{v.id, int32(v.quickSlots()), v.offeredUs / 1e6})
		}
		return policy.Route(id, candidates)
	}
}
