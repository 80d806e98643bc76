package routing_test

import (
	"testing"

	"samphirepaddle.example/core/routing"
)

// Guards against a request being sent to a slowed target while an equally free one is not.
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

// Guards against queueing a request that is bound to miss its deadline.
func TestRefusesEarly(t *testing.T) {
	d := routing.Deadline{LeftMs: 50, NetworkMs: 2, ServiceMs: 20, Slowdown: 1.5, ServersFree: 2}
	if ok, _ := routing.Meets(d); !ok {
		t.Fatal("32 ms of 50 ms were refused")
	}
	d.Queued = 4
	if ok, expected := routing.Meets(d); ok {
		t.Fatalf("%.0f ms of 50 ms were accepted", expected)
	}
}
