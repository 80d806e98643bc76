package main

import (
	"fmt"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"samphirepaddle.example/daemon/controller"
)

func addTicket(app *kingpin.Application, c *connection) {
	command := app.Command("ticket", "Shows the outcome of a ticket.")
	number := command.Arg("number", "Number of the ticket.").Required().Uint64()
	command.Action(func(*kingpin.ParseContext) error {
		var status controller.TicketStatus
		err := c.show(fmt.Sprintf("/v1/tickets/%d", *number), &status, func(t *table) {
			printTicket(t, *number, status)
		})
		if err == nil && !status.Found {
			return refusedf("ticket %d is not among the kept outcomes", *number)
		}
		return err
	})
}

func printTicket(t *table, number uint64, status controller.TicketStatus) {
	if !status.Found {
		return
	}
	t.row("ticket", number)
	t.row("author", status.Record.Author)
	t.row("revision", status.Record.Revision)
	t.row("accepted", time.UnixMilli(int64(status.Record.AcceptedAt)).UTC().Format(time.RFC3339))
	t.row("in force", status.InForce)
	for _, gateway := range status.LaggingGateways {
		t.row("behind", gateway)
	}
	for _, ref := range status.Record.Objects {
		t.row("object", fmt.Sprintf("%s %s", ref.Kind, ref.ID))
	}
}
