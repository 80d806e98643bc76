package slowdown

import (
	"math"
	"slices"

	"samphirepaddle.example/core/model"
)

// Reason says what became of a report.
type Reason string

// The outcomes of a report.
const (
	ReasonUsed          Reason = "used"
	ReasonCollected     Reason = "collected" // kept until the unit of latency is known
	ReasonNotQuick      Reason = "not about quick work"
	ReasonNegative      Reason = "negative amount"
	ReasonInterval      Reason = "impossible interval"
	ReasonFuture        Reason = "from the future"
	ReasonTooOld        Reason = "older than the history"
	ReasonAbsurd        Reason = "absurd latency"
	ReasonUnknownTarget Reason = "unknown target"
)

// Counters counts the reports by outcome.
type Counters struct {
	Used      int
	Collected int
	Discarded map[Reason]int
}

// Counters returns a copy of the counts.
func (m *Model) Counters() Counters {
	out := m.counters
	out.Discarded = make(map[Reason]int, len(m.counters.Discarded))
	for reason, n := range m.counters.Discarded {
		out.Discarded[reason] = n
	}
	return out
}

// Observation is what one report says, normalised.
type Observation struct {
	Reason   Reason
	Load     float64 // of the interval
	Slowdown float64 // measured latency by the estimated no-neighbour latency; zero unless used
	Expected Estimate
}

// term is one neighbour's part in an observation.
type term struct {
	record *taskRecord
	pair   *pair
	share  float64
	mean   float64 // coefficient of the pair
}

// Observe learns from a report that arrived at the time now. Impossible reports are
// discarded and counted.
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

// Check says why a report cannot be true; ReasonUsed if nothing speaks against it.
func (m *Model) Check(report model.UsageReport, now model.Millis) Reason {
	switch {
	case report.Service == "":
		return ReasonNotQuick
	case report.LatencyUs <= 0 || report.Requests <= 0 || report.Used.Negative():
		return ReasonNegative
	case report.ToMs <= report.FromMs || report.ToMs-report.FromMs > m.cfg.MaxIntervalMs:
		return ReasonInterval
	case report.ToMs > now+m.cfg.SkewMs:
		return ReasonFuture
	case report.FromMs < now-m.cfg.HistoryMs:
		return ReasonTooOld
	}
	return ReasonUsed
}

func (m *Model) observe(target model.TargetID, report model.UsageReport, now model.Millis) Observation {
	if reason := m.Check(report, now); reason != ReasonUsed {
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
	if s.unitUs == 0 {
		s.collect(float64(report.LatencyUs), report.ToMs)
		return Observation{Reason: ReasonCollected}
	}
	load := s.load(report, h.slots)
	weights := hat(load)
	measured := float64(report.LatencyUs) / s.unitUs
	if measured > maxRatio*s.baseAt(weights) {
		return Observation{Reason: ReasonAbsurd, Load: load}
	}
	expected := m.learn(s, h, report, weights, measured)
	base := s.baseAt(weights)
	return Observation{Reason: ReasonUsed, Load: load, Slowdown: measured / base, Expected: expected}
}

// collect gathers the first latencies; their median is safe from a few absurd ones.
func (s *service) collect(latencyUs float64, at model.Millis) {
	s.early = append(s.early, latencyUs)
	if len(s.early) < referenceReports {
		return
	}
	slices.Sort(s.early)
	s.start(s.early[referenceReports/2], at)
}

func (s *service) load(report model.UsageReport, slots int32) float64 {
	seconds := float64(report.ToMs-report.FromMs) / 1000
	busy := float64(report.Requests) * s.unitUs / 1e6 / seconds
	return min(busy/float64(max(slots, 1)), 1)
}

// learn applies the Kalman step and returns what was expected before it.
func (m *Model) learn(s *service, h *history, report model.UsageReport, weights [numKnots]float64, measured float64) Estimate {
	m.relax(s, h, report)
	base := s.baseAt(weights)
	expected, total := base, 0.0
	for i, w := range weights {
		total += w * w * s.base[i].variance
	}
	for i := range m.terms {
		t := &m.terms[i]
		mean, variance := s.coefficient(t.record.kind, weights)
		t.mean = mean
		factor := t.record.effect.mean
		expected += t.share * factor * mean
		total += t.share * t.share * (factor*factor*variance + mean*mean*t.record.effect.variance)
	}
	std := math.Sqrt(total)
	total += math.Pow(noiseRatio*max(measured, expected), 2)
	bound := maxDeviations * math.Sqrt(total)
	residual := min(max(measured-expected, -bound), bound)
	m.apply(s, weights, residual, total)
	s.reports++
	if s.reports%64 == 0 {
		s.refreshClassMean()
	}
	return Estimate{Mean: expected / base, Std: std / base}
}

// relax gathers the tasks of the interval and forgets up to its end.
func (m *Model) relax(s *service, h *history, report model.UsageReport) {
	m.terms = m.terms[:0]
	m.gather(s, h.ended, report)
	m.gather(s, h.running, report)
}

func (m *Model) gather(s *service, records []*taskRecord, report model.UsageReport) {
	for _, r := range records {
		share := r.share(report.FromMs, report.ToMs)
		if share <= 0 {
			continue
		}
		p := s.pair(r.kind, report.ToMs)
		for i := range p.cells {
			p.cells[i].relax(s.classMean[i], pairVariance, report.ToMs, m.cfg.HalfLifeMs)
		}
		r.effect.relax(1, effectVariance, report.ToMs, effectHalfLife)
		m.terms = append(m.terms, term{record: r, pair: p, share: share})
	}
}

// apply distributes the residual over the unknowns by their variance.
func (m *Model) apply(s *service, weights [numKnots]float64, residual, total float64) {
	for i, w := range weights {
		s.base[i].update(w, residual, total)
	}
	for _, t := range m.terms {
		factor := t.record.effect.mean
		for i, w := range weights {
			c := &t.pair.cells[i]
			c.update(w*t.share*factor, residual, total)
			c.mean = max(c.mean, 0)
		}
		t.pair.reports++
		t.record.effect.update(t.share*t.mean, residual, total)
		t.record.effect.mean = min(max(t.record.effect.mean, minEffect), maxEffect)
	}
}
