package admission

import (
	"errors"
	"testing"
	"time"

	"samphirepaddle.example/core/model"
)

var start = time.Unix(0, 0)

func woken(w *Waiter) bool {
	select {
	case <-w.Ready():
		return true
	default:
		return false
	}
}

// Guards against a lost wakeup when the woken request leaves without reserving capacity.
func TestLeaveWakesNextWaiter(t *testing.T) {
	q := NewQueue(NewWaitLimit(10))
	first, _, _ := q.Join(start, start.Add(time.Second), 10)
	second, _, _ := q.Join(start, start.Add(time.Second), 10)
	q.Wake()
	if !woken(first) || woken(second) {
		t.Fatal("the first request was not woken, or the second was")
	}
	q.Leave(first)
	if !woken(second) {
		t.Error("the wakeup was lost")
	}
	q.Suspend(second)
	third, _, _ := q.Join(start, start.Add(time.Second), 10)
	q.Resume(second)
	if !q.IsFirst(second) || q.IsFirst(third) {
		t.Error("a suspended request lost its place")
	}
}

// Guards against unbounded queues, both per service and per gateway.
func TestQueueBounds(t *testing.T) {
	waitLimit := NewWaitLimit(2)
	a, b := NewQueue(waitLimit), NewQueue(waitLimit)
	w, _, _ := a.Join(start, start.Add(time.Second), 1)
	if _, _, err := a.Join(start, start.Add(time.Second), 1); !errors.Is(err, ErrQueueFull) {
		t.Errorf("beyond the length limit of the queue: %v", err)
	}
	if _, _, err := b.Join(start, start.Add(time.Second), 5); err != nil {
		t.Error(err)
	}
	if _, _, err := b.Join(start, start.Add(time.Second), 5); !errors.Is(err, ErrQueueFull) {
		t.Errorf("beyond the shared wait limit: %v", err)
	}
	a.Leave(w)
	if _, _, err := b.Join(start, start.Add(time.Second), 5); err != nil {
		t.Errorf("after one left: %v", err)
	}
}

// Guards against refusals and expected waits that ignore the measured service times.
func TestExpectedWaitFollowsServiceTimes(t *testing.T) {
	q := NewQueue(NewWaitLimit(10))
	for range minSamples {
		q.Started()
		q.Ended(100*time.Millisecond, true)
	}
	q.Started()
	q.Started()
	if _, wait, err := q.Join(start, start.Add(140*time.Millisecond), 10); !errors.Is(err, ErrDeadlineUnreachable) || wait != 50*time.Millisecond {
		t.Errorf("50 ms of wait and 100 ms of service within 140 ms: wait %v, %v", wait, err)
	}
	if _, _, err := q.Join(start, start.Add(160*time.Millisecond), 10); err != nil {
		t.Errorf("within 160 ms: %v", err)
	}
}

// Guards against a request rate above the limit and against tokens that are not replenished.
func TestRateLimit(t *testing.T) {
	l := NewLimiter()
	tenant := model.Tenant{ID: "t", QuickPerSecond: 10}
	admitted := 0
	for i := range 3000 { // three seconds, one request per millisecond
		if exceeded, _ := l.Acquire(start.Add(time.Duration(i)*time.Millisecond), tenant); exceeded == LimitNone {
			admitted++
			l.Release(tenant.ID)
		}
	}
	if admitted < 39 || admitted > 40 {
		t.Errorf("%d admitted in 3 s, want 40: a burst of 10 and 10 per second", admitted)
	}
}
