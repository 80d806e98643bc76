// Command samphirectl is the operators' command line.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

// command is one sub-command: it declares itself on the application and runs if it was chosen.
type command interface {
	register(app *kingpin.Application) (name string)
	run() error
}

// commands lists the sub-commands; each has a file of its own.
func commands() []command {
	return []command{
		&targetCommand{},
	}
}

func main() {
	if err := execute(os.Args[1:], commands()); err != nil {
		fmt.Fprintln(os.Stderr, "samphirectl:", err)
		os.Exit(1)
	}
}

func execute(args []string, all []command) error {
	app := kingpin.New("samphirectl", "Operates samphirepaddle.")
	byName := map[string]command{}
	for _, c := range all {
		byName[c.register(app)] = c
	}
	name, err := app.Parse(args)
	if err != nil {
		return err
	}
	return byName[name].run()
}
