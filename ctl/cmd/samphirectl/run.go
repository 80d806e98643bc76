package main

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// Exit codes.
const (
	exitOK         = 0
	exitFailed     = 1 // any other error, such as a usage error or no response from any gateway
	exitRefused    = 2 // the request or ticket was refused; it changed nothing
	exitNotInForce = 3 // the ticket is accepted, but not known to be in force within the wait time
)

// exitError is an error with an exit code other than exitFailed.
type exitError struct {
	code int
	text string
}

func (e *exitError) Error() string { return e.text }

// refusedf returns an exitError with the code exitRefused.
func refusedf(format string, args ...any) error {
	return &exitError{exitRefused, fmt.Sprintf(format, args...)}
}

// run executes one command line and returns the exit code.
func run(arguments []string, out, errOut io.Writer) int {
	c := &gatewayClient{out: out}
	app := kingpin.New("samphirectl", "Operates samphirepaddle.")
	app.Terminate(nil)
	app.UsageWriter(errOut)
	app.ErrorWriter(errOut)
	app.Flag("gateway", "Public address of a gateway; repeat it for failover.").
		Envar("SAMPHIRE_GATEWAY").Default("127.0.0.1:8080").StringsVar(&c.gateways)
	app.Flag("timeout", "Time limit of one call, over all gateways.").Default("10s").DurationVar(&c.timeout)
	app.Flag("json", "Print the responses as JSON.").BoolVar(&c.jsonOutput)
	for _, add := range commands {
		add(app, c)
	}
	if _, err := app.Parse(arguments); err != nil {
		fmt.Fprintf(errOut, "samphirectl: %v\n", err)
		var exit *exitError
		if errors.As(err, &exit) {
			return exit.code
		}
		return exitFailed
	}
	return exitOK
}

// retryInterval is the delay before the next attempt after all gateways have failed.
const retryInterval = 100 * time.Millisecond
