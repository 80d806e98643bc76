package fleet

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"samphirepaddle.example/core/dispatch"
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
	"samphirepaddle.example/daemon/bootclock"
)

// Timeouts, intervals and limits of a session.
const (
	holdWait = 1000 * time.Millisecond // long-poll wait of a hold call
	// holdWaitColocated replaces holdWait while best-effort tasks run beside serving tasks: a reported
	// tail latency covers 0.5 s, and one over its target must be noticed quickly.
	holdWaitColocated = 400 * time.Millisecond
	// holdWaitIsolated replaces holdWait while no task may start beside a suspect, which the next list
	// may show to have survived.
	holdWaitIsolated = 250 * time.Millisecond
	// holdWaitUnsettled replaces holdWait while an unanswered start is open. Its task cannot start elsewhere
	// before two more lists; with holdWait for each it waited for up to 4 s.
	holdWaitUnsettled = 200 * time.Millisecond
	// holdWaitProbation replaces holdWait after a restart on a quarantined worker, whose next list may
	// show that the worker has recovered.
	holdWaitProbation = 500 * time.Millisecond
	// maxColocatedHoldRate limits the hold calls per second to all such workers together. At 1,225 per
	// second, to 490 workers, the calls delayed short jobs at the leader.
	maxColocatedHoldRate = 600
	holdTimeoutMargin    = 900 * time.Millisecond  // time for the response in addition to the wait
	holdRetryDelay       = 150 * time.Millisecond  // after a failed hold call
	orderTimeout         = 700 * time.Millisecond  // of one start, stop or pace call; a response takes a few milliseconds
	stopRetryInterval    = 500 * time.Millisecond  // a stop takes at most 400 ms
	unreachableAfter     = 2500 * time.Millisecond // time without a response; longer than the longest hold call and one failed call

	minClockRate      = 0.98                    // lowest rate of a worker's clock relative to the leader's
	leaseExpiryMargin = 300 * time.Millisecond  // safety margin after the end of a lease
	noCapacityPause   = 300 * time.Millisecond  // without starts after the worker refused one that did not fit
	unavailablePause  = 1000 * time.Millisecond // without starts after the worker refused one as unavailable or could not be reached
	notSentPause      = 100 * time.Millisecond  // without starts after one could not be sent
)

// order tracks the calls to a worker about one attempt.
type order struct {
	phase          startPhase
	probedAt       bootclock.Time // when the worker answered the call that preceded the start; zero if there was none
	answeredAt     bootclock.Time // when the start call returned
	stopSentAt     bootclock.Time
	stopAnsweredAt bootclock.Time // when a stop was first answered
	pace           int            // last pace that the worker acknowledged, in percent
	paceInFlight   bool           // a pace call is in flight
	paceSetAt      bootclock.Time // when the worker acknowledged pace
	evictReason    string         // why the attempt is evicted from the worker; empty if it is not
	firstListed    bootclock.Time // when the worker first listed the attempt
	progress       int            // percent done, as last listed
	progressAt     bootclock.Time // when progress last changed
}

type startPhase uint8

const (
	startInherited  startPhase = iota // assigned by an earlier leader, which may have sent the start
	startPlanned                      // proposed, nothing sent
	startSent                         // sent, no response yet
	startAnswered                     // the worker has accepted it; the attempt runs or has run
	startUnanswered                   // failed without a response; the attempt may run now or later
	startImpossible                   // the attempt will never run
)

// session is the leader's view of one worker process. Its fields are guarded by leadership.mu,
// except for those of the first group that do not change: all but addr and cancel.
type session struct {
	leadership  *leadership
	incarnation workflow.Incarnation
	addr        string
	zone        model.Zone
	service     string
	cancel      context.CancelFunc
	wake        chan struct{}

	openedAt      bootclock.Time
	answeredAt    bootclock.Time // time of the last answered hold call; zero if none
	aliveAt       bootclock.Time // when the worker process was last known to be alive
	failing       bool           // the last hold call was not answered
	quickHolds    int            // hold calls in a row that were answered at once and without an end
	tokenAccepted bool           // the worker has answered a hold call with this leader's token
	replaced      bool           // another process answers at the address
	otherWorker   bool           // that process has another worker id, so that no call can reach this one any more
	closed        bool           // no calls are made, because another process is recorded under the worker's id
	replacedAt    bootclock.Time // when replaced was set
	acceptedAt    bootclock.Time // when the worker first answered with this leader's token; zero if it has not
	replacedRetry time.Duration  // after which a replaced session calls the address again

	clock      model.Millis // reading of the worker's clock at clockAt
	clockAt    bootclock.Time
	leaseUntil model.Millis // latest lease end in any call that was sent, on the worker's clock
	silence    silence

	followsRecently bool // calls of earlier leaders to the process before may still take effect in this one

	fullListSentAt    bootclock.Time // when the hold call that returned the last complete list was sent
	listReceivedAt    bootclock.Time // when the last list was received
	running           map[workflow.Attempt]RunningAttempt
	changed           bool                  // the listing or an order has changed since the last pass
	runsOrphan        bool                  // the worker lists an attempt that is not open, so its needs are not accounted for
	cachedAllocations []dispatch.Allocation // result of leadership.allocations in the last pass
	cachedLoad        dispatch.Load         // of cachedAllocations
	isolated          bool                  // a suspect attempt runs there and has not survived CrashWindow
	unsettled         bool                  // a start was not answered, and whether it runs is not known
	openVersion       uint64                // version of the state's open attempts that cachedAllocations reflects
	orders            map[workflow.Attempt]*order

	ends            []workflow.End // listed by the worker and not committed yet
	endsQueued      uint64         // highest end number that was added to ends
	recordedThrough uint64         // ends up to this number are recorded in the state

	pauseUntil bootclock.Time // no starts before this time
	drainUntil bootclock.Time // earliest end of a draining worker; zero if not known
	sequence   uint64         // sequence number of the last heartbeat
	lower      lowerSequences // heartbeats with lower numbers since then
	latency    dispatch.LatencyState
	colocated  bool // best-effort tasks run beside serving tasks
	quarantine quarantine
}

func (l *leadership) newSession(w workflow.Worker) *session {
	ctx, cancel := context.WithCancel(l.ctx)
	s := &session{
		leadership: l, incarnation: w.Incarnation, addr: w.Addr, zone: w.Zone, service: w.Service, cancel: cancel, wake: make(chan struct{}, 1),
		openedAt: bootclock.Now(), recordedThrough: w.LastRecordedEnd, sequence: w.ReportSequence, silence: inheritSilence(w),
		running: map[workflow.Attempt]RunningAttempt{}, orders: map[workflow.Attempt]*order{},
	}
	l.sessions[w.Incarnation] = s
	l.wg.Add(1)
	go s.run(ctx)
	return s
}

// reopen starts the calls anew for a process that has answered at another address, or that is recorded
// again after another one was. It keeps the orders and the leases that were sent. What depends on an
// answer starts anew: an earlier answer says nothing about who answers at the address now.
func (s *session) reopen(w *workflow.Worker) {
	s.cancel()
	ctx, cancel := context.WithCancel(s.leadership.ctx)
	s.cancel, s.addr, s.zone, s.sequence = cancel, w.Addr, w.Zone, w.ReportSequence
	s.openedAt, s.answeredAt, s.acceptedAt, s.replacedRetry = bootclock.Now(), 0, 0, 0
	s.closed, s.failing, s.tokenAccepted, s.replaced, s.otherWorker = false, false, false, false, false
	s.leadership.wg.Add(1)
	go s.run(ctx)
}

// endpoint returns the address of the worker; leadership.mu must be held.
func (s *session) endpoint() Endpoint {
	return Endpoint{Incarnation: s.incarnation, Addr: s.addr, Zone: s.zone}
}

// run keeps one hold call open until the session ends.
func (s *session) run(ctx context.Context) {
	defer s.leadership.wg.Done()
	for ctx.Err() == nil {
		pause := s.hold(ctx)
		if pause == 0 {
			continue
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-s.wake:
		}
		timer.Stop()
	}
}

// hold makes one hold call and returns how long to wait before the next one.
func (s *session) hold(ctx context.Context) time.Duration {
	to, call, ok := s.prepareHold()
	if !ok {
		return holdRetryDelay
	}
	timeout := time.Duration(call.Wait)*time.Millisecond + holdTimeoutMargin
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sentAt := bootclock.Now()
	listing, err := s.leadership.engine.opts.Workers.Hold(callCtx, to, call)
	s.leadership.mu.Lock()
	defer s.leadership.mu.Unlock()
	if ctx.Err() != nil {
		return 0 // the session was closed, or calls another address by now
	}
	return s.handleHoldResult(sentAt, call, listing, err)
}

func (s *session) prepareHold() (Endpoint, HoldCall, bool) {
	l := s.leadership
	l.mu.Lock()
	defer l.mu.Unlock()
	now := bootclock.Now()
	if !l.lease.valid(now) {
		return Endpoint{}, HoldCall{}, false
	}
	call := HoldCall{Token: l.token}
	if s.replaced || s.failing || !s.tokenAccepted || s.silence.recorded {
		// No lease is sent until the worker has answered, because an unanswered call may take effect
		// late, and until the answer is recorded. No ends are acknowledged either: a new process of the
		// worker, whose end numbers start again at 1, may receive the call.
		return s.endpoint(), call, true
	}
	call.AckedThrough = s.recordedThrough
	call.Wait = model.Millis(holdWait.Milliseconds())
	if s.colocated {
		call.Wait = model.Millis(s.colocatedWait().Milliseconds())
	}
	if s.isolated {
		call.Wait = min(call.Wait, model.Millis(holdWaitIsolated.Milliseconds()))
	}
	if s.unsettled {
		call.Wait = min(call.Wait, model.Millis(holdWaitUnsettled.Milliseconds()))
	}
	if s.quarantine.onProbation(now) {
		call.Wait = min(call.Wait, model.Millis(holdWaitProbation.Milliseconds()))
	}
	if len(s.ends) > 0 {
		call.Wait = 0
	}
	call.LeaseUntil = s.extendLease(now)
	return s.endpoint(), call, true
}

// colocatedWait returns the wait of a hold call to a worker on which best-effort tasks run beside
// serving tasks. With hundreds of workers the wait is longer, so that the leader has time for short
// jobs, but not while a serving task on this worker is over its target.
func (s *session) colocatedWait() time.Duration {
	if s.latency.OverTargetSince != 0 {
		return holdWaitColocated
	}
	wait := (time.Duration(len(s.leadership.sessions))*time.Second + maxColocatedHoldRate - 1) / maxColocatedHoldRate
	return min(holdWait, max(holdWaitColocated, wait))
}

// extendLease returns the end of a lease that begins now, and records it as sent. The end is
// computed from a lower bound of the worker's clock, so that no lease lasts longer than
// earlierLeaseBound, on which a later leader relies.
func (s *session) extendLease(now bootclock.Time) model.Millis {
	leaseUntil := s.minClock(now) + model.Millis(s.leadership.engine.opts.WorkerLease.Milliseconds())
	s.leaseUntil = max(s.leaseUntil, leaseUntil)
	s.leadership.strays.record(s.incarnation, now)
	return leaseUntil
}

// minClock returns a lower bound of the worker's clock.
func (s *session) minClock(now bootclock.Time) model.Millis {
	passed := float64(now.Sub(s.clockAt).Milliseconds())
	return s.clock + model.Millis(passed*minClockRate)
}

func (s *session) updateClock(clock model.Millis, now bootclock.Time) {
	if clock > 0 {
		s.clock, s.clockAt = clock, now
	}
}

// handleHoldResult returns how long to wait before the next hold call; leadership.mu must be held.
func (s *session) handleHoldResult(sentAt bootclock.Time, call HoldCall, listing Listing, err error) time.Duration {
	l := s.leadership
	endsBefore := s.endsQueued
	healthy := s.tokenAccepted && !s.failing
	defer func() {
		// New usage or progress values alone are handled by the next regular pass.
		if s.endsQueued != endsBefore || !healthy || err != nil || s.unsettled {
			l.requestPass()
		}
	}()
	now := bootclock.Now()
	if call.LeaseUntil != 0 && (err != nil || s.isOther(listing)) {
		l.strays.record(s.incarnation, now)
	}
	switch {
	case errors.Is(err, ErrWrongWorker), err == nil && s.isOther(listing):
		return s.noteReplaced(err != nil)
	case errors.Is(err, ErrFenced):
		l.logger.Warn().Str("worker", string(s.incarnation.Worker)).Uint64("token", l.token).Msg("the worker has seen a higher fencing token")
		l.resign()
		return time.Second
	case errors.Is(err, ErrNotSent):
		l.engine.opts.Metrics.count("holds", "not_sent", 1)
		return holdRetryDelay
	case s.replaced && (err != nil || sentAt < s.replacedAt):
		return s.noteReplaced(s.otherWorker)
	case err != nil:
		s.noteFailure(sentAt, now, call)
		if !s.failing {
			l.logger.Info().Err(err).Str("worker", string(s.incarnation.Worker)).Int64("silent_ms", now.Sub(s.answeredAt).Milliseconds()).
				Msg("worker does not answer")
		}
		s.failing = true
		return holdRetryDelay
	}
	if s.failing && s.answeredAt != 0 {
		l.logger.Info().Str("worker", string(s.incarnation.Worker)).Int64("silent_ms", now.Sub(s.answeredAt).Milliseconds()).Msg("worker answers again")
	}
	delete(l.connectionEnds, s.incarnation)
	s.replaced, s.otherWorker, s.replacedRetry = false, false, 0
	s.failing, s.tokenAccepted, s.answeredAt, s.aliveAt = false, true, now, now
	s.acceptedAt = cmp.Or(s.acceptedAt, now)
	s.updateClock(listing.Clock, now)
	s.applyListing(sentAt, now, listing)
	if len(s.ends) > 0 {
		return endsRecordWait // the next call acknowledges them once they are recorded
	}
	switch {
	case s.silence.recorded:
		return endsRecordWait // no lease may be sent before the answer is recorded
	case call.Wait == 0:
		return 0
	}
	return s.pauseAfterHold(now.Sub(sentAt), call, s.endsQueued != endsBefore)
}

// isOther reports whether the listing is from another process.
func (s *session) isOther(listing Listing) bool {
	return listing.StartedAt != 0 && s.incarnation.StartedAt != 0 && listing.StartedAt != s.incarnation.StartedAt
}

// pauseAfterHold returns the time to the next hold call. A worker that lists an end that cannot be read, and
// so is never acknowledged, answers each call at once.
func (s *session) pauseAfterHold(took time.Duration, call HoldCall, news bool) time.Duration {
	if news || took >= time.Duration(call.Wait)*time.Millisecond/2 {
		s.quickHolds = 0
		return holdGap
	}
	if s.quickHolds++; s.quickHolds <= maxQuickHolds {
		return holdGap
	}
	return holdRetryDelay
}

// maxQuickHolds is the number of hold calls in a row that may be answered at once and without an end.
const maxQuickHolds = 20

// A replaced session calls its address again after minReplacedRetry, and then ever less often: the process
// may answer there again.
const (
	minReplacedRetry = time.Second
	maxReplacedRetry = 16 * time.Second
)

// noteReplaced records that another process answers at the address, and returns the time to the next call.
func (s *session) noteReplaced(otherWorker bool) time.Duration {
	if !s.replaced {
		s.replacedAt = bootclock.Now()
		s.leadership.logger.Info().Str("worker", string(s.incarnation.Worker)).Int64("born", int64(s.incarnation.StartedAt)).
			Msg("another process answers at the worker's address; its predecessor has ended")
	}
	s.replaced, s.otherWorker = true, otherWorker
	s.replacedRetry = min(maxReplacedRetry, max(minReplacedRetry, 2*s.replacedRetry))
	return s.replacedRetry
}

const (
	// endsRecordWait bounds the wait until listed ends are committed. A commit takes two syncs of
	// 9 ms, and longer on a busy leader, which must not request the same ends again meanwhile.
	endsRecordWait = 300 * time.Millisecond
	holdGap        = time.Millisecond
)

// maxEndNumberGap bounds the distance of an end's number from the last one. A worker numbers its ends one
// after the other, and one odd number far ahead would make all later ends look repeated.
const maxEndNumberGap = 1_000_000

func (s *session) applyListing(sentAt, now bootclock.Time, listing Listing) {
	running := make(map[workflow.Attempt]RunningAttempt, len(listing.Running))
	for _, r := range listing.Running {
		running[r.Attempt] = r
		o := s.orderOf(r.Attempt)
		if o.firstListed == 0 {
			o.firstListed = now
			s.leadership.noteBegun(r.Attempt, s.incarnation.Worker, now)
		}
		if r.Progress != o.progress || r.Checkpoint != s.running[r.Attempt].Checkpoint || o.progressAt == 0 {
			o.progress, o.progressAt = r.Progress, now
		}
		if o.phase == startUnanswered || o.phase == startInherited {
			o.phase, o.answeredAt = startAnswered, sentAt
		}
		if o.phase == startAnswered && r.Progress == 100 && s.quarantine.recordAtWork(o.answeredAt, now) {
			s.logRecovery(r.Attempt)
		}
	}
	s.running = running
	s.changed = true
	s.listReceivedAt = now
	if !listing.Truncated {
		s.fullListSentAt = sentAt
	}
	// An acknowledgement covers all lower numbers, so the ends are queued in the order of theirs.
	slices.SortFunc(listing.Ended, func(a, b EndedAttempt) int { return cmp.Compare(a.Number, b.Number) })
	for _, e := range listing.Ended {
		last := max(s.endsQueued, s.recordedThrough)
		if e.Number <= last || e.Number-last > maxEndNumberGap {
			continue
		}
		s.endsQueued = e.Number
		s.ends = append(s.ends, workflow.End{
			Incarnation: s.incarnation, Number: e.Number, Attempt: e.Attempt, Kind: e.Kind, Checkpoint: e.Checkpoint,
		})
	}
}

// logRecovery logs that the quarantine of the worker ends, and has the tasks planned that wait for it.
func (s *session) logRecovery(a workflow.Attempt) {
	s.leadership.logger.Info().Str("worker", string(s.incarnation.Worker)).Str("task", a.Task.String()).
		Msg("quarantine ends: a task that was started later is at work")
	s.leadership.requestPass()
}

func (s *session) orderOf(a workflow.Attempt) *order {
	o := s.orders[a]
	if o == nil {
		o = &order{pace: 100}
		s.orders[a] = o
	}
	return o
}

// markRecorded marks the ends up to a number as committed to the log.
func (s *session) markRecorded(recordedThrough uint64) {
	s.recordedThrough = max(s.recordedThrough, recordedThrough)
	kept := s.ends[:0]
	for _, e := range s.ends {
		if e.Number > s.recordedThrough {
			kept = append(kept, e)
		} else {
			delete(s.orders, e.Attempt)
		}
	}
	s.ends = kept
	s.wakeUp()
}

// wakeUp ends the wait before the next hold call.
func (s *session) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// leaseExpired reports whether everything that ran in the worker process has ended because its
// lease has expired.
func (s *session) leaseExpired(now bootclock.Time) bool {
	if s.answeredAt != 0 && now.Sub(s.answeredAt) < unreachableAfter {
		return false
	}
	if now < s.foreignLeaseEnd() {
		return false
	}
	if s.leaseUntil == 0 {
		return true
	}
	return s.minClock(now) > s.leaseUntil+model.Millis(leaseExpiryMargin.Milliseconds())
}
