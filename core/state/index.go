package state

import (
	"cmp"
	"slices"

	"samphirepaddle.example/core/model"
)

// index holds what can be recomputed from the stored state, so that no command scans all
// jobs, targets or requests. It is not part of snapshots; Restore rebuilds it.
type index struct {
	ownedBy   map[model.GatewayID]map[model.TargetID]*Target
	unowned   map[model.TargetID]*Target // known targets without an owner that are not lost
	openOn    map[model.TargetID]map[model.JobID]*Job
	held      map[model.TenantID]model.Resources // reserved by open attempts
	ready     map[model.TenantID]*jobQueue       // queued jobs that may run
	never     map[model.JobID]*Job               // queued jobs that can never run
	queued    map[model.TenantID]int             // queued jobs, runnable or not
	live      map[model.TenantID]int             // jobs that have not ended
	livePool  map[model.PoolID]int
	liveBytes int64 // payloads and checkpoints of jobs that have not ended

	endedJobs  fifo[endedJob]
	keptJobs   int   // ended jobs that are still kept
	keptBytes  int64 // size of the ended jobs that are kept
	nextDrop   int   // position in endedJobs of the first job that may still be kept
	inProgress map[model.GatewayID]map[RequestKey]*RequestRecord

	endedRequests fifo[endedRequest]
	tenantEnded   map[model.TenantID]*fifo[endedRequest]
	requests      map[model.TenantID]int // records of each tenant
	answerBytes   int64                  // stored answers of all requests
	nextAnswer    int                    // position in endedRequests of the first that may hold an answer

	lost          fifo[lostTarget]
	ticketNumbers []uint64 // numbers of the kept tickets in ascending order
}

// endedJob is the place of an ended job in the order of ends.
type endedJob struct {
	sequence uint64
	at       model.Millis
	job      model.JobID
	key      RequestKey // empty if it has none
}

// endedRequest is the place of an ended request in the order of ends.
type endedRequest struct {
	sequence uint64
	at       model.Millis
	key      RequestKey
}

// lostTarget is the place of a lost target in the order of losses.
type lostTarget struct {
	sequence uint64
	at       model.Millis
	target   model.TargetID
}

func newIndex() index {
	return index{
		ownedBy:     map[model.GatewayID]map[model.TargetID]*Target{},
		unowned:     map[model.TargetID]*Target{},
		openOn:      map[model.TargetID]map[model.JobID]*Job{},
		held:        map[model.TenantID]model.Resources{},
		ready:       map[model.TenantID]*jobQueue{},
		never:       map[model.JobID]*Job{},
		queued:      map[model.TenantID]int{},
		live:        map[model.TenantID]int{},
		livePool:    map[model.PoolID]int{},
		inProgress:  map[model.GatewayID]map[RequestKey]*RequestRecord{},
		tenantEnded: map[model.TenantID]*fifo[endedRequest]{},
		requests:    map[model.TenantID]int{},
	}
}

// addJob counts a job in the indexes that depend on its phase; dropJob takes it out. Every
// change of phase, of the open attempt or of the payload lies between a drop and an add.
func (x *index) addJob(j *Job) {
	if j.Ended() {
		return
	}
	x.countLive(j, 1)
	if j.OpenAttempt != nil {
		put(x.openOn, j.OpenAttempt.Target, j.Spec.ID, j)
		x.held[j.Spec.Tenant] = x.held[j.Spec.Tenant].Add(j.OpenAttempt.Reserved)
		return
	}
	addCount(x.queued, j.Spec.Tenant, 1)
	if j.NeverRunnableReason != "" {
		x.never[j.Spec.ID] = j
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
	x.countLive(j, -1)
	if j.OpenAttempt != nil {
		take(x.openOn, j.OpenAttempt.Target, j.Spec.ID)
		x.refund(j.Spec.Tenant, j.OpenAttempt.Reserved)
		return
	}
	addCount(x.queued, j.Spec.Tenant, -1)
	if j.NeverRunnableReason != "" {
		delete(x.never, j.Spec.ID)
		return
	}
	queue := x.ready[j.Spec.Tenant]
	queue.remove(j)
	if queue.len() == 0 {
		delete(x.ready, j.Spec.Tenant)
	}
}

func (x *index) refund(tenant model.TenantID, reserved model.Resources) {
	left := x.held[tenant].Sub(reserved)
	if left == (model.Resources{}) {
		delete(x.held, tenant)
		return
	}
	x.held[tenant] = left
}

func (x *index) countLive(j *Job, sign int) {
	addCount(x.live, j.Spec.Tenant, sign)
	addCount(x.livePool, j.Spec.Pool, sign)
	x.liveBytes += int64(sign) * int64(len(j.Spec.Payload)+len(j.Checkpoint))
}

// addTarget and dropTarget surround every change of a target's owner or loss.
func (x *index) addTarget(t *Target) {
	if t.Owner != "" {
		put(x.ownedBy, t.Owner, t.ID, t)
	} else if !t.Lost {
		x.unowned[t.ID] = t
	}
}

func (x *index) dropTarget(t *Target) {
	if t.Owner != "" {
		take(x.ownedBy, t.Owner, t.ID)
	}
	delete(x.unowned, t.ID)
}

// rebuild computes the index of a restored state.
func (s *State) rebuild() {
	x := newIndex()
	for _, id := range sortedKeys(s.Targets) {
		x.addTarget(s.Targets[id])
		if t := s.Targets[id]; t.Lost {
			x.lost.items = append(x.lost.items, lostTarget{t.LostSequence, t.LostAt, id})
		}
	}
	slices.SortFunc(x.lost.items, func(a, b lostTarget) int { return cmp.Compare(a.sequence, b.sequence) })
	s.rebuildJobs(&x)
	s.rebuildRequests(&x)
	x.ticketNumbers = sortedKeys(s.Tickets)
	s.index = x
}

func (s *State) rebuildJobs(x *index) {
	jobs := make([]*Job, 0, len(s.Jobs))
	for _, job := range s.Jobs {
		jobs = append(jobs, job)
	}
	slices.SortFunc(jobs, func(a, b *Job) int { return cmp.Compare(a.Sequence, b.Sequence) })
	for _, job := range jobs {
		x.addJob(job)
		if job.Ended() {
			x.endedJobs.items = append(x.endedJobs.items, job.endedEntry())
			x.keptJobs++
			x.keptBytes += job.keptSize()
		}
	}
	// Keys outlive the jobs that were dropped to bound the memory.
	for key, record := range s.JobKeys {
		if record.Ended {
			if _, kept := s.Jobs[record.Job]; !kept {
				x.endedJobs.items = append(x.endedJobs.items, endedJob{record.Sequence, record.EndedAt, record.Job, key})
			}
		}
	}
	slices.SortFunc(x.endedJobs.items, func(a, b endedJob) int { return cmp.Compare(a.sequence, b.sequence) })
}

func (s *State) rebuildRequests(x *index) {
	for key, record := range s.Requests {
		addCount(x.requests, key.Tenant, 1)
		if !record.Ended {
			put(x.inProgress, record.Gateway, key, record)
			continue
		}
		x.endedRequests.items = append(x.endedRequests.items, endedRequest{record.Sequence, record.At, key})
		x.answerBytes += record.Response.size()
	}
	slices.SortFunc(x.endedRequests.items, func(a, b endedRequest) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, e := range x.endedRequests.items {
		x.tenantQueue(e.key.Tenant).push(e)
	}
}

func (x *index) tenantQueue(tenant model.TenantID) *fifo[endedRequest] {
	queue := x.tenantEnded[tenant]
	if queue == nil {
		queue = &fifo[endedRequest]{}
		x.tenantEnded[tenant] = queue
	}
	return queue
}

func put[A, B comparable, V any](m map[A]map[B]V, a A, b B, v V) {
	inner := m[a]
	if inner == nil {
		inner = map[B]V{}
		m[a] = inner
	}
	inner[b] = v
}

func take[A, B comparable, V any](m map[A]map[B]V, a A, b B) {
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
