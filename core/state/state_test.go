package state

import (
	"bytes"
	"fmt"
	"testing"

	"samphirepaddle.example/core/model"
)

// world is a state with one gateway, one target, one pool and one tenant.
type world struct {
	t *testing.T
	s *State
}

func newWorld(t *testing.T) *world {
	w := &world{t, New()}
	w.ok(Command{SubmitTicket: &SubmitTicket{model.Ticket{
		Number:  1,
		Author:  "ana",
		Pools:   []model.Pool{{ID: "shops"}},
		Tenants: []model.Tenant{{ID: "andino", BatchQuota: model.Resources{Slots: 4}}},
	}}})
	w.ok(Command{RegisterGateway: &RegisterGateway{Gateway: "gw1", Incarnation: "a"}})
	w.ok(Command{JoinTarget: &JoinTarget{Target: "t1", StartID: "p", Pool: "shops", Capacity: model.Resources{Slots: 8}}})
	return w
}

func (w *world) do(c Command) Result { return w.s.Apply(w.s.Revision+1, c) }

func (w *world) expect(code Code, c Command) Result {
	w.t.Helper()
	result := w.do(c)
	if result.Code != code {
		w.t.Fatalf("got %s (%s), expected %s", result.Code, result.Message, code)
	}
	return result
}

func (w *world) ok(c Command) Result {
	w.t.Helper()
	return w.expect(CodeOK, c)
}

func spec(id model.JobID) model.JobSpec {
	return model.JobSpec{ID: id, Tenant: "andino", Pool: "shops", Class: model.ClassBatch, Declared: model.Resources{Slots: 1}}
}

func (w *world) submit(id model.JobID) {
	w.t.Helper()
	w.ok(Command{SubmitJob: &SubmitJob{spec(id), "key-" + string(id)}})
}

func (w *world) assign(id model.JobID, number uint32) Command {
	return Command{AssignAttempt: &AssignAttempt{
		Attempt: model.AttemptID{Job: id, Number: number}, Target: "t1", Epoch: w.s.Targets["t1"].Epoch,
		Reserved: model.Resources{Slots: 1},
	}}
}

func end(id model.JobID, number uint32, epoch model.Epoch, outcome Outcome) Command {
	return Command{EndAttempt: &EndAttempt{Attempt: model.AttemptID{Job: id, Number: number}, Epoch: epoch, Outcome: outcome}}
}

// Guards against a resend of a ticket being applied a second time, against a ticket of the
// same number replacing an accepted one, and against a loser that is not told who won.
func TestTicketResendAndConflict(t *testing.T) {
	w := newWorld(t)
	ticket := model.Ticket{Number: 7, Author: "ana", Pools: []model.Pool{{ID: "night"}}}
	first := w.ok(Command{SubmitTicket: &SubmitTicket{ticket}})
	if got := w.expect(CodeRepeated, Command{SubmitTicket: &SubmitTicket{ticket}}); got.Revision != first.Revision {
		t.Fatalf("resend: %+v", got)
	}
	ticket.Author = "ben"
	got := w.expect(CodeConflict, Command{SubmitTicket: &SubmitTicket{ticket}})
	if got.AcceptedTicket == nil || got.AcceptedTicket.Author != "ana" || got.AcceptedTicket.Number != 7 {
		t.Fatalf("conflict: %+v", got)
	}
}

// Guards against a part of a ticket being applied when another part is refused, and against
// an older ticket reverting a newer one.
func TestTicketAllOrNone(t *testing.T) {
	w := newWorld(t)
	w.ok(Command{SubmitTicket: &SubmitTicket{model.Ticket{Number: 9, Pools: []model.Pool{{ID: "late"}}}}})
	w.expect(CodeStale, Command{SubmitTicket: &SubmitTicket{model.Ticket{
		Number: 8, Pools: []model.Pool{{ID: "fresh"}, {ID: "late"}},
	}}})
	w.expect(CodeInvalid, Command{SubmitTicket: &SubmitTicket{model.Ticket{
		Number: 10, Pools: []model.Pool{{ID: "fresh"}}, Jobs: []model.JobSpec{{ID: "bad"}},
	}}})
	if _, ok := w.s.Config.Pools["fresh"]; ok {
		t.Fatal("a refused ticket was applied in part")
	}
}

// Guards against a resend of a ticket that is no longer kept being applied again, and against
// a new ticket whose outcome is dropped at once.
func TestTicketFloor(t *testing.T) {
	w := newWorld(t)
	submit := func(n uint64) Command {
		return Command{SubmitTicket: &SubmitTicket{model.Ticket{Number: n, Pools: []model.Pool{{ID: model.PoolID(fmt.Sprint("p", n%7))}}}}}
	}
	for n := uint64(10); n < 10+2*keptTickets; n += 2 {
		w.ok(submit(n))
	}
	w.expect(CodeStale, submit(9))
	w.expect(CodeStale, Command{SubmitTicket: &SubmitTicket{model.Ticket{Number: 1, Pools: []model.Pool{{ID: "other"}}}}})
	if len(w.s.Tickets) != keptTickets {
		t.Fatalf("%d outcomes are kept", len(w.s.Tickets))
	}
	w.ok(Command{SubmitTicket: &SubmitTicket{model.Ticket{Number: 11, Pools: []model.Pool{{ID: "other"}}}}})
	w.expect(CodeRepeated, Command{SubmitTicket: &SubmitTicket{model.Ticket{Number: 11, Pools: []model.Pool{{ID: "other"}}}}})
}

// Guards against a pool or tenant being deleted under work that needs it.
func TestDeleteInUse(t *testing.T) {
	w := newWorld(t)
	w.submit("a")
	for _, ref := range []model.ObjectRef{{Kind: model.KindPool, ID: "shops"}, {Kind: model.KindTenant, ID: "andino"}} {
		w.expect(CodeInvalid, Command{SubmitTicket: &SubmitTicket{model.Ticket{Number: 5, Delete: []model.ObjectRef{ref}}}})
	}
	w.ok(Command{SubmitTicket: &SubmitTicket{model.Ticket{Number: 6, Delete: []model.ObjectRef{
		{Kind: model.KindPool, ID: "shops"}, {Kind: model.KindTenant, ID: "andino"}, {Kind: model.KindJob, ID: "a"},
	}}}})
}

// Guards against a conclusion of an earlier owner that arrives late and requeues a job which
// the present owner has started: the job would run in two places.
func TestLateEndOfEarlierOwner(t *testing.T) {
	w := newWorld(t)
	w.submit("a")
	w.ok(w.assign("a", 1))
	old := w.s.Targets["t1"].Epoch
	w.ok(Command{RegisterGateway: &RegisterGateway{Gateway: "gw2", Incarnation: "b"}})
	w.ok(Command{ExpireGateway: &ExpireGateway{"gw1", w.s.Gateways["gw1"].Epoch}})
	for _, outcome := range []Outcome{OutcomeRefused, OutcomeEvicted, OutcomeStopped, OutcomeLost} {
		w.expect(CodeStale, end("a", 1, old, outcome))
	}
	w.ok(end("a", 1, old, OutcomeFinished))
	w.expect(CodeStale, end("a", 1, old, OutcomeFinished))
}

// Guards against a new process of a target that requeues the attempts of the earlier one while
// that may still run them, and against late announcements of an earlier process.
func TestNewProcessLeavesAttemptsOpen(t *testing.T) {
	w := newWorld(t)
	join := func(start string) Command {
		return Command{JoinTarget: &JoinTarget{Target: "t1", StartID: start, Pool: "shops", Capacity: model.Resources{Slots: 8}}}
	}
	w.submit("a")
	w.ok(w.assign("a", 1))
	w.ok(join("q"))
	if job := w.s.Jobs["a"]; job.Phase != JobAssigned || job.OpenAttempt.StartID != "p" {
		t.Fatalf("job after a new process has joined: %+v", job)
	}
	w.expect(CodeStale, join("p"))
	w.ok(end("a", 1, w.s.Targets["t1"].Epoch, OutcomeLost))
	if job := w.s.Jobs["a"]; job.Phase != JobQueued || job.Losses != 1 {
		t.Fatalf("job after the loss: %+v", job)
	}
}

// Guards against a delayed announcement that makes a target which left live again.
func TestLeftTargetStaysLeft(t *testing.T) {
	w := newWorld(t)
	w.ok(Command{LeaveTarget: &LeaveTarget{"t1", "p"}})
	w.ok(Command{LoseTarget: &LoseTarget{"t1", w.s.Targets["t1"].Epoch}})
	w.ok(Command{JoinTarget: &JoinTarget{Target: "t1", StartID: "p", Pool: "shops", Capacity: model.Resources{Slots: 8}}})
	w.submit("a")
	w.expect(CodeStale, w.assign("a", 1))
}

// Guards against a cancellation that undoes a finish, or a finish that is lost to one.
func TestCancelAgainstFinish(t *testing.T) {
	w := newWorld(t)
	w.submit("a")
	w.submit("b")
	w.ok(w.assign("a", 1))
	w.ok(w.assign("b", 1))
	w.ok(Command{CancelJobs: &CancelJobs{[]model.JobID{"a", "b", "unknown"}}})
	w.ok(end("a", 1, 0, OutcomeFinished))
	w.ok(end("b", 1, w.s.Targets["t1"].Epoch, OutcomeStopped))
	w.ok(Command{CancelJobs: &CancelJobs{[]model.JobID{"a"}}})
	if a, b := w.s.Jobs["a"].Phase, w.s.Jobs["b"].Phase; a != JobFinished || b != JobCancelled {
		t.Fatalf("phases %s and %s", a, b)
	}
}

// Guards against a key that is forgotten while its job is dropped for room, which would run
// the job a second time, and against keys and jobs that are kept for ever.
func TestEndedJobsAreBounded(t *testing.T) {
	w := newWorld(t)
	for i := range maxEndedJobs + 10 {
		id := model.JobID(fmt.Sprint("j", i))
		w.submit(id)
		w.ok(Command{CancelJobs: &CancelJobs{[]model.JobID{id}}})
	}
	if len(w.s.Jobs) != maxEndedJobs {
		t.Fatalf("%d jobs are kept", len(w.s.Jobs))
	}
	w.expect(CodeRepeated, Command{SubmitJob: &SubmitJob{spec("j0"), "key-j0"}})
	for range (maxEndedJobs+10)/trimsPerCommand + 2 {
		w.do(Command{ProposedAt: jobRetention})
	}
	if len(w.s.Jobs)+len(w.s.JobKeys)+w.s.index.endedJobs.len() != 0 {
		t.Fatalf("%d jobs and %d keys are left", len(w.s.Jobs), len(w.s.JobKeys))
	}
}

// Guards against a second run of a keyed request within the time of its record, and against
// records beyond the bound of a tenant.
func TestKeyedRequestsAreBounded(t *testing.T) {
	w := newWorld(t)
	epoch := w.s.Gateways["gw1"].Epoch
	begin := func(key string, at model.Millis) Command {
		return Command{ProposedAt: at, BeginRequest: &BeginRequest{Tenant: "andino", Key: key, Request: model.RequestID(key), Gateway: "gw1", Epoch: epoch}}
	}
	// A record of another tenant comes first, so that the places of dropped records lie behind it.
	w.ok(Command{BeginRequest: &BeginRequest{Tenant: "other", Key: "first", Request: "first", Gateway: "gw1", Epoch: epoch}})
	w.ok(Command{EndRequest: &EndRequest{Tenant: "other", Key: "first", Request: "first", Verdict: model.VerdictRan}})
	for i := range requestsPerTenant {
		key := fmt.Sprint("k", i)
		w.ok(begin(key, 0))
		w.ok(Command{EndRequest: &EndRequest{Tenant: "andino", Key: key, Request: model.RequestID(key), Verdict: model.VerdictRan, Response: &StoredResponse{Body: make([]byte, 400)}}})
	}
	if w.s.index.answerBytes > maxAnswerTotal {
		t.Fatalf("answers take %d bytes", w.s.index.answerBytes)
	}
	w.expect(CodeLimit, begin("new", requestGuard-1))
	w.ok(begin("new", requestGuard))
	if len(w.s.Requests) != requestsPerTenant+1 {
		t.Fatalf("%d records", len(w.s.Requests))
	}
	for i := range 40 {
		w.ok(begin(fmt.Sprint("new", i), requestGuard))
	}
	w.expect(CodeUnknown, begin("k41", requestRetention-1))
	w.trimBoth(requestRetention, requestsPerTenant/trimsPerCommand+2)
	if len(w.s.Requests) != 41 {
		t.Fatalf("%d records are left", len(w.s.Requests))
	}
}

// Guards against a quota that queued or ended jobs count against, or that is exceeded.
func TestQuota(t *testing.T) {
	w := newWorld(t)
	for i := range 5 {
		w.submit(model.JobID(fmt.Sprint("j", i)))
	}
	for i := range 4 {
		w.ok(w.assign(model.JobID(fmt.Sprint("j", i)), 1))
	}
	w.expect(CodeLimit, w.assign("j4", 1))
	w.ok(end("j0", 1, 0, OutcomeFinished))
	w.ok(w.assign("j4", 1))
}

// Guards against an attempt number that is used twice: a late report of the first attempt
// would close the second one.
func TestAttemptNumbersAreUsedOnce(t *testing.T) {
	w := newWorld(t)
	w.submit("a")
	w.ok(w.assign("a", 1))
	w.expect(CodeRepeated, w.assign("a", 1))
	w.expect(CodeStale, w.assign("a", 2))
	w.ok(end("a", 1, w.s.Targets["t1"].Epoch, OutcomeEvicted))
	w.expect(CodeStale, w.assign("a", 1))
	w.ok(w.assign("a", 2))
	w.expect(CodeStale, end("a", 1, w.s.Targets["t1"].Epoch, OutcomeFinished))
}

// Guards against oversized results and checkpoints in the state, and against a finished job
// that stays open because its result is too large.
func TestStoredSizesAreBounded(t *testing.T) {
	w := newWorld(t)
	w.submit("a")
	w.ok(w.assign("a", 1))
	evict := end("a", 1, w.s.Targets["t1"].Epoch, OutcomeEvicted)
	evict.EndAttempt.Checkpoint = []byte("first")
	w.ok(evict)
	w.ok(w.assign("a", 2))
	evict = end("a", 2, w.s.Targets["t1"].Epoch, OutcomeEvicted)
	evict.EndAttempt.Checkpoint = make([]byte, MaxCheckpointBytes+1)
	w.ok(evict)
	if string(w.s.Jobs["a"].Checkpoint) != "first" {
		t.Fatal("an oversized checkpoint replaced the one before")
	}
	w.ok(w.assign("a", 3))
	finish := end("a", 3, 0, OutcomeFinished)
	finish.EndAttempt.Result = make([]byte, maxStoredResult+1)
	w.ok(finish)
	if job := w.s.Jobs["a"]; job.Phase != JobFinished || job.Result != nil || job.Message == "" {
		t.Fatalf("job with an oversized result: %s, %q", job.Phase, job.Message)
	}
	for i := range 20 {
		c := Command{SubmitJob: &SubmitJob{spec(model.JobID(fmt.Sprint("big", i))), fmt.Sprint(i)}}
		c.SubmitJob.Spec.Payload = make([]byte, model.MaxPayloadBytes)
		want := CodeOK
		if (i+1)*model.MaxPayloadBytes > maxLiveBytes {
			want = CodeLimit
		}
		w.expect(want, c)
	}
}

// trimBoth advances the time on the state and on a restored copy of it, and checks after
// every command that both dropped the same records.
func (w *world) trimBoth(at model.Millis, commands int) {
	w.t.Helper()
	data, err := w.s.Snapshot()
	if err != nil {
		w.t.Fatal(err)
	}
	restored, err := Restore(data)
	if err != nil {
		w.t.Fatal(err)
	}
	for i := range commands {
		w.do(Command{ProposedAt: at})
		restored.Apply(restored.Revision+1, Command{ProposedAt: at})
		if len(w.s.Requests) != len(restored.Requests) || len(w.s.Jobs) != len(restored.Jobs) || len(w.s.JobKeys) != len(restored.JobKeys) {
			w.t.Fatalf("command %d: %d and %d requests, %d and %d jobs", i, len(w.s.Requests), len(restored.Requests), len(w.s.Jobs), len(restored.Jobs))
		}
	}
}

// Guards against a restored replica that trims at another pace, because its index lacks the
// places of jobs that were dropped before to bound the memory.
func TestTrimAgreesAfterRestore(t *testing.T) {
	w := newWorld(t)
	const jobs = maxEndedBytes/maxStoredResult + 200
	for n := uint64(2); n < 2+jobs/100; n++ {
		ticket := model.Ticket{Number: n}
		for i := range 100 {
			ticket.Jobs = append(ticket.Jobs, spec(model.JobID(fmt.Sprintf("j%d-%d", n, i))))
		}
		w.ok(Command{SubmitTicket: &SubmitTicket{ticket}})
		for _, job := range ticket.Jobs {
			w.ok(w.assign(job.ID, 1))
			finish := end(job.ID, 1, 0, OutcomeFinished)
			finish.EndAttempt.Result = make([]byte, maxStoredResult)
			w.ok(finish)
		}
	}
	if w.s.index.keptBytes > maxEndedBytes || len(w.s.Jobs) == jobs {
		t.Fatalf("%d jobs with %d bytes are kept", len(w.s.Jobs), w.s.index.keptBytes)
	}
	w.trimBoth(jobRetention, jobs/trimsPerCommand+2)
	if len(w.s.Jobs) != 0 {
		t.Fatalf("%d jobs are left", len(w.s.Jobs))
	}
}

// Guards against replicas that differ because a command visits records in the order of a map.
func TestExpiryIsTheSameOnEveryReplica(t *testing.T) {
	var first []byte
	for range 2 {
		w := newWorld(t)
		epoch := w.s.Gateways["gw1"].Epoch
		for i := range 100 {
			key := fmt.Sprint("k", i)
			w.ok(Command{BeginRequest: &BeginRequest{Tenant: "andino", Key: key, Request: model.RequestID(key), Gateway: "gw1", Epoch: epoch}})
			w.ok(Command{JoinTarget: &JoinTarget{Target: model.TargetID(key), StartID: "p", Pool: "shops", Capacity: model.Resources{Slots: 8}}})
			w.submit(model.JobID(key))
		}
		for i := range 4 {
			w.ok(w.assign(model.JobID(fmt.Sprint("k", i)), 1))
		}
		for i := range 3 {
			w.ok(Command{RegisterGateway: &RegisterGateway{Gateway: model.GatewayID(fmt.Sprint("other", i)), Incarnation: "a"}})
		}
		w.ok(Command{ExpireGateway: &ExpireGateway{"gw1", epoch}})
		w.ok(Command{LoseTarget: &LoseTarget{"t1", w.s.Targets["t1"].Epoch}})
		data, err := w.s.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if first == nil {
			first = data
		} else if !bytes.Equal(first, data) {
			t.Fatal("the same commands led to different states")
		}
	}
}
