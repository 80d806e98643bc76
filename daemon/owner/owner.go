// Package owner keeps the targets that this gateway owns: their reservations, leases and
// attempts.
//
// Lock order: Table.mu before owned.mu. Neither is held during a network call.
package owner

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

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
	Gateway       model.GatewayID
	PublicAddr    string
	TargetTTL     time.Duration
	AnnounceEvery time.Duration
	Targets       *target.Client
	Proposer      Proposer
	Logger        zerolog.Logger
}

// Table holds the owned targets.
type Table struct {
	options Options
	lease   Lease

	mu     sync.RWMutex
	config state.Config
	owned  map[model.TargetID]*owned
}

// owned is one owned target.
type owned struct {
	mu       sync.Mutex
	record   state.Target
	taken    time.Time // when this gateway became the owner
	answered time.Time // last answer to an announcement, or taken
	start    string    // start id of the process that announces itself
	sequence uint64
	open     bool // it reported under the present epoch
	leaving  bool
	table    *reserve.Table
	attempts map[model.AttemptID]*attempt
	doubtful map[model.RequestID]uint64 // sequence after which a report may release the request
	summary  syncmsg.TargetSummary      // last one reported to the leader
}

// attempt is an open attempt on an owned target.
type attempt struct {
	order   syncmsg.Order
	started bool // start was sent or the target lists it
	busy    bool // a call about it is in progress
	ended   bool // its end is proposed or committed
}

// NewTable returns an empty table. SetLease must be called before use.
func NewTable(options Options) *Table {
	return &Table{options: options, owned: map[model.TargetID]*owned{}}
}

// SetLease sets the session whose lease covers every dispatch.
func (t *Table) SetLease(lease Lease) { t.lease = lease }

// Reset drops everything that an earlier session owned.
func (t *Table) Reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.owned = map[model.TargetID]*owned{}
}

// Apply takes the targets and orders of the session.
func (t *Table) Apply(changes *syncmsg.Changes, config state.Config) {
	t.mu.Lock()
	t.config = config
	if changes == nil {
		t.mu.Unlock()
		return
	}
	t.dropLost(changes.Owned)
	for _, record := range changes.Targets {
		t.update(record)
	}
	t.mu.Unlock()
	t.applyOrders(changes)
}

func (t *Table) dropLost(ids []model.TargetID) {
	keep := make(map[model.TargetID]bool, len(ids))
	for _, id := range ids {
		keep[id] = true
	}
	for id := range t.owned {
		if !keep[id] {
			delete(t.owned, id)
		}
	}
}

// update stores a target's record. A new epoch starts a new table: the target counts as
// full until it reports under that epoch.
func (t *Table) update(record state.Target) {
	o, ok := t.owned[record.ID]
	if ok && o.record.Epoch == record.Epoch {
		o.mu.Lock()
		o.record = record
		o.mu.Unlock()
		return
	}
	now := time.Now()
	t.owned[record.ID] = &owned{
		record:   record,
		taken:    now,
		answered: now,
		table:    reserve.NewTable(record.Capacity),
		attempts: map[model.AttemptID]*attempt{},
		doubtful: map[model.RequestID]uint64{},
	}
}

func (t *Table) applyOrders(changes *syncmsg.Changes) {
	open := make(map[model.AttemptID]bool, len(changes.Open))
	for _, id := range changes.Open {
		open[id] = true
	}
	for _, o := range t.list() {
		o.closeAttempts(open)
	}
	for _, order := range changes.Orders {
		if o := t.get(order.Attempt.Target); o != nil {
			o.takeOrder(order)
		}
	}
}

// closeAttempts forgets attempts whose end is committed and frees their reservations.
func (o *owned) closeAttempts(open map[model.AttemptID]bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id := range o.attempts {
		if !open[id] {
			delete(o.attempts, id)
			o.table.Release(id.String())
		}
	}
}

func (o *owned) takeOrder(order syncmsg.Order) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if known, ok := o.attempts[order.Attempt.ID]; ok {
		known.order = order
		return
	}
	o.attempts[order.Attempt.ID] = &attempt{order: order}
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

// Summaries returns the summaries that changed since the last call, or all of them.
func (t *Table) Summaries(all bool) []syncmsg.TargetSummary {
	var list []syncmsg.TargetSummary
	for _, o := range t.list() {
		summary := t.summarize(o)
		o.mu.Lock()
		if all || summary != o.summary {
			o.summary = summary
			list = append(list, summary)
		}
		o.mu.Unlock()
	}
	return list
}

func (t *Table) summarize(o *owned) syncmsg.TargetSummary {
	kept := t.kept(o.record.Pool)
	o.mu.Lock()
	defer o.mu.Unlock()
	free := o.table.Free()
	return syncmsg.TargetSummary{
		Target:    o.record.ID,
		Epoch:     o.record.Epoch,
		Pool:      o.record.Pool,
		Open:      o.takesWork(),
		FreeBatch: free.Sub(kept),
		FreeQuick: free.Slots,
	}
}

func (o *owned) takesWork() bool {
	return o.open && !o.leaving && !o.record.Leaving && !o.record.Lost
}

// kept returns what batch work must leave free on the targets of a pool.
func (t *Table) kept(pool model.PoolID) model.Resources {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var kept model.Resources
	for _, service := range t.config.Services {
		if service.Pool == pool {
			kept = kept.Add(times(service.Quick, service.KeptSlots))
		}
	}
	return kept
}

func times(r model.Resources, n int32) model.Resources {
	return model.Resources{
		Slots:        r.Slots * n,
		Connections:  r.Connections * n,
		CPUMillis:    r.CPUMillis * int64(n),
		MemoryMiB:    r.MemoryMiB * int64(n),
		Accelerators: r.Accelerators * n,
	}
}
