package fleet

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/workflow"
	"samphirepaddle.example/daemon/replica"
)

// quietLog is a log whose leader gets no answers to its heartbeats once quiet is set, as behind a cut.
type quietLog struct {
	replica.Log
	quiet atomic.Bool
}

func (q *quietLog) ReadAtHeartbeat(ctx context.Context, query func(*state.State)) error {
	if q.quiet.Load() {
		return errors.New("no quorum answers")
	}
	return q.Log.ReadAtHeartbeat(ctx, query)
}

// newCutLeader returns a leadership with one worker whose lease has expired. The log still names it as the leader.
func newCutLeader(t *testing.T) (*rig, *leadership, *fakeWorker) {
	t.Helper()
	r := newRig(t)
	r.stop()
	log := &quietLog{Log: r.log}
	ctx, cancel := context.WithCancel(context.Background())
	r.engine = NewEngine(Options{
		Log: log, Workers: r.workers, Logger: zerolog.Nop(), LeaderLease: 200 * time.Millisecond, WorkerLease: r.lease,
	})
	done := make(chan struct{})
	go func() {
		r.engine.Run(ctx)
		close(done)
	}()
	r.stop = func() {
		cancel()
		<-done
	}
	r.until("the engine leads", func() bool { return r.engine.currentLeadership() != nil })
	l := r.engine.currentLeadership()
	a := r.addWorker("a", 1)
	r.until("the worker answers", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		s := l.sessions[a.worker.Incarnation]
		return s != nil && s.tokenAccepted
	})
	log.quiet.Store(true)
	r.until("the lease has expired", func() bool { return r.engine.currentLeadership() == nil })
	return r, l, a
}

// Guards against a start by a leader that may have a successor by now.
func TestNoStartWithoutTheLeaderLease(t *testing.T) {
	_, l, a := newCutLeader(t)
	attempt := workflow.Attempt{Task: workflow.TaskKey{Job: "j"}, Number: 1}
	l.mu.Lock()
	s := l.sessions[a.worker.Incarnation]
	l.sendStart(s, attempt, "p", "", false)
	phase := s.orders[attempt].phase
	l.mu.Unlock()
	if phase != startImpossible {
		t.Errorf("the start is in phase %d, want %d: it was sent", phase, startImpossible)
	}
}

// Guards against answers from the state of a leader that may have a successor by now: a later configuration may
// have been acknowledged.
func TestNoAnswerWithoutTheLeaderLease(t *testing.T) {
	r, _, _ := newCutLeader(t)
	ctx := context.Background()
	if c, err := r.engine.ReadConfiguration(ctx, struct{}{}); !errors.Is(err, ErrNotLeading) {
		t.Errorf("configuration %+v, error %v", c, err)
	}
	if answer, err := r.engine.Lookup(ctx, Query{Host: "h", Path: "/q/j"}); !errors.Is(err, ErrNotLeading) {
		t.Errorf("lookup %+v, error %v", answer, err)
	}
	if answer, err := r.engine.Submit(ctx, workflow.Submission{Host: "h", Path: "/q/j", Steps: []workflow.StepSpec{oneTask}}); !errors.Is(err, ErrNotLeading) {
		t.Errorf("submission %+v, error %v", answer, err)
	}
}
