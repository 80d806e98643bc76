package workflow

import (
	"fmt"
	"slices"

	"samphirepaddle.example/core/model"
)

// Limits on the crashes of workers under one task. An attempt that is lost with its worker may be
// repeated, and so are those beside it: a task that crashes every worker that starts it would end
// all of them in turn. A crash alone does not tell which of the tasks on the worker caused it, so
// the limits depend on whether others are suspect as well.
const (
	// CrashWindow is how long an attempt must run until it no longer counts as the cause of a crash.
	CrashWindow = model.Millis(500)
	// maxCrashes is the number of crashes after which a task is given up, whatever ran beside it.
	maxCrashes = 5
	// minCrashes is the number of crashes after which a task is given up if it was the only suspect
	// in minSoleSuspicions of them.
	minCrashes        = 3
	minSoleSuspicions = 2
	// minProvenCrashes is the number of crashes under attempts that are known to have run without which no
	// task is given up.
	minProvenCrashes = 2
	// soundRunTime is the run time after which an attempt shows that its task does not crash workers.
	soundRunTime = model.Millis(10_000)
	// suspicionExpiry is the time without a crash after which a task is no longer suspect. It is much
	// longer than maxBackoff, so that a task that is held back stays known.
	suspicionExpiry = model.Millis(10 * 60_000)
)

// Crash reports that a worker process ended without having announced that it leaves, and the
// attempts that were open on it.
type Crash struct {
	Incarnation Incarnation      `cbor:"1,keyasint"`
	Attempts    []CrashedAttempt `cbor:"2,keyasint,omitempty"`

	// Common reports that the process ended in the same moment as half of its service's workers or more.
	Common bool `cbor:"3,keyasint,omitempty"`
}

// CrashedAttempt is an attempt that was open on a worker process when that ended or fell silent.
type CrashedAttempt struct {
	Attempt Attempt      `cbor:"1,keyasint"`
	RanMs   model.Millis `cbor:"2,keyasint,omitempty"` // for how long the attempt ran at least
	Unseen  bool         `cbor:"3,keyasint,omitempty"` // an earlier leader started it, and its run time is not known

	Evidence CrashEvidence `cbor:"4,keyasint,omitempty"`
}

// CrashEvidence is what shows that an attempt ran in a worker process before that ended.
type CrashEvidence uint8

const (
	// EvidenceRan is that the worker accepted the start or listed the attempt, or that it answered just
	// before the start was sent and not after.
	EvidenceRan CrashEvidence = iota
	// EvidenceNone is that the start was sent and not answered. The process may have ended before.
	EvidenceNone
	// EvidenceUnknown is that an earlier leader may have sent the start, and may have got an answer.
	EvidenceUnknown
)

// JustStarted reports whether the attempt is suspect of a crash. Most of those whose run time is not known
// are older than CrashWindow, so that their crash counts but makes no suspects of them: suspects start
// alone, and 400 of them on 48 workers took 9 s (simulated).
func (a *CrashedAttempt) JustStarted() bool { return a.RanMs < CrashWindow && !a.Unseen }

// Suspect records the crashes of workers under one task of a job.
type Suspect struct {
	Occurrence int      `cbor:"1,keyasint,omitempty"`
	Step       int      `cbor:"2,keyasint,omitempty"`
	Index      int      `cbor:"3,keyasint,omitempty"`
	Crashed    []uint32 `cbor:"4,keyasint,omitempty"` // numbers of the attempts whose worker crashed
	Suspicions int      `cbor:"5,keyasint,omitempty"` // crashes within CrashWindow of the start; all common ones count as one at most
	Sole       int      `cbor:"6,keyasint,omitempty"` // suspicions by EvidenceRan without another suspect of the same standing

	LastCrashAt model.Millis `cbor:"7,keyasint,omitempty"` // when the latest crash was recorded

	Unproven int `cbor:"8,keyasint,omitempty"` // those of Crashed with EvidenceNone
	Unknown  int `cbor:"9,keyasint,omitempty"` // those of Crashed with EvidenceUnknown
}

// countedCrashes returns the number of crashes that count against the task. A start that was sent to a
// worker that may have ended before counts only as a reason for caution.
func (s *Suspect) countedCrashes() int { return len(s.Crashed) - s.Unproven }

// addCrash counts the crash of a worker under an attempt of the task.
func (s *Suspect) addCrash(now model.Millis, a CrashedAttempt) {
	s.Crashed = append(s.Crashed, a.Attempt.Number)
	s.LastCrashAt = now
	switch a.Evidence {
	case EvidenceNone:
		s.Unproven++
	case EvidenceUnknown:
		s.Unknown++
	}
}

// givenUp reports whether the task is the cause of the crashes by the limits.
func (s *Suspect) givenUp() bool {
	crashes := s.countedCrashes()
	if crashes-s.Unknown < minProvenCrashes {
		return false
	}
	return crashes >= maxCrashes || (crashes >= minCrashes && s.Sole >= minSoleSuspicions)
}

// cloneSuspects returns a copy that later crashes do not change.
func cloneSuspects(suspects []Suspect) []Suspect {
	copied := slices.Clone(suspects)
	for i := range copied {
		copied[i].Crashed = slices.Clone(copied[i].Crashed)
	}
	return copied
}

func (j *Job) suspectIndex(key TaskKey) int {
	return slices.IndexFunc(j.Suspects, func(s Suspect) bool {
		return s.Index == key.Index && s.Step == key.Step && s.Occurrence == key.Occurrence
	})
}

// IsSuspect reports whether a worker has crashed shortly after it started the task, so that the next
// attempt should start where no other suspect does and little else is harmed.
func (j *Job) IsSuspect(key TaskKey) bool {
	i := j.suspectIndex(key)
	return i >= 0 && j.Suspects[i].Suspicions > 0
}

// HasCrashes reports whether workers have crashed under the task, or may have.
func (j *Job) HasCrashes(key TaskKey) bool { return j.suspectIndex(key) >= 0 }

// IsWeakSuspect reports whether the task is suspect for one crash only, or for common crashes.
func (j *Job) IsWeakSuspect(key TaskKey) bool {
	i := j.suspectIndex(key)
	return i >= 0 && j.Suspects[i].Suspicions == 1
}

// clearSuspicion forgets the crashes under a task that has shown that workers survive it.
func (j *Job) clearSuspicion(key TaskKey) {
	if i := j.suspectIndex(key); i >= 0 {
		j.Suspects = slices.Delete(j.Suspects, i, i+1)
	}
}

// recordLapsed keeps the attempts that were lost because their worker was silent: if the process
// turns out to have ended, they count as crashed with it. Those that ran for long show that workers
// survive their tasks, so that losses of a long-running task do not add up over days.
func (s *State) recordLapsed(c Crash) {
	worker, ok := s.Workers[c.Incarnation.Worker]
	if !ok || worker.Incarnation != c.Incarnation || worker.Crashed || worker.announcedEnd() {
		return
	}
	for _, a := range c.Attempts {
		if job, ok := s.liveJobs[a.Attempt.Task.Job]; ok && a.RanMs >= soundRunTime {
			job.clearSuspicion(a.Attempt.Task)
			s.forgetLapsed(a.Attempt.Task)
		}
		if !slices.ContainsFunc(worker.Lapsed, func(known CrashedAttempt) bool { return known.Attempt == a.Attempt }) {
			worker.Lapsed = append(worker.Lapsed, a)
		}
	}
}

// recordSilent records that no lease is sent to a worker process. A leader that follows can rely on the
// bound, because the process gets no lease before recordAnswer.
func (s *State) recordSilent(silent SilentWorker) {
	if worker, ok := s.Workers[silent.Incarnation.Worker]; ok && worker.Incarnation == silent.Incarnation {
		worker.Silent, worker.LeaseLeftMs = true, silent.LeaseLeftMs
	}
}

// recordAnswer forgets the attempts that were lost while the worker was silent: it has survived them. It
// also forgets the process that the report of this one displaced.
func (s *State) recordAnswer(incarnation Incarnation) {
	if worker, ok := s.Workers[incarnation.Worker]; ok && worker.Incarnation == incarnation {
		worker.Lapsed, worker.Displaced, worker.Crashed = nil, nil, false
		worker.Silent, worker.LeaseLeftMs = false, 0
	}
}

// recordCrash counts the crash of a worker process for the tasks on it. Each process counts once,
// and so does each attempt, because a batch may be applied again.
func (s *State) recordCrash(now model.Millis, c Crash) {
	attempts := c.Attempts
	worker, ok := s.Workers[c.Incarnation.Worker]
	switch {
	case ok && worker.Incarnation == c.Incarnation:
		if worker.Crashed || worker.announcedEnd() {
			return
		}
		worker.Crashed = true
		attempts = latestOfEachTask(slices.Concat(worker.Lapsed, attempts))
		worker.Lapsed = nil
	case ok && worker.PredecessorLeft:
		return
	}
	s.countCrash(now, attempts, c.Common)
}

// announcedEnd reports whether the worker process has announced that it leaves, so that its end is
// no crash.
func (w *Worker) announcedEnd() bool { return w.Draining || w.Deregistered }

// countCrash counts one crash for the attempts, and gives up the tasks that are over the limits. A sole
// suspect that was suspect before explains the crash, so it does not count for those that ran for
// longer. A task that starts for the first time explains none: on a busy worker there nearly always is
// one, and a task that crashes its workers late would never be counted.
//
// A common crash makes weak suspects only, because most tasks on the workers are sound. It counts against
// maxCrashes all the same: tasks that crash most workers in the same moment, again and again, must not
// escape the limit.
func (s *State) countCrash(now model.Millis, attempts []CrashedAttempt, common bool) {
	if s.isCounted(attempts) {
		return
	}
	s.addSuspects(now, attempts)
	var recent []*Suspect
	evidence := map[*Suspect]CrashEvidence{}
	for _, a := range attempts {
		if suspect := s.suspectOf(a); suspect != nil && a.JustStarted() {
			recent = append(recent, suspect)
			evidence[suspect] = a.Evidence
		}
	}
	for _, suspect := range recent {
		suspect.Suspicions++
	}
	sole := soleSuspect(recent)
	if sole != nil && evidence[sole] != EvidenceRan {
		sole = nil // it may not have run
	}
	explained := sole != nil && sole.Suspicions > 1
	if sole != nil && !common {
		sole.Sole++
	}
	for _, suspect := range recent {
		if common {
			suspect.Suspicions = max(1, suspect.Suspicions-1)
		}
	}
	for _, a := range attempts {
		if suspect := s.suspectOf(a); suspect != nil && (!explained || a.JustStarted()) {
			suspect.addCrash(now, a)
		}
	}
	for _, a := range attempts {
		s.giveUpIfOverLimit(now, a.Attempt.Task)
	}
}

// isCounted reports whether the crash of the worker process was counted before.
func (s *State) isCounted(attempts []CrashedAttempt) bool {
	return slices.ContainsFunc(attempts, func(a CrashedAttempt) bool {
		job, ok := s.liveJobs[a.Attempt.Task.Job]
		if !ok {
			return false
		}
		i := job.suspectIndex(a.Attempt.Task)
		return i >= 0 && slices.Contains(job.Suspects[i].Crashed, a.Attempt.Number)
	})
}

// latestOfEachTask drops the attempts that are followed by another one of the same task. A task may
// have been started again on a worker that was silent, and the crash counts once for it.
func latestOfEachTask(attempts []CrashedAttempt) []CrashedAttempt {
	var latest []CrashedAttempt
	for i, a := range attempts {
		if !slices.ContainsFunc(attempts[i+1:], func(next CrashedAttempt) bool { return next.Attempt.Task == a.Attempt.Task }) {
			latest = append(latest, a)
		}
	}
	return latest
}

// addSuspects adds the tasks of the attempts to the suspects of their jobs. Tasks that ran for long
// are cleared, and crashes that are long past are forgotten.
func (s *State) addSuspects(now model.Millis, attempts []CrashedAttempt) {
	for _, a := range attempts {
		key := a.Attempt.Task
		job, ok := s.liveJobs[key.Job]
		if !ok || !job.validKey(key) {
			continue
		}
		if i := job.suspectIndex(key); i >= 0 && now-job.Suspects[i].LastCrashAt > suspicionExpiry {
			job.clearSuspicion(key)
		}
		switch {
		case a.RanMs >= soundRunTime:
			job.clearSuspicion(key)
			s.forgetLapsed(key)
		case job.suspectIndex(key) < 0:
			job.Suspects = append(job.Suspects, Suspect{Occurrence: key.Occurrence, Step: key.Step, Index: key.Index, LastCrashAt: now})
		}
	}
}

// suspectOf returns the record of the attempt's task, or nil if there is none. The pointer is valid until a suspect is added or removed.
func (s *State) suspectOf(a CrashedAttempt) *Suspect {
	job, ok := s.liveJobs[a.Attempt.Task.Job]
	if !ok {
		return nil
	}
	i := job.suspectIndex(a.Attempt.Task)
	if i < 0 {
		return nil
	}
	return &job.Suspects[i]
}

// soleSuspect returns the suspect that alone explains the crash, or nil: the only one, or the only
// one that was suspect at an earlier crash.
func soleSuspect(recent []*Suspect) *Suspect {
	if len(recent) == 1 {
		return recent[0]
	}
	var sole *Suspect
	for _, suspect := range recent {
		if suspect.Suspicions < 2 {
			continue
		}
		if sole != nil {
			return nil
		}
		sole = suspect
	}
	return sole
}

func (s *State) giveUpIfOverLimit(now model.Millis, key TaskKey) {
	job, ok := s.liveJobs[key.Job]
	if !ok {
		return // another task of the job was given up
	}
	i := job.suspectIndex(key)
	switch {
	case i < 0:
		return
	case len(job.Suspects[i].Crashed) == 0:
		job.clearSuspicion(key) // the crash did not count for the task
		return
	case !job.Suspects[i].givenUp():
		return
	}
	s.endJob(job, PhaseFailed, now, fmt.Sprintf("%d workers crashed under task %s", job.Suspects[i].countedCrashes(), key))
}
