package fake

import (
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/response"
	"samphirepaddle.example/core/routing"
	"samphirepaddle.example/core/slowdown"
)

// respond decides on and applies throttling and evictions for every target with batch tasks.
func (s *Scheduler) respond() {
	if !s.options.Respond {
		return
	}
	s.response.Refill(s.now, len(s.open))
	for _, id := range s.ids {
		t := s.targets[id]
		if len(t.tasks) == 0 {
			continue
		}
		from := t.lastReportStart
		if s.options.Oracle {
			from = s.now
		}
		for _, action := range s.response.Decide(s.evidence(id, t, from)) {
			s.applyAction(action)
		}
	}
}

// evidence returns the slowdown of the most affected service of a target and the contribution of
// each task.
func (s *Scheduler) evidence(id model.TargetID, t *targetState, from model.Millis) response.Evidence {
	e := response.Evidence{Target: id, Now: s.now, ReportStart: from, Slowdown: slowdown.Estimate{Mean: 1}}
	worst := 0
	for i, load := range t.loads {
		if p := s.predictor.Predict(id, services[i].id, load); p.Mean > e.Slowdown.Mean {
			e.Slowdown = p
			worst = i
		}
	}
	for _, c := range s.predictor.Contributions(id, services[worst].id, t.loads[worst]) {
		r := s.open[c.Attempt]
		if r == nil {
			continue
		}
		e.Tasks = append(e.Tasks, response.Task{
			Attempt:       c.Attempt,
			Level:         r.level,
			AddedSlowdown: c.AddedSlowdown,
			LossMs:        s.evictionLoss(r),
			Evicting:      r.evicting,
			Urgent:        r.job.spec.Urgent,
		})
	}
	return e
}

func (s *Scheduler) applyAction(action response.Action) {
	if action.Kind == response.Evict {
		s.evict(action.Attempt)
		return
	}
	r := s.open[action.Attempt]
	r.level = action.Level
	s.model.TaskThrottled(r.target, r.id, action.Level, s.now)
	s.orders.Throttle = append(s.orders.Throttle, Throttle{r.id, action.Level})
}

// routeDeviations is the number of standard deviations that routing adds to a predicted slowdown.
const routeDeviations = 2.0

// refreshPredictions updates the predicted slowdowns that routing uses in this second.
func (s *Scheduler) refreshPredictions() {
	if !s.options.RouteBySlowdown {
		return
	}
	for _, id := range s.ids {
		t := s.targets[id]
		for i, load := range t.loads {
			t.slowdowns[i] = s.predictor.Predict(id, services[i].id, load).Upper(routeDeviations)
		}
	}
}

// Route implements Policy.
func (s *Scheduler) Route(id model.ServiceID, candidates []Candidate) int {
	if !s.options.RouteBySlowdown {
		return mostFreeSlots(candidates)
	}
	i := serviceIndex(id)
	s.routes = s.routes[:0]
	for _, c := range candidates {
		s.routes = append(s.routes, routing.Candidate{
			Target:   c.Target,
			Slots:    float64(c.Slots),
			Busy:     c.Assigned,
			Slowdown: s.targets[c.Target].slowdowns[i],
		})
	}
	return max(routing.Choose(s.routes), 0)
}

// mostFreeSlots returns the index of the candidate with the most free slots.
func mostFreeSlots(candidates []Candidate) int {
	best := 0
	for i, c := range candidates {
		if freeSlots(c) > freeSlots(candidates[best]) {
			best = i
		}
	}
	return best
}

func freeSlots(c Candidate) float64 { return float64(c.Slots) - c.Assigned }
