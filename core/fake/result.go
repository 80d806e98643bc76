package fake

import "math"

// Slowdowns are counted in a histogram with buckets of 0.2%, from 1 to about 400.
const (
	bucketRatio = 1.002
	numBuckets  = 3000
)

// Result is what one run measured, after the warm-up.
type Result struct {
	Checks      int
	Late        int
	P99         float64 // latency of quick checks by their no-neighbour latency
	P999        float64
	Work        float64 // seconds of batch work done and not lost
	WorkLost    float64
	Evictions   int // of all causes
	Preempted   int // evictions that made room for urgent jobs
	Started     int
	Finished    int
	GivenUp     int
	OutOfMemory int

	histogram [numBuckets]int
}

func (r *Result) addCheck(ratio float64, late bool) {
	r.Checks++
	if late {
		r.Late++
	}
	i := int(math.Log(max(ratio, 1)) / math.Log(bucketRatio))
	r.histogram[min(i, numBuckets-1)]++
}

func (r *Result) finish() {
	r.P99 = r.quantile(0.99)
	r.P999 = r.quantile(0.999)
}

// quantile returns the upper bound of the bucket in which the quantile lies.
func (r *Result) quantile(q float64) float64 {
	want := int(math.Ceil(q * float64(r.Checks)))
	seen := 0
	for i, n := range r.histogram {
		seen += n
		if seen >= want {
			return math.Pow(bucketRatio, float64(i+1))
		}
	}
	return math.Inf(1)
}

// LateShare is the share of quick checks past their deadline.
func (r *Result) LateShare() float64 {
	return float64(r.Late) / float64(max(r.Checks, 1))
}

// EvictionsPer1000 is the number of evictions per 1,000 started tasks.
func (r *Result) EvictionsPer1000() float64 {
	return 1000 * float64(r.Evictions) / float64(max(r.Started, 1))
}
