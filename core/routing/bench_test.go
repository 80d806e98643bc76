package routing_test

import (
	"testing"

	"samphirepaddle.example/core/routing"
)

// BenchmarkChoose measures the choice among the targets that one gateway owns: 6 and 8 at the
// sites with 50 and 65 workers, and 590 with 29 gateways and 17,000 workers.
func BenchmarkChoose(b *testing.B) {
	for name, owned := range map[string]int{"6": 6, "8": 8, "590": 590} {
		b.Run(name, func(b *testing.B) {
			var candidates []routing.Candidate
			for i := range owned {
				candidates = append(candidates, routing.Candidate{Slots: 4, Busy: float64(i%4) / 2, Slowdown: 1 + float64(i%7)/10})
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				routing.Choose(candidates)
			}
		})
	}
}
