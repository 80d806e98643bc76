// Package dispatch decides which waiting task starts on which worker, which running task is
// slowed down for the sake of a serving one, and which submissions are refused. It is pure:
// it sees a picture of the workers and of the live jobs and returns orders.
package dispatch

import (
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
)

// Resident is an attempt that holds resources on a worker.
type Resident struct {
	workflow.OpenAttempt
	Listed   bool         // the worker has listed it as running
	Percent  int          // of its work that is done, as the worker reports it
	TailMs   model.Millis // of a serving task, over the last half second
	CPUUsed  int64        // of any other task, in thousandths of a core
	Pace     int          // share at which it is let work, 0 to 100
	Stopping bool
}

// Worker is one worker and what runs on it.
type Worker struct {
	workflow.Worker
	Usable    bool // new tasks may start there
	Residents []Resident
	Latency   LatencyState
}

// PendingRun is one live job's run with tasks that may start.
type PendingRun struct {
	Job        *workflow.Job
	Occurrence int
	Run        *workflow.Run // nil if it has not begun
}

// Snapshot is what one scheduling pass decides on. It must not be kept.
type Snapshot struct {
	Now         model.Millis
	Workers     []*Worker
	PendingRuns []PendingRun // in order of acceptance
}
