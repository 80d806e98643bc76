package workflow

import (
	"cmp"
	"maps"
	"slices"

	"samphirepaddle.example/core/model"
)

// Retention of ended jobs and of lives that are over.
const (
	// jobRetention exceeds the 120 s for which callers may ask for an ended job.
	jobRetention  = model.Millis(180_000)
	lifeRetention = model.Millis(60_000) // late reports of a life that left are recognized this long
)

// State holds every workflow and every worker life that matters. It is not safe for
// concurrent use.
type State struct {
	Sequence uint64
	Jobs     map[JobID]*Job
	Workers  map[WorkerID]*Worker

	// Derived from Jobs; not stored.
	live map[JobID]*Job
	open map[Incarnation]*openSet
	ends []endedJob // in the order of their ends

	openChanges uint64 // changes of all open sets
}

// openSet is the attempts that may be running on one life.
type openSet struct {
	attempts map[Attempt]*Task
	version  uint64 // changes with the attempts and with the end of their jobs
}

type endedJob struct {
	at model.Millis
	id JobID
}

// New returns an empty state.
func New() *State {
	return &State{
		Jobs:    map[JobID]*Job{},
		Workers: map[WorkerID]*Worker{},
		live:    map[JobID]*Job{},
		open:    map[Incarnation]*openSet{},
	}
}

// Snapshot is the form of the state in snapshots.
type Snapshot struct {
	Sequence uint64               `cbor:"1,keyasint,omitempty"`
	Jobs     map[JobID]*Job       `cbor:"2,keyasint,omitempty"`
	Workers  map[WorkerID]*Worker `cbor:"3,keyasint,omitempty"`
}

// Capture copies what later commands change.
func (s *State) Capture() *Snapshot {
	stored := &Snapshot{
		Sequence: s.Sequence,
		Jobs:     make(map[JobID]*Job, len(s.Jobs)),
		Workers:  make(map[WorkerID]*Worker, len(s.Workers)),
	}
	for id, job := range s.Jobs {
		stored.Jobs[id] = job.clone()
	}
	for id, worker := range s.Workers {
		copied := *worker
		stored.Workers[id] = &copied
	}
	return stored
}

func (j *Job) clone() *Job {
	copied := *j
	copied.RunsEnded = maps.Clone(j.RunsEnded)
	if j.Runs == nil {
		return &copied
	}
	copied.Runs = make(map[int]*Run, len(j.Runs))
	for number, run := range j.Runs {
		steps := slices.Clone(run.Steps)
		for i := range steps {
			steps[i].Tasks = slices.Clone(steps[i].Tasks)
		}
		copied.Runs[number] = &Run{Steps: steps}
	}
	return &copied
}

// Restore returns the state that Capture stored; nil is the empty state.
func Restore(stored *Snapshot) *State {
	s := New()
	if stored == nil {
		return s
	}
	s.Sequence = stored.Sequence
	if stored.Jobs != nil {
		s.Jobs = stored.Jobs
	}
	if stored.Workers != nil {
		s.Workers = stored.Workers
	}
	for _, job := range s.Jobs {
		s.index(job)
	}
	slices.SortFunc(s.ends, func(a, b endedJob) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.id, b.id))
	})
	return s
}

func (s *State) index(job *Job) {
	if job.Ended() {
		s.ends = append(s.ends, endedJob{job.EndedAt, job.ID})
	} else {
		s.live[job.ID] = job
	}
	for number, run := range job.Runs {
		for step := range run.Steps {
			tasks := run.Steps[step].Tasks
			for i := range tasks {
				if tasks[i].Phase == TaskOpen {
					key := TaskKey{job.ID, number, step, i}
					s.addOpen(Attempt{key, tasks[i].Attempt}, &tasks[i])
				}
			}
		}
	}
}

func (s *State) addOpen(a Attempt, task *Task) {
	set := s.open[task.Incarnation]
	if set == nil {
		set = &openSet{attempts: map[Attempt]*Task{}}
		s.open[task.Incarnation] = set
	}
	set.attempts[a] = task
	s.touch(task.Incarnation)
}

func (s *State) dropOpen(a Attempt, life Incarnation) {
	set := s.open[life]
	if set == nil {
		return
	}
	delete(set.attempts, a)
	s.touch(life)
	if len(set.attempts) == 0 {
		delete(s.open, life)
	}
}

// touch gives the open set of the life a new version.
func (s *State) touch(life Incarnation) {
	if set := s.open[life]; set != nil {
		s.openChanges++
		set.version = s.openChanges
	}
}

// trim drops jobs and lives that nobody may ask for any more.
func (s *State) trim(now model.Millis) {
	for len(s.ends) > 0 && now-s.ends[0].at > jobRetention {
		job := s.Jobs[s.ends[0].id]
		if job != nil && job.hasOpen() {
			return // its worker has not reported yet
		}
		delete(s.Jobs, s.ends[0].id)
		s.ends = s.ends[1:]
	}
}

func (s *State) trimWorkers(now model.Millis) {
	for id, worker := range s.Workers {
		if worker.Deregistered && now-worker.DeregisteredAt > lifeRetention && !s.HasOpen(worker.Incarnation) {
			delete(s.Workers, id)
		}
	}
}

func (j *Job) hasOpen() bool {
	for range j.openTasks {
		return true
	}
	return false
}

// openTasks yields the tasks of the job that have an open attempt.
func (j *Job) openTasks(yield func(*Task) bool) {
	for _, run := range j.Runs {
		for _, step := range run.Steps {
			for i := range step.Tasks {
				if step.Tasks[i].Phase == TaskOpen && !yield(&step.Tasks[i]) {
					return
				}
			}
		}
	}
}
