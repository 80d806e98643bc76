package scheduler

import (
	"fmt"

	"samphirepaddle.example/core/state"
	"samphirepaddle.example/daemon/controller"
)

// Explain returns why a queued job waits, with the reason for each target of its pool on which
// it does not fit.
func (s *Scheduler) Explain(st *state.State, job *state.Job) controller.WaitExplanation {
	s.mu.Lock()
	defer s.mu.Unlock()
	if job.NeverRunnableReason != "" {
		return controller.WaitExplanation{Reason: "it can never run: " + job.NeverRunnableReason}
	}
	p := s.planner
	candidate := p.jobOf(job)
	if err := p.tenants.CheckQuota(candidate.Tenant, candidate.Size); err != nil {
		return controller.WaitExplanation{Reason: err.Error()}
	}
	if refused := p.jobRefusals[job.Spec.ID]; refused.pause > 0 {
		return controller.WaitExplanation{Reason: fmt.Sprintf("targets refused it, %s among others; it is tried again after a pause", refused.targets[0])}
	}
	waiting := controller.WaitExplanation{}
	for _, rejection := range p.placer.Explain(candidate) {
		waiting.Targets = append(waiting.Targets, controller.TargetReason{Target: rejection.Target, Reason: rejection.Reason})
	}
	targets := 0
	for _, known := range p.targets {
		if known.state.Pool == job.Spec.Pool {
			targets++
		}
	}
	switch {
	case targets == 0:
		waiting.Reason = fmt.Sprintf("no target has announced pool %q", job.Spec.Pool)
	case len(waiting.Targets) == targets:
		waiting.Reason = fmt.Sprintf("it fits on none of %d targets now", targets)
	default:
		waiting.Reason = fmt.Sprintf("it fits on %d targets and waits for its turn", targets-len(waiting.Targets))
	}
	return waiting
}
