package dispatch

import (
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
)

// InterferenceModel estimates how best-effort tasks raise the tail latency of serving tasks on the
// same worker. The tail latency of a serving task is modelled as baseTail / (1 - utilization). The
// utilization is the load of the task's job plus, for each best-effort task on the worker, the
// coefficient of the pair of images times the share of the worker's cores that the task uses.
//
// The load is common to all tasks of a serving job and changes slowly; coefficients hardly change.
// The residual of each sample corrects the load and the coefficients in proportion to their
// variances. The load is not extrapolated: within the half second that a sample covers, it changes by
// at most 0.06, and a trend computed from samples with this noise would be mostly noise.
type InterferenceModel struct {
	images      map[string]*sensitivity     // by image of the serving task
	jobLoads    map[workflow.JobID]*jobLoad // by serving job
	lastSamples map[workflow.TaskKey]sample
	endedJobs   bool // jobs that had ended may have got samples since the last call of Forget
}

// sample is the last latency sample of a serving task and its residual.
type sample struct {
	tail            model.Millis
	bestEffortShare float64 // of the worker's cores, used by best-effort tasks
	residual        float64 // observed minus predicted utilization
}

// jobLoad is the estimated load of a serving job: the utilization of its tasks without
// interference.
type jobLoad struct {
	estimate  float64
	variance  float64
	updatedAt model.Millis
}

// Bounds of the model.
const (
	defaultCoefficient = 0.8  // before any sample; coefficients turn out near 0 or between 0.6 and 2.2
	maxCoefficient     = 4.0  // upper bound of an estimate
	minCoefficient     = -0.1 // lower bound of an estimate; below 0, so that noise around 0 averages out
	maxUtilization     = 0.95 // reached at 20 times the base tail latency; higher latencies carry no more information
	maxLoad            = 0.90
	defaultLoad        = 0.45 // of a job without a sample
	minTailMs          = 1.0
	residualWeight     = 0.4 // weight of the last residual in the next prediction; below 1, because a single sample is noisy
)

// NewInterferenceModel returns a model without samples.
func NewInterferenceModel() *InterferenceModel {
	return &InterferenceModel{
		images: map[string]*sensitivity{}, jobLoads: map[workflow.JobID]*jobLoad{}, lastSamples: map[workflow.TaskKey]sample{},
	}
}

// coefficient returns the estimated coefficient of a pair of images: the utilization that a
// best-effort task adds to a serving task, divided by its share of the worker's cores.
func (m *InterferenceModel) coefficient(serving, bestEffort string) float64 {
	if s := m.images[serving]; s != nil {
		if i, ok := s.images[bestEffort]; ok {
			return max(0, s.coefficients[i])
		}
	}
	return defaultCoefficient
}

// sensitivityOf returns the sensitivity of a serving image and adds it if it is new. At the limit
// of images, the one whose last sample is the oldest is removed.
func (m *InterferenceModel) sensitivityOf(image string, now model.Millis) *sensitivity {
	s := m.images[image]
	if s != nil {
		return s
	}
	if len(m.images) >= maxImages {
		oldest := ""
		for name, known := range m.images {
			if oldest == "" || known.updatedAt < m.images[oldest].updatedAt || (known.updatedAt == m.images[oldest].updatedAt && name < oldest) {
				oldest = name
			}
		}
		delete(m.images, oldest)
	}
	s = newSensitivity(now)
	m.images[image] = s
	return s
}

// baseTail returns the lowest tail latency seen of a serving image, in milliseconds.
func (m *InterferenceModel) baseTail(image string) (tail float64, known bool) {
	s := m.images[image]
	if s == nil || s.baseTail == 0 {
		return 0, false
	}
	return s.baseTail, true
}

// utilization returns the utilization that explains a tail latency.
func (m *InterferenceModel) utilization(image string, tail model.Millis) float64 {
	baseTail, ok := m.baseTail(image)
	if !ok || tail <= 0 {
		return defaultLoad
	}
	return min(maxUtilization, max(0, 1-baseTail/float64(tail)))
}

// utilizationLimit returns the utilization at which the tail latency reaches its target.
func (m *InterferenceModel) utilizationLimit(step *workflow.StepSpec) float64 {
	baseTail, ok := m.baseTail(step.Image)
	if !ok {
		baseTail = float64(step.TailTargetMs) / defaultTargetRatio
	}
	return max(0.2, min(maxUtilization, 1-baseTail/float64(step.TailTargetMs)))
}

// defaultTargetRatio is the assumed ratio of latency target to base tail before any sample.
const defaultTargetRatio = 4.0

// loadOf returns the estimated load of a serving job.
func (m *InterferenceModel) loadOf(job workflow.JobID) float64 {
	if l := m.jobLoads[job]; l != nil {
		return l.estimate
	}
	return defaultLoad
}

// Observe updates the model with the new latency samples of one worker.
func (m *InterferenceModel) Observe(now model.Millis, w *Worker) {
	uses := imageUses(w)
	bestEffortShare := 0.0
	for _, u := range uses {
		bestEffortShare += u.share
	}
	for i := range w.Allocations {
		r := &w.Allocations[i]
		if !hasValidSample(r) {
			continue
		}
		last, ok := m.lastSamples[r.Attempt.Task]
		if ok && last.tail == r.TailMs && last.bestEffortShare == bestEffortShare {
			continue // same sample as before
		}
		s := m.sensitivityOf(r.Step.Image, now)
		if tail := max(minTailMs, float64(r.TailMs)); s.baseTail == 0 || tail < s.baseTail {
			s.baseTail = tail
		}
		m.endedJobs = m.endedJobs || r.Ended
		m.lastSamples[r.Attempt.Task] = sample{r.TailMs, bestEffortShare, m.update(now, r, uses, s)}
	}
}

// hasValidSample reports whether the allocation is that of a serving task that has finished its
// startup and has a latency sample. A task serves no requests during its startup.
func hasValidSample(r *Allocation) bool {
	return r.Step.Serving() && r.Listed && r.TailMs > 0 && r.Percent >= 100
}

// update corrects the load of the job and the coefficients by a new sample and returns the
// residual.
func (m *InterferenceModel) update(now model.Millis, r *Allocation, uses []imageUse, s *sensitivity) float64 {
	for _, u := range uses {
		s.indexOf(u.image, now)
	}
	s.addDrift(now)
	expected, variance, crossCovariance := s.expectedInterference(uses)
	utilization := m.utilization(r.Step.Image, r.TailMs)
	l := m.jobLoads[r.Attempt.Task.Job]
	if l == nil {
		l = &jobLoad{estimate: min(maxLoad, max(0, utilization-expected)), variance: initialLoadVariance, updatedAt: now}
		m.jobLoads[r.Attempt.Task.Job] = l
	}
	l.variance += loadDriftVariance * float64(max(0, now-l.updatedAt)) / 1000
	l.updatedAt = now
	residual := utilization - l.estimate - expected
	residualVariance := variance + l.variance + sampleVariance
	gain := l.variance / residualVariance
	l.estimate = min(maxLoad, max(0, l.estimate+gain*residual))
	l.variance *= 1 - gain
	s.correct(uses, residual, residualVariance, crossCovariance)
	return residual
}

// HasEndedJobs reports whether jobs that had ended may have got samples since the last call of Forget.
func (m *InterferenceModel) HasEndedJobs() bool { return m.endedJobs }

// Forget removes loads and samples of jobs that are not live.
func (m *InterferenceModel) Forget(live func(workflow.JobID) bool) {
	m.endedJobs = false
	for job := range m.jobLoads {
		if !live(job) {
			delete(m.jobLoads, job)
		}
	}
	for key := range m.lastSamples {
		if !live(key.Job) {
			delete(m.lastSamples, key)
		}
	}
}

// imageUse is the share of a worker's cores that the best-effort tasks of one image use together.
type imageUse struct {
	image string
	share float64
}

func imageUses(w *Worker) []imageUse {
	var uses []imageUse
	for i := range w.Allocations {
		r := &w.Allocations[i]
		if !r.bestEffort() || !r.Listed {
			continue
		}
		share := float64(r.CPUUsed) / float64(max(1, w.CPUMillis))
		found := false
		for j := range uses {
			if uses[j].image == r.Step.Image {
				uses[j].share += share
				found = true
			}
		}
		if !found {
			uses = append(uses, imageUse{r.Step.Image, share})
		}
	}
	return uses
}

// bestEffort reports whether the allocation is that of a best-effort task, which may interfere
// with serving tasks.
func (r *Allocation) bestEffort() bool { return r.Step.UsesSpareCPU && !r.Step.LongRunning }

// expectedShare returns the share of the worker's cores that a best-effort task is expected to use
// at a pace in percent. The CPU at full pace is the measured CPU use divided by the present pace,
// but at least half of the declared CPU. Without a measurement it is the declared CPU.
func expectedShare(w *Worker, r *Allocation, pace int) float64 {
	fullPaceCPU := float64(r.Step.CPUMillis)
	if r.CPUUsed > 0 && r.Pace > 0 {
		fullPaceCPU = max(0.5*fullPaceCPU, float64(r.CPUUsed)*100/float64(r.Pace))
	}
	return fullPaceCPU * float64(pace) / 100 / float64(max(1, w.CPUMillis))
}
