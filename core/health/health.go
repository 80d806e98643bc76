// Package health splits the blame for failed tasks between the job and the target.
//
// A worker that fails everything is always free and would attract all work. Failures of
// many different jobs on one target are the target's: it is quarantined and gets one probe
// at a time. Failures of one job on several targets that run other work are the job's.
package health

import (
	"cmp"
	"fmt"
	"slices"

	"samphirepaddle.example/core/model"
)

// Config sets the thresholds. Zero fields take the defaults.
type Config struct {
	DistinctJobs   int          // different jobs that must fail on a target in a row; default 3
	DistinctTarget int          // healthy targets on which a job must fail; default 3
	WindowMs       model.Millis // age up to which failures count; default 10 minutes
	ProbeMs        model.Millis // wait before the first probe; it doubles after each failed one; default 15 s
	MaxProbeMs     model.Millis // longest wait between probes; default 10 minutes
	ProbePasses    int          // probes in a row that must pass; default 2
}

func (c Config) withDefaults() Config {
	c.DistinctJobs = cmp.Or(c.DistinctJobs, 3)
	c.DistinctTarget = cmp.Or(c.DistinctTarget, 3)
	c.WindowMs = cmp.Or(c.WindowMs, 10*60*1000)
	c.ProbeMs = cmp.Or(c.ProbeMs, 15*1000)
	c.MaxProbeMs = cmp.Or(c.MaxProbeMs, 10*60*1000)
	c.ProbePasses = cmp.Or(c.ProbePasses, 2)
	return c
}

// Change is a decision of the tracker that the caller has to carry out.
type Change struct {
	Target     model.TargetID // set if the quarantine of a target changes
	Quarantine bool
	Job        model.JobID // set if a job is to be given up
	Reason     string
}

type failure struct {
	job    model.JobID
	target model.TargetID
	at     model.Millis
}

type targetRecord struct {
	failures    []failure // since the last success
	lastSuccess model.Millis
	quarantined bool
	probe       model.JobID // job of the probe in progress
	passes      int
	wait        model.Millis
	nextProbe   model.Millis
}

// Tracker holds the recent failures. It is not safe for concurrent use.
type Tracker struct {
	cfg     Config
	targets map[model.TargetID]*targetRecord
	jobs    map[model.JobID][]failure
}

// New returns a tracker without failures.
func New(cfg Config) *Tracker {
	return &Tracker{
		cfg:     cfg.withDefaults(),
		targets: map[model.TargetID]*targetRecord{},
		jobs:    map[model.JobID][]failure{},
	}
}

func (t *Tracker) target(id model.TargetID) *targetRecord {
	r := t.targets[id]
	if r == nil {
		r = &targetRecord{}
		t.targets[id] = r
	}
	return r
}

// Succeeded records that a task of a job ended well on a target.
func (t *Tracker) Succeeded(job model.JobID, target model.TargetID, at model.Millis) []Change {
	r := t.target(target)
	delete(t.jobs, job)
	r.lastSuccess = at
	if !r.quarantined {
		r.failures = nil
		return nil
	}
	if r.probe != job {
		return nil
	}
	r.probe = ""
	r.passes++
	r.nextProbe = at
	if r.passes < t.cfg.ProbePasses {
		return nil
	}
	*r = targetRecord{lastSuccess: at}
	return []Change{{Target: target, Reason: fmt.Sprintf("%d probes in a row passed", t.cfg.ProbePasses)}}
}

// Failed records that a task of a job failed on a target. Lost targets and evictions are
// not failures and must not be reported here.
func (t *Tracker) Failed(job model.JobID, target model.TargetID, at model.Millis) []Change {
	r := t.target(target)
	f := failure{job: job, target: target, at: at}
	t.jobs[job] = append(t.recent(t.jobs[job], at), f)
	if r.quarantined {
		t.failProbe(r, job, at)
		return nil
	}
	r.failures = append(t.recent(r.failures, at), f)
	if change, ok := t.blameTarget(target, r, at); ok {
		return []Change{change}
	}
	return t.blameJob(job, at)
}

func (t *Tracker) failProbe(r *targetRecord, job model.JobID, at model.Millis) {
	if r.probe != job {
		return
	}
	r.probe = ""
	r.passes = 0
	r.wait = min(2*r.wait, t.cfg.MaxProbeMs)
	r.nextProbe = at + r.wait
}

func (t *Tracker) recent(failures []failure, now model.Millis) []failure {
	return slices.DeleteFunc(failures, func(f failure) bool { return f.at < now-t.cfg.WindowMs })
}

// blameTarget quarantines a target on which enough different jobs failed without a success
// in between. A job that also failed on another healthy target does not count: it would let
// a few broken jobs quarantine a whole site.
func (t *Tracker) blameTarget(id model.TargetID, r *targetRecord, at model.Millis) (Change, bool) {
	jobs := map[model.JobID]bool{}
	for _, f := range r.failures {
		if !t.failedElsewhere(f.job, id) {
			jobs[f.job] = true
		}
	}
	if len(jobs) < t.cfg.DistinctJobs {
		return Change{}, false
	}
	r.quarantined = true
	r.failures = nil
	r.wait = t.cfg.ProbeMs
	r.nextProbe = at + r.wait
	return Change{Target: id, Quarantine: true, Reason: fmt.Sprintf("%d different jobs in a row failed on it", len(jobs))}, true
}

func (t *Tracker) failedElsewhere(job model.JobID, target model.TargetID) bool {
	for _, f := range t.jobs[job] {
		if f.target != target && t.healthy(f.target) {
			return true
		}
	}
	return false
}

// healthy reports whether a target is neither quarantined nor suspected itself.
func (t *Tracker) healthy(id model.TargetID) bool {
	r := t.targets[id]
	return r == nil || (!r.quarantined && len(r.failures) < t.cfg.DistinctJobs-1)
}

// blameJob gives up a job that failed on enough different healthy targets.
func (t *Tracker) blameJob(job model.JobID, at model.Millis) []Change {
	targets := map[model.TargetID]bool{}
	for _, f := range t.jobs[job] {
		if t.healthy(f.target) {
			targets[f.target] = true
		}
	}
	if len(targets) < t.cfg.DistinctTarget {
		return nil
	}
	delete(t.jobs, job)
	return []Change{{Job: job, Reason: fmt.Sprintf("it failed on %d healthy targets", len(targets))}}
}

// Quarantined reports whether a target gets probes only.
func (t *Tracker) Quarantined(id model.TargetID) bool {
	r := t.targets[id]
	return r != nil && r.quarantined
}

// SetQuarantine puts a target into quarantine on an operator's order, or ends it.
func (t *Tracker) SetQuarantine(id model.TargetID, on bool, at model.Millis) {
	if !on {
		t.targets[id] = &targetRecord{}
		return
	}
	r := t.target(id)
	if !r.quarantined {
		*r = targetRecord{quarantined: true, wait: t.cfg.ProbeMs, nextProbe: at + t.cfg.ProbeMs}
	}
}

// ProbeDue returns the quarantined targets that may get one probe now, in order of their ids.
func (t *Tracker) ProbeDue(now model.Millis) []model.TargetID {
	var due []model.TargetID
	for id, r := range t.targets {
		if r.quarantined && r.probe == "" && now >= r.nextProbe {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	return due
}

// StartProbe records the job that probes a target; it reports false if one is in progress.
func (t *Tracker) StartProbe(id model.TargetID, job model.JobID) bool {
	r := t.targets[id]
	if r == nil || !r.quarantined || r.probe != "" {
		return false
	}
	r.probe = job
	return true
}

// AbandonProbe gives up a probe whose outcome says nothing, such as an eviction or a
// cancellation; the next one may start at once.
func (t *Tracker) AbandonProbe(id model.TargetID, job model.JobID, now model.Millis) {
	if r := t.targets[id]; r != nil && r.probe == job {
		r.probe = ""
		r.nextProbe = now
	}
}

// ForgetJob drops what is known about a job that ended.
func (t *Tracker) ForgetJob(job model.JobID) { delete(t.jobs, job) }

// ForgetTarget drops what is known about a target that was removed.
func (t *Tracker) ForgetTarget(id model.TargetID) { delete(t.targets, id) }
