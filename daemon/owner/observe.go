package owner

import (
	"slices"
	"sync"
	"time"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/syncmsg"
)

// Observer is implemented by pickers that learn from the targets. The Table calls it without
// holding any lock, so a slow observer delays no request.
type Observer interface {
	// Keep sets the targets that the gateway owns.
	Keep(targets []model.TargetID)
	// Observe takes news about one target. Calls about one target may overlap.
	Observe(o Observation)
}

// Observation is what is known about one target after a report or a call about a task.
type Observation struct {
	Target  model.TargetID
	Epoch   model.Epoch
	Version uint64 // of Tasks, increasing under one epoch
	Now     model.Millis
	Slots   int32
	Tasks   []RunningTask       // all tasks whose start is confirmed and whose end is not
	Usage   []model.UsageReport // new reports about quick work
}

// RunningTask is a task on a target.
type RunningTask struct {
	Attempt model.AttemptID
	Kind    string
	Started model.Millis
	Level   float64 // 0 to 1, confirmed by the target
}

// maxUsagePerAnnouncement bounds what one announcement adds; a target of 8 slots sends one
// report for each service and each task.
const maxUsagePerAnnouncement = 64

// usageQueue holds the reports that were not sent to the leader yet. Its lock is taken after
// no other lock.
type usageQueue struct {
	mu      sync.Mutex
	reports []syncmsg.TargetUsage
}

func (q *usageQueue) add(target model.TargetID, reports []model.UsageReport) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, report := range reports {
		q.reports = append(q.reports, syncmsg.TargetUsage{Target: target, Report: report})
	}
	if extra := len(q.reports) - syncmsg.MaxUsageReports; extra > 0 {
		q.reports = slices.Delete(q.reports, 0, extra)
	}
}

// TakeUsage returns the targets' reports since the last call, at most
// syncmsg.MaxUsageReports. Reports whose renewal fails are lost: the leader may have read
// them, and reading them twice would count them twice.
func (t *Table) TakeUsage() []syncmsg.TargetUsage {
	t.usage.mu.Lock()
	defer t.usage.mu.Unlock()
	reports := t.usage.reports
	t.usage.reports = nil
	return reports
}

// observe passes on what is new about a target. The caller holds no lock.
func (t *Table) observe(o *owned) {
	observation, usage := o.observation(time.Now())
	if len(usage) > 0 {
		t.usage.add(observation.Target, usage)
	}
	if t.observer == nil {
		return
	}
	services := t.services(o)
	for _, report := range usage {
		// A report about another service would let a faulty target fill the model.
		if slices.Contains(services, report.Service) {
			observation.Usage = append(observation.Usage, report)
		}
	}
	t.observer.Observe(observation)
}

func (o *owned) observation(now time.Time) (Observation, []model.UsageReport) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version++
	observation := Observation{
		Target:  o.record.ID,
		Epoch:   o.record.Epoch,
		Version: o.version,
		Now:     model.Millis(now.UnixMilli()),
		Slots:   o.record.Capacity.Slots,
	}
	for id, a := range o.attempts {
		if !a.started || a.ended || a.end != nil {
			continue
		}
		observation.Tasks = append(observation.Tasks, RunningTask{
			Attempt: id, Kind: a.order.Spec.Kind, Started: a.order.Attempt.AssignedAt, Level: a.confirmedLevel(),
		})
	}
	usage := o.usage
	o.usage = nil
	return observation, usage
}

func (t *Table) services(o *owned) []model.ServiceID {
	o.mu.Lock()
	pool := o.record.Pool
	o.mu.Unlock()
	needs := t.needs.Load()
	if needs == nil {
		return nil
	}
	return (*needs)[pool].services
}

// keep tells the observer which targets are owned. The caller holds no lock.
func (t *Table) keep() {
	if t.observer == nil {
		return
	}
	t.mu.RLock()
	ids := make([]model.TargetID, 0, len(t.owned))
	for id := range t.owned {
		ids = append(ids, id)
	}
	t.mu.RUnlock()
	t.observer.Keep(ids)
}
