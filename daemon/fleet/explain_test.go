package fleet

import (
	"context"
	"testing"

	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/workflow"
)

// Guards against an explanation that submits the job, or that names another worker than the start does.
func TestExplainStartsNothing(t *testing.T) {
	r := newRig(t)
	a := r.addWorker("a", 1)
	r.submit("first", oneTask)
	r.until("a task runs", func() bool { return len(a.runningAttempts()) == 1 })
	submission := workflow.Submission{Host: "h", Path: "/q/explained", Steps: []workflow.StepSpec{{Count: 100, CPUMillis: 1000}}}
	var response ExplainResponse
	r.until("the job is explained", func() (ok bool) {
		var err error
		response, err = r.engine.Explain(context.Background(), submission)
		return err == nil
	})
	if e := response.Explanation; len(e.Placed) == 0 || e.Placed[0].Worker != "a" || len(e.Waits) != 1 || len(e.Workers) != 1 {
		t.Errorf("explanation: %+v", response)
	}
	r.log.View(func(st *state.State) {
		if st.Workflows.Knows("explained") || len(st.Workflows.Jobs) != 1 {
			t.Error("the explained job is in the state")
		}
	})
	submission.Path = "/nowhere/j"
	if response, err := r.engine.Explain(context.Background(), submission); err != nil || response.Error == "" {
		t.Errorf("a job without a route: %+v, error %v", response, err)
	}
}
