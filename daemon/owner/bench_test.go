package owner

import (
	"fmt"
	"testing"
	"time"

	"samphirepaddle.example/core/model"
)

// BenchmarkPick measures PredictivePicker.Pick, and its ratio to MostFree.Pick in the same run, with
// half of the targets partly busy.
func BenchmarkPick(b *testing.B) {
	for _, owned := range []int{6, 50} {
		b.Run(fmt.Sprint(owned), func(b *testing.B) {
			var targets []model.TargetID
			for i := range owned {
				targets = append(targets, model.TargetID(fmt.Sprintf("w%05d", i)))
			}
			n := newPredictorFixture(targets...)
			n.reportNoSlowdown(20_000, 60_000, targets...)
			candidates := idleCandidates(targets...)
			for i := range candidates {
				candidates[i].Free.Slots -= int32(i % 2 * 3)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				n.Pick(service, candidates)
			}
			b.StopTimer()
			predicted := b.Elapsed()
			begin := time.Now()
			for range b.N {
				(MostFree{}).Pick(service, candidates)
			}
			b.ReportMetric(float64(predicted)/float64(time.Since(begin)), "x-MostFree")
		})
	}
}
