package main

import "time"

// finishS is the time after the end of the traffic from which on no job may wait beside free capacity.
const (
	finishS  = 14 * time.Second
	idleTime = 3 * time.Second
)

// waitsBesideRoom reports whether nothing of a job runs, although the first step may start, under half of the capacity is in use and
// there is room for a task of it twice over.
func (w *world) waitsBesideRoom(j *job) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expireAll()
	if w.allDone(j) {
		return false
	}
	s := &j.Steps[0]
	total, used, room := int64(0), int64(0), int64(0)
	for _, k := range w.workers {
		if !k.up || k.cut || k.draining {
			continue
		}
		cpu, mem := k.cpu, k.mem
		for _, r := range k.running {
			if r.job == j {
				return false
			}
			cpu -= r.job.Steps[r.step].CPU
			mem -= r.job.Steps[r.step].Mem
		}
		total += k.cpu
		used += k.cpu - cpu
		room += min(cpu/max(1, s.CPU), mem/max(1, s.Mem))
	}
	return 2*used < total && room >= 2
}

// checkIdle watches the jobs for some seconds, from finishS after the end of the traffic on.
func (w *world) checkIdle(jobs []*job, lastSent time.Time, watch time.Duration) {
	time.Sleep(time.Until(lastSent.Add(finishS)))
	since, told := map[*job]time.Time{}, map[*job]bool{}
	for end := time.Now().Add(watch); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, j := range jobs {
			switch at, waits := since[j]; {
			case !w.waitsBesideRoom(j):
				delete(since, j)
			case !waits:
				since[j] = time.Now()
			case time.Since(at) > idleTime && !told[j]:
				told[j] = true
				w.mu.Lock()
				w.violate("LOST", "nothing of job %s has run for 3 s, %v after it was accepted, while under half of the capacity is in use", j.ID,
					time.Since(j.accepted).Round(time.Second))
				w.mu.Unlock()
			}
		}
	}
}
