package fleet

import (
	"bytes"
	"fmt"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"time"

	"samphirepaddle.example/core/dispatch"
	"samphirepaddle.example/core/workflow"
	"samphirepaddle.example/daemon/bootclock"
)

// Guards against a job of which nothing runs beside free capacity without a line: waiting steps are sampled,
// and a job whose only attempt is on a silent worker has none. Other jobs must have no such line.
func TestIdleJobsBesideFreeCapacityAreLogged(t *testing.T) {
	open := workflow.Task{Phase: workflow.TaskOpen, Attempt: 1}
	attempt := workflow.Attempt{Task: workflow.TaskKey{Job: "j"}, Number: 1}
	waits := []dispatch.WaitingStep{{Job: "j", Step: 3, Service: "s", Reason: dispatch.WaitInterference}}
	for name, c := range map[string]struct {
		task   *workflow.Task // nil if none was assigned
		waits  []dispatch.WaitingStep
		change func(s *session, w *dispatch.Worker)
		line   string // part of each line; empty if there are none
	}{
		"a waiting job": {nil, waits, func(*session, *dispatch.Worker) {}, `"open_attempts":0,"idle_ms":2500,"waiting":1,"step":3,"reason":"it would interfere with serving tasks","workers":15`},
		"an attempt on a silent worker": {&open, nil, func(s *session, _ *dispatch.Worker) {
			s.failing, s.orders[attempt] = true, &order{phase: startAnswered}
		}, `"open_attempts":1,"idle_ms":2500,"waiting":0,"reason":"its attempts are open on workers that do not list them"`},
		"an attempt that has started": {&open, waits, func(s *session, _ *dispatch.Worker) { s.orders[attempt] = &order{phase: startAnswered} }, ""},
		"little free capacity":        {nil, waits, func(_ *session, w *dispatch.Worker) { w.Allocations[0].Step.CPUMillis = 15 * w.CPUMillis }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			begin := bootclock.Now()
			l, snapshot, _ := waitingFleet(t, &out, begin)
			last := snapshot.Workers[len(snapshot.Workers)-1]
			q := dispatch.PendingRun{Job: &workflow.Job{ID: "j", Service: "s"}}
			if c.task != nil {
				task := *c.task
				task.Incarnation = last.Incarnation
				q.Run = &workflow.Run{Steps: []workflow.StepRun{{Tasks: []workflow.Task{task}}}}
			}
			snapshot.PendingRuns = []dispatch.PendingRun{q}
			c.change(l.sessions[last.Incarnation], last)
			lines, metric := 0, ""
			for after := time.Duration(0); after <= minIdleTime+idleLogInterval; after += idleCheckInterval / 5 {
				l.logIdleRuns(snapshot, c.waits, begin.Add(after))
			}
			if c.line != "" {
				lines, metric = 2, "waits{beside_free_capacity} 1\n"
			}
			recorder := httptest.NewRecorder()
			l.engine.opts.Metrics.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
			if got := strings.Count(out.String(), "\n"); got != lines || !strings.Contains(out.String(), c.line) {
				t.Errorf("there are %d lines, want %d with %s: %s", got, lines, c.line, out.String())
			}
			if got := recorder.Body.String(); !strings.Contains(got, metric) || (metric == "") != (got == "") {
				t.Errorf("the metrics are %q, want %q", got, metric)
			}
		})
	}
}

// Guards against hundreds of lines at once, and against a job that is never named because others are.
func TestLinesAboutIdleJobsAreBoundedAndNameAll(t *testing.T) {
	var out bytes.Buffer
	begin := bootclock.Now()
	l, snapshot, _ := waitingFleet(t, &out, begin)
	const jobs = 3*maxIdleLines - 10
	for i := range jobs {
		job := &workflow.Job{ID: workflow.JobID(fmt.Sprintf("j%03d", i)), Service: "s"}
		snapshot.PendingRuns = append(snapshot.PendingRuns, dispatch.PendingRun{Job: job})
	}
	named := map[string]bool{}
	for after := time.Duration(0); after <= minIdleTime+2*idleCheckInterval; after += idleCheckInterval {
		out.Reset()
		l.logIdleRuns(snapshot, nil, begin.Add(after))
		lines := regexp.MustCompile(`"job":"(j\d+)"`).FindAllString(out.String(), -1)
		if len(lines) > maxIdleLines {
			t.Errorf("%d lines after %v, want %d at most", len(lines), after, maxIdleLines)
		}
		for _, line := range lines {
			named[line] = true
		}
	}
	if len(named) != jobs {
		t.Errorf("%d of %d idle jobs were named", len(named), jobs)
	}
}
