package dispatch

import (
	"fmt"
	"slices"
	"testing"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
)

// lateSim is a crashSim in which workers that crash are silent until another process answers at their
// address, and in which other workers are silent for a while without a crash.
type lateSim struct {
	*crashSim
	returnsAfter model.Millis // from a crash to its proof; 0 is never
	leaders      bool         // whether leaders change, which do not know for how long attempts have run
	ledSince     model.Millis
	silent       []silentWorker
	crashedUnder map[workflow.TaskKey]int
}

type silentWorker struct {
	incarnation workflow.Incarnation
	since       model.Millis
	answersAt   model.Millis // 0 if it has crashed
	lapsed      bool
}

// Size and times of the simulation of silent workers.
const (
	lateSeeds  = 25
	simLapse   = model.Millis(7000)   // from the silence of a worker to the loss of its attempts
	simLeader  = model.Millis(9000)   // term of a leader
	lateRun    = model.Millis(45_000) // duration of a simulation
	simSilence = model.Millis(12_000) // of a worker that has not crashed, at most
)

// fallSilent makes the worker silent. answersAt is 0 if it has crashed.
func (s *lateSim) fallSilent(incarnation workflow.Incarnation, answersAt model.Millis) {
	s.down[incarnation] = true
	s.silent = append(s.silent, silentWorker{incarnation: incarnation, since: s.now, answersAt: answersAt})
	if answersAt == 0 {
		for _, a := range s.attemptsOn(incarnation) {
			s.crashedUnder[a.Attempt.Task]++
		}
	}
}

func (s *lateSim) lost(silent silentWorker) (workflow.Crash, []workflow.LostAttempt) {
	c := workflow.Crash{Incarnation: silent.incarnation}
	var lost []workflow.LostAttempt
	for _, a := range s.attemptsOn(silent.incarnation) {
		ran := max(0, silent.since-s.startsAt[a.Attempt])
		unseen := silent.since < s.ledSince
		if unseen {
			ran = 0
		}
		c.Attempts = append(c.Attempts, workflow.CrashedAttempt{Attempt: a.Attempt, RanMs: ran, Unseen: unseen})
		lost = append(lost, workflow.LostAttempt{Incarnation: silent.incarnation, Attempt: a.Attempt})
	}
	return c, lost
}

// observe loses the attempts of silent workers, records the proofs of crashes, and lets other workers
// answer again.
func (s *lateSim) observe() {
	kept := s.silent[:0]
	for _, w := range s.silent {
		silence := s.now - w.since
		if !w.lapsed && silence >= simLapse {
			w.lapsed = true
			c, lost := s.lost(w)
			s.apply(workflow.Command{Batch: &workflow.Batch{Lapsed: []workflow.Crash{c}, Lost: lost}})
		}
		switch {
		case w.answersAt != 0 && s.now >= w.answersAt:
			delete(s.down, w.incarnation)
			if w.lapsed {
				s.apply(workflow.Command{Batch: &workflow.Batch{Answered: []workflow.Incarnation{w.incarnation}}})
			}
		case w.answersAt == 0 && s.returnsAfter != 0 && silence >= s.returnsAfter:
			c, lost := s.lost(w)
			s.apply(workflow.Command{Batch: &workflow.Batch{Crashes: []workflow.Crash{c}, Lost: lost}})
		default:
			kept = append(kept, w)
		}
	}
	s.silent = kept
}

func (s *lateSim) step(pass int) {
	s.now += simStep
	if s.leaders && s.now-s.ledSince >= simLeader {
		s.ledSince, s.planner = s.now, NewPlannerState()
	}
	if pass%4 == 0 && pass/4 < simJobs {
		s.submit(pass / 4)
	}
	s.observe()
	s.finish()
	live := s.liveWorkers()
	if s.random.IntN(50) == 0 {
		s.fallSilent(live[s.random.IntN(len(live))], 0)
		s.addWorker()
	} else if s.random.IntN(40) == 0 {
		s.fallSilent(live[s.random.IntN(len(live))], s.now+model.Millis(s.random.IntN(int(simSilence))))
	}
	crashing := s.plan()
	for _, incarnation := range s.liveWorkers() {
		if crashing[incarnation] {
			s.fallSilent(incarnation, 0)
			s.addWorker()
		}
	}
}

// mayBeGivenUp reports whether the job has a task that crashes workers, or one under which two crashed.
func (s *lateSim) mayBeGivenUp(id workflow.JobID) bool {
	if s.isDeadly(id) {
		return true
	}
	for task, crashes := range s.crashedUnder {
		if task.Job == id && crashes >= 2 {
			return true
		}
	}
	return false
}

// check returns the numbers of jobs that were given up, and of those without a task that crashes workers.
func (s *lateSim) check(t *testing.T) (givenUp, sound int) {
	t.Helper()
	for task := range s.deadly {
		if s.starts[task] > maxCrashStart {
			t.Errorf("task %s crashed %d workers", task, s.starts[task])
		}
	}
	for id, job := range s.state.Jobs {
		if job.Phase != workflow.PhaseFailed {
			continue
		}
		givenUp++
		if !s.isDeadly(id) {
			sound++
		}
		if !s.mayBeGivenUp(id) {
			t.Errorf("the sound job %s has failed: %s", id, job.Reason)
		}
	}
	return givenUp, sound
}

// Guards against a task that crashes worker after worker before the first crashes are proven, and
// against sound tasks that are given up for workers that were silent.
func TestTaskIsHeldBackUntilCrashesAreProven(t *testing.T) {
	for _, returnsAfter := range []model.Millis{3000, 5000, 10_000, 20_000, 30_000, 0} {
		for _, leaders := range []bool{false, true} {
			t.Run(fmt.Sprintf("after %d ms, leaders change %v", returnsAfter, leaders), func(t *testing.T) {
				givenUp, sound, starts := 0, 0, []int{}
				for seed := range uint64(lateSeeds) {
					s := &lateSim{crashSim: newCrashSim(seed), returnsAfter: returnsAfter, leaders: leaders, crashedUnder: map[workflow.TaskKey]int{}}
					for pass := range int(lateRun / simStep) {
						s.step(pass)
					}
					all, others := s.check(t)
					givenUp, sound = givenUp+all, sound+others
					for task := range s.deadly {
						starts = append(starts, s.starts[task])
					}
				}
				t.Logf("%d jobs given up, %d without a task that crashes its workers; at most %d starts of %d such tasks", givenUp, sound, slices.Max(starts), len(starts))
			})
		}
	}
}
