package workflow

import (
	"slices"

	"samphirepaddle.example/core/model"
)

// Delays of the next start of a task under which more than minCrashes workers may have crashed. They
// double with each crash, so that a task whose workers never return does not take down one after
// another, while a sound task that was lost with silent workers waits for a bounded time only.
const (
	minBackoff = model.Millis(20_000)
	maxBackoff = model.Millis(60_000)
)

// backoff returns the delay after the last of a number of proven or possible crashes. The first start
// after minCrashes is not delayed: it is alone on its worker, so it harms little, and a sound task shows
// there that workers survive it. With a delay of 10 s sound tasks waited beside free workers.
func backoff(crashes int) model.Millis {
	if crashes <= minCrashes {
		return 0
	}
	delay := minBackoff
	for range crashes - minCrashes - 1 {
		delay = min(2*delay, maxBackoff)
	}
	return delay
}

// Cautions restrict the next starts of tasks under which minCrashes workers or more have crashed or fell
// silent shortly after they started them. Whether a silent worker has crashed is known once it answers
// or another process does.
type Cautions struct {
	Silenced   map[TaskKey]bool // tasks under which a worker fell silent shortly after it started them
	StartAlone map[TaskKey]bool // no other task may start beside them until they have survived
	HeldBack   map[TaskKey]bool // those of StartAlone that must not start yet
}

// Cautions returns the restrictions at the time now.
func (s *State) Cautions(now model.Millis) Cautions {
	var c Cautions
	for key, silent := range s.silentWorkers() {
		if c.Silenced == nil {
			c.Silenced = map[TaskKey]bool{}
		}
		c.Silenced[key] = true
		job := s.liveJobs[key.Job]
		crashes := silent
		if i := job.suspectIndex(key); i >= 0 {
			crashes += len(job.Suspects[i].Crashed)
		}
		run := job.Runs[key.Occurrence]
		if run == nil || crashes < minCrashes {
			continue
		}
		if c.StartAlone == nil {
			c.StartAlone, c.HeldBack = map[TaskKey]bool{}, map[TaskKey]bool{}
		}
		c.StartAlone[key] = true
		if now < run.Steps[key.Step].Tasks[key.Index].WaitingAt+backoff(crashes) {
			c.HeldBack[key] = true
		}
	}
	return c
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
			// Unseen ones count: without them a task that crashes its workers was started six and seven times
			// while leaders changed and no crash was proven.
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
