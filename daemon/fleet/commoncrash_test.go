package fleet

import (
	"fmt"
	"testing"
	"time"

	"samphirepaddle.example/core/workflow"
	"samphirepaddle.example/daemon/bootclock"
)

// Guards against tasks that become strong suspects because all workers failed at once, also after their successors
// have reported, and against a single task that is taken for such a failure.
func TestCommonCrashIsToldFromOthers(t *testing.T) {
	const workers = 8
	began := bootclock.Now()
	for _, c := range []struct {
		name   string
		broke  []time.Duration // after the end of the first worker
		others int             // workers of the broken ones that belong to another service
		silent int             // workers that did not answer before
		common bool
	}{
		{name: "all", broke: make([]time.Duration, workers), common: true},
		{name: "half", broke: make([]time.Duration, workers/2), common: true},
		{name: "less than half", broke: make([]time.Duration, workers/2-1)},
		{name: "half of those in contact", broke: make([]time.Duration, workers/2-1), silent: 2, common: true},
		{name: "one after the other", broke: []time.Duration{0, time.Second, 2 * time.Second, 3 * time.Second}},
		{name: "most in another service", broke: make([]time.Duration, workers/2), others: 2},
		{name: "two of two", broke: make([]time.Duration, 2), silent: workers - 2},
	} {
		l := &leadership{engine: NewEngine(Options{}), connectionEnds: map[workflow.Incarnation]connectionEnd{}, sessions: map[workflow.Incarnation]*session{}}
		var sessions []*session
		for i := range workers {
			s := &session{leadership: l, service: "s", incarnation: workflow.Incarnation{Worker: workflow.WorkerID(fmt.Sprint("w", i))}, tokenAccepted: true, answeredAt: began, failing: i >= workers-c.silent}
			if i > 0 && i <= c.others {
				s.service = "other"
			}
			l.sessions[s.incarnation], sessions = s, append(sessions, s)
		}
		for i, after := range c.broke {
			sessions[i].noteFailure(began.Add(after), began.Add(after), HoldCall{})
			sessions[i].failing = true
		}
		for i := range c.broke {
			id := workflow.Incarnation{Worker: workflow.WorkerID(fmt.Sprint("next", i))}
			l.sessions[id] = &session{leadership: l, service: "s", incarnation: id, tokenAccepted: true, answeredAt: began}
		}
		if common := l.isCommonCrash(sessions[0].incarnation); common != c.common {
			t.Errorf("%s: the crash is common: %v, want %v", c.name, common, c.common)
		}
	}
}

// Guards against a crash that counts as common because workers whose connections broke at the same time went on.
func TestAnswerEndsConnectionEnd(t *testing.T) {
	l := &leadership{engine: NewEngine(Options{}), connectionEnds: map[workflow.Incarnation]connectionEnd{}, passRequests: make(chan struct{}, 1)}
	s := &session{leadership: l, incarnation: workflow.Incarnation{Worker: "w"}, orders: map[workflow.Attempt]*order{}, wake: make(chan struct{}, 1)}
	now := bootclock.Now()
	s.noteFailure(now, now, HoldCall{})
	if len(l.connectionEnds) > 0 {
		t.Error("a worker that never answered counts as one that has ended")
	}
	s.handleHoldResult(now, HoldCall{}, Listing{}, nil)
	s.noteFailure(now, now, HoldCall{})
	if len(l.connectionEnds) != 1 {
		t.Error("a worker whose connection breaks does not count as one that may have ended")
	}
	s.handleHoldResult(now, HoldCall{}, Listing{}, nil)
	if len(l.connectionEnds) > 0 {
		t.Error("a worker that answers again counts as one that has ended")
	}
}
