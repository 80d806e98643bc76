package state

import (
	"bytes"
	"fmt"
	"testing"

	"samphirepaddle.example/core/model"
)

// fixture is a state with one gateway, one target, one pool and one tenant.
type fixture struct {
	t *testing.T
	s *State
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t, New()}
	f.ok(Command{SubmitTicket: &SubmitTicket{model.Ticket{
		Number:  1,
		Author:  "ana",
		Pools:   []model.Pool{{ID: "shops"}},
		Tenants: []model.Tenant{{ID: "andino", BatchQuota: model.Resources{Slots: 4}}},
	}}})
	f.ok(Command{RegisterGateway: &RegisterGateway{Gateway: "gw1", Incarnation: "a"}})
	f.ok(Command{JoinTarget: &JoinTarget{Target: "t1", StartID: "p", Pool: "shops", Capacity: model.Resources{Slots: 8}}})
	return f
}

func (f *fixture) do(c Command) Result { return f.s.Apply(f.s.Revision+1, c) }

func (f *fixture) expect(code Code, c Command) Result {
	f.t.Helper()
	result := f.do(c)
	if result.Code != code {
		f.t.Fatalf("got %s (%s), expected %s", result.Code, result.Message, code)
	}
	return result
}

func (f *fixture) ok(c Command) Result {
	f.t.Helper()
	return f.expect(CodeOK, c)
}

func spec(id model.JobID) model.JobSpec {
	return model.JobSpec{ID: id, Tenant: "andino", Pool: "shops", Class: model.ClassBatch, Declared: model.Resources{Slots: 1}}
}

func (f *fixture) submit(id model.JobID) {
	f.t.Helper()
	f.ok(Command{SubmitJob: &SubmitJob{spec(id), "key-" + string(id)}})
}

func (f *fixture) assign(id model.JobID, number uint32) Command {
	return Command{AssignAttempt: &AssignAttempt{
		Attempt: model.AttemptID{Job: id, Number: number}, Target: "t1", Epoch: f.s.Targets["t1"].Epoch,
		Reserved: model.Resources{Slots: 1},
	}}
}

func end(id model.JobID, number uint32, epoch model.Epoch, outcome Outcome) Command {
	return Command{EndAttempt: &EndAttempt{Attempt: model.AttemptID{Job: id, Number: number}, Epoch: epoch, Outcome: outcome}}
}

// Guards against a resubmitted ticket that is applied twice, against a ticket that replaces an
// accepted one of the same number, and against a conflict that does not name the accepted ticket.
func TestTicketResendAndConflict(t *testing.T) {
	f := newFixture(t)
	ticket := model.Ticket{Number: 7, Author: "ana", Pools: []model.Pool{{ID: "night"}}}
	first := f.ok(Command{SubmitTicket: &SubmitTicket{ticket}})
	if got := f.expect(CodeRepeated, Command{SubmitTicket: &SubmitTicket{ticket}}); got.Revision != first.Revision {
		t.Fatalf("resubmitted ticket: %+v", got)
	}
	ticket.Author = "ben"
	got := f.expect(CodeConflict, Command{SubmitTicket: &SubmitTicket{ticket}})
	if got.AcceptedTicket == nil || got.AcceptedTicket.Author != "ana" || got.AcceptedTicket.Number != 7 {
		t.Fatalf("conflict: %+v", got)
	}
}

// Guards against a ticket that is applied in part when one of its objects is rejected, and
// against an older ticket that reverts a newer one.
func TestTicketAllOrNone(t *testing.T) {
	f := newFixture(t)
	f.ok(Command{SubmitTicket: &SubmitTicket{model.Ticket{Number: 9, Pools: []model.Pool{{ID: "late"}}}}})
	f.expect(CodeStale, Command{SubmitTicket: &SubmitTicket{model.Ticket{
		Number: 8, Pools: []model.Pool{{ID: "fresh"}, {ID: "late"}},
	}}})
	f.expect(CodeInvalid, Command{SubmitTicket: &SubmitTicket{model.Ticket{
		Number: 10, Pools: []model.Pool{{ID: "fresh"}}, Jobs: []model.JobSpec{{ID: "bad"}},
	}}})
	if _, ok := f.s.Config.Pools["fresh"]; ok {
		t.Fatal("a rejected ticket was applied in part")
	}
}

// Guards against a ticket that is applied again when it is resubmitted after its record was
// dropped, and against a new ticket whose record is dropped immediately.
func TestTicketFloor(t *testing.T) {
	f := newFixture(t)
	submit := func(n uint64) Command {
		return Command{SubmitTicket: &SubmitTicket{model.Ticket{Number: n, Pools: []model.Pool{{ID: model.PoolID(fmt.Sprint("p", n%7))}}}}}
	}
	for n := uint64(10); n < 10+2*maxTicketRecords; n += 2 {
		f.ok(submit(n))
	}
	f.expect(CodeStale, submit(9))
	f.expect(CodeStale, Command{SubmitTicket: &SubmitTicket{model.Ticket{Number: 1, Pools: []model.Pool{{ID: "other"}}}}})
	if len(f.s.Tickets) != maxTicketRecords {
		t.Fatalf("%d ticket records are kept", len(f.s.Tickets))
	}
	f.ok(Command{SubmitTicket: &SubmitTicket{model.Ticket{Number: 11, Pools: []model.Pool{{ID: "other"}}}}})
	f.expect(CodeRepeated, Command{SubmitTicket: &SubmitTicket{model.Ticket{Number: 11, Pools: []model.Pool{{ID: "other"}}}}})
}

// Guards against the deletion of a pool or tenant that jobs still use.
func TestDeleteInUse(t *testing.T) {
	f := newFixture(t)
	f.submit("a")
	for _, ref := range []model.ObjectRef{{Kind: model.KindPool, ID: "shops"}, {Kind: model.KindTenant, ID: "andino"}} {
		f.expect(CodeInvalid, Command{SubmitTicket: &SubmitTicket{model.Ticket{Number: 5, Delete: []model.ObjectRef{ref}}}})
	}
	f.ok(Command{SubmitTicket: &SubmitTicket{model.Ticket{Number: 6, Delete: []model.ObjectRef{
		{Kind: model.KindPool, ID: "shops"}, {Kind: model.KindTenant, ID: "andino"}, {Kind: model.KindJob, ID: "a"},
	}}}})
}

// Guards against a delayed outcome from a previous owner that requeues a job which the current
// owner has started: the job would run on two targets.
func TestLateEndOfEarlierOwner(t *testing.T) {
	f := newFixture(t)
	f.submit("a")
	f.ok(f.assign("a", 1))
	old := f.s.Targets["t1"].Epoch
	f.ok(Command{RegisterGateway: &RegisterGateway{Gateway: "gw2", Incarnation: "b"}})
	f.ok(Command{ExpireGateway: &ExpireGateway{"gw1", f.s.Gateways["gw1"].Epoch}})
	for _, outcome := range []Outcome{OutcomeRefused, OutcomeEvicted, OutcomeStopped, OutcomeLost} {
		f.expect(CodeStale, end("a", 1, old, outcome))
	}
	f.ok(end("a", 1, old, OutcomeFinished))
	f.expect(CodeStale, end("a", 1, old, OutcomeFinished))
}

// Guards against a new process of a target that causes the attempts of the earlier process to be
// requeued while that process may still run them, and against delayed announcements of an
// earlier process.
func TestNewProcessLeavesAttemptsOpen(t *testing.T) {
	f := newFixture(t)
	join := func(start string) Command {
		return Command{JoinTarget: &JoinTarget{Target: "t1", StartID: start, Pool: "shops", Capacity: model.Resources{Slots: 8}}}
	}
	f.submit("a")
	f.ok(f.assign("a", 1))
	f.ok(join("q"))
	if job := f.s.Jobs["a"]; job.Phase != JobAssigned || job.OpenAttempt.StartID != "p" {
		t.Fatalf("job after a new process has joined: %+v", job)
	}
	f.expect(CodeStale, join("p"))
	f.ok(end("a", 1, f.s.Targets["t1"].Epoch, OutcomeLost))
	if job := f.s.Jobs["a"]; job.Phase != JobQueued || job.Losses != 1 {
		t.Fatalf("job after the loss: %+v", job)
	}
}

// Guards against a delayed announcement after which a target that has left can be assigned
// attempts again.
func TestLeftTargetStaysLeft(t *testing.T) {
	f := newFixture(t)
	f.ok(Command{LeaveTarget: &LeaveTarget{"t1", "p"}})
	f.ok(Command{LoseTarget: &LoseTarget{"t1", f.s.Targets["t1"].Epoch}})
	f.ok(Command{JoinTarget: &JoinTarget{Target: "t1", StartID: "p", Pool: "shops", Capacity: model.Resources{Slots: 8}}})
	f.submit("a")
	f.expect(CodeStale, f.assign("a", 1))
}

// Guards against a cancellation that overrides the result of a finished attempt, whether it is
// committed before or after the end of the attempt.
func TestCancelDoesNotOverrideFinish(t *testing.T) {
	f := newFixture(t)
	f.submit("a")
	f.submit("b")
	f.ok(f.assign("a", 1))
	f.ok(f.assign("b", 1))
	f.ok(Command{CancelJobs: &CancelJobs{[]model.JobID{"a", "b", "unknown"}}})
	f.ok(end("a", 1, 0, OutcomeFinished))
	f.ok(end("b", 1, f.s.Targets["t1"].Epoch, OutcomeStopped))
	f.ok(Command{CancelJobs: &CancelJobs{[]model.JobID{"a"}}})
	if a, b := f.s.Jobs["a"].Phase, f.s.Jobs["b"].Phase; a != JobFinished || b != JobCancelled {
		t.Fatalf("phases %s and %s", a, b)
	}
}

// Guards against a key that is dropped together with a job beyond maxEndedJobs, so that a retry
// would run the job again, and against keys and jobs that are kept forever.
func TestEndedJobsAreBounded(t *testing.T) {
	f := newFixture(t)
	for i := range maxEndedJobs + 10 {
		id := model.JobID(fmt.Sprint("j", i))
		f.submit(id)
		f.ok(Command{CancelJobs: &CancelJobs{[]model.JobID{id}}})
	}
	if len(f.s.Jobs) != maxEndedJobs {
		t.Fatalf("%d jobs are kept", len(f.s.Jobs))
	}
	f.expect(CodeRepeated, Command{SubmitJob: &SubmitJob{spec("j0"), "key-j0"}})
	for range (maxEndedJobs+10)/maxTrimsPerCommand + 2 {
		f.do(Command{ProposedAt: jobRetention})
	}
	if len(f.s.Jobs)+len(f.s.JobKeys)+f.s.index.endedJobs.len() != 0 {
		t.Fatalf("%d jobs and %d keys are left", len(f.s.Jobs), len(f.s.JobKeys))
	}
}

// Guards against a keyed request that runs again while its record must be kept, and against
// records beyond the limit of a tenant.
func TestKeyedRequestsAreBounded(t *testing.T) {
	f := newFixture(t)
	epoch := f.s.Gateways["gw1"].Epoch
	begin := func(key string, at model.Millis) Command {
		return Command{ProposedAt: at, BeginRequest: &BeginRequest{Tenant: "andino", Key: key, Request: model.RequestID(key), Gateway: "gw1", Epoch: epoch}}
	}
	// A record of another tenant comes first, so that the entries of dropped records are not at
	// the front of the queue of ended requests.
	f.ok(Command{BeginRequest: &BeginRequest{Tenant: "other", Key: "first", Request: "first", Gateway: "gw1", Epoch: epoch}})
	f.ok(Command{EndRequest: &EndRequest{Tenant: "other", Key: "first", Request: "first", Verdict: model.VerdictRan}})
	for i := range maxRequestsPerTenant {
		key := fmt.Sprint("k", i)
		f.ok(begin(key, 0))
		f.ok(Command{EndRequest: &EndRequest{Tenant: "andino", Key: key, Request: model.RequestID(key), Verdict: model.VerdictRan, Response: &StoredResponse{Body: make([]byte, 400)}}})
	}
	if f.s.index.responseBytes > maxTotalResponseBytes {
		t.Fatalf("stored responses take %d bytes", f.s.index.responseBytes)
	}
	f.expect(CodeLimit, begin("new", minRequestAge-1))
	f.ok(begin("new", minRequestAge))
	if len(f.s.Requests) != maxRequestsPerTenant+1 {
		t.Fatalf("%d records", len(f.s.Requests))
	}
	for i := range 40 {
		f.ok(begin(fmt.Sprint("new", i), minRequestAge))
	}
	f.expect(CodeUnknown, begin("k41", requestRetention-1))
	f.trimBoth(requestRetention, maxRequestsPerTenant/maxTrimsPerCommand+2)
	if len(f.s.Requests) != 41 {
		t.Fatalf("%d records are left", len(f.s.Requests))
	}
}

// Guards against queued or ended jobs that count towards the quota, and against an exceeded quota.
func TestQuota(t *testing.T) {
	f := newFixture(t)
	for i := range 5 {
		f.submit(model.JobID(fmt.Sprint("j", i)))
	}
	for i := range 4 {
		f.ok(f.assign(model.JobID(fmt.Sprint("j", i)), 1))
	}
	f.expect(CodeLimit, f.assign("j4", 1))
	f.ok(end("j0", 1, 0, OutcomeFinished))
	f.ok(f.assign("j4", 1))
}

// Guards against an attempt number that is used twice: a delayed report of the first attempt
// would close the second.
func TestAttemptNumbersAreUsedOnce(t *testing.T) {
	f := newFixture(t)
	f.submit("a")
	f.ok(f.assign("a", 1))
	f.expect(CodeRepeated, f.assign("a", 1))
	f.expect(CodeStale, f.assign("a", 2))
	f.ok(end("a", 1, f.s.Targets["t1"].Epoch, OutcomeEvicted))
	f.expect(CodeStale, f.assign("a", 1))
	f.ok(f.assign("a", 2))
	f.expect(CodeStale, end("a", 1, f.s.Targets["t1"].Epoch, OutcomeFinished))
}

// Guards against oversized results, checkpoints and payloads in the state, and against a
// finished job that stays open because its result is too large.
func TestStoredSizesAreBounded(t *testing.T) {
	f := newFixture(t)
	f.submit("a")
	f.ok(f.assign("a", 1))
	evict := end("a", 1, f.s.Targets["t1"].Epoch, OutcomeEvicted)
	evict.EndAttempt.Checkpoint = []byte("first")
	f.ok(evict)
	f.ok(f.assign("a", 2))
	evict = end("a", 2, f.s.Targets["t1"].Epoch, OutcomeEvicted)
	evict.EndAttempt.Checkpoint = make([]byte, MaxCheckpointBytes+1)
	f.ok(evict)
	if string(f.s.Jobs["a"].Checkpoint) != "first" {
		t.Fatal("an oversized checkpoint replaced the one before")
	}
	f.ok(f.assign("a", 3))
	finish := end("a", 3, 0, OutcomeFinished)
	finish.EndAttempt.Result = make([]byte, maxResultBytes+1)
	f.ok(finish)
	if job := f.s.Jobs["a"]; job.Phase != JobFinished || job.Result != nil || job.Message == "" {
		t.Fatalf("job with an oversized result: %s, %q", job.Phase, job.Message)
	}
	for i := range 20 {
		c := Command{SubmitJob: &SubmitJob{spec(model.JobID(fmt.Sprint("big", i))), fmt.Sprint(i)}}
		c.SubmitJob.Spec.Payload = make([]byte, model.MaxPayloadBytes)
		want := CodeOK
		if (i+1)*model.MaxPayloadBytes > maxActiveBytes {
			want = CodeLimit
		}
		f.expect(want, c)
	}
}

// trimBoth applies empty commands at the time to the state and to a restored copy, and checks
// after each that both have dropped the same records.
func (f *fixture) trimBoth(at model.Millis, commands int) {
	f.t.Helper()
	data, err := f.s.Snapshot()
	if err != nil {
		f.t.Fatal(err)
	}
	restored, err := Restore(data)
	if err != nil {
		f.t.Fatal(err)
	}
	for i := range commands {
		f.do(Command{ProposedAt: at})
		restored.Apply(restored.Revision+1, Command{ProposedAt: at})
		if len(f.s.Requests) != len(restored.Requests) || len(f.s.Jobs) != len(restored.Jobs) || len(f.s.JobKeys) != len(restored.JobKeys) {
			f.t.Fatalf("command %d: %d and %d requests, %d and %d jobs", i, len(f.s.Requests), len(restored.Requests), len(f.s.Jobs), len(restored.Jobs))
		}
	}
}

// Guards against a restored replica that drops records at other commands than its peers: its
// index has no entries for the jobs that were dropped before the snapshot to limit memory.
func TestTrimAgreesAfterRestore(t *testing.T) {
	f := newFixture(t)
	const jobs = maxEndedBytes/maxResultBytes + 200
	for n := uint64(2); n < 2+jobs/100; n++ {
		ticket := model.Ticket{Number: n}
		for i := range 100 {
			ticket.Jobs = append(ticket.Jobs, spec(model.JobID(fmt.Sprintf("j%d-%d", n, i))))
		}
		f.ok(Command{SubmitTicket: &SubmitTicket{ticket}})
		for _, job := range ticket.Jobs {
			f.ok(f.assign(job.ID, 1))
			finish := end(job.ID, 1, 0, OutcomeFinished)
			finish.EndAttempt.Result = make([]byte, maxResultBytes)
			f.ok(finish)
		}
	}
	if f.s.index.retainedBytes > maxEndedBytes || len(f.s.Jobs) == jobs {
		t.Fatalf("%d jobs with %d bytes are kept", len(f.s.Jobs), f.s.index.retainedBytes)
	}
	f.trimBoth(jobRetention, jobs/maxTrimsPerCommand+2)
	if len(f.s.Jobs) != 0 {
		t.Fatalf("%d jobs are left", len(f.s.Jobs))
	}
}

// Guards against replicas that diverge because a command depends on a map's iteration order.
func TestExpiryIsTheSameOnEveryReplica(t *testing.T) {
	var first []byte
	for range 2 {
		f := newFixture(t)
		epoch := f.s.Gateways["gw1"].Epoch
		for i := range 100 {
			key := fmt.Sprint("k", i)
			f.ok(Command{BeginRequest: &BeginRequest{Tenant: "andino", Key: key, Request: model.RequestID(key), Gateway: "gw1", Epoch: epoch}})
			f.ok(Command{JoinTarget: &JoinTarget{Target: model.TargetID(key), StartID: "p", Pool: "shops", Capacity: model.Resources{Slots: 8}}})
			f.submit(model.JobID(key))
		}
		for i := range 4 {
			f.ok(f.assign(model.JobID(fmt.Sprint("k", i)), 1))
		}
		for i := range 3 {
			f.ok(Command{RegisterGateway: &RegisterGateway{Gateway: model.GatewayID(fmt.Sprint("other", i)), Incarnation: "a"}})
		}
		f.ok(Command{ExpireGateway: &ExpireGateway{"gw1", epoch}})
		f.ok(Command{LoseTarget: &LoseTarget{"t1", f.s.Targets["t1"].Epoch}})
		data, err := f.s.Snapshot()
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
