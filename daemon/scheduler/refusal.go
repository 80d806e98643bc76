package scheduler

import (
	"slices"

	"samphirepaddle.example/core/model"
)

// Limits on the pauses after refusals.
const (
	// refusalPause is how long a target gets no new work after its owner refused a task, so that
	// the owner's next report of free capacity arrives first. The pause doubles with each
	// refusal in a row, so that a target whose owner refuses everything causes few commits.
	refusalPause    = model.Millis(500)
	maxRefusalPause = model.Millis(32_000)
	// minRefusingTargets is the number of targets that refuse a job in a row before refusals are
	// attributed to the job and pause it instead of the targets, which it would otherwise close one
	// after the other.
	minRefusingTargets = 3
)

// refusal is the pause of new work for a target after its owner refused a task.
type refusal struct {
	until    model.Millis
	pause    model.Millis
	reopened bool // the pause has ended and the target was unblocked
}

// jobRefusal holds the refusals of a job since an attempt of it ended otherwise.
type jobRefusal struct {
	targets []model.TargetID // different ones that refused it, at most minRefusingTargets
	until   model.Millis     // the job is not placed before
	pause   model.Millis
}

// recordRefusal pauses the target that refused a job, or the job if enough other targets refused it.
func (p *planner) recordRefusal(job model.JobID, target model.TargetID, now model.Millis) {
	r := p.jobRefusals[job]
	if len(r.targets) < minRefusingTargets {
		p.pauseTarget(target, now)
		if !slices.Contains(r.targets, target) {
			r.targets = append(r.targets, target)
		}
	} else {
		r.pause = min(max(2*r.pause, refusalPause), maxRefusalPause)
		r.until = now + r.pause
	}
	p.jobRefusals[job] = r
}

// pauseTarget keeps new work off a target after a refusal. Refusals during the pause, of tasks
// that were placed together, do not extend it.
func (p *planner) pauseTarget(id model.TargetID, now model.Millis) {
	last := p.refusals[id]
	if now < last.until {
		return
	}
	pause := min(max(2*last.pause, refusalPause), maxRefusalPause)
	p.refusals[id] = refusal{until: now + pause, pause: pause}
	p.dirtyTargets[id] = true
}
