package slowdown

import "samphirepaddle.example/core/model"

// Neighbour is a batch task that runs on the same target as quick work.
type Neighbour struct {
	Attempt model.AttemptID // zero for a task that has not started
	Kind    string
	Share   float64 // throttle level times the part of the interval in which it ran, 0 to 1
}

// levelChange is a throttle level that holds from At on.
type levelChange struct {
	at    model.Millis
	level float64
}

// taskRecord is the presence of one task on one target.
type taskRecord struct {
	attempt model.AttemptID
	kind    string
	levels  []levelChange
	ended   bool
	end     model.Millis
	effect  effect
}

// share is the mean throttle level over the interval; time outside the task's life counts as zero.
func (r *taskRecord) share(from, to model.Millis) float64 {
	var sum float64
	for i, change := range r.levels {
		end := to
		if i+1 < len(r.levels) {
			end = min(end, r.levels[i+1].at)
		}
		if r.ended {
			end = min(end, r.end)
		}
		start := max(from, change.at)
		if end > start {
			sum += change.level * float64(end-start)
		}
	}
	return sum / float64(to-from)
}

func (r *taskRecord) level() float64 {
	return r.levels[len(r.levels)-1].level
}

// history records which tasks ran together on one target.
type history struct {
	slots   int32
	records []*taskRecord
}

func (h *history) running(attempt model.AttemptID) *taskRecord {
	for _, r := range h.records {
		if r.attempt == attempt && !r.ended {
			return r
		}
	}
	return nil
}

func (h *history) prune(before model.Millis) {
	kept := h.records[:0]
	for _, r := range h.records {
		if !r.ended || r.end >= before {
			kept = append(kept, r)
		}
	}
	clear(h.records[len(kept):])
	h.records = kept
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
	if h.running(attempt) != nil {
		return
	}
	h.prune(at - m.cfg.HistoryMs)
	h.records = append(h.records, &taskRecord{
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
	if r := h.running(attempt); r != nil {
		r.levels = append(r.levels, levelChange{at: at, level: min(max(level, 0), 1)})
	}
}

// TaskStopped records the end of a task. The record is kept for late reports.
func (m *Model) TaskStopped(id model.TargetID, attempt model.AttemptID, at model.Millis) {
	h := m.targets[id]
	if h == nil {
		return
	}
	if r := h.running(attempt); r != nil {
		r.ended = true
		r.end = at
	}
}

// Neighbours returns the tasks that run on the target now.
func (m *Model) Neighbours(id model.TargetID) []Neighbour {
	h := m.targets[id]
	if h == nil {
		return nil
	}
	var out []Neighbour
	for _, r := range h.records {
		if !r.ended {
			out = append(out, Neighbour{Attempt: r.attempt, Kind: r.kind, Share: r.level()})
		}
	}
	return out
}
