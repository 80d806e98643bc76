package workflow

import (
	"cmp"
	"slices"

	"samphirepaddle.example/core/model"
)

// Retention of ended jobs and of deregistered workers.
const (
	// jobRetention exceeds the 120 s for which callers may query an ended job.
	jobRetention = model.Millis(180_000)
	// workerRetention is the time for which late reports of a deregistered incarnation are
	// recognized.
	workerRetention = model.Millis(60_000)
)

// State holds the workflows and the workers, including ended jobs and deregistered workers
// within their retention. It is not safe for concurrent use.
type State struct {
	Sequence uint64 // last Job.Sequence assigned
	Jobs     map[JobID]*Job
	Workers  map[WorkerID]*Worker

	// Indexes of Jobs. They are not part of snapshots; Restore rebuilds them.
	liveJobs   map[JobID]*Job
	liveOrder  []*Job // the live jobs in order of acceptance
	heldWeight int64  // sum of the weights of the live jobs and of the ended ones that keep their details
	openSets   map[Incarnation]*openSet
	endedJobs  []endedJob // submitted jobs, in the order of compare

	unsubmitted []endedJob // jobs of PhaseUnsubmitted, in the order of compare

	evacuated map[model.Zone]bool // set by the owner of the orders; not part of snapshots

	lastVersion uint64 // last version given to an open set
	removals    uint64 // number of live jobs that have ended
}

// openSet holds the open attempts of one incarnation of a worker.
type openSet struct {
	attempts map[Attempt]*Task
	version  uint64 // changes when an attempt is added or removed or its job ends
}

type endedJob struct {
	at model.Millis
	id JobID
}

// compare orders jobs by their end. Jobs that ended at the same time are ordered by id, so that the order does not
// depend on whether the state was restored.
func (e endedJob) compare(other endedJob) int {
	return cmp.Or(cmp.Compare(e.at, other.at), cmp.Compare(e.id, other.id))
}

func (s *State) addEnded(e endedJob) {
	i, _ := slices.BinarySearchFunc(s.endedJobs, e, endedJob.compare)
	s.endedJobs = slices.Insert(s.endedJobs, i, e)
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
		copied.Lapsed = slices.Clone(worker.Lapsed)
		stored.Workers[id] = &copied
	}
	return stored
}

func (j *Job) clone() *Job {
	copied := *j
	copied.Completed = slices.Clone(j.Completed)
	copied.Suspects = cloneSuspects(j.Suspects)
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

// Restore returns the state of a snapshot, or an empty state if the snapshot is nil.
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
		job.convertCompleted()
		s.indexJob(job)
	}
	slices.SortFunc(s.endedJobs, endedJob.compare)
	slices.SortFunc(s.unsubmitted, endedJob.compare)
	slices.SortFunc(s.liveOrder, compareAcceptance)
	return s
}

// convertCompleted takes over the complete occurrences from a snapshot of an earlier version.
func (j *Job) convertCompleted() {
	for occurrence := range j.FormerCompleted {
		j.Completed.add(occurrence)
	}
	j.FormerCompleted = nil
}

func (s *State) indexJob(job *Job) {
	switch {
	case job.Phase == PhaseUnsubmitted:
		s.unsubmitted = append(s.unsubmitted, endedJob{job.EndedAt, job.ID})
	case job.Ended():
		s.endedJobs = append(s.endedJobs, endedJob{job.EndedAt, job.ID})
		if len(job.Steps) > 0 {
			s.addWeight(job)
		}
	default:
		s.addLive(job)
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

func compareAcceptance(a, b *Job) int { return cmp.Compare(a.Sequence, b.Sequence) }

// addLive adds a job to the live ones. The latest accepted one belongs at the end of liveOrder.
func (s *State) addLive(job *Job) {
	s.liveJobs[job.ID] = job
	s.addWeight(job)
	s.liveOrder = append(s.liveOrder, job)
}

func (s *State) removeLive(job *Job) {
	delete(s.liveJobs, job.ID)
	if i, found := slices.BinarySearchFunc(s.liveOrder, job, compareAcceptance); found {
		s.liveOrder = slices.Delete(s.liveOrder, i, i+1)
	}
	s.removals++
}

// FollowRoutes has the live jobs run on the services to which their routes send them now. Attempts that are open
// end where they run. A job whose route is gone keeps its service.
func (s *State) FollowRoutes(routing *model.Routing) {
	services := make(map[string]string, len(routing.Routes))
	for _, route := range routing.Routes {
		services[route.Name] = route.Service
	}
	for _, job := range s.liveOrder {
		if service, ok := services[job.Route]; ok {
			job.Service = service
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

func (s *State) removeOpen(a Attempt, incarnation Incarnation) {
	set := s.openSets[incarnation]
	if set == nil {
		return
	}
	delete(set.attempts, a)
	s.bumpVersion(incarnation)
	if len(set.attempts) == 0 {
		delete(s.openSets, incarnation)
	}
}

// bumpVersion gives the open set of an incarnation a new version.
func (s *State) bumpVersion(incarnation Incarnation) {
	if set := s.openSets[incarnation]; set != nil {
		s.lastVersion++
		set.version = s.lastVersion
	}
}

// dropExpiredJobs removes ended jobs after their retention, except for those with an open attempt, whose worker
// has not reported the end yet.
func (s *State) dropExpiredJobs(now model.Millis) {
	kept, expired := 0, 0
	for ; expired < len(s.endedJobs) && now-s.endedJobs[expired].at > jobRetention; expired++ {
		ended := s.endedJobs[expired]
		if job := s.Jobs[ended.id]; job != nil && job.hasOpenAttempt() {
			s.endedJobs[kept] = ended
			kept++
			continue
		}
		delete(s.Jobs, ended.id)
	}
	copy(s.endedJobs[expired-kept:expired], s.endedJobs[:kept])
	s.endedJobs = s.endedJobs[expired-kept:]
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
