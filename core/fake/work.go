package fake

import (
	"fmt"
	"slices"

	"samphirepaddle.example/core/model"
)

const (
	wrongSizeShare = 0.15 // of jobs declare a tenth of the true value, and as many ten times the value
	failsAllShare  = 0.01 // of jobs fail on every worker
	urgentShare    = 0.01
	evictSeconds   = 2 // from the eviction order to the confirmed stop
	noiseFactor    = 4.0
	noiseShare     = 0.10 // of running tasks become noisy in each wave
	noiseSeconds   = 90
	cancelShare    = 0.20 // of unfinished jobs are cancelled in each wave
)

// arrivals returns the jobs submitted in this second. In the first 200 of every 500 seconds, a
// simulated night, the arrival rate exceeds the capacity of the site.
func (w *World) arrivals() []*job {
	slots := float64(w.Site.Workers) * float64(w.Site.Capacity.Slots-w.Site.KeptSlots)
	rate := slots / 150 * 0.75
	if w.now%500 < 200 {
		rate *= 1.8
	}
	var out []*job
	for w.sharedRNG.Float64() < rate-float64(len(out)) || float64(len(out)+1) <= rate {
		out = append(out, w.makeJob())
	}
	return out
}

func (w *World) makeJob() *job {
	k := w.sharedRNG.IntN(numKinds)
	spec := &w.kinds[k]
	w.nextJob++
	jitter := 0.8 + 0.4*w.sharedRNG.Float64()
	size := model.Resources{
		Slots:        1,
		Connections:  1,
		CPUMillis:    int64(spec.cpu * jitter * float64(w.Site.Capacity.CPUMillis)),
		MemoryMiB:    int64(spec.memory * jitter * float64(w.Site.Capacity.MemoryMiB)),
		Accelerators: spec.accelerators,
	}
	j := &job{
		kind:     k,
		size:     size,
		work:     spec.runSeconds * (0.5 + w.sharedRNG.Float64()),
		failsAll: w.sharedRNG.Float64() < failsAllShare,
	}
	for i := range j.cancelDraws {
		j.cancelDraws[i] = w.sharedRNG.Float64()
	}
	j.spec = model.JobSpec{
		ID:       model.JobID(fmt.Sprintf("job-%05d", w.nextJob)),
		Tenant:   model.TenantID(fmt.Sprint("tenant-", w.sharedRNG.IntN(numTenants))),
		Pool:     Pool,
		Class:    model.ClassBatch,
		Kind:     spec.name,
		Declared: w.declaredSize(size),
		Urgent:   w.sharedRNG.Float64() < urgentShare,
	}
	j.spec.RunTimeMs = model.Millis(j.work * 1000 * w.declarationError())
	w.jobs[j.spec.ID] = j
	w.order = append(w.order, j)
	return j
}

func (w *World) declaredSize(size model.Resources) model.Resources {
	factor := w.declarationError()
	size.CPUMillis = int64(float64(size.CPUMillis) * factor)
	size.MemoryMiB = int64(float64(size.MemoryMiB) * factor)
	return size
}

// declarationError returns the ratio of a declared to the true value.
func (w *World) declarationError() float64 {
	switch x := w.sharedRNG.Float64(); {
	case x < wrongSizeShare:
		return 0.1
	case x < 2*wrongSizeShare:
		return 10
	default:
		return 0.9 + 0.2*w.sharedRNG.Float64()
	}
}

// startTask starts an attempt. It returns false if the job has ended or is running, or the target
// is unknown or lost.
func (w *World) startTask(id model.AttemptID, target model.TargetID) bool {
	j, v := w.jobs[id.Job], w.byID[target]
	if j == nil || j.ended || j.openTask != nil || v == nil || v.lost {
		return false
	}
	t := &task{job: j, id: id, worker: v, started: w.now, level: 1, noise: 1}
	if v.broken || j.failsAll {
		t.failAt = w.now + 1 + w.placementRNG.IntN(2)
	}
	j.openTask = t
	j.attempts++
	if w.afterWarmUp() {
		w.result.Started++
	}
	v.tasks = append(v.tasks, t)
	w.tasks[id] = t
	return true
}

// closeTask ends an attempt. If keepProgress is set, its progress is added to the job's; otherwise
// it is counted as lost work.
func (w *World) closeTask(t *task, keepProgress bool) {
	v := t.worker
	v.tasks = slices.DeleteFunc(v.tasks, func(o *task) bool { return o == t })
	delete(w.tasks, t.id)
	t.job.openTask = nil
	if keepProgress {
		t.job.savedProgress += t.progress
		return
	}
	w.countLostWork(t.progress)
}

func (w *World) countPreemption() {
	if w.afterWarmUp() {
		w.result.Preempted++
	}
}

func (w *World) countLostWork(seconds float64) {
	if w.afterWarmUp() {
		w.result.WorkLost += seconds
		w.result.Work -= seconds
	}
}

// afterWarmUp reports whether this second counts in the results.
func (w *World) afterWarmUp() bool { return w.now >= warmUpSeconds }

// advance simulates one second of progress of every task and returns the tasks that ended.
func (w *World) advance() []End {
	var ends []End
	for _, v := range w.workers {
		ends = w.killOverrun(v, ends)
		var cpu float64
		for _, t := range v.tasks {
			cpu += float64(t.job.size.CPUMillis) * t.level
		}
		speed := min(1, float64(v.capacity.CPUMillis)/max(cpu, 1))
		for _, t := range slices.Clone(v.tasks) {
			if t.noisyTo <= w.now {
				t.noise = 1
			}
			t.progress += t.level * speed
			if w.afterWarmUp() {
				w.result.Work += t.level * speed
			}
			if end, ok := w.endIfDue(t); ok {
				ends = append(ends, end)
			}
		}
	}
	return ends
}

// endIfDue ends a task that has finished or failed, or whose eviction is complete.
func (w *World) endIfDue(t *task) (End, bool) {
	end := End{Attempt: t.id, Target: t.worker.id}
	switch {
	case t.job.savedProgress+t.progress >= t.job.work:
		end.Outcome = EndFinished
		w.closeTask(t, true)
		t.job.ended = true
		w.result.Finished++
	case t.failAt > 0 && w.now >= t.failAt:
		end.Outcome = EndFailed
		w.closeTask(t, false)
	case t.evictAt > 0 && w.now >= t.evictAt:
		end.Outcome = EndEvicted
		w.finishEviction(t)
	default:
		return end, false
	}
	return end, true
}

// finishEviction ends an evicted task. If its class can be checkpointed, only the progress since
// the last checkpoint is lost.
func (w *World) finishEviction(t *task) {
	spec := &w.kinds[t.job.kind]
	w.closeTask(t, spec.checkpoint)
	if spec.checkpoint {
		lost := min(spec.checkpointSec, t.job.savedProgress)
		t.job.savedProgress -= lost
		w.countLostWork(lost)
	}
	if w.afterWarmUp() {
		w.result.Evictions++
	}
}

// killOverrun fails the tasks that exceed their declared memory most until the worker's memory
// suffices for the rest.
func (w *World) killOverrun(v *worker, ends []End) []End {
	for {
		var used int64
		var worst *task
		for _, t := range v.tasks {
			used += t.job.size.MemoryMiB
			if worst == nil || t.overrun() > worst.overrun() {
				worst = t
			}
		}
		if used <= v.capacity.MemoryMiB || worst == nil {
			return ends
		}
		w.closeTask(worst, false)
		w.result.OutOfMemory++
		ends = append(ends, End{Attempt: worst.id, Target: v.id, Outcome: EndFailed})
	}
}

// overrun returns the memory used beyond the declared memory, in MiB.
func (t *task) overrun() int64 { return t.job.size.MemoryMiB - t.job.spec.Declared.MemoryMiB }

// applyEvents applies the events of this second. It returns the resulting ends of tasks, the
// cancelled jobs, and the targets that were lost or have returned.
func (w *World) applyEvents() (ends []End, cancelled []model.JobID, lost, returned []model.TargetID) {
	e := &w.events
	if slices.Contains(e.noiseWaves, w.now) {
		w.startNoise()
	}
	if wave := slices.Index(e.cancelWaves, w.now); wave >= 0 {
		cancelled = w.cancelWave(wave)
	}
	for _, v := range w.workers {
		if v.zone != e.zone {
			continue
		}
		if w.now == e.zoneLost {
			v.lost = true
			lost = append(lost, v.id)
			for _, t := range slices.Clone(v.tasks) {
				w.closeTask(t, false)
				ends = append(ends, End{Attempt: t.id, Target: v.id, Outcome: EndLost})
			}
		}
		if w.now == e.zoneBack {
			v.lost = false
			returned = append(returned, v.id)
		}
	}
	return ends, cancelled, lost, returned
}

func (w *World) startNoise() {
	for _, v := range w.workers {
		for _, t := range v.tasks {
			if w.placementRNG.Float64() < noiseShare {
				t.noise = noiseFactor
				t.noisyTo = w.now + noiseSeconds
			}
		}
	}
}

func (w *World) cancelWave(wave int) []model.JobID {
	var out []model.JobID
	for _, j := range w.order {
		if j.ended || j.cancelDraws[wave] >= cancelShare {
			continue
		}
		j.ended = true
		if j.openTask != nil {
			w.closeTask(j.openTask, true)
		}
		out = append(out, j.spec.ID)
	}
	return out
}
