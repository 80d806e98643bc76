package fleet

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"samphirepaddle.example/daemon/bootclock"
)

// histogramSize is the number of samples that a histogram keeps; a uniform sample of this size
// gives the 99th percentile within a few per cent.
const histogramSize = 1028

// maxRouteSeries bounds the routes with histograms of their own; a configuration may have thousands.
const maxRouteSeries = 64

// otherRoutes is the label of the routes beyond maxRouteSeries.
const otherRoutes = "other"

// Metrics holds the counters and histograms of one process. The number of series is bounded.
type Metrics struct {
	registry metrics.Registry

	mu     sync.Mutex
	routes map[string]bool // those with a label of their own
}

// NewMetrics returns an empty set of metrics.
func NewMetrics() *Metrics {
	return &Metrics{registry: metrics.NewRegistry(), routes: map[string]bool{}}
}

// routeLabel returns the label of a route: its name for the first routes, one for all others.
func (m *Metrics) routeLabel(route string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.routes[route] && len(m.routes) >= maxRouteSeries {
		return otherRoutes
	}
	m.routes[route] = true
	return route
}

// count adds by to a counter. what is a label that distinguishes the outcomes of one kind of
// decision; it comes from a fixed set.
func (m *Metrics) count(name, what string, by int) {
	metrics.GetOrRegisterCounter(fmt.Sprintf("%s{%s}", name, what), m.registry).Inc(int64(by))
}

// Count adds by to a counter with a label from a fixed set.
func (m *Metrics) Count(name, what string, by int) { m.count(name, what, by) }

// observe adds a duration to a histogram in milliseconds.
func (m *Metrics) observe(name string, d time.Duration) {
	metrics.GetOrRegisterHistogram(name, m.registry, metrics.NewUniformSample(histogramSize)).Update(d.Milliseconds())
}

// SetGauge sets a value that may rise and fall.
func (m *Metrics) SetGauge(name string, value int) {
	metrics.GetOrRegisterGauge(name, m.registry).Update(int64(value))
}

// Handler serves the metrics as text, one line for each value.
func (m *Metrics) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		m.write(w)
	})
}

// ObserveRequests counts the responses of next by method and status, and observes in milliseconds how
// long requests of each method took.
func (m *Metrics) ObserveRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		began := bootclock.Now()
		recorder := &statusRecorder{ResponseWriter: w, status: http.StatusOK}
		next.ServeHTTP(recorder, r)
		method := methodLabel(r.Method)
		m.count("requests", fmt.Sprintf("%s,%d", method, recorder.status), 1)
		m.observe(fmt.Sprintf("request_ms{%s}", method), bootclock.Since(began))
	})
}

// methodLabel returns the method if callers have a use for it. Labels come from a fixed set, because
// each of them keeps a histogram.
func methodLabel(method string) string {
	switch method {
	case http.MethodPost, http.MethodGet, http.MethodDelete:
		return method
	}
	return "other"
}

// statusRecorder keeps the status of a response.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader begins the response.
func (s *statusRecorder) WriteHeader(status int) {
	s.status = status
	s.ResponseWriter.WriteHeader(status)
}

// Unwrap gives http.ResponseController access to the connection.
func (s *statusRecorder) Unwrap() http.ResponseWriter { return s.ResponseWriter }

func (m *Metrics) write(w io.Writer) {
	m.registry.Each(func(name string, value any) {
		switch v := value.(type) {
		case metrics.Counter:
			fmt.Fprintf(w, "%s %d\n", name, v.Count())
		case metrics.Gauge:
			fmt.Fprintf(w, "%s %d\n", name, v.Value())
		case metrics.Histogram:
			s := v.Snapshot()
			fmt.Fprintf(w, "%s_count %d\n%s_p50 %.0f\n%s_p99 %.0f\n%s_max %d\n",
				name, s.Count(), name, s.Percentile(0.5), name, s.Percentile(0.99), name, s.Max())
		}
	})
}
