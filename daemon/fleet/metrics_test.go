package fleet

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Guards against counters and histograms that are not served or have wrong values.
func TestMetricsAreServed(t *testing.T) {
	m := NewMetrics()
	m.count("starts", "answered", 2)
	m.count("starts", "answered", 1)
	for i := range 100 {
		m.observe("commit_ms", time.Duration(i+1)*time.Millisecond)
	}
	recorder := httptest.NewRecorder()
	m.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{"starts{answered} 3\n", "commit_ms_count 100\n", "commit_ms_p50 50\n", "commit_ms_max 100\n"} {
		if !strings.Contains(recorder.Body.String(), want) {
			t.Errorf("%q is missing in:\n%s", want, recorder.Body.String())
		}
	}
}
