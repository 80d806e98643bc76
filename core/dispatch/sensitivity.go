package dispatch

import (
	"slices"

	"samphirepaddle.example/core/model"
)

// sensitivity is what is known of the serving tasks of one image: their tail without load, and
// a coefficient for each filling image, with the uncertainty of all of them together. The
// coefficients are corrected as a Kalman filter does, so that a miss is blamed on what is least
// certain.
type sensitivity struct {
	base         float64        // least tail seen, in milliseconds; 0 before any figure
	images       map[string]int // index of a filling image in the slices
	coefficients []float64
	covariance   [][]float64
	figures      []int          // that a coefficient was corrected by
	usedAt       []model.Millis // when the image was beside a task last
	at           model.Millis   // of the last figure
}

// Uncertainty of the model, in squares of utilisation or of coefficients.
const (
	priorVariance  = 0.6    // of a coefficient before any figure: pairs turn out near 0 or between 0.6 and 2.2
	driftVariance  = 0.0004 // a second, of a coefficient; they hardly change
	figureVariance = 0.0036 // of one figure, which is rough by 0.06
	loadVariance   = 0.010  // a second, of a job's load, which rises and falls by up to 0.13 a second
	startVariance  = 0.02   // of the load after a job's first figure
)

// mostImages bounds the images that are remembered, of each kind. Callers choose the names; a
// site has about ten.
const mostImages = 64

func newSensitivity(now model.Millis) *sensitivity {
	return &sensitivity{images: map[string]int{}, at: now}
}

// indexOf returns the index of a filling image. A new one takes the place of the one that was
// seen longest ago if there are too many.
func (s *sensitivity) indexOf(filling string, now model.Millis) int {
	i, ok := s.images[filling]
	if !ok {
		i = len(s.coefficients)
		if i == mostImages {
			i = s.leastRecent()
		} else {
			s.grow()
		}
		s.images[filling] = i
		s.reset(i)
	}
	s.usedAt[i] = now
	return i
}

// leastRecent forgets the image that was seen longest ago and returns its index.
func (s *sensitivity) leastRecent() int {
	i := slices.Index(s.usedAt, slices.Min(s.usedAt))
	for image, index := range s.images {
		if index == i {
			delete(s.images, image)
		}
	}
	return i
}

// grow makes room for one more coefficient.
func (s *sensitivity) grow() {
	for i := range s.covariance {
		s.covariance[i] = append(s.covariance[i], 0)
	}
	s.coefficients = append(s.coefficients, 0)
	s.figures = append(s.figures, 0)
	s.usedAt = append(s.usedAt, 0)
	s.covariance = append(s.covariance, make([]float64, len(s.coefficients)))
}

// reset makes a coefficient unknown.
func (s *sensitivity) reset(i int) {
	s.coefficients[i], s.figures[i] = unknownPair, 0
	for j := range s.covariance {
		s.covariance[i][j], s.covariance[j][i] = 0, 0
	}
	s.covariance[i][i] = priorVariance
}

// drift lets the uncertainty grow with time.
func (s *sensitivity) drift(now model.Millis) {
	grown := driftVariance * float64(max(0, now-s.at)) / 1000
	for i := range s.covariance {
		s.covariance[i][i] = min(priorVariance, s.covariance[i][i]+grown)
	}
	s.at = now
}

// pressureOf returns how much the neighbours are expected to press, and the variance of that.
// spread is, for each coefficient, its covariance with the result.
func (s *sensitivity) pressureOf(uses []imageUse) (expected, variance float64, spread []float64) {
	spread = make([]float64, len(s.coefficients))
	for _, u := range uses {
		j := s.images[u.image]
		expected += s.coefficients[j] * u.share
		for i := range spread {
			spread[i] += s.covariance[i][j] * u.share
		}
	}
	for _, u := range uses {
		variance += spread[s.images[u.image]] * u.share
	}
	return expected, max(0, variance), spread
}

// correct blames a share of a miss, whose variance is total, on the coefficients.
func (s *sensitivity) correct(uses []imageUse, miss, total float64, spread []float64) {
	for i := range s.coefficients {
		gain := spread[i] / total
		s.coefficients[i] = min(maxPair, max(minPair, s.coefficients[i]+gain*miss))
		for j := range spread {
			s.covariance[i][j] -= gain * spread[j]
		}
	}
	for _, u := range uses {
		s.figures[s.images[u.image]]++
	}
}
