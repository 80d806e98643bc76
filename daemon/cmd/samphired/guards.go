package main

import (
	"runtime/debug"

	coreintake "samphirepaddle.example/core/intake"
	"samphirepaddle.example/daemon/gateway"
	"samphirepaddle.example/daemon/intake"
)

// Shares of the descriptors of a process. The rest is for state files and for connections to targets and other
// daemons.
const (
	publicDescriptorShare = 0.3
	peerDescriptorShare   = 0.1
	maxPeerConnections    = 1024
)

// heapShare is the part of the machine's memory above which the garbage collector runs more often.
const heapShare = 0.6

// listenerBudgets is what the connections of the listeners may hold.
type listenerBudgets struct{ public, peer coreintake.ListenerBudget }

// buildGuards divides memory and descriptors between the listeners. Half of the memory for connections is the peers',
// so that a crowd of callers leaves the group its own.
func (d *daemon) buildGuards() error {
	descriptors, err := intake.DescriptorLimit()
	if err != nil {
		return err
	}
	if machine := intake.MachineBytes(); machine > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(machine)))
	}
	bodies := orDefault(d.settings.BodyMemoryMiB<<20, intake.BodyBytesFor(0))
	connections := orDefault(d.settings.ConnectionMemoryMiB<<20, intake.ConnectionBytesFor(0))
	d.budgets = listenerBudgets{
		public: coreintake.PlanListener(connections/2, min(d.settings.MaxConnections, int(publicDescriptorShare*float64(descriptors)))),
		peer:   coreintake.PlanListener(connections/2, min(maxPeerConnections, int(peerDescriptorShare*float64(descriptors)))),
	}
	// Refusals on both listeners say that the request has not run.
	d.publicGuard = intake.New(intake.Options{
		BodyBytes: bodies, Listener: d.budgets.public, Logger: d.logger, Refusal: refusalResponse, Refuse: gateway.RefuseForMemory,
	})
	d.peerGuard = intake.New(intake.Options{BodyBytes: bodies, Listener: d.budgets.peer, Logger: d.logger, Refuse: gateway.RefusePeerForMemory})
	return nil
}

func orDefault(value, byDefault int64) int64 {
	if value != 0 {
		return value
	}
	return byDefault
}
