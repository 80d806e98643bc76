// Package admission implements admission control for quick requests: deadline-aware queues,
// limits per tenant and a retry budget. It reads no clock and starts no goroutines; callers
// pass the time.
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

// serviceTimeWeight is the weight of a new sample in the exponentially weighted mean of
// service times.
const serviceTimeWeight = 0.05

// minSamples is the number of measured service times that are required before requests are
// refused because of their deadlines.
const minSamples = 20

// WaitLimit limits the total number of waiting requests in several queues. It is safe for
// concurrent use.
type WaitLimit struct {
	mu    sync.Mutex
	limit int
	used  int
}

// NewWaitLimit returns a WaitLimit of at most limit waiting requests.
func NewWaitLimit(limit int) *WaitLimit { return &WaitLimit{limit: limit} }

func (l *WaitLimit) acquire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.used >= l.limit {
		return false
	}
	l.used++
	return true
}

func (l *WaitLimit) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used--
}

// Queue holds the waiting requests of one service in order of arrival. It is safe for
// concurrent use. Lock order: Queue.mu before WaitLimit.mu.
type Queue struct {
	waitLimit *WaitLimit

	mu              sync.Mutex
	waiting         []*Waiter
	running         int           // requests of the service that this gateway has dispatched
	meanServiceTime time.Duration // exponentially weighted
	samples         int           // number of measured service times
}

// NewQueue returns an empty queue. Queues may share a waitLimit, which then bounds the total of
// their waiting requests.
func NewQueue(waitLimit *WaitLimit) *Queue { return &Queue{waitLimit: waitLimit} }

// Waiter is one waiting request. It stays in the queue until Leave.
type Waiter struct {
	ready chan struct{}
}

// Ready receives a value when the request should try again to reserve capacity.
func (w *Waiter) Ready() <-chan struct{} { return w.ready }

// Join appends a request to the queue. wait is the expected time until capacity is free for the
// request, also if Join fails. The error is ErrQueueFull if limit requests are waiting in the queue
// or the WaitLimit is reached, and ErrDeadlineUnreachable if the request would miss its deadline
// according to the measured service times.
func (q *Queue) Join(now, deadline time.Time, limit int) (w *Waiter, wait time.Duration, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	wait = q.expectedWait()
	if len(q.waiting) >= limit {
		return nil, wait, ErrQueueFull
	}
	if q.samples >= minSamples && now.Add(wait+q.meanServiceTime).After(deadline) {
		return nil, wait, ErrDeadlineUnreachable
	}
	if !q.waitLimit.acquire() {
		return nil, wait, ErrQueueFull
	}
	w = &Waiter{ready: make(chan struct{}, 1)}
	q.waiting = append(q.waiting, w)
	return w, wait, nil
}

// expectedWait returns the time until capacity is free for a new request at the end of the
// queue, if the running requests take the mean service time. It is zero while there are fewer than
// minSamples service times, and if no request runs, because batch tasks then hold the capacity for
// an unknown time.
func (q *Queue) expectedWait() time.Duration {
	if q.running == 0 || q.samples < minSamples {
		return 0
	}
	return time.Duration(len(q.waiting)+1) * q.meanServiceTime / time.Duration(q.running)
}

// MeetsDeadline reports whether a request that is dispatched now is expected to meet its deadline.
func (q *Queue) MeetsDeadline(now, deadline time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.samples < minSamples {
		return now.Before(deadline)
	}
	return now.Add(q.meanServiceTime).Before(deadline)
}

// Leave removes a request and wakes the first of the remaining ones, because capacity for which the
// leaving request was woken may still be free.
func (q *Queue) Leave(w *Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.remove(w)
	q.waitLimit.release()
	q.wake()
}

// Wake notifies the first waiting request that capacity may have become free.
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
	default: // the previous wakeup is still pending
	}
}

// IsFirst reports whether w is at the head of the queue.
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

// Started records that a request was dispatched.
func (q *Queue) Started() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running++
}

// Ended records that a dispatched request ended after the time took. measured is false if
// took is not a service time, for example after a failed connection.
func (q *Queue) Ended(took time.Duration, measured bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	if !measured {
		return
	}
	q.samples++
	if q.samples == 1 {
		q.meanServiceTime = took
		return
	}
	q.meanServiceTime += time.Duration(serviceTimeWeight * float64(took-q.meanServiceTime))
}

// Suspend temporarily removes w while its request is forwarded elsewhere, so that the
// requests behind it can be served. The caller must then call Resume or Leave. Until then w
// counts towards the WaitLimit but not towards the length of this queue.
func (q *Queue) Suspend(w *Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.remove(w)
	q.wake()
}

// Resume returns w to the head of the queue.
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
