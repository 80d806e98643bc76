package fleet

import (
	"time"

	"samphirepaddle.example/core/workflow"
	"samphirepaddle.example/daemon/bootclock"
)

const (
	// stallTimeout is the shortest time without progress of a task after which its worker counts as
	// stalled. A short task that gets a tenth of its cores still advances by one percent in a fraction
	// of a second.
	stallTimeout = 2500 * time.Millisecond
	// stallSlowdown is how much slower than estimated a task may advance. Estimates are rough, and tasks
	// are slower away from their data and beside others.
	stallSlowdown = 4
	// maxStallDoublings bounds the growth of the time by earlier stalls of a task.
	maxStallDoublings = 8
)

// stallAllowance returns the time without progress after which a task counts as stalled. Progress is listed in
// whole percents, so a long task needs long for each of them. The estimate may be wrong: the time
// doubles with each earlier stall of the task, so that a sound task ends.
func stallAllowance(step *workflow.StepSpec, earlierStalls int) time.Duration {
	allowance := stallTimeout
	if !step.LongRunning {
		percent := time.Duration(step.EstimateMs) * time.Millisecond / 100
		allowance = max(allowance, stallSlowdown*percent)
	}
	return allowance << min(earlierStalls, maxStallDoublings)
}

// stalled reports whether the task makes no progress although its pace is 100 percent and its worker answers.
func (s *session) stalled(a workflow.OpenAttempt, o *order, now bootclock.Time, earlierStalls int) bool {
	if o.progressAt == 0 || o.pace < 100 || o.paceInFlight || (a.Step.LongRunning && o.progress == 100) {
		return false
	}
	deadline := o.progressAt.Add(stallAllowance(a.Step, earlierStalls))
	return now > deadline && s.listReceivedAt > deadline && now.Sub(s.answeredAt) < stallTimeout/2
}
