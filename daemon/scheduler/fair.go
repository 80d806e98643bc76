package scheduler

import (
	"container/heap"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/placement"
	"samphirepaddle.example/core/state"
)

// placeFairly places the jobs of one plan. Urgent jobs come first. Then the next job is always
// that of the tenant with the smallest dominant share now. A job that finds no
// target adds nothing to its tenant's share, so the tenant's next job follows at once.
func (p *planner) placeFairly(st *state.State, jobs []placement.Job, now model.Millis) []state.Command {
	var commands []state.Command
	waiting := map[model.TenantID]*tenantQueue{}
	var order shareHeap
	for _, job := range jobs {
		if p.pendingAssignments[job.Attempt] || p.pendingMarks[job.ID] {
			continue
		}
		if job.Urgent {
			commands = append(commands, p.place(st, job, now)...)
			continue
		}
		if waiting[job.Tenant] == nil {
			waiting[job.Tenant] = &tenantQueue{tenant: job.Tenant}
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

// tenantQueue is a tenant with its waiting jobs.
type tenantQueue struct {
	tenant model.TenantID
	share  float64
	jobs   []placement.Job
}

// shareHeap is a heap of tenants with the smallest share first.
type shareHeap []*tenantQueue

func (t shareHeap) Len() int { return len(t) }

func (t shareHeap) Less(i, j int) bool {
	if t[i].share != t[j].share {
		return t[i].share < t[j].share
	}
	return t[i].tenant < t[j].tenant
}

func (t shareHeap) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *shareHeap) Push(x any) { *t = append(*t, x.(*tenantQueue)) }

// Pop implements heap.Interface.
func (t *shareHeap) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}
