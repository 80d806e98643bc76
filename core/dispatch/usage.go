package dispatch

// Capacity is the capacity of a number of workers and what the attempts there hold of it.
type Capacity struct {
	CPUMillis     int64
	MemoryMiB     int64
	ReservedCPU   int64 // in millicores
	BestEffortCPU int64 // declared by best-effort tasks, which reserve none
	UsedMemory    int64 // in MiB
}

func (c *Capacity) add(w *Worker) {
	c.CPUMillis += w.CPUMillis
	c.MemoryMiB += w.MemoryMiB
	load := w.load()
	c.UsedMemory += load.MemoryMiB
	c.BestEffortCPU += load.BestEffortCPU
	c.ReservedCPU += load.ReservedCPU
}

// CPUShare returns the share of the CPU that is reserved or declared by best-effort tasks.
func (c *Capacity) CPUShare() float64 {
	return float64(c.ReservedCPU+c.BestEffortCPU) / float64(max(1, c.CPUMillis))
}

// ReservedShare returns the share of the CPU that is reserved.
func (c *Capacity) ReservedShare() float64 {
	return float64(c.ReservedCPU) / float64(max(1, c.CPUMillis))
}

// Usage sums up the workers of one service.
type Usage struct {
	Workers  int
	Usable   int // on which new tasks may start
	Isolated int // usable, but for a suspect that has just started there
	All      Capacity
	OnUsable Capacity
}

// UsageByService returns the usage of each service with a worker in the snapshot.
func UsageByService(p *Snapshot) map[string]*Usage {
	usages := map[string]*Usage{}
	for _, w := range p.Workers {
		u := usages[w.Service]
		if u == nil {
			u = &Usage{}
			usages[w.Service] = u
		}
		u.Workers++
		u.All.add(w)
		if !w.Usable {
			continue
		}
		u.Usable++
		u.OnUsable.add(w)
		if w.Isolated {
			u.Isolated++
		}
	}
	return usages
}

// MostlyFree reports whether under half of the CPU is in use, of all workers or of the usable ones. The
// two differ when many workers are lost or quarantined, and a task that waits beside either is in doubt.
func (u *Usage) MostlyFree() bool {
	return u.All.CPUShare() < idleUtilization || (u.Usable > 0 && u.OnUsable.CPUShare() < idleUtilization)
}

// MostlyUnreserved reports whether under half of the CPU is reserved, of all workers or of the usable ones.
func (u *Usage) MostlyUnreserved() bool {
	return u.All.ReservedShare() < idleUtilization || (u.Usable > 0 && u.OnUsable.ReservedShare() < idleUtilization)
}
