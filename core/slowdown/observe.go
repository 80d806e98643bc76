package slowdown

import (
	"math"
	"slices"

	"samphirepaddle.example/core/model"
)

// Reason is the outcome of a report: used, collected, or why it was discarded.
type Reason string

// The outcomes of a report.
const (
	ReasonUsed               Reason = "used"
	ReasonCollected          Reason = "collected" // kept to determine the reference latency
	ReasonNotQuick           Reason = "not about quick work"
	ReasonNegative           Reason = "negative amount"
	ReasonInvalidInterval    Reason = "invalid interval"
	ReasonFuture             Reason = "from the future"
	ReasonTooOld             Reason = "older than the history"
	ReasonImplausibleLatency Reason = "implausible latency"
	ReasonUnknownTarget      Reason = "unknown target"
)

// Counters holds the numbers of reports by outcome.
type Counters struct {
	Used      int
	Collected int
	Discarded map[Reason]int
}

// Counters returns a copy of the counters.
func (m *Model) Counters() Counters {
	out := m.counters
	out.Discarded = make(map[Reason]int, len(m.counters.Discarded))
	for reason, n := range m.counters.Discarded {
		out.Discarded[reason] = n
	}
	return out
}

// Observation is the result of one report.
type Observation struct {
	Reason   Reason
	Load     float64  // of the service during the interval, as a fraction of the target's slots
	Slowdown float64  // ratio of the reported latency to the estimated baseline latency; zero unless used
	Expected Estimate // slowdown predicted before the update
}

// term is the contribution of one batch task to an observation.
type term struct {
	record    *taskRecord
	pair      *pair
	meanLevel float64
	mean      float64 // mean coefficient of the pair at the load of the observation
}

// Observe updates the estimates from a report that arrived at the time now. Invalid reports
// are discarded and counted.
func (m *Model) Observe(target model.TargetID, report model.UsageReport, now model.Millis) Observation {
	obs := m.observe(target, report, now)
	switch obs.Reason {
	case ReasonUsed:
		m.counters.Used++
	case ReasonCollected:
		m.counters.Collected++
	default:
		if m.counters.Discarded == nil {
			m.counters.Discarded = map[Reason]int{}
		}
		m.counters.Discarded[obs.Reason]++
	}
	return obs
}

// Validate returns ReasonUsed, or the reason to discard the report. It checks only the report and
// not the state of the model.
func (m *Model) Validate(report model.UsageReport, now model.Millis) Reason {
	switch {
	case report.Service == "":
		return ReasonNotQuick
	case report.LatencyUs <= 0 || report.Requests <= 0 || report.Used.Negative():
		return ReasonNegative
	case report.ToMs <= report.FromMs || report.ToMs-report.FromMs > m.cfg.MaxIntervalMs:
		return ReasonInvalidInterval
	case report.ToMs > now+m.cfg.MaxClockSkewMs:
		return ReasonFuture
	case report.FromMs < now-m.cfg.HistoryMs:
		return ReasonTooOld
	}
	return ReasonUsed
}

func (m *Model) observe(target model.TargetID, report model.UsageReport, now model.Millis) Observation {
	if reason := m.Validate(report, now); reason != ReasonUsed {
		return Observation{Reason: reason}
	}
	h := m.targets[target]
	if h == nil {
		return Observation{Reason: ReasonUnknownTarget}
	}
	s := m.services[report.Service]
	if s == nil {
		s = newService()
		m.services[report.Service] = s
	}
	if s.referenceUs == 0 {
		s.addInitialLatency(float64(report.LatencyUs), report.ToMs)
		return Observation{Reason: ReasonCollected}
	}
	load := s.load(report, h.slots)
	weights := interpolationWeights(load)
	measured := float64(report.LatencyUs) / s.referenceUs
	if measured > maxLatencyRatio*s.baseAt(weights) {
		return Observation{Reason: ReasonImplausibleLatency, Load: load}
	}
	expected := m.learn(s, h, report, weights, measured)
	base := s.baseAt(weights)
	return Observation{Reason: ReasonUsed, Load: load, Slowdown: measured / base, Expected: expected}
}

// addInitialLatency collects the first latencies and sets the reference latency to their
// median, which is robust against a few outliers.
func (s *service) addInitialLatency(latencyUs float64, at model.Millis) {
	s.initialLatencies = append(s.initialLatencies, latencyUs)
	if len(s.initialLatencies) < initialReports {
		return
	}
	slices.Sort(s.initialLatencies)
	s.initialize(s.initialLatencies[initialReports/2], at)
}

func (s *service) load(report model.UsageReport, slots int32) float64 {
	seconds := float64(report.ToMs-report.FromMs) / 1000
	busy := float64(report.Requests) * s.referenceUs / 1e6 / seconds
	return min(busy/float64(max(slots, 1)), 1)
}

// learn applies the Kalman update and returns the slowdown that was expected before it.
func (m *Model) learn(s *service, h *history, report model.UsageReport, weights [numKnots]float64, measured float64) Estimate {
	m.collectTerms(s, h, report)
	base := s.baseAt(weights)
	expected, total := base, 0.0
	for i, w := range weights {
		total += w * w * s.base[i].variance
	}
	for i := range m.terms {
		t := &m.terms[i]
		mean, variance := s.coefficient(t.record.kind, weights)
		t.mean = mean
		factor := t.record.taskFactor.mean
		expected += t.meanLevel * factor * mean
		total += t.meanLevel * t.meanLevel * (factor*factor*variance + mean*mean*t.record.taskFactor.variance)
	}
	std := math.Sqrt(total)
	total += math.Pow(reportNoise*max(measured, expected), 2)
	bound := maxDeviations * math.Sqrt(total)
	residual := min(max(measured-expected, -bound), bound)
	m.distribute(s, weights, residual, total)
	s.reports++
	if s.reports%64 == 0 {
		s.refreshClassMean()
	}
	return Estimate{Mean: expected / base, Std: std / base}
}

// collectTerms collects the tasks that ran during the interval of the report and decays their
// estimates to its end.
func (m *Model) collectTerms(s *service, h *history, report model.UsageReport) {
	m.terms = m.terms[:0]
	m.appendTerms(s, h.ended, report)
	m.appendTerms(s, h.running, report)
}

func (m *Model) appendTerms(s *service, records []*taskRecord, report model.UsageReport) {
	for _, r := range records {
		meanLevel := r.meanLevel(report.FromMs, report.ToMs)
		if meanLevel <= 0 {
			continue
		}
		p := s.pair(r.kind, report.ToMs)
		for i := range p.coefficients {
			p.coefficients[i].decay(s.classMean[i], pairPriorVariance, report.ToMs, m.cfg.HalfLifeMs)
		}
		r.taskFactor.decay(1, taskFactorVariance, report.ToMs, taskFactorHalfLife)
		m.terms = append(m.terms, term{record: r, pair: p, meanLevel: meanLevel})
	}
}

// distribute updates each parameter with its part of the residual, in proportion to its
// variance.
func (m *Model) distribute(s *service, weights [numKnots]float64, residual, total float64) {
	for i, w := range weights {
		s.base[i].update(w, residual, total)
	}
	for _, t := range m.terms {
		factor := t.record.taskFactor.mean
		for i, w := range weights {
			c := &t.pair.coefficients[i]
			c.update(w*t.meanLevel*factor, residual, total)
			c.mean = max(c.mean, 0)
		}
		t.pair.reports++
		t.record.taskFactor.update(t.meanLevel*t.mean, residual, total)
		t.record.taskFactor.mean = min(max(t.record.taskFactor.mean, minTaskFactor), maxTaskFactor)
	}
}
