package main

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// The exit codes.
const (
	exitOK         = 0
	exitFailed     = 1 // wrong usage, or no gateway answered
	exitRefused    = 2 // the system refused the request; nothing was changed
	exitNotInForce = 3 // the ticket is accepted but was not in force in time
)

// exitError carries an exit code other than exitFailed.
type exitError struct {
	code int
	text string
}

func (e *exitError) Error() string { return e.text }

func refusedf(format string, args ...any) error {
	return &exitError{exitRefused, fmt.Sprintf(format, args...)}
}

// run executes one command line and returns the exit code.
func run(arguments []string, out, problems io.Writer) int {
	c := &connection{out: out}
	app := kingpin.New("samphirectl", "Operates samphirepaddle.")
	app.Terminate(nil)
	app.UsageWriter(problems)
	app.ErrorWriter(problems)
	app.Flag("gateway", "Public address of an entry VM; repeat it for failover.").
		Envar("SAMPHIRE_GATEWAY").Default("127.0.0.1:8080").StringsVar(&c.gateways)
	app.Flag("timeout", "Longest time for one call, over all gateways.").Default("10s").DurationVar(&c.timeout)
	app.Flag("json", "Print the answers as JSON.").BoolVar(&c.json)
	for _, add := range subCommands {
		add(app, c)
	}
	if _, err := app.Parse(arguments); err != nil {
		fmt.Fprintf(problems, "samphirectl: %v\n", err)
		var exit *exitError
		if errors.As(err, &exit) {
			return exit.code
		}
		return exitFailed
	}
	return exitOK
}

// retryPause is the pause after every gateway was tried.
const retryPause = 100 * time.Millisecond
