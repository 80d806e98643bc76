// Package reserve keeps the reservations on one target. Only the gateway that owns the
// target has its table, so the accounting is exact.
package reserve

import (
	"fmt"

	"samphirepaddle.example/core/model"
)

// Table is the reservation table of one target. It is not safe for concurrent use.
type Table struct {
	capacity model.Resources
	used     model.Resources
	held     map[string]model.Resources
}

// NewTable returns an empty table of a target with the given capacity.
func NewTable(capacity model.Resources) *Table {
	return &Table{capacity: capacity, held: map[string]model.Resources{}}
}

// Reserve holds amount under id and leaves at least kept free. Reserving an id again is an error.
func (t *Table) Reserve(id string, amount, kept model.Resources) error {
	if _, ok := t.held[id]; ok {
		return fmt.Errorf("%q holds a reservation already", id)
	}
	free := t.Free().Sub(kept)
	if short := amount.Shortfall(free); short != "" {
		return fmt.Errorf("target is full: %s", short)
	}
	t.hold(id, amount)
	return nil
}

// Adopt holds amount under id without a check of the free capacity. It records work that
// already runs, which a new owner learns from the target.
func (t *Table) Adopt(id string, amount model.Resources) {
	if _, ok := t.held[id]; !ok {
		t.hold(id, amount)
	}
}

func (t *Table) hold(id string, amount model.Resources) {
	t.held[id] = amount
	t.used = t.used.Add(amount)
}

// Release gives back what id holds and reports whether it held anything.
func (t *Table) Release(id string) bool {
	amount, ok := t.held[id]
	if !ok {
		return false
	}
	delete(t.held, id)
	t.used = t.used.Sub(amount)
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

// Used returns the sum of all reservations.
func (t *Table) Used() model.Resources {
	return t.used
}

// Len returns the number of reservations.
func (t *Table) Len() int {
	return len(t.held)
}
