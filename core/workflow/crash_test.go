package workflow

import (
	"fmt"
	"slices"
	"testing"

	"samphirepaddle.example/core/model"
)

// crashRig plays attempts on workers that crash. Each worker process is used once.
type crashRig struct {
	t       *testing.T
	state   *State
	now     model.Millis
	workers int
}

func newCrashRig(t *testing.T) *crashRig { return &crashRig{t: t, state: New(), now: 1} }

func (r *crashRig) apply(b Batch) {
	r.t.Helper()
	r.now++
	batch(r.t, r.state, r.now, b)
}

// start opens the next attempt of each task on a new worker, which accepts the starts.
func (r *crashRig) start(tasks ...TaskKey) Crash {
	r.t.Helper()
	c := r.assign(tasks...)
	var begun []JobID
	for _, k := range tasks {
		begun = append(begun, k.Job)
	}
	r.apply(Batch{Begun: begun})
	return c
}

// assign opens the next attempt of each task on a new worker, which does not answer.
func (r *crashRig) assign(tasks ...TaskKey) Crash {
	r.t.Helper()
	r.workers++
	w := worker("w", model.Millis(r.workers))
	w.Incarnation.Worker = WorkerID(rune('a' + r.workers))
	b := Batch{Workers: []Worker{w}}
	crash := Crash{Incarnation: w.Incarnation}
	for _, k := range tasks {
		number := uint32(r.workers)
		b.Assign = append(b.Assign, assign(k, number, w.Incarnation))
		crash.Attempts = append(crash.Attempts, CrashedAttempt{Attempt: Attempt{k, number}})
	}
	r.apply(b)
	return crash
}

func lossesOf(c Crash) []LostAttempt {
	var lost []LostAttempt
	for _, a := range c.Attempts {
		lost = append(lost, LostAttempt{Incarnation: c.Incarnation, Attempt: a.Attempt})
	}
	return lost
}

// crash starts the tasks on a new worker that crashes.
func (r *crashRig) crash(tasks ...TaskKey) {
	r.t.Helper()
	c := r.start(tasks...)
	r.apply(Batch{Crashes: []Crash{c}, Lost: lossesOf(c)})
}

func (r *crashRig) wantStatus(job JobID, want JobStatus) {
	r.t.Helper()
	if got, _ := r.state.StatusOf(job); got != want {
		r.t.Errorf("job %s is %s, want %s", job, got, want)
	}
}

// restart continues with the state of a snapshot, as after a restart or a change of leader.
func (r *crashRig) restart() {
	r.t.Helper()
	data, err := model.Encode(r.state.Capture())
	if err != nil {
		r.t.Fatal(err)
	}
	var stored Snapshot
	if err := model.Decode(data, &stored); err != nil {
		r.t.Fatal(err)
	}
	r.state = Restore(&stored)
}

// Guards against a task that crashes worker after worker without end.
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	r := newCrashRig(t)
	submit(t, r.state, "poison", StepSpec{Count: 2})
	submit(t, r.state, "sound", StepSpec{Count: 2})
	r.crash(key("poison", 0, 0), key("poison", 0, 1), key("sound", 0, 0), key("sound", 0, 1))
	r.crash(key("poison", 0, 0))
	r.wantStatus("poison", StatusRunning)
	r.restart()
	r.crash(key("poison", 0, 0))
	r.wantStatus("poison", StatusFailed)
	r.wantStatus("sound", StatusRunning)
	if got, want := r.state.Jobs["poison"].Reason, "3 workers crashed under task poison/0/0/0"; got != want {
		t.Errorf("the reason is %q, want %q", got, want)
	}
}

// Guards against a task that is never alone with its worker and so escapes the limit.
func TestTaskAmongOtherSuspectsIsGivenUp(t *testing.T) {
	r := newCrashRig(t)
	for _, job := range []string{"a", "b"} {
		submit(t, r.state, job, StepSpec{Count: 1, LongRunning: true})
	}
	for range maxCrashes - 1 {
		r.crash(key("a", 0, 0), key("b", 0, 0))
		r.wantStatus("a", StatusRunning)
	}
	r.crash(key("a", 0, 0), key("b", 0, 0))
	r.wantStatus("a", StatusFailed)
}

// Guards against a task that crashes its workers some time after its start and is never counted, because
// another task has just started there each time.
func TestLateCrashIsNotExplainedByTaskThatJustStarted(t *testing.T) {
	r := newCrashRig(t)
	submit(t, r.state, "late", StepSpec{Count: 1})
	submit(t, r.state, "sound", StepSpec{Count: maxCrashes})
	for i := range maxCrashes {
		r.wantStatus("late", map[bool]JobStatus{true: StatusQueued, false: StatusRunning}[i == 0])
		c := r.start(key("late", 0, 0), key("sound", 0, i))
		c.Attempts[0].RanMs = CrashWindow
		r.apply(Batch{Crashes: []Crash{c}, Lost: lossesOf(c)})
	}
	r.wantStatus("late", StatusFailed)
	r.wantStatus("sound", StatusRunning)
}

// Guards against sound tasks that are given up because tasks that have crashed workers before crash
// theirs, again and again.
func TestRepeatedSuspectExplainsCrash(t *testing.T) {
	r := newCrashRig(t)
	submit(t, r.state, "sound", StepSpec{Count: 1, LongRunning: true})
	for i := range 2 * maxCrashes {
		poison := fmt.Sprintf("poison%d", i)
		submit(t, r.state, poison, StepSpec{Count: 1})
		r.crash(key(poison, 0, 0))
		for range minCrashes - 1 {
			c := r.start(key("sound", 0, 0), key(poison, 0, 0))
			c.Attempts[0].RanMs = CrashWindow
			r.apply(Batch{Crashes: []Crash{c}, Lost: lossesOf(c)})
		}
		r.wantStatus(JobID(poison), StatusFailed)
	}
	r.wantStatus("sound", StatusRunning)
}

// Guards against a gang that is started again and again although one of its members, or all of them,
// crash their workers: the others end without a crash.
func TestGangThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	for name, c := range map[string]struct{ workers, crashing, starts int }{
		"a member on a worker of its own": {4, 1, minCrashes}, "all members on workers of their own": {4, 4, minCrashes},
		"all members on one worker": {1, 1, maxCrashes},
	} {
		t.Run(name, func(t *testing.T) {
			r := newCrashRig(t)
			submit(t, r.state, "gang", StepSpec{Count: 4, Gang: true})
			for range c.starts {
				r.wantStatus("gang", map[bool]JobStatus{true: StatusQueued, false: StatusRunning}[r.workers == 0])
				r.crashGang("gang", 4, c.workers, c.crashing)
			}
			r.wantStatus("gang", StatusFailed)
		})
	}
}

// crashGang starts the members on as many new workers, of which the first ones crash. The members on the
// others are broken.
func (r *crashRig) crashGang(job string, members, workers, crashing int) {
	r.t.Helper()
	onWorker := make([]Crash, workers)
	number := uint32(r.workers + 1)
	var b Batch
	for i := range onWorker {
		r.workers++
		w := worker(fmt.Sprintf("w%d", r.workers), model.Millis(r.workers))
		b.Workers = append(b.Workers, w)
		onWorker[i].Incarnation = w.Incarnation
	}
	for i := range members {
		c := &onWorker[i%workers]
		a := Attempt{key(job, 0, i), number}
		b.Assign = append(b.Assign, Assignment{Attempt: a, Incarnation: c.Incarnation})
		c.Attempts = append(c.Attempts, CrashedAttempt{Attempt: a})
	}
	r.apply(b)
	r.apply(Batch{Begun: []JobID{JobID(job)}})
	var ended Batch
	for _, c := range onWorker[crashing:] {
		for i, a := range c.Attempts {
			ended.Ends = append(ended.Ends, End{Incarnation: c.Incarnation, Number: uint64(i + 1), Attempt: a.Attempt, Kind: EndGangBroken})
		}
	}
	for _, c := range onWorker[:crashing] {
		ended.Crashes = append(ended.Crashes, c)
		ended.Lost = append(ended.Lost, lossesOf(c)...)
	}
	r.apply(ended)
}

// Guards against sound tasks that are given up because they ran beside a crashing task each time.
func TestLongRunBeforeCrashClearsSuspicion(t *testing.T) {
	r := newCrashRig(t)
	submit(t, r.state, "j", StepSpec{Count: 1, LongRunning: true})
	for range 2 * maxCrashes {
		c := r.start(key("j", 0, 0))
		c.Attempts[0].RanMs = soundRunTime
		r.apply(Batch{Crashes: []Crash{c}, Lost: lossesOf(c)})
	}
	r.wantStatus("j", StatusRunning)
}

// Guards against a count that goes on after an attempt has shown that workers survive the task.
func TestFailedAttemptClearsSuspicion(t *testing.T) {
	r := newCrashRig(t)
	submit(t, r.state, "j", StepSpec{Count: 1, LongRunning: true})
	r.crash(key("j", 0, 0))
	r.crash(key("j", 0, 0))
	c := r.start(key("j", 0, 0))
	r.apply(Batch{Ends: []End{{Incarnation: c.Incarnation, Number: 1, Attempt: c.Attempts[0].Attempt, Kind: EndFailed}}})
	r.crash(key("j", 0, 0))
	r.wantStatus("j", StatusRunning)
}

// Guards against counting the end of a worker that had announced it as a crash.
func TestAnnouncedEndIsNoCrash(t *testing.T) {
	r := newCrashRig(t)
	submit(t, r.state, "j", StepSpec{Count: 1, LongRunning: true})
	for i := range 2 * maxCrashes {
		c := r.start(key("j", 0, 0))
		leaving := Worker{Incarnation: c.Incarnation, Service: "s", Draining: i%2 == 0, Deregistered: i%2 == 1}
		r.apply(Batch{Workers: []Worker{leaving}, Crashes: []Crash{c}, Lost: lossesOf(c)})
	}
	r.wantStatus("j", StatusRunning)
}

// Guards against a crash that counts twice because its batch is applied again.
func TestCrashCountsOnce(t *testing.T) {
	r := newCrashRig(t)
	submit(t, r.state, "j", StepSpec{Count: 1, LongRunning: true})
	c := r.start(key("j", 0, 0))
	for range 2 * maxCrashes {
		r.apply(Batch{Crashes: []Crash{c}, Lost: lossesOf(c)})
	}
	r.wantStatus("j", StatusRunning)
}

// Guards against counting the silence of a worker, and against forgetting the attempts that were
// lost by silence when the worker turns out to have crashed.
func TestLapsedAttemptsCountOnceTheCrashIsKnown(t *testing.T) {
	r := newCrashRig(t)
	submit(t, r.state, "j", StepSpec{Count: 1, LongRunning: true})
	var silent []Crash
	for range 2 * maxCrashes {
		c := r.start(key("j", 0, 0))
		r.apply(Batch{Lapsed: []Crash{c}, Lost: lossesOf(c)})
		silent = append(silent, c)
	}
	r.wantStatus("j", StatusRunning)
	r.restart()
	for _, i := range []int{2, 0} {
		r.apply(Batch{Crashes: []Crash{{Incarnation: silent[i].Incarnation}}})
		r.wantStatus("j", StatusRunning)
	}
	r.apply(Batch{Crashes: []Crash{{Incarnation: silent[1].Incarnation}}})
	r.wantStatus("j", StatusFailed)
}

// Guards against a crash that counts for attempts that had ended before: the worker was silent, and has
// answered since.
func TestLapsedAttemptsDoNotCountOnceTheWorkerHasAnswered(t *testing.T) {
	for _, sameID := range []bool{false, true} {
		r := newCrashRig(t)
		submit(t, r.state, "j", StepSpec{Count: 1, LongRunning: true})
		for range 2 * maxCrashes {
			c := r.start(key("j", 0, 0))
			r.apply(Batch{Lapsed: []Crash{c}, Lost: lossesOf(c)})
			r.apply(Batch{Answered: []Incarnation{c.Incarnation}})
			r.restart()
			crash := Batch{Crashes: []Crash{{Incarnation: c.Incarnation}}}
			if sameID {
				next := *r.state.Workers[c.Incarnation.Worker]
				next.Incarnation.StartedAt += 1000
				crash = Batch{Workers: []Worker{next}}
			}
			r.apply(crash)
		}
		r.wantStatus("j", StatusRunning)
	}
}

// Guards against crashes that are overlooked because the worker starts again under its id.
func TestCrashesOfOneWorkerUnderItsIDCount(t *testing.T) {
	for _, draining := range []bool{false, true} {
		s := New()
		submit(t, s, "j", StepSpec{Count: 1, LongRunning: true})
		k := key("j", 0, 0)
		for i := range minCrashes {
			number, at := uint32(i+1), model.Millis(10*i)
			w, next := worker("a", at), worker("a", at+10)
			batch(t, s, at, Batch{Workers: []Worker{w}, Assign: []Assignment{assign(k, number, w.Incarnation)}})
			batch(t, s, at, Batch{Begun: []JobID{"j"}})
			w.Draining = draining
			batch(t, s, at+1, Batch{Workers: []Worker{w}})
			c := Crash{Incarnation: w.Incarnation, Attempts: []CrashedAttempt{{Attempt: Attempt{k, number}}}}
			batch(t, s, at+2, Batch{Workers: []Worker{next}, Crashes: []Crash{c}, Lost: lossesOf(c)})
		}
		want := StatusFailed
		if draining {
			want = StatusRunning
		}
		if got, _ := s.StatusOf("j"); got != want {
			t.Errorf("draining %v: the job is %s, want %s", draining, got, want)
		}
	}
}

// Guards against a job that is given up for crashes of workers to which its task was only sent, or of which nothing
// shows that it ran there, and against a task that crashes its workers and escapes the limits beside such crashes.
func TestOnlyProvenCrashesGiveATaskUp(t *testing.T) {
	const ran, none, unknown = EvidenceRan, EvidenceNone, EvidenceUnknown
	for name, c := range map[string]struct {
		evidence []CrashEvidence // of one attempt after the other
		want     JobStatus
	}{
		"never ran":                              {slices.Repeat([]CrashEvidence{none}, 2*maxCrashes), StatusQueued},
		"started by earlier leaders only":        {slices.Repeat([]CrashEvidence{unknown}, 2*maxCrashes), StatusQueued},
		"two runs, and starts without answer":    {[]CrashEvidence{none, ran, none, none, ran, none, none}, StatusRunning},
		"one run, and others by earlier leaders": {[]CrashEvidence{unknown, unknown, unknown, unknown, ran}, StatusRunning},
		"two runs, one by an earlier leader":     {[]CrashEvidence{unknown, ran, ran}, StatusFailed},
		"three runs":                             {[]CrashEvidence{none, ran, none, ran, ran}, StatusFailed},
	} {
		r := newCrashRig(t)
		submit(t, r.state, "a", StepSpec{Count: 1})
		for _, evidence := range c.evidence {
			attempts := r.assign(key("a", 0, 0))
			if evidence == ran {
				r.apply(Batch{Begun: []JobID{"a"}})
			}
			attempts.Attempts[0].Evidence, attempts.Attempts[0].Unseen = evidence, evidence == unknown
			r.apply(Batch{Crashes: []Crash{attempts}, Lost: lossesOf(attempts)})
			r.restart()
		}
		if got, _ := r.state.StatusOf("a"); got != c.want {
			t.Errorf("%s: the job is %s, want %s", name, got, c.want)
		}
	}
}

// Guards against a task that crashes its workers late and is never counted, because a start that may not have
// reached the worker explains each crash.
func TestStartWithoutAnswerExplainsNoCrash(t *testing.T) {
	r := newCrashRig(t)
	submit(t, r.state, "late", StepSpec{Count: 1})
	submit(t, r.state, "sound", StepSpec{Count: 1})
	for range maxCrashes {
		c := r.start(key("late", 0, 0), key("sound", 0, 0))
		r.wantStatus("late", StatusRunning)
		c.Attempts[0].RanMs, c.Attempts[1].Evidence = CrashWindow, EvidenceNone
		r.apply(Batch{Crashes: []Crash{c}, Lost: lossesOf(c)})
	}
	r.wantStatus("late", StatusFailed)
	r.wantStatus("sound", StatusRunning)
}
