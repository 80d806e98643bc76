package standin

import (
	"encoding/json"
	"fmt"
	"time"

	"samphirepaddle.example/core/model"
)

// Outcomes of tasks in the journal and in responses.
const (
	outcomeFinished     = "finished"
	outcomeFailed       = "failed"
	outcomeStopped      = "stopped"
	outcomeLeaseExpired = "lease_over"
)

// StartRequest is the body of POST /samphire/v1/tasks.
type StartRequest struct {
	Attempt    model.AttemptID `json:"attempt"`
	Tenant     model.TenantID  `json:"tenant"`
	Class      model.Class     `json:"class"`
	Kind       string          `json:"kind"`
	Reserved   model.Resources `json:"reserved"`
	RunTimeMs  model.Millis    `json:"run_time_ms"`
	Payload    []byte          `json:"payload,omitempty"`
	Checkpoint []byte          `json:"checkpoint,omitempty"`
}

// Plan is the payload of a simulated task. A payload that cannot be decoded counts as an empty
// plan. Without a duration, the task takes the run time declared in the start request.
type Plan struct {
	DurationMs  model.Millis    `json:"duration_ms"`
	Fail        bool            `json:"fail"`  // the task fails at its end
	Lines       int             `json:"lines"` // lines of output, spread evenly over the duration
	ReportedUse model.Resources `json:"use"`   // reported in usage reports; zero value: the reservation
}

// Checkpoint is the content of a checkpoint of a simulated task.
type Checkpoint struct {
	Progress    float64 `json:"progress"` // 0 to 1
	OutputBytes int     `json:"output"`   // bytes of output that the job has produced so far
}

// checkpointResponse is the body of the response to a checkpoint request.
type checkpointResponse struct {
	Checkpoint []byte `json:"checkpoint"`
}

// startResponse is the body of the response to a start request.
type startResponse struct {
	State string `json:"state"` // running, or the outcome
}

// task is one attempt of a job. Target.mu guards all of its fields.
type task struct {
	work             workItem
	plan             Plan
	progress         float64 // 0 to 1, as of progressAt
	reportedProgress float64 // progress already included in usage reports
	progressAt       time.Time
	level            float64       // throttle level as a fraction of full speed; 0 is paused
	changed          chan struct{} // closed and replaced to wake the goroutines that wait for a change
	stopOutcome      string        // outcome to end with, set when a stop is requested
	outcome          string        // empty while the task runs
	outputStart      int           // bytes of the job's output before the checkpoint, from earlier attempts
	output           []byte
	linesWritten     int // includes the lines before the checkpoint
	done             chan struct{}
}

// stopResponse is the body of the response to a stop request.
type stopResponse struct {
	State string              `json:"state"`
	Ended *model.EndedAttempt `json:"ended,omitempty"`
}

// newStoppedTask returns a placeholder for an attempt that was stopped before its start arrived.
func newStoppedTask(id model.AttemptID) *task {
	task := &task{work: workItem{attempt: &id}, outcome: outcomeStopped, changed: make(chan struct{}), done: make(chan struct{})}
	close(task.done)
	return task
}

func newTask(w workItem, start StartRequest) (*task, error) {
	t := &task{work: w, progressAt: time.Now(), level: 1, changed: make(chan struct{}), done: make(chan struct{})}
	if json.Unmarshal(start.Payload, &t.plan) != nil {
		t.plan = Plan{}
	}
	if t.plan.DurationMs == 0 {
		t.plan.DurationMs = start.RunTimeMs
	}
	if t.plan.ReportedUse == (model.Resources{}) {
		t.plan.ReportedUse = start.Reserved
	}
	if len(start.Checkpoint) > 0 {
		var saved Checkpoint
		if err := json.Unmarshal(start.Checkpoint, &saved); err != nil {
			return nil, fmt.Errorf("checkpoint of attempt %s: %w", start.Attempt, err)
		}
		t.progress = saved.Progress
		t.outputStart = saved.OutputBytes
	}
	t.reportedProgress = t.progress
	t.linesWritten = int(t.progress * float64(t.plan.Lines))
	return t, nil
}

func (t *task) duration() time.Duration {
	return time.Duration(t.plan.DurationMs) * time.Millisecond
}

// advance updates progress and output to the given time.
func (t *task) advance(now time.Time) {
	elapsed := now.Sub(t.progressAt)
	t.progressAt = now
	if t.plan.DurationMs <= 0 {
		t.progress = 1
	} else {
		t.progress = min(1, t.progress+t.level*float64(elapsed)/float64(t.duration()))
	}
	due := int(t.progress * float64(t.plan.Lines))
	for t.linesWritten < due {
		t.linesWritten++
		t.output = fmt.Appendf(t.output, "%s line %d\n", t.work.attempt.Job, t.linesWritten)
	}
}

// timeToNextEvent returns the time until the next line of output or the end of the task; ok is
// false while the task is paused.
func (t *task) timeToNextEvent() (wait time.Duration, ok bool) {
	if t.level <= 0 {
		return 0, false
	}
	next := 1.0
	if t.linesWritten < t.plan.Lines {
		next = float64(t.linesWritten+1) / float64(t.plan.Lines)
	}
	wait = time.Duration((next - t.progress) / t.level * float64(t.duration()))
	return wait + time.Microsecond, true
}

// takeUnreportedProgress returns the progress since the last call and marks it as reported.
func (t *task) takeUnreportedProgress() float64 {
	t.advance(time.Now())
	delta := t.progress - t.reportedProgress
	t.reportedProgress = t.progress
	return delta
}

// notify wakes the goroutines that wait on changed.
func (t *task) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// requestStop requests an end with the given outcome. Only the first request has an effect.
func (t *task) requestStop(outcome string) {
	if t.outcome != "" || t.stopOutcome != "" {
		return
	}
	t.stopOutcome = outcome
	t.notify()
}

func (t *task) throttle(level float64) {
	t.advance(time.Now())
	t.level = level
	t.notify()
}

// runTask updates progress and output of a task until it ends.
func (t *Target) runTask(task *task) {
	for {
		t.mu.Lock()
		task.advance(time.Now())
		ended := t.endIfDue(task)
		wait, timed := task.timeToNextEvent()
		changed := task.changed
		t.mu.Unlock()
		if ended {
			return
		}
		var timer <-chan time.Time
		if timed {
			timer = time.After(wait)
		}
		select {
		case <-changed:
		case <-timer:
			t.mu.Lock()
			task.advance(time.Now())
			task.notify() // wakes handleOutput
			t.mu.Unlock()
		}
	}
}

// endIfDue ends the task if a stop was requested or the task is complete, and reports whether it
// did. A completion only counts while the lease is valid: if the process was suspended for longer
// than its lease, the lease and the task are both due on wake-up, and the task may be checked
// before the lease timer fires. The caller holds mu.
func (t *Target) endIfDue(task *task) bool {
	switch {
	case task.stopOutcome != "":
		task.outcome = task.stopOutcome
	case task.progress >= 1 && !t.leaseValid():
		task.outcome = outcomeLeaseExpired
	case task.progress < 1:
		return false
	case task.plan.Fail || t.faults.FailTasks:
		task.outcome = outcomeFailed
	default:
		task.outcome = outcomeFinished
	}
	t.tracker.end(task.work, task.outcome)
	t.recordEnd(task)
	close(task.done)
	task.notify()
	t.triggerAnnouncement()
	return true
}

// recordEnd counts the end in the statistics and, if the task finished or failed by itself, adds
// it to the ends to announce. The caller holds mu.
func (t *Target) recordEnd(task *task) {
	id := *task.work.attempt
	stats := &t.tracker.stats
	switch task.outcome {
	case outcomeFinished:
		stats.TasksFinished++
		t.unacknowledgedEnds[id] = model.EndedAttempt{Attempt: id, Result: []byte("result of " + id.String())}
	case outcomeFailed:
		stats.TasksFailed++
		t.unacknowledgedEnds[id] = model.EndedAttempt{Attempt: id, Failed: true, Message: "the task failed"}
	case outcomeStopped:
		stats.TasksStopped++
	case outcomeLeaseExpired:
		stats.TasksLeaseExpired++
	}
}
