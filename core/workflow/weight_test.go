package workflow

import (
	"strings"
	"testing"
)

// Guards against a weight that grows with jobs that have ended, and against one that differs after a restore.
func TestWeightFollowsTheLiveJobs(t *testing.T) {
	s, _, _ := newState(t)
	submit(t, s, "large", StepSpec{Count: 1000, Image: strings.Repeat("i", 5000)})
	submit(t, s, "small", StepSpec{Count: 1})
	if got := s.Weight(); got < 1000*taskBytes+5000 || got > 1000*taskBytes+5000+4000 {
		t.Errorf("the weight is %d", got)
	}
	if restored := Restore(s.Capture()); restored.Weight() != s.Weight() {
		t.Errorf("the weight is %d after a restore and %d before", restored.Weight(), s.Weight())
	}
	for _, id := range []string{"large", "small"} {
		apply(t, s, 2, Command{Cancel: &Cancel{Host: "h", Path: "/q/" + id}})
	}
	if got := s.Weight(); got != 2*endedJobBytes {
		t.Errorf("the weight is %d once the jobs have ended", got)
	}
}

// Guards against a small request whose tasks take all memory.
func TestWeightCountsTasksAndOccurrences(t *testing.T) {
	wide := Submission{Steps: []StepSpec{{Count: 10_000, EstimateMs: 1000}}}
	often := Submission{Steps: []StepSpec{{Count: 10, EstimateMs: 1000}}, Repeats: 100_000, IntervalMs: 1}
	rare := Submission{Steps: []StepSpec{{Count: 10, EstimateMs: 1000}}, Repeats: 100_000, IntervalMs: 60_000}
	for what, c := range map[string]struct {
		submission Submission
		atLeast    int64
		below      int64
	}{
		"many tasks":         {wide, 10_000 * taskBytes, 10_100 * taskBytes},
		"many at a time":     {often, 10_000 * taskBytes, 11_000 * taskBytes},
		"one after the last": {rare, 10 * taskBytes, 40 * taskBytes},
	} {
		if got := c.submission.Weight(); got < c.atLeast || got >= c.below {
			t.Errorf("%s: the weight is %d, want %d to %d", what, got, c.atLeast, c.below)
		}
	}
}
