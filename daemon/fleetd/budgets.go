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

// listenerBudgets divides the memory for connections between the listener of callers, or of workers, operators
// and daemons, and each listener of readiness or metrics.
func (d *Daemon) listenerBudgets(descriptors int) (main, probes coreintake.ListenerBudget) {
	bytes := d.settings.ConnectionMemoryMiB << 20
	if bytes == 0 {
		bytes = intake.ConnectionBytesFor(d.settings.MemoryMiB << 20)
	}
	perProbe := int64(probeShare * float64(bytes))
	main = coreintake.PlanListener(bytes-probeListeners*perProbe, int(inboundDescriptorShare*float64(descriptors)))
	return main, coreintake.PlanListener(perProbe, maxProbeConns)
}
