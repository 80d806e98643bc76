// Package fake is a seeded fake of the workers of one site, for measuring the decisions.
//
// It hides what the scheduler cannot see: the matrix of slowdowns per (service, batch
// class), which changes with load and drifts; noisy tasks in waves; true sizes; workers
// that fail everything and jobs that fail everywhere. The scheduler sees only
// announcements, ends of tasks, and usage reports, which are late, missing or impossible.
// Time advances in steps of one second.
package fake

import "samphirepaddle.example/core/model"

// Site is the shape of one site.
type Site struct {
	Name        string
	Workers     int
	RackSize    int
	Zones       []model.Zone
	Capacity    model.Resources
	KeptSlots   int32 // slots that batch work may not take
	Weights     model.Weights
	MaxSlowdown float64 // the site's bound on the slowdown of quick work
	Gateways    int     // entry VMs that own the workers
}

// SobreAndino weighs tail latency first, then batch throughput.
func SobreAndino() Site {
	return Site{
		Name:        "sobre-andino",
		Workers:     50,
		RackSize:    8,
		Zones:       []model.Zone{"sierra-quito", "sierra-ambato", "sierra-cuenca"},
		Capacity:    model.Resources{Slots: 8, Connections: 64, CPUMillis: 64_000, MemoryMiB: 250 << 10},
		KeptSlots:   2,
		Weights:     model.Weights{TailLatency: 6, Throughput: 3, Evictions: 1},
		MaxSlowdown: 1.5,
		Gateways:    9,
	}
}

// Tamworth weighs evictions first, then tail latency.
func Tamworth() Site {
	return Site{
		Name:        "tamworth",
		Workers:     65,
		RackSize:    11,
		Zones:       []model.Zone{"tamworth", "lichfield", "nuneaton"},
		Capacity:    model.Resources{Slots: 8, Connections: 64, CPUMillis: 16_000, MemoryMiB: 60 << 10},
		KeptSlots:   2,
		Weights:     model.Weights{TailLatency: 3, Throughput: 1, Evictions: 6},
		MaxSlowdown: 1.5,
		Gateways:    9,
	}
}

// Pool is the pool of workers of every fake site.
const Pool = model.PoolID("pool")

const (
	numServices = 2
	numKinds    = 6
	numTenants  = 4

	runSeconds    = 1500
	warmUpSeconds = 300 // not measured: every policy starts without data

	samplesPerWorker = 4   // quick requests drawn per worker and second at full load
	sampleWeight     = 3.0 // requests that one drawn request stands for
	stepMs           = model.Millis(1000)
)

// services of a site, with the no-neighbour latency of one request.
var services = [numServices]struct {
	id     model.ServiceID
	baseUs float64
}{{"checks", 20_000}, {"labels", 35_000}}

// deadlineFactor is the deadline of a quick request, as a multiple of its service's base latency.
const deadlineFactor = 4.0

// kindSpec is the hidden truth about one batch class.
type kindSpec struct {
	name          string
	cpu, memory   float64 // mean part of a worker's capacity
	runSeconds    float64
	checkpoint    bool // a task can be checkpointed
	accelerators  int32
	added         [numServices]float64 // slowdown that one task adds at no load
	slope         [numServices]float64 // growth of that up to full load
	addedAfter    [numServices]float64 // after the drift
	checkpointSec float64
}
