package slowdown

import (
	"math"

	"samphirepaddle.example/core/model"
)

// knots are the loads at which a coefficient is estimated; between them it is interpolated
// linearly. Load is the fraction of the target's slots that quick work would keep busy without
// batch tasks on the target.
var knots = [...]float64{0, 0.2, 0.6}

const numKnots = len(knots)

// interpolationWeights returns the linear interpolation weight of each knot at a load; the
// weights sum to 1.
func interpolationWeights(load float64) (weights [numKnots]float64) {
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

// gaussian is the normally distributed estimate of one parameter. It decays exponentially
// towards its prior.
type gaussian struct {
	mean     float64
	variance float64
	at       model.Millis // time up to which the decay has been applied
}

// decay moves the estimate towards the prior for the time since the last decay.
func (g *gaussian) decay(priorMean, priorVariance float64, now, halfLife model.Millis) {
	if now <= g.at {
		return
	}
	keep := math.Exp2(-float64(now-g.at) / float64(halfLife))
	g.mean = priorMean + (g.mean-priorMean)*keep
	g.variance = priorVariance + (g.variance-priorVariance)*keep*keep
	g.at = now
}

// update applies the Kalman update of one observation: slope is the derivative of the observation
// with respect to the parameter, residual is the observed minus the expected value, and total is
// the variance of the residual.
func (g *gaussian) update(slope, residual, total float64) {
	gain := g.variance * slope / total
	g.mean += gain * residual
	g.variance *= 1 - gain*slope
}

// taskFactor is the ratio of the slowdown that one task adds to the slowdown that its batch
// class adds.
type taskFactor struct{ gaussian }

const (
	taskFactorVariance = 0.5 // prior; at a standard deviation of 0.7, a noisy task is within three deviations
	taskFactorHalfLife = model.Millis(90_000)
	minTaskFactor      = 0.2
	maxTaskFactor      = 8.0
)

func newTaskFactor(at model.Millis) taskFactor {
	return taskFactor{gaussian{mean: 1, variance: taskFactorVariance, at: at}}
}
