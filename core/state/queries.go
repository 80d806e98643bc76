package state

import (
	"cmp"
	"iter"
	"maps"
	"slices"

	"samphirepaddle.example/core/model"
)

// OwnedTargets returns the targets of a gateway, ordered by id.
func (s *State) OwnedTargets(gateway model.GatewayID) []*Target {
	owned := s.index.ownedBy[gateway]
	list := make([]*Target, 0, len(owned))
	for _, id := range sortedKeys(owned) {
		list = append(list, owned[id])
	}
	return list
}

// OpenJobsOn returns the jobs that have an open attempt on the target, ordered by id.
func (s *State) OpenJobsOn(target model.TargetID) []*Job {
	open := s.index.openJobs[target]
	if len(open) == 0 {
		return nil
	}
	list := make([]*Job, 0, len(open))
	for _, id := range sortedKeys(open) {
		list = append(list, open[id])
	}
	return list
}

// ReservedBy returns the total reservation of a tenant's open attempts.
func (s *State) ReservedBy(tenant model.TenantID) model.Resources { return s.index.reserved[tenant] }

// QueuedJobCount returns the number of queued jobs of all tenants.
func (s *State) QueuedJobCount() int {
	count := len(s.index.neverRunnable)
	for _, queue := range s.index.ready {
		count += queue.len()
	}
	return count
}

// OpenAttemptCount returns the number of open attempts.
func (s *State) OpenAttemptCount() int {
	count := 0
	for _, open := range s.index.openJobs {
		count += len(open)
	}
	return count
}

// ReadyTenants returns the tenants that have runnable queued jobs, ordered by id.
func (s *State) ReadyTenants() []model.TenantID { return sortedKeys(s.index.ready) }

// ReadyJobs yields the runnable queued jobs of a tenant: the urgent ones, then the others, both
// in queueing order.
func (s *State) ReadyJobs(tenant model.TenantID) iter.Seq[*Job] {
	return func(yield func(*Job) bool) {
		queue := s.index.ready[tenant]
		if queue == nil {
			return
		}
		for job := range queue.urgent.all() {
			if !yield(job) {
				return
			}
		}
		for job := range queue.normal.all() {
			if !yield(job) {
				return
			}
		}
	}
}

// NeverRunnableJobs returns the queued jobs that are marked as never runnable, ordered by id.
func (s *State) NeverRunnableJobs() []*Job {
	var list []*Job
	for _, id := range sortedKeys(s.index.neverRunnable) {
		list = append(list, s.index.neverRunnable[id])
	}
	return list
}

// QueuedJobs returns the runnable queued jobs of all tenants: the urgent ones, then the others,
// both in queueing order.
func (s *State) QueuedJobs() []*Job {
	var queued []*Job
	for _, tenant := range s.ReadyTenants() {
		queued = slices.AppendSeq(queued, s.ReadyJobs(tenant))
	}
	slices.SortFunc(queued, compareQueued)
	return queued
}

func compareQueued(a, b *Job) int {
	if a.Spec.Urgent != b.Spec.Urgent {
		if a.Spec.Urgent {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.Sequence, b.Sequence)
}

// LiveGateways returns the gateways whose session has not expired, draining ones included,
// ordered by id.
func (s *State) LiveGateways() []*Gateway {
	var live []*Gateway
	for _, id := range sortedKeys(s.Gateways) {
		if !s.Gateways[id].Expired {
			live = append(live, s.Gateways[id])
		}
	}
	return live
}

// GatewaysChanged returns the revision of the last change of any gateway session.
func (s *State) GatewaysChanged() model.Revision { return s.gatewaysChanged }

// OwnedTargetsChangedSince reports whether a target of the gateway, or an attempt on one, has
// changed after the revision. It is true for revision 0.
func (s *State) OwnedTargetsChangedSince(gateway model.GatewayID, revision model.Revision) bool {
	return revision == 0 || s.ownedTargetsChanged[gateway] > revision
}

// OwnedSetChangedSince reports whether the gateway has gained or lost a target after the
// revision. It is true for revision 0.
func (s *State) OwnedSetChangedSince(gateway model.GatewayID, revision model.Revision) bool {
	return revision == 0 || s.ownedSetChanged[gateway] > revision
}

// ConfigDelta is the difference between two revisions of the configuration.
type ConfigDelta struct {
	Revision model.Revision    `json:"revision"`
	Services []model.Service   `json:"services,omitempty"`
	Pools    []model.Pool      `json:"pools,omitempty"`
	Tenants  []model.Tenant    `json:"tenants,omitempty"`
	Routing  *model.Routing    `json:"routing,omitempty"`
	Deleted  []model.ObjectRef `json:"deleted,omitempty"`
}

// ConfigSince returns the configuration objects that changed after the revision. It reports
// false if not all changes since then are known, and always for revision 0.
func (s *State) ConfigSince(revision model.Revision) (ConfigDelta, bool) {
	if revision == 0 || revision < s.configSince {
		return ConfigDelta{}, false
	}
	delta := ConfigDelta{Revision: s.Config.Revision}
	for ref, changed := range s.configChanged {
		if changed > revision {
			s.addObject(&delta, ref)
		}
	}
	return delta, true
}

func (s *State) addObject(delta *ConfigDelta, ref model.ObjectRef) {
	if !s.objectExists(ref) {
		delta.Deleted = append(delta.Deleted, ref)
		return
	}
	switch ref.Kind {
	case model.KindService:
		delta.Services = append(delta.Services, s.Config.Services[model.ServiceID(ref.ID)])
	case model.KindPool:
		delta.Pools = append(delta.Pools, s.Config.Pools[model.PoolID(ref.ID)])
	case model.KindTenant:
		delta.Tenants = append(delta.Tenants, s.Config.Tenants[model.TenantID(ref.ID)])
	case model.KindRouting:
		delta.Routing = s.Config.Routing
	}
}

// WithDelta returns a copy of the configuration with the difference applied.
func (c Config) WithDelta(delta ConfigDelta) Config {
	next := c.Clone()
	next.Revision = delta.Revision
	for _, service := range delta.Services {
		next.Services[service.ID] = service
	}
	for _, pool := range delta.Pools {
		next.Pools[pool.ID] = pool
	}
	for _, tenant := range delta.Tenants {
		next.Tenants[tenant.ID] = tenant
	}
	if delta.Routing != nil {
		next.Routing = delta.Routing
	}
	for _, ref := range delta.Deleted {
		switch ref.Kind {
		case model.KindService:
			delete(next.Services, model.ServiceID(ref.ID))
		case model.KindPool:
			delete(next.Pools, model.PoolID(ref.ID))
		case model.KindTenant:
			delete(next.Tenants, model.TenantID(ref.ID))
		case model.KindRouting:
			next.Routing = nil
		}
	}
	return next
}

// ViewChangedSince reports whether the configuration, the gateway's targets or their attempts
// have changed after the revision of the gateway's view.
func (s *State) ViewChangedSince(gateway model.GatewayID, revision model.Revision) bool {
	return s.Config.Revision > revision || s.OwnedTargetsChangedSince(gateway, revision)
}

// Clone returns a copy with maps of its own. The routing table is shared; it is never changed
// in place.
func (c Config) Clone() Config {
	return Config{
		Revision: c.Revision,
		Services: maps.Clone(c.Services),
		Pools:    maps.Clone(c.Pools),
		Tenants:  maps.Clone(c.Tenants),
		Routing:  c.Routing,
	}
}

// AllTargets returns all known targets, ordered by id.
func (s *State) AllTargets() []*Target {
	all := make([]*Target, 0, len(s.Targets))
	for _, id := range sortedKeys(s.Targets) {
		all = append(all, s.Targets[id])
	}
	return all
}

// AllServices returns all services, ordered by id.
func (s *State) AllServices() []model.Service {
	var all []model.Service
	for _, id := range sortedKeys(s.Config.Services) {
		all = append(all, s.Config.Services[id])
	}
	return all
}
