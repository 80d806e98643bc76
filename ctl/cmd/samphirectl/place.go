package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"samphirepaddle.example/core/dispatch"
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
)

// maxJobFileBytes bounds the file of a job to explain.
const maxJobFileBytes = 1 << 20

func addPlace(app *kingpin.Application, c *gatewayClient) {
	command := app.Command("place", "Explains where the tasks of a workflow would go now, and why, without submitting it.")
	path := command.Arg("file", "JSON file with host, path and steps of the workflow.").Required().String()
	command.Action(func(*kingpin.ParseContext) error {
		file, err := os.Open(*path)
		if err != nil {
			return err
		}
		defer file.Close()
		var submission workflow.Submission
		if err := model.DecodeJSON(file, maxJobFileBytes, &submission); err != nil {
			return fmt.Errorf("%s: %w", *path, err)
		}
		var e dispatch.Explanation
		return c.postAndPrint("/v1/explain", submission, &e, func(t *table) { printPlacements(t, e) })
	})
}

func printPlacements(t *table, e dispatch.Explanation) {
	t.row("runs ahead", e.Ahead)
	t.row("tasks that would start now", len(e.Placed))
	for _, p := range e.Placed {
		t.row(fmt.Sprintf("  step %d, task %d", p.Step, p.Index), p.Worker)
	}
	for _, w := range e.Waits {
		t.row(fmt.Sprintf("step %d waits", w.Step), w.Reason)
		if w.WaitMs > 0 {
			t.row("  expected wait, ms", w.WaitMs)
		}
	}
	t.row()
	t.row("WORKER", "SCORE", "AGAINST IT")
	for _, w := range e.Workers {
		t.row(w.Worker, fmt.Sprintf("%.2f", w.Score), w.Reason)
	}
}
