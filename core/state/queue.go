package state

import (
	"iter"
	"slices"
)

// compactBelow is the length up to which removed places are not worth a copy.
const compactBelow = 64

// fifo is a queue whose front is dropped without moving the rest each time.
type fifo[T any] struct {
	items []T
	head  int
}

func (f *fifo[T]) push(item T) { f.items = append(f.items, item) }

func (f *fifo[T]) len() int { return len(f.items) - f.head }

func (f *fifo[T]) at(i int) T { return f.items[f.head+i] }

// pop drops the front. The storage is copied when half of it is unused, so that a pop
// costs constant time on average.
func (f *fifo[T]) pop() {
	var zero T
	f.items[f.head] = zero
	f.head++
	if f.head > compactBelow && f.head*2 > len(f.items) {
		f.items = append([]T(nil), f.items[f.head:]...)
		f.head = 0
	}
}

// jobQueue holds the runnable queued jobs of one tenant, urgent ones apart. Jobs are pushed
// in order of their sequence numbers.
type jobQueue struct {
	urgent, normal jobList
}

func (q *jobQueue) list(j *Job) *jobList {
	if j.Spec.Urgent {
		return &q.urgent
	}
	return &q.normal
}

func (q *jobQueue) push(j *Job)   { q.list(j).push(j) }
func (q *jobQueue) remove(j *Job) { q.list(j).remove(j.Sequence) }
func (q *jobQueue) len() int      { return q.urgent.count + q.normal.count }

// jobList is ordered by sequence number. A removed job leaves an empty place, and the list
// is copied when more than half of the places are empty.
type jobList struct {
	places []place
	count  int
}

type place struct {
	sequence uint64
	job      *Job
}

func (l *jobList) push(j *Job) {
	l.places = append(l.places, place{j.Sequence, j})
	l.count++
}

func (l *jobList) remove(sequence uint64) {
	i, ok := slices.BinarySearchFunc(l.places, sequence, func(p place, s uint64) int {
		if p.sequence < s {
			return -1
		}
		if p.sequence > s {
			return 1
		}
		return 0
	})
	if !ok || l.places[i].job == nil {
		return
	}
	l.places[i].job = nil
	l.count--
	if len(l.places) > compactBelow && l.count*2 < len(l.places) {
		kept := make([]place, 0, l.count)
		for _, p := range l.places {
			if p.job != nil {
				kept = append(kept, p)
			}
		}
		l.places = kept
	}
}

// all yields the jobs in order of their sequence numbers.
func (l *jobList) all() iter.Seq[*Job] {
	return func(yield func(*Job) bool) {
		for _, p := range l.places {
			if p.job != nil && !yield(p.job) {
				return
			}
		}
	}
}
