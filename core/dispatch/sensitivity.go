package dispatch

import (
	"slices"

	"samphirepaddle.example/core/model"
)

// sensitivity describes how serving tasks of one image react to best-effort tasks: the tail
// latency without load, and an interference coefficient for each best-effort image. The
// coefficients and their covariance are updated as in a Kalman filter, so that a prediction error
// is attributed mainly to the coefficients with the highest variance.
type sensitivity struct {
	baseTail     float64        // lowest tail latency seen, in milliseconds; 0 before the first sample
	images       map[string]int // index of a best-effort image in the slices below
	coefficients []float64
	covariance   [][]float64
	samples      []int          // number of samples that updated each coefficient
	lastSeenAt   []model.Millis // when each best-effort image last ran beside a serving task of this image
	updatedAt    model.Millis   // time of the last sample
}

// Variances of the model, in squares of utilization or of coefficients.
const (
	priorVariance            = 0.6    // of a coefficient before any sample; coefficients are near 0 or between 0.6 and 2.2
	coefficientDriftVariance = 0.0004 // of a coefficient, per second; coefficients hardly change
	sampleVariance           = 0.0036 // of one sample, whose standard deviation is 0.06
	loadDriftVariance        = 0.010  // of a job's load, per second; it changes by up to 0.13 per second
	initialLoadVariance      = 0.02   // of a job's load after its first sample
)

// maxImages bounds the number of serving images in the model and the number of best-effort images
// for each of them. Callers choose the image names, so their number is not otherwise limited; a
// site has about ten.
const maxImages = 64

func newSensitivity(now model.Millis) *sensitivity {
	return &sensitivity{images: map[string]int{}, updatedAt: now}
}

// indexOf returns the index of a best-effort image and marks it as seen. If the limit of images is
// reached, a new one replaces the least recently seen.
func (s *sensitivity) indexOf(image string, now model.Millis) int {
	i, ok := s.images[image]
	if !ok {
		i = len(s.coefficients)
		if i == maxImages {
			i = s.evictOldest()
		} else {
			s.grow()
		}
		s.images[image] = i
		s.reset(i)
	}
	s.lastSeenAt[i] = now
	return i
}

// evictOldest removes the least recently seen image and returns its index for reuse.
func (s *sensitivity) evictOldest() int {
	i := slices.Index(s.lastSeenAt, slices.Min(s.lastSeenAt))
	for image, index := range s.images {
		if index == i {
			delete(s.images, image)
		}
	}
	return i
}

// grow extends the slices by one coefficient.
func (s *sensitivity) grow() {
	for i := range s.covariance {
		s.covariance[i] = append(s.covariance[i], 0)
	}
	s.coefficients = append(s.coefficients, 0)
	s.samples = append(s.samples, 0)
	s.lastSeenAt = append(s.lastSeenAt, 0)
	s.covariance = append(s.covariance, make([]float64, len(s.coefficients)))
}

// reset sets a coefficient to the default with the prior variance.
func (s *sensitivity) reset(i int) {
	s.coefficients[i], s.samples[i] = defaultCoefficient, 0
	for j := range s.covariance {
		s.covariance[i][j], s.covariance[j][i] = 0, 0
	}
	s.covariance[i][i] = priorVariance
}

// addDrift increases the variances of the coefficients for the time since the last sample.
func (s *sensitivity) addDrift(now model.Millis) {
	growth := coefficientDriftVariance * float64(max(0, now-s.updatedAt)) / 1000
	for i := range s.covariance {
		s.covariance[i][i] = min(priorVariance, s.covariance[i][i]+growth)
	}
	s.updatedAt = now
}

// expectedInterference returns the utilization that best-effort tasks are expected to add, its
// variance, and its covariance with each coefficient.
func (s *sensitivity) expectedInterference(uses []imageUse) (expected, variance float64, crossCovariance []float64) {
	crossCovariance = make([]float64, len(s.coefficients))
	for _, u := range uses {
		j := s.images[u.image]
		expected += s.coefficients[j] * u.share
		for i := range crossCovariance {
			crossCovariance[i] += s.covariance[i][j] * u.share
		}
	}
	for _, u := range uses {
		variance += crossCovariance[s.images[u.image]] * u.share
	}
	return expected, max(0, variance), crossCovariance
}

// correct updates the coefficients and their covariance by a residual with the given variance.
func (s *sensitivity) correct(uses []imageUse, residual, residualVariance float64, crossCovariance []float64) {
	for i := range s.coefficients {
		gain := crossCovariance[i] / residualVariance
		s.coefficients[i] = min(maxCoefficient, max(minCoefficient, s.coefficients[i]+gain*residual))
		for j := range crossCovariance {
			s.covariance[i][j] -= gain * crossCovariance[j]
		}
	}
	for _, u := range uses {
		s.samples[s.images[u.image]]++
	}
}
