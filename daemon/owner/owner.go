// Package owner manages the targets that this gateway owns: their reservations, leases and
// attempts.
//
// Lock order: Table.mu before ownedTarget.mu. Neither is held during a network call or a call of
// an Observer.
package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"samphirepaddle.example/core/lease"
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/reserve"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/syncmsg"
	"samphirepaddle.example/daemon/target"
)

// Proposer commits commands to the replicated log.
type Proposer interface {
	Propose(ctx context.Context, c state.Command) (state.Result, error)
}

// Lease reports whether the gateway's session lease is valid.
type Lease interface {
	Valid() bool
}

// Options configures a Table.
type Options struct {
	Gateway          model.GatewayID
	PublicAddr       string
	TargetTTL        time.Duration
	AnnounceInterval time.Duration
	Targets          *target.Client
	Proposer         Proposer
	Picker           Picker // MostFree if nil
	Logger           zerolog.Logger
}

// Table holds the owned targets.
type Table struct {
	options         Options
	lease           Lease
	onCapacityFreed func(model.PoolID)
	draining        atomic.Bool
	calls           chan queuedCall
	wakeup          chan struct{} // wakes the loop of Run before its next tick
	activeCalls     atomic.Int64  // calls that are queued or in progress
	needs           atomic.Pointer[map[model.PoolID]quickNeeds]
	observer        Observer // the picker if it implements Observer, else nil
	usage           usageQueue

	mu       sync.RWMutex
	revision model.Revision              // of the configuration
	levels   map[model.AttemptID]float64 // of the throttled attempts
	owned    map[model.TargetID]*ownedTarget
	pools    map[model.PoolID][]*ownedTarget
}

// ownedTarget is a target that this gateway owns under one ownership epoch.
type ownedTarget struct {
	onCapacityFreed func(model.PoolID)

	mu                sync.Mutex
	ownershipEnded    bool // nothing may be dispatched under this epoch any more
	record            state.Target
	renewedAt         time.Time // last lease renewal, or when ownership began
	startID           string    // start ID of the process that sends the announcements
	sequence          uint64
	reported          bool // the target has reported under the present epoch
	leaving           bool
	moving            bool // the leader asked to hand it over; ownershipEnded is set too
	handoverPending   bool // a proposal of HandOverTarget is queued or in progress
	losing            bool // the lease has expired and must not be renewed any more
	lossPending       bool // a proposal of LoseTarget is queued or in progress
	unknownAttempts   int  // number of running attempts with neither an order nor a reservation
	table             *reserve.Table
	attempts          map[model.AttemptID]*attempt
	unconfirmedStops  map[model.AttemptID]uint64 // closed, stop not confirmed; first report that may release it
	uncertainRequests map[model.RequestID]uncertainRequest
	replacedProcesses map[string]time.Time  // earlier start IDs, with the ends of their leases
	oldLeasesEnd      time.Time             // latest end of the leases of earlier processes
	summary           syncmsg.TargetSummary // last one reported to the leader
	usage             []model.UsageReport   // reported and not passed on yet
	version           uint64                // of the last observation
}

// attempt is an open attempt on an owned target.
type attempt struct {
	order             syncmsg.Order
	sent              bool   // a start was sent and may have reached the target
	started           bool   // the start was confirmed, or the target lists it
	confirmedSequence uint64 // last report before the start was confirmed, or that listed it
	missing           bool   // reports no longer list it
	busy              bool   // a call about it is queued or in progress
	notBefore         time.Time
	failures          int
	checkpoint        []byte
	decidedEnd        *state.EndAttempt // end decided by this gateway, nil before
	endCommitted      bool              // its end is committed

	wantedLevel       float64   // fraction of full speed at which it should run
	appliedLevel      float64   // level that the target confirmed, or unknownLevel
	throttleNotBefore time.Time // earliest retry of a failed throttle call
	throttleFailures  int
}

// NewTable returns an empty table. SetLease must be called before use.
func NewTable(options Options) *Table {
	if options.Picker == nil {
		options.Picker = MostFree{}
	}
	observer, _ := options.Picker.(Observer)
	return &Table{
		options:         options,
		observer:        observer,
		onCapacityFreed: func(model.PoolID) {},
		calls:           make(chan queuedCall, callBacklog),
		wakeup:          make(chan struct{}, 1),
		owned:           map[model.TargetID]*ownedTarget{},
	}
}

// SetLease sets the session lease, without which nothing is dispatched.
func (t *Table) SetLease(lease Lease) { t.lease = lease }

// OnCapacityFreed sets a function that is called when capacity for quick requests may have
// become free. It must be set before the table is used, and the function must not block.
func (t *Table) OnCapacityFreed(f func(model.PoolID)) { t.onCapacityFreed = f }

// Reset drops all targets that an earlier session owned.
func (t *Table) Reset() {
	defer t.notifyOwnedTargets() // after t.mu is released
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, o := range t.owned {
		o.endOwnership()
	}
	t.owned = map[model.TargetID]*ownedTarget{}
	t.indexPools()
}

// endOwnership marks the ownership as ended, so that dispatches not yet written are refused.
func (o *ownedTarget) endOwnership() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ownershipEnded = true
}

// Apply stores the configuration and the changes to the owned targets and their orders that a
// session renewal returned. changes may be nil.
func (t *Table) Apply(changes *syncmsg.Changes, config state.Config) {
	if changes != nil {
		defer t.notifyOwnedTargets() // after t.mu is released
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.revision != config.Revision || t.needs.Load() == nil {
		t.revision = config.Revision
		needs := needsByPool(config)
		t.needs.Store(&needs)
	}
	if changes == nil {
		return
	}
	t.dropUnowned(changes.OwnedTargets)
	for _, record := range changes.Targets {
		t.update(record)
	}
	t.indexPools()
	// Orders are stored before t.mu is released: an announcement that found the target
	// without its orders would have its attempts stopped and their ends acknowledged.
	t.applyOrders(changes)
	t.wake()
}

func (t *Table) dropUnowned(ids []model.TargetID) {
	keep := make(map[model.TargetID]bool, len(ids))
	for _, id := range ids {
		keep[id] = true
	}
	for id, o := range t.owned {
		if !keep[id] {
			o.endOwnership()
			delete(t.owned, id)
		}
	}
}

// update stores a target's record. A new epoch starts with an empty reservation table, and the
// target takes no work until it reports under that epoch.
func (t *Table) update(record state.Target) {
	o, ok := t.owned[record.ID]
	if ok && o.record.Epoch == record.Epoch {
		o.setRecord(record)
		return
	}
	if ok {
		o.endOwnership()
	}
	now := time.Now()
	t.owned[record.ID] = &ownedTarget{
		onCapacityFreed: t.onCapacityFreed,
		record:          record,
		renewedAt:       now,
		startID:         record.StartID,
		// An earlier owner may have renewed the lease of an earlier process until just now.
		oldLeasesEnd:      lease.GranterExpiry(now, t.options.TargetTTL, targetMargin),
		table:             reserve.NewTable(record.Capacity),
		attempts:          map[model.AttemptID]*attempt{},
		unconfirmedStops:  map[model.AttemptID]uint64{},
		uncertainRequests: map[model.RequestID]uncertainRequest{},
		replacedProcesses: map[string]time.Time{},
	}
}

func (o *ownedTarget) setRecord(record state.Target) {
	o.mu.Lock()
	defer o.mu.Unlock()
	// The record may predate a change that this gateway committed itself; keep the newer one.
	if record.ChangedRevision < o.record.ChangedRevision {
		return
	}
	o.record = record
	o.table.SetCapacity(record.Capacity)
	if record.Moving {
		o.beginHandover()
	}
}

// indexPools rebuilds the list of targets of each pool. The caller holds t.mu.
func (t *Table) indexPools() {
	t.pools = map[model.PoolID][]*ownedTarget{}
	for _, o := range t.owned {
		o.mu.Lock()
		pool := o.record.Pool
		o.mu.Unlock()
		t.pools[pool] = append(t.pools[pool], o)
	}
}

// applyOrders removes attempts that are no longer open and stores the new orders. The caller
// holds t.mu.
func (t *Table) applyOrders(changes *syncmsg.Changes) {
	open := make(map[model.AttemptID]bool, len(changes.OpenAttempts))
	for _, id := range changes.OpenAttempts {
		open[id] = true
	}
	for _, o := range t.owned {
		o.closeAttempts(open)
	}
	for _, order := range changes.Orders {
		if o, ok := t.owned[order.Attempt.Target]; ok {
			o.takeOrder(order, t.levelOf(order.Attempt.ID))
		}
	}
}

// closeAttempts removes the attempts that are not in open: their end is committed. If an attempt
// may still run, its reservation is kept until reports no longer list it. Other reservations are
// released at once.
func (o *ownedTarget) closeAttempts(open map[model.AttemptID]bool) {
	if o.releaseClosed(open) {
		o.onCapacityFreed(o.record.Pool)
	}
}

func (o *ownedTarget) releaseClosed(open map[model.AttemptID]bool) (freed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, a := range o.attempts {
		if open[id] {
			continue
		}
		delete(o.attempts, id)
		if a.sent && !a.endCommitted {
			o.unconfirmedStops[id] = o.sequence + reportsUntilEnded
			continue
		}
		freed = o.table.Release(id.String()) || freed
	}
	return freed
}

func (o *ownedTarget) takeOrder(order syncmsg.Order, level float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if known, ok := o.attempts[order.Attempt.ID]; ok {
		known.order = order
		return
	}
	o.attempts[order.Attempt.ID] = o.newAttempt(order, level)
}

func (t *Table) get(id model.TargetID) *ownedTarget {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.owned[id]
}

func (t *Table) list() []*ownedTarget {
	t.mu.RLock()
	defer t.mu.RUnlock()
	all := make([]*ownedTarget, 0, len(t.owned))
	for _, o := range t.owned {
		all = append(all, o)
	}
	return all
}

// Drain stops every new dispatch, start and lease renewal, and waits until the calls that are
// queued or in progress have ended or ctx is done. DrainGateway must not be proposed earlier: a
// renewal or start after that command would overlap with the next owner.
func (t *Table) Drain(ctx context.Context) {
	t.draining.Store(true)
	for _, o := range t.list() {
		o.endOwnership()
	}
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for t.activeCalls.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// TargetAddress returns the address and epoch of an owned target.
func (t *Table) TargetAddress(id model.TargetID) (address string, epoch model.Epoch, ok bool) {
	o := t.get(id)
	if o == nil || !t.lease.Valid() {
		return "", 0, false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.record.Address, o.record.Epoch, true
}
