package workflow

import (
	"flag"
	"fmt"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"samphirepaddle.example/core/model"
)

// machine applies random commands and checks the invariants of the state after each of them.
type machine struct {
	state       *State
	now         model.Millis
	endNumbers  map[Incarnation]uint64
	lastAttempt map[TaskKey]uint32 // attempts that were opened
	done        map[TaskKey]bool
	observed    map[Incarnation]observed
}

const (
	machineJobs    = 4
	machineWorkers = 3
)

func (m *machine) apply(t *rapid.T, c Command) {
	m.now += model.Millis(rapid.IntRange(0, 50).Draw(t, "passed"))
	m.state.Apply(m.now, testRouting, &c)
}

func drawJob(t *rapid.T) string {
	return fmt.Sprintf("j%d", rapid.IntRange(0, machineJobs-1).Draw(t, "job"))
}

func (m *machine) drawIncarnation(t *rapid.T) Incarnation {
	id := WorkerID(fmt.Sprintf("w%d", rapid.IntRange(0, machineWorkers-1).Draw(t, "worker")))
	if w, ok := m.state.Workers[id]; ok && rapid.IntRange(0, 9).Draw(t, "present") > 0 {
		return w.Incarnation
	}
	return Incarnation{id, model.Millis(rapid.IntRange(0, 3).Draw(t, "started at"))}
}

func (m *machine) Submit(t *rapid.T) {
	steps := []StepSpec{{Count: rapid.IntRange(1, 3).Draw(t, "count")}, {Count: 1, After: []int{0}}}
	m.apply(t, Command{Submit: &Submission{Host: "h", Path: "/q/" + drawJob(t), Steps: steps}})
}

func (m *machine) Cancel(t *rapid.T) {
	m.apply(t, Command{Cancel: &Cancel{Host: "h", Path: "/q/" + drawJob(t)}})
}

func (m *machine) Report(t *rapid.T) {
	w := Worker{Incarnation: m.drawIncarnation(t), Service: "s", Draining: rapid.IntRange(0, 7).Draw(t, "draining") == 0}
	m.apply(t, Command{Batch: &Batch{Workers: []Worker{w}}})
}

func (m *machine) drawAttempt(t *rapid.T) Attempt {
	k := key(drawJob(t), rapid.IntRange(0, 1).Draw(t, "step"), rapid.IntRange(0, 2).Draw(t, "index"))
	return Attempt{k, uint32(rapid.IntRange(1, 6).Draw(t, "attempt"))}
}

func (m *machine) Assign(t *rapid.T) {
	m.apply(t, Command{Batch: &Batch{Assign: []Assignment{{Attempt: m.drawAttempt(t), Incarnation: m.drawIncarnation(t)}}}})
}

// drawOpen returns an open attempt or, if none is drawn, an arbitrary one.
func (m *machine) drawOpen(t *rapid.T) (Attempt, Incarnation) {
	for _, incarnation := range m.state.OpenIncarnations() {
		var found *Attempt
		m.state.VisitOpenAttempts(incarnation, func(a OpenAttempt) {
			if found == nil || a.Attempt.Task.String() < found.Task.String() {
				attempt := a.Attempt
				found = &attempt
			}
		})
		if rapid.Bool().Draw(t, "this") {
			return *found, incarnation
		}
	}
	return m.drawAttempt(t), m.drawIncarnation(t)
}

func (m *machine) End(t *rapid.T) {
	attempt, incarnation := m.drawOpen(t)
	kind := EndKind(rapid.IntRange(int(EndDone), int(EndGangIncomplete)).Draw(t, "kind"))
	m.endNumbers[incarnation]++
	m.apply(t, Command{Batch: &Batch{Ends: []End{{Incarnation: incarnation, Number: m.endNumbers[incarnation], Attempt: attempt, Kind: kind}}}})
}

func (m *machine) Lose(t *rapid.T) {
	attempt, incarnation := m.drawOpen(t)
	m.apply(t, Command{Batch: &Batch{Lost: []LostAttempt{{Incarnation: incarnation, Attempt: attempt}}}})
}

func (m *machine) Crash(t *rapid.T) {
	attempt, incarnation := m.drawOpen(t)
	c := Crash{Incarnation: incarnation}
	m.state.VisitOpenAttempts(incarnation, func(a OpenAttempt) {
		c.Attempts = append(c.Attempts, CrashedAttempt{Attempt: a.Attempt})
	})
	if len(c.Attempts) == 0 {
		c.Attempts = []CrashedAttempt{{Attempt: attempt}}
	}
	slices.SortFunc(c.Attempts, func(a, b CrashedAttempt) int { return a.Attempt.Task.Compare(b.Attempt.Task) })
	if rapid.Bool().Draw(t, "silent") {
		m.apply(t, Command{Batch: &Batch{Lapsed: []Crash{c}, Lost: lossesOf(c)}})
		return
	}
	m.apply(t, Command{Batch: &Batch{Crashes: []Crash{c}, Lost: lossesOf(c)}})
}

func (m *machine) Answer(t *rapid.T) {
	m.apply(t, Command{Batch: &Batch{Answered: []Incarnation{m.drawIncarnation(t)}}})
}

// Check verifies the invariants of the state.
func (m *machine) Check(t *rapid.T) {
	open := map[TaskKey]int{}
	m.state.VisitAllOpenAttempts(func(a OpenAttempt) { open[a.Attempt.Task]++ })
	for _, job := range m.state.Jobs {
		for _, run := range job.Runs {
			m.checkRun(t, job, run, open)
		}
	}
	m.checkVersions(t)
	for _, job := range m.state.liveJobs {
		for _, suspect := range job.Suspects {
			if suspect.givenUp() {
				t.Fatalf("workers crashed %d times under task %d of step %d of %s but the job has not ended", len(suspect.Crashed), suspect.Index, suspect.Step, job.ID)
			}
		}
	}
	restored := Restore(m.state.Capture())
	if !reflect.DeepEqual(openAttempts(restored), openAttempts(m.state)) || len(restored.liveJobs) != len(m.state.liveJobs) {
		t.Fatalf("the restored state has other open attempts or live jobs")
	}
}

// openAttempts returns the open attempts without the versions of their sets, because Restore
// assigns new versions.
func openAttempts(s *State) map[Incarnation]map[Attempt]*Task {
	openSets := map[Incarnation]map[Attempt]*Task{}
	for incarnation, set := range s.openSets {
		openSets[incarnation] = set.attempts
	}
	return openSets
}

// observed is the set of open attempts of an incarnation, with its version.
type observed struct {
	version  uint64
	attempts map[Attempt]bool // whether the job has ended
}

// checkVersions verifies that the open attempts of an incarnation change only together with their
// version.
func (m *machine) checkVersions(t *rapid.T) {
	now := map[Incarnation]observed{}
	for _, incarnation := range m.state.OpenIncarnations() {
		current := observed{m.state.OpenVersion(incarnation), map[Attempt]bool{}}
		m.state.VisitOpenAttempts(incarnation, func(a OpenAttempt) { current.attempts[a.Attempt] = a.Ended })
		now[incarnation] = current
	}
	for incarnation, before := range m.observed {
		after := now[incarnation]
		if before.version == m.state.OpenVersion(incarnation) && !reflect.DeepEqual(before.attempts, after.attempts) {
			t.Fatalf("version %d of %v had the attempts %v and later %v", before.version, incarnation, before.attempts, after.attempts)
		}
	}
	m.observed = now
}

func (m *machine) checkRun(t *rapid.T, job *Job, run *Run, open map[TaskKey]int) {
	for step := range run.Steps {
		done := 0
		for i, task := range run.Steps[step].Tasks {
			k := key(string(job.ID), step, i)
			if open[k] > 1 || (open[k] == 1) != (task.Phase == TaskOpen) {
				t.Fatalf("task %s in phase %d has %d open attempts", k, task.Phase, open[k])
			}
			if task.Attempt < m.lastAttempt[k] {
				t.Fatalf("task %s: attempt %d after %d", k, task.Attempt, m.lastAttempt[k])
			}
			if task.Failures >= job.MaxFailures && !job.Ended() {
				t.Fatalf("task %s failed %d times but its job has not ended", k, task.Failures)
			}
			if m.done[k] && task.Phase != TaskDone {
				t.Fatalf("task %s was done and is in phase %d", k, task.Phase)
			}
			m.lastAttempt[k] = task.Attempt
			if task.Phase == TaskDone {
				m.done[k] = true
				done++
			}
			if step == 1 && task.Attempt > 0 && run.Steps[0].Done < job.Steps[0].Count {
				t.Fatalf("task %s started before the first step was done", k)
			}
		}
		if done != run.Steps[step].Done {
			t.Fatalf("step %d of %s records %d done tasks, but %d are done", step, job.ID, run.Steps[step].Done, done)
		}
	}
}

// Guards against sequences of commands after which a task has two open attempts, starts before its
// dependencies are done, or continues after too many failures or crashes, after which a restored
// state differs, or in which open attempts change without a new version.
func TestRandomCommands(t *testing.T) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{state: New(), endNumbers: map[Incarnation]uint64{}, lastAttempt: map[TaskKey]uint32{}, done: map[TaskKey]bool{}}
		t.Repeat(map[string]func(*rapid.T){
			"submit": m.Submit, "cancel": m.Cancel, "report": m.Report,
			"assign": m.Assign, "assign again": m.Assign, "end": m.End, "lose": m.Lose, "crash": m.Crash, "answer": m.Answer, "": m.Check,
		})
	})
}
