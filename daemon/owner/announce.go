package owner

import (
	"context"
	"errors"
	"time"

	"samphirepaddle.example/core/lease"
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/reserve"
	"samphirepaddle.example/core/state"
)

// targetMargin is the safety margin that the granter adds to the end of a target lease.
const targetMargin = 200 * time.Millisecond

// Errors of Announce.
var (
	ErrNotOwner = errors.New("this gateway does not own the target")
	// ErrSuperseded is returned to a process that another one with the same target ID replaced.
	ErrSuperseded = errors.New("a newer process announces itself under this target id")
)

// Announce processes an announcement of an owned target and renews the target's lease.
func (t *Table) Announce(ctx context.Context, a model.Announcement) (model.AnnouncementResponse, error) {
	o := t.get(a.Target)
	if o == nil || t.draining.Load() || !t.lease.Valid() {
		return model.AnnouncementResponse{}, ErrNotOwner
	}
	if err := t.recordProcess(ctx, o, a); err != nil {
		return model.AnnouncementResponse{}, err
	}
	t.recordLeaving(ctx, o, a)
	t.proposeEnds(ctx, o, a)
	response, freed, err := t.renew(o, a)
	if err == nil {
		t.observe(o)
	}
	if freed {
		t.onCapacityFreed(a.Pool)
	}
	t.wake()
	return response, err
}

// recordProcess commits a new process of the target before the response to its announcement.
func (t *Table) recordProcess(ctx context.Context, o *ownedTarget, a model.Announcement) error {
	o.mu.Lock()
	recorded := o.record.StartID == a.StartID
	known := o.startID == a.StartID
	revision := o.record.ChangedRevision
	until, retired := o.replacedProcesses[a.StartID]
	o.mu.Unlock()
	if recorded && known {
		return nil
	}
	if recorded { // another gateway recorded the new process
		o.replaceProcess(a, revision, t.options.TargetTTL)
		return nil
	}
	// A late announcement of an earlier process must not replace the present one. Once the lease
	// of the earlier process has expired, it has stopped its tasks and may announce itself again.
	if retired && time.Now().Before(until) {
		return ErrSuperseded
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := t.options.Proposer.Propose(ctx, state.Command{JoinTarget: NewJoinTarget(a)})
	if err != nil {
		return err
	}
	if !result.OK() {
		return errors.New(result.Message)
	}
	o.replaceProcess(a, result.Revision, t.options.TargetTTL)
	return nil
}

// replaceProcess makes the announcing process the present one of the target. The attempts of
// the old process may run until its lease expires.
func (o *ownedTarget) replaceProcess(a model.Announcement, revision model.Revision, ttl time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.startID != a.StartID {
		expires := lease.GranterExpiry(o.renewedAt, ttl, targetMargin)
		o.replacedProcesses[o.startID] = expires
		if expires.After(o.oldLeasesEnd) {
			o.oldLeasesEnd = expires
		}
		delete(o.replacedProcesses, a.StartID)
		o.startID = a.StartID
		o.sequence = 0
		o.leaving = false
		for _, known := range o.attempts {
			known.started = false
			known.missing = false
		}
	}
	o.record.StartID = a.StartID
	o.record.Address = a.Address
	o.record.Zone = a.Zone
	o.record.Rack = a.Rack
	o.record.Capacity = a.Capacity
	o.record.Leaving = false
	o.record.ChangedRevision = max(o.record.ChangedRevision, revision)
	o.table.SetCapacity(a.Capacity)
}

// recordLeaving stops new work at once, and commits that the target is leaving so that later
// owners know it. A failed commit is retried with the next announcement.
func (t *Table) recordLeaving(ctx context.Context, o *ownedTarget, a model.Announcement) {
	if a.State != model.TargetLeaving {
		return
	}
	o.mu.Lock()
	if o.startID != a.StartID {
		o.mu.Unlock()
		return
	}
	o.leaving = true
	recorded := o.record.Leaving
	o.mu.Unlock()
	if recorded {
		return
	}
	command := state.Command{LeaveTarget: &state.LeaveTarget{Target: a.Target, StartID: a.StartID}}
	if err := t.propose(ctx, command); err != nil {
		t.options.Logger.Warn().Err(err).Str("target", string(a.Target)).Msg("leaving of target not committed")
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.record.Leaving = o.record.Leaving || o.startID == a.StartID
}

// NewJoinTarget returns the command that records an announced target.
func NewJoinTarget(a model.Announcement) *state.JoinTarget {
	return &state.JoinTarget{
		Target:   a.Target,
		StartID:  a.StartID,
		Address:  a.Address,
		Zone:     a.Zone,
		Rack:     a.Rack,
		Pool:     a.Pool,
		Capacity: a.Capacity,
	}
}

// errInvalid is returned if the state rejects the content of a command.
var errInvalid = errors.New("command rejected as invalid")

// proposeTimeout bounds a proposal, so that its caller is not blocked while there is no leader.
// Commands that were not committed are proposed again.
const proposeTimeout = 5 * time.Second

func (t *Table) propose(ctx context.Context, c state.Command) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := t.options.Proposer.Propose(ctx, c)
	if err != nil {
		return err
	}
	if result.Code == state.CodeInvalid {
		return errors.Join(errInvalid, errors.New(result.Message))
	}
	if !result.OK() && result.Code != state.CodeStale {
		return errors.New(result.Message)
	}
	return nil
}

// proposeEnds commits the ends that the target reports.
func (t *Table) proposeEnds(ctx context.Context, o *ownedTarget, a model.Announcement) {
	for _, ended := range a.Ended {
		if !o.isOpen(ended.Attempt) {
			continue
		}
		if err := t.proposeEnd(ctx, ended); err != nil {
			t.options.Logger.Warn().Err(err).Stringer("attempt", ended.Attempt).Msg("end of attempt not committed")
			continue
		}
		o.markEnded(ended.Attempt)
	}
}

// proposeEnd commits a reported end. If the state rejects the command as invalid, the end is
// proposed again without the result of the job, because the job would otherwise stay open forever.
func (t *Table) proposeEnd(ctx context.Context, ended model.EndedAttempt) error {
	end := endOf(ended)
	err := t.propose(ctx, state.Command{EndAttempt: &end})
	if errors.Is(err, errInvalid) {
		end.Result = nil
		err = t.propose(ctx, state.Command{EndAttempt: &end})
	}
	return err
}

func endOf(ended model.EndedAttempt) state.EndAttempt {
	outcome := state.OutcomeFinished
	if ended.Failed {
		outcome = state.OutcomeFailed
	}
	return state.EndAttempt{
		Attempt: ended.Attempt,
		Outcome: outcome,
		Message: ended.Message,
		Result:  ended.Result,
	}
}

func (o *ownedTarget) isOpen(id model.AttemptID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	known, ok := o.attempts[id]
	return ok && !known.endCommitted
}

func (o *ownedTarget) markEnded(id model.AttemptID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if known, ok := o.attempts[id]; ok {
		known.endCommitted = true
	}
}

// renew renews the target's lease, processes the report and returns the response. A report that
// is out of order changes nothing. The response to it is safe: the target counts the lease from the
// time at which it sent the report, so this lease ends before that of the later report.
func (t *Table) renew(o *ownedTarget, a model.Announcement) (response model.AnnouncementResponse, freed bool, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	// losing is checked under the lock that beginLoss holds: once the loss is proposed, a
	// renewal would let the target run work that is requeued elsewhere.
	if o.ownershipEnded || o.losing || o.startID != a.StartID || !t.lease.Valid() {
		return model.AnnouncementResponse{}, false, ErrNotOwner
	}
	response = model.AnnouncementResponse{
		Epoch:        o.record.Epoch,
		LeaseMs:      model.Millis(t.options.TargetTTL.Milliseconds()),
		Owner:        t.options.Gateway,
		OwnerAddress: t.options.PublicAddr,
		NextMs:       model.Millis(t.options.AnnounceInterval.Milliseconds()),
		Acknowledged: o.acknowledged(a),
	}
	if a.Sequence <= o.sequence {
		return response, false, nil
	}
	o.sequence = a.Sequence
	o.renewedAt = time.Now()
	if a.Epoch < o.record.Epoch {
		response.NextMs = 0 // the target reports again at once under the new epoch
		return response, false, nil
	}
	o.usage = append(o.usage, a.Usage[:min(len(a.Usage), maxUsagePerAnnouncement)]...)
	wasOpen := o.takesWork()
	freed = o.releaseUnlisted(a)
	response.Stop = o.reconcile(a)
	if !o.reported {
		o.adoptRequests(a, t.largestQuick(o.record.Pool))
		o.adoptReplacedAttempts()
		o.reported = true
	}
	if o.unknownAttempts > 0 {
		// The target takes no work until the unknown attempts have stopped. A stop may take long,
		// so the next report is due soon rather than at once.
		response.NextMs = min(response.NextMs, unknownAttemptsNextMs)
	}
	return response, freed || !wasOpen && o.takesWork(), nil
}

// unknownAttemptsNextMs is the interval of announcements while a target stops unknown attempts.
const unknownAttemptsNextMs = model.Millis(100)

// acknowledged returns the reported ends that need no further report. The caller holds o.mu.
func (o *ownedTarget) acknowledged(a model.Announcement) []model.AttemptID {
	var done []model.AttemptID
	for _, ended := range a.Ended {
		if known, ok := o.attempts[ended.Attempt]; !ok || known.endCommitted {
			done = append(done, ended.Attempt)
		}
	}
	return done
}

// reportsUntilMissing is the number of reports after which an attempt that none of them lists
// counts as missing. Reports are counted from the confirmed start or the last report that listed
// the attempt.
const reportsUntilMissing = 3

// reconcile compares the attempts that the target reports as running with its orders, and
// returns the attempts to stop. The caller holds o.mu.
func (o *ownedTarget) reconcile(a model.Announcement) (stop []model.AttemptID) {
	running := make(map[model.AttemptID]bool, len(a.Running))
	o.unknownAttempts = 0
	for _, id := range a.Running {
		running[id] = true
		known, ok := o.attempts[id]
		if !ok {
			stop = append(stop, id)
			if !o.table.Holds(id.String()) {
				o.unknownAttempts++
			}
			continue
		}
		known.sent = true
		known.started = true
		known.confirmedSequence = a.Sequence
		o.table.Adopt(id.String(), reserve.Batch, known.order.Attempt.Reserved)
	}
	ended := make(map[model.AttemptID]bool, len(a.Ended))
	for _, e := range a.Ended {
		ended[e.Attempt] = true
	}
	for id, known := range o.attempts {
		known.missing = known.started && !running[id] && !ended[id] && a.Sequence >= known.confirmedSequence+reportsUntilMissing
	}
	for id, after := range o.unconfirmedStops {
		if !running[id] && a.Sequence >= after {
			delete(o.unconfirmedStops, id)
			o.table.Release(id.String())
		}
	}
	return stop
}

// adoptRequests reserves capacity for the requests that an earlier owner dispatched. Their
// service is not known, so each gets the largest quick demand of the pool. The caller holds o.mu.
func (o *ownedTarget) adoptRequests(a model.Announcement, amount model.Resources) {
	for _, id := range a.Requests {
		if o.table.Holds(quickID(id)) {
			continue
		}
		o.table.Adopt(quickID(id), reserve.Quick, amount)
		o.uncertainRequests[id] = uncertainRequest{o.startID, a.Sequence + 1}
	}
}

// adoptReplacedAttempts reserves capacity for the attempts of replaced processes. They may run
// until the leases of these processes expire, and no report of the present process lists them.
// The caller holds o.mu.
func (o *ownedTarget) adoptReplacedAttempts() {
	for id, known := range o.attempts {
		if !known.endCommitted && known.order.Attempt.StartID != o.startID {
			o.table.Adopt(id.String(), reserve.Batch, known.order.Attempt.Reserved)
		}
	}
}

// mayRelease reports whether a request has certainly ended if the present announcement does not
// list it. The caller holds o.mu.
func (o *ownedTarget) mayRelease(r uncertainRequest) bool {
	if r.startID == o.startID {
		return o.sequence >= r.after
	}
	return time.Now().After(o.oldLeasesEnd)
}

// beginLoss reports whether the target's lease, including the granter's margin, has expired. If
// so, the lease is not renewed any more.
func (o *ownedTarget) beginLoss(now time.Time, ttl time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ownershipEnded || o.record.Lost {
		return false
	}
	if now.After(lease.GranterExpiry(o.renewedAt, ttl, targetMargin)) {
		o.losing = true
	}
	return o.losing
}
