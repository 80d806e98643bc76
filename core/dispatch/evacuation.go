package dispatch

import (
	"cmp"
	"slices"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
)

// Limits of the moves out of evacuated zones.
const (
	// maxEvacuationMoves bounds the tasks that are on their way out of evacuated zones at the same time, so
	// that restarts do not crowd out the short jobs of callers.
	maxEvacuationMoves = 16
	// minMoveRemaining is the remaining run time from which a task with checkpoints is moved. A shorter one
	// ends where it runs before a restart elsewhere would have caught up.
	minMoveRemaining = model.Millis(5000)
	// minFreeAfterMoves is the share of the cores outside the evacuated zones that moves leave unreserved.
	minFreeAfterMoves = 0.15
)

// EvacuationMove is an attempt that leaves an evacuated zone.
type EvacuationMove struct {
	Incarnation workflow.Incarnation
	Attempt     workflow.Attempt
}

// EvacuationMoves returns the attempts in evacuated zones to stop now, so that they start elsewhere. Long-running
// tasks move while others of their step remain at work, and only into room that is free and that no best-effort
// task uses: a task without room elsewhere serves its users better where it is, and so does the work whose
// room it would take. Tasks that end by themselves stay unless they have
// checkpoints and run on for minMoveRemaining.
func EvacuationMoves(p *Snapshot) []EvacuationMove {
	to := newDestinations(p)
	if to == nil {
		return nil
	}
	away := tasksAway(p)
	var moves []EvacuationMove
	for _, w := range p.Workers {
		if !w.Evacuated || w.Silent || w.Draining {
			continue
		}
		for i := range w.Allocations {
			a := &w.Allocations[i]
			if to.inFlight >= maxEvacuationMoves {
				return moves
			}
			if !mayMove(a, away) || !to.take(w.Service, a.Step) {
				continue
			}
			away[stepKeyOf(a.Attempt.Task)]++
			to.inFlight++
			moves = append(moves, EvacuationMove{w.Incarnation, a.Attempt})
		}
	}
	return moves
}

// mayMove reports whether the attempt may be stopped for a move now.
func mayMove(a *Allocation, away map[stepKey]int) bool {
	if !a.Listed || a.Stopping || a.Ended || a.Step.Gang {
		return false
	}
	if !a.Step.LongRunning {
		remaining := a.Step.EstimateMs * model.Millis(100-a.Percent) / 100
		return a.Step.Checkpoints && remaining >= minMoveRemaining
	}
	return a.Percent >= 100 && away[stepKeyOf(a.Attempt.Task)] < max(1, a.Step.MaxUnavailable)
}

// tasksAway counts the long-running tasks that are not at work, by step.
func tasksAway(p *Snapshot) map[stepKey]int {
	away := map[stepKey]int{}
	for _, q := range p.PendingRuns {
		if q.Run == nil {
			continue
		}
		for step := range q.Run.Steps {
			if !q.Job.Steps[step].LongRunning {
				continue
			}
			for i := range q.Run.Steps[step].Tasks {
				if q.Run.Steps[step].Tasks[i].Phase == workflow.TaskWaiting {
					away[stepKey{q.Job.ID, q.Occurrence, step}]++
				}
			}
		}
	}
	for _, w := range p.Workers {
		for i := range w.Allocations {
			a := &w.Allocations[i]
			if a.Step.LongRunning && (!a.Listed || a.Percent < 100 || a.Stopping || w.Silent) {
				away[stepKeyOf(a.Attempt.Task)]++
			}
		}
	}
	return away
}

// destinations are the workers outside the evacuated zones and the capacity that moves may take there.
type destinations struct {
	workers  map[string][]*candidate // by service, those with most free cores first
	spare    map[string]int64        // millicores that moves may still reserve, by service
	inFlight int                     // tasks that move already
}

// newDestinations returns nil if no zone is evacuated.
func newDestinations(p *Snapshot) *destinations {
	to := &destinations{workers: map[string][]*candidate{}, spare: map[string]int64{}}
	evacuated := false
	for i, w := range p.Workers {
		switch {
		case w.Evacuated:
			evacuated = true
			to.inFlight += countStopping(w)
		case w.Usable && !w.Isolated:
			c := newCandidate(w, i)
			to.workers[w.Service] = append(to.workers[w.Service], c)
			to.spare[w.Service] += c.freeCPU - int64(minFreeAfterMoves*float64(w.CPUMillis))
		}
	}
	if !evacuated {
		return nil
	}
	for _, workers := range to.workers {
		slices.SortFunc(workers, func(a, b *candidate) int {
			return cmp.Or(cmp.Compare(b.freeCPU, a.freeCPU), cmp.Compare(a.index, b.index))
		})
	}
	return to
}

func countStopping(w *Worker) int {
	count := 0
	for i := range w.Allocations {
		if w.Allocations[i].Stopping && !w.Allocations[i].Ended {
			count++
		}
	}
	return count
}

// take reserves the room for one task and reports whether there is any.
func (r *destinations) take(service string, step *workflow.StepSpec) bool {
	if !step.UsesSpareCPU && r.spare[service] < step.CPUMillis {
		return false
	}
	for _, c := range r.workers[service] {
		if (step.RequiredLabel == "" || c.worker.HasLabel(step.RequiredLabel)) && c.fits(step) && c.spareCPU >= step.CPUMillis {
			c.account(step, 1)
			if !step.UsesSpareCPU {
				r.spare[service] -= step.CPUMillis
			}
			return true
		}
	}
	return false
}
