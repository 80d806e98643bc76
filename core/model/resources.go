package model

import (
	"fmt"
	"strings"
)

// Resources is an amount of each resource that a target offers or a task takes. Its CBOR keys
// are integers, because resources make up most of a gateway's reports.
type Resources struct {
	Slots        int32 `json:"slots" cbor:"1,keyasint,omitempty"`
	Connections  int32 `json:"connections" cbor:"2,keyasint,omitempty"`
	CPUMillis    int64 `json:"cpu_millis" cbor:"3,keyasint,omitempty"` // thousandths of a core
	MemoryMiB    int64 `json:"memory_mib" cbor:"4,keyasint,omitempty"` // mebibytes
	Accelerators int32 `json:"accelerators" cbor:"5,keyasint,omitempty"`
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{
		Slots:        r.Slots + o.Slots,
		Connections:  r.Connections + o.Connections,
		CPUMillis:    r.CPUMillis + o.CPUMillis,
		MemoryMiB:    r.MemoryMiB + o.MemoryMiB,
		Accelerators: r.Accelerators + o.Accelerators,
	}
}

// Sub returns r minus o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{
		Slots:        r.Slots - o.Slots,
		Connections:  r.Connections - o.Connections,
		CPUMillis:    r.CPUMillis - o.CPUMillis,
		MemoryMiB:    r.MemoryMiB - o.MemoryMiB,
		Accelerators: r.Accelerators - o.Accelerators,
	}
}

// Max returns the greater amount of each resource.
func (r Resources) Max(o Resources) Resources {
	return Resources{
		Slots:        max(r.Slots, o.Slots),
		Connections:  max(r.Connections, o.Connections),
		CPUMillis:    max(r.CPUMillis, o.CPUMillis),
		MemoryMiB:    max(r.MemoryMiB, o.MemoryMiB),
		Accelerators: max(r.Accelerators, o.Accelerators),
	}
}

// Fits reports whether r fits into free.
func (r Resources) Fits(free Resources) bool {
	return r.Slots <= free.Slots &&
		r.Connections <= free.Connections &&
		r.CPUMillis <= free.CPUMillis &&
		r.MemoryMiB <= free.MemoryMiB &&
		r.Accelerators <= free.Accelerators
}

// Shortfall lists each resource of which r needs more than is free, with both amounts. It is
// empty if r fits.
func (r Resources) Shortfall(free Resources) string {
	var parts []string
	add := func(name string, want, have int64) {
		if want > have {
			parts = append(parts, fmt.Sprintf("%s: need %d, free %d", name, want, have))
		}
	}
	add("slots", int64(r.Slots), int64(free.Slots))
	add("connections", int64(r.Connections), int64(free.Connections))
	add("cpu_millis", r.CPUMillis, free.CPUMillis)
	add("memory_mib", r.MemoryMiB, free.MemoryMiB)
	add("accelerators", int64(r.Accelerators), int64(free.Accelerators))
	return strings.Join(parts, "; ")
}

// Negative reports whether any amount is below zero.
func (r Resources) Negative() bool {
	return r.Slots < 0 || r.Connections < 0 || r.CPUMillis < 0 || r.MemoryMiB < 0 || r.Accelerators < 0
}

// ReplaceZeros returns r with its zero amounts replaced by those of held. Applied to a quota, in
// which zero means no limit, it gives a quota that held cannot exceed in these resources.
func (r Resources) ReplaceZeros(held Resources) Resources {
	if r.Slots == 0 {
		r.Slots = held.Slots
	}
	if r.Connections == 0 {
		r.Connections = held.Connections
	}
	if r.CPUMillis == 0 {
		r.CPUMillis = held.CPUMillis
	}
	if r.MemoryMiB == 0 {
		r.MemoryMiB = held.MemoryMiB
	}
	if r.Accelerators == 0 {
		r.Accelerators = held.Accelerators
	}
	return r
}
