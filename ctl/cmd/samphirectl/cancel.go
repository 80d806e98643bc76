package main

import (
	"fmt"
	"net/http"
	"slices"

	"github.com/alecthomas/kingpin/v2"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
)

// cancelBatch is the maximum number of jobs in one cancel request, which becomes one command in the
// replicated log.
const cancelBatch = 1000

func addCancel(app *kingpin.Application, c *gatewayClient) {
	command := app.Command("cancel", "Cancels jobs. Jobs that have ended are not changed.")
	jobs := command.Arg("job", "Ids of the jobs.").Required().Strings()
	command.Action(func(*kingpin.ParseContext) error { return cancel(c, *jobs) })
}

func cancel(c *gatewayClient, jobs []string) error {
	for batch := range slices.Chunk(jobs, cancelBatch) {
		var body state.CancelJobs
		for _, id := range batch {
			body.Jobs = append(body.Jobs, model.JobID(id))
		}
		if err := c.change(http.MethodPost, "/v1/jobs/cancel", body, fmt.Sprintf("the cancellation of %d jobs is committed; unknown and ended jobs are not changed", len(batch))); err != nil {
			return err
		}
	}
	return nil
}
