package state

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"samphirepaddle.example/core/model"
)

// TestMain fixes the seed of the random tests, so that every run checks the same commands.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(m.Run())
}

func drawFrom[T any](t *rapid.T, label string, list ...T) T {
	return rapid.SampledFrom(list).Draw(t, label)
}

func drawID[T ~string](t *rapid.T, prefix string, n int) T {
	return T(fmt.Sprintf("%s%d", prefix, rapid.IntRange(1, n).Draw(t, prefix)))
}

func drawResources(t *rapid.T) model.Resources {
	return model.Resources{Slots: int32(rapid.IntRange(1, 3).Draw(t, "slots")), CPUMillis: 100}
}

func drawJobSpec(t *rapid.T) model.JobSpec {
	return model.JobSpec{
		ID:          drawID[model.JobID](t, "job", 6),
		Tenant:      drawID[model.TenantID](t, "tenant", 2),
		Pool:        drawID[model.PoolID](t, "pool", 2),
		Class:       model.ClassBatch,
		Declared:    drawResources(t),
		Urgent:      rapid.Bool().Draw(t, "urgent"),
		MaxAttempts: 2,
		Payload:     []byte("payload"),
	}
}

func drawTicket(t *rapid.T) model.Ticket {
	out := model.Ticket{
		Number: uint64(rapid.IntRange(1, 40).Draw(t, "number")),
		Author: drawFrom(t, "author", "ana", "ben"),
	}
	switch drawFrom(t, "content", "pool", "tenant", "job", "delete") {
	case "pool":
		out.Pools = []model.Pool{{ID: drawID[model.PoolID](t, "pool", 2)}}
		out.Services = []model.Service{{ID: "desk", Pool: out.Pools[0].ID, QuickDemand: model.Resources{Slots: 1, Connections: 1}, DeadlineMs: 100}}
	case "tenant":
		out.Tenants = []model.Tenant{{ID: drawID[model.TenantID](t, "tenant", 2), BatchQuota: drawResources(t), MaxQueuedJobs: 3}}
	case "job":
		out.Jobs = []model.JobSpec{drawJobSpec(t)}
	default:
		kind := drawFrom(t, "kind", model.KindPool, model.KindTenant, model.KindService, model.KindJob)
		id := map[model.ObjectKind]string{model.KindService: "desk", model.KindPool: "pool1", model.KindTenant: "tenant1", model.KindJob: "job1"}
		out.Delete = []model.ObjectRef{{Kind: kind, ID: id[kind]}}
	}
	return out
}

// drawCommand draws a command that often refers to objects of the state.
func drawCommand(t *rapid.T, s *State) Command {
	c := Command{ProposedAt: s.Now + model.Millis(drawFrom(t, "step", 0, 1, 1000, 3_600_000*5))}
	gateway := drawID[model.GatewayID](t, "gw", 3)
	target := drawID[model.TargetID](t, "target", 4)
	job := drawID[model.JobID](t, "job", 6)
	if known := sortedKeys(s.Jobs); len(known) > 0 && rapid.Bool().Draw(t, "known") {
		job = drawFrom(t, "job of the state", known...)
	}
	sessionEpoch, ownershipEpoch := model.Epoch(1), model.Epoch(1)
	if g := s.Gateways[gateway]; g != nil {
		sessionEpoch = g.Epoch
	}
	if g := s.Targets[target]; g != nil {
		ownershipEpoch = g.Epoch
	}
	attempt := model.AttemptID{Job: job, Number: 1}
	if j := s.Jobs[job]; j != nil && j.OpenAttempt != nil {
		attempt = j.OpenAttempt.ID
		ownershipEpoch = s.Targets[j.OpenAttempt.Target].Epoch - model.Epoch(drawFrom(t, "age", 0, 0, 0, 1))
	} else if j != nil {
		attempt.Number = j.Attempts + 1
	}
	key := drawID[string](t, "key", 4)
	request := drawID[model.RequestID](t, "request", 3)
	switch rapid.IntRange(0, 19).Draw(t, "command") {
	case 0, 1:
		c.SubmitTicket = &SubmitTicket{drawTicket(t)}
	case 2:
		c.RegisterGateway = &RegisterGateway{Gateway: gateway, Incarnation: drawFrom(t, "incarnation", "a", "b"), Zone: "z"}
	case 3:
		c.ExpireGateway = &ExpireGateway{gateway, sessionEpoch}
	case 4:
		c.DrainGateway = &DrainGateway{gateway, sessionEpoch}
	case 5, 6:
		c.JoinTarget = &JoinTarget{Target: target, StartID: drawFrom(t, "start", "p", "q", "r"), Zone: "z", Pool: "pool1", Capacity: model.Resources{Slots: 8}}
	case 7:
		c.LoseTarget = &LoseTarget{target, ownershipEpoch}
	case 8:
		c.QuarantineTarget = &QuarantineTarget{target, rapid.Bool().Draw(t, "on"), "test", rapid.Bool().Draw(t, "operator")}
	case 9:
		c.SubmitJob = &SubmitJob{drawJobSpec(t), key}
	case 10:
		c.CancelJobs = &CancelJobs{[]model.JobID{job}}
	case 11, 12:
		c.AssignAttempt = &AssignAttempt{attempt, target, ownershipEpoch, drawResources(t)}
		if g := s.Targets[target]; g != nil {
			c.AssignAttempt.Epoch = g.Epoch
		}
	case 13, 16, 17, 18, 19:
		outcome := drawFrom(t, "outcome", OutcomeFinished, OutcomeFailed, OutcomeEvicted, OutcomeRefused, OutcomeStopped, OutcomeLost)
		c.EndAttempt = &EndAttempt{Attempt: attempt, Epoch: ownershipEpoch, Outcome: outcome, Result: []byte("r"), Checkpoint: []byte("c")}
	case 14:
		c.BeginRequest = &BeginRequest{Tenant: "tenant1", Key: key, Request: request, Gateway: gateway, Epoch: sessionEpoch}
	default:
		c.EndRequest = &EndRequest{Tenant: "tenant1", Key: key, Request: request, Verdict: drawFrom(t, "verdict", model.VerdictRan, model.VerdictNotRun), Response: &StoredResponse{Body: []byte("a")}}
	}
	switch rapid.IntRange(0, 39).Draw(t, "other") {
	case 0:
		c = Command{ProposedAt: c.ProposedAt, MarkNeverRunnable: &MarkNeverRunnable{job, drawFrom(t, "reason", "", "too large")}}
	case 1:
		c = Command{ProposedAt: c.ProposedAt, EvictAttempt: &EvictAttempt{attempt, "urgent work"}}
	case 2:
		c = Command{ProposedAt: c.ProposedAt, LeaveTarget: &LeaveTarget{target, "p"}}
	}
	return c
}

// newSeededState returns a state with pools, tenants, gateways and targets, so that a few
// random commands suffice to reach open attempts.
func newSeededState() *State {
	s := New()
	base := model.Ticket{Number: 1, Pools: []model.Pool{{ID: "pool1"}, {ID: "pool2"}},
		Tenants: []model.Tenant{{ID: "tenant1", BatchQuota: model.Resources{Slots: 6}}, {ID: "tenant2"}}}
	s.Apply(1, Command{SubmitTicket: &SubmitTicket{base}})
	for i := 1; i <= 2; i++ {
		s.Apply(s.Revision+1, Command{RegisterGateway: &RegisterGateway{Gateway: model.GatewayID(fmt.Sprint("gw", i)), Incarnation: "a", Zone: "z"}})
	}
	for i := 1; i <= 3; i++ {
		s.Apply(s.Revision+1, Command{JoinTarget: &JoinTarget{Target: model.TargetID(fmt.Sprint("target", i)), StartID: "p", Zone: "z", Pool: "pool1", Capacity: model.Resources{Slots: 8}}})
	}
	return s
}

func apply(t *rapid.T, s *State, c Command) Result {
	before := s.Revision
	result := s.Apply(before+1, c)
	if s.Revision != before+1 {
		t.Fatalf("revision went from %d to %d", before, s.Revision)
	}
	return result
}

func snapshotOf(t *rapid.T, s *State) []byte {
	data, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Guards against replicas that diverge because a command depends on the iteration order of a
// map, or because the index that Restore rebuilds differs from the one that commands updated.
// Also guards against commands that change a captured state before it is encoded.
func TestReplicasAgreeAfterRestore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := newSeededState(), newSeededState()
		var captured *Capture
		var stored []byte
		n := rapid.IntRange(100, 200).Draw(t, "commands")
		for i := range n {
			c := drawCommand(t, a)
			if got, want := apply(t, b, c), apply(t, a, c); !reflect.DeepEqual(got, want) {
				t.Fatalf("results differ: %+v and %+v", got, want)
			}
			if i == n/2 {
				restored, err := Restore(snapshotOf(t, b))
				if err != nil {
					t.Fatal(err)
				}
				b = restored
				captured, stored = a.Capture(), snapshotOf(t, a)
			}
		}
		if late, err := captured.Encode(); err != nil || !bytes.Equal(late, stored) {
			t.Fatalf("later commands changed a captured state: %v", err)
		}
		if !bytes.Equal(snapshotOf(t, a), snapshotOf(t, b)) {
			t.Fatal("snapshots differ")
		}
	})
}

// Guards against an attempt that is assigned twice, epochs and ticket numbers that decrease, two
// contents accepted under one ticket number, an exceeded quota, and an index that differs from
// the recomputed one.
func TestInvariantsUnderRandomCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSeededState()
		seen := map[model.AttemptID]bool{}
		contents := map[uint64][32]byte{}
		for range rapid.IntRange(100, 200).Draw(t, "commands") {
			epochs, last := epochsOf(s), lastOf(s)
			c := drawCommand(t, s)
			result := apply(t, s, c)
			checkQuota(t, s, c, result)
			for id, epoch := range epochs {
				if now := s.Targets[id]; now != nil && now.Epoch < epoch {
					t.Fatalf("epoch of %s went from %d to %d", id, epoch, now.Epoch)
				}
			}
			for ref, number := range last {
				if now, ok := s.LastTicket[ref]; ok && now < number {
					t.Fatalf("last ticket of %v went from %d to %d", ref, number, now)
				}
			}
			if c.SubmitTicket != nil && result.OK() {
				number, hash := c.SubmitTicket.Ticket.Number, hashOf(c.SubmitTicket.Ticket)
				if old, ok := contents[number]; ok && old != hash {
					t.Fatalf("ticket %d was accepted with two contents", number)
				}
				contents[number] = hash
			}
			if c.AssignAttempt != nil && result.Code == CodeOK {
				if seen[c.AssignAttempt.Attempt] {
					t.Fatalf("attempt %s was assigned twice", c.AssignAttempt.Attempt)
				}
				seen[c.AssignAttempt.Attempt] = true
			}
			checkIndex(t, s)
		}
	})
}

func epochsOf(s *State) map[model.TargetID]model.Epoch {
	epochs := map[model.TargetID]model.Epoch{}
	for id, target := range s.Targets {
		epochs[id] = target.Epoch
	}
	return epochs
}

func lastOf(s *State) map[model.ObjectRef]uint64 {
	last := map[model.ObjectRef]uint64{}
	for ref, number := range s.LastTicket {
		last[ref] = number
	}
	return last
}

// checkQuota sums up the reservations of a tenant's jobs after an assignment and compares them
// with its quota.
func checkQuota(t *rapid.T, s *State, c Command, result Result) {
	if c.AssignAttempt == nil || result.Code != CodeOK {
		return
	}
	tenant := s.Jobs[c.AssignAttempt.Attempt.Job].Spec.Tenant
	var held model.Resources
	for _, job := range s.Jobs {
		if job.OpenAttempt != nil && job.Spec.Tenant == tenant {
			held = held.Add(job.OpenAttempt.Reserved)
		}
	}
	if shortfall := held.Shortfall(s.Config.Tenants[tenant].BatchQuota.ReplaceZeros(held)); shortfall != "" {
		t.Fatalf("tenant %s exceeds its quota: %s", tenant, shortfall)
	}
}

func checkIndex(t *rapid.T, s *State) {
	for id, job := range s.Jobs {
		if (job.OpenAttempt != nil) != (job.Phase == JobAssigned) {
			t.Fatalf("job %s is %s with open attempt %v", id, job.Phase, job.OpenAttempt)
		}
		if job.OpenAttempt != nil && s.Targets[job.OpenAttempt.Target] == nil {
			t.Fatalf("job %s runs on an unknown target", id)
		}
	}
	updated := s.index
	s.rebuildIndex()
	recomputed := s.index
	s.index = updated
	pairs := map[string][2]any{
		"ownedBy": {updated.ownedBy, recomputed.ownedBy}, "unowned": {updated.unowned, recomputed.unowned},
		"openJobs": {updated.openJobs, recomputed.openJobs}, "reserved": {updated.reserved, recomputed.reserved},
		"neverRunnable": {updated.neverRunnable, recomputed.neverRunnable}, "queuedByTenant": {updated.queuedByTenant, recomputed.queuedByTenant},
		"activeByTenant": {updated.activeByTenant, recomputed.activeByTenant}, "activeByPool": {updated.activeByPool, recomputed.activeByPool},
		"activeBytes": {updated.activeBytes, recomputed.activeBytes}, "retainedJobs": {updated.retainedJobs, recomputed.retainedJobs},
		"retainedBytes": {updated.retainedBytes, recomputed.retainedBytes}, "inProgress": {updated.inProgress, recomputed.inProgress},
		"requestsByTenant": {updated.requestsByTenant, recomputed.requestsByTenant}, "responseBytes": {updated.responseBytes, recomputed.responseBytes},
		"ready": {readyOf(updated), readyOf(recomputed)}, "ticketNumbers": {len(updated.ticketNumbers), len(recomputed.ticketNumbers)},
	}
	for name, pair := range pairs {
		if !reflect.DeepEqual(pair[0], pair[1]) {
			t.Fatalf("index %s is %v, recomputed %v", name, pair[0], pair[1])
		}
	}
}

func readyOf(x index) map[model.TenantID][]model.JobID {
	ready := map[model.TenantID][]model.JobID{}
	for tenant, queue := range x.ready {
		for job := range queue.urgent.all() {
			ready[tenant] = append(ready[tenant], job.Spec.ID)
		}
		for job := range queue.normal.all() {
			ready[tenant] = append(ready[tenant], job.Spec.ID)
		}
	}
	return ready
}
