package fake

import "samphirepaddle.example/core/model"

// Router returns the index of the worker that gets a quick request.
type Router func(service model.ServiceID, s int, workers []*worker) int

// Outcome says how a task ended.
type Outcome string

// The outcomes of a task.
const (
	EndFinished Outcome = "finished"
	EndFailed   Outcome = "failed"
	EndEvicted  Outcome = "evicted"
	EndLost     Outcome = "lost" // its worker was lost
)

// End is the end of a task as the scheduler hears of it.
type End struct {
	Attempt model.AttemptID
	Target  model.TargetID
	Outcome Outcome
}

// TargetView is what a worker announces.
type TargetView struct {
	ID       model.TargetID
	Zone     model.Zone
	Rack     model.Rack
	Capacity model.Resources
}

// News is everything that the scheduler hears in one second.
type News struct {
	Now       model.Millis
	Joined    []TargetView
	Lost      []model.TargetID
	Submitted []model.JobSpec
	Cancelled []model.JobID
	Ended     []End
	Reports   []Delivered
}

// Delivered is a report that arrives now.
type Delivered struct {
	Target model.TargetID
	Report model.UsageReport
}

// Orders is what the scheduler wants done. The world carries them out at once, except for
// evictions, which take as long as the checkpoint and the stop.
type Orders struct {
	Start    []Start
	Throttle []Throttle
	Evict    []model.AttemptID
	GiveUp   []model.JobID
}

// Start opens an attempt.
type Start struct {
	Attempt model.AttemptID
	Target  model.TargetID
}

// Throttle sets the level of a task.
type Throttle struct {
	Attempt model.AttemptID
	Level   float64
}

// Policy is a scheduler under measurement.
type Policy interface {
	// Hear takes the news of one second and returns orders.
	Hear(News) Orders
	// Route returns the index of the candidate that gets a quick request.
	Route(service model.ServiceID, candidates []Candidate) int
}

// Candidate is what a gateway knows about one of its targets when it routes a request.
type Candidate struct {
	Target   model.TargetID
	Slots    int32
	Assigned float64 // slots busy with quick requests that were routed in this second
}

// Run measures a policy on a site. The same site and seed give every policy the same jobs,
// loads and events.
func Run(site Site, seed uint64, newPolicy func(*World) Policy) Result {
	w := NewWorld(site, seed)
	policy := newPolicy(w)
	for w.now = 0; w.now < runSeconds; w.now++ {
		w.step(policy)
	}
	w.result.finish()
	return w.result
}

func (w *World) step(policy Policy) {
	news := News{Now: model.Millis(w.now) * stepMs}
	if w.now == 0 {
		for _, v := range w.workers {
			news.Joined = append(news.Joined, v.view())
		}
	}
	ends, cancelled, lost, back := w.disturb()
	news.Cancelled, news.Lost = cancelled, lost
	for _, id := range back {
		news.Joined = append(news.Joined, w.byID[id].view())
	}
	for _, j := range w.arrivals() {
		news.Submitted = append(news.Submitted, j.spec)
	}
	news.Ended = append(ends, w.advance()...)
	for _, d := range w.mail[w.now] {
		news.Reports = append(news.Reports, Delivered{d.target, d.report})
	}
	delete(w.mail, w.now)
	w.carryOut(policy.Hear(news))
	w.quickWork(w.router(policy))
	w.sendReports()
}

func (v *worker) view() TargetView {
	return TargetView{ID: v.id, Zone: v.zone, Rack: v.rack, Capacity: v.capacity}
}

func (w *World) carryOut(orders Orders) {
	for _, o := range orders.Start {
		w.start(o.Attempt, o.Target)
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
		if j := w.jobs[id]; j != nil && j.open == nil {
			j.ended = true
			w.result.GivenUp++
		}
	}
}

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
