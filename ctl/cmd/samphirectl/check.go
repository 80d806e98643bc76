package main

import (
	"errors"
	"fmt"

	"github.com/alecthomas/kingpin/v2"
)

func addCheck(app *kingpin.Application, c *connection) {
	command := app.Command("check", "Checks tickets without submitting them.")
	files := command.Arg("file", "Files with one ticket each.").Required().Strings()
	command.Action(func(*kingpin.ParseContext) error { return check(c, *files) })
}

// check reports every file. What depends on the state, such as whether a pool exists, is
// decided only when the ticket is submitted.
func check(c *connection, files []string) error {
	var failures []error
	for _, path := range files {
		ticket, err := readTicket(path)
		if err != nil {
			failures = append(failures, err)
			continue
		}
		fmt.Fprintf(c.out, "%s: ticket %d by %q is well formed\n", path, ticket.Number, ticket.Author)
	}
	if len(failures) > 0 {
		return &exitError{exitRefused, errors.Join(failures...).Error()}
	}
	return nil
}
