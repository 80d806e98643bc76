package slowdown

import (
	"slices"

	"samphirepaddle.example/core/model"
)

// levelChange is a throttle level that applies from the time at.
type levelChange struct {
	at    model.Millis
	level float64
}

// taskRecord records when and at which throttle levels a task ran on a target.
type taskRecord struct {
	attempt    model.AttemptID
	kind       string
	levels     []levelChange
	hasEnded   bool
	end        model.Millis
	taskFactor taskFactor
}

// meanLevel returns the mean throttle level over an interval. The level counts as zero while the
// task was not running.
func (r *taskRecord) meanLevel(from, to model.Millis) float64 {
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

// pruneLevels drops the levels that were replaced before the given time. It bounds the memory
// of a task that is throttled many times over weeks.
func (r *taskRecord) pruneLevels(before model.Millis) {
	for len(r.levels) > 1 && r.levels[1].at < before {
		r.levels = slices.Delete(r.levels, 0, 1)
	}
}

func (r *taskRecord) level() float64 {
	return r.levels[len(r.levels)-1].level
}

// history records the tasks of one target: the running ones, and the ended ones for late reports.
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

// SetTarget adds a target or updates its number of slots. Loads on the target are
// fractions of its slots.
func (m *Model) SetTarget(id model.TargetID, slots int32) {
	h := m.targets[id]
	if h == nil {
		h = &history{}
		m.targets[id] = h
	}
	h.slots = max(slots, 1)
}

// RemoveTarget removes a target and its history.
func (m *Model) RemoveTarget(id model.TargetID) {
	delete(m.targets, id)
}

// TaskStarted records that a task runs on a target from the time at. It does nothing if the
// task is already recorded as running.
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
		attempt:    attempt,
		kind:       kind,
		levels:     []levelChange{{at: at, level: 1}},
		taskFactor: newTaskFactor(at),
	})
}

// TaskThrottled records the throttle level, 0 to 1, at which a task runs from the time at.
func (m *Model) TaskThrottled(id model.TargetID, attempt model.AttemptID, level float64, at model.Millis) {
	h := m.targets[id]
	if h == nil {
		return
	}
	if i := h.find(attempt); i >= 0 {
		r := h.running[i]
		r.pruneLevels(at - m.cfg.HistoryMs)
		r.levels = append(r.levels, levelChange{at: at, level: min(max(level, 0), 1)})
	}
}

// TaskStopped records the end of a task. The record is kept for Config.HistoryMs, because
// reports arrive late.
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
