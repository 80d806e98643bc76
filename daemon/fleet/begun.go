package fleet

import (
	"slices"
	"time"

	"samphirepaddle.example/core/workflow"
	"samphirepaddle.example/daemon/bootclock"
)

const (
	// beginInterval is the time between two batches that record which jobs have begun. The number of pending jobs
	// may be 2 s old, and most short jobs end within the interval, so that their ends tell as much.
	beginInterval = 500 * time.Millisecond
	maxBatchBegun = 2000 // jobs in one batch
)

// begunJobs holds what shows that jobs have begun and is not known to be recorded.
type begunJobs struct {
	evidence map[workflow.JobID]beginEvidence
	due      bootclock.Time // when the next batch records them
}

// beginEvidence is an attempt that a worker has accepted or listed.
type beginEvidence struct {
	attempt workflow.Attempt
	worker  workflow.WorkerID
}

// noteBegun notes that the worker has accepted the attempt or has listed it; l.mu must be held.
func (l *leadership) noteBegun(a workflow.Attempt, worker workflow.WorkerID, now bootclock.Time) {
	b := &l.begun
	if len(b.evidence) == 0 {
		b.evidence = map[workflow.JobID]beginEvidence{}
		b.due = max(b.due, now.Add(beginInterval))
	}
	b.evidence[a.Task.Job] = beginEvidence{a, worker}
}

// addBegun adds the jobs that have begun to the batch, at most once per beginInterval. Those that a batch has
// recorded are dropped the next time; those of a batch that was not committed are added again.
func (l *leadership) addBegun(workflows *workflow.State, now bootclock.Time, p *passPlan) {
	b := &l.begun
	if len(b.evidence) == 0 || now < b.due {
		return
	}
	b.due = now.Add(beginInterval)
	for id, e := range b.evidence {
		if !workflows.AwaitsBegin(e.attempt, e.worker) {
			delete(b.evidence, id)
			continue
		}
		p.batch.Begun = append(p.batch.Begun, id)
	}
	slices.Sort(p.batch.Begun)
	p.batch.Begun = p.batch.Begun[:min(len(p.batch.Begun), maxBatchBegun)]
}
