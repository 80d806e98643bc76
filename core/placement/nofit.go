package placement

import (
	"fmt"
	"slices"
	"strings"

	"samphirepaddle.example/core/model"
)

// Rejection says why one target did not fit.
type Rejection struct {
	Target model.TargetID
	Reason string
}

// NoFitError says why a job cannot be placed now.
type NoFitError struct {
	Job        model.JobID
	Infeasible bool        // it exceeds the capacity of every known target of its pool
	Targets    int         // known targets of the pool
	Rejections []Rejection // of each target, if the pool has at most Config.MaxListedTargets
}

// Error lists the reasons, grouped.
func (e *NoFitError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "job %q fits on none of %d targets", e.Job, e.Targets)
	if e.Infeasible {
		b.WriteString(" and can never run on any of them")
	}
	for _, r := range e.Rejections {
		fmt.Fprintf(&b, "; %s: %s", r.Target, r.Reason)
	}
	return b.String()
}

// noFit builds the error. Beyond MaxListedTargets targets the list is left to Explain, because
// a list of 17,000 reasons costs more than the decision.
func (p *Placer) noFit(job Job) error {
	e := &NoFitError{Job: job.ID, Infeasible: p.NeverFits(job)}
	pool := p.pools[job.Pool]
	if pool == nil {
		return e
	}
	e.Targets = len(pool.targets) - len(pool.vacant)
	if e.Targets <= p.cfg.MaxListedTargets {
		e.Rejections = p.Explain(job)
	}
	return e
}

// NeverFits reports whether no known target of the pool has the capacity for the job. A
// pool without targets is not a reason: its targets may announce themselves later.
func (p *Placer) NeverFits(job Job) bool {
	pool := p.pools[job.Pool]
	if pool == nil || len(pool.targets) == len(pool.vacant) {
		return false
	}
	return !pool.capacity.anyFits(job.Size)
}

// Explain says of each target of the pool why the job does not fit there, ordered by target.
func (p *Placer) Explain(job Job) []Rejection {
	pool := p.pools[job.Pool]
	if pool == nil {
		return nil
	}
	var out []Rejection
	for _, t := range pool.targets {
		if t == nil {
			continue
		}
		if reason := p.reason(job, t); reason != "" {
			out = append(out, Rejection{t.info.ID, reason})
		}
	}
	slices.SortFunc(out, func(a, b Rejection) int { return strings.Compare(string(a.Target), string(b.Target)) })
	return out
}

func (p *Placer) reason(job Job, t *target) string {
	if short := job.Size.Shortfall(t.info.Capacity.Sub(t.info.KeptForQuick)); short != "" {
		return "exceeds the capacity for batch work: " + short
	}
	if t.info.BlockedReason != "" {
		return "takes no work: " + t.info.BlockedReason
	}
	if short := job.Size.Shortfall(t.free); short != "" {
		return short
	}
	if avoided(job, t) {
		return "the job failed there before"
	}
	if predicted := p.predict(job, t); predicted > p.cfg.MaxSlowdown {
		return fmt.Sprintf("predicted slowdown of quick work %.2f exceeds %.2f", predicted, p.cfg.MaxSlowdown)
	}
	return ""
}
