package fake

import (
	"cmp"
	"slices"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/slowdown"
)

// truth answers the questions about slowdowns from the hidden state, without lag or error.
// It counts the tasks that the scheduler holds, which include those placed in this round.
type truth struct{ s *Scheduler }

func serviceIndex(id model.ServiceID) int {
	for i := range services {
		if services[i].id == id {
			return i
		}
	}
	return -1
}

// PredictUnthrottled implements placement.Predictor. The load passed in is the scheduler's late
// estimate; the truth uses the present one.
func (t truth) PredictUnthrottled(target model.TargetID, id model.ServiceID, _ float64) slowdown.Estimate {
	return t.predict(target, id, true)
}

// Predict is PredictUnthrottled at the present throttle levels.
func (t truth) Predict(target model.TargetID, id model.ServiceID, _ float64) slowdown.Estimate {
	return t.predict(target, id, false)
}

func (t truth) predict(target model.TargetID, id model.ServiceID, full bool) slowdown.Estimate {
	sum, cpu := 1.0, 0.0
	state := t.s.targets[target]
	for _, r := range state.tasks {
		level := r.level
		if full {
			level = 1
		}
		sum += t.added(r, id) * level
		cpu += float64(t.s.world.jobs[r.job.spec.ID].size.CPUMillis) * level
	}
	return slowdown.Estimate{Mean: sum * max(1, cpu/float64(state.capacity.CPUMillis))}
}

// added returns the slowdown that a task adds at full level.
func (t truth) added(r *running, id model.ServiceID) float64 {
	w := t.s.world
	s := serviceIndex(id)
	added := w.added(s, w.jobs[r.job.spec.ID].kind, w.loadAt(s))
	if task := w.tasks[r.id]; task != nil {
		added *= task.noise
	}
	return added
}

// AddedSlowdown implements placement.Predictor.
func (t truth) AddedSlowdown(id model.ServiceID, kind string, _ float64) slowdown.Estimate {
	w := t.s.world
	s := serviceIndex(id)
	for k := range w.kinds {
		if w.kinds[k].name == kind {
			return slowdown.Estimate{Mean: w.added(s, k, w.loadAt(s))}
		}
	}
	return slowdown.Estimate{}
}

// Contributions returns the tasks on a target, the most to blame first.
func (t truth) Contributions(target model.TargetID, id model.ServiceID, _ float64) []slowdown.Contribution {
	var out []slowdown.Contribution
	for _, r := range t.s.targets[target].tasks {
		out = append(out, slowdown.Contribution{
			Attempt:       r.id,
			Kind:          r.job.spec.Kind,
			Level:         r.level,
			AddedSlowdown: slowdown.Estimate{Mean: t.added(r, id) * r.level},
		})
	}
	slices.SortStableFunc(out, func(a, b slowdown.Contribution) int { return cmp.Compare(b.AddedSlowdown.Mean, a.AddedSlowdown.Mean) })
	return out
}
