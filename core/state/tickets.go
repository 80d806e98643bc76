package state

import (
	"slices"

	"samphirepaddle.example/core/model"
)

// maxTicketRecords is the number of ticket records that are kept to recognize resubmitted tickets.
const maxTicketRecords = 4096

// submitTicket applies all objects of a ticket, or none of them.
func (s *State) submitTicket(c *SubmitTicket) Result {
	ticket := c.Ticket
	if ticket.Number == 0 {
		return resultf(CodeInvalid, "ticket number must be at least 1")
	}
	hash := hashOf(ticket)
	if record, ok := s.Tickets[ticket.Number]; ok {
		return resubmittedTicketResult(record, hash)
	}
	if ticket.Number < s.TicketFloor {
		return resultf(CodeStale, "ticket %d is older than the kept outcomes, which start at %d", ticket.Number, s.TicketFloor)
	}
	refs, err := s.checkTicket(ticket)
	if err != nil {
		return resultf(CodeInvalid, "ticket %d: %v", ticket.Number, err)
	}
	for _, ref := range refs {
		if last := s.LastTicket[ref]; last >= ticket.Number {
			return s.staleTicketResult(ticket.Number, last, ref)
		}
	}
	if result := s.checkActiveBytes(payloadBytes(ticket.Jobs)); !result.OK() {
		return result
	}
	s.applyTicket(ticket, refs, hash)
	return Result{Code: CodeOK}
}

func (s *State) staleTicketResult(number, last uint64, ref model.ObjectRef) Result {
	result := resultf(CodeStale, "ticket %d is not newer than ticket %d, which was accepted for %s %q",
		number, last, ref.Kind, ref.ID)
	result.AcceptedTicket = s.Tickets[last].copy()
	return result
}

func resubmittedTicketResult(record *TicketRecord, hash [32]byte) Result {
	if record.Hash != hash {
		result := resultf(CodeConflict, "ticket %d was accepted before with other content, by %q",
			record.Number, record.Author)
		result.AcceptedTicket = record.copy()
		result.Revision = record.Revision
		return result
	}
	return Result{Code: CodeRepeated, Revision: record.Revision}
}

// copy returns a copy for a result, which is encoded while the state may change.
func (r *TicketRecord) copy() *TicketRecord {
	if r == nil {
		return nil
	}
	c := *r
	return &c
}

func payloadBytes(jobs []model.JobSpec) int64 {
	sum := int64(0)
	for _, job := range jobs {
		sum += int64(len(job.Payload))
	}
	return sum
}

func (s *State) applyTicket(t model.Ticket, refs []model.ObjectRef, hash [32]byte) {
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
		s.upsertQueuedJob(spec, t.Number)
	}
	if t.Routing != nil {
		s.Config.Routing = t.Routing
		s.Workflows.FollowRoutes(t.Routing)
	}
	for _, ref := range refs {
		s.LastTicket[ref] = t.Number
		if ref.Kind != model.KindJob {
			s.configChanged[ref] = s.Revision
		}
	}
	s.Config.Revision = s.Revision
	s.Tickets[t.Number] = &TicketRecord{
		Number:     t.Number,
		Author:     t.Author,
		Hash:       hash,
		Objects:    refs,
		Revision:   s.Revision,
		AcceptedAt: s.Now,
	}
	s.trimTickets(t.Number)
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
	case model.KindRouting:
		s.Config.Routing = nil
	}
}

// trimTickets adds a ticket number and drops the records of the lowest numbers beyond
// maxTicketRecords. It raises TicketFloor to the lowest number left. Without it, a dropped ticket
// would be applied again when it is resubmitted, and the record of a new ticket with a lower
// number would be dropped immediately.
func (s *State) trimTickets(added uint64) {
	x := &s.index
	i, _ := slices.BinarySearch(x.ticketNumbers, added)
	x.ticketNumbers = slices.Insert(x.ticketNumbers, i, added)
	if len(x.ticketNumbers) < maxTicketRecords {
		return
	}
	excess := len(x.ticketNumbers) - maxTicketRecords
	dropped := slices.Clone(x.ticketNumbers[:excess])
	x.ticketNumbers = slices.Delete(x.ticketNumbers, 0, excess)
	s.TicketFloor = max(s.TicketFloor, x.ticketNumbers[0])
	for _, number := range dropped {
		objects := s.Tickets[number].Objects
		delete(s.Tickets, number)
		for _, ref := range objects {
			s.pruneLastTicket(ref)
		}
	}
}
