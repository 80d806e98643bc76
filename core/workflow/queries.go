package workflow

import (
	"cmp"
	"slices"
)

// JobStatus is the status of a job as reported to callers.
type JobStatus string

// The statuses that are reported to callers.
const (
	StatusQueued    JobStatus = "queued"
	StatusRunning   JobStatus = "running"
	StatusCompleted JobStatus = "completed"
	StatusFailed    JobStatus = "failed"
	StatusCancelled JobStatus = "cancelled"
)

// StatusOf returns the status of a job, and false if the job was not submitted or is no longer
// stored.
func (s *State) StatusOf(id JobID) (JobStatus, bool) {
	job, ok := s.Jobs[id]
	if !ok {
		return "", false
	}
	switch job.Phase {
	case PhaseCompleted:
		return StatusCompleted, true
	case PhaseFailed:
		return StatusFailed, true
	case PhaseCancelled:
		return StatusCancelled, true
	case PhaseLive:
		if job.Begun {
			return StatusRunning, true
		}
		return StatusQueued, true
	}
	return "", false
}

// PendingJobs returns the number of the route's live jobs of which no task is known to have begun.
func (s *State) PendingJobs(route string) int {
	count := 0
	for _, job := range s.liveJobs {
		if job.Route == route && !job.Begun {
			count++
		}
	}
	return count
}

// VisitLiveJobs calls visit for each job that has not ended, in order of acceptance. visit must not change the
// state.
func (s *State) VisitLiveJobs(visit func(*Job)) {
	for _, job := range s.liveOrder {
		visit(job)
	}
}

// IsLive reports whether the job was accepted and has not ended.
func (s *State) IsLive(id JobID) bool {
	_, ok := s.liveJobs[id]
	return ok
}

// LiveRemovals returns a number that changes whenever a live job ends.
func (s *State) LiveRemovals() uint64 { return s.removals }

// OpenAttempt is an attempt that may be running, with data of its job.
type OpenAttempt struct {
	Attempt
	Incarnation Incarnation
	Step        *StepSpec // of the job; must not be changed
	Route       string
	Priority    int
	Ended       bool // the job has ended, so the attempt must be stopped
	Suspect     bool // a worker has crashed shortly after it started the task
	Task        Task
}

// VisitOpenAttempts calls visit for each attempt that may be running on the incarnation.
func (s *State) VisitOpenAttempts(incarnation Incarnation, visit func(OpenAttempt)) {
	set := s.openSets[incarnation]
	if set == nil {
		return
	}
	for attempt, task := range set.attempts {
		visit(s.describe(attempt, incarnation, task))
	}
}

// OpenVersion returns a number that changes whenever the set of open attempts of the incarnation
// changes or the job of one of them ends. It is 0 if the incarnation has none.
func (s *State) OpenVersion(incarnation Incarnation) uint64 {
	if set := s.openSets[incarnation]; set != nil {
		return set.version
	}
	return 0
}

func (s *State) openTask(incarnation Incarnation, a Attempt) (*Task, bool) {
	set := s.openSets[incarnation]
	if set == nil {
		return nil, false
	}
	task, ok := set.attempts[a]
	return task, ok
}

// VisitAllOpenAttempts calls visit for each attempt that may be running.
func (s *State) VisitAllOpenAttempts(visit func(OpenAttempt)) {
	for incarnation, set := range s.openSets {
		for attempt, task := range set.attempts {
			visit(s.describe(attempt, incarnation, task))
		}
	}
}

func (s *State) describe(a Attempt, incarnation Incarnation, task *Task) OpenAttempt {
	job := s.Jobs[a.Task.Job]
	return OpenAttempt{
		Attempt: a, Incarnation: incarnation, Step: &job.Steps[a.Task.Step], Route: job.Route,
		Priority: job.Priority, Ended: job.Ended(), Suspect: job.IsSuspect(a.Task), Task: *task,
	}
}

// IsOpen reports whether the attempt is open on the incarnation, and whether its job has ended.
func (s *State) IsOpen(incarnation Incarnation, a Attempt) (open, ended bool) {
	if _, ok := s.openTask(incarnation, a); !ok {
		return false, false
	}
	return true, s.Jobs[a.Task.Job].Ended()
}

// HasOpen reports whether any attempt is open on the incarnation.
func (s *State) HasOpen(incarnation Incarnation) bool { return s.openSets[incarnation] != nil }

// OpenIncarnations returns the incarnations on which attempts are open, ordered by worker and start
// time.
func (s *State) OpenIncarnations() []Incarnation {
	incarnations := make([]Incarnation, 0, len(s.openSets))
	for incarnation := range s.openSets {
		incarnations = append(incarnations, incarnation)
	}
	slices.SortFunc(incarnations, Incarnation.Compare)
	return incarnations
}

// FormerIncarnations returns, by worker, the incarnations with open attempts that another one has followed.
func (s *State) FormerIncarnations() map[WorkerID][]Incarnation {
	former := map[WorkerID][]Incarnation{}
	for incarnation := range s.openSets {
		if w, ok := s.Workers[incarnation.Worker]; ok && w.Incarnation != incarnation {
			former[incarnation.Worker] = append(former[incarnation.Worker], incarnation)
		}
	}
	return former
}

// Compare orders incarnations by worker and start time.
func (i Incarnation) Compare(other Incarnation) int {
	return cmp.Or(cmp.Compare(i.Worker, other.Worker), cmp.Compare(i.StartedAt, other.StartedAt))
}

// ReadyTasks calls visit for each waiting task of the run whose step may start. The run is nil if
// none of its tasks has been assigned yet.
func (j *Job) ReadyTasks(run *Run, visit func(step, index int, task Task)) {
	if run == nil {
		j.firstTasks(visit)
		return
	}
	for step := range run.Steps {
		state := &run.Steps[step]
		if state.Done == len(state.Tasks) || !j.stepReady(run, step) {
			continue
		}
		for i := range state.Tasks {
			if state.Tasks[i].Phase == TaskWaiting {
				visit(step, i, state.Tasks[i])
			}
		}
	}
}

// firstTasks calls visit for each task that may start when no task of the occurrence has been assigned yet.
func (j *Job) firstTasks(visit func(step, index int, task Task)) {
	for step := range j.Steps {
		if slices.ContainsFunc(j.Steps[step].After, func(earlier int) bool { return j.Steps[earlier].Count > 0 }) {
			continue
		}
		for i := range j.Steps[step].Count {
			visit(step, i, Task{})
		}
	}
}

// StartArguments returns the payload and the task of an attempt, which the start call to its
// worker needs. ok is false if the attempt is not open on the incarnation or its job has ended.
func (s *State) StartArguments(a Attempt, incarnation Incarnation) (payload string, task Task, ok bool) {
	t, ok := s.openTask(incarnation, a)
	if !ok {
		return "", Task{}, false
	}
	job := s.Jobs[a.Task.Job]
	if job.Ended() {
		return "", Task{}, false
	}
	task = *t
	task.Checkpoint = job.checkpointOf(a.Task)
	return job.Payload, task, true
}
