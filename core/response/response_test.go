package response_test

import (
	"testing"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/response"
	"samphirepaddle.example/core/slowdown"
)

var (
	tailFirst     = model.Weights{TailLatency: 6, Throughput: 3, Evictions: 1}
	evictionFirst = model.Weights{TailLatency: 3, Throughput: 1, Evictions: 6}
)

func attempt(name model.JobID) model.AttemptID { return model.AttemptID{Job: name, Number: 1} }

func task(name model.JobID, level, added, loss float64) response.Task {
	return response.Task{Attempt: attempt(name), Level: level, AddedSlowdown: slowdown.Estimate{Mean: added}, LossMs: loss}
}

// evidence returns the evidence of a 5 s report that ends at now.
func evidence(now model.Millis, slow float64, tasks ...response.Task) response.Evidence {
	return response.Evidence{
		Target:      "w",
		Now:         now,
		ReportStart: now - 5000,
		Slowdown:    slowdown.Estimate{Mean: slow},
		Tasks:       tasks,
	}
}

// Guards against a second action based on reports that cover time before the first action
// took effect.
func TestNoSecondActionOnStaleReports(t *testing.T) {
	c := response.New(response.Config{Weights: tailFirst})
	tasks := []response.Task{task("heavy", 1, 0.6, 1000), task("light", 1, 0.1, 10)}
	first := c.Decide(evidence(10_000, 1.7, tasks...))
	if len(first) != 1 || first[0].Kind != response.Throttle || first[0].Attempt.Job != "heavy" {
		t.Fatalf("first = %+v, want a throttle of the task that adds most", first)
	}
	if again := c.Decide(evidence(12_000, 1.7, tasks...)); len(again) != 0 {
		t.Fatalf("action %+v on a report from before the first took effect", again)
	}
	if later := c.Decide(evidence(17_000, 1.7, tasks...)); len(later) == 0 {
		t.Fatal("no action on fresh evidence")
	}
}

// Guards against a policy that ignores the weights. On the same input, the site that
// prioritizes tail latency evicts more, and the site that prioritizes few evictions throttles
// to lower levels instead.
func TestWeightsDecideDifferently(t *testing.T) {
	run := func(weights model.Weights) (evictions int, lowest float64) {
		c := response.New(response.Config{Weights: weights})
		lowest = 1
		tasks := []response.Task{task("heavy", 1, 0.9, 5000), task("cheap", 1, 0.8, 100)}
		for now := model.Millis(10_000); now < 80_000; now += 7000 {
			c.Refill(now, 300)
			for _, a := range c.Decide(evidence(now, 2.6, tasks...)) {
				if a.Kind == response.Throttle {
					lowest = min(lowest, a.Level)
				}
				if a.Kind == response.Evict {
					evictions++
					continue
				}
				for i := range tasks {
					if tasks[i].Attempt == a.Attempt {
						tasks[i].Level = a.Level
					}
				}
			}
		}
		return evictions, lowest
	}
	tailEvictions, tailLevel := run(tailFirst)
	evictions, level := run(evictionFirst)
	if tailEvictions <= evictions || level >= tailLevel {
		t.Fatalf("tail first: %d evictions, lowest level %.2f; evictions first: %d, %.2f",
			tailEvictions, tailLevel, evictions, level)
	}
}

// Guards against the eviction of a task although another one, which adds enough slowdown too,
// would lose less work, and against evictions beyond the budget.
func TestEvictsTheLeastLossWithinTheBudget(t *testing.T) {
	c := response.New(response.Config{Weights: tailFirst, EvictionRate: 0.001})
	tasks := []response.Task{task("costly", 0.05, 0.9, 5000), task("cheap", 0.05, 0.8, 100)}
	var evicted []model.JobID
	c.Refill(1000, 100_000)
	c.Refill(61_000, 100_000)
	for now := model.Millis(100_000); now < 200_000; now += 11_000 {
		for _, a := range c.Decide(evidence(now, 2.6, tasks...)) {
			evicted = append(evicted, a.Attempt.Job)
		}
	}
	if len(evicted) != 1 || evicted[0] != "cheap" {
		t.Fatalf("evicted %v, want cheap only", evicted)
	}
}

// Guards against alternating throttles and raises on a target whose slowdown stays close to
// the bound.
func TestHysteresis(t *testing.T) {
	c := response.New(response.Config{Weights: tailFirst})
	for i, slow := range []float64{1.49, 1.46, 1.48, 1.44, 1.49, 1.45} {
		now := model.Millis(10_000 + 6000*i)
		if actions := c.Decide(evidence(now, slow, task("a", 0.5, 0.2, 10))); len(actions) != 0 {
			t.Fatalf("slowdown %.2f between the thresholds led to %+v", slow, actions)
		}
	}
}
