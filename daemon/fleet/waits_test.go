package fleet

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"samphirepaddle.example/core/dispatch"
	"samphirepaddle.example/core/workflow"
	"samphirepaddle.example/daemon/bootclock"
)

// Guards against long-running tasks that are down without a log line: it is written even where the
// lines about other steps are dropped.
func TestWaitsOfRestartsAreNotSampled(t *testing.T) {
	var out bytes.Buffer
	logger := zerolog.New(&out)
	l := &leadership{logger: logger, sampledLogger: logger.Sample(&logLimiter{}), waits: map[waitKey]*waitLog{}}
	waits := []dispatch.WaitingStep{{Job: "short", Reason: dispatch.WaitNoCapacity}, {Job: "lasting", Reason: dispatch.WaitNoCapacity, Restarts: 2}}
	begin := bootclock.Now()
	l.logWaits(&dispatch.Snapshot{}, waits, begin)
	l.logWaits(&dispatch.Snapshot{}, waits, begin.Add(minLoggedWait))
	if got := out.String(); strings.Count(got, "\n") != 1 || !strings.Contains(got, `"job":"lasting"`) || !strings.Contains(got, `"restarts":2`) {
		t.Errorf("the log is %q, want one line about the job whose tasks ran before", got)
	}
}

// Guards against late jobs without a log line that explains the wait, and against a line for every
// pass.
func TestWaitsAreLogged(t *testing.T) {
	var out bytes.Buffer
	l := &leadership{sampledLogger: zerolog.New(&out), waits: map[waitKey]*waitLog{}}
	waits := []dispatch.WaitingStep{{Job: "j", Step: 1, Reason: dispatch.WaitInterference}}
	begin := bootclock.Now()
	lines := func() int { return strings.Count(out.String(), "\n") }
	for _, c := range []struct {
		after time.Duration
		waits []dispatch.WaitingStep
		lines int
	}{
		{0, waits, 0},
		{minLoggedWait, waits, 1},
		{minLoggedWait + waitLogInterval/2, waits, 1},
		{minLoggedWait + waitLogInterval, waits, 2},
		{2 * waitLogInterval, nil, 2},
		{2*waitLogInterval + time.Millisecond, waits, 2}, // a new wait
	} {
		if l.logWaits(&dispatch.Snapshot{}, c.waits, begin.Add(c.after)); lines() != c.lines {
			t.Errorf("after %v there are %d lines, want %d", c.after, lines(), c.lines)
		}
	}
	for _, want := range []string{`"job":"j"`, `"step":1`, `"reason":"it would interfere with serving tasks"`, `"waited_ms":1000`} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%s is missing in %s", want, out.String())
		}
	}
}

// waitingFleet returns a leadership with two workers for each reason why none may start, and the state of the
// service as lines show it. One usable worker runs a task that reserves a quarter of its cores.
func waitingFleet(t *testing.T, out *bytes.Buffer, now bootclock.Time) (*leadership, *dispatch.Snapshot, string) {
	l, st := planningLeadership(t, 15, 0, 0)
	l.logger = zerolog.New(out)
	sessions := make([]*session, 0, 15)
	for _, id := range l.sortedWorkers(st.Workflows) {
		s := l.sessions[st.Workflows.Workers[id].Incarnation]
		s.answeredAt = now.Add(time.Hour) // so that the fleet stays as it is
		sessions = append(sessions, s)
	}
	for i, set := range []func(*session, *workflow.Worker){
		func(s *session, _ *workflow.Worker) { s.replaced = true },
		func(_ *session, w *workflow.Worker) { w.Draining = true },
		func(s *session, _ *workflow.Worker) { s.tokenAccepted = false },
		func(s *session, _ *workflow.Worker) { s.failing = true },
		func(s *session, _ *workflow.Worker) { s.runsOrphan = true },
		func(s *session, _ *workflow.Worker) { s.pauseUntil = now.Add(time.Hour) },
		func(s *session, _ *workflow.Worker) { s.quarantine.until = now.Add(time.Hour) },
	} {
		for _, s := range sessions[2*i : 2*i+2] {
			set(s, st.Workflows.Workers[s.incarnation.Worker])
		}
	}
	snapshot := l.plannerInput(st, now)
	for _, w := range snapshot.Workers {
		if w.Usable {
			w.Isolated, w.Load = true, nil
			w.Allocations = []dispatch.Allocation{{OpenAttempt: workflow.OpenAttempt{Step: &workflow.StepSpec{CPUMillis: 16_000, MemoryMiB: 1000}}}}
		}
	}
	return l, snapshot, `"workers":15,"usable":1,"isolated":1,"unusable":{"replaced":2,"draining":2,"token_not_accepted":2,"silent":2,` +
		`"runs_unknown_attempt":2,"paused_after_refusal":2,"quarantined":2},"cpu":960000,"usable_cpu":64000,"usable_free_cpu":48000,` +
		`"memory_mib":3840000,"usable_free_memory_mib":255000,"used_percent":1,"usable_used_percent":25`
}

// Guards against a wait whose log line does not tell why workers are left out, and how much is free on the
// others.
func TestWaitsDescribeTheWorkersOfTheService(t *testing.T) {
	var out bytes.Buffer
	begin := bootclock.Now()
	l, snapshot, want := waitingFleet(t, &out, begin)
	waits := []dispatch.WaitingStep{{Job: "j", Service: "s", Reason: dispatch.WaitNoCapacity, Restarts: 1}}
	l.logWaits(snapshot, waits, begin)
	l.logWaits(snapshot, waits, begin.Add(minLoggedWait))
	if !strings.Contains(out.String(), want) {
		t.Errorf("the log is %q, want %s", out.String(), want)
	}
}

// Guards against attempts on workers that do not answer that count as at work, and against others that do not.
func TestPlannerKnowsWhichWorkersAreSilent(t *testing.T) {
	_, snapshot, _ := waitingFleet(t, &bytes.Buffer{}, bootclock.Now())
	for i, w := range snapshot.Workers {
		if want := i < 2 || (i >= 4 && i < 8); w.Silent != want { // replaced; token not accepted, failing
			t.Errorf("worker %d is silent %v, want %v", i, w.Silent, want)
		}
	}
}
