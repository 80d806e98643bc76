package fleet

import (
	"fmt"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"

	"samphirepaddle.example/core/workflow"
)

func (r *rig) metrics() string {
	recorder := httptest.NewRecorder()
	r.engine.opts.Metrics.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	return recorder.Body.String()
}

// Guards against late jobs that no metric of their route shows, and against jobs that count twice.
func TestJobTimesAreObservedByRoute(t *testing.T) {
	r := newRig(t)
	w := r.addWorker("a", 1)
	for _, id := range []string{"j", "k"} {
		r.submit(id, oneTask)
		r.until("the task runs", func() bool { return len(w.runningAttempts()) == 1 })
		w.finish(workflow.EndDone)
		r.until("the job is complete", func() bool { return r.jobStatus(id) == workflow.StatusCompleted })
	}
	for _, series := range []string{"first_start_ms{q}_count 2\n", "job_ms{q}_count 2\n"} {
		r.until(series+"is served", func() bool { return strings.Contains(r.metrics(), series) })
	}
}

// Guards against a configuration with many routes that fills the memory with histograms.
func TestRoutesBeyondTheLimitShareOneLabel(t *testing.T) {
	m := NewMetrics()
	for i := range 10 * maxRouteSeries {
		m.observe(fmt.Sprintf("job_ms{%s}", m.routeLabel(fmt.Sprint("route", i))), 0)
	}
	recorder := httptest.NewRecorder()
	m.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	if got := len(regexp.MustCompile(`_count`).FindAllString(recorder.Body.String(), -1)); got != maxRouteSeries+1 {
		t.Errorf("%d histograms, want %d", got, maxRouteSeries+1)
	}
}
