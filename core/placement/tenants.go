package placement

import (
	"fmt"
	"slices"
	"strings"

	"samphirepaddle.example/core/model"
)

// Tenants counts what each tenant's batch tasks hold, for quotas and fair sharing. It is
// not safe for concurrent use.
type Tenants struct {
	limits map[model.TenantID]model.Tenant
	held   map[model.TenantID]model.Resources
	total  model.Resources
}

// NewTenants returns an empty count. Total is the capacity that the tenants share.
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

// Charge counts what a placed task holds.
func (t *Tenants) Charge(id model.TenantID, size model.Resources) {
	t.held[id] = t.held[id].Add(size)
}

// Refund gives back what a task held.
func (t *Tenants) Refund(id model.TenantID, size model.Resources) {
	t.held[id] = t.held[id].Sub(size)
}

// CheckQuota returns a *QuotaError if the tenant's quota does not allow one more task.
func (t *Tenants) CheckQuota(id model.TenantID, size model.Resources) error {
	quota := t.limits[id].BatchQuota
	sum := t.held[id].Add(size)
	if short := sum.Shortfall(unlimitedZeros(quota, sum)); short != "" {
		return &QuotaError{Tenant: id, Shortfall: short, Infeasible: !size.Fits(unlimitedZeros(quota, size))}
	}
	return nil
}

// QuotaError says which limit of a tenant a task exceeds.
type QuotaError struct {
	Tenant     model.TenantID
	Shortfall  string
	Infeasible bool // the task alone exceeds the quota
}

// Error names the tenant and the amounts.
func (e *QuotaError) Error() string {
	text := fmt.Sprintf("tenant %q would exceed its batch quota: %s", e.Tenant, e.Shortfall)
	if e.Infeasible {
		text += "; the job alone exceeds it"
	}
	return text
}

// unlimitedZeros replaces the zero amounts of a quota, which mean no limit.
func unlimitedZeros(quota, sum model.Resources) model.Resources {
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

// DominantShare returns the tenant's dominant share: the greatest part of any shared resource that
// it holds, divided by its weight.
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

// OrderByShare sorts the waiting jobs for one round, which the caller gives in order of waiting
// time. Urgent jobs come first. Then each next job is the oldest of the tenant that has the
// smallest dominant share, counting the jobs already ordered.
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
	return t.interleave(out, tenants, queues)
}

func (t *Tenants) interleave(out []Job, tenants []model.TenantID, queues map[model.TenantID][]Job) []Job {
	round := &Tenants{limits: t.limits, total: t.total, held: map[model.TenantID]model.Resources{}}
	shares := make([]float64, len(tenants))
	for i, id := range tenants {
		round.held[id] = t.held[id]
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
		round.Charge(id, job.Size)
		shares[next] = round.DominantShare(id)
	}
}
