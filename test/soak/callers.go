package soak

import (
	"fmt"
	"net/http"
	"time"

	"samphirepaddle.example/platform/standin"
)

// What the checker learns from callers and operators.

// HandIn notes that a job is about to be submitted.
func (c *Checker) HandIn(id string, job standin.Job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id] = &jobRecord{job: job}
	c.counts["jobs"]++
}

// Accepted notes the answer to a submission.
func (c *Checker) Accepted(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if job := c.jobs[id]; job.acceptedAt.IsZero() {
		job.acceptedAt = time.Now()
		c.counts["accepted"]++
	}
}

// GivenUp notes that a job is not submitted again, and whether every try was refused as one
// that never runs.
func (c *Checker) GivenUp(id string, allRefused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !allRefused {
		c.counts["unknown"]++
		return
	}
	c.counts["refused"]++
	job := c.jobs[id]
	job.refused = true
	if job.starts > 0 {
		c.broken("refused", "job %s was started, every try of its submission was refused", id)
	}
}

// Cancelling notes that a cancellation is about to be sent; Cancelled that it was answered.
func (c *Checker) Cancelling(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].cancelSent = true
}

// Cancelled notes the answer to a cancellation.
func (c *Checker) Cancelled(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if job := c.jobs[id]; job.cancelled.IsZero() {
		job.cancelled = time.Now()
		c.counts["cancelled"]++
	}
}

// Shown takes the answer to a question about a job that was sent at a time.
func (c *Checker) Shown(id string, sentAt time.Time, r standin.Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job := c.jobs[id]
	known := !job.acceptedAt.IsZero() && sentAt.Sub(job.acceptedAt) > visibleBound
	switch {
	case r.Status == http.StatusGone && known && !job.cancelSent:
		c.broken("lost", "job %s was accepted and is not known %v later", id, sentAt.Sub(job.acceptedAt))
	case r.Status == http.StatusNotFound:
		c.broken("config", "the queue of job %s is not known", id)
	case !r.OK():
		return
	}
	state := r.State()
	c.checkState(id, job, state)
	if !job.acceptedAt.IsZero() {
		job.shown = state
	}
}

func (c *Checker) checkState(id string, job *jobRecord, state string) {
	switch state {
	case "completed":
		for step, spec := range job.job.Steps {
			for index := range spec.Count {
				if task := fmt.Sprintf("%s.0.%d.%d", id, step, index); !c.isDone(task) {
					c.broken("mixed", "job %s is shown as completed, task %s is not done", id, task)
					return
				}
			}
		}
	case "cancelled":
		if !job.cancelSent {
			c.broken("lost", "job %s is shown as cancelled, nobody asked for it", id)
		}
	case "failed":
		if !c.hasFailures(id, job) {
			c.broken("lost", "job %s is shown as failed, no task failed %d times", id, maxAttempts)
		}
	}
}

func (c *Checker) hasFailures(id string, job *jobRecord) bool {
	for step, spec := range job.job.Steps {
		for index := range spec.Count {
			t := c.tasks[fmt.Sprintf("%s.0.%d.%d", id, step, index)]
			if t == nil {
				continue
			}
			failures := 0
			for _, end := range t.ended {
				if end.how == "failed" {
					failures++
				}
			}
			if failures >= maxAttempts {
				return true
			}
		}
	}
	return false
}

// Configured notes that a version was acknowledged.
func (c *Checker) Configured(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.versions = append(c.versions, versionRecord{version, time.Now()})
	c.counts["configurations"]++
}

// ReadConfiguration takes the answer to a read that was sent at a time.
func (c *Checker) ReadConfiguration(node string, sentAt time.Time, r standin.Reply) {
	if !r.OK() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["configuration reads"]++
	for _, v := range c.versions {
		if sentAt.Sub(v.ackedAt) > configBound && r.Version() < v.version {
			c.broken("config", "%s reads version %d, version %d was acknowledged %v before", node, r.Version(), v.version, sentAt.Sub(v.ackedAt))
			return
		}
	}
}
