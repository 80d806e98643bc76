package owner

import (
	"errors"
	"sync"

	"samphirepaddle.example/core/model"
)

// ErrNoCapacity is returned if no owned target of the pool has room.
var ErrNoCapacity = errors.New("no target of this gateway has room")

// QuickReservation is the right to dispatch one quick request to one target.
type QuickReservation struct {
	Target  model.TargetID
	Address string
	Epoch   model.Epoch

	table   *Table
	owned   *owned
	request model.RequestID
}

// choice is the scratch memory of one Reserve.
type choice struct {
	candidates []Candidate
	owned      []*owned
}

var choices = sync.Pool{New: func() any { return &choice{} }}

// reserveTries bounds how often a target is picked anew because another request took the
// room between the choice and the reservation.
const reserveTries = 3

// ReserveQuick holds room for one quick request on an owned target other than avoid.
func (t *Table) ReserveQuick(service model.Service, request model.RequestID, avoid model.TargetID) (*QuickReservation, error) {
	if t.draining.Load() || !t.lease.Valid() {
		return nil, ErrNoCapacity
	}
	c := choices.Get().(*choice)
	defer choices.Put(c)
	for range reserveTries {
		c.collect(t.pool(service.Pool), service, avoid)
		if len(c.candidates) == 0 {
			return nil, ErrNoCapacity
		}
		picked := c.owned[t.options.Picker.Pick(service, c.candidates)]
		if grant := picked.reserveQuick(t, service, request); grant != nil {
			return grant, nil
		}
	}
	return nil, ErrNoCapacity
}

func (c *choice) collect(pool []*owned, service model.Service, avoid model.TargetID) {
	c.candidates = c.candidates[:0]
	c.owned = c.owned[:0]
	for _, o := range pool {
		if candidate, ok := o.candidate(service); ok && candidate.Target != avoid {
			c.candidates = append(c.candidates, candidate)
			c.owned = append(c.owned, o)
		}
	}
}

func (o *owned) candidate(service model.Service) (Candidate, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.takesWork() {
		return Candidate{}, false
	}
	free := o.table.Free()
	if !service.QuickDemand.Fits(free) {
		return Candidate{}, false
	}
	return Candidate{
		Target: o.record.ID,
		Zone:   o.record.Zone,
		Rack:   o.record.Rack,
		Free:   free,
		Slots:  o.table.CapacityForQuick().Slots,
	}, true
}

func (o *owned) reserveQuick(t *Table, service model.Service, request model.RequestID) *QuickReservation {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.takesWork() {
		return nil
	}
	if err := o.table.ReserveQuick(quickID(request), service.QuickDemand); err != nil {
		return nil
	}
	return &QuickReservation{
		Target:  o.record.ID,
		Address: o.record.Address,
		Epoch:   o.record.Epoch,
		table:   t,
		owned:   o,
		request: request,
	}
}

func quickID(request model.RequestID) string { return "quick/" + string(request) }

// Valid reports whether the request may be dispatched now: the session lease holds and the
// target is still owned under the epoch of the grant. A session that was lost and opened
// again does not make the grants of the earlier one valid.
func (g *QuickReservation) Valid() bool {
	g.owned.mu.Lock()
	gone := g.owned.gone || g.owned.losing
	g.owned.mu.Unlock()
	return !gone && g.table.lease.Valid()
}

// Release gives the room back. It must be called only if the request does not occupy the
// target any more.
func (g *QuickReservation) Release() {
	g.owned.mu.Lock()
	g.owned.table.Release(quickID(g.request))
	pool := g.owned.record.Pool
	g.owned.mu.Unlock()
	g.owned.onRoom(pool)
}

// reportsUntilGone is the number of announcements after the loss of a connection that must
// leave a request out before it counts as gone: the first may have been composed before
// the request reached the target.
const reportsUntilGone = 2

// doubt is a request that may still run although its connection is lost.
type doubt struct {
	start string // process of the target
	after uint64 // sequence of the first report that may release it
}

// MarkUncertain keeps the room until reports of the target show that the request is gone. It is
// called if the connection failed after the request may have been sent.
func (g *QuickReservation) MarkUncertain() {
	g.owned.mu.Lock()
	defer g.owned.mu.Unlock()
	g.owned.doubtful[g.request] = doubt{g.owned.start, g.owned.sequence + reportsUntilGone}
}

// releaseGone frees doubtful requests that the announcement does not list. The caller holds o.mu.
func (o *owned) releaseGone(a model.Announcement) (freed bool) {
	listed := make(map[model.RequestID]bool, len(a.Requests))
	for _, id := range a.Requests {
		listed[id] = true
	}
	for id, d := range o.doubtful {
		if listed[id] || !o.mayRelease(d) {
			continue
		}
		delete(o.doubtful, id)
		o.table.Release(quickID(id))
		freed = true
	}
	return freed
}
