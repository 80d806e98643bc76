package main

import (
	"net/http"
	"net/url"

	"github.com/alecthomas/kingpin/v2"

	"samphirepaddle.example/daemon/controller"
	"samphirepaddle.example/daemon/operator"
)

func addQuarantine(app *kingpin.Application, c *connection) {
	command := app.Command("quarantine", "Lists, sets or lifts the quarantine of targets.")
	command.Command("list", "Lists the targets in quarantine.").Action(func(*kingpin.ParseContext) error {
		var list []controller.QuarantinedTarget
		return c.show("/v1/quarantine", &list, func(t *table) { printQuarantine(t, list) })
	})
	set := command.Command("set", "Keeps new work off a target until the quarantine is lifted.")
	setTarget := set.Arg("target", "Id of the target.").Required().String()
	reason := set.Flag("reason", "Shown by status and explain.").Required().String()
	set.Action(func(*kingpin.ParseContext) error {
		return c.order(http.MethodPost, "/v1/quarantine/"+url.PathEscape(*setTarget), operator.QuarantineRequest{Reason: *reason},
			"target "+*setTarget+" is in quarantine")
	})
	lift := command.Command("lift", "Ends the quarantine of a target.")
	liftTarget := lift.Arg("target", "Id of the target.").Required().String()
	lift.Action(func(*kingpin.ParseContext) error {
		return c.order(http.MethodDelete, "/v1/quarantine/"+url.PathEscape(*liftTarget), nil,
			"target "+*liftTarget+" is out of quarantine")
	})
}

func printQuarantine(t *table, list []controller.QuarantinedTarget) {
	t.row("TARGET", "SET BY", "REASON")
	for _, q := range list {
		by := "scheduler"
		if q.ByOperator {
			by = "operator"
		}
		t.row(q.Target, by, q.Reason)
	}
}
