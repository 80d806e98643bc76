package dispatch

import (
	"cmp"
	"slices"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
)

// LatencyState records for how long serving tasks of a worker have been over their latency target.
// It is kept between passes.
type LatencyState struct {
	OverTargetSince  model.Millis // since when a serving task has been over its target, short recoveries included; 0 if none is
	UnderTargetSince model.Millis // since when all have been below their target while OverTargetSince is still set; else 0
	SampledAt        model.Millis // arrival of the last samples that were processed
}

// Parameters of pacing. The margins are distances of the utilization from the limit at which the
// tail latency reaches its target. The values suit serving tasks whose load rises and falls within
// ten seconds and is reported half a second late.
const (
	placementMargin = 0.02 // kept when a best-effort task is placed
	paceMargin      = 0.04 // kept when paces are set; at 0.03 a serving task stayed over its target once in 40 days
	minPaceDecrease = 10   // percent; smaller changes are not worth a call to the worker
	minPaceIncrease = 25   // percent; smaller increases would follow the noise of single samples

	recoveryMs              = model.Millis(600)  // below the target before a worker counts as recovered; covers two samples, because one is noisy
	pauseInterferingAfterMs = model.Millis(1500) // over the target before best-effort tasks that interfere are paused
	pauseAllAfterMs         = model.Millis(2500) // over the target before all best-effort tasks are paused
)

// PaceOrder sets the pace of one attempt, in percent of full speed.
type PaceOrder struct {
	Incarnation workflow.Incarnation
	Attempt     workflow.Attempt
	Percent     int
}

// Adjust updates the model with the latest samples of one worker and returns the worker's new
// latency state and the paces to change. sampledAt is when the samples arrived.
func (m *InterferenceModel) Adjust(now model.Millis, w *Worker, sampledAt model.Millis) (LatencyState, []PaceOrder) {
	s := w.Latency
	if sampledAt <= s.SampledAt {
		return s, nil
	}
	s.SampledAt = sampledAt
	m.Observe(now, w)
	bestEffort := runningBestEffort(w)
	s.updateTimes(now, m.anyOverTarget(w))
	if len(bestEffort) == 0 {
		return s, nil
	}
	paces := m.paces(w, bestEffort)
	if s.OverTargetSince != 0 {
		m.pause(w, bestEffort, paces, now-s.OverTargetSince)
	}
	var orders []PaceOrder
	for i, r := range bestEffort {
		if paceChangeNeeded(r.Pace, paces[i]) {
			orders = append(orders, PaceOrder{Incarnation: w.Incarnation, Attempt: r.Attempt, Percent: paces[i]})
		}
	}
	return s, orders
}

// updateTimes updates OverTargetSince and UnderTargetSince. A single sample below the target does
// not clear OverTargetSince.
func (s *LatencyState) updateTimes(now model.Millis, over bool) {
	switch {
	case over:
		s.UnderTargetSince = 0
		if s.OverTargetSince == 0 {
			s.OverTargetSince = now
		}
	case s.OverTargetSince != 0 && s.UnderTargetSince == 0:
		s.UnderTargetSince = now
	case s.OverTargetSince != 0 && now-s.UnderTargetSince >= recoveryMs:
		s.OverTargetSince, s.UnderTargetSince = 0, 0
	}
}

func paceChangeNeeded(from, to int) bool {
	if from == to {
		return false
	}
	return to == 0 || from-to >= minPaceDecrease || to-from >= minPaceIncrease || (to == 100 && to-from >= minPaceDecrease)
}

func (m *InterferenceModel) anyOverTarget(w *Worker) bool {
	return slices.ContainsFunc(w.Allocations, func(r Allocation) bool {
		return r.Step.Serving() && r.Listed && r.TailMs > r.Step.TailTargetMs
	})
}

// pause sets the pace of best-effort tasks to 0 on a worker whose serving task stays over its
// target: first of those that interfere according to the model, later of all, because the model
// may be wrong.
func (m *InterferenceModel) pause(w *Worker, bestEffort []Allocation, paces []int, overTargetFor model.Millis) {
	for i := range bestEffort {
		if overTargetFor >= pauseAllAfterMs || (overTargetFor >= pauseInterferingAfterMs && m.interferesOverTarget(w, bestEffort[i].Step.Image)) {
			paces[i] = 0
		}
	}
}

// interferenceThreshold is the coefficient above which an image counts as interfering; lower
// values may be noise.
const interferenceThreshold = 0.3

// interferesOverTarget reports whether the image interferes with a serving task that is over its
// target.
func (m *InterferenceModel) interferesOverTarget(w *Worker, image string) bool {
	return slices.ContainsFunc(w.Allocations, func(r Allocation) bool {
		return r.Step.Serving() && r.TailMs > r.Step.TailTargetMs && m.coefficient(r.Step.Image, image) > interferenceThreshold
	})
}

// paces returns the pace of each best-effort task at which every serving task is expected
// to stay below its target. Tasks run at full pace, except that as many of those that interfere
// most as needed are slowed.
func (m *InterferenceModel) paces(w *Worker, bestEffort []Allocation) []int {
	paces := make([]int, len(bestEffort))
	for i := range paces {
		paces[i] = 100
	}
	for i := range w.Allocations {
		serving := &w.Allocations[i]
		if serving.Step.Serving() && serving.Listed {
			m.lowerPaces(w, serving, bestEffort, paces)
		}
	}
	return paces
}

// lowerPaces lowers paces until the serving task is expected to meet its target. If the task's own
// load already exceeds the limit, tasks with negligible interference keep their pace, because
// slowing them does not help.
func (m *InterferenceModel) lowerPaces(w *Worker, serving *Allocation, bestEffort []Allocation, paces []int) {
	utilizationLimit := m.utilizationLimit(serving.Step)
	excess := m.expectedUtilization(w, serving, bestEffort, paces) - (utilizationLimit - paceMargin)
	if excess <= 0 {
		return
	}
	threshold := 0.0
	if m.ownUtilization(serving) > utilizationLimit {
		threshold = negligibleCoefficient
	}
	for _, i := range byInterference(m, w, serving, bestEffort) {
		c := m.coefficient(serving.Step.Image, bestEffort[i].Step.Image)
		if excess <= 0 {
			return
		}
		if c <= threshold {
			continue
		}
		atFullPace := c * expectedShare(w, &bestEffort[i], 100)
		current := atFullPace * float64(paces[i]) / 100
		reduction := min(current, excess)
		if atFullPace > 0 {
			paces[i] = int((current - reduction) / atFullPace * 100)
		}
		excess -= reduction
	}
}

// ownUtilization returns the expected utilization of a serving task without interference.
func (m *InterferenceModel) ownUtilization(serving *Allocation) float64 {
	return m.loadOf(serving.Attempt.Task.Job) + residualWeight*m.lastSamples[serving.Attempt.Task].residual
}

// expectedUtilization returns the expected utilization of a serving task once the paces apply.
func (m *InterferenceModel) expectedUtilization(w *Worker, serving *Allocation, bestEffort []Allocation, paces []int) float64 {
	image := serving.Step.Image
	expected := m.ownUtilization(serving)
	for i := range bestEffort {
		expected += m.coefficient(image, bestEffort[i].Step.Image) * expectedShare(w, &bestEffort[i], paces[i])
	}
	return expected
}

// byInterference returns the indexes of the best-effort tasks, ordered by descending expected
// interference with the serving task at full pace.
func byInterference(m *InterferenceModel, w *Worker, serving *Allocation, bestEffort []Allocation) []int {
	order := make([]int, len(bestEffort))
	for i := range order {
		order[i] = i
	}
	weight := func(i int) float64 {
		return m.coefficient(serving.Step.Image, bestEffort[i].Step.Image) * expectedShare(w, &bestEffort[i], 100)
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(weight(b), weight(a)) })
	return order
}

// runningBestEffort returns the best-effort tasks that the worker lists as running and that are
// not being stopped, in the order of the allocations.
func runningBestEffort(w *Worker) []Allocation {
	var running []Allocation
	for _, r := range w.Allocations {
		if r.Listed && !r.Stopping && r.bestEffort() {
			running = append(running, r)
		}
	}
	return running
}
