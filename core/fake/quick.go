package fake

import (
	"math"

	"samphirepaddle.example/core/model"
)

const (
	requestJitter = 0.25 // standard deviation of the logarithm of a request's own time
	reportSeconds = 5
	missingShare  = 0.03 // of reports never arrive
	lateShare     = 0.02 // of reports are one to four minutes late
	absurdShare   = 0.01 // of reports are impossible
	reportNoise   = 0.03 // relative standard deviation of a reported mean
)

// quickWork routes the quick requests of this second and measures them.
func (w *World) quickWork(route Router) {
	for _, v := range w.workers {
		v.requests = [numServices]int{}
		v.offeredUs = 0
	}
	owned := w.owned()
	for s := range services {
		expected := w.loadAt(s) * samplesPerWorker / numServices * float64(w.Site.Workers)
		count := int(expected + w.drawn.Float64())
		for range count {
			g := w.drawn.IntN(len(owned))
			for len(owned[g]) == 0 {
				g = (g + 1) % len(owned)
			}
			v := owned[g][route(services[s].id, s, owned[g])]
			v.requests[s]++
			v.offeredUs += sampleWeight * services[s].baseUs
		}
	}
	for _, v := range w.workers {
		w.serve(v)
	}
}

func (w *World) owned() [][]*worker {
	out := make([][]*worker, w.Site.Gateways)
	for _, v := range w.workers {
		if !v.lost {
			out[v.gateway] = append(out[v.gateway], v)
		}
	}
	return out
}

// usualRequests is the number of drawn requests of one service per worker at load 1.
const usualRequests = float64(samplesPerWorker) / numServices

// serve computes the latency of the requests that a worker got in this second.
func (w *World) serve(v *worker) {
	busyUs, idleUs := 0.0, 0.0
	for s, n := range v.requests {
		load := float64(n) / usualRequests
		v.slow[s] = w.slowdown(v, s, load, true)
		offered := float64(n) * sampleWeight * services[s].baseUs
		idleUs += offered
		busyUs += offered * v.slow[s]
	}
	queue := queueFactor(busyUs/1e6, v.quickSlots())
	alone := queueFactor(idleUs/1e6, float64(v.capacity.Slots))
	for s, n := range v.requests {
		if n == 0 {
			continue
		}
		latency := services[s].baseUs * v.slow[s] * queue
		v.window[s].latencyUs += latency * float64(n)
		v.window[s].requests += n
		if w.measured() {
			w.measure(s, n, v.slow[s]*queue/alone, latency)
		}
	}
}

func (w *World) measure(s, n int, ratio, latencyUs float64) {
	for range n {
		jitter := math.Exp(requestJitter * w.drawn.NormFloat64())
		late := latencyUs*jitter > deadlineFactor*services[s].baseUs
		w.result.addCheck(ratio, late)
	}
}

// sendReports puts the reports of this second on their way. Workers report in turn.
func (w *World) sendReports() {
	for i, v := range w.workers {
		if (w.now+i)%reportSeconds != 0 {
			continue
		}
		for s := range v.window {
			if v.window[s].requests > 0 && !v.lost {
				w.send(v, w.quickReport(v, s))
			}
			v.window[s] = window{}
		}
		for _, t := range v.tasks {
			if w.now-t.started >= reportSeconds {
				w.send(v, w.taskReport(t))
			}
		}
	}
}

func (w *World) interval() (from, to model.Millis) {
	return model.Millis(w.now+1-reportSeconds) * stepMs, model.Millis(w.now+1) * stepMs
}

func (w *World) quickReport(v *worker, s int) model.UsageReport {
	from, to := w.interval()
	mean := v.window[s].latencyUs / float64(v.window[s].requests)
	return model.UsageReport{
		Service:   services[s].id,
		FromMs:    from,
		ToMs:      to,
		LatencyUs: int64(mean * (1 + reportNoise*w.drawn.NormFloat64())),
		Requests:  int64(float64(v.window[s].requests) * sampleWeight),
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
		ProgressPct: 100 * (t.job.done + t.progress) / t.job.work,
	}
}

// send delivers a report after its worker's lag, or loses, delays or spoils it.
func (w *World) send(v *worker, report model.UsageReport) {
	x := w.drawn.Float64()
	lag := int(v.lagSec + 2*w.drawn.Float64())
	switch {
	case x < missingShare:
		return
	case x < missingShare+lateShare:
		lag += 60 + w.drawn.IntN(180)
	case x < missingShare+lateShare+absurdShare:
		report = w.spoil(report)
	}
	w.mail[w.now+lag] = append(w.mail[w.now+lag], delivery{w.now + lag, v.id, report})
}

func (w *World) spoil(report model.UsageReport) model.UsageReport {
	switch w.drawn.IntN(4) {
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
