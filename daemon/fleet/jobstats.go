package fleet

import (
	"fmt"
	"time"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/workflow"
)

// jobChanges are the jobs that a batch may start or complete.
type jobChanges struct {
	queued map[workflow.JobID]bool // had no task started before the batch
	live   map[workflow.JobID]bool // had not ended before the batch
}

// jobChangesOf returns the jobs whose phase the batch may change.
func jobChangesOf(workflows *workflow.State, b *workflow.Batch) jobChanges {
	c := jobChanges{queued: map[workflow.JobID]bool{}, live: map[workflow.JobID]bool{}}
	for _, a := range b.Assign {
		if job := workflows.Jobs[a.Attempt.Task.Job]; job != nil && !job.Started {
			c.queued[job.ID] = true
		}
	}
	for _, e := range b.Ends {
		if workflows.IsLive(e.Attempt.Task.Job) {
			c.live[e.Attempt.Task.Job] = true
		}
	}
	return c
}

// observeJobs observes by route how long the jobs of a committed batch waited for their first start,
// and how long those that it completed took. Both count from the acceptance of the job, so jobs with a
// schedule are left out.
func (l *leadership) observeJobs(c jobChanges) {
	if len(c.queued) == 0 && len(c.live) == 0 {
		return
	}
	now := model.Millis(time.Now().UnixMilli())
	l.engine.opts.Log.View(func(st *state.State) {
		for id := range c.queued {
			if job := st.Workflows.Jobs[id]; job != nil && job.Started && job.Repeats == 0 {
				l.observeJob("first_start_ms", job.Route, now-job.AcceptedAt)
			}
		}
		for id := range c.live {
			if job := st.Workflows.Jobs[id]; job != nil && job.Phase == workflow.PhaseCompleted && job.Repeats == 0 {
				l.observeJob("job_ms", job.Route, job.EndedAt-job.AcceptedAt)
			}
		}
	})
}

func (l *leadership) observeJob(series, route string, took model.Millis) {
	m := l.engine.opts.Metrics
	m.observe(fmt.Sprintf("%s{%s}", series, m.routeLabel(route)), time.Duration(took)*time.Millisecond)
}
