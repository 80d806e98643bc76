package fleet

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
)

// histogramSize is the number of samples that a histogram keeps; a uniform sample of this size
// gives the 99th percentile within a few per cent.
const histogramSize = 1028

// Metrics holds the counters and histograms of one process. The number of series is fixed.
type Metrics struct {
	registry metrics.Registry
}

// NewMetrics returns an empty set of metrics.
func NewMetrics() *Metrics { return &Metrics{registry: metrics.NewRegistry()} }

// count adds by to a counter. what is a label that distinguishes the outcomes of one kind of
// decision; it comes from a fixed set.
func (m *Metrics) count(name, what string, by int) {
	metrics.GetOrRegisterCounter(fmt.Sprintf("%s{%s}", name, what), m.registry).Inc(int64(by))
}

// observe adds a duration to a histogram in milliseconds.
func (m *Metrics) observe(name string, d time.Duration) {
	metrics.GetOrRegisterHistogram(name, m.registry, metrics.NewUniformSample(histogramSize)).Update(d.Milliseconds())
}

// Handler serves the metrics as text, one line for each value.
func (m *Metrics) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		m.write(w)
	})
}

func (m *Metrics) write(w io.Writer) {
	m.registry.Each(func(name string, value any) {
		switch v := value.(type) {
		case metrics.Counter:
			fmt.Fprintf(w, "%s %d\n", name, v.Count())
		case metrics.Histogram:
			s := v.Snapshot()
			fmt.Fprintf(w, "%s_count %d\n%s_p50 %.0f\n%s_p99 %.0f\n%s_max %d\n",
				name, s.Count(), name, s.Percentile(0.5), name, s.Percentile(0.99), name, s.Max())
		}
	})
}
