package standin

import (
	"encoding/json"
	"fmt"
	"time"

	"samphirepaddle.example/core/model"
)

// Outcomes of a task in the journal.
const (
	outcomeFinished  = "finished"
	outcomeFailed    = "failed"
	outcomeStopped   = "stopped"
	outcomeLeaseOver = "lease_over"
)

// TaskStart is the body of POST /samphire/v1/tasks.
type TaskStart struct {
	Attempt    model.AttemptID `json:"attempt"`
	Tenant     model.TenantID  `json:"tenant"`
	Class      model.Class     `json:"class"`
	Kind       string          `json:"kind"`
	Reserved   model.Resources `json:"reserved"`
	RunTimeMs  model.Millis    `json:"run_time_ms"`
	Payload    []byte          `json:"payload,omitempty"`
	Checkpoint []byte          `json:"checkpoint,omitempty"`
}

// Plan is the payload that the stand-in understands. Another payload counts as an empty plan,
// and an empty plan takes the declared run time.
type Plan struct {
	DurationMs model.Millis    `json:"duration_ms"`
	Fail       bool            `json:"fail"`  // fails at its end
	Lines      int             `json:"lines"` // lines of output over the whole duration
	Use        model.Resources `json:"use"`   // reported as used; zero reports the reservation
}

// Checkpoint is the content of a checkpoint of the stand-in.
type Checkpoint struct {
	Progress float64 `json:"progress"` // 0 to 1
	Output   int     `json:"output"`   // bytes of output that the job has produced
}

// checkpointAnswer is the body of the answer to a checkpoint call.
type checkpointAnswer struct {
	Checkpoint []byte `json:"checkpoint"`
}

// taskState is the body of the answers to start and stop.
type taskState struct {
	State string `json:"state"` // running, or the outcome
}

// task is one attempt. Target.mu guards all of its fields.
type task struct {
	work     work
	plan     Plan
	progress float64 // at time since
	reported float64 // progress that usage reports have covered
	since    time.Time
	level    float64       // share of full speed; 0 is paused
	changed  chan struct{} // closed and replaced at each change that waiters must see
	stopping string        // outcome that a stop was requested with
	outcome  string        // empty while it runs
	skipped  int           // bytes of output that earlier attempts produced up to the checkpoint
	output   []byte
	lines    int // lines that progress has produced, including those before a checkpoint
	done     chan struct{}
}

// stopAnswer is the body of the answer to a stop.
type stopAnswer struct {
	State string              `json:"state"`
	Ended *model.EndedAttempt `json:"ended,omitempty"`
}

// stoppedTask stands for an attempt that was stopped before its start arrived.
func stoppedTask(id model.AttemptID) *task {
	k := &task{work: work{attempt: &id}, outcome: outcomeStopped, changed: make(chan struct{}), done: make(chan struct{})}
	close(k.done)
	return k
}

func newTask(w work, start TaskStart) (*task, error) {
	t := &task{work: w, since: time.Now(), level: 1, changed: make(chan struct{}), done: make(chan struct{})}
	if json.Unmarshal(start.Payload, &t.plan) != nil {
		t.plan = Plan{}
	}
	if t.plan.DurationMs == 0 {
		t.plan.DurationMs = start.RunTimeMs
	}
	if t.plan.Use == (model.Resources{}) {
		t.plan.Use = start.Reserved
	}
	if len(start.Checkpoint) > 0 {
		var saved Checkpoint
		if err := json.Unmarshal(start.Checkpoint, &saved); err != nil {
			return nil, fmt.Errorf("checkpoint of attempt %s: %w", start.Attempt, err)
		}
		t.progress = saved.Progress
		t.skipped = saved.Output
	}
	t.reported = t.progress
	t.lines = int(t.progress * float64(t.plan.Lines))
	return t, nil
}

func (t *task) duration() time.Duration {
	return time.Duration(t.plan.DurationMs) * time.Millisecond
}

// advance brings progress and output up to now.
func (t *task) advance(now time.Time) {
	elapsed := now.Sub(t.since)
	t.since = now
	if t.plan.DurationMs <= 0 {
		t.progress = 1
	} else {
		t.progress = min(1, t.progress+t.level*float64(elapsed)/float64(t.duration()))
	}
	due := int(t.progress * float64(t.plan.Lines))
	for t.lines < due {
		t.lines++
		t.output = fmt.Appendf(t.output, "%s line %d\n", t.work.attempt.Job, t.lines)
	}
}

// untilNext returns the time until the next line or the end; ok is false while it is paused.
func (t *task) untilNext() (wait time.Duration, ok bool) {
	if t.level <= 0 {
		return 0, false
	}
	next := 1.0
	if t.lines < t.plan.Lines {
		next = float64(t.lines+1) / float64(t.plan.Lines)
	}
	wait = time.Duration((next - t.progress) / t.level * float64(t.duration()))
	return wait + time.Microsecond, true
}

// takeProgress returns the progress since the last call.
func (t *task) takeProgress() float64 {
	t.advance(time.Now())
	made := t.progress - t.reported
	t.reported = t.progress
	return made
}

func (t *task) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *task) requestStop(outcome string) {
	if t.outcome != "" || t.stopping != "" {
		return
	}
	t.stopping = outcome
	t.notify()
}

func (t *task) throttle(level float64) {
	t.advance(time.Now())
	t.level = level
	t.notify()
}

// runTask drives a task to its end.
func (t *Target) runTask(k *task) {
	for {
		t.mu.Lock()
		k.advance(time.Now())
		ended := t.endIfDue(k)
		wait, timed := k.untilNext()
		changed := k.changed
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
			k.advance(time.Now())
			k.notify() // readers of the output
			t.mu.Unlock()
		}
	}
}

// endIfDue ends the task if it was stopped or is complete. The lease is checked before a
// completion takes effect: a process that was frozen longer than its lease wakes with the
// end of the lease and the end of the task both due, and may see the latter first. The caller
// holds mu.
func (t *Target) endIfDue(k *task) bool {
	switch {
	case k.stopping != "":
		k.outcome = k.stopping
	case k.progress >= 1 && !t.leased():
		k.outcome = outcomeLeaseOver
	case k.progress < 1:
		return false
	case k.plan.Fail || t.faults.FailTasks:
		k.outcome = outcomeFailed
	default:
		k.outcome = outcomeFinished
	}
	t.ledger.end(k.work, k.outcome)
	t.countEnd(k)
	close(k.done)
	k.notify()
	t.announceSoon()
	return true
}

// countEnd records the end for the statistics and, if it is the task's own end, for the
// announcements. The caller holds mu.
func (t *Target) countEnd(k *task) {
	id := *k.work.attempt
	stats := &t.ledger.stats
	switch k.outcome {
	case outcomeFinished:
		stats.TasksFinished++
		t.ended[id] = model.EndedAttempt{Attempt: id, Result: []byte("result of " + id.String())}
	case outcomeFailed:
		stats.TasksFailed++
		t.ended[id] = model.EndedAttempt{Attempt: id, Failed: true, Message: "the task failed"}
	case outcomeStopped:
		stats.TasksStopped++
	case outcomeLeaseOver:
		stats.TasksLeaseOver++
	}
}
