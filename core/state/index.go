package state

import (
	"cmp"
	"slices"

	"samphirepaddle.example/core/model"
)

// index holds data derived from the stored state, so that no command scans all jobs, targets
// or requests. It is not part of snapshots; Restore rebuilds it.
type index struct {
	ownedBy        map[model.GatewayID]map[model.TargetID]*Target
	unowned        map[model.TargetID]*Target              // targets without an owner that are not lost
	openJobs       map[model.TargetID]map[model.JobID]*Job // jobs with an open attempt
	reserved       map[model.TenantID]model.Resources      // reserved by open attempts
	ready          map[model.TenantID]*jobQueue            // queued jobs that can run
	neverRunnable  map[model.JobID]*Job                    // queued jobs marked as never runnable
	queuedByTenant map[model.TenantID]int                  // queued jobs, runnable or not
	activeByTenant map[model.TenantID]int                  // jobs that have not ended
	activeByPool   map[model.PoolID]int
	activeBytes    int64 // payloads and checkpoints of jobs that have not ended

	endedJobs     fifo[endedJobRef]
	retainedJobs  int   // number of ended jobs that are still stored
	retainedBytes int64 // estimated size of the ended jobs that are still stored
	nextJobToDrop int   // position in endedJobs of the first job that may still be stored
	inProgress    map[model.GatewayID]map[RequestKey]*RequestRecord

	endedRequests         fifo[endedRequestRef]
	endedRequestsByTenant map[model.TenantID]*fifo[endedRequestRef]
	requestsByTenant      map[model.TenantID]int // number of records
	responseBytes         int64                  // size of the stored responses of all requests
	nextResponseToDrop    int                    // position in endedRequests of the first request that may have a stored response

	lostTargets   fifo[lostTargetRef]
	ticketNumbers []uint64 // numbers of the stored tickets, ascending
}

// endedJobRef refers to an ended job and its position in the order of ending.
type endedJobRef struct {
	sequence uint64
	at       model.Millis
	job      model.JobID
	key      RequestKey // zero if the job has no key
}

// endedRequestRef refers to an ended request and its position in the order of ending.
type endedRequestRef struct {
	sequence uint64
	at       model.Millis
	key      RequestKey
}

// lostTargetRef refers to a lost target and its position in the order of losses.
type lostTargetRef struct {
	sequence uint64
	at       model.Millis
	target   model.TargetID
}

func newIndex() index {
	return index{
		ownedBy:               map[model.GatewayID]map[model.TargetID]*Target{},
		unowned:               map[model.TargetID]*Target{},
		openJobs:              map[model.TargetID]map[model.JobID]*Job{},
		reserved:              map[model.TenantID]model.Resources{},
		ready:                 map[model.TenantID]*jobQueue{},
		neverRunnable:         map[model.JobID]*Job{},
		queuedByTenant:        map[model.TenantID]int{},
		activeByTenant:        map[model.TenantID]int{},
		activeByPool:          map[model.PoolID]int{},
		inProgress:            map[model.GatewayID]map[RequestKey]*RequestRecord{},
		endedRequestsByTenant: map[model.TenantID]*fifo[endedRequestRef]{},
		requestsByTenant:      map[model.TenantID]int{},
	}
}

// addJob adds a job to the indexes that depend on its phase; dropJob removes it from them.
// Every change of the phase, open attempt, payload or checkpoint is made between a dropJob and
// an addJob.
func (x *index) addJob(j *Job) {
	if j.Ended() {
		return
	}
	x.countActive(j, 1)
	if j.OpenAttempt != nil {
		putNested(x.openJobs, j.OpenAttempt.Target, j.Spec.ID, j)
		x.reserved[j.Spec.Tenant] = x.reserved[j.Spec.Tenant].Add(j.OpenAttempt.Reserved)
		return
	}
	addCount(x.queuedByTenant, j.Spec.Tenant, 1)
	if j.NeverRunnableReason != "" {
		x.neverRunnable[j.Spec.ID] = j
		return
	}
	queue := x.ready[j.Spec.Tenant]
	if queue == nil {
		queue = &jobQueue{}
		x.ready[j.Spec.Tenant] = queue
	}
	queue.push(j)
}

func (x *index) dropJob(j *Job) {
	if j.Ended() {
		return
	}
	x.countActive(j, -1)
	if j.OpenAttempt != nil {
		deleteNested(x.openJobs, j.OpenAttempt.Target, j.Spec.ID)
		x.releaseReservation(j.Spec.Tenant, j.OpenAttempt.Reserved)
		return
	}
	addCount(x.queuedByTenant, j.Spec.Tenant, -1)
	if j.NeverRunnableReason != "" {
		delete(x.neverRunnable, j.Spec.ID)
		return
	}
	queue := x.ready[j.Spec.Tenant]
	queue.remove(j)
	if queue.len() == 0 {
		delete(x.ready, j.Spec.Tenant)
	}
}

func (x *index) releaseReservation(tenant model.TenantID, amount model.Resources) {
	remaining := x.reserved[tenant].Sub(amount)
	if remaining == (model.Resources{}) {
		delete(x.reserved, tenant)
		return
	}
	x.reserved[tenant] = remaining
}

func (x *index) countActive(j *Job, sign int) {
	addCount(x.activeByTenant, j.Spec.Tenant, sign)
	addCount(x.activeByPool, j.Spec.Pool, sign)
	x.activeBytes += int64(sign) * int64(len(j.Spec.Payload)+len(j.Checkpoint))
}

// addTarget adds a target to the ownership indexes; dropTarget removes it from them. Every
// change of Owner or Lost is made between a dropTarget and an addTarget. The addTarget may be
// omitted if the target is then lost and has no owner, because neither index holds such targets.
func (x *index) addTarget(t *Target) {
	if t.Owner != "" {
		putNested(x.ownedBy, t.Owner, t.ID, t)
	} else if !t.Lost {
		x.unowned[t.ID] = t
	}
}

func (x *index) dropTarget(t *Target) {
	if t.Owner != "" {
		deleteNested(x.ownedBy, t.Owner, t.ID)
	}
	delete(x.unowned, t.ID)
}

// rebuildIndex computes the index from the stored state.
func (s *State) rebuildIndex() {
	x := newIndex()
	for _, id := range sortedKeys(s.Targets) {
		x.addTarget(s.Targets[id])
		if t := s.Targets[id]; t.Lost {
			x.lostTargets.items = append(x.lostTargets.items, lostTargetRef{t.LostSequence, t.LostAt, id})
		}
	}
	slices.SortFunc(x.lostTargets.items, func(a, b lostTargetRef) int { return cmp.Compare(a.sequence, b.sequence) })
	s.rebuildJobIndex(&x)
	s.rebuildRequestIndex(&x)
	x.ticketNumbers = sortedKeys(s.Tickets)
	s.index = x
}

func (s *State) rebuildJobIndex(x *index) {
	jobs := make([]*Job, 0, len(s.Jobs))
	for _, job := range s.Jobs {
		jobs = append(jobs, job)
	}
	slices.SortFunc(jobs, func(a, b *Job) int { return cmp.Compare(a.Sequence, b.Sequence) })
	for _, job := range jobs {
		x.addJob(job)
		if job.Ended() {
			x.endedJobs.items = append(x.endedJobs.items, job.endedRef())
			x.retainedJobs++
			x.retainedBytes += job.retainedSize()
		}
	}
	// A key is kept for its whole retention period, even if its job was dropped to limit memory.
	for key, record := range s.JobKeys {
		if record.Ended {
			if _, kept := s.Jobs[record.Job]; !kept {
				x.endedJobs.items = append(x.endedJobs.items, endedJobRef{record.Sequence, record.EndedAt, record.Job, key})
			}
		}
	}
	slices.SortFunc(x.endedJobs.items, func(a, b endedJobRef) int { return cmp.Compare(a.sequence, b.sequence) })
}

func (s *State) rebuildRequestIndex(x *index) {
	for key, record := range s.Requests {
		addCount(x.requestsByTenant, key.Tenant, 1)
		if !record.Ended {
			putNested(x.inProgress, record.Gateway, key, record)
			continue
		}
		x.endedRequests.items = append(x.endedRequests.items, endedRequestRef{record.Sequence, record.UpdatedAt, key})
		x.responseBytes += record.Response.size()
	}
	slices.SortFunc(x.endedRequests.items, func(a, b endedRequestRef) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, e := range x.endedRequests.items {
		x.endedRequestQueue(e.key.Tenant).push(e)
	}
}

func (x *index) endedRequestQueue(tenant model.TenantID) *fifo[endedRequestRef] {
	queue := x.endedRequestsByTenant[tenant]
	if queue == nil {
		queue = &fifo[endedRequestRef]{}
		x.endedRequestsByTenant[tenant] = queue
	}
	return queue
}

func putNested[A, B comparable, V any](m map[A]map[B]V, a A, b B, v V) {
	inner := m[a]
	if inner == nil {
		inner = map[B]V{}
		m[a] = inner
	}
	inner[b] = v
}

func deleteNested[A, B comparable, V any](m map[A]map[B]V, a A, b B) {
	delete(m[a], b)
	if len(m[a]) == 0 {
		delete(m, a)
	}
}

func addCount[K comparable](m map[K]int, key K, n int) {
	m[key] += n
	if m[key] == 0 {
		delete(m, key)
	}
}
