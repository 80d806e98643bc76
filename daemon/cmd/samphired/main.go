// Command samphired is the daemon that runs on an entry VM.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"samphirepaddle.example/daemon/settings"
)

func main() {
	app := kingpin.New("samphired", "Daemon of an entry VM: gateway, and controller if the settings say so.")
	run := app.Command("run", "Run the daemon.").Default()
	check := app.Command("check", "Check a settings file and exit.")
	fleetRun := app.Command("fleet", "Run workflows on the users' platform, in the role given by the settings.")
	fleetCheck := app.Command("fleet-check", "Check a settings file of the fleet command and exit.")
	fleetPath := fleetRun.Flag("settings", "Settings file (JSON).").Required().ExistingFile()
	fleetCheckPath := fleetCheck.Flag("settings", "Settings file (JSON).").Required().ExistingFile()
	runPath := run.Flag("settings", "Settings file (JSON).").Required().ExistingFile()
	checkPath := check.Flag("settings", "Settings file (JSON).").Required().ExistingFile()
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case check.FullCommand():
		exitOnError(checkSettings(*checkPath))
	case fleetRun.FullCommand():
		exitOnError(runFleet(*fleetPath))
	case fleetCheck.FullCommand():
		exitOnError(checkFleetSettings(*fleetCheckPath))
	default:
		exitOnError(runDaemon(*runPath))
	}
}

func exitOnError(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "samphired:", err)
		os.Exit(1)
	}
}

func checkSettings(path string) error {
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	fmt.Printf("%s: settings of gateway %q are valid\n", path, s.Gateway)
	return nil
}

func runDaemon(path string) error {
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	d, err := newDaemon(s)
	if err != nil {
		return err
	}
	ctx, force := watchSignals()
	return d.run(ctx, force)
}

// watchSignals returns two contexts: the first SIGTERM or SIGINT cancels first, the second one
// cancels second.
func watchSignals() (first, second context.Context) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	first, cancelFirst := context.WithCancel(context.Background())
	second, cancelSecond := context.WithCancel(context.Background())
	go func() {
		<-signals
		cancelFirst()
		<-signals
		cancelSecond()
	}()
	return first, second
}
