package fleet

import (
	"net/http"
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

// Guards against gateways whose failed requests can't be told from served ones, and against labels
// that a caller chooses.
func TestRequestsAreCountedByMethodAndStatus(t *testing.T) {
	m := NewMetrics()
	handler := m.ObserveRequests(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	for _, method := range []string{"GET", "GET", "POST", "MADE-UP"} {
		handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(method, "/x", nil))
	}
	recorder := httptest.NewRecorder()
	m.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{"requests{GET,200} 2\n", "requests{POST,503} 1\n", "requests{other,503} 1\n", "request_ms{GET}_count 2\n"} {
		if !strings.Contains(recorder.Body.String(), want) {
			t.Errorf("%q is missing in:\n%s", want, recorder.Body.String())
		}
	}
}
