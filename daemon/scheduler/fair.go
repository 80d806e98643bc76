package scheduler

import (
	"container/heap"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/placement"
	"samphirepaddle.example/core/state"
)

// placeInTurn places the jobs of one plan. Urgent jobs come first. Then the next job is
// always that of the tenant with the smallest share of what is held now. A job that finds no
// room does not count against its tenant: its next job is looked at in the same turn.
func (p *picture) placeInTurn(st *state.State, jobs []placement.Job, now model.Millis) []state.Command {
	var commands []state.Command
	waiting := map[model.TenantID]*turn{}
	var order turns
	for _, job := range jobs {
		if p.pending[job.Attempt] || p.proposed[job.ID] {
			continue
		}
		if job.Urgent {
			commands = append(commands, p.place(st, job, now)...)
			continue
		}
		if waiting[job.Tenant] == nil {
			waiting[job.Tenant] = &turn{tenant: job.Tenant}
			order = append(order, waiting[job.Tenant])
		}
		waiting[job.Tenant].jobs = append(waiting[job.Tenant].jobs, job)
	}
	for _, next := range order {
		next.share = p.tenants.DominantShare(next.tenant)
	}
	heap.Init(&order)
	for len(order) > 0 {
		next := order[0]
		commands = append(commands, p.place(st, next.jobs[0], now)...)
		next.jobs = next.jobs[1:]
		next.share = p.tenants.DominantShare(next.tenant)
		if len(next.jobs) == 0 {
			heap.Pop(&order)
		} else {
			heap.Fix(&order, 0)
		}
	}
	return commands
}

// turn is a tenant with waiting jobs.
type turn struct {
	tenant model.TenantID
	share  float64
	jobs   []placement.Job
}

// turns is a heap with the smallest share first.
type turns []*turn

func (t turns) Len() int { return len(t) }

func (t turns) Less(i, j int) bool {
	if t[i].share != t[j].share {
		return t[i].share < t[j].share
	}
	return t[i].tenant < t[j].tenant
}

func (t turns) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *turns) Push(x any) { *t = append(*t, x.(*turn)) }

// Pop implements heap.Interface.
func (t *turns) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}
