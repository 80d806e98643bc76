package fleet

import (
	"testing"
	"time"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
	"samphirepaddle.example/daemon/bootclock"
)

// Guards against long tasks that never end: one percent of a task of ten minutes takes 6 s, and each time it was
// stopped as stalled and its worker quarantined, so that other jobs did not start either.
func TestLongTaskIsNotStalled(t *testing.T) {
	r := newRig(t)
	a := r.workers.add("a", 1)
	a.percentMs = 6000
	r.report(a)
	r.submit("long", workflow.StepSpec{Count: 1, CPUMillis: 1000, EstimateMs: 600_000})
	r.until("the long task runs", func() bool { return len(a.runningAttempts()) == 1 })
	time.Sleep(stallTimeout + time.Second)
	r.submit("other", oneTask)
	r.until("another job starts beside it", func() bool { return len(a.runningAttempts()) == 2 })
	for _, attempt := range a.runningAttempts() {
		if attempt.Number != 1 {
			t.Errorf("task %s runs as attempt %d, want 1: it was moved", attempt.Task, attempt.Number)
		}
	}
}

// Guards against a task of unknown length that never ends, against a worker that keeps a task although it makes no
// progress, and against a wait that depends on how often a list was missed.
func TestStallDependsOnTheLengthOfTheTask(t *testing.T) {
	now := bootclock.Now()
	for name, c := range map[string]struct {
		step    workflow.StepSpec
		earlier int
		idle    time.Duration // since the last progress
		want    bool
	}{
		"short, just advanced":           {workflow.StepSpec{EstimateMs: 1000}, 0, 2 * time.Second, false},
		"short, stalled":                 {workflow.StepSpec{EstimateMs: 1000}, 0, 3 * time.Second, true},
		"without an estimate":            {workflow.StepSpec{}, 0, 3 * time.Second, true},
		"short by a wrong estimate":      {workflow.StepSpec{EstimateMs: 1000}, 2, 9 * time.Second, false},
		"stalls again and again":         {workflow.StepSpec{EstimateMs: 1000}, 2, 11 * time.Second, true},
		"ten minutes":                    {workflow.StepSpec{EstimateMs: 600_000}, 0, 20 * time.Second, false},
		"ten minutes, stalled":           {workflow.StepSpec{EstimateMs: 600_000}, 0, 30 * time.Second, true},
		"startup of a long-running task": {workflow.StepSpec{EstimateMs: 600_000, LongRunning: true}, 0, 3 * time.Second, true},
	} {
		s := &session{answeredAt: now, listReceivedAt: now}
		o := &order{pace: 100, progressAt: now.Add(-c.idle)}
		if got := s.stalled(workflow.OpenAttempt{Step: &c.step}, o, now, c.earlier); got != c.want {
			t.Errorf("%s, idle for %v: stalled is %v, want %v", name, c.idle, got, c.want)
		}
	}
}

// Guards against a checkpointing task that counts as stalled although it stores its progress.
func TestCheckpointsShowProgress(t *testing.T) {
	attempt := workflow.Attempt{Number: 1}
	s := &session{leadership: &leadership{engine: NewEngine(Options{}), passRequests: make(chan struct{}, 1)}, orders: map[workflow.Attempt]*order{}, running: map[workflow.Attempt]RunningAttempt{}}
	list := func(at bootclock.Time, checkpoint string) {
		s.applyListing(at, at, Listing{Clock: model.Millis(1), Running: []RunningAttempt{{Attempt: attempt, Progress: 3, Checkpoint: checkpoint}}})
	}
	first := bootclock.Now()
	list(first, "a")
	list(first.Add(time.Second), "a")
	if got := s.orders[attempt].progressAt; got != first {
		t.Errorf("progress %v after the first list without any", got.Sub(first))
	}
	list(first.Add(2*time.Second), "b")
	if got := s.orders[attempt].progressAt.Sub(first); got != 2*time.Second {
		t.Errorf("the new checkpoint shows progress at %v, want 2 s", got)
	}
}
