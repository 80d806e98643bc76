package dispatch

import (
	"testing"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
)

// maxIdle is how long nothing of a job may run while it could.
const maxIdle = model.Millis(3000)

// idleCheck records since when jobs could run and do not: nothing of the job runs on a worker that
// answers, a task waits whose step is ready, it fits twice, and under half of the cores are in use.
type idleCheck struct {
	since map[workflow.JobID]model.Millis
	late  map[workflow.JobID]bool // for maxIdle or longer at least once
}

func (c *idleCheck) observe(s *crashSim) {
	used, capacity, runs := int64(0), int64(0), map[workflow.JobID]bool{}
	free := map[workflow.Incarnation]int64{}
	for _, incarnation := range s.liveWorkers() {
		w := s.state.Workers[incarnation.Worker]
		capacity += w.CPUMillis
		free[incarnation] = w.CPUMillis
		for _, a := range s.attemptsOn(incarnation) {
			used += a.Step.CPUMillis
			free[incarnation] -= a.Step.CPUMillis
			runs[a.Attempt.Task.Job] = true
		}
	}
	before := c.since
	c.since = map[workflow.JobID]model.Millis{}
	s.state.VisitLiveJobs(func(job *workflow.Job) {
		could := false
		job.ReadyTasks(job.Runs[0], func(step, _ int, _ workflow.Task) {
			fits := int64(0)
			for _, cpu := range free {
				fits += max(0, cpu) / job.Steps[step].CPUMillis
			}
			could = could || (fits >= 2 && 2*used < capacity)
		})
		if runs[job.ID] || !could {
			return
		}
		since, known := before[job.ID]
		if !known {
			since = s.now
		}
		c.since[job.ID] = since
		if s.now-since >= maxIdle {
			c.late[job.ID] = true
		}
	})
}

// Guards against a sound task that waits beside free workers because it was lost with workers that fell
// silent or were crashed by others, and against one of many suspects that waits for a worker of its own.
func TestSoundTaskDoesNotWaitBesideFreeWorkers(t *testing.T) {
	for _, returnsAfter := range []model.Millis{3000, 10_000, 30_000, 0} {
		for seed := range uint64(lateSeeds) {
			s := &lateSim{crashSim: newCrashSim(seed), returnsAfter: returnsAfter, leaders: true, crashedUnder: map[workflow.TaskKey]int{}}
			c := &idleCheck{late: map[workflow.JobID]bool{}}
			for pass := range int(lateRun / simStep) {
				s.step(pass)
				c.observe(s.crashSim)
			}
			for id := range c.late {
				if !s.isDeadly(id) {
					t.Errorf("workers return after %d ms, seed %d: nothing of the sound job %s ran for 3 s beside free workers", returnsAfter, seed, id)
				}
			}
		}
	}
}
