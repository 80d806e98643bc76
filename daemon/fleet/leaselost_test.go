package fleet

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/workflow"
	"samphirepaddle.example/daemon/replica"
)

// quietLog is a log whose leader gets no answers to its heartbeats once quiet is set, as behind a cut, and
// that names another leader once replaced is set. Its terms are those of the group and laterTerms.
type quietLog struct {
	replica.Log
	quiet    atomic.Bool
	replaced atomic.Bool
}

// laterTerms keeps the term apart from the first one of a group.
const laterTerms = 7

func (q *quietLog) Leader() replica.Leader {
	leader := q.Log.Leader()
	leader.Term += laterTerms
	if q.replaced.Load() {
		leader.Self, leader.Term = false, leader.Term+1
	}
	return leader
}

func (q *quietLog) ReadAtHeartbeat(ctx context.Context, query func(*state.State)) error {
	if q.quiet.Load() {
		return errors.New("no quorum answers")
	}
	return q.Log.ReadAtHeartbeat(ctx, query)
}

// newRigOnQuietLog returns a rig whose engine leads on a quietLog.
func newRigOnQuietLog(t *testing.T) (*rig, *quietLog, *leadership) {
	t.Helper()
	r := newRig(t)
	r.stop()
	log := &quietLog{Log: r.log}
	r.startEngineOn(log)
	var l *leadership
	r.until("the engine leads", func() bool {
		l = r.engine.currentLeadership()
		return l != nil
	})
	return r, log, l
}

// newCutLeader returns a leadership with one worker whose lease has expired. The log still names it as the leader.
func newCutLeader(t *testing.T) (*rig, *leadership, *fakeWorker) {
	t.Helper()
	r, log, l := newRigOnQuietLog(t)
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

// Guards against a plan of a leader that may have a successor by now.
func TestNoAssignmentWithoutTheLeaderLease(t *testing.T) {
	r, _, _ := newCutLeader(t)
	submit := workflow.Command{Submit: &workflow.Submission{Host: "h", Path: "/q/j", Steps: []workflow.StepSpec{oneTask}}}
	if _, err := r.log.Propose(context.Background(), state.Command{Workflow: &submit}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(5 * maxPassInterval)
	if status := r.jobStatus("j"); status != workflow.StatusQueued {
		t.Errorf("the job is %s, want %s", status, workflow.StatusQueued)
	}
}

// Guards against a leader that goes on although another one leads.
func TestLeaderResignsOnceAnotherLeads(t *testing.T) {
	r, log, l := newRigOnQuietLog(t)
	log.replaced.Store(true)
	r.addWorkerDirectly("a") // wakes what waits for a change of the log
	r.until("the leader resigns", func() bool { return l.ctx.Err() != nil })
}

// addWorkerDirectly commits a worker without the engine.
func (r *rig) addWorkerDirectly(id workflow.WorkerID) {
	r.t.Helper()
	batch := workflow.Command{Batch: &workflow.Batch{Workers: []workflow.Worker{{Incarnation: workflow.Incarnation{Worker: id, StartedAt: 1}, Service: "s"}}}}
	if _, err := r.log.Propose(context.Background(), state.Command{Workflow: &batch}); err != nil {
		r.t.Fatal(err)
	}
}

// Guards against leaders with one fencing token: workers could not refuse the calls of an earlier one.
func TestFencingTokenIsTheTerm(t *testing.T) {
	_, log, l := newRigOnQuietLog(t)
	if term := log.Leader().Term; l.token != term {
		t.Errorf("the token is %d in term %d", l.token, term)
	}
}
