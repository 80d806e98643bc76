package fleet

import (
	"testing"
	"time"

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
