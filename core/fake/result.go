package fake

import "math"

// Parameters of the slowdown histogram: the buckets grow by 0.2% and cover 1 to about 400.
const (
	bucketRatio = 1.002
	numBuckets  = 3000
)

// Result holds the measurements of one run. All but Finished, GivenUp and OutOfMemory exclude the
// warm-up.
type Result struct {
	Requests    int     // simulated quick requests
	Late        int     // quick requests that missed their deadline
	P99         float64 // 99th percentile of the latency of quick requests relative to that without batch tasks
	P999        float64 // 99.9th percentile of the same ratio
	Work        float64 // seconds of batch work done and not lost
	WorkLost    float64
	Evictions   int // for any reason, preemptions included
	Preempted   int // evictions ordered to free capacity for urgent jobs
	Started     int
	Finished    int
	GivenUp     int
	OutOfMemory int

	histogram [numBuckets]int
}

func (r *Result) addRequest(ratio float64, late bool) {
	r.Requests++
	if late {
		r.Late++
	}
	i := int(math.Log(max(ratio, 1)) / math.Log(bucketRatio))
	r.histogram[min(i, numBuckets-1)]++
}

func (r *Result) computeQuantiles() {
	r.P99 = r.quantile(0.99)
	r.P999 = r.quantile(0.999)
}

// quantile returns the upper bound of the bucket that contains quantile q.
func (r *Result) quantile(q float64) float64 {
	want := int(math.Ceil(q * float64(r.Requests)))
	seen := 0
	for i, n := range r.histogram {
		seen += n
		if seen >= want {
			return math.Pow(bucketRatio, float64(i+1))
		}
	}
	return math.Inf(1)
}

// LateShare returns the fraction of quick requests that missed their deadline.
func (r *Result) LateShare() float64 {
	return float64(r.Late) / float64(max(r.Requests, 1))
}

// EvictionsPer1000 returns the number of evictions per 1,000 started tasks.
func (r *Result) EvictionsPer1000() float64 {
	return 1000 * float64(r.Evictions) / float64(max(r.Started, 1))
}
