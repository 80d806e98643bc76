package workflow

import (
	"cmp"
	"maps"
	"slices"

	"samphirepaddle.example/core/model"
)

// Retention of ended jobs and of worker processes that have left.
const (
	// jobRetention exceeds the 120 s for which callers may query an ended job.
	jobRetention    = model.Millis(180_000)
	workerRetention = model.Millis(60_000) // late reports of a process that has left are recognized this long
)

// State holds the workflows and the workers, including ended jobs and departed worker processes
// within their retention. It is not safe for concurrent use.
type State struct {
	Sequence uint64
	Jobs     map[JobID]*Job
	Workers  map[WorkerID]*Worker

	// Indexes of Jobs; not stored.
	liveJobs  map[JobID]*Job
	openSets  map[Incarnation]*openSet
	endedJobs []endedJob // in the order of their ends

	lastVersion uint64 // last version given to an open set
}

// openSet holds the open attempts of one worker process.
type openSet struct {
	attempts map[Attempt]*Task
	version  uint64 // changes when an attempt is added or removed or its job ends
}

type endedJob struct {
	at model.Millis
	id JobID
}

// New returns an empty state.
func New() *State {
	return &State{
		Jobs:     map[JobID]*Job{},
		Workers:  map[WorkerID]*Worker{},
		liveJobs: map[JobID]*Job{},
		openSets: map[Incarnation]*openSet{},
	}
}

// Snapshot is the form of the state in snapshots.
type Snapshot struct {
	Sequence uint64               `cbor:"1,keyasint,omitempty"`
	Jobs     map[JobID]*Job       `cbor:"2,keyasint,omitempty"`
	Workers  map[WorkerID]*Worker `cbor:"3,keyasint,omitempty"`
}

// Capture returns a copy of the state that later commands do not change.
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

// Restore returns the state that Capture returned; nil gives an empty state.
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
		s.indexJob(job)
	}
	slices.SortFunc(s.endedJobs, func(a, b endedJob) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.id, b.id))
	})
	return s
}

func (s *State) indexJob(job *Job) {
	if job.Ended() {
		s.endedJobs = append(s.endedJobs, endedJob{job.EndedAt, job.ID})
	} else {
		s.liveJobs[job.ID] = job
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
	set := s.openSets[task.Incarnation]
	if set == nil {
		set = &openSet{attempts: map[Attempt]*Task{}}
		s.openSets[task.Incarnation] = set
	}
	set.attempts[a] = task
	s.bumpVersion(task.Incarnation)
}

func (s *State) removeOpen(a Attempt, life Incarnation) {
	set := s.openSets[life]
	if set == nil {
		return
	}
	delete(set.attempts, a)
	s.bumpVersion(life)
	if len(set.attempts) == 0 {
		delete(s.openSets, life)
	}
}

// bumpVersion gives the open set of a worker process a new version.
func (s *State) bumpVersion(life Incarnation) {
	if set := s.openSets[life]; set != nil {
		s.lastVersion++
		set.version = s.lastVersion
	}
}

// dropExpiredJobs removes ended jobs after their retention.
func (s *State) dropExpiredJobs(now model.Millis) {
	for len(s.endedJobs) > 0 && now-s.endedJobs[0].at > jobRetention {
		job := s.Jobs[s.endedJobs[0].id]
		if job != nil && job.hasOpenAttempt() {
			return // its worker has not reported the end yet
		}
		delete(s.Jobs, s.endedJobs[0].id)
		s.endedJobs = s.endedJobs[1:]
	}
}

func (s *State) dropExpiredWorkers(now model.Millis) {
	for id, worker := range s.Workers {
		if worker.Deregistered && now-worker.DeregisteredAt > workerRetention && !s.HasOpen(worker.Incarnation) {
			delete(s.Workers, id)
		}
	}
}

func (j *Job) hasOpenAttempt() bool {
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
