package soak

import (
	"fmt"
	"net/http"
	"time"

	"samphirepaddle.example/platform/standin"
)

// This file checks what callers and operators observe.

// Submitting records that a job is about to be submitted.
func (c *Checker) Submitting(id string, job standin.Job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id] = &jobRecord{job: job}
	c.counts["jobs"]++
}

// Accepted records that a submission was accepted.
func (c *Checker) Accepted(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if job := c.jobs[id]; job.acceptedAt.IsZero() {
		job.acceptedAt = time.Now()
		c.counts["accepted"]++
	}
}

// SubmissionAbandoned records that the caller stops submitting a job that was not accepted.
// allRefused tells whether every try got a response that guarantees that the job never runs.
func (c *Checker) SubmissionAbandoned(id string, allRefused bool) {
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
		c.recordViolation("refused", "job %s was started although every try of its submission was refused", id)
	}
}

// Cancelling records that a cancellation is about to be sent.
func (c *Checker) Cancelling(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].cancelSent = true
}

// Cancelled records that a cancellation was acknowledged.
func (c *Checker) Cancelled(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if job := c.jobs[id]; job.cancelledAt.IsZero() {
		job.cancelledAt = time.Now()
		c.counts["cancelled"]++
	}
}

// StatusRead checks the response to a status request for a job. sentAt is when it was sent.
func (c *Checker) StatusRead(id string, sentAt time.Time, r standin.Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job := c.jobs[id]
	mustBeKnown := !job.acceptedAt.IsZero() && sentAt.Sub(job.acceptedAt) > visibleBound
	switch {
	case r.Status == http.StatusGone && mustBeKnown && !job.cancelSent:
		c.recordViolation("lost", "job %s was accepted but is unknown %v later", id, sentAt.Sub(job.acceptedAt))
	case r.Status == http.StatusNotFound:
		c.recordViolation("config", "the queue of job %s is unknown", id)
	case !r.OK():
		return
	}
	state := r.State()
	c.checkState(id, job, state)
	if !job.acceptedAt.IsZero() {
		job.lastState = state
	}
}

func (c *Checker) checkState(id string, job *jobRecord, state string) {
	switch state {
	case "completed":
		for step, spec := range job.job.Steps {
			for index := range spec.Count {
				if task := fmt.Sprintf("%s.0.%d.%d", id, step, index); !c.isDone(task) {
					c.recordViolation("mixed", "job %s is reported as completed, but task %s is not done", id, task)
					return
				}
			}
		}
	case "cancelled":
		if !job.cancelSent {
			c.recordViolation("lost", "job %s is reported as cancelled, but nobody cancelled it", id)
		}
	case "failed":
		if !c.hasFailures(id, job) {
			c.recordViolation("lost", "job %s is reported as failed, but no task failed %d times", id, maxAttempts)
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
			for _, end := range t.ends {
				if end.outcome == "failed" {
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

// ConfigurationAcked records that a configuration version was acknowledged.
func (c *Checker) ConfigurationAcked(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.versions = append(c.versions, versionRecord{version, time.Now()})
	c.counts["configurations"]++
}

// ConfigurationRead checks the response of a node to a read. sentAt is when the read was sent.
func (c *Checker) ConfigurationRead(node string, sentAt time.Time, r standin.Reply) {
	if !r.OK() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["configuration reads"]++
	for _, v := range c.versions {
		if sentAt.Sub(v.ackedAt) > configBound && r.Version() < v.version {
			c.recordViolation("config", "%s returned version %d, but version %d was acknowledged %v before the read", node, r.Version(), v.version, sentAt.Sub(v.ackedAt))
			return
		}
	}
}
