package main

import (
	"net/url"

	"github.com/alecthomas/kingpin/v2"

	"samphirepaddle.example/daemon/controller"
)

func addJobs(app *kingpin.Application, c *connection) {
	command := app.Command("jobs", "Lists the jobs that changed last, at most 1,000.")
	tenant := command.Flag("tenant", "Only jobs of this tenant.").String()
	phase := command.Flag("phase", "Only jobs in this phase.").Enum("queued", "assigned", "finished", "failed", "cancelled")
	command.Action(func(*kingpin.ParseContext) error {
		query := url.Values{"tenant": {*tenant}, "phase": {*phase}}
		var jobs controller.Jobs
		return c.show("/v1/jobs?"+query.Encode(), &jobs, func(t *table) { printJobs(t, jobs) })
	})
}

func printJobs(t *table, jobs controller.Jobs) {
	t.row("JOB", "TENANT", "POOL", "PHASE", "TARGET", "ATTEMPTS", "FAILURES", "EVICTIONS", "NOTE")
	for _, job := range jobs.Jobs {
		t.row(job.ID, job.Tenant, job.Pool, job.Phase, job.Target, job.Attempts, job.Failures, job.Evictions, note(job))
	}
	if jobs.Total > len(jobs.Jobs) {
		t.row("shown", len(jobs.Jobs), "of", jobs.Total)
	}
}

func note(job controller.JobSummary) string {
	if job.NeverRunnableReason != "" {
		return "can never run: " + job.NeverRunnableReason
	}
	return job.Message
}
