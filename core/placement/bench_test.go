package placement_test

import (
	"fmt"
	"testing"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/placement"
	"samphirepaddle.example/core/slowdown"
)

// sizes lists the numbers of workers of a current site, a large site and the design scale.
var sizes = []int{50, 600, 17_000}

// newLoadedPlacer returns a placer with 16 batch tasks per worker, about the density of the
// design scale, and a trained slowdown model.
func newLoadedPlacer(workers int) *placement.Placer {
	return newLoadedPlacerWithBound(workers, 10)
}

func newLoadedPlacerWithBound(workers int, maxSlowdown float64) *placement.Placer {
	m := slowdown.New(slowdown.Config{})
	p := placement.New(placement.Config{Seed: 1, Predictor: m, MaxSlowdown: maxSlowdown})
	for i := range workers {
		id := model.TargetID(fmt.Sprintf("w%05d", i))
		m.SetTarget(id, 24)
		p.SetTarget(placement.TargetInfo{
			ID:           id,
			Pool:         "pool",
			Zone:         model.Zone(fmt.Sprint("z", i%27)),
			Rack:         model.Rack(fmt.Sprint("r", i/11)),
			Capacity:     model.Resources{Slots: 24, Connections: 64, CPUMillis: 64_000, MemoryMiB: 250 << 10},
			KeptForQuick: model.Resources{Slots: 4},
		})
		p.SetLoads(id, []placement.QuickLoad{{Service: "checks", Load: 0.1}, {Service: "labels", Load: 0.2}})
		for j := range 16 {
			task := benchTask(i*16 + j)
			if err := p.Track(id, task); err != nil {
				panic(err)
			}
			m.TaskStarted(id, task.Attempt, task.Kind, 0)
		}
	}
	train(m)
	return p
}

// train reports latencies of both services, so that predictions use learned coefficients
// instead of the prior.
func train(m *slowdown.Model) {
	for _, service := range []model.ServiceID{"checks", "labels"} {
		for i := range 40 {
			from := model.Millis(1000 + 5000*i)
			target := model.TargetID(fmt.Sprintf("w%05d", i%50))
			m.Observe(target, model.UsageReport{Service: service, FromMs: from, ToMs: from + 5000, LatencyUs: 20_000, Requests: 100}, from+8000)
		}
	}
}

func benchTask(n int) placement.Task {
	return placement.Task{
		Attempt: model.AttemptID{Job: model.JobID(fmt.Sprint("task-", n)), Number: 1},
		Tenant:  "t",
		Kind:    fmt.Sprint("kind-", n%12),
		Size:    model.Resources{Slots: 1, CPUMillis: 2000, MemoryMiB: 8 << 10},
		Bound:   true,
		LossMs:  float64(n % 1000),
	}
}

// BenchmarkPlace measures filter, score, reserve, bind and release of one task.
func BenchmarkPlace(b *testing.B) {
	for _, workers := range sizes {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			p := newLoadedPlacer(workers)
			b.ReportAllocs()
			b.ResetTimer()
			placeAndRelease(b.N, p)
		})
	}
}

func placeAndRelease(n int, p *placement.Placer) {
	j := job(1<<30, model.Resources{Slots: 1, CPUMillis: 2000, MemoryMiB: 8 << 10})
	for range n {
		d, err := p.Place(j)
		if err != nil {
			panic(err)
		}
		if err := p.Reserve(d); err != nil {
			panic(err)
		}
		if err := p.Bind(j.Attempt); err != nil {
			panic(err)
		}
		p.Release(j.Attempt)
	}
}

// BenchmarkPlaceFull measures a rejection at a site where no target has the free resources.
func BenchmarkPlaceFull(b *testing.B) {
	for _, workers := range sizes {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			p := newLoadedPlacer(workers)
			j := job(1<<30, model.Resources{Slots: 12})
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				if _, err := p.Place(j); err == nil {
					b.Fatal("the job fits")
				}
			}
		})
	}
}

// BenchmarkPlaceOverSlowdownBound measures a rejection at a site where targets have the free
// resources but all exceed the slowdown bound.
func BenchmarkPlaceOverSlowdownBound(b *testing.B) {
	for _, workers := range sizes[1:] {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			p := newLoadedPlacerWithBound(workers, 1.01)
			j := job(1<<30, model.Resources{Slots: 1})
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				if _, err := p.Place(j); err == nil {
					b.Fatal("the job fits")
				}
			}
		})
	}
}

// BenchmarkPreempt measures the choice of victims for an urgent job.
func BenchmarkPreempt(b *testing.B) {
	for _, workers := range sizes {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			p := newLoadedPlacer(workers)
			j := job(1<<30, model.Resources{Slots: 6})
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				if _, err := p.Preempt(j); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// maxGrowth bounds the ratio of the placement times at 17,000 and at 600 workers. A scan of all
// targets would give a ratio of 28; the bound leaves a margin for the CPU cache misses of the
// larger index.
const maxGrowth = 8

// Guards against a placement time that grows in proportion to the number of targets. Both
// sizes are measured in one run, so the result does not depend on the speed of the machine.
func TestPlacementCostGrowsSlowly(t *testing.T) {
	measure := func(workers int) float64 {
		p := newLoadedPlacer(workers)
		return float64(testing.Benchmark(func(b *testing.B) { placeAndRelease(b.N, p) }).NsPerOp())
	}
	small, large := measure(600), measure(17_000)
	if large > maxGrowth*small {
		t.Fatalf("a placement takes %.0f ns at 17,000 workers and %.0f ns at 600", large, small)
	}
}
