package gateway

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"samphirepaddle.example/core/model"
)

// Parameters of the exponentially decaying sample behind each histogram. An alpha of 0.015 weights
// it towards the last five minutes.
const (
	sampleSize  = 4096 // values
	sampleAlpha = 0.015
)

// gatewayMetrics holds the counters and histograms of one gateway.
type gatewayMetrics struct {
	registry  metrics.Registry
	queued    metrics.Counter
	forwarded metrics.Counter
	retries   metrics.Counter
	verdicts  map[model.Verdict]metrics.Counter

	tenants  histograms[model.TenantID]
	services histograms[model.ServiceID]
	classes  histograms[model.Class]
}

func newGatewayMetrics() *gatewayMetrics {
	r := metrics.NewRegistry()
	return &gatewayMetrics{
		registry:  r,
		queued:    metrics.NewRegisteredCounter("calls.queued", r),
		forwarded: metrics.NewRegisteredCounter("calls.forwarded", r),
		retries:   metrics.NewRegisteredCounter("calls.retried", r),
		verdicts: map[model.Verdict]metrics.Counter{
			model.VerdictRan:     metrics.NewRegisteredCounter("calls.ran", r),
			model.VerdictNotRun:  metrics.NewRegisteredCounter("calls.not_run", r),
			model.VerdictUnknown: metrics.NewRegisteredCounter("calls.unknown", r),
		},
	}
}

func (m *gatewayMetrics) countVerdict(verdict model.Verdict) { m.verdicts[verdict].Inc(1) }

// observeLatency adds the time from the arrival of a request to its response.
func (m *gatewayMetrics) observeLatency(tenant model.TenantID, service model.ServiceID, class model.Class, took time.Duration) {
	m.tenants.update(tenant, took)
	m.classes.update(class, took)
	if service != "" {
		m.services.update(service, took)
	}
}

// histograms holds one histogram per key. The zero value is ready to use.
type histograms[K ~string] struct {
	byKey sync.Map // K to *histogram
}

type histogram struct {
	metrics.Histogram
	max atomic.Int64 // of all values; the sample drops old ones
}

func (h *histograms[K]) update(key K, took time.Duration) {
	found, ok := h.byKey.Load(key)
	if !ok {
		sample := metrics.NewExpDecaySample(sampleSize, sampleAlpha)
		found, _ = h.byKey.LoadOrStore(key, &histogram{Histogram: metrics.NewHistogram(sample)})
	}
	entry := found.(*histogram)
	us := took.Microseconds()
	entry.Update(us)
	for old := entry.max.Load(); us > old && !entry.max.CompareAndSwap(old, us); old = entry.max.Load() {
	}
}

// Quantiles is the JSON form of a histogram, in microseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p99.9"`
	Max   int64   `json:"max"`
}

func (h *histograms[K]) quantiles() map[K]Quantiles {
	all := map[K]Quantiles{}
	h.byKey.Range(func(key, value any) bool {
		entry := value.(*histogram)
		p := entry.Snapshot().Percentiles([]float64{0.5, 0.9, 0.99, 0.999})
		all[key.(K)] = Quantiles{Count: entry.Count(), P50: p[0], P90: p[1], P99: p[2], P999: p[3], Max: entry.max.Load()}
		return true
	})
	return all
}

// Histograms is the response to GET /v1/histograms.
type Histograms struct {
	Unit     string                        `json:"unit"`
	Tenants  map[model.TenantID]Quantiles  `json:"tenants"`
	Classes  map[model.Class]Quantiles     `json:"classes"`
	Services map[model.ServiceID]Quantiles `json:"services"`
}

func (g *Gateway) serveHistograms(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, Histograms{
		Unit:     "us",
		Tenants:  g.metrics.tenants.quantiles(),
		Classes:  g.metrics.classes.quantiles(),
		Services: g.metrics.services.quantiles(),
	})
}

func (g *Gateway) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	values := map[string]int64{"active": g.active.Load()}
	g.metrics.registry.Each(func(name string, metric any) {
		if counter, ok := metric.(metrics.Counter); ok {
			values[name] = counter.Count()
		}
	})
	g.mu.RLock()
	for id, q := range g.queues {
		values["queue."+string(id)] = int64(q.Len())
	}
	g.mu.RUnlock()
	writeJSON(w, http.StatusOK, values)
}
