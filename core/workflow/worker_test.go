package workflow

import (
	"testing"

	"samphirepaddle.example/core/model"
)

// Guards against a heartbeat that arrives late, through another leader's batch, and undoes a later one.
func TestEarlierHeartbeatKeepsLaterAttributes(t *testing.T) {
	s := New()
	report := func(sequence uint64, cpuMillis int64, draining bool) {
		worker := Worker{Incarnation: Incarnation{"a", 1}, CPUMillis: cpuMillis, ReportSequence: sequence, Draining: draining}
		s.Apply(0, nil, &Command{Batch: &Batch{Workers: []Worker{worker}}})
	}
	for _, step := range []struct {
		sequence     uint64
		cpu          int64
		draining     bool
		wantCPU      int64
		wantDraining bool
	}{
		{5, 1000, false, 1000, false},
		{4, 4000, true, 1000, true},
		{0, 2000, false, 2000, true}, // a report without a number
		{4, 4000, false, 2000, true},
		{6, 4000, false, 4000, true},
	} {
		report(step.sequence, step.cpu, step.draining)
		if w := s.Workers["a"]; w.CPUMillis != step.wantCPU || w.Draining != step.wantDraining {
			t.Errorf("after %+v the record is %+v", step, *w)
		}
	}
}

// Guards against a leader that does not know that calls to the former process of a worker may reach the present one.
func TestRecordSaysSinceWhenAProcessFollowsAnother(t *testing.T) {
	s := New()
	report := func(now, startedAt model.Millis) {
		worker := Worker{Incarnation: Incarnation{"a", startedAt}, CPUMillis: int64(now)}
		s.Apply(now, nil, &Command{Batch: &Batch{Workers: []Worker{worker}}})
	}
	for _, step := range []struct{ now, startedAt, want model.Millis }{{1, 1, 0}, {2, 2, 2}, {3, 2, 2}, {4, 1, 2}, {5, 3, 5}} {
		report(step.now, step.startedAt)
		if got := s.Workers["a"].FollowedAt; got != step.want {
			t.Errorf("after %+v the process follows another one since %d", step, got)
		}
	}
}
