package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/daemon/controller"
	"samphirepaddle.example/daemon/operator"
)

// applyCommand submits the tickets in the given files, in this order.
type applyCommand struct {
	*gatewayClient
	files []string
	wait  time.Duration
}

func addApply(app *kingpin.Application, c *gatewayClient) {
	a := &applyCommand{gatewayClient: c}
	command := app.Command("apply", "Submits tickets from JSON files. Submitting a ticket again is safe.").
		Action(func(*kingpin.ParseContext) error { return a.run() })
	command.Flag("wait", "Wait at most this long for each ticket to be in force.").Default("0s").DurationVar(&a.wait)
	command.Arg("file", "Files with one ticket each; they are applied in order.").Required().StringsVar(&a.files)
}

// run reads and checks all files before it submits the first ticket, and stops at the first error.
func (a *applyCommand) run() error {
	tickets := make([]model.Ticket, 0, len(a.files))
	for _, path := range a.files {
		ticket, err := readTicket(path)
		if err != nil {
			return err
		}
		tickets = append(tickets, ticket)
	}
	for _, ticket := range tickets {
		if err := a.submit(ticket); err != nil {
			return err
		}
	}
	return nil
}

func readTicket(path string) (model.Ticket, error) {
	file, err := os.Open(path)
	if err != nil {
		return model.Ticket{}, err
	}
	defer file.Close()
	ticket, err := model.DecodeTicket(file)
	if err != nil {
		return ticket, refusedf("%s: %v", path, err)
	}
	return ticket, nil
}

func (a *applyCommand) submit(ticket model.Ticket) error {
	response, err := a.call(http.MethodPost, "/v1/tickets", ticket)
	if err != nil {
		return fmt.Errorf("ticket %d: the outcome is unknown; submitting it again is safe: %w", ticket.Number, err)
	}
	var outcome operator.TicketResponse
	if err := json.Unmarshal(response.body, &outcome); err != nil {
		return fmt.Errorf("ticket %d: the response is not valid JSON: %w", ticket.Number, err)
	}
	if outcome.Code != state.CodeOK && outcome.Code != state.CodeRepeated {
		return refusedError(ticket, outcome)
	}
	if a.wait > 0 {
		return a.waitInForce(ticket.Number)
	}
	if a.jsonOutput {
		return a.printJSON(response.body)
	}
	_, err = fmt.Fprintf(a.out, "ticket %d is accepted at revision %d\n", ticket.Number, outcome.Revision)
	return err
}

// refusedError returns the error for a refused ticket. If another ticket with the same number was
// accepted, the error names its author.
func refusedError(ticket model.Ticket, outcome operator.TicketResponse) error {
	if accepted := outcome.Accepted; accepted != nil {
		return refusedf("ticket %d is refused: %s; ticket %d by %q was accepted at revision %d",
			ticket.Number, outcome.Message, accepted.Number, accepted.Author, accepted.Revision)
	}
	return refusedf("ticket %d is refused: %s", ticket.Number, outcome.Message)
}

// waitInForce waits until all gateways have applied the ticket, for at most a.wait.
func (a *applyCommand) waitInForce(number uint64) error {
	path := fmt.Sprintf("/v1/tickets/%d?wait_ms=%d", number, a.wait.Milliseconds())
	response, err := a.callWithTimeout(a.wait+a.timeout, http.MethodGet, path, nil)
	if err != nil {
		return &exitError{exitNotInForce, fmt.Sprintf("ticket %d is accepted, but whether it is in force is unknown: %v", number, err)}
	}
	var status controller.TicketStatus
	if err := json.Unmarshal(response.body, &status); err != nil {
		return fmt.Errorf("the response is not valid JSON: %w", err)
	}
	if !status.InForce {
		return &exitError{exitNotInForce, fmt.Sprintf("ticket %d is accepted, but not in force after %v; behind: %v", number, a.wait, status.LaggingGateways)}
	}
	if a.jsonOutput {
		return a.printJSON(response.body)
	}
	_, err = fmt.Fprintf(a.out, "ticket %d is in force at revision %d\n", number, status.Record.Revision)
	return err
}
