// Package reserve keeps the reservations on one target. Only the gateway that owns the
// target has its table, so the accounting is exact.
package reserve

import (
	"fmt"

	"samphirepaddle.example/core/model"
)

// Use is what a reservation is for.
type Use uint8

// The uses.
const (
	Quick Use = iota // a quick request
	Batch            // a batch task or stream run
)

// Table is the reservation table of one target. It is not safe for concurrent use.
type Table struct {
	capacity model.Resources
	used     model.Resources
	batch    model.Resources // the part of used that batch work holds
	held     map[string]entry
}

type entry struct {
	use    Use
	amount model.Resources
}

// NewTable returns an empty table of a target with the given capacity.
func NewTable(capacity model.Resources) *Table {
	return &Table{capacity: capacity, held: map[string]entry{}}
}

// SetCapacity replaces the capacity, which a new process of the target may change.
func (t *Table) SetCapacity(capacity model.Resources) { t.capacity = capacity }

// ReserveQuick holds amount for a quick request. Reserving an id again is an error.
func (t *Table) ReserveQuick(id string, amount model.Resources) error {
	return t.reserve(id, Quick, amount, t.Free())
}

// ReserveBatch holds amount for a batch task. Batch work never takes what is kept for
// quick requests. Reserving an id again is an error.
func (t *Table) ReserveBatch(id string, amount, kept model.Resources) error {
	return t.reserve(id, Batch, amount, t.FreeBatch(kept))
}

func (t *Table) reserve(id string, use Use, amount, free model.Resources) error {
	if _, ok := t.held[id]; ok {
		return fmt.Errorf("%q holds a reservation already", id)
	}
	if short := amount.Shortfall(free); short != "" {
		return fmt.Errorf("target is full: %s", short)
	}
	t.hold(id, use, amount)
	return nil
}

// Adopt holds amount under id without a check of the free capacity. It records work that
// already runs, which a new owner learns from the target.
func (t *Table) Adopt(id string, use Use, amount model.Resources) {
	if _, ok := t.held[id]; !ok {
		t.hold(id, use, amount)
	}
}

func (t *Table) hold(id string, use Use, amount model.Resources) {
	t.held[id] = entry{use, amount}
	t.used = t.used.Add(amount)
	if use == Batch {
		t.batch = t.batch.Add(amount)
	}
}

// Release gives back what id holds and reports whether it held anything.
func (t *Table) Release(id string) bool {
	e, ok := t.held[id]
	if !ok {
		return false
	}
	delete(t.held, id)
	t.used = t.used.Sub(e.amount)
	if e.use == Batch {
		t.batch = t.batch.Sub(e.amount)
	}
	return true
}

// Holds reports whether id has a reservation.
func (t *Table) Holds(id string) bool {
	_, ok := t.held[id]
	return ok
}

// Free returns the capacity that is not reserved; it may be negative after Adopt.
func (t *Table) Free() model.Resources {
	return t.capacity.Sub(t.used)
}

// FreeBatch returns what batch work may take: the capacity less what is kept for quick
// requests or used by them, whichever is greater, less what batch work holds.
func (t *Table) FreeBatch(kept model.Resources) model.Resources {
	quick := t.used.Sub(t.batch)
	return t.capacity.Sub(t.batch).Sub(kept.Max(quick))
}

// CapacityForQuick returns what batch work leaves to quick requests, busy or free.
func (t *Table) CapacityForQuick() model.Resources { return t.capacity.Sub(t.batch) }

// Used returns the sum of all reservations.
func (t *Table) Used() model.Resources {
	return t.used
}

// Len returns the number of reservations.
func (t *Table) Len() int {
	return len(t.held)
}
