package fake

import (
	"cmp"
	"slices"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/slowdown"
)

// truth answers the questions about slowdowns from the hidden state, without lag or error.
type truth struct{ w *World }

func serviceIndex(id model.ServiceID) int {
	for i := range services {
		if services[i].id == id {
			return i
		}
	}
	return -1
}

// PredictFull implements placement.Predictor. The load passed in is the scheduler's late
// estimate; the truth uses the present one.
func (t truth) PredictFull(target model.TargetID, id model.ServiceID, _ float64) slowdown.Estimate {
	s := serviceIndex(id)
	return slowdown.Estimate{Mean: t.w.slowdown(t.w.byID[target], s, t.w.loadAt(s), false)}
}

// Predict is PredictFull at the present throttle levels.
func (t truth) Predict(target model.TargetID, id model.ServiceID, _ float64) slowdown.Estimate {
	s := serviceIndex(id)
	return slowdown.Estimate{Mean: t.w.slowdown(t.w.byID[target], s, t.w.loadAt(s), true)}
}

// Added implements placement.Predictor.
func (t truth) Added(id model.ServiceID, kind string, _ float64) slowdown.Estimate {
	s := serviceIndex(id)
	for k := range t.w.kinds {
		if t.w.kinds[k].name == kind {
			return slowdown.Estimate{Mean: t.w.added(s, k, t.w.loadAt(s))}
		}
	}
	return slowdown.Estimate{}
}

// Blame returns the tasks on a target, the most to blame first.
func (t truth) Blame(target model.TargetID, id model.ServiceID, _ float64) []slowdown.Blame {
	s := serviceIndex(id)
	var out []slowdown.Blame
	for _, task := range t.w.byID[target].tasks {
		added := t.w.added(s, task.job.kind, t.w.loadAt(s)) * task.level * task.noise
		out = append(out, slowdown.Blame{
			Attempt: task.id,
			Kind:    task.job.spec.Kind,
			Level:   task.level,
			Added:   slowdown.Estimate{Mean: added},
		})
	}
	slices.SortStableFunc(out, func(a, b slowdown.Blame) int { return cmp.Compare(b.Added.Mean, a.Added.Mean) })
	return out
}
