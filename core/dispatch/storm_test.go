package dispatch

import (
	"fmt"
	"testing"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
)

// storm describes a simulation in which many workers crash at once, under tasks that crash their workers or by
// themselves.
type storm struct {
	name     string
	share    float64      // share of the jobs that have a task that crashes its workers
	crashes  int          // number of times that all workers crash
	delay    model.Millis // of a crash after the start of the task that causes it
	maxSound int          // sound jobs that may be given up, in all runs
}

// Size and times of the simulation of storms.
const (
	stormRuns    = 5
	stormJobs    = 40
	stormEnd     = model.Millis(40_000)
	stormFirstAt = model.Millis(3000)
	stormGap     = model.Millis(2000) // between two crashes of all workers
	stormReturn  = model.Millis(800)  // from the crash of a worker to its return
	maxStarts    = 6                  // of a task that crashes its workers
)

type stormSim struct {
	*crashSim
	storm
	returns []model.Millis // of workers that have crashed
}

func newStormSim(seed uint64, c storm) *stormSim {
	s := &stormSim{crashSim: newCrashSim(seed), storm: c}
	for n := range stormJobs {
		step := workflow.StepSpec{Count: 1 + s.random.IntN(12), CPUMillis: 50, EstimateMs: simRunTime, LongRunning: s.random.IntN(2) == 0}
		id := fmt.Sprintf("j%02d", n)
		s.apply(workflow.Command{Submit: &workflow.Submission{Host: "h", Path: "/q/" + id, Steps: []workflow.StepSpec{step}}})
		if s.random.Float64() < c.share {
			s.deadly[workflow.TaskKey{Job: workflow.JobID(id)}] = true
		}
	}
	return s
}

// crashingWorkers returns the workers that crash at the present time.
func (s *stormSim) crashingWorkers() []workflow.Incarnation {
	for i := range model.Millis(s.crashes) {
		if s.now == stormFirstAt+i*stormGap {
			return s.liveWorkers()
		}
	}
	var crashing []workflow.Incarnation
	for _, incarnation := range s.liveWorkers() {
		for _, a := range s.attemptsOn(incarnation) {
			if s.deadly[a.Attempt.Task] && s.ran(a.Attempt) >= s.delay {
				crashing = append(crashing, incarnation)
				break
			}
		}
	}
	return crashing
}

func (s *stormSim) step() {
	s.now += simStep
	for len(s.returns) > 0 && s.now >= s.returns[0] {
		s.returns = s.returns[1:]
		s.addWorker()
	}
	s.finish()
	s.plan()
	crashing := s.crashingWorkers()
	for _, incarnation := range crashing {
		s.endWorker(incarnation, 2*len(crashing) >= simWorkers)
		s.returns = append(s.returns, s.now+stormReturn)
	}
}

// Guards against sound jobs that are given up because all workers crash several times, or because they start
// beside suspects, and against tasks that escape the limit because they crash most workers at once.
func TestStormsOfCrashes(t *testing.T) {
	for _, c := range []storm{
		{name: "4 of 40 jobs", share: 0.1},
		{name: "10 of 40 jobs", share: 0.25},
		{name: "20 of 40 jobs", share: 0.5, maxSound: 5},
		{name: "all jobs, after 400 ms", share: 1, delay: 400},
		{name: "20 of 40 jobs, after 400 ms", share: 0.5, delay: 400, maxSound: 5},
		{name: "all workers", crashes: 4},
		{name: "all workers and 4 of 40 jobs", crashes: 4, share: 0.1, maxSound: 40},
	} {
		t.Run(c.name, func(t *testing.T) {
			sound, givenUp, starts := 0, 0, 0
			for seed := range uint64(stormRuns) {
				s := newStormSim(seed, c)
				for s.now < stormEnd {
					s.step()
				}
				for task := range s.deadly {
					starts = max(starts, s.starts[task])
				}
				for id, job := range s.state.Jobs {
					if job.Phase == workflow.PhaseFailed && s.isDeadly(id) {
						givenUp++
					} else if job.Phase == workflow.PhaseFailed {
						sound++
					}
				}
			}
			if starts > maxStarts || sound > c.maxSound {
				t.Errorf("a task that crashes its workers was started %d times, want at most %d; %d sound jobs given up, want at most %d", starts, maxStarts, sound, c.maxSound)
			}
			t.Logf("%d starts at most, %d such jobs given up, %d sound jobs given up", starts, givenUp, sound)
		})
	}
}
