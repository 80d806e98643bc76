package standin

import (
	"context"
	"time"

	"samphirepaddle.example/core/model"
)

// maxUsageReports limits the number of unsent reports; the oldest are dropped first.
const maxUsageReports = 4096

// usageLog holds the unsent usage reports, oldest first, and the usage by quick requests in the
// current interval. Its callers hold Target.mu.
type usageLog struct {
	reports []timedReport
	quick   map[model.ServiceID]quickUsage
}

type timedReport struct {
	createdAt time.Time
	report    model.UsageReport
}

type quickUsage struct {
	requests  int64
	totalTime time.Duration
}

func (u *usageLog) addQuick(service model.ServiceID, took time.Duration) {
	if u.quick == nil {
		u.quick = map[model.ServiceID]quickUsage{}
	}
	usage := u.quick[service]
	usage.requests++
	usage.totalTime += took
	u.quick[service] = usage
}

func (u *usageLog) add(createdAt time.Time, report model.UsageReport) {
	u.reports = append(u.reports, timedReport{createdAt, report})
	if extra := len(u.reports) - maxUsageReports; extra > 0 {
		u.reports = u.reports[extra:]
	}
}

// due returns the reports that were created at or before the given time.
func (u *usageLog) due(until time.Time) []model.UsageReport {
	var due []model.UsageReport
	for _, r := range u.reports {
		if r.createdAt.After(until) {
			break
		}
		due = append(due, r.report)
	}
	return due
}

// dropSent removes the oldest count reports after a gateway has received them.
func (u *usageLog) dropSent(count int) {
	u.reports = u.reports[min(count, len(u.reports)):]
}

func (t *Target) usageLoop(ctx context.Context) {
	ticker := time.NewTicker(t.config.UsageInterval)
	defer ticker.Stop()
	from := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			t.reportUsage(from, now)
			from = now
		}
	}
}

// reportUsage creates a report for each running task and for each service with quick requests in
// the interval.
func (t *Target) reportUsage(from, to time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	span := model.UsageReport{FromMs: model.Millis(from.UnixMilli()), ToMs: model.Millis(to.UnixMilli())}
	for _, id := range t.running() {
		task := t.tasks[id]
		report := span
		report.Attempt = id
		report.Used = task.plan.ReportedUse
		report.ProgressPct = 100 * task.takeUnreportedProgress()
		t.usage.add(to, report)
	}
	for service, usage := range t.usage.quick {
		report := span
		report.Service = service
		report.Used = t.config.QuickUse
		report.Requests = usage.requests
		report.LatencyUs = usage.totalTime.Microseconds() / usage.requests
		t.usage.add(to, report)
	}
	t.usage.quick = nil
}
