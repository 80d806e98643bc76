package fake

import (
	"math"

	"samphirepaddle.example/core/model"
)

const (
	requestJitter = 0.25 // standard deviation of the logarithm of a request's latency
	reportSeconds = 5
	missingShare  = 0.03 // of reports are lost
	lateShare     = 0.02 // of reports are one to four minutes late
	corruptShare  = 0.01 // of reports have invalid values
	reportNoise   = 0.03 // relative standard deviation of a reported mean
)

// simulateQuick routes the quick requests of this second and computes their latency.
func (w *World) simulateQuick(route Router) {
	for _, v := range w.workers {
		v.requests = [numServices]int{}
		v.offeredUs = 0
	}
	owned := w.workersByGateway()
	for s := range services {
		expected := w.loadAt(s) * samplesPerWorker / numServices * float64(w.Site.Workers)
		count := int(expected + w.placementRNG.Float64())
		for range count {
			g := w.placementRNG.IntN(len(owned))
			for len(owned[g]) == 0 {
				g = (g + 1) % len(owned)
			}
			v := owned[g][route(services[s].id, s, owned[g])]
			v.requests[s]++
			v.offeredUs += sampleWeight * services[s].baseUs
		}
	}
	for _, v := range w.workers {
		w.computeLatency(v)
	}
}

// workersByGateway returns the workers of each gateway that are not lost.
func (w *World) workersByGateway() [][]*worker {
	out := make([][]*worker, w.Site.Gateways)
	for _, v := range w.workers {
		if !v.lost {
			out[v.gateway] = append(out[v.gateway], v)
		}
	}
	return out
}

// requestsAtFullLoad is the number of simulated requests per service, worker and second at load 1.
const requestsAtFullLoad = float64(samplesPerWorker) / numServices

// computeLatency computes the latency of the requests that a worker received in this second.
func (w *World) computeLatency(v *worker) {
	busyUs, baseBusyUs := 0.0, 0.0
	for s, n := range v.requests {
		load := float64(n) / requestsAtFullLoad
		v.slowdowns[s] = w.slowdown(v, s, load, true)
		offered := float64(n) * sampleWeight * services[s].baseUs
		baseBusyUs += offered
		busyUs += offered * v.slowdowns[s]
	}
	queue := queueFactor(busyUs/1e6, v.quickSlots())
	baseQueue := queueFactor(baseBusyUs/1e6, float64(v.capacity.Slots))
	for s, n := range v.requests {
		if n == 0 {
			continue
		}
		latency := services[s].baseUs * v.slowdowns[s] * queue
		v.windows[s].latencyUs += latency * float64(n)
		v.windows[s].requests += n
		if w.afterWarmUp() {
			w.recordRequests(s, n, v.slowdowns[s]*queue/baseQueue, latency)
		}
	}
}

// recordRequests adds n requests with random jitter to the result.
func (w *World) recordRequests(s, n int, ratio, latencyUs float64) {
	for range n {
		jitter := math.Exp(requestJitter * w.placementRNG.NormFloat64())
		late := latencyUs*jitter > deadlineFactor*services[s].baseUs
		w.result.addRequest(ratio, late)
	}
}

// sendReports sends the reports of this second. Each worker reports every reportSeconds, staggered
// by its index.
func (w *World) sendReports() {
	for i, v := range w.workers {
		if (w.now+i)%reportSeconds != 0 {
			continue
		}
		for s := range v.windows {
			if v.windows[s].requests > 0 && !v.lost {
				w.send(v, w.quickReport(v, s))
			}
			v.windows[s] = latencyWindow{}
		}
		for _, t := range v.tasks {
			if w.now-t.started >= reportSeconds {
				w.send(v, w.taskReport(t))
			}
		}
	}
}

// interval returns the interval that a report of this second covers.
func (w *World) interval() (from, to model.Millis) {
	return model.Millis(w.now+1-reportSeconds) * stepMs, model.Millis(w.now+1) * stepMs
}

func (w *World) quickReport(v *worker, s int) model.UsageReport {
	from, to := w.interval()
	mean := v.windows[s].latencyUs / float64(v.windows[s].requests)
	return model.UsageReport{
		Service:   services[s].id,
		FromMs:    from,
		ToMs:      to,
		LatencyUs: int64(mean * (1 + reportNoise*w.placementRNG.NormFloat64())),
		Requests:  int64(float64(v.windows[s].requests) * sampleWeight),
	}
}

func (w *World) taskReport(t *task) model.UsageReport {
	from, to := w.interval()
	used := t.job.size
	used.CPUMillis = int64(float64(used.CPUMillis) * t.level)
	return model.UsageReport{
		Attempt:     t.id,
		FromMs:      from,
		ToMs:        to,
		Used:        used,
		ProgressPct: 100 * (t.job.savedProgress + t.progress) / t.job.work,
	}
}

// send schedules the delivery of a report after the worker's lag. At random it drops, further
// delays or corrupts the report.
func (w *World) send(v *worker, report model.UsageReport) {
	x := w.placementRNG.Float64()
	lag := int(v.lagSec + 2*w.placementRNG.Float64())
	switch {
	case x < missingShare:
		return
	case x < missingShare+lateShare:
		lag += 60 + w.placementRNG.IntN(180)
	case x < missingShare+lateShare+corruptShare:
		report = w.corrupt(report)
	}
	w.deliveries[w.now+lag] = append(w.deliveries[w.now+lag], delivery{w.now + lag, v.id, report})
}

// corrupt replaces values of a report by invalid ones.
func (w *World) corrupt(report model.UsageReport) model.UsageReport {
	switch w.placementRNG.IntN(4) {
	case 0:
		report.LatencyUs = -report.LatencyUs
		report.Used.CPUMillis = -1 - report.Used.CPUMillis
	case 1:
		report.LatencyUs *= 1_000_000
		report.Used.MemoryMiB *= 1_000_000
	case 2:
		report.FromMs += 3_600_000
		report.ToMs += 3_600_000
	default:
		report.ToMs = report.FromMs - 1
	}
	return report
}
