package owner

import "samphirepaddle.example/core/model"

// Candidate is an owned target with enough free capacity for a quick request.
type Candidate struct {
	Target model.TargetID
	Zone   model.Zone
	Rack   model.Rack
	Free   model.Resources
	Slots  int32 // slots that batch work leaves to quick requests, busy or free
}

// Picker chooses among the targets with enough free capacity. Pick is called once per quick
// request and from many goroutines; it returns an index into candidates, which is not empty.
type Picker interface {
	Pick(service model.Service, candidates []Candidate) int
}

// MostFree picks the target with the most free slots.
type MostFree struct{}

// Pick returns the index of the candidate with the most free slots.
func (MostFree) Pick(_ model.Service, candidates []Candidate) int {
	best := 0
	for i := range candidates {
		if candidates[i].Free.Slots > candidates[best].Free.Slots {
			best = i
		}
	}
	return best
}
