package workflow

import "samphirepaddle.example/core/model"

// recordWorker records a worker's report. Other programs send reports under the id of a worker as well,
// so a report only claims what it says: that of a later incarnation replaces an earlier one, whose record
// is kept until the later one has answered. Reports of earlier incarnations are ignored.
func (s *State) recordWorker(now model.Millis, w Worker) {
	known, ok := s.Workers[w.Incarnation.Worker]
	switch {
	case !ok:
	case known.Incarnation.StartedAt > w.Incarnation.StartedAt:
		return
	case known.Incarnation == w.Incarnation:
		w.keepLaterReport(known)
		w.keepHistory(known)
		w.Displaced = known.Displaced
	default:
		w.Displaced = known.lastAnswering()
		s.follow(now, &w, known)
	}
	s.storeWorker(now, w)
}

// recordProven records the report of a process that has answered with its start time at the reported
// address. It replaces any other record, also one with a later start time: that may be a claim of another
// program, or the clock of the worker's VM was set back.
func (s *State) recordProven(now model.Millis, w Worker) {
	known, ok := s.Workers[w.Incarnation.Worker]
	leaves := w.Draining || w.Deregistered
	switch {
	case !ok:
	case known.Incarnation == w.Incarnation:
		w.keepHistory(known)
	case known.Displaced != nil && known.Displaced.Incarnation == w.Incarnation:
		w.keepHistory(known.Displaced)
	default:
		s.follow(now, &w, known.lastAnswering())
	}
	w.Lapsed, w.Crashed, w.Displaced = nil, false, nil
	if !leaves && !w.Draining {
		w.Deregistered, w.DeregisteredAt = false, 0 // the process has not ended
	}
	s.storeWorker(now, w)
}

// lastAnswering returns the record without those that replaced it and have not answered since.
func (w *Worker) lastAnswering() *Worker {
	if w.Displaced != nil {
		return w.Displaced
	}
	copied := *w
	return &copied
}

// follow notes in the record of a new process how the one before ended.
func (s *State) follow(now model.Millis, w, before *Worker) {
	w.PredecessorLeft, w.FollowedAt = before.announcedEnd(), now
	if !w.PredecessorLeft && !before.Crashed {
		s.countCrash(now, before.Lapsed, false)
	}
}

func (s *State) storeWorker(now model.Millis, w Worker) {
	if w.Deregistered && w.DeregisteredAt == 0 {
		w.DeregisteredAt = now
	}
	s.Workers[w.Incarnation.Worker] = &w
}

// keepHistory keeps what the record of the same process holds beside its attributes.
func (w *Worker) keepHistory(known *Worker) {
	w.Draining = w.Draining || known.Draining
	w.Deregistered = w.Deregistered || known.Deregistered
	w.LastRecordedEnd = known.LastRecordedEnd
	w.DeregisteredAt = known.DeregisteredAt
	w.Crashed, w.Lapsed = known.Crashed, known.Lapsed
	w.PredecessorLeft, w.FollowedAt = known.PredecessorLeft, known.FollowedAt
	w.Silent, w.LeaseLeftMs = known.Silent, known.LeaseLeftMs
}

// keepLaterReport replaces the reported attributes by the recorded ones if these are from a later
// heartbeat, or from another address: only an answer from there proves that the process has moved.
func (w *Worker) keepLaterReport(known *Worker) {
	if w.Addr != known.Addr || (w.ReportSequence != 0 && w.ReportSequence < known.ReportSequence) {
		later := *known
		later.Draining, later.Deregistered = w.Draining, w.Deregistered
		*w = later
	}
	w.ReportSequence = max(w.ReportSequence, known.ReportSequence)
}
