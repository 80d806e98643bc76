package main

import (
	"github.com/alecthomas/kingpin/v2"

	"samphirepaddle.example/daemon/controller"
)

func addLeases(app *kingpin.Application, c *gatewayClient) {
	command := app.Command("leases", "Shows the gateways' sessions and the owners of the targets.")
	command.Action(func(*kingpin.ParseContext) error {
		var leases controller.Leases
		return c.getAndPrint("/v1/leases", &leases, func(t *table) { printLeases(t, leases) })
	})
}

func printLeases(t *table, leases controller.Leases) {
	t.row("GATEWAY", "EPOCH", "ENDS IN MS", "APPLIED", "DRAINING")
	for _, s := range leases.Sessions {
		t.row(s.Gateway.ID, s.Gateway.Epoch, s.ExpiresInMs, s.AppliedRevision, s.Gateway.Draining)
	}
	t.row()
	t.row("TARGET", "OWNER", "EPOCH", "START ID", "LEAVING", "LOST", "OPEN ATTEMPTS")
	for _, l := range leases.Targets {
		t.row(l.Target, l.Owner, l.Epoch, l.StartID, l.Leaving, l.Lost, l.OpenAttempts)
	}
}
