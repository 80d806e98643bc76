package dispatch

import (
	"cmp"
	"slices"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
)

// LatencyState is what the scheduler remembers of one worker between passes about its serving
// tasks.
type LatencyState struct {
	OverTargetSince model.Millis // since when a serving task was over its target; 0 if none is
	UnderSince      model.Millis // since when none is over its target any more, while OverTargetSince is kept
	FigureSeen      model.Millis // when the worker's figures were last read
}

// Margins in utilisation, below the limit at which a tail reaches its target. The load that
// they answer: serving tasks whose load rises and falls within ten seconds, reported half a
// second late.
const (
	placeMargin = 0.02 // for a new filler
	paceMargin  = 0.04 // for the paces of those that run; at 0.03 a task stayed over its target once in 40 days
	paceStep    = 10   // percent; smaller changes are not worth a call
	raiseStep   = 25   // percent; a single figure is rough, and a pace that follows it swings with its noise

	underForMs        = model.Millis(600)  // before a task counts as under its target again: two figures, because one is rough
	pauseKnownAfterMs = model.Millis(1500) // over the target for so long: fillers that press pause
	pauseAllAfterMs   = model.Millis(2500) // and then all of them
)

// PaceOrder sets the pace of one attempt.
type PaceOrder struct {
	Incarnation workflow.Incarnation
	Attempt     workflow.Attempt
	Percent     int
}

// Adjust learns from the latest figures of one worker, updates what is remembered of it, and
// returns the paces to change. figureAt is when the figures arrived.
func (p *Pressure) Adjust(now model.Millis, w *Worker, figureAt model.Millis) (LatencyState, []PaceOrder) {
	s := w.Latency
	if figureAt <= s.FigureSeen {
		return s, nil
	}
	s.FigureSeen = figureAt
	p.Observe(now, w)
	fillers := runningFillers(w)
	s.note(now, p.anyOver(w))
	if len(fillers) == 0 {
		return s, nil
	}
	paces := p.paces(w, fillers)
	if s.OverTargetSince != 0 {
		p.pause(w, fillers, paces, now-s.OverTargetSince)
	}
	var orders []PaceOrder
	for i, r := range fillers {
		if worthACall(r.Pace, paces[i]) {
			orders = append(orders, PaceOrder{Incarnation: w.Incarnation, Attempt: r.Attempt, Percent: paces[i]})
		}
	}
	return s, orders
}

// note keeps since when a serving task is over its target. A single figure below it does not
// end that time.
func (s *LatencyState) note(now model.Millis, over bool) {
	switch {
	case over:
		s.UnderSince = 0
		if s.OverTargetSince == 0 {
			s.OverTargetSince = now
		}
	case s.OverTargetSince != 0 && s.UnderSince == 0:
		s.UnderSince = now
	case s.OverTargetSince != 0 && now-s.UnderSince >= underForMs:
		s.OverTargetSince, s.UnderSince = 0, 0
	}
}

func worthACall(from, to int) bool {
	if from == to {
		return false
	}
	return to == 0 || from-to >= paceStep || to-from >= raiseStep || (to == 100 && to-from >= paceStep)
}

func (p *Pressure) anyOver(w *Worker) bool {
	return slices.ContainsFunc(w.Residents, func(r Resident) bool {
		return r.Step.Serving() && r.Listed && r.TailMs > r.Step.TailTargetMs
	})
}

// pause stops fillers on a worker whose serving task stays over its target: first those that
// are known to press on it, then all, because the model may be wrong.
func (p *Pressure) pause(w *Worker, fillers []Resident, paces []int, over model.Millis) {
	for i := range fillers {
		if over >= pauseAllAfterMs || (over >= pauseKnownAfterMs && p.pressesOnOver(w, fillers[i].Step.Image)) {
			paces[i] = 0
		}
	}
}

// pressThreshold separates the coefficients of images that press from noise.
const pressThreshold = 0.3

// pressesOnOver reports whether the image presses on a serving task that is over its target.
func (p *Pressure) pressesOnOver(w *Worker, image string) bool {
	return slices.ContainsFunc(w.Residents, func(r Resident) bool {
		return r.Step.Serving() && r.TailMs > r.Step.TailTargetMs && p.coefficient(r.Step.Image, image) > pressThreshold
	})
}

// paces returns the pace of each filler at which every serving task is expected to stay below
// its target: all at full pace, less what the most pressing ones must give back.
func (p *Pressure) paces(w *Worker, fillers []Resident) []int {
	paces := make([]int, len(fillers))
	for i := range paces {
		paces[i] = 100
	}
	for i := range w.Residents {
		serving := &w.Residents[i]
		if serving.Step.Serving() && serving.Listed {
			p.relieve(w, serving, fillers, paces)
		}
	}
	return paces
}

// relieve lowers paces until the serving task is expected to meet its target. If its own load
// alone is too much for that, fillers that hardly press keep theirs: their pause helps nobody.
func (p *Pressure) relieve(w *Worker, serving *Resident, fillers []Resident, paces []int) {
	limit := p.limit(serving.Step)
	excess := p.expected(w, serving, fillers, paces) - (limit - paceMargin)
	if excess <= 0 {
		return
	}
	threshold := 0.0
	if p.own(serving) > limit {
		threshold = negligible
	}
	for _, i := range byPressure(p, w, serving, fillers) {
		c := p.coefficient(serving.Step.Image, fillers[i].Step.Image)
		if excess <= 0 {
			return
		}
		if c <= threshold {
			continue
		}
		full := c * expectedUse(w, &fillers[i], 100)
		present := full * float64(paces[i]) / 100
		given := min(present, excess)
		if full > 0 {
			paces[i] = int((present - given) / full * 100)
		}
		excess -= given
	}
}

// own is the utilisation of a serving task without its neighbours.
func (p *Pressure) own(serving *Resident) float64 {
	return p.load(serving.Attempt.Task.Job) + missWeight*p.seen[serving.Attempt.Task].miss
}

// expected is the utilisation of a serving task once the paces are in force.
func (p *Pressure) expected(w *Worker, serving *Resident, fillers []Resident, paces []int) float64 {
	image := serving.Step.Image
	expected := p.own(serving)
	for i := range fillers {
		expected += p.coefficient(image, fillers[i].Step.Image) * expectedUse(w, &fillers[i], paces[i])
	}
	return expected
}

// byPressure orders the fillers by how much they press on the serving task at full pace.
func byPressure(p *Pressure, w *Worker, serving *Resident, fillers []Resident) []int {
	order := make([]int, len(fillers))
	for i := range order {
		order[i] = i
	}
	weight := func(i int) float64 {
		return p.coefficient(serving.Step.Image, fillers[i].Step.Image) * expectedUse(w, &fillers[i], 100)
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(weight(b), weight(a)) })
	return order
}

// runningFillers returns the listed fillers in a fixed order.
func runningFillers(w *Worker) []Resident {
	var fillers []Resident
	for _, r := range w.Residents {
		if r.Listed && !r.Stopping && r.filling() {
			fillers = append(fillers, r)
		}
	}
	return fillers
}

// headroom is what a serving task on a worker can still bear.
type headroom struct {
	image string
	free  float64 // utilisation below the limit, less the margin for a placement
}

// headrooms returns, for each serving task of the worker, what it can still bear.
func (p *Pressure) headrooms(w *Worker) []headroom {
	var rooms []headroom
	for i := range w.Residents {
		serving := &w.Residents[i]
		if !serving.Step.Serving() {
			continue
		}
		expected := p.load(serving.Attempt.Task.Job)
		for j := range w.Residents {
			if f := &w.Residents[j]; f.filling() {
				expected += p.coefficient(serving.Step.Image, f.Step.Image) * expectedUse(w, f, 100)
			}
		}
		rooms = append(rooms, headroom{serving.Step.Image, p.limit(serving.Step) - placeMargin - expected})
	}
	return rooms
}
