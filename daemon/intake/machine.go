package intake

import (
	"fmt"
	"syscall"

	"golang.org/x/sys/unix"
)

// Most memory of a process that is not told how much it has; other programs may run on its machine.
const (
	defaultBodyBytes       = 32 << 20  // for request bodies
	defaultConnectionBytes = 128 << 20 // for connections
)

// memoryShare is the part of a process's memory for request bodies, and the part for connections.
const memoryShare = 0.2

// BodyBytesFor returns the part of a process's memory that request bodies may take. Zero means that its memory is not known.
func BodyBytesFor(memoryBytes int64) int64 {
	return shareOf(memoryBytes, MachineBytes(), defaultBodyBytes)
}

// ConnectionBytesFor returns the part of a process's memory that the kernel may take for its connections. Zero means that
// its memory is not known.
func ConnectionBytesFor(memoryBytes int64) int64 {
	return shareOf(memoryBytes, MachineBytes(), defaultConnectionBytes)
}

// shareOf returns a part of the memory of a process, or else a part of that of its machine, within a limit.
func shareOf(process, machine, limit int64) int64 {
	switch {
	case process > 0:
		return int64(memoryShare * float64(process))
	case machine > 0:
		return min(limit, int64(memoryShare*float64(machine)))
	}
	return limit
}

// MachineBytes returns the memory of the machine, or 0 if it cannot be found out.
func MachineBytes() int64 {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return 0
	}
	return int64(uint64(info.Totalram) * uint64(info.Unit))
}

// DescriptorLimit returns how many descriptors this process may open.
func DescriptorLimit() (int, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0, fmt.Errorf("read the descriptor limit: %w", err)
	}
	const maxLimit = 1 << 20 // of the processes on any VM; also covers an unlimited one
	return int(min(limit.Cur, maxLimit)), nil
}
