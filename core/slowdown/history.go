package slowdown

import (
	"slices"

	"samphirepaddle.example/core/model"
)

// levelChange is a throttle level that holds from At on.
type levelChange struct {
	at    model.Millis
	level float64
}

// taskRecord is the presence of one task on one target.
type taskRecord struct {
	attempt  model.AttemptID
	kind     string
	levels   []levelChange
	hasEnded bool
	end      model.Millis
	effect   effect
}

// share is the mean throttle level over the interval; time outside the task's life counts as zero.
func (r *taskRecord) share(from, to model.Millis) float64 {
	var sum float64
	for i, change := range r.levels {
		end := to
		if i+1 < len(r.levels) {
			end = min(end, r.levels[i+1].at)
		}
		if r.hasEnded {
			end = min(end, r.end)
		}
		start := max(from, change.at)
		if end > start {
			sum += change.level * float64(end-start)
		}
	}
	return sum / float64(to-from)
}

// forgetLevels drops the levels that were replaced before the given time; a task of weeks may
// be throttled often.
func (r *taskRecord) forgetLevels(before model.Millis) {
	for len(r.levels) > 1 && r.levels[1].at < before {
		r.levels = slices.Delete(r.levels, 0, 1)
	}
}

func (r *taskRecord) level() float64 {
	return r.levels[len(r.levels)-1].level
}

// history records which tasks ran together on one target.
type history struct {
	slots   int32
	running []*taskRecord
	ended   []*taskRecord
}

func (h *history) find(attempt model.AttemptID) int {
	return slices.IndexFunc(h.running, func(r *taskRecord) bool { return r.attempt == attempt })
}

func (h *history) prune(before model.Millis) {
	h.ended = slices.DeleteFunc(h.ended, func(r *taskRecord) bool { return r.end < before })
}

// SetTarget makes a target known. Slots scale its load.
func (m *Model) SetTarget(id model.TargetID, slots int32) {
	h := m.targets[id]
	if h == nil {
		h = &history{}
		m.targets[id] = h
	}
	h.slots = max(slots, 1)
}

// RemoveTarget forgets a target and its history.
func (m *Model) RemoveTarget(id model.TargetID) {
	delete(m.targets, id)
}

// TaskStarted records that a task runs on a target from the time at. Repeats change nothing.
func (m *Model) TaskStarted(id model.TargetID, attempt model.AttemptID, kind string, at model.Millis) {
	h := m.targets[id]
	if h == nil {
		m.SetTarget(id, 1)
		h = m.targets[id]
	}
	if h.find(attempt) >= 0 {
		return
	}
	h.prune(at - m.cfg.HistoryMs)
	h.running = append(h.running, &taskRecord{
		attempt: attempt,
		kind:    kind,
		levels:  []levelChange{{at: at, level: 1}},
		effect:  newEffect(at),
	})
}

// TaskThrottled records the level, 0 to 1, at which a task runs from the time at.
func (m *Model) TaskThrottled(id model.TargetID, attempt model.AttemptID, level float64, at model.Millis) {
	h := m.targets[id]
	if h == nil {
		return
	}
	if i := h.find(attempt); i >= 0 {
		r := h.running[i]
		r.forgetLevels(at - m.cfg.HistoryMs)
		r.levels = append(r.levels, levelChange{at: at, level: min(max(level, 0), 1)})
	}
}

// TaskStopped records the end of a task. The record is kept for late reports.
func (m *Model) TaskStopped(id model.TargetID, attempt model.AttemptID, at model.Millis) {
	h := m.targets[id]
	if h == nil {
		return
	}
	if i := h.find(attempt); i >= 0 {
		r := h.running[i]
		r.hasEnded = true
		r.end = at
		h.running = slices.Delete(h.running, i, i+1)
		h.ended = append(h.ended, r)
	}
}
