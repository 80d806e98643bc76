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

// NoFitError is returned if a job fits on no target of its pool at present.
type NoFitError struct {
	Job        model.JobID
	Infeasible bool        // the job exceeds the capacity of every known target of its pool
	Targets    int         // number of known targets of the pool
	Rejections []Rejection // one per target; empty if the pool has more than Config.MaxListedTargets targets
}

// Error lists the reason of each target.
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

// noFitError returns the *NoFitError of a job. It omits the rejections of a pool with more
// than MaxListedTargets targets, because a list of 17,000 reasons takes longer than the placement
// decision; Explain still returns them.
func (p *Placer) noFitError(job Job) error {
	e := &NoFitError{Job: job.ID, Infeasible: p.NeverFits(job)}
	pool := p.pools[job.Pool]
	if pool == nil {
		return e
	}
	e.Targets = len(pool.targets) - len(pool.unusedIndexes)
	if e.Targets <= p.cfg.MaxListedTargets {
		e.Rejections = p.Explain(job)
	}
	return e
}

// NeverFits reports whether the job exceeds the capacity of every known target of its pool.
// It is false for a pool without targets, since targets may still announce themselves.
func (p *Placer) NeverFits(job Job) bool {
	pool := p.pools[job.Pool]
	if pool == nil || len(pool.targets) == len(pool.unusedIndexes) {
		return false
	}
	return !pool.capacity.anyFits(job.Size)
}

// Explain returns the targets of the pool on which the job does not fit, with the reasons,
// ordered by target id.
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
	if predicted := p.predictSlowdown(job, t); predicted > p.cfg.MaxSlowdown {
		return fmt.Sprintf("predicted slowdown of quick work %.2f exceeds %.2f", predicted, p.cfg.MaxSlowdown)
	}
	return ""
}
