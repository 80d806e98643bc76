// Package admission decides which requests may wait, for how long, and which are refused:
// deadline-aware queues, limits of tenants and the retry budget. It has no clock and no
// goroutines; callers pass the time.
package admission

import (
	"errors"
	"sync"
	"time"
)

// Errors of Join.
var (
	ErrQueueFull           = errors.New("the queue is full")
	ErrDeadlineUnreachable = errors.New("the deadline cannot be met")
)

// serviceTimeWeight is the weight of a new sample in the moving mean of service times.
const serviceTimeWeight = 0.05

// minSamples is the number of measured service times below which no request is refused for
// its deadline.
const minSamples = 20

// WaitLimit bounds the waiting requests of several queues together. It is safe for concurrent use.
type WaitLimit struct {
	mu    sync.Mutex
	limit int
	used  int
}

// NewWaitLimit returns a bound of limit waiting requests.
func NewWaitLimit(limit int) *WaitLimit { return &WaitLimit{limit: limit} }

func (r *WaitLimit) take() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.used >= r.limit {
		return false
	}
	r.used++
	return true
}

func (r *WaitLimit) give() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.used--
}

// Queue holds the waiting requests of one service in order of arrival. It is safe for
// concurrent use. Lock order: Queue.mu before Room.mu.
type Queue struct {
	room *WaitLimit

	mu      sync.Mutex
	waiting []*Waiter
	running int           // requests of the service that this gateway has dispatched
	mean    time.Duration // moving mean of service times
	samples int
}

// NewQueue returns an empty queue that shares room with other queues.
func NewQueue(room *WaitLimit) *Queue { return &Queue{room: room} }

// Waiter is one waiting request. It stays in the queue until Leave.
type Waiter struct {
	ready chan struct{}
}

// Ready receives a value when the request should look for room again.
func (w *Waiter) Ready() <-chan struct{} { return w.ready }

// Join appends a request. It refuses with ErrQueueFull beyond limit waiting requests, and
// with ErrDeadlineUnreachable if the measured service times show that the deadline cannot be met; wait
// is then the expected time until a new request would find room.
func (q *Queue) Join(now, deadline time.Time, limit int) (w *Waiter, wait time.Duration, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	wait = q.expectedWait()
	if len(q.waiting) >= limit {
		return nil, wait, ErrQueueFull
	}
	if q.samples >= minSamples && now.Add(wait+q.mean).After(deadline) {
		return nil, wait, ErrDeadlineUnreachable
	}
	if !q.room.take() {
		return nil, wait, ErrQueueFull
	}
	w = &Waiter{ready: make(chan struct{}, 1)}
	q.waiting = append(q.waiting, w)
	return w, wait, nil
}

// expectedWait is the time until a request at the end of the queue finds room, if the
// requests that run now are served at the measured rate. If none runs, batch work holds
// the room and nothing is known about when it ends.
func (q *Queue) expectedWait() time.Duration {
	if q.running == 0 || q.samples < minSamples {
		return 0
	}
	return time.Duration(len(q.waiting)+1) * q.mean / time.Duration(q.running)
}

// MeetsDeadline reports whether a request dispatched now can be answered in time.
func (q *Queue) MeetsDeadline(now, deadline time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.samples < minSamples {
		return now.Before(deadline)
	}
	return now.Add(q.mean).Before(deadline)
}

// Leave ends the wait of a request and wakes the next one: the room that woke the leaving request,
// or more of it, may still be there.
func (q *Queue) Leave(w *Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.remove(w)
	q.room.give()
	q.wake()
}

// Wake tells the first waiting request that room may have appeared.
func (q *Queue) Wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.wake()
}

func (q *Queue) wake() {
	if len(q.waiting) == 0 {
		return
	}
	select {
	case q.waiting[0].ready <- struct{}{}:
	default: // it has not yet looked since the last wake
	}
}

// IsFirst reports whether w is the next to be served.
func (q *Queue) IsFirst(w *Waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting) > 0 && q.waiting[0] == w
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}

// Started counts a dispatched request.
func (q *Queue) Started() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running++
}

// Ended counts the end of a dispatched request that took the given time. Measured is false
// if the time says nothing about the service, as after a failed connection.
func (q *Queue) Ended(took time.Duration, measured bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	if !measured {
		return
	}
	q.samples++
	if q.samples == 1 {
		q.mean = took
		return
	}
	q.mean += time.Duration(serviceTimeWeight * float64(took-q.mean))
}

// Suspend lets the others pass while w is tried outside of this queue. It is followed by
// Resume or Leave, and w still counts against the bounds.
func (q *Queue) Suspend(w *Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.remove(w)
	q.wake()
}

// Resume returns w to the front of the queue.
func (q *Queue) Resume(w *Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = append([]*Waiter{w}, q.waiting...)
}

func (q *Queue) remove(w *Waiter) {
	for i, other := range q.waiting {
		if other == w {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return
		}
	}
}
