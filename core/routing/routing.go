// Package routing chooses the target of a quick request and refuses early what cannot meet
// its deadline.
package routing

import (
	"math"

	"samphirepaddle.example/core/model"
)

// Candidate is what a gateway knows about one of its targets.
type Candidate struct {
	Target   model.TargetID
	Slots    float64 // slots that batch work leaves to quick work
	Busy     float64 // slots that quick requests hold now
	Slowdown float64 // predicted slowdown of the service there, 1 for none
}

// Choose returns the index of the candidate with the least predicted time in the system, or
// -1 if there is no candidate with a slot.
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

// Cost is the predicted time in the system by the service time without neighbours. The
// waiting time is that of an M/M/c queue in the approximation by Sakasegawa.
func Cost(c Candidate) float64 {
	busy := min(c.Busy/c.Slots, maxUtilisation)
	if busy <= 0 {
		return c.Slowdown
	}
	waiting := math.Pow(busy, math.Sqrt(2*(c.Slots+1))-1) / (c.Slots * (1 - busy))
	return c.Slowdown * (1 + waiting)
}

// maxUtilisation keeps the waiting time finite when all slots are busy.
const maxUtilisation = 0.95

// Deadline is the input of the early refusal.
type Deadline struct {
	LeftMs      float64 // until the caller's deadline
	NetworkMs   float64 // both ways to the target and back to the caller
	ServiceMs   float64 // no-neighbour time of the service; zero if it is not known yet
	Slowdown    float64 // predicted, at the chosen target
	Queued      int     // requests waiting in front of this one
	ServersFree float64 // slots that serve the queue
}

// Meets reports whether a request can still meet its deadline, with the expected time. A
// request whose service time is not known is not refused for it.
func Meets(d Deadline) (ok bool, expectedMs float64) {
	service := d.ServiceMs * max(d.Slowdown, 1)
	expectedMs = d.NetworkMs + service
	if d.Queued > 0 {
		expectedMs += float64(d.Queued) * service / max(d.ServersFree, 1)
	}
	return expectedMs <= d.LeftMs, expectedMs
}
