package soak

import (
	"testing"
	"time"

	"samphirepaddle.example/platform/standin"
)

// history feeds a checker by hand.
type history struct {
	*Checker
	t *testing.T
}

func newHistory(t *testing.T) *history {
	h := &history{NewChecker(func(string) {}), t}
	h.HandIn("j", standin.Job{Payload: "p", Steps: []standin.Step{{Count: 1}, {Count: 1, After: []int{0}}}})
	h.Accepted("j")
	return h
}

func (h *history) event(kind standin.EventKind, worker, task string, attempt uint32, how string) {
	h.Observe(standin.Event{Kind: kind, Worker: worker, StartedAt: 1, Task: task, Attempt: attempt, Payload: "p", Outcome: how})
}

const (
	firstTask  = "j.0.0.0"
	secondTask = "j.0.1.0"
)

// run starts, ends and acknowledges an attempt.
func (h *history) run(worker, task string, attempt uint32, how string) {
	h.event(standin.RunStarted, worker, task, attempt, "")
	h.event(standin.RunEnded, worker, task, attempt, how)
	h.event(standin.RunAcknowledged, worker, task, attempt, how)
}

// Guards against a checker that does not see a broken promise, or sees one where all is kept.
func TestCheckerSeesBrokenPromises(t *testing.T) {
	for name, c := range map[string]struct {
		play func(*history)
		want string
	}{
		"in order": {func(h *history) {
			h.run("a", firstTask, 1, "failed")
			h.run("b", firstTask, 2, "done")
			h.run("b", secondTask, 1, "done")
			h.Shown("j", time.Now(), standin.Reply{Status: 200, Body: []byte(`{"state":"completed"}`)})
		}, ""},
		"restart after a crash": {func(h *history) {
			h.event(standin.RunStarted, "a", firstTask, 1, "")
			h.event(standin.WorkerCrashed, "a", "", 0, "")
			h.run("b", firstTask, 2, "done")
		}, ""},
		"two at a time": {func(h *history) {
			h.event(standin.RunStarted, "a", firstTask, 1, "")
			h.event(standin.RunStarted, "b", firstTask, 2, "")
		}, "twice"},
		"after its end": {func(h *history) {
			h.run("a", firstTask, 1, "done")
			h.event(standin.RunStarted, "b", firstTask, 2, "")
		}, "twice"},
		"end acknowledged after a restart": {func(h *history) {
			h.event(standin.RunStarted, "a", firstTask, 1, "")
			h.event(standin.RunEnded, "a", firstTask, 1, "done")
			h.event(standin.RunStarted, "b", firstTask, 2, "")
			h.event(standin.RunAcknowledged, "a", firstTask, 1, "done")
		}, "twice"},
		"before its turn":  {func(h *history) { h.event(standin.RunStarted, "a", secondTask, 1, "") }, "order"},
		"of nobody":        {func(h *history) { h.event(standin.RunStarted, "a", "k.0.0.0", 1, "") }, "unasked"},
		"after refusals":   {func(h *history) { h.GivenUp("j", true); h.event(standin.RunStarted, "a", firstTask, 1, "") }, "refused"},
		"refused too late": {func(h *history) { h.event(standin.RunStarted, "a", firstTask, 1, ""); h.GivenUp("j", true) }, "refused"},
		"too often": {func(h *history) {
			for attempt := range uint32(maxAttempts) {
				h.run("a", firstTask, attempt+1, "failed")
			}
			h.event(standin.RunStarted, "a", firstTask, maxAttempts+1, "")
		}, "budget"},
		"completed too early": {func(h *history) {
			h.run("a", firstTask, 1, "done")
			h.Shown("j", time.Now(), standin.Reply{Status: 200, Body: []byte(`{"state":"completed"}`)})
		}, "mixed"},
		"unknown": {func(h *history) {
			h.Shown("j", time.Now().Add(2*visibleBound), standin.Reply{Status: 410})
		}, "lost"},
		"older configuration": {func(h *history) {
			h.Configured(7)
			h.ReadConfiguration("c", time.Now().Add(2*configBound), standin.Reply{Status: 200, Body: []byte(`{"version":6}`)})
		}, "config"},
	} {
		h := newHistory(t)
		c.play(h)
		got := ""
		if v := h.Violations(); len(v) > 0 {
			got = v[0].Promise
		}
		if got != c.want {
			t.Errorf("%s: broken promise %q, want %q", name, got, c.want)
		}
	}
}
