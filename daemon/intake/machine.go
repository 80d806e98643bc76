package intake

import (
	"fmt"
	"syscall"

	"golang.org/x/sys/unix"
)

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
