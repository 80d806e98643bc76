// Package slowdown estimates how much each class of batch work slows each service, from
// usage reports that arrive late. A report is attributed to the tasks that ran during the
// interval that it covers, not to those that run when it arrives.
//
// The latency of a service on a target is modelled as a no-neighbour latency plus one term
// per neighbour. The term is the coefficient of the pair (service, batch class) at the
// present load, times a factor of the single task, times its throttle level. Each unknown
// is a Gaussian that is updated by a Kalman step with a diagonal covariance, so one report
// costs time in proportion to the neighbours only.
package slowdown

import (
	"cmp"
	"math"
	"slices"

	"samphirepaddle.example/core/model"
)

// Config bounds what the model accepts and remembers. Zero fields take the defaults.
type Config struct {
	HistoryMs     model.Millis // age up to which reports are used; default 10 minutes
	SkewMs        model.Millis // clock difference that is tolerated in reports; default 500 ms
	HalfLifeMs    model.Millis // time in which half of what a pair has learned is forgotten; default 15 minutes
	MaxIntervalMs model.Millis // longest interval of a report; default 5 minutes
}

const (
	defaultHistoryMs     = model.Millis(10 * 60 * 1000)
	defaultSkewMs        = model.Millis(500)
	defaultHalfLifeMs    = model.Millis(15 * 60 * 1000)
	defaultMaxIntervalMs = model.Millis(5 * 60 * 1000)

	referenceReports = 9    // reports whose median sets the unit of latency of a service
	maxRatio         = 60.0 // latencies above this multiple of the no-neighbour latency are absurd
	noiseRatio       = 0.06 // standard deviation of a report's mean latency, as a part of it
	maxDeviations    = 4.0  // residuals are clipped here, so that one outlier moves little
	baseVariance     = 0.04 // prior variance of the no-neighbour latency, in units squared
	pairMean         = 0.15 // added slowdown of a class before any data
	pairVariance     = 0.04 // prior variance of an added slowdown
)

// Estimate is a slowdown factor, 1 for none, with its standard deviation.
type Estimate struct {
	Mean float64
	Std  float64
}

// Upper returns the mean plus z standard deviations.
func (e Estimate) Upper(z float64) float64 {
	return e.Mean + z*e.Std
}

// pair holds the coefficients of one (service, batch class) pair, one per knot of load.
type pair struct {
	cells   [numKnots]cell
	reports int
}

// service holds what is known about one service.
type service struct {
	early     []float64 // latencies seen before the unit is set, microseconds
	unitUs    float64   // latency that counts as 1
	base      [numKnots]cell
	pairs     map[string]*pair
	classMean [numKnots]float64 // precision-weighted mean of the pairs
	reports   int
}

// Model holds the estimates of all services and the history of all targets. It is not safe
// for concurrent use.
type Model struct {
	cfg      Config
	targets  map[model.TargetID]*history
	services map[model.ServiceID]*service
	counters Counters
	terms    []term // reused between reports
}

// New returns an empty model.
func New(cfg Config) *Model {
	cfg.HistoryMs = cmp.Or(cfg.HistoryMs, defaultHistoryMs)
	cfg.SkewMs = cmp.Or(cfg.SkewMs, defaultSkewMs)
	cfg.HalfLifeMs = cmp.Or(cfg.HalfLifeMs, defaultHalfLifeMs)
	cfg.MaxIntervalMs = cmp.Or(cfg.MaxIntervalMs, defaultMaxIntervalMs)
	return &Model{
		cfg:      cfg,
		targets:  map[model.TargetID]*history{},
		services: map[model.ServiceID]*service{},
	}
}

func newService() *service {
	s := &service{pairs: map[string]*pair{}}
	for i := range s.classMean {
		s.classMean[i] = pairMean
	}
	return s
}

func (s *service) start(unitUs float64, now model.Millis) {
	s.unitUs = unitUs
	s.early = nil
	for i := range s.base {
		s.base[i] = cell{mean: 1, variance: baseVariance, at: now}
	}
}

func (s *service) pair(kind string, now model.Millis) *pair {
	p := s.pairs[kind]
	if p == nil {
		p = &pair{}
		for i := range p.cells {
			p.cells[i] = cell{mean: s.classMean[i], variance: pairVariance, at: now}
		}
		s.pairs[kind] = p
	}
	return p
}

func (s *service) baseAt(weights [numKnots]float64) float64 {
	var sum float64
	for i, w := range weights {
		sum += w * s.base[i].mean
	}
	return max(sum, 0.05)
}

// refreshClassMean recomputes the mean over classes, weighted by precision.
func (s *service) refreshClassMean() {
	const priorWeight = 1 / pairVariance
	kinds := make([]string, 0, len(s.pairs))
	for kind := range s.pairs {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds) // a fixed order of summation keeps results identical between runs
	for i := range s.classMean {
		sum, weight := priorWeight*pairMean, priorWeight
		for _, kind := range kinds {
			c := s.pairs[kind].cells[i]
			w := 1 / (c.variance + pairVariance)
			sum += w * c.mean
			weight += w
		}
		s.classMean[i] = sum / weight
	}
}

// coefficient returns the mean and variance of a pair's added latency at a load; an unseen
// pair has the class mean with the variance of the prior.
func (s *service) coefficient(kind string, weights [numKnots]float64) (mean, variance float64) {
	p := s.pairs[kind]
	for i, w := range weights {
		if p == nil {
			mean += w * s.classMean[i]
			variance += w * w * pairVariance
			continue
		}
		mean += w * p.cells[i].mean
		variance += w * w * p.cells[i].variance
	}
	return max(mean, 0), variance
}

// view is a service at one load; it holds what is the same for every task.
type view struct {
	service *service // nil while nothing is known
	weights [numKnots]float64
	base    float64
}

func (m *Model) view(id model.ServiceID, load float64) view {
	s := m.services[id]
	if s == nil || s.unitUs == 0 {
		return view{}
	}
	weights := hat(load)
	return view{service: s, weights: weights, base: s.baseAt(weights)}
}

// added returns the mean and variance of the slowdown that one task of a class adds.
func (v *view) added(kind string) (mean, variance float64) {
	if v.service == nil {
		return pairMean, pairVariance
	}
	mean, variance = v.service.coefficient(kind, v.weights)
	return mean / v.base, variance / (v.base * v.base)
}

// task returns the mean and variance of the slowdown that one task adds at a throttle level.
func (v *view) task(r *taskRecord, level float64) (mean, variance float64) {
	mean, variance = v.added(r.kind)
	factor := max(r.effect.mean, minEffect)
	variance = factor*factor*variance + mean*mean*r.effect.variance
	return mean * factor * level, variance * level * level
}

// AddedSlowdown returns the slowdown that one task of a class adds to a service at a load.
func (m *Model) AddedSlowdown(id model.ServiceID, kind string, load float64) Estimate {
	v := m.view(id, load)
	mean, variance := v.added(kind)
	return Estimate{Mean: mean, Std: math.Sqrt(variance)}
}

// Predict returns the slowdown of a service on a target beside the tasks that run there at
// their present throttle levels. A target that is not known counts as empty.
func (m *Model) Predict(target model.TargetID, id model.ServiceID, load float64) Estimate {
	return m.predict(target, id, load, false)
}

// PredictUnthrottled is Predict as if no task were throttled. Placement uses it, so that it does
// not fill a target whose tasks are throttled.
func (m *Model) PredictUnthrottled(target model.TargetID, id model.ServiceID, load float64) Estimate {
	return m.predict(target, id, load, true)
}

func (m *Model) predict(target model.TargetID, id model.ServiceID, load float64, full bool) Estimate {
	sum, variance := 1.0, 0.0
	h := m.targets[target]
	if h == nil {
		return Estimate{Mean: 1}
	}
	v := m.view(id, load)
	for _, r := range h.running {
		level := 1.0
		if !full {
			level = r.level()
		}
		added, uncertainty := v.task(r, level)
		sum += added
		variance += uncertainty
	}
	return Estimate{Mean: sum, Std: math.Sqrt(variance)}
}

// Contribution is the part that one task has in the slowdown of a service.
type Contribution struct {
	Attempt       model.AttemptID
	Kind          string
	Level         float64  // present throttle level
	AddedSlowdown Estimate // added slowdown at the present level
}

// Contributions returns the tasks that run on the target, the most to blame first.
func (m *Model) Contributions(target model.TargetID, id model.ServiceID, load float64) []Contribution {
	h := m.targets[target]
	if h == nil {
		return nil
	}
	var out []Contribution
	v := m.view(id, load)
	for _, r := range h.running {
		mean, variance := v.task(r, r.level())
		added := Estimate{Mean: mean, Std: math.Sqrt(variance)}
		out = append(out, Contribution{Attempt: r.attempt, Kind: r.kind, Level: r.level(), AddedSlowdown: added})
	}
	slices.SortStableFunc(out, func(a, b Contribution) int { return cmp.Compare(b.AddedSlowdown.Mean, a.AddedSlowdown.Mean) })
	return out
}

// BaseLatencyUs returns the estimated no-neighbour latency at a load, zero while it is unknown.
func (m *Model) BaseLatencyUs(id model.ServiceID, load float64) float64 {
	s := m.services[id]
	if s == nil || s.unitUs == 0 {
		return 0
	}
	return s.unitUs * s.baseAt(hat(load))
}
