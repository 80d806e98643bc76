package slowdown

import (
	"math"

	"samphirepaddle.example/core/model"
)

// knots are the loads at which a coefficient is estimated; it is linear between them.
// Load is the part of the target's slots that quick work would keep busy without neighbours.
var knots = [...]float64{0, 0.2, 0.6}

const numKnots = len(knots)

// hat returns the weight of each knot at a load; the weights sum to 1.
func hat(load float64) (weights [numKnots]float64) {
	if load <= knots[0] {
		weights[0] = 1
		return weights
	}
	for i := 1; i < numKnots; i++ {
		if load <= knots[i] {
			weights[i] = (load - knots[i-1]) / (knots[i] - knots[i-1])
			weights[i-1] = 1 - weights[i]
			return weights
		}
	}
	weights[numKnots-1] = 1
	return weights
}

// cell is a Gaussian estimate that forgets: with time it returns to the prior.
type cell struct {
	mean     float64
	variance float64
	at       model.Millis
}

// relax moves the cell towards the prior over the time since its last update.
func (c *cell) relax(priorMean, priorVariance float64, now, halfLife model.Millis) {
	if now <= c.at {
		return
	}
	keep := math.Exp2(-float64(now-c.at) / float64(halfLife))
	c.mean = priorMean + (c.mean-priorMean)*keep
	c.variance = priorVariance + (c.variance-priorVariance)*keep*keep
	c.at = now
}

// update applies one observation: slope is the derivative of the observation by the cell.
func (c *cell) update(slope, residual, total float64) {
	gain := c.variance * slope / total
	c.mean += gain * residual
	c.variance *= 1 - gain*slope
}

// effect is the factor by which one task interferes more than its class does.
type effect struct{ cell }

const (
	effectVariance = 0.5 // standard deviation 0.7 of the factor: a noisy task is within three of them
	effectHalfLife = model.Millis(90_000)
	minEffect      = 0.2
	maxEffect      = 8.0
)

func newEffect(at model.Millis) effect {
	return effect{cell{mean: 1, variance: effectVariance, at: at}}
}
