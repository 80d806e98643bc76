package routing_test

import (
	"testing"

	"samphirepaddle.example/core/routing"
)

// BenchmarkChoose measures one choice among the targets of one gateway: 6 and 8 at the
// sites of 50 and 65 workers, 590 if 29 gateways own 17,000.
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
