package scheduler

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/syncmsg"
	"samphirepaddle.example/daemon/replica"
)

// Guards against a job that can never run and blocks others or is not marked with its reason,
// and against one that stays marked when a larger target arrives.
func TestNeverRunnable(t *testing.T) {
	w := newSite(t, newSingleLog(), 1)
	w.submit("huge", "a", 64, true)
	w.submit("quota", "small", 2, false)
	w.submit("fine", "a", 1, false)
	w.plan()
	if w.job("fine").Phase != state.JobAssigned {
		t.Fatal("a runnable job waits behind one that can never run")
	}
	if reason := w.job("huge").NeverRunnableReason; !strings.HasPrefix(reason, neverCapacity) || !strings.Contains(reason, "slots: need 64") {
		t.Fatalf("reason %q", reason)
	}
	if reason := w.job("quota").NeverRunnableReason; !strings.HasPrefix(reason, neverQuota) {
		t.Fatalf("reason %q", reason)
	}
	w.join("large", 64)
	w.plan()
	w.plan()
	if w.job("huge").Phase != state.JobAssigned {
		t.Fatalf("job after a larger target has arrived: %+v", w.job("huge"))
	}
}

// Guards against urgent work that waits behind batch work, against evicting a task that loses
// more work than another one, and against more evictions than needed.
func TestUrgentPreemptsTheYoungest(t *testing.T) {
	w := newSite(t, newSingleLog(), 1)
	for i := range 4 {
		w.submit(fmt.Sprint("batch", i), "a", 1, false)
		w.plan()
	}
	w.submit("urgent", "b", 1, true)
	w.plan()
	w.plan()
	for i := range 4 {
		if evicting := w.job(fmt.Sprint("batch", i)).OpenAttempt.EvictionReason != ""; evicting != (i == 3) {
			t.Fatalf("batch%d evicting: %v", i, evicting)
		}
	}
	w.end(state.OutcomeEvicted, func(j *state.Job) bool { return j.OpenAttempt.EvictionReason != "" })
	w.plan()
	if w.job("urgent").Phase != state.JobAssigned {
		t.Fatal("the urgent job was not placed in the capacity of the evicted one")
	}
}

// Guards against one tenant's long queue that keeps other tenants out.
func TestFairShare(t *testing.T) {
	w := newSite(t, newSingleLog(), 2)
	for i := range 100 {
		w.submit(fmt.Sprint("a", i), "a", 1, false)
	}
	for i := range 4 {
		w.submit(fmt.Sprint("b", i), "b", 1, false)
	}
	w.plan()
	for i := range 4 {
		if w.job(fmt.Sprint("b", i)).Phase != state.JobAssigned {
			t.Fatalf("b%d waits behind the queue of the other tenant", i)
		}
	}
}

// Guards against a target on which every task fails and which, because it stays free, gets all work;
// against more than one probe at a time; and against a quarantine that never ends.
func TestQuarantineAndProbes(t *testing.T) {
	w := newSite(t, newSingleLog(), 1)
	for i := range 12 {
		w.submit(fmt.Sprint("j", i), "a", 1, false)
	}
	all := func(*state.Job) bool { return true }
	quarantined := func() (reason string) {
		w.log.View(func(st *state.State) { reason = st.Targets["t0"].QuarantineReason })
		return reason
	}
	open := func() (n int) {
		w.log.View(func(st *state.State) { n = st.OpenAttemptCount() })
		return n
	}
	w.plan()
	w.end(state.OutcomeFailed, all)
	w.plan()
	if quarantined() == "" {
		t.Fatal("four different jobs failed and the target is not in quarantine")
	}
	for range 3 {
		w.plan()
	}
	if open() != 0 {
		t.Fatal("a target in quarantine got work before a probe was due")
	}
	for range 2 {
		w.now += 20_000
		w.plan()
		w.plan()
		if open() != 1 {
			t.Fatalf("%d probes are open", open())
		}
		w.end(state.OutcomeFinished, all)
		w.plan()
	}
	if quarantined() != "" {
		t.Fatalf("quarantine after two successful probes: %q", quarantined())
	}
}

// Guards against a broken job that is retried forever and puts healthy targets in quarantine.
func TestBrokenJobIsBlamed(t *testing.T) {
	w := newSite(t, newSingleLog(), 6)
	w.submit("broken", "a", 1, false)
	for range 6 {
		w.plan()
		w.end(state.OutcomeFailed, func(*state.Job) bool { return true })
		w.plan()
	}
	if reason := w.job("broken").NeverRunnableReason; !strings.HasPrefix(reason, neverFails) {
		t.Fatalf("job after failures on several targets: %+v", w.job("broken"))
	}
	w.log.View(func(st *state.State) {
		for _, target := range st.AllTargets() {
			if target.QuarantineReason != "" {
				t.Fatalf("target %s is in quarantine: %s", target.ID, target.QuarantineReason)
			}
		}
	})
}

// Guards against placing all work of one class on one rack because its targets have the most
// free capacity, while other racks are free.
func TestSpreadOverRacks(t *testing.T) {
	w := newSite(t, newSingleLog(), 0)
	for i, slots := range []int32{32, 32, 4, 4} {
		w.mustPropose(state.Command{JoinTarget: &state.JoinTarget{
			Target: model.TargetID(fmt.Sprint("t", i)), StartID: "p", Pool: "shops",
			Rack: model.Rack(fmt.Sprint("r", i/2)), Capacity: model.Resources{Slots: slots},
		}})
	}
	for i := range 4 {
		w.submit(fmt.Sprint("j", i), "a", 1, false)
	}
	w.plan()
	racks := map[model.Rack]int{}
	w.log.View(func(st *state.State) {
		for _, target := range st.AllTargets() {
			racks[target.Rack] += len(st.OpenJobsOn(target.ID))
		}
	})
	if racks["r0"] == 0 || racks["r1"] == 0 {
		t.Fatalf("tasks on each rack: %v", racks)
	}
}

// slowLog blocks assignments until release is closed, and counts them.
type slowLog struct {
	*replica.MemoryLog
	release chan struct{}
	waiting atomic.Int32
}

func (l *slowLog) Propose(ctx context.Context, c state.Command) (state.Result, error) {
	if c.AssignAttempt != nil {
		l.waiting.Add(1)
		<-l.release
	}
	return l.MemoryLog.Propose(ctx, c)
}

// Guards against a scheduler that waits for each commit before the next proposal, or that has
// an unbounded number of proposals in flight.
func TestProposalsInFlightAreBounded(t *testing.T) {
	log := &slowLog{MemoryLog: newSingleLog(), release: make(chan struct{})}
	w := newSite(t, log, 100)
	for i := range 6 {
		for j := range maxJobsPerTenant {
			tenant := fmt.Sprint("x", i)
			if j == 0 {
				w.mustPropose(state.Command{SubmitTicket: &state.SubmitTicket{Ticket: model.Ticket{
					Number: uint64(10 + i), Tenants: []model.Tenant{{ID: model.TenantID(tenant)}},
				}}})
			}
			w.submit(fmt.Sprintf("j%d-%d", i, j), tenant, 1, false)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.s.Run(ctx)
	}()
	for log.waiting.Load() < maxInFlight {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
	if n := log.waiting.Load(); n != maxInFlight {
		t.Fatalf("%d proposals are in flight, bound %d", n, maxInFlight)
	}
	close(log.release)
	open := 0
	for open < 6*maxJobsPerTenant {
		w.log.View(func(st *state.State) { open = st.OpenAttemptCount() })
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-done
}

// Guards against reports of slow quick work that lead to no throttle, and against throttles
// that are sent to a gateway which does not own the target.
func TestSlowdownLeadsToThrottle(t *testing.T) {
	w := newSite(t, newSingleLog(), 1)
	report := func(latency int64) {
		w.usage = append(w.usage, syncmsg.TargetUsage{Target: "t0", Report: model.UsageReport{
			Service: "desk", FromMs: w.now - 1000, ToMs: w.now, Requests: 100, LatencyUs: latency, Used: model.Resources{Slots: 1},
		}})
		w.plan()
		w.now += 1000
	}
	for range 20 {
		report(1000)
	}
	for i := range 3 {
		w.submit(fmt.Sprint("noisy", i), "a", 1, false)
	}
	w.plan()
	for range 40 {
		report(4000)
	}
	var levels map[model.GatewayID][]syncmsg.Throttle
	w.log.View(func(st *state.State) { levels = w.s.planner.responder.levelsByOwner(st) })
	if len(levels["gw"]) == 0 {
		t.Fatal("a fourfold latency beside batch work led to no throttle")
	}
}

// Guards against assigning a task in every plan to a target whose owner refuses each one, which
// costs two commits each time.
func TestRefusalsBackOff(t *testing.T) {
	w := newSite(t, newSingleLog(), 1)
	w.submit("j", "a", 1, false)
	for range 600 { // one minute
		w.plan()
		w.end(state.OutcomeRefused, func(*state.Job) bool { return true })
	}
	if n := w.job("j").Attempts; n < 3 || n > 10 {
		t.Fatalf("%d attempts in one minute of refusals", n)
	}
}

// Guards against a planner that misses a change, because it processes only what the state lists as
// changed: resources would be held forever, or reserved twice.
func TestPlannerFollowsTheState(t *testing.T) {
	w := newSite(t, newSingleLog(), 3)
	rng := rand.New(rand.NewPCG(1, 2))
	outcomes := []state.Outcome{state.OutcomeFinished, state.OutcomeFailed, state.OutcomeEvicted, state.OutcomeRefused}
	for step := range 300 {
		w.submit(fmt.Sprint("j", step), "a", 1+int32(rng.IntN(2)), rng.IntN(5) == 0)
		w.end(outcomes[rng.IntN(len(outcomes))], func(*state.Job) bool { return rng.IntN(3) == 0 })
		target := model.TargetID(fmt.Sprint("t", rng.IntN(3)))
		switch rng.IntN(12) {
		case 0:
			var epoch model.Epoch
			w.log.View(func(st *state.State) { epoch = st.Targets[target].Epoch })
			w.log.Propose(t.Context(), state.Command{LoseTarget: &state.LoseTarget{Target: target, Epoch: epoch}})
		case 1:
			w.join(target, 4)
		case 2:
			w.mustPropose(state.Command{CancelJobs: &state.CancelJobs{Jobs: []model.JobID{model.JobID(fmt.Sprint("j", step/2))}}})
		}
		w.plan()
		w.log.View(func(st *state.State) {
			w.s.planner.update(st, nil, w.now)
			fresh := newPlanner()
			fresh.update(st, nil, w.now)
			if len(fresh.tracked) != len(w.s.planner.tracked) || fresh.capacity != w.s.planner.capacity {
				t.Fatalf("step %d: %d attempts are tracked, %d are open", step, len(w.s.planner.tracked), len(fresh.tracked))
			}
			for id := range fresh.tracked {
				if _, ok := w.s.planner.tracked[id]; !ok {
					t.Fatalf("step %d: open attempt %s is not tracked", step, id)
				}
			}
			for id := range st.Targets {
				if got, want := len(w.s.planner.placer.Tasks(id)), len(fresh.placer.Tasks(id)); got != want {
					t.Fatalf("step %d: %d tasks are tracked on target %s, %d are open", step, got, id, want)
				}
			}
		})
	}
}

// Guards against smaller jobs that take the capacity freed for an urgent job before all of it
// is free.
func TestRoomForUrgentWorkIsHeld(t *testing.T) {
	w := newSite(t, newSingleLog(), 1)
	for i := range 4 {
		w.submit(fmt.Sprint("batch", i), "a", 1, false)
	}
	w.plan()
	w.submit("urgent", "b", 2, true)
	for i := range 20 {
		w.submit(fmt.Sprint("small", i), "a", 1, false)
	}
	w.plan()
	for range 2 {
		first := true
		w.end(state.OutcomeEvicted, func(j *state.Job) bool {
			take := first && j.OpenAttempt.EvictionReason != ""
			first = first && !take
			return take
		})
		w.plan()
	}
	if w.job("urgent").Phase != state.JobAssigned {
		t.Fatalf("the urgent job is %s after its victims have stopped", w.job("urgent").Phase)
	}
}

// Guards against a large job that waits forever because smaller ones take all free capacity,
// and against jobs at the head of a queue that do not fit and block the jobs behind them.
func TestLargeJobRunsAmongSmallOnes(t *testing.T) {
	w := newSite(t, newSingleLog(), 2)
	small := 0
	next := func() {
		w.submit(fmt.Sprint("small", small), "b", 1, false)
		small++
	}
	for range 20 {
		next()
	}
	w.plan()
	for i := range 2 * maxJobsPerTenant {
		w.submit(fmt.Sprint("large", i), "a", 4, false)
	}
	w.submit("behind", "a", 1, false)
	steps := func(n int) {
		for range n {
			next()
			ended := false
			w.end(state.OutcomeFinished, func(*state.Job) bool {
				first := !ended
				ended = true
				return first
			})
			w.plan()
		}
	}
	steps(100)
	if w.job("behind").Attempts == 0 {
		t.Fatal("the job behind the large ones did not run")
	}
	if w.job("large0").Attempts != 0 {
		t.Fatal("the large job fits at once, so the test shows nothing")
	}
	steps(1000)
	if w.job("large0").Attempts == 0 {
		t.Fatal("the large job did not run")
	}
}

// Guards against an attempt that holds its resources forever because it was assigned and ended
// before the outcome of its proposal was known.
func TestAttemptThatEndsBeforeTheAnswer(t *testing.T) {
	w := newSite(t, newSingleLog(), 1)
	w.submit("short", "a", 1, false)
	p := w.s.planner
	var commands []state.Command
	summaries := w.TakeSummaries(0)
	w.log.View(func(st *state.State) { commands = p.decide(st, summaries, nil, w.now) })
	w.mustPropose(commands[0])
	w.end(state.OutcomeFinished, func(*state.Job) bool { return true })
	update := func() { w.log.View(func(st *state.State) { p.update(st, nil, w.now) }) }
	update()
	w.s.finishProposal(0, commands[0], true)
	update()
	if len(p.tracked) != 0 {
		t.Fatalf("%d attempts are tracked", len(p.tracked))
	}
}
