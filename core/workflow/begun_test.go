package workflow

import (
	"testing"

	"samphirepaddle.example/core/model"
)

func (s *State) wantPending(t *testing.T, when string, pending int, status JobStatus) {
	t.Helper()
	got, _ := s.StatusOf("j")
	if count := s.PendingJobs("q"); count != pending || got != status {
		t.Errorf("%s: %d jobs are pending, want %d; the job is %s, want %s", when, count, pending, got, status)
	}
}

// Guards against a job that counts as begun because a task of it was assigned, although its start may not have
// reached the worker.
func TestAssignedJobIsPendingUntilATaskHasBegun(t *testing.T) {
	s, a, k := newOpenTask(t)
	s.wantPending(t, "after the assignment", 1, StatusQueued)
	batch(t, s, 3, Batch{Lost: []LostAttempt{{Incarnation: a, Attempt: Attempt{k, 1}}}})
	s.wantPending(t, "after the loss of an attempt that never ran", 1, StatusQueued)
	batch(t, s, 4, Batch{Assign: []Assignment{assign(k, 2, a)}})
	batch(t, s, 5, Batch{Begun: []JobID{"j", "unknown"}})
	s.wantPending(t, "after the worker has accepted the start", 0, StatusRunning)
	batch(t, s, 6, Batch{Lost: []LostAttempt{{Incarnation: a, Attempt: Attempt{k, 2}}}})
	s.wantPending(t, "after the loss of an attempt that ran", 0, StatusRunning)
}

// Guards against a job that goes back to queued after its task has run, and against one that has begun by the end
// of an attempt which the worker cannot have run.
func TestEndProvesThatAJobHasBegun(t *testing.T) {
	for _, kind := range []EndKind{EndFailed, EndStopped, EndLeaseExpired, EndGangBroken, EndGangIncomplete} {
		s, a, k := newOpenTask(t)
		batch(t, s, 3, Batch{Ends: []End{end(k, 1, a, 1, kind)}})
		s.wantPending(t, "after an end "+kind.String(), 0, StatusRunning)
	}
	s, a, k := newOpenTask(t)
	batch(t, s, 3, Batch{Ends: []End{end(k, 2, a, 1, EndStopped), end(key("j", 7, 7), 1, a, 2, EndStopped)}})
	s.wantPending(t, "after ends of attempts that were not assigned", 1, StatusQueued)
	batch(t, s, 4, Batch{Ends: []End{end(k, 1, worker("b", 10).Incarnation, 1, EndStopped)}})
	s.wantPending(t, "after the end on another worker", 1, StatusQueued)
	batch(t, s, 5, Batch{Lost: []LostAttempt{{Incarnation: a, Attempt: Attempt{k, 1}}}})
	batch(t, s, 6, Batch{Ends: []End{end(k, 1, a, 3, EndStopped)}})
	s.wantPending(t, "after an end that is listed later than the loss", 0, StatusRunning)
}

// Guards against a job with a schedule or a gang that stays queued after one of its tasks has run.
func TestFirstEndOfAScheduledGangProvesThatItHasBegun(t *testing.T) {
	s, a, b := newState(t)
	apply(t, s, 1, Command{Submit: &Submission{
		Host: "h", Path: "/q/j", Steps: []StepSpec{{Count: 2, Gang: true}}, Repeats: 2, FirstMs: 100, IntervalMs: 50,
	}})
	batch(t, s, 200, Batch{Assign: []Assignment{assign(key("j", 0, 0), 1, a), assign(key("j", 0, 1), 1, b)}})
	s.wantPending(t, "after the assignment", 1, StatusQueued)
	batch(t, s, 201, Batch{Ends: []End{end(key("j", 0, 0), 1, a, 1, EndDone)}})
	s.wantPending(t, "after the first occurrence", 0, StatusRunning)
}

// Guards against a job that is shown as queued again after a restore, and against a snapshot of an earlier version,
// which has no evidence of starts, that cannot be used.
func TestBegunJobsInSnapshots(t *testing.T) {
	s, _, _ := newOpenTask(t)
	older, err := model.Encode(s.Capture())
	if err != nil {
		t.Fatal(err)
	}
	batch(t, s, 3, Batch{Begun: []JobID{"j"}})
	r := &crashRig{t: t, state: s}
	r.restart()
	r.state.wantPending(t, "restored", 0, StatusRunning)
	var stored Snapshot
	if err := model.Decode(older, &stored); err != nil {
		t.Fatal(err)
	}
	s = Restore(&stored)
	s.wantPending(t, "without evidence", 1, StatusQueued)
	batch(t, s, 4, Batch{Begun: []JobID{"j"}})
	s.wantPending(t, "once a worker lists the task", 0, StatusRunning)
}
