package soak

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"samphirepaddle.example/platform/standin"
)

// Bounds of the promises, as the users' platform sets them.
const (
	maxAttempts  = 3
	cancelBound  = 3000 * time.Millisecond // from the answer to the last start of a cancelled job
	visibleBound = 3000 * time.Millisecond // from the answer to a submission until reads know the job
	configBound  = 2000 * time.Millisecond // from the answer to a configuration until no older one is read
	drainBound   = 2000 * time.Millisecond // from the answer to a leaving worker's heartbeat to its last start
	calmBound    = 3000 * time.Millisecond // after the last fault, bounds of time hold again
)

// Violation is a promise that was broken.
type Violation struct {
	Promise string
	Detail  string
}

// Checker follows what callers and workers see. Its lock is taken after the pool's.
type Checker struct {
	mu         sync.Mutex
	began      time.Time
	jobs       map[string]*jobRecord
	tasks      map[string]*taskRecord
	versions   []versionRecord
	calmSince  time.Time // zero while there are faults
	violations []Violation
	counts     map[string]int
	trace      func(string) // takes a line for each event
}

type jobRecord struct {
	job        standin.Job
	acceptedAt time.Time // zero if no submission was accepted yet
	refused    bool      // every try was refused as never to run
	starts     int
	cancelSent bool
	cancelled  time.Time // when a cancellation was answered
	shown      string    // last state that a caller saw
}

type taskRecord struct {
	running map[runKey]bool
	ended   []endRecord // done and failed
	taken   int         // failed ends that were acknowledged
}

type runKey struct {
	worker  string
	born    int64
	attempt uint32
}

type endRecord struct {
	run          runKey
	how          string
	lapses       int
	acknowledged bool
	startedAfter bool
}

type versionRecord struct {
	version uint64
	ackedAt time.Time
}

// NewChecker returns a checker that has seen nothing.
func NewChecker(trace func(string)) *Checker {
	return &Checker{trace: trace, began: time.Now(), jobs: map[string]*jobRecord{}, tasks: map[string]*taskRecord{}, counts: map[string]int{}}
}

// broken records a violation; mu is held.
func (c *Checker) broken(promise, format string, args ...any) {
	detail := fmt.Sprintf("%.3f s: ", time.Since(c.began).Seconds()) + fmt.Sprintf(format, args...)
	c.violations = append(c.violations, Violation{promise, detail})
	c.trace("BROKEN " + promise + ": " + detail)
}

// Violations returns what was broken so far.
func (c *Checker) Violations() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Violation{}, c.violations...)
}

// SetCalm says whether there are faults.
func (c *Checker) SetCalm(calm bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calmSince = time.Time{}
	if calm {
		c.calmSince = time.Now()
	}
}

// calmFor reports whether there was no fault for d and the time that bounds need; mu is held.
func (c *Checker) calmFor(d time.Duration) bool {
	return !c.calmSince.IsZero() && time.Since(c.calmSince) > d+calmBound
}

// parseTask splits a task's name into job, step and index.
func parseTask(name string) (job string, step int) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return "", 0
	}
	step, err := strconv.Atoi(parts[2])
	if err != nil {
		return "", 0
	}
	return parts[0], step
}

func (c *Checker) task(name string) *taskRecord {
	t := c.tasks[name]
	if t == nil {
		t = &taskRecord{running: map[runKey]bool{}}
		c.tasks[name] = t
	}
	return t
}

// Observe takes an event of a worker.
func (c *Checker) Observe(e standin.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	run := runKey{e.Worker, e.StartedAt, e.Attempt}
	c.trace(e.String())
	switch e.Kind {
	case standin.RunStarted:
		c.counts["starts"]++
		c.started(e, run)
	case standin.RunEnded:
		c.counts["ends "+e.Outcome]++
		t := c.task(e.Task)
		delete(t.running, run)
		if e.Outcome == "done" || e.Outcome == "failed" {
			t.ended = append(t.ended, endRecord{run: run, how: e.Outcome, lapses: e.ExpiredLeases})
		}
	case standin.RunAcknowledged:
		c.acknowledged(e, run)
	case standin.WorkerCrashed:
		c.counts["crashes"]++
		c.crashed(e)
	}
}

func (c *Checker) started(e standin.Event, run runKey) {
	id, step := parseTask(e.Task)
	job := c.jobs[id]
	if job == nil || step >= len(job.job.Steps) {
		c.broken("unasked", "task %s was started on %s and nobody handed it in", e.Task, e.Worker)
		return
	}
	job.starts++
	if e.Payload != job.job.Payload {
		c.broken("unasked", "task %s was started with payload %q, handed in was %q", e.Task, e.Payload, job.job.Payload)
	}
	if e.Checkpoint != "" && !strings.HasPrefix(e.Checkpoint, e.Task+"@") {
		c.broken("unasked", "task %s was started from checkpoint %q", e.Task, e.Checkpoint)
	}
	if job.refused {
		c.broken("refused", "task %s was started, every try of its submission was refused", e.Task)
	}
	if !job.cancelled.IsZero() && time.Since(job.cancelled) > cancelBound && c.calmFor(cancelBound) {
		c.broken("cancel", "task %s was started %v after its cancellation was answered", e.Task, time.Since(job.cancelled))
	}
	if !e.DrainAckedAt.IsZero() && time.Since(e.DrainAckedAt) > drainBound && c.calmFor(drainBound) {
		c.broken("drain", "task %s was started on %s %v after it was known to leave", e.Task, e.Worker, time.Since(e.DrainAckedAt))
	}
	for _, earlier := range job.job.Steps[step].After {
		c.checkStepDone(e.Task, id, earlier, job.job.Steps[earlier].Count)
	}
	t := c.task(e.Task)
	for other := range t.running {
		c.broken("twice", "task %s was started on %s as attempt %d and runs on %s as attempt %d", e.Task, e.Worker, e.Attempt, other.worker, other.attempt)
	}
	for i := range t.ended {
		end := &t.ended[i]
		end.startedAfter = true
		if end.how == "done" && end.acknowledged {
			c.broken("twice", "task %s was started on %s as attempt %d, attempt %d was done on %s", e.Task, e.Worker, e.Attempt, end.run.attempt, end.run.worker)
		}
	}
	if t.taken >= maxAttempts && !job.job.Steps[step].LongRunning {
		c.broken("budget", "task %s was started as attempt %d after %d failures", e.Task, e.Attempt, t.taken)
	}
	t.running[run] = true
}

func (c *Checker) checkStepDone(task, id string, step, count int) {
	for index := range count {
		if !c.isDone(fmt.Sprintf("%s.0.%d.%d", id, step, index)) {
			c.broken("order", "task %s was started before task %d of step %d was done", task, index, step)
			return
		}
	}
}

func (c *Checker) isDone(task string) bool {
	t := c.tasks[task]
	if t == nil {
		return false
	}
	for _, end := range t.ended {
		if end.how == "done" {
			return true
		}
	}
	return false
}

func (c *Checker) acknowledged(e standin.Event, run runKey) {
	t := c.task(e.Task)
	for i := range t.ended {
		end := &t.ended[i]
		if end.run != run || end.acknowledged || end.lapses != e.ExpiredLeases {
			continue // an end before a lapsed lease may be forgotten
		}
		end.acknowledged = true
		switch {
		case end.how == "failed":
			t.taken++
		case end.startedAfter:
			c.broken("twice", "task %s was done as attempt %d on %s, was started again, and the end was acknowledged", e.Task, run.attempt, run.worker)
		}
	}
}

// crashed forgets what the worker ran, and the ends that it had not handed over.
func (c *Checker) crashed(e standin.Event) {
	for _, t := range c.tasks {
		for run := range t.running {
			if run.worker == e.Worker && run.born == e.StartedAt {
				delete(t.running, run)
			}
		}
	}
}

// Finish reports jobs that are in no final state although everything was in order for long.
func (c *Checker) unfinished() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	for id, job := range c.jobs {
		if job.acceptedAt.IsZero() || job.cancelSent || job.job.Steps[0].LongRunning {
			continue
		}
		if job.shown != "completed" && job.shown != "failed" {
			list = append(list, id)
		}
	}
	return list
}

// stillRunning lists running tasks of jobs that were cancelled.
func (c *Checker) stillRunning() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	for name, t := range c.tasks {
		id, _ := parseTask(name)
		if job := c.jobs[id]; job != nil && !job.cancelled.IsZero() && len(t.running) > 0 {
			list = append(list, name)
		}
	}
	return list
}
