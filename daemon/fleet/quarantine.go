package fleet

import (
	"time"

	"samphirepaddle.example/core/workflow"
	"samphirepaddle.example/daemon/bootclock"
)

// Quarantine of workers on which tasks fail. Without it, a worker that fails every task attracts
// more tasks, because it is always free. Long-running tasks are still restarted there, one at a time,
// if no other worker has room, and so are tasks of starved jobs: they may wait for less time than a
// quarantine lasts.
const (
	quarantineThreshold = 3                // consecutive jobs with a failed task
	initialQuarantine   = 4 * time.Second  // faults of workers last about 5 s
	repeatQuarantine    = 10 * time.Second // if a task fails after a quarantine too

	quarantineStartInterval = time.Second // between two starts on a quarantined worker

	// recoveryTime is how long a task must have been running for its worker to count as sound. Workers that
	// fail every task mostly do so within 1 s of the start.
	recoveryTime = time.Second

	// failureWindow is the longest time between failures that count as consecutive. It is longer than
	// repeatQuarantine, so that a worker that fails again after a quarantine is still known.
	failureWindow = 30 * time.Second
)

// quarantine tracks the recent task outcomes on one worker process. No task starts there before
// until.
type quarantine struct {
	consecutive   int            // jobs with a failed task since a task last completed
	failedAt      bootclock.Time // when the last of these failures was recorded
	lastFailedJob workflow.JobID // job of the last failure; a job that can never succeed fails with many tasks and counts once
	until         bootclock.Time
	nextStart     bootclock.Time // no restart before this time while the quarantine lasts
	lastCounted   uint64         // number of the last end that was counted
}

func (q *quarantine) recordSuccess() {
	q.consecutive, q.until, q.nextStart, q.lastFailedJob = 0, 0, 0, ""
}

// recordAtWork records that a task started at the given time is at work. If it has outlived recoveryTime and was
// started after the last failure, the quarantine ends: long-running tasks never complete, so their runs
// are the only evidence where no other tasks start. One more failure quarantines the worker again,
// because tasks may also fail later than recoveryTime. It reports whether a quarantine ends.
func (q *quarantine) recordAtWork(startedAt, now bootclock.Time) bool {
	if !q.active(now) || startedAt <= q.failedAt || now.Sub(startedAt) < recoveryTime {
		return false
	}
	q.consecutive, q.until, q.nextStart = quarantineThreshold-1, 0, 0
	return true
}

// recordFailure counts a failed task and reports whether the worker is quarantined for it.
func (q *quarantine) recordFailure(job workflow.JobID, now bootclock.Time) bool {
	if now.Sub(q.failedAt) > failureWindow {
		q.recordSuccess()
	}
	if job == q.lastFailedJob {
		return false
	}
	q.lastFailedJob, q.failedAt = job, now
	q.consecutive++
	switch {
	case q.consecutive < quarantineThreshold:
		return false
	case q.consecutive == quarantineThreshold:
		q.until = now.Add(initialQuarantine)
	default:
		q.until = now.Add(repeatQuarantine)
	}
	return true
}

// recordRestart records that a task is restarted on the quarantined worker.
func (q *quarantine) recordRestart(now bootclock.Time) {
	q.nextStart = now.Add(quarantineStartInterval)
}

// allowsRestart reports whether a task may be restarted on the quarantined worker.
func (q *quarantine) allowsRestart(now bootclock.Time) bool { return now >= q.nextStart }

// onProbation reports whether a restart on the quarantined worker may soon show that it has recovered.
func (q *quarantine) onProbation(now bootclock.Time) bool {
	return q.active(now) && now < q.nextStart.Add(recoveryTime)
}

func (q *quarantine) active(now bootclock.Time) bool { return now < q.until }

// stalled records that a task makes no progress and quarantines the worker.
func (q *quarantine) stalled(now bootclock.Time) {
	q.consecutive, q.failedAt = max(q.consecutive, quarantineThreshold), now
	q.until = max(q.until, now.Add(initialQuarantine))
}
