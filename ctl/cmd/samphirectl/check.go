package main

import (
	"errors"
	"fmt"

	"github.com/alecthomas/kingpin/v2"
)

func addCheck(app *kingpin.Application, c *gatewayClient) {
	command := app.Command("check", "Checks tickets without submitting them.")
	files := command.Arg("file", "Files with one ticket each.").Required().Strings()
	command.Action(func(*kingpin.ParseContext) error { return check(c, *files) })
}

// check checks the form of the tickets and reports the errors of all files. Conditions that depend
// on the state of the system, such as whether a pool exists, are only checked on submission.
func check(c *gatewayClient, files []string) error {
	var errs []error
	for _, path := range files {
		ticket, err := readTicket(path)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		fmt.Fprintf(c.out, "%s: ticket %d by %q is well formed\n", path, ticket.Number, ticket.Author)
	}
	if len(errs) > 0 {
		return &exitError{exitRefused, errors.Join(errs...).Error()}
	}
	return nil
}
