package workflow

import (
	"slices"

	"samphirepaddle.example/core/model"
)

// Delays of the next start of a task under which workers may have crashed. They double with each
// crash, so that a task whose workers never return does not take down one after another, while a
// sound task that was lost with silent workers waits for a bounded time only.
const (
	minBackoff = model.Millis(10_000)
	maxBackoff = model.Millis(60_000)
)

// backoff returns the delay after the last of a number of proven or possible crashes.
func backoff(crashes int) model.Millis {
	delay := minBackoff
	for range crashes - minCrashes {
		delay = min(2*delay, maxBackoff)
	}
	return delay
}

// HeldBack returns the tasks that must not start yet, because minCrashes workers or more have crashed
// under them or fell silent shortly after they started them. Whether a silent worker has crashed is
// known once it answers or another process does.
func (s *State) HeldBack(now model.Millis) map[TaskKey]bool {
	var held map[TaskKey]bool
	for key, silent := range s.silentWorkers() {
		job := s.liveJobs[key.Job]
		crashes := silent
		if i := job.suspectIndex(key); i >= 0 {
			crashes += len(job.Suspects[i].Crashed)
		}
		run := job.Runs[key.Occurrence]
		if run == nil || crashes < minCrashes {
			continue
		}
		if now < run.Steps[key.Step].Tasks[key.Index].WaitingAt+backoff(crashes) {
			if held == nil {
				held = map[TaskKey]bool{}
			}
			held[key] = true
		}
	}
	return held
}

// silentWorkers returns the number of workers by task of a live job that fell silent shortly after
// they started the task.
func (s *State) silentWorkers() map[TaskKey]int {
	silent := map[TaskKey]int{}
	for _, worker := range s.Workers {
		if worker.Crashed || worker.announcedEnd() {
			continue
		}
		for _, a := range worker.Lapsed {
			key := a.Attempt.Task
			if job, ok := s.liveJobs[key.Job]; ok && job.validKey(key) && a.RanMs < CrashWindow {
				silent[key]++
			}
		}
	}
	return silent
}

// forgetLapsed drops the attempts of the task that were lost while workers were silent, because another
// one has shown that workers survive the task.
func (s *State) forgetLapsed(key TaskKey) {
	isOfTask := func(a CrashedAttempt) bool { return a.Attempt.Task == key }
	for _, worker := range s.Workers {
		if slices.ContainsFunc(worker.Lapsed, isOfTask) {
			worker.Lapsed = slices.DeleteFunc(slices.Clone(worker.Lapsed), isOfTask) // a copy, because reports share the slice
		}
	}
}
