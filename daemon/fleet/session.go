package fleet

import (
	"context"
	"errors"
	"time"

	"samphirepaddle.example/core/dispatch"
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
	"samphirepaddle.example/daemon/bootclock"
)

// Times of a session.
const (
	holdWait       = 1000 * time.Millisecond // a worker with nothing to watch closely
	holdWaitShared = 400 * time.Millisecond  // figures cover half a second; a tail over its target must be seen at once
	looksPerSecond = 600                     // at workers where tasks share; 1,225 on 490 workers made quick jobs wait for the leader
	holdSlack      = 900 * time.Millisecond  // for the answer beyond the wait
	holdRetry      = 150 * time.Millisecond  // after a failed call
	orderTimeout   = 700 * time.Millisecond  // one start, stop or pace; the answer takes a few milliseconds
	stopRepeat     = 500 * time.Millisecond  // a stop takes at most 400 ms
	unreachable    = 2500 * time.Millisecond // without an answer; longer than the longest hold and one failed try

	clockRate      = 0.98                    // slowest clock of a worker against ours
	lapseMargin    = 300 * time.Millisecond  // beyond the end of a lease
	roomPause      = 300 * time.Millisecond  // no start after one that did not fit
	unhealthyPause = 1000 * time.Millisecond // no start after the worker refused one
	goneGrace      = 1000 * time.Millisecond // from a worker's deregistration to its end
)

// order is what was sent to a worker about one attempt.
type order struct {
	phase       startPhase
	answeredAt  bootclock.Time // of the start
	stopSentAt  bootclock.Time
	stoppedAt   bootclock.Time // when a stop was answered
	pace        int            // last one that was answered
	pacing      bool           // a call is in progress
	pacedAt     bootclock.Time // when pace was answered
	evict       string         // reason to stop it although its job goes on
	firstListed bootclock.Time
	percent     int
	percentAt   bootclock.Time // when percent changed last
}

type startPhase uint8

const (
	startInherited  startPhase = iota // assigned under an earlier leader
	startPlanned                      // proposed, nothing sent
	startSent                         // no answer yet
	startAnswered                     // it runs or has run
	startUnanswered                   // it may run now or later
	startImpossible                   // it will never run
)

// session is the leader's side of one life of a worker. Its fields are guarded by lead.mu,
// but for the first group, which does not change.
type session struct {
	lead   *lead
	life   workflow.Incarnation
	addr   string
	cancel context.CancelFunc
	wake   chan struct{}

	openedAt   bootclock.Time
	answeredAt bootclock.Time // last answered call; zero if none was
	failing    bool           // the last hold was not answered
	fenced     bool           // the worker has answered a list under our token
	over       bool           // another process answers at the address
	otherID    bool           // and it has another id, so that no call to this life can reach it

	clock   model.Millis // of the worker, at clockAt
	clockAt bootclock.Time
	until   model.Millis // highest end of a lease in any call that was sent

	listedAt bootclock.Time // when the call of the last complete list was sent
	figureAt bootclock.Time // when it was answered
	running  map[workflow.Attempt]Running
	changed  bool                // the listing or an order has changed since the last pass
	picture  []dispatch.Resident // what the last pass saw
	version  uint64              // of the state's open attempts in picture
	orders   map[workflow.Attempt]*order

	ends       []workflow.End // listed and not recorded
	endsQueued uint64         // highest number in ends
	through    uint64         // recorded in the state

	pauseUntil bootclock.Time // no starts before
	drainUntil bootclock.Time // a draining worker stays at least until then; zero if not known
	sequence   uint64         // of the last heartbeat
	share      dispatch.LatencyState
	shared     bool // serving tasks and fillers run together
	quarantine quarantine
}

func (l *lead) newSession(w workflow.Worker) *session {
	ctx, cancel := context.WithCancel(l.ctx)
	s := &session{
		lead: l, life: w.Incarnation, addr: w.Addr, cancel: cancel, wake: make(chan struct{}, 1),
		openedAt: bootclock.Now(), through: w.LastRecordedEnd,
		running: map[workflow.Attempt]Running{}, orders: map[workflow.Attempt]*order{},
	}
	l.sessions[w.Incarnation] = s
	l.group.Add(1)
	go s.run(ctx)
	return s
}

func (s *session) endpoint() Endpoint { return Endpoint{Incarnation: s.life, Addr: s.addr} }

// run keeps one hold call open until the session ends.
func (s *session) run(ctx context.Context) {
	defer s.lead.group.Done()
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

// hold makes one call and returns how long to wait before the next one.
func (s *session) hold(ctx context.Context) time.Duration {
	call, ok := s.prepareHold()
	if !ok {
		return holdRetry
	}
	timeout := time.Duration(call.Wait)*time.Millisecond + holdSlack
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sentAt := bootclock.Now()
	listing, err := s.lead.engine.opts.Workers.Hold(callCtx, s.endpoint(), call)
	if ctx.Err() != nil {
		return 0
	}
	return s.afterHold(sentAt, call, listing, err)
}

func (s *session) prepareHold() (HoldCall, bool) {
	l := s.lead
	l.mu.Lock()
	defer l.mu.Unlock()
	now := bootclock.Now()
	if s.over || !l.lease.valid(now) {
		return HoldCall{}, false
	}
	call := HoldCall{Token: l.token}
	if s.failing || !s.fenced {
		// No lease until the worker has answered: an unanswered call may count late. No ends are
		// acknowledged either: another life, whose numbers begin anew, may take the call.
		return call, true
	}
	call.AckedThrough = s.through
	call.Wait = model.Millis(holdWait.Milliseconds())
	if s.shared {
		call.Wait = model.Millis(s.sharedWait().Milliseconds())
	}
	if len(s.ends) > 0 {
		call.Wait = 0
	}
	call.LeaseUntil = s.leaseEnd(now)
	return call, true
}

// sharedWait is how long a call to a worker may wait where serving tasks and fillers share it. On
// hundreds of workers it is longer, so that the leader has time for quick jobs, but not while a
// serving task is over its target.
func (s *session) sharedWait() time.Duration {
	if s.share.OverTargetSince != 0 {
		return holdWaitShared
	}
	wait := (time.Duration(len(s.lead.sessions))*time.Second + looksPerSecond - 1) / looksPerSecond
	return min(holdWait, max(holdWaitShared, wait))
}

// leaseEnd returns the end of a lease that begins now, and remembers it as sent. It counts
// from a lower bound of the worker's clock, so that a later leader can bound it too.
func (s *session) leaseEnd(now bootclock.Time) model.Millis {
	until := s.clockAtLeast(now) + model.Millis(s.lead.engine.opts.WorkerLease.Milliseconds())
	s.until = max(s.until, until)
	return until
}

// clockAtLeast is a lower bound of the worker's clock.
func (s *session) clockAtLeast(now bootclock.Time) model.Millis {
	passed := float64(now.Sub(s.clockAt).Milliseconds())
	return s.clock + model.Millis(passed*clockRate)
}

func (s *session) sawClock(clock model.Millis, now bootclock.Time) {
	if clock > 0 {
		s.clock, s.clockAt = clock, now
	}
}

func (s *session) afterHold(sentAt bootclock.Time, call HoldCall, listing Listing, err error) time.Duration {
	l := s.lead
	l.mu.Lock()
	defer l.mu.Unlock()
	known := s.endsQueued
	healthy := s.fenced && !s.failing
	defer func() {
		// New figures alone wait for the next regular pass.
		if s.endsQueued != known || !healthy || err != nil {
			l.kick()
		}
	}()
	now := bootclock.Now()
	switch {
	case errors.Is(err, ErrWrongWorker), err == nil && listing.StartedAt != 0 && s.life.StartedAt != 0 && listing.StartedAt != s.life.StartedAt:
		l.logger.Info().Str("worker", string(s.life.Worker)).Int64("born", int64(s.life.StartedAt)).
			Msg("another process answers at the worker's address; the life is over")
		s.over, s.otherID = true, err != nil
		return time.Second
	case errors.Is(err, ErrFenced):
		l.logger.Warn().Str("worker", string(s.life.Worker)).Uint64("token", l.token).Msg("the worker has seen a higher fencing token")
		l.resign()
		return time.Second
	case err != nil:
		if !s.failing {
			l.logger.Info().Err(err).Str("worker", string(s.life.Worker)).Int64("silent_ms", now.Sub(s.answeredAt).Milliseconds()).
				Msg("worker does not answer")
		}
		s.failing = true
		return holdRetry
	}
	if s.failing && s.answeredAt != 0 {
		l.logger.Info().Str("worker", string(s.life.Worker)).Int64("silent_ms", now.Sub(s.answeredAt).Milliseconds()).Msg("worker answers again")
	}
	s.failing, s.fenced, s.answeredAt = false, true, now
	s.sawClock(listing.Clock, now)
	s.takeListing(sentAt, now, listing)
	if len(s.ends) > 0 {
		return endsPause // the next call acknowledges them once they are recorded
	}
	if call.Wait == 0 {
		return 0
	}
	return holdGap
}

const (
	// endsPause bounds the wait for the record of the ends; a commit takes two syncs of 9 ms, and
	// longer on a busy leader, which must not ask for the same ends again meanwhile.
	endsPause = 300 * time.Millisecond
	holdGap   = time.Millisecond
)

func (s *session) takeListing(sentAt, now bootclock.Time, listing Listing) {
	running := make(map[workflow.Attempt]Running, len(listing.Running))
	for _, r := range listing.Running {
		running[r.Attempt] = r
		o := s.orderOf(r.Attempt)
		if o.firstListed == 0 {
			o.firstListed = now
		}
		if r.Progress != o.percent || o.percentAt == 0 {
			o.percent, o.percentAt = r.Progress, now
		}
		if o.phase == startUnanswered || o.phase == startInherited {
			o.phase, o.answeredAt = startAnswered, sentAt
		}
	}
	s.running = running
	s.changed = true
	s.figureAt = now
	if !listing.Truncated {
		s.listedAt = sentAt
	}
	for _, e := range listing.Ended {
		if e.Number <= s.endsQueued || e.Number <= s.through {
			continue
		}
		s.endsQueued = e.Number
		s.ends = append(s.ends, workflow.End{
			Incarnation: s.life, Number: e.Number, Attempt: e.Attempt, Kind: e.Kind, Checkpoint: e.Checkpoint,
		})
	}
}

func (s *session) orderOf(a workflow.Attempt) *order {
	o := s.orders[a]
	if o == nil {
		o = &order{pace: 100}
		s.orders[a] = o
	}
	return o
}

// recorded notes that the ends up to a number are in the log.
func (s *session) recorded(through uint64) {
	s.through = max(s.through, through)
	kept := s.ends[:0]
	for _, e := range s.ends {
		if e.Number > s.through {
			kept = append(kept, e)
		} else {
			delete(s.orders, e.Attempt)
		}
	}
	s.ends = kept
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// lapsed reports whether everything that ran on the life has ended because its lease is over.
func (s *session) lapsed(now bootclock.Time) bool {
	if s.answeredAt != 0 && now.Sub(s.answeredAt) < unreachable {
		return false
	}
	if s.until == 0 || !s.fenced {
		// Leases of earlier leaders end at most one lease after this leadership began.
		if now.Sub(s.lead.since) < s.lead.earlierLeases() {
			return false
		}
	}
	if s.until == 0 {
		return s.fenced || now.Sub(s.openedAt) > s.lead.engine.opts.WorkerLease
	}
	return s.clockAtLeast(now) > s.until+model.Millis(lapseMargin.Milliseconds())
}

// usable reports whether tasks may start on the life.
func (s *session) usable(w *workflow.Worker, now bootclock.Time) bool {
	if s.over || !s.fenced || s.failing || w.Draining || w.Deregistered || now < s.pauseUntil {
		return false
	}
	return now.Sub(s.answeredAt) < unreachable && !s.quarantine.active(now)
}
