// Package sizing estimates the resource needs and run times of batch classes from usage
// reports, because declared values are wrong by up to a factor of ten in either direction. The
// batch class of a task is its kind.
package sizing

import (
	"math"

	"samphirepaddle.example/core/model"
)

const (
	minReports         = 3   // samples of a class that are required before an estimate is used
	stdDevMargin       = 2.0 // standard deviations above the mean that a reservation covers
	minSampleWeight    = 0.1 // lower bound on the weight of a new sample, so that estimates follow changes of the class
	maxPlausibleAmount = 1 << 40
)

// moments is an exponentially weighted mean and variance.
type moments struct {
	n        int
	mean     float64
	variance float64
}

func (m *moments) add(x float64) {
	m.n++
	rate := max(minSampleWeight, 1/float64(m.n))
	delta := x - m.mean
	m.mean += rate * delta
	m.variance = (1 - rate) * (m.variance + rate*delta*delta)
}

func (m *moments) upper() float64 {
	return m.mean + stdDevMargin*math.Sqrt(m.variance)
}

// class holds the estimates of one batch class.
type class struct {
	cpu, memory, connections, accelerators, runTime moments
}

// Model holds the estimates of all batch classes. It is not safe for concurrent use.
type Model struct {
	classes map[string]*class
	// Discarded is the number of discarded reports with invalid amounts or run times.
	Discarded int
}

// New returns a model without estimates.
func New() *Model {
	return &Model{classes: map[string]*class{}}
}

func (m *Model) class(kind string) *class {
	c := m.classes[kind]
	if c == nil {
		c = &class{}
		m.classes[kind] = c
	}
	return c
}

// ObserveUsage updates the estimates from the usage of one task over one interval. It reports
// false if the usage is invalid, for example above the capacity of the target, and was
// discarded.
func (m *Model) ObserveUsage(kind string, used, capacity model.Resources) bool {
	if used.Negative() || !used.Fits(capacity) || used.CPUMillis > maxPlausibleAmount || used.MemoryMiB > maxPlausibleAmount {
		m.Discarded++
		return false
	}
	c := m.class(kind)
	c.cpu.add(float64(used.CPUMillis))
	c.memory.add(float64(used.MemoryMiB))
	c.connections.add(float64(used.Connections))
	c.accelerators.add(float64(used.Accelerators))
	return true
}

// ObserveRunTime updates the run time estimate from a task that ran to its end.
func (m *Model) ObserveRunTime(kind string, took model.Millis) {
	if took <= 0 {
		m.Discarded++
		return
	}
	m.class(kind).runTime.add(float64(took))
}

// ReservationSize returns the resources to reserve for a task of a class: for each resource, the
// greater of the declared amount and the estimate.
func (m *Model) ReservationSize(kind string, declared model.Resources) model.Resources {
	c := m.classes[kind]
	if c == nil || c.cpu.n < minReports {
		return declared
	}
	learned := model.Resources{
		Connections:  int32(math.Round(c.connections.mean)),
		CPUMillis:    int64(math.Ceil(c.cpu.upper())),
		MemoryMiB:    int64(math.Ceil(c.memory.upper())),
		Accelerators: int32(math.Round(c.accelerators.mean)),
	}
	return declared.Max(learned)
}

// RunTime returns the greater of the declared run time and the estimate. Until the class has
// an estimate, known is false, because declared run times alone are unreliable.
func (m *Model) RunTime(kind string, declared model.Millis) (runTime model.Millis, known bool) {
	c := m.classes[kind]
	if c == nil || c.runTime.n < minReports {
		return declared, false
	}
	return max(declared, model.Millis(c.runTime.upper())), true
}
