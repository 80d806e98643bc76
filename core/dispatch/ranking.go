package dispatch

import (
	"container/heap"

	"samphirepaddle.example/core/workflow"
)

// ranking orders the feasible workers for the tasks of one step. The tasks of a step have the same
// requirements, so an assignment changes the score of one worker only. With a thousand workers and
// steps of dozens of tasks, rating every worker for every task took most of the time of a pass.
type ranking struct {
	needs   needs
	entries []rankingEntry // a heap
	reason  WaitReason     // highest obstacle on a worker that is not feasible
	places  []int          // index in entries by the candidate's index; -1 if it is not feasible
}

type rankingEntry struct {
	candidate *candidate
	score     float64
}

// newRanking ranks the workers for a step. The ranking is valid until the next call.
func (p *pass) newRanking(n needs) *ranking {
	r := &p.ranking
	*r = ranking{needs: n, places: r.places, entries: r.entries[:0]}
	if r.places == nil {
		r.places, r.entries = make([]int, len(p.candidates)), make([]rankingEntry, 0, len(p.candidates))
	}
	for i, c := range p.candidates {
		r.places[i] = -1
		if score, ok := r.rate(c); ok {
			r.places[i] = len(r.entries)
			r.entries = append(r.entries, rankingEntry{c, score})
		}
	}
	heap.Init(r)
	return r
}

// rate returns the score of a worker for a task that has not failed, and records why it is not
// feasible.
func (r *ranking) rate(c *candidate) (score float64, ok bool) {
	score, obstacle, ok := c.rate(&r.needs, workflow.Task{}, false)
	if !ok {
		r.reason = max(r.reason, obstacle)
	}
	return score, ok
}

// best returns the feasible worker with the highest score, or nil and the reason why none is
// feasible.
func (r *ranking) best() (*candidate, WaitReason) {
	if len(r.entries) == 0 {
		return nil, r.reason
	}
	return r.entries[0].candidate, 0
}

// update rates a worker again after a task was assigned to it.
func (r *ranking) update(c *candidate) {
	if c.index == notRanked {
		return
	}
	place := r.places[c.index]
	if place < 0 {
		return // an assignment makes no worker feasible
	}
	score, ok := r.rate(c)
	if !ok {
		heap.Remove(r, place)
		return
	}
	r.entries[place].score = score
	heap.Fix(r, place)
}

// Len implements heap.Interface.
func (r *ranking) Len() int { return len(r.entries) }

// Less implements heap.Interface. Of workers with the same score, the first one comes first.
func (r *ranking) Less(i, j int) bool {
	a, b := &r.entries[i], &r.entries[j]
	if a.score != b.score {
		return a.score > b.score
	}
	return a.candidate.index < b.candidate.index
}

// Swap implements heap.Interface.
func (r *ranking) Swap(i, j int) {
	r.entries[i], r.entries[j] = r.entries[j], r.entries[i]
	r.places[r.entries[i].candidate.index], r.places[r.entries[j].candidate.index] = i, j
}

// Push implements heap.Interface. Entries are only removed.
func (r *ranking) Push(any) { panic("dispatch: an entry is pushed to a ranking") }

// Pop implements heap.Interface.
func (r *ranking) Pop() any {
	last := len(r.entries) - 1
	entry := r.entries[last]
	r.entries = r.entries[:last]
	r.places[entry.candidate.index] = -1
	return entry
}
