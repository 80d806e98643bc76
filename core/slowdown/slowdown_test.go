package slowdown_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/slowdown"
)

// simulation reports the latency of a service on target w beside tasks of two classes, heavy
// and light, whose slowdowns are known.
type simulation struct {
	m    *slowdown.Model
	rng  *rand.Rand
	now  model.Millis
	next model.AttemptID
}

func newSimulation() *simulation {
	return &simulation{
		m:    slowdown.New(slowdown.Config{}),
		rng:  rand.New(rand.NewPCG(7, 7)),
		next: model.AttemptID{Job: "j", Number: 1},
	}
}

// report returns the report of a 5 s interval on target w with the given true slowdown.
func (s *simulation) report(slow float64) model.UsageReport {
	noise := 1 + 0.02*s.rng.NormFloat64()
	return model.UsageReport{
		Service:   "svc",
		FromMs:    s.now,
		ToMs:      s.now + 5000,
		LatencyUs: int64(20_000 * slow * noise),
		Requests:  200,
	}
}

// train runs random sets of tasks and delivers the report of each interval 60 s late, when
// other tasks run. The model can tell the classes apart only if it attributes a report to the
// tasks that ran during its interval.
func (s *simulation) train(rounds int, added map[string]float64) {
	kinds := []string{"heavy", "light"}
	for range rounds {
		slow := 1.0
		var started []model.AttemptID
		for range s.rng.IntN(4) {
			kind := kinds[s.rng.IntN(2)]
			slow += added[kind]
			s.next.Number++
			s.m.TaskStarted("w", s.next, kind, s.now)
			started = append(started, s.next)
		}
		report := s.report(slow)
		s.now += 5000
		for _, id := range started {
			s.m.TaskStopped("w", id, s.now)
		}
		s.m.Observe("w", report, s.now+60_000)
	}
}

func newTrained(rounds int, added map[string]float64) *simulation {
	s := newSimulation()
	s.m.SetTarget("w", 8)
	s.train(rounds, added)
	return s
}

// Guards against late reports being attributed to the tasks that run when they arrive.
func TestLateReportsAreAttributedToTheirInterval(t *testing.T) {
	s := newTrained(400, map[string]float64{"heavy": 0.5, "light": 0.05})
	heavy, light := s.m.AddedSlowdown("svc", "heavy", 0.1), s.m.AddedSlowdown("svc", "light", 0.1)
	if math.Abs(heavy.Mean-0.5) > 0.1 || math.Abs(light.Mean-0.05) > 0.05 {
		t.Fatalf("heavy %+v, light %+v, want about 0.5 and 0.05", heavy, light)
	}
	if unseen := s.m.AddedSlowdown("svc", "new", 0.1); unseen.Std <= heavy.Std {
		t.Fatalf("unseen class has std %.3f, learned one %.3f; want more for the unseen", unseen.Std, heavy.Std)
	}
}

// Guards against an estimate that does not follow a change of the slowdown because old reports
// outweigh new ones.
func TestDriftIsFollowed(t *testing.T) {
	s := newTrained(400, map[string]float64{"heavy": 0.5, "light": 0.05})
	s.train(400, map[string]float64{"heavy": 0.1, "light": 0.4})
	heavy, light := s.m.AddedSlowdown("svc", "heavy", 0.1), s.m.AddedSlowdown("svc", "light", 0.1)
	if heavy.Mean > 0.2 || light.Mean < 0.3 {
		t.Fatalf("heavy %+v, light %+v after drift to 0.1 and 0.4", heavy, light)
	}
}

// Guards against invalid reports changing an estimate.
func TestInvalidReportsAreDiscardedAndCounted(t *testing.T) {
	s := newTrained(200, map[string]float64{"heavy": 0.5, "light": 0.05})
	before := s.m.AddedSlowdown("svc", "heavy", 0.1)
	future, negative, implausible, inverted := s.report(1), s.report(1), s.report(1e5), s.report(1)
	future.ToMs += 3_600_000
	future.FromMs += 3_600_000
	negative.LatencyUs = -5
	inverted.FromMs, inverted.ToMs = inverted.ToMs, inverted.FromMs
	for _, r := range []model.UsageReport{future, negative, implausible, inverted} {
		s.m.Observe("w", r, s.now+6000)
	}
	got := s.m.Counters().Discarded
	for _, reason := range []slowdown.Reason{
		slowdown.ReasonFuture, slowdown.ReasonNegative, slowdown.ReasonImplausibleLatency, slowdown.ReasonInvalidInterval,
	} {
		if got[reason] != 1 {
			t.Errorf("%s counted %d times, want 1", reason, got[reason])
		}
	}
	if after := s.m.AddedSlowdown("svc", "heavy", 0.1); after != before {
		t.Fatalf("estimate moved from %+v to %+v", before, after)
	}
}
