package main

import (
	"github.com/alecthomas/kingpin/v2"

	"samphirepaddle.example/daemon/controller"
)

func addMembers(app *kingpin.Application, c *connection) {
	command := app.Command("members", "Shows the controllers and their roles.")
	command.Action(func(*kingpin.ParseContext) error {
		var members []controller.Member
		return c.show("/v1/members", &members, func(t *table) {
			t.row("CONTROLLER", "ADDRESS", "ROLE", "MATCH", "CHANGING")
			for _, m := range members {
				t.row(m.ID, m.PeerAddr, m.Role, m.MatchIndex, m.ChangePending)
			}
		})
	})
}
