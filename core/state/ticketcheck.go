package state

import (
	"fmt"

	"samphirepaddle.example/core/model"
)

// checkTicket checks whether the state would be valid once the ticket is applied, and returns the
// objects that the ticket declares or deletes.
func (s *State) checkTicket(t model.Ticket) ([]model.ObjectRef, error) {
	refs, err := t.Refs()
	if err != nil {
		return nil, err
	}
	if err := t.Validate(); err != nil {
		return nil, err
	}
	for _, service := range t.Services {
		if !s.poolExistsAfter(t, service.Pool) {
			return nil, fmt.Errorf("service %q names pool %q, which does not exist", service.ID, service.Pool)
		}
	}
	for _, job := range t.Jobs {
		if err := s.checkTicketJob(t, job); err != nil {
			return nil, err
		}
	}
	return refs, s.checkDeletes(t)
}

// poolExistsAfter and tenantExistsAfter report whether the pool or tenant exists once the ticket
// is applied.
func (s *State) poolExistsAfter(t model.Ticket, id model.PoolID) bool {
	for _, pool := range t.Pools {
		if pool.ID == id {
			return true
		}
	}
	_, ok := s.Config.Pools[id]
	return ok && !deletesObject(t, model.ObjectRef{Kind: model.KindPool, ID: string(id)})
}

func (s *State) tenantExistsAfter(t model.Ticket, id model.TenantID) bool {
	for _, tenant := range t.Tenants {
		if tenant.ID == id {
			return true
		}
	}
	_, ok := s.Config.Tenants[id]
	return ok && !deletesObject(t, model.ObjectRef{Kind: model.KindTenant, ID: string(id)})
}

func deletesObject(t model.Ticket, ref model.ObjectRef) bool {
	for _, other := range t.Delete {
		if other == ref {
			return true
		}
	}
	return false
}

func (s *State) checkTicketJob(t model.Ticket, spec model.JobSpec) error {
	if !s.poolExistsAfter(t, spec.Pool) {
		return fmt.Errorf("job %q names pool %q, which does not exist", spec.ID, spec.Pool)
	}
	if !s.tenantExistsAfter(t, spec.Tenant) {
		return fmt.Errorf("job %q names tenant %q, which does not exist", spec.ID, spec.Tenant)
	}
	return s.checkJobUnchanged(spec)
}

// checkJobUnchanged rejects a ticket that changes a job which was assigned or has ended, because
// it may already have run with the earlier content. A declared job that is no longer stored has
// ended.
func (s *State) checkJobUnchanged(spec model.JobSpec) error {
	job, ok := s.Jobs[spec.ID]
	if !ok {
		if last, declared := s.LastTicket[model.ObjectRef{Kind: model.KindJob, ID: string(spec.ID)}]; declared {
			return fmt.Errorf("job %q was declared by ticket %d and has ended; a new run needs a new id", spec.ID, last)
		}
		return nil
	}
	if job.Phase == JobCancelled {
		return fmt.Errorf("job %q was cancelled; a new run needs a new id", spec.ID)
	}
	if job.SpecHash == hashOf(spec) {
		return nil
	}
	if job.Key != "" {
		return fmt.Errorf("job %q was submitted by a caller and cannot be changed by a ticket", spec.ID)
	}
	if job.Phase != JobQueued || job.Attempts > 0 {
		return fmt.Errorf("job %q has started (phase %s) and cannot be changed", spec.ID, job.Phase)
	}
	return nil
}

func (s *State) checkDeletes(t model.Ticket) error {
	for _, ref := range t.Delete {
		if !s.objectExists(ref) {
			return fmt.Errorf("%s %q to delete does not exist", ref.Kind, ref.ID)
		}
	}
	for _, ref := range t.Delete {
		var err error
		switch ref.Kind {
		case model.KindPool:
			err = s.checkPoolUnused(model.PoolID(ref.ID), t)
		case model.KindTenant:
			err = s.checkTenantUnused(model.TenantID(ref.ID), t)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *State) checkPoolUnused(pool model.PoolID, t model.Ticket) error {
	redeclared := map[model.ServiceID]bool{}
	for _, service := range t.Services {
		redeclared[service.ID] = true
	}
	for _, id := range sortedKeys(s.Config.Services) {
		if s.Config.Services[id].Pool != pool || redeclared[id] {
			continue
		}
		if !deletesObject(t, model.ObjectRef{Kind: model.KindService, ID: string(id)}) {
			return fmt.Errorf("pool %q is used by service %q", pool, id)
		}
	}
	remaining := s.index.activeByPool[pool] - s.countReleasedJobs(t, func(spec model.JobSpec) bool { return spec.Pool == pool })
	if remaining > 0 {
		return fmt.Errorf("pool %q is used by %d jobs that have not ended", pool, remaining)
	}
	return nil
}

func (s *State) checkTenantUnused(tenant model.TenantID, t model.Ticket) error {
	remaining := s.index.activeByTenant[tenant] - s.countReleasedJobs(t, func(spec model.JobSpec) bool { return spec.Tenant == tenant })
	if remaining > 0 {
		return fmt.Errorf("tenant %q has %d jobs that have not ended", tenant, remaining)
	}
	return nil
}

// countReleasedJobs counts the jobs that match now and no longer match once the ticket is applied.
// It excludes deleted jobs with an open attempt, because they end only when their target has
// stopped them.
func (s *State) countReleasedJobs(t model.Ticket, match func(model.JobSpec) bool) int {
	count := 0
	for _, ref := range t.Delete {
		if ref.Kind != model.KindJob {
			continue
		}
		if job, ok := s.Jobs[model.JobID(ref.ID)]; ok && job.Phase == JobQueued && match(job.Spec) {
			count++
		}
	}
	for _, spec := range t.Jobs {
		if job, ok := s.Jobs[spec.ID]; ok && !job.Ended() && match(job.Spec) && !match(spec) {
			count++
		}
	}
	return count
}

func (s *State) objectExists(ref model.ObjectRef) bool {
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
	case model.KindRouting:
		ok = s.Config.Routing != nil && ref.ID == model.RoutingID
	}
	return ok
}
