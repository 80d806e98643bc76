// Package owner keeps the targets that this gateway owns: their reservations, leases and
// attempts.
//
// Lock order: Table.mu before owned.mu. Neither is held during a network call or a call of an
// Observer.
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

// Proposer commits commands.
type Proposer interface {
	Propose(ctx context.Context, c state.Command) (state.Result, error)
}

// Lease tells whether the gateway's session holds.
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
	options  Options
	lease    Lease
	onRoom   func(model.PoolID)
	draining atomic.Bool
	jobs     chan job      // calls about attempts and losses of targets
	kick     chan struct{} // wakes the loop before its next tick
	working  atomic.Int64  // calls that are queued or in progress
	needs    atomic.Pointer[map[model.PoolID]quickNeeds]
	observer Observer // the picker if it learns, else nil
	usage    usageQueue

	mu       sync.RWMutex
	revision model.Revision              // of the configuration
	levels   map[model.AttemptID]float64 // of the throttled attempts
	owned    map[model.TargetID]*owned
	pools    map[model.PoolID][]*owned
}

// owned is one owned target under one ownership epoch.
type owned struct {
	onRoom func(model.PoolID)

	mu        sync.Mutex
	gone      bool // ownership ended; nothing may be dispatched under this epoch
	record    state.Target
	answered  time.Time // last answer to an announcement, or when ownership began
	start     string    // start id of the process that announces itself
	sequence  uint64
	open      bool // it reported under the present epoch
	leaving   bool
	moving    bool // the leader asked to hand it over; gone is set too
	moveBusy  bool // a proposal of HandOverTarget is queued or in progress
	losing    bool // LoseTarget is proposed; the lease must not be renewed any more
	lossBusy  bool // a proposal of LoseTarget is queued or in progress
	strangers int  // attempts that it runs and should not
	table     *reserve.Table
	attempts  map[model.AttemptID]*attempt
	lingering map[model.AttemptID]uint64 // closed without a confirmed stop; sequence as in doubt
	doubtful  map[model.RequestID]doubt
	retired   map[string]time.Time  // earlier start ids, with the end of their lease
	oldOver   time.Time             // when the leases of all earlier processes are over
	summary   syncmsg.TargetSummary // last one reported to the leader
	usage     []model.UsageReport   // reported and not passed on yet
	version   uint64                // of the last observation
}

// attempt is an open attempt on an owned target.
type attempt struct {
	order      syncmsg.Order
	sent       bool   // a start was sent and may have reached the target
	started    bool   // the start was confirmed, or the target lists it
	startedAt  uint64 // sequence of the last report before the start was confirmed
	missing    bool   // reports do not list it any more
	busy       bool   // a call about it is queued or in progress
	notBefore  time.Time
	failures   int
	checkpoint []byte
	end        *state.EndAttempt // decided end that is to be committed
	ended      bool              // its end is committed

	level            float64   // part of full speed at which it should run
	applied          float64   // level that the target confirmed, or unknownLevel
	throttleAt       time.Time // a failed throttle is repeated no earlier
	throttleFailures int
}

// NewTable returns an empty table. SetLease must be called before use.
func NewTable(options Options) *Table {
	if options.Picker == nil {
		options.Picker = MostFree{}
	}
	observer, _ := options.Picker.(Observer)
	return &Table{
		options:  options,
		observer: observer,
		onRoom:   func(model.PoolID) {},
		jobs:     make(chan job, jobBacklog),
		kick:     make(chan struct{}, 1),
		owned:    map[model.TargetID]*owned{},
	}
}

// SetLease sets the session whose lease covers every dispatch.
func (t *Table) SetLease(lease Lease) { t.lease = lease }

// OnCapacityFreed sets a function that is called when room for quick requests may have appeared. It
// must be set before use, and must not block.
func (t *Table) OnCapacityFreed(f func(model.PoolID)) { t.onRoom = f }

// Reset drops everything that an earlier session owned.
func (t *Table) Reset() {
	defer t.keep() // after t.mu is released
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, o := range t.owned {
		o.leave()
	}
	t.owned = map[model.TargetID]*owned{}
	t.index()
}

// leave ends the ownership. Dispatches that are about to be written see it.
func (o *owned) leave() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.gone = true
}

// Apply takes the targets and orders of the session.
func (t *Table) Apply(changes *syncmsg.Changes, config state.Config) {
	if changes != nil {
		defer t.keep() // after t.mu is released
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
	t.dropLost(changes.OwnedTargets)
	for _, record := range changes.Targets {
		t.update(record)
	}
	t.index()
	// Orders are stored before t.mu is released: an announcement that found the target
	// without its orders would have its attempts stopped and their ends acknowledged.
	t.applyOrders(changes)
	t.wake()
}

func (t *Table) dropLost(ids []model.TargetID) {
	keep := make(map[model.TargetID]bool, len(ids))
	for _, id := range ids {
		keep[id] = true
	}
	for id, o := range t.owned {
		if !keep[id] {
			o.leave()
			delete(t.owned, id)
		}
	}
}

// update stores a target's record. A new epoch starts a new table: the target counts as
// full until it reports under that epoch.
func (t *Table) update(record state.Target) {
	o, ok := t.owned[record.ID]
	if ok && o.record.Epoch == record.Epoch {
		o.setRecord(record)
		return
	}
	if ok {
		o.leave()
	}
	now := time.Now()
	t.owned[record.ID] = &owned{
		onRoom:   t.onRoom,
		record:   record,
		answered: now,
		start:    record.StartID,
		// An earlier owner may have renewed the lease of an earlier process until just now.
		oldOver:   lease.GranterExpiry(now, t.options.TargetTTL, targetMargin),
		table:     reserve.NewTable(record.Capacity),
		attempts:  map[model.AttemptID]*attempt{},
		lingering: map[model.AttemptID]uint64{},
		doubtful:  map[model.RequestID]doubt{},
		retired:   map[string]time.Time{},
	}
}

func (o *owned) setRecord(record state.Target) {
	o.mu.Lock()
	defer o.mu.Unlock()
	// A view from before a change that this gateway committed itself is older than o.record.
	if record.ChangedRevision < o.record.ChangedRevision {
		return
	}
	o.record = record
	o.table.SetCapacity(record.Capacity)
	if record.Moving {
		o.beginHandover()
	}
}

// index rebuilds the lists per pool. The caller holds t.mu.
func (t *Table) index() {
	t.pools = map[model.PoolID][]*owned{}
	for _, o := range t.owned {
		o.mu.Lock()
		pool := o.record.Pool
		o.mu.Unlock()
		t.pools[pool] = append(t.pools[pool], o)
	}
}

// applyOrders is called with t.mu held.
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

// closeAttempts forgets attempts whose end is committed. Their room is freed at once if the
// target or this gateway confirmed that they do not run, else when reports leave them out.
func (o *owned) closeAttempts(open map[model.AttemptID]bool) {
	if o.releaseClosed(open) {
		o.onRoom(o.record.Pool)
	}
}

func (o *owned) releaseClosed(open map[model.AttemptID]bool) (freed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, a := range o.attempts {
		if open[id] {
			continue
		}
		delete(o.attempts, id)
		if a.sent && !a.ended {
			o.lingering[id] = o.sequence + reportsUntilGone
			continue
		}
		freed = o.table.Release(id.String()) || freed
	}
	return freed
}

func (o *owned) takeOrder(order syncmsg.Order, level float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if known, ok := o.attempts[order.Attempt.ID]; ok {
		known.order = order
		return
	}
	o.attempts[order.Attempt.ID] = o.newAttempt(order, level)
}

func (t *Table) get(id model.TargetID) *owned {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.owned[id]
}

func (t *Table) list() []*owned {
	t.mu.RLock()
	defer t.mu.RUnlock()
	all := make([]*owned, 0, len(t.owned))
	for _, o := range t.owned {
		all = append(all, o)
	}
	return all
}

// Drain stops every new dispatch, start and lease renewal. It returns when the calls about
// attempts that had begun are over or ctx is done. DrainGateway may be proposed after it:
// a renewal or start after the command would overlap with the next owner.
func (t *Table) Drain(ctx context.Context) {
	t.draining.Store(true)
	for _, o := range t.list() {
		o.leave()
	}
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for t.working.Load() > 0 {
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
