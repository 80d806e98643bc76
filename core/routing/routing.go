// Package routing chooses the target of a quick request and checks whether the request can
// meet its deadline there.
package routing

import (
	"math"

	"samphirepaddle.example/core/model"
)

// Candidate is a target that may run a quick request.
type Candidate struct {
	Target   model.TargetID
	Slots    float64 // slots that batch work does not hold
	Busy     float64 // slots that quick requests hold at present
	Slowdown float64 // predicted slowdown of the service on the target, 1 for none
}

// Choose returns the index of the candidate with the lowest cost, or -1 if no candidate has
// slots.
func Choose(candidates []Candidate) int {
	best, bestCost := -1, math.Inf(1)
	for i, c := range candidates {
		if c.Slots <= 0 {
			continue
		}
		if cost := Cost(c); cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// Cost returns the predicted response time, waiting time included, as a multiple of the
// service time on a target without batch tasks. The waiting time is Sakasegawa's
// approximation of an M/M/c queue.
func Cost(c Candidate) float64 {
	utilization := min(c.Busy/c.Slots, maxUtilization)
	if utilization <= 0 {
		return c.Slowdown
	}
	relativeWait := math.Pow(utilization, math.Sqrt(2*(c.Slots+1))-1) / (c.Slots * (1 - utilization))
	return c.Slowdown * (1 + relativeWait)
}

// maxUtilization caps the utilization in Cost, because the approximated waiting time is infinite if
// all slots are busy.
const maxUtilization = 0.95

// DeadlineCheck is the input of MeetsDeadline.
type DeadlineCheck struct {
	RemainingMs  float64 // time until the caller's deadline
	NetworkMs    float64 // round trip to the target and back to the caller
	ServiceMs    float64 // service time on a target without batch tasks; zero if not known yet
	Slowdown     float64 // predicted slowdown on the chosen target
	Queued       int     // requests that wait ahead of this one
	ServingSlots float64 // slots that serve the queue
}

// MeetsDeadline reports whether a request can meet its deadline, and its expected response
// time. An unknown service time counts as zero.
func MeetsDeadline(d DeadlineCheck) (ok bool, expectedMs float64) {
	service := d.ServiceMs * max(d.Slowdown, 1)
	expectedMs = d.NetworkMs + service
	if d.Queued > 0 {
		expectedMs += float64(d.Queued) * service / max(d.ServingSlots, 1)
	}
	return expectedMs <= d.RemainingMs, expectedMs
}
