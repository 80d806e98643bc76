package workflow

import (
	"cmp"
	"slices"

	"samphirepaddle.example/core/model"
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

// StatusOf returns the status of a job, and false if the job was not submitted or is no longer kept.
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
		if job.Started {
			return StatusRunning, true
		}
		return StatusQueued, true
	}
	return "", false
}

// PendingJobs returns the number of live jobs of the route of which no task was assigned yet.
func (s *State) PendingJobs(route string) int {
	count := 0
	for _, job := range s.liveJobs {
		if job.Route == route && !job.Started {
			count++
		}
	}
	return count
}

// VisitLiveJobs calls visit for each job that has not ended, in order of acceptance.
func (s *State) VisitLiveJobs(visit func(*Job)) {
	jobs := make([]*Job, 0, len(s.liveJobs))
	for _, job := range s.liveJobs {
		jobs = append(jobs, job)
	}
	slices.SortFunc(jobs, func(a, b *Job) int { return cmp.Compare(a.Sequence, b.Sequence) })
	for _, job := range jobs {
		visit(job)
	}
}

// IsLive reports whether the job was accepted and has not ended.
func (s *State) IsLive(id JobID) bool {
	_, ok := s.liveJobs[id]
	return ok
}

// OpenAttempt is an attempt that may be running, with data of its job.
type OpenAttempt struct {
	Attempt
	Incarnation Incarnation
	Step        *StepSpec // of the job; must not be changed
	Route       string
	Priority    int
	Ended       bool // the job has ended, so the attempt must be stopped
	Task        Task
}

// VisitOpenAttempts calls visit for each attempt that may be running on the worker process.
func (s *State) VisitOpenAttempts(life Incarnation, visit func(OpenAttempt)) {
	set := s.openSets[life]
	if set == nil {
		return
	}
	for attempt, task := range set.attempts {
		visit(s.describe(attempt, life, task))
	}
}

// OpenVersion returns a number that changes whenever the result of Open for the worker process
// changes.
func (s *State) OpenVersion(life Incarnation) uint64 {
	if set := s.openSets[life]; set != nil {
		return set.version
	}
	return 0
}

func (s *State) openTask(life Incarnation, a Attempt) (*Task, bool) {
	set := s.openSets[life]
	if set == nil {
		return nil, false
	}
	task, ok := set.attempts[a]
	return task, ok
}

// VisitAllOpenAttempts calls visit for each attempt that may be running.
func (s *State) VisitAllOpenAttempts(visit func(OpenAttempt)) {
	for life, set := range s.openSets {
		for attempt, task := range set.attempts {
			visit(s.describe(attempt, life, task))
		}
	}
}

func (s *State) describe(a Attempt, life Incarnation, task *Task) OpenAttempt {
	job := s.Jobs[a.Task.Job]
	return OpenAttempt{
		Attempt: a, Incarnation: life, Step: &job.Steps[a.Task.Step], Route: job.Route,
		Priority: job.Priority, Ended: job.Ended(), Task: *task,
	}
}

// IsOpen reports whether the attempt is open on the worker process, and whether its job has ended.
func (s *State) IsOpen(life Incarnation, a Attempt) (open, ended bool) {
	if _, ok := s.openTask(life, a); !ok {
		return false, false
	}
	return true, s.Jobs[a.Task.Job].Ended()
}

// HasOpen reports whether any attempt is open on the worker process.
func (s *State) HasOpen(life Incarnation) bool { return s.openSets[life] != nil }

// OpenIncarnations returns the worker processes on which attempts are open, in a fixed order.
func (s *State) OpenIncarnations() []Incarnation {
	lives := make([]Incarnation, 0, len(s.openSets))
	for life := range s.openSets {
		lives = append(lives, life)
	}
	slices.SortFunc(lives, compareIncarnations)
	return lives
}

func compareIncarnations(a, b Incarnation) int {
	return cmp.Or(cmp.Compare(a.Worker, b.Worker), cmp.Compare(a.StartedAt, b.StartedAt))
}

// DueRuns returns the occurrences of a live job that are due and not complete. The run is nil if
// no task of the occurrence was assigned yet.
func (j *Job) DueRuns(now model.Millis) map[int]*Run {
	if j.Repeats == 0 {
		return map[int]*Run{0: j.Runs[0]}
	}
	due := map[int]*Run{}
	for number := 0; number < j.Repeats; number++ {
		if j.FirstMs+model.Millis(number)*j.Interval > now {
			break
		}
		if !j.RunsEnded[number] {
			due[number] = j.Runs[number]
		}
	}
	return due
}

// ReadyTasks calls visit for each waiting task of the run whose step may start. A nil run has no
// assigned task yet.
func (j *Job) ReadyTasks(run *Run, visit func(step, index int, task Task)) {
	if run == nil {
		run = j.newRun()
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

// StartArguments returns the payload and the task of an attempt to send to its worker. ok is false if
// the attempt is not open on the worker process or its job has ended.
func (s *State) StartArguments(a Attempt, life Incarnation) (payload string, task Task, ok bool) {
	t, ok := s.openTask(life, a)
	if !ok {
		return "", Task{}, false
	}
	job := s.Jobs[a.Task.Job]
	if job.Ended() {
		return "", Task{}, false
	}
	return job.Payload, *t, true
}
