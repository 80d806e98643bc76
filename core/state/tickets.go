package state

import (
	"bytes"
	"fmt"

	"samphirepaddle.example/core/model"
)

// keptTickets is the number of ticket outcomes that are kept for resends.
const keptTickets = 4096

// submitTicket accepts all objects of a ticket or none.
func (s *State) submitTicket(c *SubmitTicket) Result {
	ticket := c.Ticket
	if ticket.Number == 0 {
		return resultf(CodeInvalid, "ticket number must be at least 1")
	}
	if record, ok := s.Tickets[ticket.Number]; ok {
		return repeatedTicket(record, ticket)
	}
	if ticket.Number < s.TicketFloor {
		return resultf(CodeStale, "ticket %d is older than the kept outcomes, which start at %d", ticket.Number, s.TicketFloor)
	}
	refs, err := s.checkTicket(ticket)
	if err != nil {
		return resultf(CodeInvalid, "ticket %d: %v", ticket.Number, err)
	}
	for _, ref := range refs {
		if last := s.LastTicket[ref]; last > ticket.Number {
			return resultf(CodeStale, "ticket %d is older than ticket %d, which was accepted for %s %q",
				ticket.Number, last, ref.Kind, ref.ID)
		}
	}
	s.storeTicket(ticket, refs)
	return Result{Code: CodeOK}
}

func repeatedTicket(record *TicketRecord, ticket model.Ticket) Result {
	if !sameContent(record.Ticket, ticket) {
		accepted := record.Ticket
		result := resultf(CodeConflict, "ticket %d was accepted before with other content, by %q",
			ticket.Number, accepted.Author)
		result.Accepted = &accepted
		result.Revision = record.Revision
		return result
	}
	return Result{Code: CodeRepeated, Revision: record.Revision}
}

func sameContent(a, b any) bool {
	left, errLeft := model.Encode(a)
	right, errRight := model.Encode(b)
	return errLeft == nil && errRight == nil && bytes.Equal(left, right)
}

// checkTicket validates the ticket against the state that it would lead to and returns
// the objects that it touches.
func (s *State) checkTicket(t model.Ticket) ([]model.ObjectRef, error) {
	refs, err := t.Refs()
	if err != nil {
		return nil, err
	}
	if err := t.Validate(); err != nil {
		return nil, err
	}
	pools := s.poolsAfter(t)
	for _, service := range t.Services {
		if !pools[service.Pool] {
			return nil, fmt.Errorf("service %q names pool %q, which does not exist", service.ID, service.Pool)
		}
	}
	for _, job := range t.Jobs {
		if !pools[job.Pool] {
			return nil, fmt.Errorf("job %q names pool %q, which does not exist", job.ID, job.Pool)
		}
		if err := s.checkJobUnchanged(job); err != nil {
			return nil, err
		}
	}
	return refs, s.checkDeletes(t)
}

func (s *State) poolsAfter(t model.Ticket) map[model.PoolID]bool {
	pools := make(map[model.PoolID]bool, len(s.Config.Pools)+len(t.Pools))
	for id := range s.Config.Pools {
		pools[id] = true
	}
	for _, ref := range t.Delete {
		if ref.Kind == model.KindPool {
			delete(pools, model.PoolID(ref.ID))
		}
	}
	for _, pool := range t.Pools {
		pools[pool.ID] = true
	}
	return pools
}

// checkJobUnchanged refuses a ticket that changes a job which has an open attempt or has
// ended: its work may already have run with the earlier content.
func (s *State) checkJobUnchanged(spec model.JobSpec) error {
	job, ok := s.Jobs[spec.ID]
	if !ok || sameContent(job.Spec, spec) {
		return nil
	}
	if job.Phase != JobQueued || job.Attempts > 0 {
		return fmt.Errorf("job %q has started (phase %s) and cannot be changed", spec.ID, job.Phase)
	}
	return nil
}

func (s *State) checkDeletes(t model.Ticket) error {
	deletes := map[model.ObjectRef]bool{}
	for _, ref := range t.Delete {
		deletes[ref] = true
		if !s.exists(ref) {
			return fmt.Errorf("%s %q to delete does not exist", ref.Kind, ref.ID)
		}
	}
	for _, ref := range t.Delete {
		if ref.Kind == model.KindPool {
			if err := s.checkPoolUnused(model.PoolID(ref.ID), t, deletes); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *State) checkPoolUnused(pool model.PoolID, t model.Ticket, deletes map[model.ObjectRef]bool) error {
	moved := map[model.ServiceID]bool{}
	for _, service := range t.Services {
		moved[service.ID] = true
	}
	for _, id := range sortedKeys(s.Config.Services) {
		if s.Config.Services[id].Pool != pool || moved[id] {
			continue
		}
		if !deletes[model.ObjectRef{Kind: model.KindService, ID: string(id)}] {
			return fmt.Errorf("pool %q is used by service %q", pool, id)
		}
	}
	for _, id := range sortedKeys(s.Jobs) {
		job := s.Jobs[id]
		open := job.Phase == JobQueued || job.Phase == JobAssigned
		if open && job.Spec.Pool == pool && !deletes[model.ObjectRef{Kind: model.KindJob, ID: string(id)}] {
			return fmt.Errorf("pool %q is used by job %q", pool, id)
		}
	}
	return nil
}

func (s *State) exists(ref model.ObjectRef) bool {
	var ok bool
	switch ref.Kind {
	case model.KindService:
		_, ok = s.Config.Services[model.ServiceID(ref.ID)]
	case model.KindPool:
		_, ok = s.Config.Pools[model.PoolID(ref.ID)]
	case model.KindTenant:
		_, ok = s.Config.Tenants[model.TenantID(ref.ID)]
	case model.KindJob:
		_, ok = s.Jobs[model.JobID(ref.ID)]
	}
	return ok
}

func (s *State) storeTicket(t model.Ticket, refs []model.ObjectRef) {
	for _, ref := range t.Delete {
		s.deleteObject(ref)
	}
	for _, pool := range t.Pools {
		s.Config.Pools[pool.ID] = pool
	}
	for _, tenant := range t.Tenants {
		s.Config.Tenants[tenant.ID] = tenant
	}
	for _, service := range t.Services {
		s.Config.Services[service.ID] = service
	}
	for _, spec := range t.Jobs {
		s.declareJob(spec, t.Number)
	}
	for _, ref := range refs {
		s.LastTicket[ref] = t.Number
	}
	s.Config.Revision = s.Revision
	s.Tickets[t.Number] = &TicketRecord{Ticket: t, Revision: s.Revision, At: s.Now}
	s.trimTickets()
}

func (s *State) deleteObject(ref model.ObjectRef) {
	switch ref.Kind {
	case model.KindService:
		delete(s.Config.Services, model.ServiceID(ref.ID))
	case model.KindPool:
		delete(s.Config.Pools, model.PoolID(ref.ID))
	case model.KindTenant:
		delete(s.Config.Tenants, model.TenantID(ref.ID))
	case model.KindJob:
		s.cancelJob(model.JobID(ref.ID))
	}
}

func (s *State) declareJob(spec model.JobSpec, ticket uint64) {
	if job, ok := s.Jobs[spec.ID]; ok && sameContent(job.Spec, spec) {
		return
	}
	s.Jobs[spec.ID] = &Job{
		Spec:        spec,
		Phase:       JobQueued,
		Ticket:      ticket,
		SubmittedAt: s.Now,
		QueuedAt:    s.Now,
		Changed:     s.Revision,
	}
}

// trimTickets drops the lowest ticket numbers beyond keptTickets and raises the floor, so
// that a resend of a dropped ticket is refused instead of being applied again.
func (s *State) trimTickets() {
	if len(s.Tickets) <= keptTickets {
		return
	}
	numbers := sortedKeys(s.Tickets)
	for _, number := range numbers[:len(numbers)-keptTickets] {
		delete(s.Tickets, number)
		s.TicketFloor = number + 1
	}
}
