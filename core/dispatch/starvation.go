package dispatch

import (
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
)

// Starvation timeouts: how long a job with ready tasks may have none running before a best-effort
// task is placed even where it interferes. The timeout is short while most of the capacity is
// free, because only interference can explain the wait then. It is longer if best-effort tasks, which
// reserve no CPU, use it, and much longer if other tasks reserve most of it, because the placement raises
// the tail latency of serving tasks.
const (
	starvationTimeoutIdle  = model.Millis(1200)
	starvationTimeoutSpare = model.Millis(2500) // a job beside unreserved CPU must start within 3 s
	starvationTimeoutBusy  = model.Millis(10_000)
	idleUtilization        = 0.5 // share of the CPU in use below which the short timeout applies
)

// starvationTimeouts returns the starvation timeouts at the present load, by service.
func starvationTimeouts(p *Snapshot) map[string]model.Millis {
	timeouts := map[string]model.Millis{}
	for service, usage := range UsageByService(p) {
		switch {
		case usage.MostlyFree():
			timeouts[service] = starvationTimeoutIdle
		case usage.MostlyUnreserved():
			timeouts[service] = starvationTimeoutSpare
		default:
			timeouts[service] = starvationTimeoutBusy
		}
	}
	return timeouts
}

// starved reports whether the run has had no task at work for longer than the starvation timeout. An
// attempt on a worker that does not answer stays open for 9 s and longer, and is not at work.
func (p *pass) starved(q PendingRun) bool {
	since := q.Job.AcceptedAt
	if q.Run != nil {
		for _, step := range q.Run.Steps {
			for i := range step.Tasks {
				if step.Tasks[i].Phase == workflow.TaskOpen && p.answers(step.Tasks[i].Incarnation) {
					return false
				}
				since = max(since, step.Tasks[i].WaitingAt)
			}
		}
	}
	return p.now-since > p.starvationTimeouts[q.Job.Service]
}

// isDownTooLong reports whether a long-running best-effort task has waited for its restart for longer than the starvation
// timeout. Its users miss it, whether other tasks of the job run or not.
func (p *pass) isDownTooLong(q PendingRun, spec *workflow.StepSpec, task workflow.Task) bool {
	return spec.LongRunning && spec.UsesSpareCPU && task.Attempt > 0 && p.now-task.WaitingAt > p.starvationTimeouts[q.Job.Service]
}

// answers reports whether the worker process is a current one that answers.
func (p *pass) answers(incarnation workflow.Incarnation) bool {
	if p.answering == nil {
		p.answering = make(map[workflow.Incarnation]bool, len(p.workers))
		for _, w := range p.workers {
			p.answering[w.Incarnation] = !w.Silent
		}
	}
	return p.answering[incarnation]
}
