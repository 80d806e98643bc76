package workflow

import (
	"cmp"
	"slices"

	"samphirepaddle.example/core/model"
)

// Shown is the state of a job as callers see it.
type Shown string

// The states that callers see.
const (
	ShownQueued    Shown = "queued"
	ShownRunning   Shown = "running"
	ShownCompleted Shown = "completed"
	ShownFailed    Shown = "failed"
	ShownCancelled Shown = "cancelled"
)

// Show returns the state of a job; ok is false if nobody submitted it or it is no longer kept.
func (s *State) Show(id JobID) (Shown, bool) {
	job, ok := s.Jobs[id]
	if !ok {
		return "", false
	}
	switch job.Phase {
	case PhaseCompleted:
		return ShownCompleted, true
	case PhaseFailed:
		return ShownFailed, true
	case PhaseCancelled:
		return ShownCancelled, true
	case PhaseLive:
		if job.Started {
			return ShownRunning, true
		}
		return ShownQueued, true
	}
	return "", false
}

// Pending returns the number of accepted jobs of the route of which no task was assigned yet.
func (s *State) Pending(route string) int {
	count := 0
	for _, job := range s.live {
		if job.Route == route && !job.Started {
			count++
		}
	}
	return count
}

// Live calls visit for each job that has not ended, in order of acceptance.
func (s *State) Live(visit func(*Job)) {
	jobs := make([]*Job, 0, len(s.live))
	for _, job := range s.live {
		jobs = append(jobs, job)
	}
	slices.SortFunc(jobs, func(a, b *Job) int { return cmp.Compare(a.Sequence, b.Sequence) })
	for _, job := range jobs {
		visit(job)
	}
}

// IsLive reports whether the job was accepted and has not ended.
func (s *State) IsLive(id JobID) bool {
	_, ok := s.live[id]
	return ok
}

// OpenAttempt is an attempt that may be running, with what its job declared.
type OpenAttempt struct {
	Attempt
	Life     Life
	Step     *StepSpec // of the job; not to be changed
	Route    string
	Priority int
	Ended    bool // the job has ended; the attempt is to be stopped
	Task     Task
}

// Open calls visit for each attempt that may be running on the life.
func (s *State) Open(life Life, visit func(OpenAttempt)) {
	set := s.open[life]
	if set == nil {
		return
	}
	for attempt, task := range set.attempts {
		visit(s.describe(attempt, life, task))
	}
}

// OpenVersion changes whenever Open would tell something else of the life.
func (s *State) OpenVersion(life Life) uint64 {
	if set := s.open[life]; set != nil {
		return set.version
	}
	return 0
}

func (s *State) openTask(life Life, a Attempt) (*Task, bool) {
	set := s.open[life]
	if set == nil {
		return nil, false
	}
	task, ok := set.attempts[a]
	return task, ok
}

// AllOpen calls visit for each attempt that may be running.
func (s *State) AllOpen(visit func(OpenAttempt)) {
	for life, set := range s.open {
		for attempt, task := range set.attempts {
			visit(s.describe(attempt, life, task))
		}
	}
}

func (s *State) describe(a Attempt, life Life, task *Task) OpenAttempt {
	job := s.Jobs[a.Task.Job]
	return OpenAttempt{
		Attempt: a, Life: life, Step: &job.Steps[a.Task.Step], Route: job.Route,
		Priority: job.Priority, Ended: job.Ended(), Task: *task,
	}
}

// IsOpen reports whether the attempt is open on the life, and whether its job has ended.
func (s *State) IsOpen(life Life, a Attempt) (open, ended bool) {
	if _, ok := s.openTask(life, a); !ok {
		return false, false
	}
	return true, s.Jobs[a.Task.Job].Ended()
}

// HasOpen reports whether any attempt is open on the life.
func (s *State) HasOpen(life Life) bool { return s.open[life] != nil }

// OpenLives returns the lives on which attempts are open.
func (s *State) OpenLives() []Life {
	lives := make([]Life, 0, len(s.open))
	for life := range s.open {
		lives = append(lives, life)
	}
	slices.SortFunc(lives, compareLives)
	return lives
}

func compareLives(a, b Life) int {
	return cmp.Or(cmp.Compare(a.Worker, b.Worker), cmp.Compare(a.Born, b.Born))
}

// DueRuns returns the occurrences of a live job whose time has come and that are not complete.
// Without a run the steps have not begun.
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

// ReadyTasks calls visit for each waiting task of the run whose step may start. A run that
// has not begun is nil.
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

// Assigned returns what an attempt needs at its worker, if it is still the open one there.
func (s *State) Assigned(a Attempt, life Life) (payload string, task Task, ok bool) {
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
