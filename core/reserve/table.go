// Package reserve accounts for the reservations of resources on one target. Only the gateway
// that owns the target has its table, so the accounting is exact.
package reserve

import (
	"fmt"

	"samphirepaddle.example/core/model"
)

// Purpose is the class of work for which resources are reserved.
type Purpose uint8

// The purposes.
const (
	Quick Purpose = iota // a quick request
	Batch                // a batch task or stream run
)

// Table is the reservation table of one target. It is not safe for concurrent use.
type Table struct {
	capacity     model.Resources
	used         model.Resources
	batch        model.Resources // part of used that is reserved for batch work
	reservations map[string]reservation
}

type reservation struct {
	purpose Purpose
	amount  model.Resources
}

// NewTable returns an empty table of a target with the given capacity.
func NewTable(capacity model.Resources) *Table {
	return &Table{capacity: capacity, reservations: map[string]reservation{}}
}

// SetCapacity replaces the capacity, which may change when the target's process restarts.
func (t *Table) SetCapacity(capacity model.Resources) { t.capacity = capacity }

// ReserveQuick reserves amount for a quick request. It is an error if id already has a
// reservation or the free capacity is insufficient.
func (t *Table) ReserveQuick(id string, amount model.Resources) error {
	return t.reserve(id, Quick, amount, t.Free())
}

// ReserveBatch reserves amount for batch work from the capacity that is not kept for quick
// requests. It is an error if id already has a reservation or the capacity that is free for
// batch work is insufficient.
func (t *Table) ReserveBatch(id string, amount, kept model.Resources) error {
	return t.reserve(id, Batch, amount, t.FreeBatch(kept))
}

func (t *Table) reserve(id string, purpose Purpose, amount, free model.Resources) error {
	if _, ok := t.reservations[id]; ok {
		return fmt.Errorf("%q holds a reservation already", id)
	}
	if short := amount.Shortfall(free); short != "" {
		return fmt.Errorf("target is full: %s", short)
	}
	t.add(id, purpose, amount)
	return nil
}

// Adopt reserves amount under id without checking the free capacity. A new owner uses it for
// work that the target reports as already running. It does nothing if id has a reservation.
func (t *Table) Adopt(id string, purpose Purpose, amount model.Resources) {
	if _, ok := t.reservations[id]; !ok {
		t.add(id, purpose, amount)
	}
}

func (t *Table) add(id string, purpose Purpose, amount model.Resources) {
	t.reservations[id] = reservation{purpose, amount}
	t.used = t.used.Add(amount)
	if purpose == Batch {
		t.batch = t.batch.Add(amount)
	}
}

// Release removes the reservation of id and reports whether there was one.
func (t *Table) Release(id string) bool {
	r, ok := t.reservations[id]
	if !ok {
		return false
	}
	delete(t.reservations, id)
	t.used = t.used.Sub(r.amount)
	if r.purpose == Batch {
		t.batch = t.batch.Sub(r.amount)
	}
	return true
}

// Holds reports whether id has a reservation.
func (t *Table) Holds(id string) bool {
	_, ok := t.reservations[id]
	return ok
}

// Free returns the capacity that is not reserved; it may be negative after Adopt.
func (t *Table) Free() model.Resources {
	return t.capacity.Sub(t.used)
}

// FreeBatch returns the resources that are free for batch work: the capacity less the
// reservations of batch work, and less the greater of what is kept for quick requests and what
// is reserved for them.
func (t *Table) FreeBatch(kept model.Resources) model.Resources {
	quick := t.used.Sub(t.batch)
	return t.capacity.Sub(t.batch).Sub(kept.Max(quick))
}

// CapacityForQuick returns the capacity that is not reserved for batch work, whether or not quick
// requests use it.
func (t *Table) CapacityForQuick() model.Resources { return t.capacity.Sub(t.batch) }

// Used returns the sum of all reservations.
func (t *Table) Used() model.Resources {
	return t.used
}

// Len returns the number of reservations.
func (t *Table) Len() int {
	return len(t.reservations)
}
