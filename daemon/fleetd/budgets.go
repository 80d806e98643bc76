package fleetd

import (
	coreintake "samphirepaddle.example/core/intake"
	"samphirepaddle.example/daemon/intake"
)

// maxProbeConns bounds the connections to the listeners of readiness and of metrics.
const maxProbeConns = 32

// probeListeners is the most listeners of readiness and metrics that a daemon has.
const probeListeners = 2

// probeShare is the part of the memory for connections that each of these listeners has.
const probeShare = 1.0 / 16

// mainBudget is that of the listener of callers, or of workers, operators and daemons.
func (d *Daemon) mainBudget(descriptors int) coreintake.ListenerBudget {
	bytes := d.connectionBytes()
	probes := int64(probeListeners * probeShare * float64(bytes))
	return coreintake.PlanListener(bytes-probes, int(inboundDescriptorShare*float64(descriptors)))
}

// probeBudget is that of a listener of readiness or of metrics.
func (d *Daemon) probeBudget() coreintake.ListenerBudget {
	return coreintake.PlanListener(int64(probeShare*float64(d.connectionBytes())), maxProbeConns)
}

// connectionBytes is the memory for the connections of all listeners.
func (d *Daemon) connectionBytes() int64 {
	if d.settings.ConnectionMemoryMiB > 0 {
		return d.settings.ConnectionMemoryMiB << 20
	}
	return intake.ConnectionBytesFor(d.settings.MemoryMiB << 20)
}
