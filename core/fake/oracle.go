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
func (o oraclePredictor) PredictUnthrottled(target model.TargetID, id model.ServiceID, _ float64) slowdown.Estimate {
	return o.predict(target, id, true)
}

// Predict returns the slowdown at the current throttle levels. It also ignores the load passed in.
func (o oraclePredictor) Predict(target model.TargetID, id model.ServiceID, _ float64) slowdown.Estimate {
	return o.predict(target, id, false)
}

func (o oraclePredictor) predict(target model.TargetID, id model.ServiceID, unthrottled bool) slowdown.Estimate {
	sum, cpu := 1.0, 0.0
	state := o.scheduler.targets[target]
	for _, r := range state.tasks {
		level := r.level
		if unthrottled {
			level = 1
		}
		sum += o.addedByTask(r, id) * level
		cpu += float64(o.scheduler.world.jobs[r.job.spec.ID].size.CPUMillis) * level
	}
	return slowdown.Estimate{Mean: sum * max(1, cpu/float64(state.capacity.CPUMillis))}
}

// addedByTask returns the slowdown that an unthrottled task adds.
func (o oraclePredictor) addedByTask(r *openAttempt, id model.ServiceID) float64 {
	w := o.scheduler.world
	s := serviceIndex(id)
	added := w.addedSlowdown(s, w.jobs[r.job.spec.ID].kind, w.loadAt(s))
	if task := w.tasks[r.id]; task != nil {
		added *= task.noise
	}
	return added
}

// AddedSlowdown implements placement.Predictor.
func (o oraclePredictor) AddedSlowdown(id model.ServiceID, kind string, _ float64) slowdown.Estimate {
	w := o.scheduler.world
	s := serviceIndex(id)
	for k := range w.kinds {
		if w.kinds[k].name == kind {
			return slowdown.Estimate{Mean: w.addedSlowdown(s, k, w.loadAt(s))}
		}
	}
	return slowdown.Estimate{}
}

// Contributions returns the slowdown that each task on a target adds, the largest first.
func (o oraclePredictor) Contributions(target model.TargetID, id model.ServiceID, _ float64) []slowdown.Contribution {
	var out []slowdown.Contribution
	for _, r := range o.scheduler.targets[target].tasks {
		out = append(out, slowdown.Contribution{
			Attempt:       r.id,
			Kind:          r.job.spec.Kind,
			Level:         r.level,
			AddedSlowdown: slowdown.Estimate{Mean: o.addedByTask(r, id) * r.level},
		})
	}
	slices.SortStableFunc(out, func(a, b slowdown.Contribution) int { return cmp.Compare(b.AddedSlowdown.Mean, a.AddedSlowdown.Mean) })
	return out
}
