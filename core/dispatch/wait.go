package dispatch

import "samphirepaddle.example/core/workflow"

// WaitReason is what keeps a task waiting, on the worker where it came furthest.
type WaitReason uint8

// The reasons, in the order in which a worker is examined.
const (
	WaitWorker       WaitReason = iota // no worker of the service takes tasks
	WaitLabel                          // none has the required label
	WaitRoom                           // none has the reservation free
	WaitMost                           // those with room have as many tasks of the step as they may
	WaitInterference                   // it would press on serving tasks
	WaitSpare                          // no spare capacity is left
	WaitReserve                        // the rest is kept for short tasks
)

// String returns the reason as it stands in log lines.
func (r WaitReason) String() string {
	return [...]string{
		"no worker takes tasks", "no worker has the label", "no worker has room", "as many tasks of the step as allowed run on each worker",
		"it would press on serving tasks", "no spare capacity", "the rest is kept for short tasks",
	}[r]
}

// WaitingStep is a step of which a task could not be placed.
type WaitingStep struct {
	Job        workflow.JobID
	Occurrence int
	Step       int
	Reason     WaitReason
}
