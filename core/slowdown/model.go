// Package slowdown estimates how much each class of batch work slows each service, from usage
// reports that arrive late. A report is attributed to the tasks that ran during the interval
// that it covers, not to those that run when it arrives.
//
// The latency of a service on a target is modelled as a baseline latency, which applies
// without batch tasks on the target, plus one term for each batch task there. The term is the
// coefficient of the pair (service, batch class) at the present load, times a factor of the
// individual task, times its throttle level. Each parameter is a Gaussian estimate that is
// updated by a Kalman filter with a diagonal covariance matrix, so the time to process a
// report is linear in the number of tasks on the target.
//
// The batch class of a task is its kind; parameters and fields of this package call it kind.
package slowdown

import (
	"cmp"
	"math"
	"slices"

	"samphirepaddle.example/core/model"
)

// Config sets which reports the model accepts and how long it uses them. Zero fields take the
// defaults.
type Config struct {
	HistoryMs      model.Millis // greatest age of a report that is used; default 10 minutes
	MaxClockSkewMs model.Millis // how far in the future the interval of a report may end; default 500 ms
	HalfLifeMs     model.Millis // half-life with which a pair's estimates decay towards the prior; default 15 minutes
	MaxIntervalMs  model.Millis // longest interval of a report; default 5 minutes
}

const (
	defaultHistoryMs      = model.Millis(10 * 60 * 1000)
	defaultMaxClockSkewMs = model.Millis(500)
	defaultHalfLifeMs     = model.Millis(15 * 60 * 1000)
	defaultMaxIntervalMs  = model.Millis(5 * 60 * 1000)

	initialReports    = 9    // number of reports whose median latency becomes the reference latency of a service
	maxLatencyRatio   = 60.0 // latencies above this multiple of the baseline latency are discarded as implausible
	reportNoise       = 0.06 // standard deviation of the mean latency in a report, as a fraction of it
	maxDeviations     = 4.0  // residuals are clipped at this number of standard deviations to limit the effect of outliers
	basePriorVariance = 0.04 // prior variance of the baseline latency, in reference latencies squared
	pairPriorMean     = 0.15 // prior mean of the slowdown that a task of a class adds
	pairPriorVariance = 0.04 // prior variance of the slowdown that a task of a class adds
)

// Estimate is the mean and standard deviation of a slowdown: either a factor, which is 1 for
// no slowdown, or the part of the factor that a task adds, which is 0 for none.
type Estimate struct {
	Mean float64
	Std  float64
}

// Upper returns the mean plus z standard deviations.
func (e Estimate) Upper(z float64) float64 {
	return e.Mean + z*e.Std
}

// pair holds the coefficients of one (service, batch class) pair, one for each knot.
type pair struct {
	coefficients [numKnots]gaussian
	reports      int
}

// service holds the estimates of one service.
type service struct {
	initialLatencies []float64          // reported before referenceUs is set, microseconds
	referenceUs      float64            // unit of the latency estimates, microseconds; zero until it is set
	base             [numKnots]gaussian // baseline latency at each knot, in units of referenceUs
	pairs            map[string]*pair
	classMean        [numKnots]float64 // precision-weighted mean of the pairs' coefficients; prior mean of each pair
	reports          int
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
	cfg.MaxClockSkewMs = cmp.Or(cfg.MaxClockSkewMs, defaultMaxClockSkewMs)
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
		s.classMean[i] = pairPriorMean
	}
	return s
}

func (s *service) initialize(referenceUs float64, now model.Millis) {
	s.referenceUs = referenceUs
	s.initialLatencies = nil
	for i := range s.base {
		s.base[i] = gaussian{mean: 1, variance: basePriorVariance, at: now}
	}
}

func (s *service) pair(kind string, now model.Millis) *pair {
	p := s.pairs[kind]
	if p == nil {
		p = &pair{}
		for i := range p.coefficients {
			p.coefficients[i] = gaussian{mean: s.classMean[i], variance: pairPriorVariance, at: now}
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

// refreshClassMean recomputes the mean of the coefficients over all classes, weighted by
// precision.
func (s *service) refreshClassMean() {
	const priorWeight = 1 / pairPriorVariance
	kinds := make([]string, 0, len(s.pairs))
	for kind := range s.pairs {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds) // a fixed order of summation makes the rounding reproducible
	for i := range s.classMean {
		sum, weight := priorWeight*pairPriorMean, priorWeight
		for _, kind := range kinds {
			c := s.pairs[kind].coefficients[i]
			w := 1 / (c.variance + pairPriorVariance)
			sum += w * c.mean
			weight += w
		}
		s.classMean[i] = sum / weight
	}
}

// coefficient returns the mean and variance of the latency that a class adds, interpolated
// with the given weights. A class without reports has the mean over all classes with the
// prior variance.
func (s *service) coefficient(kind string, weights [numKnots]float64) (mean, variance float64) {
	p := s.pairs[kind]
	for i, w := range weights {
		if p == nil {
			mean += w * s.classMean[i]
			variance += w * w * pairPriorVariance
			continue
		}
		mean += w * p.coefficients[i].mean
		variance += w * w * p.coefficients[i].variance
	}
	return max(mean, 0), variance
}

// loadView holds the values of a service at one load, which are the same for all tasks.
type loadView struct {
	service *service // nil if the service has no estimates yet
	weights [numKnots]float64
	base    float64 // baseline latency
}

func (m *Model) loadView(id model.ServiceID, load float64) loadView {
	s := m.services[id]
	if s == nil || s.referenceUs == 0 {
		return loadView{}
	}
	weights := interpolationWeights(load)
	return loadView{service: s, weights: weights, base: s.baseAt(weights)}
}

// added returns the mean and variance of the slowdown that an average task of a class adds.
func (v *loadView) added(kind string) (mean, variance float64) {
	if v.service == nil {
		return pairPriorMean, pairPriorVariance
	}
	mean, variance = v.service.coefficient(kind, v.weights)
	return mean / v.base, variance / (v.base * v.base)
}

// task returns the mean and variance of the slowdown that one task adds at a throttle level.
func (v *loadView) task(r *taskRecord, level float64) (mean, variance float64) {
	mean, variance = v.added(r.kind)
	factor := max(r.taskFactor.mean, minTaskFactor)
	variance = factor*factor*variance + mean*mean*r.taskFactor.variance
	return mean * factor * level, variance * level * level
}

// AddedSlowdown returns the slowdown that an average task of a class adds to a service at a load.
func (m *Model) AddedSlowdown(id model.ServiceID, kind string, load float64) Estimate {
	v := m.loadView(id, load)
	mean, variance := v.added(kind)
	return Estimate{Mean: mean, Std: math.Sqrt(variance)}
}

// Predict returns the slowdown of a service on a target by the tasks that run there, at their
// present throttle levels. An unknown target counts as one without tasks.
func (m *Model) Predict(target model.TargetID, id model.ServiceID, load float64) Estimate {
	return m.predict(target, id, load, false)
}

// PredictUnthrottled is like Predict, but as if no task were throttled. Placement uses it so that
// throttles on a target do not attract more tasks to it.
func (m *Model) PredictUnthrottled(target model.TargetID, id model.ServiceID, load float64) Estimate {
	return m.predict(target, id, load, true)
}

func (m *Model) predict(target model.TargetID, id model.ServiceID, load float64, unthrottled bool) Estimate {
	sum, variance := 1.0, 0.0
	h := m.targets[target]
	if h == nil {
		return Estimate{Mean: 1}
	}
	v := m.loadView(id, load)
	for _, r := range h.running {
		level := 1.0
		if !unthrottled {
			level = r.level()
		}
		added, uncertainty := v.task(r, level)
		sum += added
		variance += uncertainty
	}
	return Estimate{Mean: sum, Std: math.Sqrt(variance)}
}

// Contribution is the contribution of one task to the slowdown of a service.
type Contribution struct {
	Attempt       model.AttemptID
	Kind          string
	Level         float64  // present throttle level
	AddedSlowdown Estimate // slowdown that the task adds at the present level
}

// Contributions returns the contribution of each task that runs on the target, the largest first.
func (m *Model) Contributions(target model.TargetID, id model.ServiceID, load float64) []Contribution {
	h := m.targets[target]
	if h == nil {
		return nil
	}
	var out []Contribution
	v := m.loadView(id, load)
	for _, r := range h.running {
		mean, variance := v.task(r, r.level())
		added := Estimate{Mean: mean, Std: math.Sqrt(variance)}
		out = append(out, Contribution{Attempt: r.attempt, Kind: r.kind, Level: r.level(), AddedSlowdown: added})
	}
	slices.SortStableFunc(out, func(a, b Contribution) int { return cmp.Compare(b.AddedSlowdown.Mean, a.AddedSlowdown.Mean) })
	return out
}

// BaseLatencyUs returns the estimated baseline latency of a service at a load in microseconds,
// or zero if there is no estimate yet.
func (m *Model) BaseLatencyUs(id model.ServiceID, load float64) float64 {
	s := m.services[id]
	if s == nil || s.referenceUs == 0 {
		return 0
	}
	return s.referenceUs * s.baseAt(interpolationWeights(load))
}
