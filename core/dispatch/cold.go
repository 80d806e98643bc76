package dispatch

import "samphirepaddle.example/core/model"

// Filling of cold workers, which are slow for some time after their start. A worker that gets its whole share
// of tasks at once is late with all of them.
const (
	coldRamp     = model.Millis(10_000) // remaining cold time at which only minColdShare is filled
	minColdShare = 0.25                 // share of the cores that tasks may take on a cold worker at first
	coldWeight   = 2.0                  // score that separates a cold worker from a warm one
)

// ColdShare returns the share of a worker's cores that tasks may take while it is cold for the given time.
// The share rises steadily, so that a zone that comes back as a whole is filled as it warms up.
func ColdShare(coldFor model.Millis) float64 {
	if coldFor <= 0 {
		return 1
	}
	return max(minColdShare, 1-float64(coldFor)/float64(coldRamp))
}

// coldCPU returns the millicores that are not filled because the worker is cold.
func (w *Worker) coldCPU() int64 {
	if w.ColdFor <= 0 {
		return 0
	}
	return int64((1 - ColdShare(w.ColdFor)) * float64(w.CPUMillis))
}

// coldCost returns what a cold worker loses of its score.
func (c *candidate) coldCost() float64 {
	if c.worker.ColdFor <= 0 {
		return 0
	}
	return coldWeight * (1 - ColdShare(c.worker.ColdFor))
}
