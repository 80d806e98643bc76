package fake

import (
	"cmp"
	"slices"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/slowdown"
)

// oraclePredictor computes slowdowns from the hidden state, without delay or error. It uses the
// scheduler's list of open attempts, which includes those placed in the current round.
type oraclePredictor struct{ scheduler *Scheduler }

func serviceIndex(id model.ServiceID) int {
	for i := range services {
		if services[i].id == id {
			return i
		}
	}
	return -1
}

// PredictUnthrottled implements placement.Predictor. It ignores the load passed in, which is the
// scheduler's delayed estimate, and uses the current load.
func (t oraclePredictor) PredictUnthrottled(target model.TargetID, id model.ServiceID, _ float64) slowdown.Estimate {
	return t.predict(target, id, true)
}

// Predict is PredictUnthrottled at the current throttle levels.
func (t oraclePredictor) Predict(target model.TargetID, id model.ServiceID, _ float64) slowdown.Estimate {
	return t.predict(target, id, false)
}

func (t oraclePredictor) predict(target model.TargetID, id model.ServiceID, full bool) slowdown.Estimate {
	sum, cpu := 1.0, 0.0
	state := t.scheduler.targets[target]
	for _, r := range state.tasks {
		level := r.level
		if full {
			level = 1
		}
		sum += t.addedByTask(r, id) * level
		cpu += float64(t.scheduler.world.jobs[r.job.spec.ID].size.CPUMillis) * level
	}
	return slowdown.Estimate{Mean: sum * max(1, cpu/float64(state.capacity.CPUMillis))}
}

// addedByTask returns the slowdown that an unthrottled task adds.
func (t oraclePredictor) addedByTask(r *openAttempt, id model.ServiceID) float64 {
	w := t.scheduler.world
	s := serviceIndex(id)
	added := w.addedSlowdown(s, w.jobs[r.job.spec.ID].kind, w.loadAt(s))
	if task := w.tasks[r.id]; task != nil {
		added *= task.noise
	}
	return added
}

// AddedSlowdown implements placement.Predictor.
func (t oraclePredictor) AddedSlowdown(id model.ServiceID, kind string, _ float64) slowdown.Estimate {
	w := t.scheduler.world
	s := serviceIndex(id)
	for k := range w.kinds {
		if w.kinds[k].name == kind {
			return slowdown.Estimate{Mean: w.addedSlowdown(s, k, w.loadAt(s))}
		}
	}
	return slowdown.Estimate{}
}

// Contributions returns the slowdown that each task on a target adds, the largest first.
func (t oraclePredictor) Contributions(target model.TargetID, id model.ServiceID, _ float64) []slowdown.Contribution {
	var out []slowdown.Contribution
	for _, r := range t.scheduler.targets[target].tasks {
		out = append(out, slowdown.Contribution{
			Attempt:       r.id,
			Kind:          r.job.spec.Kind,
			Level:         r.level,
			AddedSlowdown: slowdown.Estimate{Mean: t.addedByTask(r, id) * r.level},
		})
	}
	slices.SortStableFunc(out, func(a, b slowdown.Contribution) int { return cmp.Compare(b.AddedSlowdown.Mean, a.AddedSlowdown.Mean) })
	return out
}
