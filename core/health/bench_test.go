package health_test

import (
	"fmt"
	"testing"

	"samphirepaddle.example/core/health"
	"samphirepaddle.example/core/model"
)

// BenchmarkFailed measures recording a failure and then a success on the same target.
func BenchmarkFailed(b *testing.B) {
	for _, workers := range []int{50, 600, 17_000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			tracker := health.New(health.Config{})
			targets := make([]model.TargetID, workers)
			for i := range targets {
				targets[i] = model.TargetID(fmt.Sprintf("w%05d", i))
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				tracker.Failed("job", targets[i%workers], model.Millis(i))
				tracker.Succeeded("job", targets[i%workers], model.Millis(i))
			}
		})
	}
}
