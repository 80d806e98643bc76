package slowdown_test

import (
	"fmt"
	"testing"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/slowdown"
)

// newModelWithTasks returns a model with 16 tasks on each of the targets.
func newModelWithTasks(workers int) (*slowdown.Model, []model.TargetID) {
	m := slowdown.New(slowdown.Config{})
	ids := make([]model.TargetID, workers)
	for i := range ids {
		ids[i] = model.TargetID(fmt.Sprintf("w%05d", i))
		m.SetTarget(ids[i], 24)
		for j := range 16 {
			attempt := model.AttemptID{Job: model.JobID(fmt.Sprint("j-", i, "-", j)), Number: 1}
			m.TaskStarted(ids[i], attempt, fmt.Sprint("kind-", j%12), 0)
		}
	}
	return m, ids
}

// BenchmarkObserve measures one report, which does not depend on the number of workers.
func BenchmarkObserve(b *testing.B) {
	for _, workers := range []int{50, 600, 17_000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			m, ids := newModelWithTasks(workers)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				from := model.Millis(1000 + 5*i)
				report := model.UsageReport{Service: "svc", FromMs: from, ToMs: from + 5000, LatencyUs: 20_000, Requests: 100}
				m.Observe(ids[i%workers], report, from+8000)
			}
		})
	}
}
