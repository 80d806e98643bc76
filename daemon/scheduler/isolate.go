package scheduler

import (
	"slices"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/placement"
	"samphirepaddle.example/core/state"
)

// maxIsolationWait is how long a suspect job waits for a target without other tasks, and how long
// other jobs are kept off a target that runs one.
const maxIsolationWait = waitBeforeHold + longWaitHold

// assignAlone places a suspect job on a target without other tasks.
func (p *planner) assignAlone(st *state.State, job placement.Job) []state.Command {
	var free []model.TargetID
	for id, known := range p.targets {
		if known.state.Pool == job.Pool && usable(&known.state) && len(p.placer.Tasks(id)) == 0 && !slices.Contains(job.Avoid, id) {
			free = append(free, id)
		}
	}
	slices.Sort(free)
	for _, id := range free {
		if command := p.assign(st, placement.Decision{Job: job, Target: id}); command != nil {
			return command
		}
	}
	return nil
}

// isolate keeps new work off the target of a suspect job.
func (p *planner) isolate(target model.TargetID, id model.AttemptID) {
	p.isolations[target] = id
	p.placer.SetBlocked(target, isolationReason(id))
	p.dirtyTargets[target] = true
}

func (p *planner) endIsolation(target model.TargetID, id model.AttemptID) {
	if p.isolations[target] == id {
		delete(p.isolations, target)
		p.dirtyTargets[target] = true
	}
}

// endProvenIsolations ends the isolation of jobs that have run for so long that they are no longer
// suspect.
func (p *planner) endProvenIsolations(now model.Millis) {
	for target, id := range p.isolations {
		if at := p.tracked[id].assignedAt; at > 0 && now-at >= state.SoundRunTime {
			p.endIsolation(target, id)
		}
	}
}

// openIsolatedTargets unblocks the targets of a pool that are blocked only because they run a suspect
// job, and returns them. closeTargets must follow before the next job is placed.
func (p *planner) openIsolatedTargets(pool model.PoolID, now model.Millis) []model.TargetID {
	var opened []model.TargetID
	for id, attempt := range p.isolations {
		if p.targets[id].state.Pool == pool && p.openTarget(id, isolationReason(attempt), now) {
			opened = append(opened, id)
		}
	}
	return opened
}

func isolationReason(id model.AttemptID) string {
	return "it runs only " + id.String() + ", because targets have ended under this job"
}
