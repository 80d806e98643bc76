package owner

import (
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/syncmsg"
)

// Summaries returns the summaries that changed since the last call, or all of them.
func (t *Table) Summaries(all bool) []syncmsg.TargetSummary {
	var list []syncmsg.TargetSummary
	for _, o := range t.list() {
		o.mu.Lock()
		summary := o.summarize(t.keptOn(o.record.Pool))
		if all || summary != o.summary {
			o.summary = summary
			list = append(list, summary)
		}
		o.mu.Unlock()
	}
	return list
}

// summarize returns the present summary of the target. The caller holds o.mu.
func (o *ownedTarget) summarize(kept model.Resources) syncmsg.TargetSummary {
	return syncmsg.TargetSummary{
		Target:      o.record.ID,
		Epoch:       o.record.Epoch,
		Pool:        o.record.Pool,
		AcceptsWork: o.takesWork(),
		FreeBatch:   o.table.FreeBatch(kept),
		FreeQuick:   o.table.Free().Slots,
	}
}

// takesWork reports whether the target takes new work. While it runs unknown attempts it does
// not, because the resources that they use are not known. The caller holds o.mu.
func (o *ownedTarget) takesWork() bool {
	return o.reported && !o.ownershipEnded && !o.leaving && !o.losing && o.unknownAttempts == 0 &&
		!o.record.Leaving && !o.record.Lost && !o.record.Evacuated
}

// FreeQuickSlots returns the free slots for quick requests on the owned targets of a pool.
func (t *Table) FreeQuickSlots(pool model.PoolID) int32 {
	var free int32
	for _, o := range t.pool(pool) {
		o.mu.Lock()
		if o.takesWork() {
			free += max(0, o.table.Free().Slots)
		}
		o.mu.Unlock()
	}
	return free
}

func (t *Table) pool(id model.PoolID) []*ownedTarget {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.pools[id]
}

// quickNeeds is what the services of a pool need on each target.
type quickNeeds struct {
	kept    model.Resources // what batch work must leave free
	largest model.Resources // the largest demand of a quick request, by resource

	services []model.ServiceID
}

// keptOn returns what batch work must leave free on the targets of a pool. It may be called
// with an ownedTarget.mu held, because it does not take Table.mu.
func (t *Table) keptOn(pool model.PoolID) model.Resources {
	needs := t.needs.Load()
	if needs == nil {
		return model.Resources{}
	}
	return (*needs)[pool].kept
}

// largestQuick returns the largest demand of a quick request in a pool, by resource, at least
// 1 slot and 1 connection.
func (t *Table) largestQuick(pool model.PoolID) model.Resources {
	smallest := model.Resources{Slots: 1, Connections: 1}
	needs := t.needs.Load()
	if needs == nil {
		return smallest
	}
	return (*needs)[pool].largest.Max(smallest)
}

func needsByPool(config state.Config) map[model.PoolID]quickNeeds {
	needs := map[model.PoolID]quickNeeds{}
	for _, service := range config.Services {
		n := needs[service.Pool]
		n.kept = n.kept.Add(multiply(service.QuickDemand, service.KeptSlots))
		n.largest = n.largest.Max(service.QuickDemand)
		n.services = append(n.services, service.ID)
		needs[service.Pool] = n
	}
	return needs
}

func multiply(r model.Resources, n int32) model.Resources {
	return model.Resources{
		Slots:        r.Slots * n,
		Connections:  r.Connections * n,
		CPUMillis:    r.CPUMillis * int64(n),
		MemoryMiB:    r.MemoryMiB * int64(n),
		Accelerators: r.Accelerators * n,
	}
}
