package standin

import (
	"context"
	"time"

	"samphirepaddle.example/core/model"
)

// maxUsageReports bounds the reports that wait to be sent; the oldest are dropped first.
const maxUsageReports = 4096

// usageLog holds the reports that were not sent yet, oldest first, and the quick work of
// the current interval. Its callers hold Target.mu.
type usageLog struct {
	reports []timedReport
	quick   map[model.ServiceID]quickUsage
}

type timedReport struct {
	made   time.Time
	report model.UsageReport
}

type quickUsage struct {
	requests int64
	total    time.Duration
}

func (u *usageLog) countQuick(service model.ServiceID, took time.Duration) {
	if u.quick == nil {
		u.quick = map[model.ServiceID]quickUsage{}
	}
	usage := u.quick[service]
	usage.requests++
	usage.total += took
	u.quick[service] = usage
}

func (u *usageLog) add(made time.Time, report model.UsageReport) {
	u.reports = append(u.reports, timedReport{made, report})
	if extra := len(u.reports) - maxUsageReports; extra > 0 {
		u.reports = u.reports[extra:]
	}
}

// due returns the reports that were made at or before the given time.
func (u *usageLog) due(until time.Time) []model.UsageReport {
	var due []model.UsageReport
	for _, r := range u.reports {
		if r.made.After(until) {
			break
		}
		due = append(due, r.report)
	}
	return due
}

// sent drops the first reports, whose announcement was answered.
func (u *usageLog) sent(count int) {
	u.reports = u.reports[min(count, len(u.reports)):]
}

func (t *Target) usageLoop(ctx context.Context) {
	ticker := time.NewTicker(t.config.UsageEvery)
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

// reportUsage makes one report for each running task and each service with quick work.
func (t *Target) reportUsage(from, to time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	span := model.UsageReport{FromMs: model.Millis(from.UnixMilli()), ToMs: model.Millis(to.UnixMilli())}
	for _, id := range t.running() {
		task := t.tasks[id]
		report := span
		report.Attempt = id
		report.Used = task.plan.Use
		report.ProgressPct = 100 * task.takeProgress()
		t.usage.add(to, report)
	}
	for service, quick := range t.usage.quick {
		report := span
		report.Service = service
		report.Used = t.config.QuickUse
		report.Requests = quick.requests
		report.LatencyUs = quick.total.Microseconds() / quick.requests
		t.usage.add(to, report)
	}
	t.usage.quick = nil
}
