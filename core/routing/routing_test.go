package routing_test

import (
	"testing"

	"samphirepaddle.example/core/routing"
)

// Guards against a request being sent to a slow target although a faster one is equally free,
// or to a busy target although a slower one is free.
func TestChoosesByQueueAndSlowdown(t *testing.T) {
	tests := map[string]struct {
		candidates []routing.Candidate
		want       int
	}{
		"less slowdown": {[]routing.Candidate{{Slots: 2, Slowdown: 1.4}, {Slots: 2, Slowdown: 1.1}}, 1},
		"free slot":     {[]routing.Candidate{{Slots: 2, Slowdown: 1.4}, {Slots: 2, Busy: 1.9, Slowdown: 1.1}}, 0},
		"no slot":       {[]routing.Candidate{{Slots: 0, Slowdown: 1}}, -1},
	}
	for name, test := range tests {
		if got := routing.Choose(test.candidates); got != test.want {
			t.Errorf("%s: chose %d, want %d", name, got, test.want)
		}
	}
}

// Guards against accepting a request that cannot meet its deadline.
func TestRefusesUnreachableDeadline(t *testing.T) {
	d := routing.DeadlineCheck{RemainingMs: 50, NetworkMs: 2, ServiceMs: 20, Slowdown: 1.5, ServingSlots: 2}
	if ok, _ := routing.MeetsDeadline(d); !ok {
		t.Fatal("32 ms of 50 ms were refused")
	}
	d.Queued = 4
	if ok, expected := routing.MeetsDeadline(d); ok {
		t.Fatalf("%.0f ms of 50 ms were accepted", expected)
	}
}
