package main

import (
	"net/url"

	"github.com/alecthomas/kingpin/v2"

	"samphirepaddle.example/daemon/controller"
)

func addExplain(app *kingpin.Application, c *gatewayClient) {
	command := app.Command("explain", "Explains why a job waits, or why it can never run.")
	job := command.Arg("job", "Id of the job.").Required().String()
	command.Action(func(*kingpin.ParseContext) error {
		var e controller.Explanation
		return c.getAndPrint("/v1/jobs/"+url.PathEscape(*job)+"/explain", &e, func(t *table) { printExplanation(t, e) })
	})
}

func printExplanation(t *table, e controller.Explanation) {
	t.row("job", e.Job.ID)
	t.row("phase", e.Job.Phase)
	t.row("attempts", e.Job.Attempts)
	if e.Job.Target != "" {
		t.row("target", e.Job.Target)
	}
	if e.Job.Message != "" {
		t.row("last message", e.Job.Message)
	}
	if e.Waiting == nil {
		return
	}
	t.row("reason", e.Waiting.Reason)
	if len(e.Waiting.Targets) == 0 {
		return
	}
	t.row()
	t.row("TARGET", "REASON")
	for _, target := range e.Waiting.Targets {
		t.row(target.Target, target.Reason)
	}
}
