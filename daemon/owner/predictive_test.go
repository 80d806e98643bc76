package owner

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	"samphirepaddle.example/core/model"
)

// predictorFixture is a PredictivePicker with targets of 8 slots. Reports cover 5 s and arrive
// 8 s late.
type predictorFixture struct {
	*PredictivePicker
	version uint64
}

func newPredictorFixture(targets ...model.TargetID) *predictorFixture {
	n := &predictorFixture{PredictivePicker: NewPredictivePicker()}
	n.SetTargets(targets)
	return n
}

func (n *predictorFixture) report(target model.TargetID, now model.Millis, slow float64, jobs ...model.JobID) {
	n.version++
	o := Observation{Target: target, Epoch: 1, Version: n.version, Now: now, Slots: 8}
	for _, job := range jobs {
		o.Tasks = append(o.Tasks, RunningTask{Attempt: model.AttemptID{Job: job, Number: 1}, Kind: "kind of " + string(job), Started: now, Level: 1})
	}
	if slow > 0 {
		o.Usage = []model.UsageReport{{
			Service: service.ID, FromMs: now - 13_000, ToMs: now - 8000, LatencyUs: int64(20_000 * slow), Requests: 50,
		}}
	}
	n.Observe(o)
}

// reportNoSlowdown reports no slowdown of the targets in the given time span.
func (n *predictorFixture) reportNoSlowdown(from, to model.Millis, targets ...model.TargetID) {
	for now := from; now < to; now += 5000 {
		for _, target := range targets {
			n.report(target, now, 1)
		}
	}
}

func (n *predictorFixture) pick(targets ...model.TargetID) model.TargetID {
	return targets[n.Pick(service, idleCandidates(targets...))]
}

func idleCandidates(targets ...model.TargetID) (candidates []Candidate) {
	for _, id := range targets {
		candidates = append(candidates, Candidate{Target: id, Free: model.Resources{Slots: 8}, Slots: 8})
	}
	return candidates
}

// Guards against quick requests that stay on a target with a noisy task, that move to a target
// whose task became noisy at another time, or that avoid a target whose noisy task has ended but
// whose last reports cover the time before that.
func TestLateReportsMoveQuickRequests(t *testing.T) {
	n := newPredictorFixture("early", "late", "ended", "quiet")
	n.reportNoSlowdown(20_000, 60_000, "early", "late", "ended", "quiet")
	for now := model.Millis(60_000); now <= 120_000; now += 5000 {
		slow := func(from, to model.Millis) float64 { // of the interval that the report covers
			if begin := now - 13_000; begin >= from && begin < to {
				return 3
			}
			return 1
		}
		n.report("early", now, slow(60_000, 120_000), "j-early")
		n.report("late", now, slow(80_000, 120_000), "j-late")
		if now < 80_000 {
			n.report("ended", now, slow(60_000, 80_000), "j-ended")
		} else {
			n.report("ended", now, slow(60_000, 80_000))
		}
		n.report("quiet", now, 1, "j-quiet")
	}
	if got := n.pick("early", "late", "quiet"); got != "quiet" {
		t.Errorf("picked %s beside a noisy task", got)
	}
	if got := n.pick("new", "early", "quiet"); got != "quiet" {
		t.Errorf("picked %s, not the quiet target, which a target without a prediction must not beat", got)
	}
	if got := n.pick("early", "late", "ended"); got != "ended" {
		t.Errorf("picked %s, not the target whose noisy task is gone", got)
	}
}

// Guards against a late report that is attributed to the task which runs when it arrives.
func TestLateReportIsNotChargedToTheNextTask(t *testing.T) {
	n := newPredictorFixture("replaced", "loud")
	n.reportNoSlowdown(20_000, 60_000, "replaced", "loud")
	for now := model.Millis(60_000); now <= 90_000; now += 5000 {
		slow, loud, job := 1.0, 1.0, model.JobID("j-noisy")
		if now-13_000 >= 60_000 {
			slow, loud = 3, 2
		}
		if now >= 80_000 {
			job = "j-next"
		}
		n.report("replaced", now, slow, job)
		n.report("loud", now, loud, "j-loud")
	}
	if got := n.pick("replaced", "loud"); got != "replaced" {
		t.Errorf("picked %s", got)
	}
}

// Guards against a target without reports that never gets a request, or gets most of them.
func TestTargetWithoutReportsIsMeasured(t *testing.T) {
	n := newPredictorFixture("silent", "known")
	n.reportNoSlowdown(20_000, 100_000, "known")
	for now := model.Millis(100_000); now < 150_000; now += 5000 {
		n.report("known", now, 1, "j-known")
		n.report("silent", now, 0, "j-silent")
	}
	picks := map[model.TargetID]int{}
	for range 100 {
		picks[n.pick("silent", "known")]++
	}
	if picks["silent"] != 1 {
		t.Errorf("%d of 100 requests at the target without reports, want 1", picks["silent"])
	}
	busy := idleCandidates("silent", "known")
	busy[1].Free.Slots = 1
	if got := n.Pick(service, busy); got != 0 {
		t.Error("a target without reports gets no request although the other is busy")
	}
	if unknown := idleCandidates("new", "known"); n.Pick(service, unknown) != 0 {
		t.Error("a target without a prediction was not picked although the other one is no better")
	}
}

// Guards against use of an untrained model: without reports, PredictivePicker
// picks as MostFree does.
func TestWithoutReportsPicksMostFree(t *testing.T) {
	n, rng := newPredictorFixture("a", "b", "c"), rand.New(rand.NewPCG(3, 3))
	n.report("a", 1000, 0, "j")
	for range 100 {
		candidates := idleCandidates("a", "b", "c")
		for i := range candidates {
			candidates[i].Free.Slots = int32(rng.IntN(9))
		}
		if got, want := n.Pick(service, candidates), (MostFree{}).Pick(service, candidates); got != want {
			t.Fatalf("picked %d of %+v, want %d", got, candidates, want)
		}
	}
}

// Guards against requests that wait while the model handles a report, and against data races.
func TestPickWaitsForNoReport(t *testing.T) {
	n := newPredictorFixture("a", "b")
	n.reportNoSlowdown(20_000, 60_000, "a", "b")
	n.mu.Lock()
	n.pick("a", "b") // blocks forever if Pick takes the model's lock
	n.mu.Unlock()
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			for range 2000 {
				n.pick("a", "b")
			}
		})
	}
	for i := range model.Millis(200) {
		n.report("a", 60_000+i*1000, 1, model.JobID(fmt.Sprint(i/5)))
		n.SetTargets([]model.TargetID{"a", "b"}[:1+i%2])
	}
	group.Wait()
}

// slowObserver blocks in Observe until it is released.
type slowObserver struct {
	MostFree
	began, release chan struct{}
}

func (*slowObserver) SetTargets([]model.TargetID) {}

func (s *slowObserver) Observe(Observation) {
	s.began <- struct{}{}
	<-s.release
}

// Guards against an observer that is called with a lock of the table held.
func TestReserveWaitsForNoObserver(t *testing.T) {
	f := newFixture(t, longTTL)
	slow := &slowObserver{began: make(chan struct{}), release: make(chan struct{})}
	f.table.observer = slow
	f.own()
	done := make(chan error)
	go func() {
		_, err := f.report(1, nil)
		done <- err
	}()
	<-slow.began
	if !f.takesWork() { // blocks forever if a lock is held
		t.Error("a report in progress blocks ReserveQuick")
	}
	f.own()
	close(slow.release)
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// Guards against memory that grows without bound with the number of distinct task kinds, services
// and targets that are reported.
func TestPredictiveIsBounded(t *testing.T) {
	n := newPredictorFixture("a")
	for i := range model.Millis(3 * maxKinds) {
		id := fmt.Sprint(i)
		n.version++
		n.Observe(Observation{
			Target: "a", Epoch: 1, Version: n.version, Now: 20_000 + i, Slots: 8,
			Tasks: []RunningTask{{Attempt: model.AttemptID{Job: model.JobID(id)}, Kind: id, Level: 1}},
			Usage: []model.UsageReport{{Service: model.ServiceID(id), FromMs: 1, ToMs: 2, LatencyUs: 1, Requests: 1}},
		})
		n.Observe(Observation{Target: model.TargetID(id)})
	}
	if len(n.kinds) > maxKinds || len(n.services) > maxServices || len(n.targets) != 1 || len(n.targets["a"].tasks) != 1 {
		t.Errorf("%d kinds, %d services, %d targets", len(n.kinds), len(n.services), len(n.targets))
	}
}
