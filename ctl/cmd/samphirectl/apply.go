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

// apply submits tickets in the order of the files.
type apply struct {
	*connection
	files []string
	wait  time.Duration
}

func addApply(app *kingpin.Application, c *connection) {
	a := &apply{connection: c}
	command := app.Command("apply", "Submits tickets from JSON files. A resend is safe.").
		Action(func(*kingpin.ParseContext) error { return a.run() })
	command.Flag("wait", "Wait at most this long for each ticket to be in force.").Default("0s").DurationVar(&a.wait)
	command.Arg("file", "Files with one ticket each; they are applied in order.").Required().StringsVar(&a.files)
}

// run checks all files before it submits the first ticket, and stops at the first refusal.
func (a *apply) run() error {
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

func (a *apply) submit(ticket model.Ticket) error {
	got, err := a.call(http.MethodPost, "/v1/tickets", ticket)
	if err != nil {
		return fmt.Errorf("ticket %d: its outcome is not known; a resend is safe: %w", ticket.Number, err)
	}
	var outcome operator.TicketResponse
	if err := json.Unmarshal(got.body, &outcome); err != nil {
		return fmt.Errorf("ticket %d: the answer is no valid JSON: %w", ticket.Number, err)
	}
	if outcome.Code != state.CodeOK && outcome.Code != state.CodeRepeated {
		return refusal(ticket, outcome)
	}
	if a.wait > 0 {
		return a.waitInForce(ticket.Number)
	}
	if a.json {
		return a.printJSON(got.body)
	}
	_, err = fmt.Fprintf(a.out, "ticket %d is accepted at revision %d\n", ticket.Number, outcome.Revision)
	return err
}

// refusal names the ticket that was accepted instead, if there is one.
func refusal(ticket model.Ticket, outcome operator.TicketResponse) error {
	if won := outcome.Accepted; won != nil {
		return refusedf("ticket %d is refused: %s; ticket %d by %q was accepted at revision %d",
			ticket.Number, outcome.Message, won.Number, won.Author, won.Revision)
	}
	return refusedf("ticket %d is refused: %s", ticket.Number, outcome.Message)
}

func (a *apply) waitInForce(number uint64) error {
	path := fmt.Sprintf("/v1/tickets/%d?wait_ms=%d", number, a.wait.Milliseconds())
	got, err := a.callFor(a.wait+a.timeout, http.MethodGet, path, nil)
	if err != nil {
		return &exitError{exitNotInForce, fmt.Sprintf("ticket %d is accepted; whether it is in force is not known: %v", number, err)}
	}
	var status controller.TicketStatus
	if err := json.Unmarshal(got.body, &status); err != nil {
		return fmt.Errorf("the answer is no valid JSON: %w", err)
	}
	if !status.InForce {
		return &exitError{exitNotInForce, fmt.Sprintf("ticket %d is accepted and not in force after %v; behind: %v", number, a.wait, status.LaggingGateways)}
	}
	if a.json {
		return a.printJSON(got.body)
	}
	_, err = fmt.Fprintf(a.out, "ticket %d is in force at revision %d\n", number, status.Record.Revision)
	return err
}
