package response_test

import (
	"fmt"
	"testing"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/response"
)

// BenchmarkDecide measures one decision, which does not depend on the number of workers
// beyond the lookup of the target.
func BenchmarkDecide(b *testing.B) {
	for _, workers := range []int{50, 600, 17_000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			c := response.New(response.Config{Weights: tailFirst})
			ids := make([]model.TargetID, workers)
			for i := range ids {
				ids[i] = model.TargetID(fmt.Sprintf("w%05d", i))
			}
			var tasks []response.Task
			for i := range 16 {
				tasks = append(tasks, task(model.JobID(fmt.Sprint("j", i)), 1, 0.05*float64(i%4), float64(i)))
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				e := evidence(model.Millis(10_000+5000*i), 1.7, tasks...)
				e.Target = ids[i%workers]
				c.Decide(e)
			}
		})
	}
}
