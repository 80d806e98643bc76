package dispatch

import "samphirepaddle.example/core/workflow"

// WaitReason tells why a task could not be placed: the obstacle on the worker that passed the
// most checks.
type WaitReason uint8

// The reasons, in the order in which a worker is checked.
const (
	WaitNoWorker         WaitReason = iota // no usable worker belongs to the service
	WaitNoLabel                            // no worker has the required label
	WaitNoCapacity                         // no worker has the reservation free
	WaitMaxPerWorker                       // each worker with free capacity runs the maximum number of tasks of the step
	WaitIsolation                          // each worker with free capacity runs a suspect that has not survived yet
	WaitInterference                       // the task would interfere with serving tasks
	WaitNoSpareCPU                         // no spare CPU is expected on any worker
	WaitShortTaskReserve                   // the remaining cores are reserved for short tasks
	WaitNearPlace                          // a place near its data or its group is expected soon enough
	WaitBackoff                            // several workers may have crashed under the task; the next start waits for proof
	WaitRunMemory                          // the occurrences that have started take the memory for those of the job
)

// String returns the reason as written in log lines.
func (r WaitReason) String() string {
	return [...]string{
		"no worker takes tasks", "no worker has the required label", "no worker has the capacity free", "max_per_worker is reached on each worker with free capacity",
		"each worker with free capacity has just started a task that is suspected of crashing workers",
		"it would interfere with serving tasks", "no spare CPU", "the remaining cores are reserved for short tasks",
		"a place near its data or its group is expected soon",
		"several workers fell silent after they started the task",
		"the occurrences of the job that have started take the memory for them",
	}[r]
}

// WaitingStep is a step with a task that could not be placed in this pass.
type WaitingStep struct {
	Job        workflow.JobID
	Occurrence int
	Step       int
	Service    string
	Reason     WaitReason
	Restarts   int // long-running tasks of the step that ran before and wait
}
