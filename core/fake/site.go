// Package fake is a seeded simulation of the workers of one site, for measuring scheduling
// decisions.
//
// It models state that the scheduler cannot observe: the matrix of slowdowns per (service, batch
// class), which depends on the load and drifts; waves of noisy tasks, which add more slowdown than
// usual; the true sizes of jobs; workers on which every task fails and jobs that fail on every
// worker. The scheduler receives only announcements, ends of tasks, and usage reports, some of
// which are late, missing or invalid. Time advances in steps of one second.
package fake

import "samphirepaddle.example/core/model"

// Site is the configuration of one site.
type Site struct {
	Name        string
	Workers     int
	RackSize    int
	Zones       []model.Zone
	Capacity    model.Resources
	KeptSlots   int32 // slots per worker that are reserved for quick work
	Weights     model.Weights
	MaxSlowdown float64 // maximum acceptable slowdown of quick work
	Gateways    int     // number of gateways that own the workers
}

// SobreAndino returns a site that weights tail latency highest, then batch throughput.
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

// Tamworth returns a site that weights evictions highest, then tail latency.
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

// Pool is the pool of the workers of every site.
const Pool = model.PoolID("pool")

const (
	numServices = 2
	numKinds    = 6
	numTenants  = 4

	runSeconds    = 1500
	warmUpSeconds = 300 // excluded from the results, because every policy starts without data

	samplesPerWorker = 4   // simulated quick requests per worker and second at load 1
	sampleWeight     = 3.0 // requests that one simulated request represents
	stepMs           = model.Millis(1000)
)

// services are the quick services of a site. baseUs is the latency of a request on a worker
// without batch tasks, in microseconds.
var services = [numServices]struct {
	id     model.ServiceID
	baseUs float64
}{{"checks", 20_000}, {"labels", 35_000}}

// deadlineFactor is the deadline of a quick request, as a multiple of its service's base latency.
const deadlineFactor = 4.0

// kindSpec holds the true properties of one batch class, which the scheduler cannot observe.
type kindSpec struct {
	name            string
	cpu, memory     float64 // mean fraction of a worker's capacity
	runSeconds      float64
	checkpoint      bool // whether its tasks can be checkpointed
	accelerators    int32
	addedSlowdown   [numServices]float64 // slowdown that one task adds at load 0
	loadSlope       [numServices]float64 // relative increase of the added slowdown per unit of load
	addedAfterDrift [numServices]float64 // addedSlowdown after the drift
	checkpointSec   float64
}
