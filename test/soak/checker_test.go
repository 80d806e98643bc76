package soak

import (
	"testing"
	"time"

	"samphirepaddle.example/platform/standin"
)

// checkerFixture is a checker with one accepted job of two steps, the second after the first.
type checkerFixture struct {
	*Checker
	t *testing.T
}

func newCheckerFixture(t *testing.T) *checkerFixture {
	h := &checkerFixture{NewChecker(func(string) {}), t}
	h.Submitting("j", standin.Job{Payload: "p", Steps: []standin.Step{{Count: 1}, {Count: 1, After: []int{0}}}})
	h.Accepted("j")
	return h
}

func (h *checkerFixture) observe(kind standin.EventKind, worker, task string, attempt uint32, outcome string) {
	h.Observe(standin.Event{Kind: kind, Worker: worker, StartedAt: 1, Task: task, Attempt: attempt, Payload: "p", Outcome: outcome})
}

const (
	firstTask  = "j.0.0.0"
	secondTask = "j.0.1.0"
)

// runAttempt observes the start, the end and the acknowledgement of an attempt.
func (h *checkerFixture) runAttempt(worker, task string, attempt uint32, outcome string) {
	h.observe(standin.RunStarted, worker, task, attempt, "")
	h.observe(standin.RunEnded, worker, task, attempt, outcome)
	h.observe(standin.RunAcknowledged, worker, task, attempt, outcome)
}

// Guards against a checker that misses a violation or reports one where there is none.
func TestCheckerSeesBrokenPromises(t *testing.T) {
	for name, c := range map[string]struct {
		run  func(*checkerFixture)
		want string
	}{
		"no violation": {func(h *checkerFixture) {
			h.runAttempt("a", firstTask, 1, "failed")
			h.runAttempt("b", firstTask, 2, "done")
			h.runAttempt("b", secondTask, 1, "done")
			h.StatusRead("j", time.Now(), standin.Reply{Status: 200, Body: []byte(`{"state":"completed"}`)})
		}, ""},
		"restart after a crash": {func(h *checkerFixture) {
			h.observe(standin.RunStarted, "a", firstTask, 1, "")
			h.observe(standin.WorkerCrashed, "a", "", 0, "")
			h.runAttempt("b", firstTask, 2, "done")
		}, ""},
		"start in an evacuated zone": {func(h *checkerFixture) {
			h.Evacuated("")
			h.evacuatedAt[""] = time.Now().Add(-time.Minute)
			h.faultFreeSince = time.Now().Add(-time.Minute)
			h.observe(standin.RunStarted, "a", firstTask, 1, "")
		}, "evacuation"},
		"start in a zone that was taken back": {func(h *checkerFixture) {
			h.Evacuated("")
			h.evacuatedAt[""] = time.Now().Add(-time.Minute)
			h.faultFreeSince = time.Now().Add(-time.Minute)
			h.TakingBack("")
			h.observe(standin.RunStarted, "a", firstTask, 1, "")
		}, ""},
		"two concurrent attempts": {func(h *checkerFixture) {
			h.observe(standin.RunStarted, "a", firstTask, 1, "")
			h.observe(standin.RunStarted, "b", firstTask, 2, "")
		}, "twice"},
		"start after the acknowledged end": {func(h *checkerFixture) {
			h.runAttempt("a", firstTask, 1, "done")
			h.observe(standin.RunStarted, "b", firstTask, 2, "")
		}, "twice"},
		"end acknowledged after another start": {func(h *checkerFixture) {
			h.observe(standin.RunStarted, "a", firstTask, 1, "")
			h.observe(standin.RunEnded, "a", firstTask, 1, "done")
			h.observe(standin.RunStarted, "b", firstTask, 2, "")
			h.observe(standin.RunAcknowledged, "a", firstTask, 1, "done")
		}, "twice"},
		"start before the previous step is done": {func(h *checkerFixture) { h.observe(standin.RunStarted, "a", secondTask, 1, "") }, "order"},
		"start of an unknown job":                {func(h *checkerFixture) { h.observe(standin.RunStarted, "a", "k.0.0.0", 1, "") }, "unasked"},
		"start after refusals": {func(h *checkerFixture) {
			h.SubmissionAbandoned("j", true)
			h.observe(standin.RunStarted, "a", firstTask, 1, "")
		}, "refused"},
		"refusal after a start": {func(h *checkerFixture) {
			h.observe(standin.RunStarted, "a", firstTask, 1, "")
			h.SubmissionAbandoned("j", true)
		}, "refused"},
		"start after the last allowed failure": {func(h *checkerFixture) {
			for attempt := range uint32(maxAttempts) {
				h.runAttempt("a", firstTask, attempt+1, "failed")
			}
			h.observe(standin.RunStarted, "a", firstTask, maxAttempts+1, "")
		}, "budget"},
		"completed before the last step is done": {func(h *checkerFixture) {
			h.runAttempt("a", firstTask, 1, "done")
			h.StatusRead("j", time.Now(), standin.Reply{Status: 200, Body: []byte(`{"state":"completed"}`)})
		}, "mixed"},
		"accepted job is unknown": {func(h *checkerFixture) {
			h.StatusRead("j", time.Now().Add(2*visibleBound), standin.Reply{Status: 410})
		}, "lost"},
		"stale configuration": {func(h *checkerFixture) {
			h.ConfigurationAcked(7)
			h.ConfigurationRead("c", time.Now().Add(2*configBound), standin.Reply{Status: 200, Body: []byte(`{"version":6}`)})
		}, "config"},
	} {
		h := newCheckerFixture(t)
		c.run(h)
		got := ""
		if v := h.Violations(); len(v) > 0 {
			got = v[0].Promise
		}
		if got != c.want {
			t.Errorf("%s: violation of %q, want %q", name, got, c.want)
		}
	}
}
