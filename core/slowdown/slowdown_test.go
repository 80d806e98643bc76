package slowdown_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/slowdown"
)

// world is two classes of known slowdown on a few targets.
type world struct {
	m    *slowdown.Model
	rng  *rand.Rand
	now  model.Millis
	next model.AttemptID
}

func newWorld() *world {
	return &world{
		m:    slowdown.New(slowdown.Config{}),
		rng:  rand.New(rand.NewPCG(7, 7)),
		next: model.AttemptID{Job: "j", Number: 1},
	}
}

// report is one interval of 5 s on target w with the given true slowdown.
func (w *world) report(slow float64) model.UsageReport {
	noise := 1 + 0.02*w.rng.NormFloat64()
	return model.UsageReport{
		Service:   "svc",
		FromMs:    w.now,
		ToMs:      w.now + 5000,
		LatencyUs: int64(20_000 * slow * noise),
		Requests:  200,
	}
}

// train runs random sets of tasks and reports each interval after it has been replaced by
// the next set, so only attribution by interval can learn the difference.
func (w *world) train(rounds int, added map[string]float64) {
	kinds := []string{"heavy", "light"}
	for range rounds {
		slow := 1.0
		var started []model.AttemptID
		for range w.rng.IntN(4) {
			kind := kinds[w.rng.IntN(2)]
			slow += added[kind]
			w.next.Number++
			w.m.TaskStarted("w", w.next, kind, w.now)
			started = append(started, w.next)
		}
		report := w.report(slow)
		w.now += 5000
		for _, id := range started {
			w.m.TaskStopped("w", id, w.now)
		}
		w.m.Observe("w", report, w.now+60_000)
	}
}

func newTrained(rounds int, added map[string]float64) *world {
	w := newWorld()
	w.m.SetTarget("w", 8)
	w.train(rounds, added)
	return w
}

// Guards against late reports being charged to the tasks that run when they arrive.
func TestLateReportsAreAttributedToTheirInterval(t *testing.T) {
	w := newTrained(400, map[string]float64{"heavy": 0.5, "light": 0.05})
	heavy, light := w.m.AddedSlowdown("svc", "heavy", 0.1), w.m.AddedSlowdown("svc", "light", 0.1)
	if math.Abs(heavy.Mean-0.5) > 0.1 || math.Abs(light.Mean-0.05) > 0.05 {
		t.Fatalf("heavy %+v, light %+v, want about 0.5 and 0.05", heavy, light)
	}
	if unseen := w.m.AddedSlowdown("svc", "new", 0.1); unseen.Std <= heavy.Std {
		t.Fatalf("unseen class has std %.3f, learned one %.3f; want more for the unseen", unseen.Std, heavy.Std)
	}
}

// Guards against old data outweighing a drift of the pair.
func TestDriftIsFollowed(t *testing.T) {
	w := newTrained(400, map[string]float64{"heavy": 0.5, "light": 0.05})
	w.train(400, map[string]float64{"heavy": 0.1, "light": 0.4})
	heavy, light := w.m.AddedSlowdown("svc", "heavy", 0.1), w.m.AddedSlowdown("svc", "light", 0.1)
	if heavy.Mean > 0.2 || light.Mean < 0.3 {
		t.Fatalf("heavy %+v, light %+v after drift to 0.1 and 0.4", heavy, light)
	}
}

// Guards against impossible reports moving an estimate.
func TestImpossibleReportsAreDiscardedAndCounted(t *testing.T) {
	w := newTrained(200, map[string]float64{"heavy": 0.5, "light": 0.05})
	before := w.m.AddedSlowdown("svc", "heavy", 0.1)
	future, negative, absurd, inverted := w.report(1), w.report(1), w.report(1e5), w.report(1)
	future.ToMs += 3_600_000
	future.FromMs += 3_600_000
	negative.LatencyUs = -5
	inverted.FromMs, inverted.ToMs = inverted.ToMs, inverted.FromMs
	for _, r := range []model.UsageReport{future, negative, absurd, inverted} {
		w.m.Observe("w", r, w.now+6000)
	}
	got := w.m.Counters().Discarded
	for _, reason := range []slowdown.Reason{
		slowdown.ReasonFuture, slowdown.ReasonNegative, slowdown.ReasonAbsurd, slowdown.ReasonInterval,
	} {
		if got[reason] != 1 {
			t.Errorf("%s counted %d times, want 1", reason, got[reason])
		}
	}
	if after := w.m.AddedSlowdown("svc", "heavy", 0.1); after != before {
		t.Fatalf("estimate moved from %+v to %+v", before, after)
	}
}
