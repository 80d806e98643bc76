package fake

import (
	"fmt"
	"math"
	"math/rand/v2"

	"samphirepaddle.example/core/model"
)

// worker is one fake VM.
type worker struct {
	id       model.TargetID
	zone     model.Zone
	rack     model.Rack
	capacity model.Resources
	gateway  int
	broken   bool // fails everything it starts
	lost     bool
	lagSec   float64
	tasks    []*task

	requests  [numServices]int     // drawn in this second
	slow      [numServices]float64 // true slowdown in this second, without queueing
	window    [numServices]window  // since the last report
	offeredUs float64              // no-neighbour work offered in this second, microseconds
}

// window accumulates what the next report will say.
type window struct {
	latencyUs float64
	requests  int
}

// job is a job with its hidden truth.
type job struct {
	spec     model.JobSpec
	kind     int
	size     model.Resources // true usage
	work     float64         // seconds at full speed
	done     float64         // progress kept over evictions
	failsAll bool
	// cancelDraw decides which wave cancels the job; it is drawn at submission, so that
	// every policy sees the same cancellations.
	cancelDraw [2]float64
	attempts   uint32
	open       *task
	ended      bool
}

// task is an open attempt.
type task struct {
	job      *job
	id       model.AttemptID
	worker   *worker
	started  int
	progress float64 // seconds at full speed in this attempt
	level    float64
	noise    float64
	noisyTo  int // second at which the noise ends
	evictAt  int // second at which a requested eviction is confirmed, zero if none
	failAt   int // second at which it fails, zero if it does not
}

// delivery is a report on its way.
type delivery struct {
	at     int
	target model.TargetID
	report model.UsageReport
}

// World is the hidden state of a site.
type World struct {
	Site    Site
	rng     *rand.Rand // arrivals and events that are the same for every policy
	drawn   *rand.Rand // draws that depend on what runs where
	now     int
	kinds   [numKinds]kindSpec
	workers []*worker
	byID    map[model.TargetID]*worker
	jobs    map[model.JobID]*job
	tasks   map[model.AttemptID]*task
	order   []*job
	mail    map[int][]delivery
	events  timeline
	result  Result
	nextJob int
}

// timeline holds the seconds at which things happen.
type timeline struct {
	driftFrom, driftTo int
	noise              []int
	cancel             []int
	zoneLost, zoneBack int
	zone               model.Zone
	bursts             []int
	phase              [numServices]float64
}

// NewWorld returns a site at second zero.
func NewWorld(site Site, seed uint64) *World {
	w := &World{
		Site:  site,
		rng:   rand.New(rand.NewPCG(seed, 11)),
		drawn: rand.New(rand.NewPCG(seed, 12)),
		byID:  map[model.TargetID]*worker{},
		jobs:  map[model.JobID]*job{},
		tasks: map[model.AttemptID]*task{},
		mail:  map[int][]delivery{},
	}
	w.makeKinds()
	w.makeWorkers()
	w.makeTimeline()
	return w
}

// makeKinds draws the matrix: two light, two medium and two heavy classes. The drift
// exchanges a light with a heavy class.
func (w *World) makeKinds() {
	levels := [numKinds]float64{0.01, 0.02, 0.06, 0.10, 0.16, 0.22}
	w.rng.Shuffle(numKinds, func(i, j int) { levels[i], levels[j] = levels[j], levels[i] })
	for k := range w.kinds {
		spec := kindSpec{
			name:          fmt.Sprint("kind-", k),
			cpu:           0.02 + 0.10*w.rng.Float64(),
			memory:        0.02 + 0.10*w.rng.Float64(),
			runSeconds:    60 + 180*w.rng.Float64(),
			checkpoint:    w.rng.Float64() < 0.7,
			checkpointSec: 2 + 6*w.rng.Float64(),
		}
		for s := range spec.added {
			spec.added[s] = levels[k] * (0.6 + 0.8*w.rng.Float64())
			spec.slope[s] = 0.2 + 0.8*w.rng.Float64()
		}
		spec.addedAfter = spec.added
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
	w.kinds[light].addedAfter, w.kinds[heavy].addedAfter = w.kinds[heavy].added, w.kinds[light].added
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
			lagSec:   2 + 4*w.rng.Float64(),
		}
		w.workers = append(w.workers, v)
		w.byID[v.id] = v
	}
	for range 2 {
		w.workers[w.rng.IntN(len(w.workers))].broken = true
	}
}

func (w *World) makeTimeline() {
	e := &w.events
	e.driftFrom = 600 + w.rng.IntN(300)
	e.driftTo = e.driftFrom + 120
	for t := 120 + w.rng.IntN(60); t < runSeconds; t += 120 + w.rng.IntN(120) {
		e.noise = append(e.noise, t)
	}
	e.cancel = []int{400 + w.rng.IntN(200), 1000 + w.rng.IntN(200)}
	e.zone = w.Site.Zones[w.rng.IntN(len(w.Site.Zones))]
	e.zoneLost = 1000 + w.rng.IntN(150)
	e.zoneBack = e.zoneLost + 150
	e.bursts = []int{350 + w.rng.IntN(300), 800 + w.rng.IntN(500)}
	for s := range e.phase {
		e.phase[s] = 2 * math.Pi * w.rng.Float64()
	}
}

// loadAt returns the offered load of a service, 0 to 1.4 of its usual peak.
func (w *World) loadAt(s int) float64 {
	load := 0.6 + 0.4*math.Sin(2*math.Pi*float64(w.now)/600+w.events.phase[s])
	for _, t := range w.events.bursts {
		if w.now >= t && w.now < t+60 {
			load = min(load+0.5, 1.4)
		}
	}
	return load
}

// added returns the true slowdown that a class adds now to a service at a load.
func (w *World) added(s, k int, load float64) float64 {
	spec := &w.kinds[k]
	drift := float64(w.now-w.events.driftFrom) / float64(w.events.driftTo-w.events.driftFrom)
	drift = min(max(drift, 0), 1)
	level := spec.added[s]*(1-drift) + spec.addedAfter[s]*drift
	return level * (1 + spec.slope[s]*min(load, 1.4))
}

// slowdown returns the true slowdown of a service on a worker at a load.
func (w *World) slowdown(v *worker, s int, load float64, throttled bool) float64 {
	sum := 1.0
	var cpu int64
	for _, t := range v.tasks {
		level := 1.0
		if throttled {
			level = t.level
		}
		sum += w.added(s, t.job.kind, load) * level * t.noise
		cpu += int64(float64(t.job.size.CPUMillis) * level)
	}
	return sum * max(1, float64(cpu)/float64(v.capacity.CPUMillis))
}

// quickSlots returns the slots that batch work leaves to quick work.
func (v *worker) quickSlots() float64 {
	taken := 0.0
	for _, t := range v.tasks {
		taken += float64(t.job.spec.Declared.Slots)
	}
	return max(float64(v.capacity.Slots)-taken, 0.5)
}

// queueFactor is the mean time in the system of an M/M/c queue by its service time
// (approximation by Sakasegawa), with the load bounded so that it stays finite.
func queueFactor(busy, slots float64) float64 {
	rho := min(busy/slots, 0.95)
	if rho <= 0 {
		return 1
	}
	return 1 + math.Pow(rho, math.Sqrt(2*(slots+1))-1)/(slots*(1-rho))
}
