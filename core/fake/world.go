package fake

import (
	"fmt"
	"math"
	"math/rand/v2"

	"samphirepaddle.example/core/model"
)

// worker is one simulated VM.
type worker struct {
	id       model.TargetID
	zone     model.Zone
	rack     model.Rack
	capacity model.Resources
	gateway  int
	broken   bool // every task on it fails
	lost     bool
	lagSec   float64
	tasks    []*task

	requests  [numServices]int           // simulated in this second
	slowdowns [numServices]float64       // true slowdown in this second, without queueing delay
	windows   [numServices]latencyWindow // since the last report
	offeredUs float64                    // total service time of the requests in this second on a worker without batch tasks, microseconds
}

// latencyWindow accumulates the latencies for the next report.
type latencyWindow struct {
	latencyUs float64
	requests  int
}

// job is a job with its true properties, which the scheduler cannot observe.
type job struct {
	spec          model.JobSpec
	kind          int
	size          model.Resources // true usage
	work          float64         // total seconds at full speed
	savedProgress float64         // seconds at full speed kept from earlier attempts
	failsAll      bool
	// cancelDraws determines whether each wave cancels the job. It is drawn at submission, so that
	// every policy gets the same cancellations.
	cancelDraws [2]float64
	attempts    uint32
	openTask    *task
	ended       bool
}

// task is an open attempt.
type task struct {
	job      *job
	id       model.AttemptID
	worker   *worker
	started  int
	progress float64 // seconds at full speed in this attempt
	level    float64
	noise    float64 // factor on the slowdown that the task adds; 1 if it is not noisy
	noisyTo  int     // second at which the noise ends
	evictAt  int     // second at which a requested eviction completes; 0 if none
	failAt   int     // second at which the task fails; 0 if it does not
}

// delivery is a report in transit.
type delivery struct {
	at     int
	target model.TargetID
	report model.UsageReport
}

// World is the hidden state of a site.
type World struct {
	Site         Site
	sharedRNG    *rand.Rand // for arrivals and events, which are the same for every policy
	placementRNG *rand.Rand // for draws that depend on the placement of tasks
	now          int
	kinds        [numKinds]kindSpec
	workers      []*worker
	byID         map[model.TargetID]*worker
	jobs         map[model.JobID]*job
	tasks        map[model.AttemptID]*task
	order        []*job
	deliveries   map[int][]delivery
	events       timeline
	result       Result
	nextJob      int
}

// timeline holds the seconds at which events occur, and the phases of the load.
type timeline struct {
	driftFrom, driftTo int
	noiseWaves         []int
	cancelWaves        []int
	zoneLost, zoneBack int
	zone               model.Zone
	bursts             []int
	loadPhases         [numServices]float64
}

// NewWorld returns the initial state of a site.
func NewWorld(site Site, seed uint64) *World {
	w := &World{
		Site:         site,
		sharedRNG:    rand.New(rand.NewPCG(seed, 11)),
		placementRNG: rand.New(rand.NewPCG(seed, 12)),
		byID:         map[model.TargetID]*worker{},
		jobs:         map[model.JobID]*job{},
		tasks:        map[model.AttemptID]*task{},
		deliveries:   map[int][]delivery{},
	}
	w.makeKinds()
	w.makeWorkers()
	w.makeTimeline()
	return w
}

// makeKinds draws the batch classes and their slowdowns: two light, two medium and two heavy
// classes. The drift exchanges the slowdowns of the lightest and the heaviest class.
func (w *World) makeKinds() {
	levels := [numKinds]float64{0.01, 0.02, 0.06, 0.10, 0.16, 0.22}
	w.sharedRNG.Shuffle(numKinds, func(i, j int) { levels[i], levels[j] = levels[j], levels[i] })
	for k := range w.kinds {
		spec := kindSpec{
			name:          fmt.Sprint("kind-", k),
			cpu:           0.02 + 0.10*w.sharedRNG.Float64(),
			memory:        0.02 + 0.10*w.sharedRNG.Float64(),
			runSeconds:    60 + 180*w.sharedRNG.Float64(),
			checkpoint:    w.sharedRNG.Float64() < 0.7,
			checkpointSec: 2 + 6*w.sharedRNG.Float64(),
		}
		for s := range spec.addedSlowdown {
			spec.addedSlowdown[s] = levels[k] * (0.6 + 0.8*w.sharedRNG.Float64())
			spec.loadSlope[s] = 0.2 + 0.8*w.sharedRNG.Float64()
		}
		spec.addedAfterDrift = spec.addedSlowdown
		w.kinds[k] = spec
	}
	w.kinds[numKinds-1].accelerators = 1
	light, heavy := 0, 0
	for k := range levels {
		if levels[k] < levels[light] {
			light = k
		}
		if levels[k] > levels[heavy] {
			heavy = k
		}
	}
	w.kinds[light].addedAfterDrift, w.kinds[heavy].addedAfterDrift = w.kinds[heavy].addedSlowdown, w.kinds[light].addedSlowdown
}

func (w *World) makeWorkers() {
	perZone := (w.Site.Workers + len(w.Site.Zones) - 1) / len(w.Site.Zones)
	for i := range w.Site.Workers {
		capacity := w.Site.Capacity
		if i%4 == 0 {
			capacity.Accelerators = 2
		}
		v := &worker{
			id:       model.TargetID(fmt.Sprintf("w%03d", i)),
			zone:     w.Site.Zones[i/perZone],
			rack:     model.Rack(fmt.Sprint("rack-", i/w.Site.RackSize)),
			capacity: capacity,
			gateway:  i % w.Site.Gateways,
			lagSec:   2 + 4*w.sharedRNG.Float64(),
		}
		w.workers = append(w.workers, v)
		w.byID[v.id] = v
	}
	for range 2 {
		w.workers[w.sharedRNG.IntN(len(w.workers))].broken = true
	}
}

func (w *World) makeTimeline() {
	e := &w.events
	e.driftFrom = 600 + w.sharedRNG.IntN(300)
	e.driftTo = e.driftFrom + 120
	for t := 120 + w.sharedRNG.IntN(60); t < runSeconds; t += 120 + w.sharedRNG.IntN(120) {
		e.noiseWaves = append(e.noiseWaves, t)
	}
	e.cancelWaves = []int{400 + w.sharedRNG.IntN(200), 1000 + w.sharedRNG.IntN(200)}
	e.zone = w.Site.Zones[w.sharedRNG.IntN(len(w.Site.Zones))]
	e.zoneLost = 1000 + w.sharedRNG.IntN(150)
	e.zoneBack = e.zoneLost + 150
	e.bursts = []int{350 + w.sharedRNG.IntN(300), 800 + w.sharedRNG.IntN(500)}
	for s := range e.loadPhases {
		e.loadPhases[s] = 2 * math.Pi * w.sharedRNG.Float64()
	}
}

// loadAt returns the offered load of a service relative to its usual peak, between 0 and 1.4.
func (w *World) loadAt(s int) float64 {
	load := 0.6 + 0.4*math.Sin(2*math.Pi*float64(w.now)/600+w.events.loadPhases[s])
	for _, t := range w.events.bursts {
		if w.now >= t && w.now < t+60 {
			load = min(load+0.5, 1.4)
		}
	}
	return load
}

// addedSlowdown returns the true slowdown that one task of class k currently adds to service s at
// a load.
func (w *World) addedSlowdown(s, k int, load float64) float64 {
	spec := &w.kinds[k]
	drift := float64(w.now-w.events.driftFrom) / float64(w.events.driftTo-w.events.driftFrom)
	drift = min(max(drift, 0), 1)
	level := spec.addedSlowdown[s]*(1-drift) + spec.addedAfterDrift[s]*drift
	return level * (1 + spec.loadSlope[s]*min(load, 1.4))
}

// slowdown returns the true slowdown of a service on a worker at a load. If throttled is false, all
// tasks count at full speed.
func (w *World) slowdown(v *worker, s int, load float64, throttled bool) float64 {
	sum := 1.0
	var cpu int64
	for _, t := range v.tasks {
		level := 1.0
		if throttled {
			level = t.level
		}
		sum += w.addedSlowdown(s, t.job.kind, load) * level * t.noise
		cpu += int64(float64(t.job.size.CPUMillis) * level)
	}
	return sum * max(1, float64(cpu)/float64(v.capacity.CPUMillis))
}

// quickSlots returns the slots that are not used by batch tasks, at least 0.5.
func (v *worker) quickSlots() float64 {
	taken := 0.0
	for _, t := range v.tasks {
		taken += float64(t.job.spec.Declared.Slots)
	}
	return max(float64(v.capacity.Slots)-taken, 0.5)
}

// queueFactor returns the mean time in an M/M/c queue divided by the service time (Sakasegawa's
// approximation). The utilization is capped at 0.95 to keep the result finite.
func queueFactor(busy, slots float64) float64 {
	rho := min(busy/slots, 0.95)
	if rho <= 0 {
		return 1
	}
	return 1 + math.Pow(rho, math.Sqrt(2*(slots+1))-1)/(slots*(1-rho))
}
