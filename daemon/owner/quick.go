package owner

import (
	"errors"

	"samphirepaddle.example/core/model"
)

// ErrNoCapacity is returned if no owned target of the pool has room.
var ErrNoCapacity = errors.New("no target of this gateway has room")

// Grant is the right to dispatch one quick request to one target.
type Grant struct {
	Target  model.TargetID
	Address string
	Epoch   model.Epoch

	owned   *owned
	request model.RequestID
}

// Reserve holds room for one quick request on the owned target with the most free slots.
func (t *Table) Reserve(service model.Service, request model.RequestID) (*Grant, error) {
	if !t.lease.Valid() {
		return nil, ErrNoCapacity
	}
	var best *owned
	var bestFree int32
	for _, o := range t.list() {
		if free, ok := o.freeQuick(service); ok && (best == nil || free > bestFree) {
			best, bestFree = o, free
		}
	}
	if best == nil {
		return nil, ErrNoCapacity
	}
	return best.reserveQuick(service, request)
}

func (o *owned) freeQuick(service model.Service) (int32, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.record.Pool != service.Pool || !o.takesWork() {
		return 0, false
	}
	free := o.table.Free()
	return free.Slots, service.Quick.Fits(free)
}

func (o *owned) reserveQuick(service model.Service, request model.RequestID) (*Grant, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.takesWork() {
		return nil, ErrNoCapacity
	}
	if err := o.table.Reserve(quickID(request), service.Quick, model.Resources{}); err != nil {
		return nil, errors.Join(ErrNoCapacity, err)
	}
	return &Grant{
		Target:  o.record.ID,
		Address: o.record.Address,
		Epoch:   o.record.Epoch,
		owned:   o,
		request: request,
	}, nil
}

func quickID(request model.RequestID) string { return "quick/" + string(request) }

// Release gives the room back. It must be called only if the request does not occupy the
// target any more.
func (g *Grant) Release() {
	g.owned.mu.Lock()
	defer g.owned.mu.Unlock()
	g.owned.table.Release(quickID(g.request))
}

// reportsUntilGone is the number of announcements after the loss of a connection that must
// leave a request out before it counts as gone: the first may have been composed before
// the request reached the target.
const reportsUntilGone = 2

// Doubt keeps the room until reports of the target show that the request is gone. It is
// called if the connection failed after the request may have been sent.
func (g *Grant) Doubt() {
	g.owned.mu.Lock()
	defer g.owned.mu.Unlock()
	g.owned.doubtful[g.request] = g.owned.sequence + reportsUntilGone
}

// releaseGone frees doubtful requests that the announcement does not list. The caller holds o.mu.
func (o *owned) releaseGone(a model.Announcement) {
	listed := make(map[model.RequestID]bool, len(a.Requests))
	for _, id := range a.Requests {
		listed[id] = true
	}
	for id, after := range o.doubtful {
		if !listed[id] && a.Sequence >= after {
			delete(o.doubtful, id)
			o.table.Release(quickID(id))
		}
	}
}
