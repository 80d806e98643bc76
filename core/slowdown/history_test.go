package slowdown

import (
	"testing"

	"samphirepaddle.example/core/model"
)

// Guards against memory that grows with the number of level changes of a long-running task, and
// against a mean level that is wrong after old levels have been dropped.
func TestOldLevelsAreDropped(t *testing.T) {
	m := New(Config{})
	id := model.AttemptID{Job: "j", Number: 1}
	m.TaskStarted("w", id, "k", 0)
	for at := model.Millis(1000); at <= 3_600_000; at += 1000 {
		m.TaskThrottled("w", id, float64(at/1000%2), at)
	}
	r := m.targets["w"].running[0]
	if limit := int(defaultHistoryMs/1000) + 2; len(r.levels) > limit {
		t.Errorf("%d levels are kept, want at most %d", len(r.levels), limit)
	}
	if meanLevel := r.meanLevel(3_010_000, 3_020_000); meanLevel != 0.5 {
		t.Errorf("mean level %.2f of a task that ran every other second, want 0.5", meanLevel)
	}
}
