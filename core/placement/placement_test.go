package placement_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/placement"
	"samphirepaddle.example/core/slowdown"
)

var capacity = model.Resources{Slots: 8, Connections: 64, CPUMillis: 16_000, MemoryMiB: 60 << 10}

func newPlacer(targets int) *placement.Placer {
	p := placement.New(placement.Config{Seed: 1})
	for i := range targets {
		p.SetTarget(placement.TargetInfo{
			ID:           model.TargetID(fmt.Sprintf("w%02d", i)),
			Pool:         "pool",
			Zone:         model.Zone(fmt.Sprint("z", i%3)),
			Rack:         model.Rack(fmt.Sprint("r", i/3%4)),
			Capacity:     capacity,
			KeptForQuick: model.Resources{Slots: 2},
		})
	}
	return p
}

func job(n int, size model.Resources) placement.Job {
	id := model.JobID(fmt.Sprint("job-", n))
	return placement.Job{ID: id, Tenant: "t", Pool: "pool", Kind: "k", Size: size, Attempt: model.AttemptID{Job: id, Number: 1}}
}

func place(t *testing.T, p *placement.Placer, j placement.Job) placement.Decision {
	t.Helper()
	d, err := p.Place(j)
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Reserve(d); err != nil {
		t.Fatal(err)
	}
	if err := p.Bind(j.Attempt); err != nil {
		t.Fatal(err)
	}
	return d
}

// Guards against placements beyond the capacity of a target, and against errors that do not
// give the reason for each target.
func TestPlaceReportsRejections(t *testing.T) {
	p := newPlacer(2)
	size := model.Resources{Slots: 1, CPUMillis: 7_000}
	for i := range 4 {
		place(t, p, job(i, size))
	}
	_, err := p.Place(job(9, size))
	var noFit *placement.NoFitError
	if !errors.As(err, &noFit) || noFit.Infeasible || len(noFit.Rejections) != 2 {
		t.Fatalf("err = %v, want two rejections of a feasible job", err)
	}
	if text := err.Error(); !strings.Contains(text, "cpu_millis: need 7000, free 2000") {
		t.Fatalf("error %q does not name the shortfall", text)
	}
	_, err = p.Place(job(10, model.Resources{Slots: 1, MemoryMiB: 600 << 10}))
	if !errors.As(err, &noFit) || !noFit.Infeasible {
		t.Fatalf("err = %v, want a job that can never run", err)
	}
	p.Release(job(0, size).Attempt)
	place(t, p, job(9, size))
}

// Guards against most tasks of one kind being placed in the same rack or zone.
func TestSpreadsOverRacksAndZones(t *testing.T) {
	p := newPlacer(24)
	zones := map[int]int{}
	for i := range 24 {
		var n int
		fmt.Sscanf(string(place(t, p, job(i, model.Resources{Slots: 1})).Target), "w%d", &n)
		zones[n%3]++
	}
	for zone, n := range zones {
		if n < 6 || n > 10 {
			t.Errorf("zone %d holds %d of 24 tasks", zone, n)
		}
	}
}

// Guards against evicting a task for an urgent job although another task would lose less work.
func TestPreemptsTheTaskThatLosesLeast(t *testing.T) {
	p := newPlacer(2)
	size := model.Resources{Slots: 3}
	for i := range 4 {
		place(t, p, job(i, size))
		p.SetEvictionLoss(job(i, size).Attempt, float64(1000+100*((i+2)%4)), false)
	}
	plan, err := p.Preempt(job(9, size))
	if err != nil || len(plan.Victims) != 1 || plan.Victims[0].Job != "job-2" {
		t.Fatalf("plan = %+v, %v, want job-2", plan, err)
	}
}

// Guards against a tenant with many waiting jobs starving another, and against tasks beyond a
// tenant's quota.
func TestQuotaAndFairShare(t *testing.T) {
	tenants := placement.NewTenants(model.Resources{Slots: 10})
	tenants.SetTenant(model.Tenant{ID: "a", BatchQuota: model.Resources{Slots: 2}})
	var jobs []placement.Job
	for i := range 4 {
		j := job(i, model.Resources{Slots: 1})
		j.Tenant = "a"
		jobs = append(jobs, j)
	}
	b := job(8, model.Resources{Slots: 1})
	b.Tenant = "b"
	urgent := job(9, model.Resources{Slots: 1})
	urgent.Urgent = true
	order := tenants.OrderByShare(append(jobs, b, urgent))
	if order[0].ID != "job-9" || (order[1].Tenant != "b" && order[2].Tenant != "b") {
		t.Fatalf("order = %v", order)
	}
	tenants.Charge("a", model.Resources{Slots: 2})
	var quota *placement.QuotaError
	if err := tenants.CheckQuota("a", model.Resources{Slots: 1}); !errors.As(err, &quota) || quota.Infeasible {
		t.Fatalf("err = %v, want a quota error", err)
	}
}

// slowTarget predicts a slowdown on one target only.
type slowTarget model.TargetID

func (s slowTarget) PredictUnthrottled(target model.TargetID, _ model.ServiceID, _ float64) slowdown.Estimate {
	if target == model.TargetID(s) {
		return slowdown.Estimate{Mean: 1.3}
	}
	return slowdown.Estimate{Mean: 1}
}

func (slowTarget) AddedSlowdown(model.ServiceID, string, float64) slowdown.Estimate {
	return slowdown.Estimate{Mean: 0.01}
}

// Guards against placements that ignore the weights of the pool. A pool with a weight on tail
// latency avoids an empty target where quick work is slow; a pool without one prefers that
// target for its low utilization.
func TestWeightsOfThePoolDecide(t *testing.T) {
	choose := func(w model.Weights) model.TargetID {
		p := placement.New(placement.Config{Seed: 1, Predictor: slowTarget("empty-but-slow")})
		p.SetWeights("pool", w)
		for _, id := range []model.TargetID{"empty-but-slow", "half-full"} {
			p.SetTarget(placement.TargetInfo{ID: id, Pool: "pool", Zone: "z", Rack: model.Rack(id), Capacity: capacity})
			p.SetLoads(id, []placement.QuickLoad{{Service: "checks", Load: 0.1}})
		}
		half := job(1, model.Resources{Slots: 3})
		p.Track("half-full", placement.Task{Attempt: half.Attempt, Size: half.Size, Bound: true})
		return place(t, p, job(2, model.Resources{Slots: 1})).Target
	}
	if got := choose(model.Weights{TailLatency: 1}); got != "half-full" {
		t.Errorf("a pool that weighs tail latency chose %s", got)
	}
	if got := choose(model.Weights{Evictions: 1}); got != "empty-but-slow" {
		t.Errorf("a pool that does not weigh tail latency chose %s", got)
	}
}

// Guards against a job being marked as never runnable because quick work fills every target:
// the load of quick work is temporary.
func TestQuickLoadDoesNotMakeJobNeverRunnable(t *testing.T) {
	p := placement.New(placement.Config{Seed: 1})
	info := placement.TargetInfo{ID: "w", Pool: "pool", Zone: "z", Rack: "r", Capacity: capacity, KeptForQuick: model.Resources{Slots: 2}}
	info.QuickExcess = model.Resources{Slots: 6}
	p.SetTarget(info)
	one := job(1, model.Resources{Slots: 1})
	if p.NeverFits(one) {
		t.Error("a job counts as never runnable because of quick work")
	}
	if _, err := p.Place(one); err == nil {
		t.Error("a job was placed on a target without a free slot")
	}
	info.QuickExcess = model.Resources{}
	p.SetTarget(info)
	place(t, p, one)
}
