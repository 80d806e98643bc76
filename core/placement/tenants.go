package placement

import (
	"fmt"
	"slices"
	"strings"

	"samphirepaddle.example/core/model"
)

// Tenants accounts for the resources that the batch tasks of each tenant hold, to enforce
// quotas and to order waiting jobs by dominant resource fairness. It is not safe for
// concurrent use.
type Tenants struct {
	limits map[model.TenantID]model.Tenant
	held   map[model.TenantID]model.Resources
	total  model.Resources
}

// NewTenants returns a Tenants without tenants or tasks. The tenants share the capacity total.
func NewTenants(total model.Resources) *Tenants {
	return &Tenants{
		limits: map[model.TenantID]model.Tenant{},
		held:   map[model.TenantID]model.Resources{},
		total:  total,
	}
}

// SetTotal replaces the shared capacity.
func (t *Tenants) SetTotal(total model.Resources) { t.total = total }

// SetTenant replaces a tenant's limits.
func (t *Tenants) SetTenant(tenant model.Tenant) { t.limits[tenant.ID] = tenant }

// Charge adds the resources of a placed task to those that the tenant holds.
func (t *Tenants) Charge(id model.TenantID, size model.Resources) {
	t.held[id] = t.held[id].Add(size)
}

// Refund subtracts the resources of an ended task from those that the tenant holds.
func (t *Tenants) Refund(id model.TenantID, size model.Resources) {
	t.held[id] = t.held[id].Sub(size)
}

// CheckQuota returns a *QuotaError if another task of the given size would exceed the tenant's
// quota.
func (t *Tenants) CheckQuota(id model.TenantID, size model.Resources) error {
	quota := t.limits[id].BatchQuota
	sum := t.held[id].Add(size)
	if short := sum.Shortfall(replaceZeroLimits(quota, sum)); short != "" {
		return &QuotaError{Tenant: id, Shortfall: short, Infeasible: !size.Fits(replaceZeroLimits(quota, size))}
	}
	return nil
}

// QuotaError is returned if a task would exceed the quota of its tenant.
type QuotaError struct {
	Tenant     model.TenantID
	Shortfall  string // the exceeded resources, as formatted by model.Resources.Shortfall
	Infeasible bool   // the task alone exceeds the quota
}

// Error names the tenant and the exceeded resources.
func (e *QuotaError) Error() string {
	text := fmt.Sprintf("tenant %q would exceed its batch quota: %s", e.Tenant, e.Shortfall)
	if e.Infeasible {
		text += "; the job alone exceeds it"
	}
	return text
}

// replaceZeroLimits replaces the zero amounts of a quota, which mean no limit, by those of sum.
func replaceZeroLimits(quota, sum model.Resources) model.Resources {
	if quota.Slots == 0 {
		quota.Slots = sum.Slots
	}
	if quota.Connections == 0 {
		quota.Connections = sum.Connections
	}
	if quota.CPUMillis == 0 {
		quota.CPUMillis = sum.CPUMillis
	}
	if quota.MemoryMiB == 0 {
		quota.MemoryMiB = sum.MemoryMiB
	}
	if quota.Accelerators == 0 {
		quota.Accelerators = sum.Accelerators
	}
	return quota
}

// DominantShare returns the tenant's weighted dominant share: the largest fraction of any shared
// resource that it holds, divided by the tenant's weight.
func (t *Tenants) DominantShare(id model.TenantID) float64 {
	weight := t.limits[id].Share
	if weight <= 0 {
		weight = 1
	}
	held := t.held[id]
	share := 0.0
	add := func(held, total int64) {
		if total > 0 {
			share = max(share, float64(held)/float64(total))
		}
	}
	add(int64(held.Slots), int64(t.total.Slots))
	add(held.CPUMillis, t.total.CPUMillis)
	add(held.MemoryMiB, t.total.MemoryMiB)
	add(int64(held.Accelerators), int64(t.total.Accelerators))
	return share / weight
}

// OrderByShare returns the order in which to place the waiting jobs, which the caller passes with
// the longest-waiting first. Urgent jobs come first. Each following job is the oldest of the
// tenant with the smallest dominant share, which includes the jobs that are already in the order.
func (t *Tenants) OrderByShare(jobs []Job) []Job {
	out := make([]Job, 0, len(jobs))
	queues := map[model.TenantID][]Job{}
	var tenants []model.TenantID
	for _, job := range jobs {
		if job.Urgent {
			out = append(out, job)
			continue
		}
		if _, ok := queues[job.Tenant]; !ok {
			tenants = append(tenants, job.Tenant)
		}
		queues[job.Tenant] = append(queues[job.Tenant], job)
	}
	slices.SortFunc(tenants, func(a, b model.TenantID) int { return strings.Compare(string(a), string(b)) })
	return t.mergeByShare(out, tenants, queues)
}

func (t *Tenants) mergeByShare(out []Job, tenants []model.TenantID, queues map[model.TenantID][]Job) []Job {
	hypothetical := &Tenants{limits: t.limits, total: t.total, held: map[model.TenantID]model.Resources{}}
	shares := make([]float64, len(tenants))
	for i, id := range tenants {
		hypothetical.held[id] = t.held[id]
		shares[i] = t.DominantShare(id)
	}
	for {
		next := -1
		for i, id := range tenants {
			if len(queues[id]) > 0 && (next < 0 || shares[i] < shares[next]) {
				next = i
			}
		}
		if next < 0 {
			return out
		}
		id := tenants[next]
		job := queues[id][0]
		queues[id] = queues[id][1:]
		out = append(out, job)
		hypothetical.Charge(id, job.Size)
		shares[next] = hypothetical.DominantShare(id)
	}
}
