package fleet

import (
	"context"
	"errors"
	"strings"
	"testing"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/workflow"
)

// countingReporter counts the heartbeats that reach the leader.
type countingReporter struct {
	reports int
	err     error
}

func (c *countingReporter) ReportWorker(context.Context, WorkerReport) error {
	c.reports++
	return c.err
}

// Guards against a controller that acknowledges news of a worker on its own, before they are
// committed, and against one that passes heartbeats without news to the leader.
func TestOnlyHeartbeatsWithNewsReachTheLeader(t *testing.T) {
	known := workflow.Worker{
		Incarnation: workflow.Incarnation{Worker: "w", StartedAt: 5}, Addr: "a:1", Service: "s", Zone: "z", CPUMillis: 4, Labels: []string{"l"},
	}
	with := func(change func(*workflow.Worker)) workflow.Worker {
		w := known
		change(&w)
		return w
	}
	left := with(func(w *workflow.Worker) { w.Incarnation.Worker, w.Deregistered = "left", true })
	st := state.New()
	drains := with(func(w *workflow.Worker) { w.Incarnation.Worker, w.Draining = "drains", true })
	st.Workflows.Apply(1, nil, &workflow.Command{Batch: &workflow.Batch{Workers: []workflow.Worker{known, left, drains}}})
	returned := left
	returned.Deregistered = false
	for name, test := range map[string]struct {
		worker workflow.Worker
		news   bool
	}{
		"nothing new":                {known, false},
		"unknown worker":             {with(func(w *workflow.Worker) { w.Incarnation.Worker = "other" }), true},
		"new process":                {with(func(w *workflow.Worker) { w.Incarnation.StartedAt = 6 }), true},
		"earlier process":            {with(func(w *workflow.Worker) { w.Incarnation.StartedAt = 4 }), true},
		"new address":                {with(func(w *workflow.Worker) { w.Addr = "b:1" }), true},
		"new capacity":               {with(func(w *workflow.Worker) { w.CPUMillis = 8 }), true},
		"new label":                  {with(func(w *workflow.Worker) { w.Labels = []string{"m"} }), true},
		"still draining":             {drains, true}, // with less time left
		"draining":                   {with(func(w *workflow.Worker) { w.Draining = true }), true},
		"a worker that has left":     {returned, true},
		"a worker that leaves again": {left, true},
	} {
		leader := &countingReporter{err: errors.New("no leader")}
		err := LocalReporter{Log: fixedLog{state: st}, Leader: leader}.ReportWorker(t.Context(), WorkerReport{Worker: test.worker})
		if (leader.reports > 0) != test.news || (err != nil) != test.news {
			t.Errorf("%s: the leader received %d reports, answer %v", name, leader.reports, err)
		}
	}
}

// Guards against passes that stop for good because the batch with all new heartbeats and ends is larger
// than an entry of the log may be.
func TestBatchesFitIntoTheLog(t *testing.T) {
	const many, large = 120, 60_000
	l, st := planningLeadership(t, many, 0, 0)
	waiting := 0
	for _, w := range st.Workflows.Workers {
		id := workflow.WorkerID("next-" + w.Incarnation.Worker)
		l.reports[id] = &pendingReport{worker: workflow.Worker{Incarnation: workflow.Incarnation{Worker: id}, Labels: []string{strings.Repeat("l", large)}}, done: make(chan struct{})}
		s := l.sessions[w.Incarnation]
		s.ends = []workflow.End{{Incarnation: w.Incarnation, Number: 1, Kind: workflow.EndStopped, Checkpoint: strings.Repeat("c", large)}}
		waiting += 2
	}
	for passes := 0; waiting > 0; passes++ {
		p := &passPlan{}
		l.buildPlan(st, p)
		data, err := model.Encode(state.Command{Workflow: &workflow.Command{Batch: &p.batch}})
		if err != nil || len(data) > 4<<20 || len(p.reports) != len(p.batch.Workers) || passes > many {
			t.Fatalf("pass %d: a batch of %d bytes with %d of %d reports, error %v", passes, len(data), len(p.batch.Workers), len(p.reports), err)
		}
		waiting -= len(p.batch.Workers) + len(p.batch.Ends)
		l.handleCommitResult(p, nil)
	}
}
