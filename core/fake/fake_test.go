package fake_test

import (
	"testing"

	"samphirepaddle.example/core/fake"
)

// run simulates a policy at the Tamworth site.
func run(seed uint64, options fake.Options) fake.Result {
	return fake.Run(fake.Tamworth(), seed, func(w *fake.World) fake.Policy {
		return fake.NewScheduler(w, seed, options)
	})
}

// Guards against unseeded randomness and dependence on map iteration order, which would make the
// results of a seed irreproducible.
func TestSameSeedGivesTheSameResult(t *testing.T) {
	policies := fake.Policies()
	full := policies[len(policies)-2]
	if a, b := run(3, full), run(3, full); a != b {
		t.Fatalf("two runs of one seed differ: p99 %v and %v, work %v and %v", a.P99, b.P99, a.Work, b.Work)
	}
}
