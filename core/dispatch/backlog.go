package dispatch

import (
	"slices"
	"sort"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
)

// Limits of what a pass does with one backlog. The number of due occurrences is bounded by what a caller declares only,
// what a pass can use by the free room of the workers.
const (
	// maxWaitingOccurrences is the number of occurrences that wait for a place of their own, after which a pass leaves the
	// others alone.
	maxWaitingOccurrences = workflow.MaxWaitingOccurrences
	// maxBacklogTasks is the number of tasks of backlogs in one pass after which it starts one occurrence of each other
	// backlog at most. The next pass follows its commit. Tasks that need hardly any room are not bounded by that of the
	// workers.
	maxBacklogTasks = 512
)

// Backlog holds the due occurrences of a scheduled job of which no task was assigned yet: those below Due that have
// neither started nor are complete.
type Backlog struct {
	Job *workflow.Job
	Due int // number of occurrences that are due
}

// Unstarted returns the number of occurrences in the backlog.
func (b Backlog) Unstarted() int { return b.Job.CountUnstarted(0, b.Due) }

// Next returns the first occurrence in the backlog. ok is false if it is empty.
func (b Backlog) Next() (q PendingRun, ok bool) {
	occurrence, ok := b.Job.NextUnstarted(0, b.Due)
	return PendingRun{Job: b.Job, Occurrence: occurrence}, ok
}

// appendBacklogKeys appends a key for the occurrences of the backlog that can still meet their objective, and one for
// those that cannot. Occurrences of the same key differ in their number only, which orders them. Late ones come after all other
// runs of their priority if they are many: with the least work first, one job of small tasks would keep the late jobs of
// others waiting for as long as its backlog lasts.
func appendBacklogKeys(keys []sortKey, now model.Millis, b Backlog) []sortKey {
	firstInTime := 0
	if !b.Job.Steps[0].LongRunning {
		total, _ := criticalPaths(PendingRun{Job: b.Job})
		firstInTime = sort.Search(b.Due, func(occurrence int) bool {
			return !missesObjective(now, PendingRun{Job: b.Job, Occurrence: occurrence}, total, total)
		})
	}
	for _, part := range [...]struct {
		from, until int
		late        bool
	}{{0, firstInTime, true}, {firstInTime, b.Due, false}} {
		first, ok := b.Job.NextUnstarted(part.from, part.until)
		if !ok {
			continue
		}
		q := PendingRun{Job: b.Job, Occurrence: first}
		keys = append(keys, sortKey{
			turn: turn{PendingRun: q, until: part.until}, priority: b.Job.Priority, rank: rankOf(q),
			late: part.late, backlog: part.late && b.Job.CountUnstarted(part.from, part.until) > maxWaitingOccurrences,
			workLeft: remainingWork(q),
		})
	}
	return keys
}

// hasRunMemory reports whether one more occurrence of the job may start. Those for which the job was admitted may always.
// Others may run at the same time, for example because they take longer than declared, while memory is left.
func (p *pass) hasRunMemory(job *workflow.Job) bool {
	return len(job.Runs)+p.startedRuns[job] < job.AdmittedRuns() || p.spareRunBytes >= job.RunWeight()
}

func (p *pass) takeRunMemory(job *workflow.Job) {
	if len(job.Runs)+p.startedRuns[job] >= job.AdmittedRuns() {
		p.spareRunBytes -= job.RunWeight()
	}
	if p.startedRuns == nil {
		p.startedRuns = map[*workflow.Job]int{}
	}
	p.startedRuns[job]++
}

// placeBacklog places occurrences of a backlog in order, until one finds no worker. The others need the same, so they
// would find none either, unless it waits for a place near its data or its group: such a wait ends for each by itself.
func (p *pass) placeBacklog(t turn) {
	waiting := 0
	for occurrence, ok := t.Occurrence, true; ok && waiting < maxWaitingOccurrences; occurrence, ok = t.Job.NextUnstarted(occurrence+1, t.until) {
		if !p.hasRunMemory(t.Job) {
			p.waits = append(p.waits, WaitingStep{Job: t.Job.ID, Occurrence: occurrence, Service: t.Job.Service, Reason: WaitRunMemory})
			return
		}
		assigned, waits := len(p.assignments), len(p.waits)
		p.placeRun(turn{PendingRun: PendingRun{Job: t.Job, Occurrence: occurrence}})
		switch {
		case len(p.assignments) > assigned:
			p.takeRunMemory(t.Job)
			if p.backlogTasks += len(p.assignments) - assigned; p.backlogTasks >= maxBacklogTasks {
				return
			}
		case slices.ContainsFunc(p.waits[waits:], func(w WaitingStep) bool { return w.Reason == WaitNearPlace }):
			waiting++
		default:
			return
		}
	}
}
