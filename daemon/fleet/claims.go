package fleet

import (
	"context"
	"errors"
	"time"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/workflow"
	"samphirepaddle.example/daemon/bootclock"
)

// Any program can send a heartbeat under the id of a worker. One that names another start time or another
// address than the record is a claim, and what answers at the claimed address decides on it:
//
//   - If a process answers there with the id and the start time, the claim is proven and recorded, also
//     with an earlier start time than the recorded one. A restart is recorded after this one short call.
//   - Otherwise a later start time is recorded only while the recorded process does not answer either. The
//     record that it displaces is kept until the later process answers.
//   - A report of a process that is recorded as deregistered and never drained is a claim, too: a deregistration
//     names the worker's id only, and may be that of an earlier process. The answer withdraws it.
//   - All other claims are refused. A refused heartbeat is not acknowledged, because it may be the
//     announcement of a worker that leaves.

// probeTimeout bounds the call that examines a claim; a response takes a few milliseconds. The commit has
// to fit into the second after which a worker calls the next daemon.
const probeTimeout = 500 * time.Millisecond

// ReportResult is the outcome of a heartbeat or a deregistration.
type ReportResult struct {
	NotRecorded bool `cbor:"1,keyasint,omitempty"` // the report was refused and must not be acknowledged
}

// ErrNotRecorded reports that a heartbeat was refused, because nothing shows that it is from the worker.
var ErrNotRecorded = errors.New("the report contradicts the recorded worker and is not proven")

func (r ReportResult) check(err error) error {
	if err == nil && r.NotRecorded {
		return ErrNotRecorded
	}
	return err
}

// ReportWorker handles a worker's heartbeat. Changes are committed before the response, so that a
// worker whose draining was acknowledged gets no task from a later leader either.
func (e *Engine) ReportWorker(ctx context.Context, r WorkerReport) (ReportResult, error) {
	l := e.currentLeadership()
	if l == nil {
		return ReportResult{}, ErrNotLeading
	}
	var p probe
	if isClaim(l.recorded(r.Worker.Incarnation.Worker), r.Worker) {
		p = l.probe(ctx, r.Worker)
	}
	done, refused := l.enqueueReport(r, p)
	if refused {
		l.engine.opts.Metrics.count("reports", "refused", 1)
		l.sampledLogger.Info().Str("worker", string(r.Worker.Incarnation.Worker)).Int64("born", int64(r.Worker.Incarnation.StartedAt)).
			Str("addr", r.Worker.Addr).Bool("draining", r.Worker.Draining).Msg("report refused: it contradicts the recorded worker and is not proven")
		return ReportResult{NotRecorded: true}, nil
	}
	if done == nil {
		return ReportResult{}, nil
	}
	l.requestPass()
	select {
	case <-done:
		return ReportResult{}, nil
	case <-ctx.Done():
	case <-l.ctx.Done():
	}
	return ReportResult{}, ErrUnknownOutcome
}

// recorded returns a copy of the record of a worker, or nil if there is none.
func (l *leadership) recorded(id workflow.WorkerID) (found *workflow.Worker) {
	l.engine.opts.Log.View(func(st *state.State) {
		if w, ok := st.Workflows.Workers[id]; ok {
			copied := *w
			found = &copied
		}
	})
	return found
}

// isClaim reports whether a report contradicts the record of which process the worker is and where, or that
// it has ended. A worker drains before it ends, so its deregistration is doubtful if it did not.
func isClaim(known *workflow.Worker, w workflow.Worker) bool {
	switch {
	case known == nil:
		return false
	case known.Incarnation != w.Incarnation:
		return true
	case known.Deregistered:
		return !known.Draining && !w.Draining && !w.Deregistered
	}
	return known.Addr != w.Addr
}

// probe is a call to the address of a claim.
type probe struct {
	sentAt bootclock.Time
	proven bool // the process with the claimed start time answered
}

// probe calls the address of a claim. The call carries no lease and acknowledges no ends.
func (l *leadership) probe(ctx context.Context, w workflow.Worker) probe {
	p := probe{sentAt: bootclock.Now()}
	if !l.lease.valid(p.sentAt) {
		return p
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	defer context.AfterFunc(l.ctx, cancel)()
	listing, err := l.engine.opts.Workers.Hold(ctx, Endpoint{Incarnation: w.Incarnation, Addr: w.Addr, Zone: w.Zone}, HoldCall{Token: l.token})
	p.proven = err == nil && listing.StartedAt == w.Incarnation.StartedAt
	return p
}

// proves reports whether the probe proves the claim. An answer of the recorded process to a call that was
// sent after the probe contradicts it: the response to the probe may have been delayed. l.mu must be held.
func (l *leadership) proves(p probe, known *workflow.Worker, w workflow.Worker) bool {
	if !p.proven || known.Incarnation == w.Incarnation {
		return p.proven
	}
	s := l.sessions[known.Incarnation]
	return s == nil || s.fullListSentAt <= p.sentAt || !s.answers(bootclock.Now())
}

// believes reports whether a claim is recorded without a proof; l.mu must be held.
func (l *leadership) believes(known *workflow.Worker, w workflow.Worker) bool {
	if known.Incarnation.StartedAt >= w.Incarnation.StartedAt {
		return false
	}
	s := l.sessions[known.Incarnation]
	return known.Deregistered || s == nil || !s.answers(bootclock.Now())
}

// answers reports whether the worker process answers this leader's calls.
func (s *session) answers(now bootclock.Time) bool {
	return !s.closed && !s.replaced && !s.failing && s.tokenAccepted && now.Sub(s.answeredAt) < unreachableAfter
}

// enqueueReport handles a heartbeat. If it must be committed, it is queued for the next pass and
// the returned channel is closed once it is; otherwise the channel is nil.
func (l *leadership) enqueueReport(r WorkerReport, p probe) (done <-chan struct{}, refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.recorded(r.Worker.Incarnation.Worker)
	claim, proven := isClaim(known, r.Worker), false
	if claim {
		proven = l.proves(p, known, r.Worker)
		if !proven && !l.believes(known, r.Worker) {
			return nil, true
		}
	} else if s := l.sessions[r.Worker.Incarnation]; s != nil && known != nil {
		outdated := false
		if outdated, proven = s.takeSequence(r.Sequence); outdated && !announcesMore(known, r.Worker) {
			return nil, false // an outdated heartbeat is ignored, unless it announces that the worker leaves
		}
		s.takeTimes(r, outdated)
	}
	if pending := l.reports[r.Worker.Incarnation.Worker]; pending == nil && !claim && !changesState(known, r.Worker) {
		return nil, false
	}
	return l.queueReport(r, proven)
}

// announcesMore reports whether the report announces that the worker leaves, and the record does not. This
// is true however old the report is.
func announcesMore(known *workflow.Worker, w workflow.Worker) bool {
	return (w.Draining && !known.Draining) || (w.Deregistered && !known.Deregistered)
}

// changesState reports whether the report changes the record of the same process, or adds one.
func changesState(known *workflow.Worker, w workflow.Worker) bool {
	if known == nil {
		return !w.Deregistered
	}
	return announcesMore(known, w) || (!known.Deregistered && !sameReport(*known, w))
}

// takeTimes takes over the times in a heartbeat; leadership.mu must be held.
func (s *session) takeTimes(r WorkerReport, outdated bool) {
	now := bootclock.Now()
	if s.clock == 0 {
		s.updateClock(r.Clock, now)
	}
	if r.Worker.Draining && r.DrainRemainingMs > 0 && (!outdated || s.drainUntil == 0) {
		s.drainUntil = now.Add(time.Duration(r.DrainRemainingMs) * time.Millisecond)
	}
}

// minLowerSequences is the number of heartbeats with rising numbers below that of another heartbeat after
// which the worker's own numbers are the lower ones. A heartbeat that was delayed comes alone.
const minLowerSequences = 3

// lowerSequences describes the heartbeats that are numbered below the latest one.
type lowerSequences struct {
	last  uint64
	count int // heartbeats whose numbers have risen up to last
}

// takeSequence takes over the number of a heartbeat, and reports whether it is outdated. A worker that
// answers and goes on with lower numbers is right about itself: restarted reports that its number, and
// what it says, replace those of a heartbeat with a higher one. leadership.mu must be held.
func (s *session) takeSequence(sequence uint64) (outdated, restarted bool) {
	switch {
	case sequence == 0:
		return false, false
	case sequence > s.sequence:
		s.sequence, s.lower = sequence, lowerSequences{}
		return false, false
	case sequence < s.sequence && sequence > s.lower.last:
		s.lower.last = sequence
		s.lower.count++
	}
	if s.lower.count < minLowerSequences || !s.answers(bootclock.Now()) {
		return true, false
	}
	s.sequence, s.lower = sequence, lowerSequences{}
	return false, true
}

// queueReport queues a report for the next pass, in place of the one of the same worker that is pending;
// l.mu must be held.
func (l *leadership) queueReport(r WorkerReport, proven bool) (done <-chan struct{}, refused bool) {
	incarnation := r.Worker.Incarnation
	next := &pendingReport{worker: r.Worker, proven: proven, done: make(chan struct{})}
	next.worker.ReportSequence = r.Sequence
	if pending := l.reports[incarnation.Worker]; pending != nil {
		switch {
		case pending.worker.Incarnation != incarnation:
			if !proven && (pending.proven || pending.worker.Incarnation.StartedAt > incarnation.StartedAt) {
				return nil, true
			}
		case next.addsNothingTo(pending):
			return pending.done, false
		default:
			next.mergePending(pending)
		}
	}
	l.reports[incarnation.Worker] = next
	l.logger.Info().Str("worker", string(incarnation.Worker)).Int64("born", int64(incarnation.StartedAt)).Str("addr", r.Worker.Addr).
		Bool("draining", r.Worker.Draining).Bool("gone", r.Worker.Deregistered).Bool("proven", proven).
		Int64("cold_ms", int64(max(0, r.Worker.ColdUntil-r.Clock))).Msg("worker reports")
	return next.done, false
}

// outdatedBy reports whether the other report of the same process was sent later.
func (p *pendingReport) outdatedBy(other *pendingReport) bool {
	return !p.proven && p.worker.ReportSequence != 0 && p.worker.ReportSequence < other.worker.ReportSequence
}

// addsNothingTo reports whether the pending report of the same process already says what this one does.
func (p *pendingReport) addsNothingTo(pending *pendingReport) bool {
	if p.outdatedBy(pending) {
		return !announcesMore(&pending.worker, p.worker)
	}
	return sameReport(pending.worker, p.worker) && (pending.proven || !p.proven)
}

// mergePending takes over from the pending report of the same process what remains true, and its
// attributes if it was sent later.
func (p *pendingReport) mergePending(pending *pendingReport) {
	draining, deregistered := p.worker.Draining || pending.worker.Draining, p.worker.Deregistered || pending.worker.Deregistered
	if p.outdatedBy(pending) {
		p.worker = pending.worker
	}
	p.proven = p.proven || (pending.proven && p.worker.Addr == pending.worker.Addr)
	p.worker.Draining, p.worker.Deregistered = draining, deregistered
}

// sameReport reports whether b adds nothing to a: the attributes are the same, and b is draining
// or deregistered only if a is.
func sameReport(a, b workflow.Worker) bool {
	if a.Incarnation != b.Incarnation || a.Addr != b.Addr || a.Service != b.Service || a.Zone != b.Zone || a.Rack != b.Rack {
		return false
	}
	if a.CPUMillis != b.CPUMillis || a.MemoryMiB != b.MemoryMiB || a.Accelerators != b.Accelerators || len(a.Labels) != len(b.Labels) {
		return false
	}
	for i := range a.Labels {
		if a.Labels[i] != b.Labels[i] {
			return false
		}
	}
	return (a.Draining || !b.Draining) && (a.Deregistered || !b.Deregistered) && !coldLonger(a, b)
}

// coldTolerance is the difference between two reports of when a worker is at full speed that is no news.
const coldTolerance = model.Millis(1000)

// coldLonger reports whether b announces that the worker stays cold for longer than a does. An earlier end
// of the cold time is no news: it passes by itself.
func coldLonger(a, b workflow.Worker) bool { return b.ColdUntil > a.ColdUntil+coldTolerance }
