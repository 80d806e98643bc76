package slowdown

import (
	"testing"

	"samphirepaddle.example/core/model"
)

// Guards against a share that changes, or a memory that grows, with the throttles of a long task.
func TestOldThrottlesAreForgotten(t *testing.T) {
	m := New(Config{})
	id := model.AttemptID{Job: "j", Number: 1}
	m.TaskStarted("w", id, "k", 0)
	for at := model.Millis(1000); at <= 3_600_000; at += 1000 {
		m.TaskThrottled("w", id, float64(at/1000%2), at)
	}
	r := m.targets["w"].running[0]
	if most := int(defaultHistoryMs/1000) + 2; len(r.levels) > most {
		t.Errorf("%d levels are kept, want at most %d", len(r.levels), most)
	}
	if share := r.share(3_010_000, 3_020_000); share != 0.5 {
		t.Errorf("share %.2f of a task that ran every other second, want 0.5", share)
	}
}
