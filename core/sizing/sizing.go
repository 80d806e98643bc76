// Package sizing learns the sizes and run times of batch classes from usage reports,
// because declared ones are wrong by up to ten times in either direction.
package sizing

import (
	"math"

	"samphirepaddle.example/core/model"
)

const (
	minReports     = 3   // tasks of a class before its learned size counts
	spread         = 2.0 // standard deviations above the mean that a reservation covers
	learningRate   = 0.1 // weight of a new task, so that a class that changes is relearned
	maxPerResource = 1 << 40
)

// moments is an exponentially weighted mean and variance.
type moments struct {
	n        int
	mean     float64
	variance float64
}

func (m *moments) add(x float64) {
	m.n++
	rate := max(learningRate, 1/float64(m.n))
	delta := x - m.mean
	m.mean += rate * delta
	m.variance = (1 - rate) * (m.variance + rate*delta*delta)
}

func (m *moments) upper() float64 {
	return m.mean + spread*math.Sqrt(m.variance)
}

// class is what is known about one batch class.
type class struct {
	cpu, memory, connections, accelerators, runTime moments
}

// Model holds the learned sizes. It is not safe for concurrent use.
type Model struct {
	classes map[string]*class
	// Discarded counts reports with impossible amounts.
	Discarded int
}

// New returns a model without data.
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

// ObserveUsage learns from the usage of one task over one interval. The caller passes the
// capacity of the target: usage above it is impossible and is discarded.
func (m *Model) ObserveUsage(kind string, used, capacity model.Resources) bool {
	if used.Negative() || !used.Fits(capacity) || used.CPUMillis > maxPerResource || used.MemoryMiB > maxPerResource {
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

// ObserveRunTime learns from a task that ran to its end.
func (m *Model) ObserveRunTime(kind string, took model.Millis) {
	if took <= 0 {
		m.Discarded++
		return
	}
	m.class(kind).runTime.add(float64(took))
}

// ReservationSize returns the greater of the declared and the learned amount of each resource.
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

// RunTime returns the greater of the declared and the learned run time. A declared run
// time alone is never trusted, so known is false until the class has been learned.
func (m *Model) RunTime(kind string, declared model.Millis) (runTime model.Millis, known bool) {
	c := m.classes[kind]
	if c == nil || c.runTime.n < minReports {
		return declared, false
	}
	return max(declared, model.Millis(c.runTime.upper())), true
}
