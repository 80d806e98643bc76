package dispatch

import (
	"testing"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
)

// Guards against an explanation that differs from what a pass then does, and against one that changes the plan.
func TestExplanationIsWhatThePlanDoes(t *testing.T) {
	full, free, away := testWorker("full", 1000, 1000), testWorker("free", 4000, 1000), evacuatedWorker("away", 8000)
	lastingJob("busy", workflow.StepSpec{Count: 1, CPUMillis: 1000}, full)
	workers := []*Worker{full, free, away}
	ahead := testJob("ahead", 0, workflow.StepSpec{Count: 2, CPUMillis: 1000, MemoryMiB: 1})
	job := testJob(string(PreviewID), 1, workflow.StepSpec{Count: 3, CPUMillis: 1000, MemoryMiB: 1})
	job.AcceptedAt, job.Sequence = 1000, 9
	state := NewPlannerState()
	p := newSnapshot(workers, ahead)
	e := Explain(p, state, job)
	if len(e.Placed) != 2 || e.Placed[0].Worker != "free" || e.Ahead != 1 || len(e.Waits) != 1 {
		t.Errorf("placed %v, waits %v, ahead %d", e.Placed, e.Waits, e.Ahead)
	}
	want := []WorkerReason{{Worker: "free"}, {Worker: "away", Reason: "its zone is evacuated"}, {Worker: "full", Reason: WaitNoCapacity.String()}}
	for i, w := range e.Workers {
		if w.Worker != want[i].Worker || w.Reason != want[i].Reason {
			t.Errorf("worker %d is %+v, want %+v", i, w, want[i])
		}
	}
	if again := Explain(p, state, job); len(p.PendingRuns) != 1 || len(state.ShortTaskReserve.peaks) != 0 || len(again.Placed) != 2 {
		t.Error("the explanation has changed the plan")
	}
	p.PendingRuns = append(p.PendingRuns, PendingRun{Job: job})
	assigned, _ := Plan(p, state)
	if got := placed(assigned, string(PreviewID)); len(got) != len(e.Placed) || got[0] != e.Placed[0].Worker {
		t.Errorf("the plan places the tasks on %v", got)
	}
}

// Guards against an explanation of a job that would be refused.
func TestPreviewOfAnInvalidJob(t *testing.T) {
	routing := &model.Routing{Routes: []model.Route{{Name: "q", Host: "h", PathPrefix: "/q/", Service: "s"}}}
	valid := workflow.Submission{Host: "h", Path: "/q/j", Steps: []workflow.StepSpec{{Count: 1}}}
	if job, err := Preview(routing, &valid, 1); err != nil || job.ID != PreviewID || job.Service != "s" {
		t.Errorf("job %+v, error %v", job, err)
	}
	unrouted, empty := valid, valid
	unrouted.Path, empty.Steps = "/other/j", nil
	for _, s := range []workflow.Submission{unrouted, empty} {
		if _, err := Preview(routing, &s, 1); err == nil {
			t.Errorf("%+v is explained", s)
		}
	}
}
