// Package health attributes task failures either to the job or to the target.
//
// A worker on which every task fails is free again at once and would attract all work. If many
// different jobs fail on one target, the target is faulty: it is quarantined and runs one probe at
// a time. A probe is a waiting job that is started there to test the target. If one job fails on
// several targets that run other work, the job is faulty and is given up.
package health

import (
	"cmp"
	"fmt"
	"slices"

	"samphirepaddle.example/core/model"
)

// Config sets the thresholds. Zero fields take the defaults.
type Config struct {
	MinDistinctJobs    int          // different jobs that must fail in a row before a target is quarantined; default 3
	MinDistinctTargets int          // healthy targets on which a job must fail before it is given up; default 3
	FailureWindowMs    model.Millis // greatest age of a failure that counts; default 10 minutes
	ProbeDelayMs       model.Millis // delay before the first probe, doubled after each failed probe; default 15 s
	MaxProbeDelayMs    model.Millis // greatest delay before a probe; default 10 minutes
	RequiredProbes     int          // probes that must succeed in a row to end a quarantine; default 2
}

func (c Config) withDefaults() Config {
	c.MinDistinctJobs = cmp.Or(c.MinDistinctJobs, 3)
	c.MinDistinctTargets = cmp.Or(c.MinDistinctTargets, 3)
	c.FailureWindowMs = cmp.Or(c.FailureWindowMs, 10*60*1000)
	c.ProbeDelayMs = cmp.Or(c.ProbeDelayMs, 15*1000)
	c.MaxProbeDelayMs = cmp.Or(c.MaxProbeDelayMs, 10*60*1000)
	c.RequiredProbes = cmp.Or(c.RequiredProbes, 2)
	return c
}

// Change is a decision that the caller has to carry out: to start or end the quarantine of a
// target, or to give up a job.
type Change struct {
	Target     model.TargetID // set if the quarantine of a target starts or ends
	Quarantine bool           // whether the quarantine starts
	Job        model.JobID    // set if the job is to be given up
	Reason     string
}

type failure struct {
	job    model.JobID
	target model.TargetID
	at     model.Millis
}

type targetRecord struct {
	failures     []failure // since the last success
	lastSuccess  model.Millis
	quarantined  bool
	probeJob     model.JobID // job of the probe in progress, empty if there is none
	passedProbes int         // since the last failed probe
	probeDelay   model.Millis
	nextProbe    model.Millis // earliest time of the next probe
}

// Tracker holds the recent failures and the quarantined targets. It is not safe for
// concurrent use.
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

// Succeeded records that a task of a job succeeded on a target, and returns the resulting
// changes.
func (t *Tracker) Succeeded(job model.JobID, target model.TargetID, at model.Millis) []Change {
	r := t.target(target)
	delete(t.jobs, job)
	r.lastSuccess = at
	if !r.quarantined {
		r.failures = nil
		return nil
	}
	if r.probeJob != job {
		return nil
	}
	r.probeJob = ""
	r.passedProbes++
	r.nextProbe = at
	if r.passedProbes < t.cfg.RequiredProbes {
		return nil
	}
	*r = targetRecord{lastSuccess: at}
	return []Change{{Target: target, Reason: fmt.Sprintf("%d probes in a row passed", t.cfg.RequiredProbes)}}
}

// Failed records that a task of a job failed on a target, and returns the resulting changes.
// The loss of a target and an eviction are not failures and must not be reported.
func (t *Tracker) Failed(job model.JobID, target model.TargetID, at model.Millis) []Change {
	r := t.target(target)
	f := failure{job: job, target: target, at: at}
	t.jobs[job] = append(t.withinWindow(t.jobs[job], at), f)
	if r.quarantined {
		t.recordFailedProbe(r, job, at)
		return nil
	}
	r.failures = append(t.withinWindow(r.failures, at), f)
	if change, ok := t.quarantineIfFaulty(target, r, at); ok {
		return []Change{change}
	}
	return t.giveUpIfFaulty(job, at)
}

func (t *Tracker) recordFailedProbe(r *targetRecord, job model.JobID, at model.Millis) {
	if r.probeJob != job {
		return
	}
	r.probeJob = ""
	r.passedProbes = 0
	r.probeDelay = min(2*r.probeDelay, t.cfg.MaxProbeDelayMs)
	r.nextProbe = at + r.probeDelay
}

func (t *Tracker) withinWindow(failures []failure, now model.Millis) []failure {
	return slices.DeleteFunc(failures, func(f failure) bool { return f.at < now-t.cfg.FailureWindowMs })
}

// quarantineIfFaulty quarantines a target on which enough different jobs failed without a
// success in between. A job that also failed on another healthy target does not count, because
// a few faulty jobs could otherwise quarantine all targets of a site.
func (t *Tracker) quarantineIfFaulty(id model.TargetID, r *targetRecord, at model.Millis) (Change, bool) {
	jobs := map[model.JobID]bool{}
	for _, f := range r.failures {
		if !t.failedElsewhere(f.job, id) {
			jobs[f.job] = true
		}
	}
	if len(jobs) < t.cfg.MinDistinctJobs {
		return Change{}, false
	}
	r.quarantined = true
	r.failures = nil
	r.probeDelay = t.cfg.ProbeDelayMs
	r.nextProbe = at + r.probeDelay
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

// healthy reports whether a target is neither quarantined nor suspected of being faulty. A target
// is suspected after MinDistinctJobs-1 failures since its last success.
func (t *Tracker) healthy(id model.TargetID) bool {
	r := t.targets[id]
	return r == nil || (!r.quarantined && len(r.failures) < t.cfg.MinDistinctJobs-1)
}

// giveUpIfFaulty gives up a job that failed on enough different healthy targets.
func (t *Tracker) giveUpIfFaulty(job model.JobID, at model.Millis) []Change {
	targets := map[model.TargetID]bool{}
	for _, f := range t.jobs[job] {
		if t.healthy(f.target) {
			targets[f.target] = true
		}
	}
	if len(targets) < t.cfg.MinDistinctTargets {
		return nil
	}
	delete(t.jobs, job)
	return []Change{{Job: job, Reason: fmt.Sprintf("it failed on %d healthy targets", len(targets))}}
}

// Quarantined reports whether a target is in quarantine and runs only probes.
func (t *Tracker) Quarantined(id model.TargetID) bool {
	r := t.targets[id]
	return r != nil && r.quarantined
}

// SetQuarantine starts or ends the quarantine of a target at the request of an operator.
func (t *Tracker) SetQuarantine(id model.TargetID, on bool, at model.Millis) {
	if !on {
		t.targets[id] = &targetRecord{}
		return
	}
	r := t.target(id)
	if !r.quarantined {
		*r = targetRecord{quarantined: true, probeDelay: t.cfg.ProbeDelayMs, nextProbe: at + t.cfg.ProbeDelayMs}
	}
}

// ProbeDue returns the quarantined targets that are due for a probe, ordered by id.
func (t *Tracker) ProbeDue(now model.Millis) []model.TargetID {
	var due []model.TargetID
	for id, r := range t.targets {
		if r.quarantined && r.probeJob == "" && now >= r.nextProbe {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	return due
}

// StartProbe records that a job is the probe of a target. It reports false if the target is
// not in quarantine or already has a probe in progress.
func (t *Tracker) StartProbe(id model.TargetID, job model.JobID) bool {
	r := t.targets[id]
	if r == nil || !r.quarantined || r.probeJob != "" {
		return false
	}
	r.probeJob = job
	return true
}

// AbandonProbe ends a probe that neither succeeded nor failed, for example because it was evicted
// or cancelled. The next probe is due at once.
func (t *Tracker) AbandonProbe(id model.TargetID, job model.JobID, now model.Millis) {
	if r := t.targets[id]; r != nil && r.probeJob == job {
		r.probeJob = ""
		r.nextProbe = now
	}
}

// ForgetJob removes the failures of a job that ended.
func (t *Tracker) ForgetJob(job model.JobID) { delete(t.jobs, job) }

// ForgetTarget removes the state of a target that was removed.
func (t *Tracker) ForgetTarget(id model.TargetID) { delete(t.targets, id) }
