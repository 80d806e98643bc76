package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"samphirepaddle.example/daemon/fleetd"
	"samphirepaddle.example/daemon/settings"
	"samphirepaddle.example/platform"
)

// runFleet runs the workflow daemon on the users' platform until a shutdown signal.
func runFleet(path string) error {
	ctx, force := watchSignals()
	return fleetd.Run(ctx, force, watchReload(), path, platform.Adapter{})
}

// watchReload returns a channel that receives a value for each SIGHUP, to reload the settings.
func watchReload() <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	reload := make(chan struct{})
	go func() {
		for range signals {
			reload <- struct{}{}
		}
	}()
	return reload
}

func checkFleetSettings(path string) error {
	s, err := settings.LoadFleet(path)
	if err != nil {
		return err
	}
	fmt.Printf("%s: settings of %s %q are valid\n", path, s.Role, s.ID)
	return nil
}
