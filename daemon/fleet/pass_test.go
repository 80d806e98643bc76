package fleet

import (
	"context"
	"testing"
	"time"

	"samphirepaddle.example/core/dispatch"
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/workflow"
	"samphirepaddle.example/daemon/bootclock"
)

// Guards against short jobs that wait for a full pass while best-effort work waits for capacity,
// and against a short pass that takes the work of a full one.
func TestReservedPassPlansShortJobsOnly(t *testing.T) {
	l, st := planningLeadership(t, 20, 2, 5)
	applyOrFail(t, st, workflow.Command{Submit: &workflow.Submission{Host: "h", Path: "/u/short", Steps: []workflow.StepSpec{oneTask}}})
	assigned := func(kind passKind) (short, others int) {
		p := &passPlan{kind: kind}
		l.buildPlan(st, p)
		for _, a := range p.batch.Assign {
			if a.Attempt.Task.Job == "short" {
				short++
			} else {
				others++
			}
		}
		return short, others
	}
	if short, others := assigned(reservedPass); short != 1 || others != 0 {
		t.Errorf("a pass for reserved work assigns %d short and %d other tasks, want 1 and 0", short, others)
	}
	if short, others := assigned(fullPass); short != 1 || others == 0 {
		t.Errorf("a full pass assigns %d short and %d other tasks, want 1 and some", short, others)
	}
}

// Guards against best-effort work that waits until something else requests a pass: a request during
// the pause is also one for the next full pass.
func TestRequestDuringThePauseIsKept(t *testing.T) {
	l, _ := planningLeadership(t, 3, 0, 0)
	l.lastPlanEnd, l.planDuration = bootclock.Now(), time.Hour
	l.lease.until.Store(int64(bootclock.Now().Add(time.Hour)))
	l.requestPass()
	l.pauseAfterPass()
	select {
	case <-l.passRequests:
	default:
		t.Error("no full pass is requested")
	}
	if l.passStats.passes == 0 {
		t.Error("no pass was run during the pause")
	}
}

// Guards against a long-running task that stays down beside free cores because an earlier task of its
// step has not started: the worker of that first start began to drain while the start was committed.
func TestRestartIsNotHeldBackByARefusedFirstStart(t *testing.T) {
	l, st := planningLeadership(t, 2, 0, 0)
	applyOrFail(t, st, workflow.Command{Submit: &workflow.Submission{Host: "h", Path: "/u/lasting", Steps: []workflow.StepSpec{{Count: 8, CPUMillis: 16_000, LongRunning: true}}}})
	draining := *st.Workflows.Workers[l.sortedWorkers(st.Workflows)[0]]
	stays := *st.Workflows.Workers[l.sortedWorkers(st.Workflows)[1]]
	draining.Draining = true
	l.reports[draining.Incarnation.Worker] = &pendingReport{worker: draining, done: make(chan struct{})}
	p := &passPlan{}
	l.buildPlan(st, p)
	applyOrFail(t, st, workflow.Command{Batch: &p.batch})
	task := func(index int) *workflow.Task { return &st.Workflows.Jobs["lasting"].Runs[0].Steps[0].Tasks[index] }
	if task(0).Attempt != 0 || task(5).Incarnation != stays.Incarnation {
		t.Fatalf("task 0 is %+v, task 5 is %+v", *task(0), *task(5))
	}
	failed := workflow.End{Incarnation: stays.Incarnation, Number: 1, Attempt: workflow.Attempt{Task: workflow.TaskKey{Job: "lasting", Index: 5}, Number: 1}, Kind: workflow.EndFailed}
	applyOrFail(t, st, workflow.Command{Batch: &workflow.Batch{Ends: []workflow.End{failed}}})
	answer(st, l.sessions[stays.Incarnation], 0)
	for range 3 {
		p = &passPlan{}
		l.buildPlan(st, p)
		applyOrFail(t, st, workflow.Command{Batch: &p.batch})
	}
	if task(5).Phase != workflow.TaskOpen {
		var waits []dispatch.WaitingStep
		_, waits = dispatch.Plan(l.plannerInput(st, bootclock.Now()), l.plannerState)
		t.Errorf("task 5 is not restarted; waits %+v", waits)
	}
}

// Guards against waits that last for longer after a leader whose clock was ahead.
func TestPlannerTimeIsNotBeforeRecordedTimes(t *testing.T) {
	st := state.New()
	st.Now = model.Millis(time.Now().UnixMilli()) + 5000
	l := &leadership{engine: NewEngine(Options{}), sessions: map[workflow.Incarnation]*session{}}
	if p := l.plannerInput(st, bootclock.Now()); p.Now < st.Now {
		t.Errorf("the planner's time is %d ms before the latest recorded time", st.Now-p.Now)
	}
}

// refusingLog is a Log that commits commands without applying them.
type refusingLog struct{ fixedLog }

func (refusingLog) Propose(context.Context, state.Command) (state.Result, error) {
	return state.Result{Code: state.CodeInvalid}, nil
}

// Guards against heartbeats and ends that are acknowledged although the batch with them had no effect, for
// example because this version could not decode it: an end would be lost, and its task would run again.
func TestBatchThatIsNotAppliedAcknowledgesNothing(t *testing.T) {
	l, st := planningLeadership(t, 1, 0, 0)
	l.engine.opts.Log = refusingLog{fixedLog{state: st}}
	id := l.sortedWorkers(st.Workflows)[0]
	s := l.sessions[st.Workflows.Workers[id].Incarnation]
	s.ends = []workflow.End{{Incarnation: s.incarnation, Number: 1, Kind: workflow.EndDone}}
	report := &pendingReport{worker: *st.Workflows.Workers[id], done: make(chan struct{})}
	l.reports[id] = report
	l.runPass(fullPass)
	if s.recordedThrough != 0 || len(s.ends) != 1 || l.reports[id] != report {
		t.Errorf("ends up to %d are acknowledged, %d ends and %d reports wait", s.recordedThrough, len(s.ends), len(l.reports))
	}
}
