package fleet

import (
	"testing"
	"time"

	"samphirepaddle.example/core/workflow"
	"samphirepaddle.example/daemon/bootclock"
)

// Times of the tests of calls that another process executes than the one for which they are meant.
const (
	strayLimit = 5 * time.Second // longest lease of the workers; much longer than the leases that are sent
	strayClock = time.Minute     // by which the clock of the former process is ahead of that of the next one
)

// newStrayRig returns a rig whose workers grant leases of up to strayLimit, and a worker with an open hold call.
func newStrayRig(t *testing.T) (*rig, *fakeWorker) {
	t.Helper()
	r := newRig(t)
	r.limit = strayLimit
	r.changeLeader()
	a := r.workers.add("a", 1)
	a.started = a.started.Add(-strayClock)
	a.longPolls = true // the leader detects the restart only with its next call
	r.report(a)
	r.until("the session has begun", func() bool { return a.holdCount() > 1 })
	return r, a
}

// restart replaces the process of worker a.
func (r *rig) restart() *fakeWorker {
	next := r.workers.add("a", 2)
	next.withLock(func() { next.limit = strayLimit })
	return next
}

// expectNoOverlap adds another worker and fails the test if a task starts there while the lease of a lasts.
func (r *rig) expectNoOverlap(a *fakeWorker) {
	r.t.Helper()
	b := r.addWorker("b", 1)
	r.until("the task runs on the other worker", func() bool { return len(b.runningAttempts()) == 1 })
	a.withLock(func() {
		if now := a.clock(); now <= a.until {
			r.t.Errorf("the task was started elsewhere at %d ms, the lease of the silent worker ends at %d ms", now, a.until)
		}
	})
}

// Guards against running a task twice: a start for the former process of a worker gives the next one a longer
// lease than any that is sent to that one. The worker is cut off before its tasks end.
func TestLeaseFromAStartForTheFormerProcess(t *testing.T) {
	stay := func(*rig, *fakeWorker) {}
	changeLeader := func(r *rig, _ *fakeWorker) { r.changeLeader() }
	for name, c := range map[string]struct{ before, after func(*rig, *fakeWorker) }{
		"the leader stays": {stay, stay},
		"the leader changes once the worker is cut off": {stay, changeLeader},
		"the leader changes and gets one answer":        {changeLeader, stay},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, _ := newStrayRig(t)
			next := r.restart()
			r.submit("j", oneTask)
			r.until("the next process executes the start", func() bool { return next.startedAttempts() > 0 })
			r.report(next)
			r.until("the task runs as an attempt of the next process", func() bool {
				running := next.runningAttempts()
				return len(running) == 1 && running[0].Number > 1
			})
			c.before(r, next)
			r.until("the worker answers the leader", func() bool { return r.answers(next) })
			next.withLock(func() { next.silent = true })
			c.after(r, next)
			r.expectNoOverlap(next)
		})
	}
}

// answers reports whether the worker has answered the present leader.
func (r *rig) answers(w *fakeWorker) bool {
	l := r.engine.currentLeadership()
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.sessions[w.worker.Incarnation]
	return s != nil && s.tokenAccepted
}

// Guards against running a task twice: its start is executed by the next process of the worker, which never
// reaches the leader.
func TestUnansweredStartInAnUnknownProcess(t *testing.T) {
	t.Parallel()
	r, a := newStrayRig(t)
	call := r.failStart(a, oneTask)
	next := r.restart()
	next.withLock(func() {
		next.silent = true
		if err := next.start(call); err != nil {
			t.Errorf("the next process refuses the start: %v", err)
		}
	})
	r.expectNoOverlap(next)
}

// Guards against running a task twice: the process that followed has answered the start and never a hold call.
func TestAnsweredStartInAProcessThatFallsSilent(t *testing.T) {
	t.Parallel()
	r, _ := newStrayRig(t)
	next := r.restart()
	r.submit("j", oneTask)
	r.until("the next process executes the start", func() bool { return next.startedAttempts() > 0 })
	next.withLock(func() { next.silent = true })
	r.report(next)
	r.expectNoOverlap(next)
}

// Guards against leases that end later than the leader counts, against records of silence that pass a time that is
// too short to the next leader, and against a wait for calls that cannot take effect any more.
func TestLeaseLeftCoversCallsToOtherProcesses(t *testing.T) {
	const lease, limit, delay = 9 * time.Second, 10 * time.Second, 12 * time.Second
	now := bootclock.Now()
	ago := func(d time.Duration) bootclock.Time { return now.Add(-d) }
	former, next := workflow.Incarnation{Worker: "w", StartedAt: 1}, workflow.Incarnation{Worker: "w", StartedAt: 2}
	attempt := workflow.Attempt{Number: 1}
	own := func(s *session) { s.extendLease(ago(4 * time.Second)) }
	for name, c := range map[string]struct {
		prepare         func(s *session)
		atLeast, atMost time.Duration
	}{
		"only its own lease": {own, 5 * time.Second, 6 * time.Second},
		"a call to the former process 5 s ago": {func(s *session) {
			own(s)
			s.leadership.strays.record(former, ago(5*time.Second))
		}, delay + limit - 5*time.Second, delay + limit - 4*time.Second},
		"a call to the former process that can take no effect any more": {func(s *session) {
			own(s)
			s.leadership.strays.record(former, ago(delay+limit+time.Second))
		}, 5 * time.Second, 6 * time.Second},
		"a call to another worker": {func(s *session) {
			own(s)
			s.leadership.strays.record(workflow.Incarnation{Worker: "v", StartedAt: 1}, now)
		}, 5 * time.Second, 6 * time.Second},
		"an earlier leader called the former process, and this one answered": {func(s *session) {
			own(s)
			s.followsRecently, s.acceptedAt, s.leadership.since = true, ago(4*time.Second), ago(5*time.Second)
		}, limit - 4*time.Second, limit - 3*time.Second},
		"an earlier leader called the former process, and this one has not answered": {func(s *session) {
			s.followsRecently, s.leadership.since = true, ago(time.Second)
		}, delay + limit - time.Second, delay + limit},
		"a start without an answer": {func(s *session) {
			own(s)
			s.orderOf(attempt).phase = startUnanswered
		}, delay + limit - 4*time.Second, delay + limit - 3*time.Second},
		"a start that was answered and not listed": {func(s *session) {
			own(s)
			*s.orderOf(attempt) = order{phase: startAnswered, answeredAt: ago(time.Second)}
		}, limit - time.Second, limit},
		"a longer time recorded by an earlier leader": {func(s *session) {
			s.openedAt, s.silence = ago(time.Second), silence{inherited: true, inheritedLeft: 15 * time.Second}
		}, 14 * time.Second, 14 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			l := &leadership{engine: NewEngine(Options{WorkerLease: lease, WorkerLeaseLimit: limit, MaxCallDelay: delay}), since: ago(time.Hour)}
			s := &session{leadership: l, incarnation: next, openedAt: ago(time.Hour), clock: 1, clockAt: ago(4 * time.Second), orders: map[workflow.Attempt]*order{}}
			c.prepare(s)
			if left := s.leaseLeft(now); left < c.atLeast || left > c.atMost+time.Second {
				t.Errorf("%v are left, want %v to %v", left, c.atLeast, c.atMost+time.Second)
			}
			if expired := s.leaseExpired(now); expired {
				t.Error("the lease counts as expired")
			}
		})
	}
}
