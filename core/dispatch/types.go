// Package dispatch places waiting tasks on workers and sets the pace of best-effort tasks, so
// that serving tasks beside them keep their latency target. It does no I/O: it reads a snapshot
// of the workers and the live jobs and returns decisions.
//
// A serving task is a long-running task with a target for its tail latency. A best-effort task
// uses the spare CPU that other tasks leave and ends by itself; it may raise the tail latency of
// serving tasks on the same worker, which is called interference.
package dispatch

import (
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
)

// Allocation is an attempt that holds resources on a worker.
type Allocation struct {
	workflow.OpenAttempt
	Listed   bool         // the worker has listed it as running
	Percent  int          // progress as the worker reports it, 0 to 100; of a serving task, its startup
	TailMs   model.Millis // tail latency of a serving task over the last half second
	CPUUsed  int64        // CPU use of a task that is not a serving task, in millicores
	Pace     int          // percentage of full speed that the task is allowed, 0 to 100
	Stopping bool         // a stop was sent to the worker or is due
}

// Worker is a worker and the attempts on it.
type Worker struct {
	workflow.Worker
	Usable      bool         // new tasks may start on the worker
	LastResort  bool         // not usable, but a task that is down or starved may start on it if no usable worker has room
	Evacuated   bool         // its zone is evacuated
	ColdFor     model.Millis // time until the worker is at full speed; 0 if it is
	Silent      bool         // the worker does not answer, so that attempts there do not count as at work
	Isolated    bool         // no task may start on the worker until a suspect there has survived
	Allocations []Allocation
	Load        *Load // of the allocations; nil if it is not known yet
	Latency     LatencyState
}

// PendingRun is a due occurrence of a live job whose tasks are to be placed.
type PendingRun struct {
	Job        *workflow.Job
	Occurrence int
	Run        *workflow.Run // nil if no task of the occurrence was assigned yet
}

// Snapshot is the input of one scheduling pass: the workers and the runs to place. It points into
// replicated state, so it must not be used after the pass.
type Snapshot struct {
	Now         model.Millis
	Workers     []*Worker
	PendingRuns []PendingRun // in order of acceptance; of scheduled jobs only the runs that have started
	Backlogs    []Backlog    // the other due occurrences of scheduled jobs, in order of acceptance
	Cautions    workflow.Cautions
	Costs       PlaceCosts

	// SpareRunBytes is the memory for occurrences that start beyond the admitted ones of their jobs, as RunWeight
	// estimates it.
	SpareRunBytes int64

	// BeforeBestEffort limits the pass to the runs that come before the first one with a best-effort
	// step. Such a pass rates no interference, so it takes a fraction of the time of a full one.
	BeforeBestEffort bool
}
