// Package workflow implements the replicated state of workflows. A workflow is a job made of
// steps, and a step is a number of identical tasks that run on workers. Commands change the state
// through Apply, which is deterministic; queries only read it.
//
// The package makes no placement decisions, but it ignores assignments that violate an invariant:
// a task has at most one open attempt, attempt numbers are not reused, a task starts only after
// the steps that its step depends on are done, and no task starts after its job has ended, for
// example because a task failed too often.
package workflow

import (
	"cmp"
	"fmt"

	"samphirepaddle.example/core/model"
)

// JobID identifies a workflow. Callers choose it.
type JobID string

// WorkerID identifies a worker. A worker may restart under the same id.
type WorkerID string

// Incarnation identifies one process of a worker. Processes of the same worker differ in their
// start time.
type Incarnation struct {
	Worker    WorkerID     `json:"worker" cbor:"1,keyasint,omitempty"`
	StartedAt model.Millis `json:"born" cbor:"2,keyasint,omitempty"`
}

// TaskKey identifies one task of a workflow.
type TaskKey struct {
	Job        JobID `json:"job" cbor:"1,keyasint,omitempty"`
	Occurrence int   `json:"occurrence" cbor:"2,keyasint,omitempty"` // 0 for a job without a schedule
	Step       int   `json:"step" cbor:"3,keyasint,omitempty"`
	Index      int   `json:"index" cbor:"4,keyasint,omitempty"`
}

// String formats the key for logs.
func (k TaskKey) String() string {
	return fmt.Sprintf("%s/%d/%d/%d", k.Job, k.Occurrence, k.Step, k.Index)
}

// Compare orders keys by job, occurrence, step and index.
func (k TaskKey) Compare(other TaskKey) int {
	return cmp.Or(
		cmp.Compare(k.Job, other.Job), cmp.Compare(k.Occurrence, other.Occurrence),
		cmp.Compare(k.Step, other.Step), cmp.Compare(k.Index, other.Index),
	)
}

// Attempt is one execution of a task. Numbers start at 1 and increase with each attempt of the
// task.
type Attempt struct {
	Task   TaskKey `json:"task" cbor:"1,keyasint"`
	Number uint32  `json:"number" cbor:"2,keyasint,omitempty"`
}

// StepSpec is what a caller declares about one step.
type StepSpec struct {
	Count          int          `json:"count" cbor:"1,keyasint,omitempty"`
	CPUMillis      int64        `json:"cpu_millis" cbor:"2,keyasint,omitempty"`
	MemoryMiB      int64        `json:"memory_mib" cbor:"3,keyasint,omitempty"`
	Accelerators   int64        `json:"accelerators,omitempty" cbor:"4,keyasint,omitempty"`
	EstimateMs     model.Millis `json:"estimate_ms" cbor:"5,keyasint,omitempty"` // estimated duration of one task
	After          []int        `json:"after,omitempty" cbor:"6,keyasint,omitempty"`
	Checkpoints    bool         `json:"checkpoints,omitempty" cbor:"7,keyasint,omitempty"`
	Gang           bool         `json:"gang,omitempty" cbor:"8,keyasint,omitempty"`             // all tasks must run at the same time
	SameRack       bool         `json:"same_rack,omitempty" cbor:"9,keyasint,omitempty"`        // the tasks are slower on more than one rack
	RequiredLabel  string       `json:"required_label,omitempty" cbor:"10,keyasint,omitempty"`  // label that the worker must have
	DataRack       string       `json:"data_rack,omitempty" cbor:"11,keyasint,omitempty"`       // label of the rack with the input data; slower on any other
	MaxPerWorker   int          `json:"max_per_worker,omitempty" cbor:"12,keyasint,omitempty"`  // 0 is unlimited
	Speculative    bool         `json:"speculative,omitempty" cbor:"13,keyasint,omitempty"`     // speculative copies are allowed; the scheduler makes none
	LongRunning    bool         `json:"long_running,omitempty" cbor:"14,keyasint,omitempty"`    // runs until the job is cancelled
	Image          string       `json:"image,omitempty" cbor:"15,keyasint,omitempty"`           // tasks of one image behave alike
	TailTargetMs   model.Millis `json:"tail_target_ms,omitempty" cbor:"16,keyasint,omitempty"`  // target for the tail latency of a long-running task
	UsesSpareCPU   bool         `json:"uses_spare_cpu,omitempty" cbor:"17,keyasint,omitempty"`  // runs on CPU that other tasks leave; reserves none
	MaxUnavailable int          `json:"max_unavailable,omitempty" cbor:"18,keyasint,omitempty"` // tasks that the scheduler may make unavailable at the same time
}

// Serving reports whether the tasks serve requests of users under a latency target.
func (s *StepSpec) Serving() bool { return s.LongRunning && s.TailTargetMs > 0 }

// Submission is a workflow as submitted by a caller.
type Submission struct {
	Host       string       `json:"host" cbor:"2,keyasint,omitempty"`
	Path       string       `json:"path" cbor:"3,keyasint,omitempty"`    // path prefix of a route followed by the job id
	Payload    string       `json:"payload" cbor:"4,keyasint,omitempty"` // passed to the workers unchanged
	Steps      []StepSpec   `json:"steps" cbor:"5,keyasint,omitempty"`
	Repeats    int          `json:"repeats,omitempty" cbor:"6,keyasint,omitempty"`
	FirstMs    model.Millis `json:"first_ms,omitempty" cbor:"7,keyasint,omitempty"` // due time of the first occurrence
	IntervalMs model.Millis `json:"interval_ms,omitempty" cbor:"8,keyasint,omitempty"`
}

// Bounds on a submission.
const (
	maxPayloadBytes = 4000 // limit of the worker protocol
	MaxSteps        = 256
	maxTasksPerStep = 10_000
	maxRepeats      = 100_000

	// The limits of numbers keep their sums and products, over all occurrences, tasks and steps, far from an overflow.
	maxAmount   = 1_000_000_000_000                   // of a resource of one task
	maxDueMs    = model.Millis(253_402_300_799_999)   // the end of the year 9999
	maxLengthMs = model.Millis(10 * 366 * 86_400_000) // of an interval or an estimate: ten years
)

// Validate reports why the submission cannot be accepted.
func (s *Submission) Validate() error {
	if len(s.Payload) > maxPayloadBytes {
		return fmt.Errorf("the payload has %d bytes, at most %d are allowed", len(s.Payload), maxPayloadBytes)
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return fmt.Errorf("the job has %d steps, 1 to %d are allowed", len(s.Steps), MaxSteps)
	}
	if s.Repeats < 0 || s.Repeats > maxRepeats || (s.Repeats > 1 && s.IntervalMs <= 0) {
		return fmt.Errorf("repeats %d with interval %d ms is not allowed", s.Repeats, s.IntervalMs)
	}
	if s.FirstMs < -maxDueMs || s.FirstMs > maxDueMs || s.IntervalMs < 0 || s.IntervalMs > maxLengthMs {
		return fmt.Errorf("the first due time %d ms or the interval %d ms is out of range", s.FirstMs, s.IntervalMs)
	}
	for i, step := range s.Steps {
		if err := step.validate(i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
	}
	return nil
}

func (s *StepSpec) validate(number int) error {
	if s.Count < 1 || s.Count > maxTasksPerStep {
		return fmt.Errorf("it has %d tasks, 1 to %d are allowed", s.Count, maxTasksPerStep)
	}
	if s.CPUMillis < 0 || s.MemoryMiB < 0 || s.Accelerators < 0 || s.MaxPerWorker < 0 || s.MaxUnavailable < 0 {
		return fmt.Errorf("amounts must not be negative: %+v", s)
	}
	if max(s.CPUMillis, s.MemoryMiB, s.Accelerators) > maxAmount ||
		s.EstimateMs < -maxLengthMs || max(s.EstimateMs, s.TailTargetMs) > maxLengthMs {
		return fmt.Errorf("an amount or a time is out of range: %+v", s)
	}
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= number {
			return fmt.Errorf("it follows step %d, which is not an earlier step", earlier)
		}
	}
	return nil
}

// Phase is the state of a job.
type Phase uint8

// The phases of a job. The zero value is a job that was cancelled before its submission arrived.
const (
	PhaseUnsubmitted Phase = iota
	PhaseLive
	PhaseCompleted
	PhaseFailed
	PhaseCancelled
)

// TaskPhase is the state of a task.
type TaskPhase uint8

// The phases of a task.
const (
	TaskWaiting TaskPhase = iota
	TaskOpen              // an attempt is open, so it may be running
	TaskDone
)

// Task is the state of one task of a step.
type Task struct {
	_           struct{} `cbor:",toarray"`
	Phase       TaskPhase
	Attempt     uint32 // of the last attempt
	Failures    uint32
	Incarnation Incarnation // of the open attempt, or of the last one if none is open
	Checkpoint  string      // of the last ended attempt that reported one
	WaitingAt   model.Millis
}

// Run is the state of one occurrence of a job.
type Run struct {
	_     struct{} `cbor:",toarray"`
	Steps []StepRun
}

// StepRun is the state of one step of a run.
type StepRun struct {
	_     struct{} `cbor:",toarray"`
	Tasks []Task
	Done  int // number of tasks in phase TaskDone
}

// Job is a workflow that was submitted, or cancelled before its submission arrived.
type Job struct {
	ID          JobID        `cbor:"1,keyasint,omitempty"`
	Route       string       `cbor:"2,keyasint,omitempty"`
	Service     string       `cbor:"3,keyasint,omitempty"`
	Priority    int          `cbor:"4,keyasint,omitempty"`
	MaxFailures uint32       `cbor:"5,keyasint,omitempty"` // failures of one task after which the job fails; 0 is unlimited
	Slack       float64      `cbor:"6,keyasint,omitempty"` // allowed duration as a multiple of the critical path
	TargetMs    model.Millis `cbor:"7,keyasint,omitempty"` // added to the allowed duration
	Payload     string       `cbor:"8,keyasint,omitempty"`
	Steps       []StepSpec   `cbor:"9,keyasint,omitempty"`
	Repeats     int          `cbor:"10,keyasint,omitempty"`
	FirstMs     model.Millis `cbor:"11,keyasint,omitempty"`
	Interval    model.Millis `cbor:"12,keyasint,omitempty"` // between the due times of occurrences

	Phase      Phase        `cbor:"13,keyasint,omitempty"`
	Sequence   uint64       `cbor:"14,keyasint,omitempty"` // increases in order of acceptance
	AcceptedAt model.Millis `cbor:"15,keyasint,omitempty"`
	EndedAt    model.Millis `cbor:"16,keyasint,omitempty"`
	Started    bool         `cbor:"17,keyasint,omitempty"` // a task was assigned at least once
	Runs       map[int]*Run `cbor:"18,keyasint,omitempty"` // runs that have started and are not complete, by occurrence
	RunsDone   int          `cbor:"19,keyasint,omitempty"` // number of complete runs
	Reason     string       `cbor:"21,keyasint,omitempty"` // why the job failed
	Suspects   []Suspect    `cbor:"22,keyasint,omitempty"` // tasks under which workers have crashed
	Begun      bool         `cbor:"23,keyasint,omitempty"` // a worker has accepted, listed or ended a task

	Completed occurrenceSet `cbor:"24,keyasint,omitempty"` // complete occurrences of a job with a schedule
	// FormerCompleted has them in the snapshots of earlier versions. Restore moves them to Completed.
	FormerCompleted map[int]bool `cbor:"20,keyasint,omitempty"`

	weight int64 // until its details are removed; see weigh
}

// Ended reports whether the job has ended, so that none of its tasks starts any more.
func (j *Job) Ended() bool { return j.Phase != PhaseLive }

// occurrences returns the number of times that the steps run.
func (j *Job) occurrences() int { return max(1, j.Repeats) }

// Worker describes one incarnation of a worker. State holds the latest one of each worker.
type Worker struct {
	Incarnation     Incarnation  `cbor:"1,keyasint"`
	Addr            string       `cbor:"2,keyasint,omitempty"`
	Service         string       `cbor:"3,keyasint,omitempty"`
	Zone            model.Zone   `cbor:"4,keyasint,omitempty"`
	Rack            string       `cbor:"13,keyasint,omitempty"`
	Labels          []string     `cbor:"5,keyasint,omitempty"`
	CPUMillis       int64        `cbor:"6,keyasint,omitempty"`
	MemoryMiB       int64        `cbor:"7,keyasint,omitempty"`
	Accelerators    int64        `cbor:"8,keyasint,omitempty"`
	Draining        bool         `cbor:"9,keyasint,omitempty"` // the worker has announced that it leaves; never reset for an incarnation
	Deregistered    bool         `cbor:"10,keyasint,omitempty"`
	DeregisteredAt  model.Millis `cbor:"11,keyasint,omitempty"`
	LastRecordedEnd uint64       `cbor:"12,keyasint,omitempty"` // number of the last recorded end of this incarnation
	ReportSequence  uint64       `cbor:"14,keyasint,omitempty"` // sequence number of the heartbeat that the record is from; 0 if not known

	Crashed         bool             `cbor:"15,keyasint,omitempty"` // the process has ended without having announced it
	Lapsed          []CrashedAttempt `cbor:"16,keyasint,omitempty"` // attempts that were lost while the worker was silent
	PredecessorLeft bool             `cbor:"17,keyasint,omitempty"` // the process before, under the same id, had announced its end

	Silent      bool         `cbor:"18,keyasint,omitempty"` // no leader sends the process a lease, because it does not answer
	LeaseLeftMs model.Millis `cbor:"19,keyasint,omitempty"` // of a silent process: upper bound of what remained of its leases when this was proposed

	FollowedAt model.Millis `cbor:"21,keyasint,omitempty"` // when the process was recorded in place of another one; zero if it is the first

	// ColdUntil is when the worker expects to be at full speed, on its own clock; 0 if it has not said so.
	ColdUntil model.Millis `cbor:"22,keyasint,omitempty"`

	// Displaced is the record that this one replaced without a proof, until this process has answered. It is not changed.
	Displaced *Worker `cbor:"20,keyasint,omitempty"`
}

// HasLabel reports whether the worker has the label.
func (w *Worker) HasLabel(label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}
