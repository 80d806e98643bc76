package controller

import (
	"fmt"
	"testing"
	"time"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/syncmsg"
)

// testFleet is a set of gateways and targets with running attempts.
type testFleet struct {
	controller *testController
	epochs     []model.Epoch
	targets    int
	next       int
	open       []model.AttemptID
}

func newFleet(r *testController, gateways, targets int) *testFleet {
	f := &testFleet{controller: r, targets: targets}
	r.propose(state.Command{SubmitTicket: &state.SubmitTicket{Ticket: model.Ticket{
		Number: 1, Pools: []model.Pool{{ID: "shops"}}, Tenants: []model.Tenant{{ID: "andino"}},
	}}})
	for i := range gateways {
		f.epochs = append(f.epochs, r.register(model.GatewayID(fmt.Sprint("gw", i)), "x"))
	}
	for i := range targets {
		r.propose(state.Command{JoinTarget: &state.JoinTarget{
			Target: model.TargetID(fmt.Sprintf("worker-%03d", i)), StartID: "start", Address: "10.1.2.3:9000", Zone: "sierra-quito",
			Rack: "r1", Pool: "shops", Capacity: model.Resources{Slots: 8, Connections: 64, CPUMillis: 64_000, MemoryMiB: 250_000},
		}})
	}
	return f
}

// start queues and assigns n jobs.
func (f *testFleet) start(n int) {
	size := model.Resources{Slots: 1, CPUMillis: 1000, MemoryMiB: 4096}
	for range n {
		id := model.JobID(fmt.Sprint("plan-", f.next))
		target := model.TargetID(fmt.Sprintf("worker-%03d", f.next%f.targets))
		f.next++
		f.controller.log.Propose(f.controller.t.Context(), state.Command{SubmitJob: &state.SubmitJob{Key: string(id), Spec: model.JobSpec{
			ID: id, Tenant: "andino", Pool: "shops", Class: model.ClassBatch, Kind: "restock-plan", Declared: size, Payload: make([]byte, 100),
		}}})
		attempt := model.AttemptID{Job: id, Number: 1}
		var epoch model.Epoch
		f.controller.log.View(func(st *state.State) { epoch = st.Targets[target].Epoch })
		f.controller.log.Propose(f.controller.t.Context(), state.Command{AssignAttempt: &state.AssignAttempt{Attempt: attempt, Target: target, Epoch: epoch, Reserved: size}})
		f.open = append(f.open, attempt)
	}
}

// finish ends the n oldest attempts.
func (f *testFleet) finish(n int) {
	for _, id := range f.open[:n] {
		f.controller.log.Propose(f.controller.t.Context(), state.Command{EndAttempt: &state.EndAttempt{Attempt: id, Outcome: state.OutcomeFinished}})
	}
	f.open = f.open[n:]
}

// BenchmarkSyncBytes reports the bytes that one gateway's renewals take in one second, with 8
// open attempts on each target: idle, and with 100 starts and 100 ends per second over all
// gateways. The leader responds to a renewal after at most 250 ms, and at each change of the
// gateway's targets.
func BenchmarkSyncBytes(b *testing.B) {
	for _, size := range []struct{ gateways, targets int }{{12, 65}, {29, 600}} {
		for _, rate := range []int{0, 100} {
			b.Run(fmt.Sprintf("gateways=%d/targets=%d/starts=%d", size.gateways, size.targets, rate), func(b *testing.B) {
				benchSync(b, size.gateways, size.targets, rate)
			})
		}
	}
}

func benchSync(b *testing.B, gateways, targets, rate int) {
	r := newTestController(b, time.Hour)
	f := newFleet(r, gateways, targets)
	f.start(targets * 8)
	perSecond := max(4, min(20, 2*rate/gateways))
	changed := (2*rate + gateways*perSecond - 1) / (gateways * perSecond)
	views := make([]syncmsg.View, gateways)
	requests := make([]syncmsg.Request, gateways)
	sent, received, renewals := 0, 0, 0
	renew := func(i int) {
		request := &requests[i]
		views[i].Prepare(request)
		response, out, in, err := r.sync(*request)
		if err != nil {
			b.Fatal(err)
		}
		views[i].Merge(*request, &response)
		request.Revision = response.Revision
		request.All = false
		request.Targets = f.summaries(i, changed)
		sent, received, renewals = sent+out, received+in, renewals+1
	}
	for i := range requests {
		requests[i] = syncmsg.Request{Gateway: model.GatewayID(fmt.Sprint("gw", i)), Epoch: f.epochs[i], All: true, Targets: f.summaries(i, targets)}
		renew(i)
		renew(i)
	}
	sent, received, renewals = 0, 0, 0
	b.ResetTimer()
	for range b.N {
		for range perSecond {
			f.start(rate / perSecond)
			f.finish(rate / perSecond)
			for i := range gateways {
				renew(i)
			}
		}
	}
	seconds := float64(b.N) * float64(gateways)
	b.ReportMetric(float64(sent)/seconds, "sent-B/s/gateway")
	b.ReportMetric(float64(received)/seconds, "received-B/s/gateway")
	b.ReportMetric(float64(renewals)/seconds, "renewals/s/gateway")
}

// summaries returns at most n summaries of a gateway's targets.
func (f *testFleet) summaries(gateway, n int) []syncmsg.TargetSummary {
	var list []syncmsg.TargetSummary
	f.controller.log.View(func(st *state.State) {
		for _, target := range st.OwnedTargets(model.GatewayID(fmt.Sprint("gw", gateway))) {
			if len(list) == n {
				return
			}
			list = append(list, syncmsg.TargetSummary{Target: target.ID, Epoch: target.Epoch, Pool: "shops", AcceptsWork: true,
				FreeBatch: target.Capacity, FreeQuick: int32(f.next % 100)})
		}
	})
	return list
}
