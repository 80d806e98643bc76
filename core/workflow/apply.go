package workflow

import (
	"fmt"
	"math"
	"strings"

	"samphirepaddle.example/core/model"
)

// Apply applies one command at the time now, and returns its outcome and a message for the
// caller.
func (s *State) Apply(now model.Millis, routing *model.Routing, c *Command) (Outcome, string) {
	defer s.dropExpiredJobs(now)
	defer s.dropExpiredUnsubmitted(now)
	switch {
	case c.Submit != nil:
		return s.submit(now, routing, c.Submit)
	case c.Cancel != nil:
		return s.cancel(now, routing, c.Cancel)
	case c.Batch != nil:
		s.applyBatch(now, c.Batch)
		return Accepted, ""
	}
	return Invalid, "the workflow command is empty"
}

func (s *State) submit(now model.Millis, routing *model.Routing, c *Submission) (Outcome, string) {
	route, rest, ok := routing.Match(c.Host, c.Path)
	if !ok {
		return NoRoute, fmt.Sprintf("no route for host %q and path %q", c.Host, c.Path)
	}
	id := JobID(rest)
	if known, ok := s.Jobs[id]; ok {
		if known.Phase == PhaseUnsubmitted {
			s.cancelSubmitted(known, route.Name)
		}
		return Repeated, ""
	}
	if err := validateID(id); err != nil {
		return Invalid, err.Error()
	}
	if err := c.Validate(); err != nil {
		return Invalid, err.Error()
	}
	s.Sequence++
	job := newJob(id, route, c, now)
	job.Sequence = s.Sequence
	s.Jobs[job.ID] = job
	s.addLive(job)
	return Accepted, ""
}

func newJob(id JobID, route model.Route, c *Submission, now model.Millis) *Job {
	return &Job{
		ID: id, Route: route.Name, Service: route.Service, Priority: route.Priority,
		MaxFailures: route.MaxAttempts, Slack: route.SlackFactor, TargetMs: route.TargetCompletionMs,
		Payload: c.Payload, Steps: c.Steps,
		Repeats: c.Repeats, FirstMs: c.FirstMs, Interval: c.IntervalMs,
		Phase: PhaseLive, AcceptedAt: now,
	}
}

// NewJob returns the job that a submission would become, last in the order of acceptance, without accepting it.
func NewJob(routing *model.Routing, c *Submission, now model.Millis) (*Job, error) {
	route, rest, ok := routing.Match(c.Host, c.Path)
	if !ok {
		return nil, fmt.Errorf("no route for host %q and path %q", c.Host, c.Path)
	}
	if err := c.Validate(); err != nil {
		return nil, err
	}
	job := newJob(JobID(rest), route, c, now)
	job.Sequence = math.MaxUint64
	return job, nil
}

func (s *State) cancel(now model.Millis, routing *model.Routing, c *Cancel) (Outcome, string) {
	_, rest, ok := routing.Match(c.Host, c.Path)
	if !ok {
		return NoRoute, fmt.Sprintf("no route for host %q and path %q", c.Host, c.Path)
	}
	id := JobID(rest)
	job, ok := s.Jobs[id]
	if !ok {
		if err := validateID(id); err != nil {
			return Unknown, err.Error()
		}
		s.addUnsubmitted(id, now)
		return Unknown, "nobody submitted the job; a later submission counts as cancelled"
	}
	if job.Ended() {
		if job.Phase == PhaseUnsubmitted {
			return Unknown, "nobody submitted the job"
		}
		return Repeated, ""
	}
	s.endJob(job, PhaseCancelled, now, "")
	return Accepted, ""
}

// maxIDBytes bounds the job ids that callers choose.
const maxIDBytes = 64

func validateID(id JobID) error {
	if id == "" || len(id) > maxIDBytes || strings.ContainsAny(string(id), "/. ?") {
		return fmt.Errorf("job id %q must have 1 to %d characters without '/', '.', '?' and spaces", id, maxIDBytes)
	}
	return nil
}

// endJob ends a job. Its open attempts hold capacity on their workers, so they stay open until
// the workers report their ends or they are recorded as lost.
func (s *State) endJob(job *Job, phase Phase, now model.Millis, reason string) {
	job.Phase = phase
	job.EndedAt = now
	job.Reason = reason
	s.removeLive(job)
	s.addEnded(endedJob{now, job.ID})
	for task := range job.openTasks {
		s.bumpVersion(task.Incarnation)
	}
	s.dropDetails(job)
}

// dropDetails removes the data that an ended job no longer needs once it has no open attempt.
func (s *State) dropDetails(job *Job) {
	if job.hasOpenAttempt() {
		return
	}
	s.removeWeight(job)
	job.Payload = ""
	job.Runs = nil
	job.Steps = nil
	job.Completed = nil
	job.Suspects = nil
}

func (s *State) applyBatch(now model.Millis, b *Batch) {
	for _, worker := range b.Workers {
		s.recordWorker(now, worker)
	}
	for _, worker := range b.Proven {
		s.recordProven(now, worker)
	}
	for _, end := range b.Ends {
		s.recordEnd(now, end)
	}
	for _, job := range b.Begun {
		s.recordBegun(job)
	}
	for _, incarnation := range b.Answered {
		s.recordAnswer(incarnation)
	}
	for _, silent := range b.Silent {
		s.recordSilent(silent)
	}
	for _, silent := range b.Lapsed {
		s.recordLapsed(silent)
	}
	for _, crash := range b.Crashes {
		s.recordCrash(now, crash)
	}
	for _, loss := range b.Lost {
		s.closeAttempt(now, loss.Attempt, loss.Incarnation, End{Checkpoint: loss.Checkpoint, Kind: EndLeaseExpired})
	}
	for _, assignment := range b.Assign {
		s.assign(assignment)
	}
	s.dropExpiredWorkers(now)
}

// recordEnd records an end and closes its attempt. Workers repeat an end until it is acknowledged;
// repeated ends are ignored by their number.
func (s *State) recordEnd(now model.Millis, e End) {
	worker, ok := s.Workers[e.Incarnation.Worker]
	if ok && worker.Incarnation == e.Incarnation {
		if e.Number <= worker.LastRecordedEnd {
			return
		}
		worker.LastRecordedEnd = e.Number
	}
	if s.AwaitsBegin(e.Attempt, e.Incarnation.Worker) {
		s.recordBegun(e.Attempt.Task.Job)
	}
	s.closeAttempt(now, e.Attempt, s.assignedTo(e.Attempt, e.Incarnation), e)
}

// assignedTo returns the incarnation to which the attempt was assigned, given the incarnation that
// reported its end. The two differ if the worker restarted between the assignment and the start:
// start calls carry only the worker's id, so the new incarnation may accept the start. If the
// attempt is not open on the reporting worker, assignedTo returns reporter.
func (s *State) assignedTo(a Attempt, reporter Incarnation) Incarnation {
	job, ok := s.Jobs[a.Task.Job]
	if !ok || !job.validKey(a.Task) {
		return reporter
	}
	run := job.Runs[a.Task.Occurrence]
	if run == nil {
		return reporter
	}
	task := &run.Steps[a.Task.Step].Tasks[a.Task.Index]
	if task.Phase == TaskOpen && task.Attempt == a.Number && task.Incarnation.Worker == reporter.Worker {
		return task.Incarnation
	}
	return reporter
}

// closeAttempt closes the attempt if it is open on the incarnation. Otherwise it was closed earlier,
// for example as lost, and only its outcome is recorded.
func (s *State) closeAttempt(now model.Millis, a Attempt, incarnation Incarnation, e End) {
	task, ok := s.openTask(incarnation, a)
	if !ok {
		s.recordLateOutcome(now, a, incarnation, e.Kind)
		return
	}
	s.removeOpen(a, incarnation)
	job := s.Jobs[a.Task.Job]
	task.Phase = TaskWaiting
	task.WaitingAt = now
	if e.Checkpoint != "" {
		job.keepCheckpoint(a, e)
	}
	if job.Ended() {
		s.dropDetails(job)
		return
	}
	s.recordOutcome(now, job, a.Task, e.Kind)
}

// keepCheckpoint keeps the checkpoint of an attempt that has ended. That of one member of a gang is valid for
// all, and all must start from the same. One that a worker reports with an end takes precedence over the last one
// listed by a worker that is lost, because the others go on until the gang breaks.
func (j *Job) keepCheckpoint(a Attempt, e End) {
	tasks := j.Runs[a.Task.Occurrence].Steps[a.Task.Step].Tasks
	if !j.Steps[a.Task.Step].Gang {
		tasks[a.Task.Index].Checkpoint = e.Checkpoint
		return
	}
	lost := e.Number == 0
	for i, member := range tasks {
		if lost && i != a.Task.Index && member.Attempt == a.Number && member.Phase != TaskOpen {
			return // another member of this start has ended before
		}
	}
	for i := range tasks {
		tasks[i].Checkpoint = e.Checkpoint
	}
}

// checkpointOf returns the checkpoint from which a task starts. The members of a gang have the same, unless they
// were stored by a version that kept one each.
func (j *Job) checkpointOf(key TaskKey) string {
	tasks := j.Runs[key.Occurrence].Steps[key.Step].Tasks
	if !j.Steps[key.Step].Gang {
		return tasks[key.Index].Checkpoint
	}
	for _, member := range tasks {
		if member.Checkpoint != "" {
			return member.Checkpoint
		}
	}
	return ""
}

// recordLateOutcome records that an attempt has done its task although the attempt was already
// closed. A task that ran to its end must not run again: a later attempt that is open is closed,
// and its worker stops it as one that should not run.
func (s *State) recordLateOutcome(now model.Millis, a Attempt, incarnation Incarnation, kind EndKind) {
	job, ok := s.liveJobs[a.Task.Job]
	if !ok || kind != EndDone || !job.validKey(a.Task) || job.Steps[a.Task.Step].LongRunning {
		return
	}
	run := job.Runs[a.Task.Occurrence]
	if run == nil {
		return // the occurrence is complete
	}
	task := &run.Steps[a.Task.Step].Tasks[a.Task.Index]
	if task.Phase == TaskDone || a.Number > task.Attempt {
		return
	}
	if a.Number == task.Attempt && incarnation.Worker != task.Incarnation.Worker {
		return // not the worker that the attempt was assigned to
	}
	if task.Phase == TaskOpen {
		s.removeOpen(Attempt{a.Task, task.Attempt}, task.Incarnation)
	}
	s.completeTask(now, job, a.Task)
}

// recordOutcome records how an attempt of a live job ended.
func (s *State) recordOutcome(now model.Millis, job *Job, key TaskKey, kind EndKind) {
	longRunning := job.Steps[key.Step].LongRunning
	task := &job.Runs[key.Occurrence].Steps[key.Step].Tasks[key.Index]
	if kind == EndDone || kind == EndFailed {
		job.clearSuspicion(key) // the worker has survived the attempt
		s.forgetLapsed(key)
	}
	switch kind {
	case EndDone:
		if !longRunning {
			s.completeTask(now, job, key)
		}
	case EndFailed:
		task.Failures++
		if !longRunning && job.MaxFailures > 0 && task.Failures >= job.MaxFailures {
			s.endJob(job, PhaseFailed, now, fmt.Sprintf("task %s failed %d times", key, task.Failures))
		}
	}
}

func (s *State) completeTask(now model.Millis, job *Job, key TaskKey) {
	run := job.Runs[key.Occurrence]
	step := &run.Steps[key.Step]
	step.Tasks[key.Index].Phase = TaskDone
	step.Tasks[key.Index].Checkpoint = ""
	step.Done++
	if job.Steps[key.Step].Gang {
		s.completeGang(step, key)
	}
	for i := range run.Steps {
		if run.Steps[i].Done < job.Steps[i].Count {
			return
		}
	}
	before := len(job.Runs)
	delete(job.Runs, key.Occurrence)
	s.followRuns(job, before)
	job.RunsDone++
	if job.RunsDone == job.occurrences() {
		s.endJob(job, PhaseCompleted, now, "")
		return
	}
	job.Completed.add(key.Occurrence)
}

// completeGang marks all members of a gang as done and closes their open attempts, once one
// member is done.
func (s *State) completeGang(step *StepRun, key TaskKey) {
	for i := range step.Tasks {
		task := &step.Tasks[i]
		if task.Phase == TaskOpen {
			member := key
			member.Index = i
			s.removeOpen(Attempt{member, task.Attempt}, task.Incarnation)
		}
		task.Phase = TaskDone
	}
	step.Done = len(step.Tasks)
}

// assign opens an attempt if the task may start now. It ignores assignments that were planned
// from outdated state.
func (s *State) assign(a Assignment) {
	key := a.Attempt.Task
	job, ok := s.liveJobs[key.Job]
	if !ok || !job.validKey(key) {
		return
	}
	worker, ok := s.Workers[a.Incarnation.Worker]
	if !ok || worker.Incarnation != a.Incarnation || worker.Draining || worker.Deregistered || s.evacuated[worker.Zone] {
		return
	}
	run := s.ensureRun(job, key.Occurrence)
	if !job.stepReady(run, key.Step) {
		return
	}
	task := &run.Steps[key.Step].Tasks[key.Index]
	if task.Phase != TaskWaiting || a.Attempt.Number <= task.Attempt {
		return
	}
	task.Phase = TaskOpen
	task.Attempt = a.Attempt.Number
	task.Incarnation = a.Incarnation
	job.Started = true
	s.addOpen(a.Attempt, task)
}

func (j *Job) validKey(key TaskKey) bool {
	if key.Occurrence < 0 || key.Occurrence >= j.occurrences() || j.Completed.has(key.Occurrence) {
		return false
	}
	return key.Step >= 0 && key.Step < len(j.Steps) && key.Index >= 0 && key.Index < j.Steps[key.Step].Count
}

// ensureRun returns the run of an occurrence and creates it with the first assignment.
func (s *State) ensureRun(job *Job, occurrence int) *Run {
	if run, ok := job.Runs[occurrence]; ok {
		return run
	}
	run := job.newRun()
	if job.Runs == nil {
		job.Runs = map[int]*Run{}
	}
	before := len(job.Runs)
	job.Runs[occurrence] = run
	s.followRuns(job, before)
	return run
}

func (j *Job) newRun() *Run {
	run := &Run{Steps: make([]StepRun, len(j.Steps))}
	for i, step := range j.Steps {
		run.Steps[i].Tasks = make([]Task, step.Count)
	}
	return run
}

// stepReady reports whether all steps that the step depends on are done.
func (j *Job) stepReady(run *Run, step int) bool {
	for _, earlier := range j.Steps[step].After {
		if run.Steps[earlier].Done < j.Steps[earlier].Count {
			return false
		}
	}
	return true
}
