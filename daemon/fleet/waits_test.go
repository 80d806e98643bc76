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
	l.logWaits(waits, begin)
	l.logWaits(waits, begin.Add(minLoggedWait))
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
		if l.logWaits(c.waits, begin.Add(c.after)); lines() != c.lines {
			t.Errorf("after %v there are %d lines, want %d", c.after, lines(), c.lines)
		}
	}
	for _, want := range []string{`"job":"j"`, `"step":1`, `"reason":"it would interfere with serving tasks"`, `"waited_ms":1000`} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%s is missing in %s", want, out.String())
		}
	}
}

// Guards against a wait whose log line does not tell that workers are left out for a quarantine.
func TestWaitsTellHowManyWorkersAreQuarantined(t *testing.T) {
	var out bytes.Buffer
	begin := bootclock.Now()
	sound, failing := &session{}, &session{}
	failing.quarantine.stalled(begin)
	l := &leadership{logger: zerolog.New(&out), waits: map[waitKey]*waitLog{}, sessions: map[workflow.Incarnation]*session{{Worker: "a"}: sound, {Worker: "b"}: failing}}
	waits := []dispatch.WaitingStep{{Job: "j", Reason: dispatch.WaitNoCapacity, Restarts: 1}}
	l.logWaits(waits, begin)
	l.logWaits(waits, begin.Add(minLoggedWait))
	if !strings.Contains(out.String(), `"workers":2,"quarantined":1`) {
		t.Errorf("the log is %q, want 1 of 2 workers quarantined", out.String())
	}
}
