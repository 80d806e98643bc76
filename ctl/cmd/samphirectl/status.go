package main

import (
	"github.com/alecthomas/kingpin/v2"

	"samphirepaddle.example/core/state"
	"samphirepaddle.example/daemon/controller"
)

func addStatus(app *kingpin.Application, c *connection) {
	command := app.Command("status", "Shows gateways, targets and queues.")
	command.Action(func(*kingpin.ParseContext) error {
		var status controller.Status
		return c.show("/v1/status", &status, func(t *table) { printStatus(t, status) })
	})
}

func printStatus(t *table, status controller.Status) {
	t.row("revision", status.Revision)
	t.row("queued jobs", status.QueuedJobs)
	t.row("never runnable", status.NeverRunnable)
	t.row("open attempts", status.OpenAttempts)
	t.row()
	t.row("GATEWAY", "ZONE", "ADDRESS", "EPOCH", "DRAINING")
	for _, g := range status.Gateways {
		t.row(g.ID, g.Zone, g.PublicAddr, g.Epoch, g.Draining)
	}
	t.row()
	t.row("TARGET", "POOL", "ZONE", "RACK", "OWNER", "EPOCH", "STATE")
	for _, target := range status.Targets {
		t.row(target.ID, target.Pool, target.Zone, target.Rack, target.Owner, target.Epoch, targetState(target))
	}
}

func targetState(t state.Target) string {
	switch {
	case t.Lost:
		return "lost"
	case t.Leaving:
		return "leaving"
	case t.QuarantineReason != "":
		return "quarantine: " + t.QuarantineReason
	case t.Owner == "":
		return "no owner"
	default:
		return "ready"
	}
}
