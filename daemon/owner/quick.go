package owner

import (
	"errors"
	"sync"

	"samphirepaddle.example/core/model"
)

// ErrNoCapacity is returned if no owned target of the pool has enough free capacity.
var ErrNoCapacity = errors.New("no target of this gateway has enough free capacity")

// QuickReservation is the right to dispatch one quick request to one target.
type QuickReservation struct {
	Target  model.TargetID
	Address string
	Epoch   model.Epoch

	table   *Table
	owned   *ownedTarget
	request model.RequestID
}

// candidateBuffer is the scratch memory of one ReserveQuick.
type candidateBuffer struct {
	candidates []Candidate
	owned      []*ownedTarget
}

var candidateBuffers = sync.Pool{New: func() any { return &candidateBuffer{} }}

// maxReserveTries bounds how often a target is picked: another request may take its capacity
// between the pick and the reservation.
const maxReserveTries = 3

// ReserveQuick reserves capacity for one quick request on an owned target other than avoid.
func (t *Table) ReserveQuick(service model.Service, request model.RequestID, avoid model.TargetID) (*QuickReservation, error) {
	if t.draining.Load() || !t.lease.Valid() {
		return nil, ErrNoCapacity
	}
	c := candidateBuffers.Get().(*candidateBuffer)
	defer candidateBuffers.Put(c)
	for range maxReserveTries {
		c.collect(t.pool(service.Pool), service, avoid)
		if len(c.candidates) == 0 {
			return nil, ErrNoCapacity
		}
		picked := c.owned[t.options.Picker.Pick(service, c.candidates)]
		if reservation := picked.reserveQuick(t, service, request); reservation != nil {
			return reservation, nil
		}
	}
	return nil, ErrNoCapacity
}

func (c *candidateBuffer) collect(pool []*ownedTarget, service model.Service, avoid model.TargetID) {
	c.candidates = c.candidates[:0]
	c.owned = c.owned[:0]
	for _, o := range pool {
		if candidate, ok := o.candidate(service); ok && candidate.Target != avoid {
			c.candidates = append(c.candidates, candidate)
			c.owned = append(c.owned, o)
		}
	}
}

func (o *ownedTarget) candidate(service model.Service) (Candidate, bool) {
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

func (o *ownedTarget) reserveQuick(t *Table, service model.Service, request model.RequestID) *QuickReservation {
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

// Valid reports whether the request may be dispatched now: the session lease is valid and the
// target is still owned under the epoch of the reservation. Reservations of a lost session stay
// invalid when a new session is opened.
func (r *QuickReservation) Valid() bool {
	r.owned.mu.Lock()
	ended := r.owned.ownershipEnded || r.owned.losing
	r.owned.mu.Unlock()
	return !ended && r.table.lease.Valid()
}

// Release frees the reserved capacity. It must be called only if the request no longer
// occupies the target.
func (r *QuickReservation) Release() {
	r.owned.mu.Lock()
	r.owned.table.Release(quickID(r.request))
	pool := r.owned.record.Pool
	r.owned.mu.Unlock()
	r.owned.onCapacityFreed(pool)
}

// reportsUntilEnded is the number of the first announcement that shows the end of a request or
// attempt by not listing it. Announcements are counted from the loss of the connection or the
// close of the attempt. The first one may have been composed before the request or the start
// reached the target.
const reportsUntilEnded = 2

// uncertainRequest is a request that may still run although its connection is lost.
type uncertainRequest struct {
	startID string // start ID of the target's process
	after   uint64 // sequence of the first report that may release it
}

// MarkUncertain keeps the reservation until reports of the target show that the request has
// ended. It is called if the connection failed after the request may have been sent.
func (r *QuickReservation) MarkUncertain() {
	r.owned.mu.Lock()
	defer r.owned.mu.Unlock()
	r.owned.uncertainRequests[r.request] = uncertainRequest{r.owned.startID, r.owned.sequence + reportsUntilEnded}
}

// releaseUnlisted frees the capacity of uncertain requests that the announcement no longer
// lists. The caller holds o.mu.
func (o *ownedTarget) releaseUnlisted(a model.Announcement) (freed bool) {
	listed := make(map[model.RequestID]bool, len(a.Requests))
	for _, id := range a.Requests {
		listed[id] = true
	}
	for id, uncertain := range o.uncertainRequests {
		if listed[id] || !o.mayRelease(uncertain) {
			continue
		}
		delete(o.uncertainRequests, id)
		o.table.Release(quickID(id))
		freed = true
	}
	return freed
}
