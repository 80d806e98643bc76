package dispatch

import "samphirepaddle.example/core/workflow"

// nextGangAttempt returns the attempt number that all members of the next gang start share.
func nextGangAttempt(q PendingRun, step int) uint32 {
	highest := uint32(0)
	if q.Run != nil {
		for _, task := range q.Run.Steps[step].Tasks {
			highest = max(highest, task.Attempt)
		}
	}
	return highest + 1
}

// undoAssignments drops the assignments from the index on, because the members of a gang
// must all start together. It returns all that they took, so that other jobs can start in this pass.
func (p *pass) undoAssignments(from int, job *workflow.Job, n *needs, tasks []readyTask) {
	for i, a := range p.assignments[from:] {
		for _, c := range p.candidates {
			if c.worker.Incarnation == a.Incarnation {
				c.release(n.spec, a.Attempt.Task)
				c.consumeHeadroom(n, -1)
			}
		}
		if usesFirstStartBudget(n.spec, tasks[i].task) {
			p.firstStartBudget[job.Service] += n.spec.CPUMillis
		}
	}
	p.unplaced = nil // free capacity has grown again
	p.assignments = p.assignments[:from]
}
