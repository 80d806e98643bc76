package state

import (
	"iter"
	"slices"
)

// minCompactLen is the length up to which a queue is not compacted: the copy would cost more
// than the memory that it frees.
const minCompactLen = 64

// fifo is a queue with removal at the front in amortized constant time.
type fifo[T any] struct {
	items []T
	head  int
}

func (f *fifo[T]) push(item T) { f.items = append(f.items, item) }

func (f *fifo[T]) len() int { return len(f.items) - f.head }

func (f *fifo[T]) at(i int) T { return f.items[f.head+i] }

// pop removes the first item. The remaining items are copied to a new slice when more than half
// of the current slice is unused.
func (f *fifo[T]) pop() {
	var zero T
	f.items[f.head] = zero
	f.head++
	if f.head > minCompactLen && f.head*2 > len(f.items) {
		f.items = append([]T(nil), f.items[f.head:]...)
		f.head = 0
	}
}

// jobQueue holds the runnable queued jobs of one tenant, with the urgent ones in a separate
// list. Jobs are pushed in ascending order of their sequence numbers.
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

// jobList is ordered by sequence number. A removed job leaves an empty entry, and the list is
// compacted when more than half of the entries are empty.
type jobList struct {
	entries []queueEntry
	count   int
}

type queueEntry struct {
	sequence uint64
	job      *Job
}

func (l *jobList) push(j *Job) {
	l.entries = append(l.entries, queueEntry{j.Sequence, j})
	l.count++
}

func (l *jobList) remove(sequence uint64) {
	i, ok := slices.BinarySearchFunc(l.entries, sequence, func(p queueEntry, s uint64) int {
		if p.sequence < s {
			return -1
		}
		if p.sequence > s {
			return 1
		}
		return 0
	})
	if !ok || l.entries[i].job == nil {
		return
	}
	l.entries[i].job = nil
	l.count--
	if len(l.entries) > minCompactLen && l.count*2 < len(l.entries) {
		kept := make([]queueEntry, 0, l.count)
		for _, p := range l.entries {
			if p.job != nil {
				kept = append(kept, p)
			}
		}
		l.entries = kept
	}
}

// all yields the jobs in ascending order of their sequence numbers.
func (l *jobList) all() iter.Seq[*Job] {
	return func(yield func(*Job) bool) {
		for _, p := range l.entries {
			if p.job != nil && !yield(p.job) {
				return
			}
		}
	}
}
