package scheduler

import (
	"context"
	"fmt"
	"testing"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/daemon/replica"
)

// BenchmarkPlan measures one plan with 16 open attempts on each target: with nothing to
// decide, and with 20 queued jobs that are placed (their assignment is not committed).
func BenchmarkPlan(b *testing.B) {
	for _, targets := range []int{65, 600, 1400} {
		for _, queued := range []int{0, 20} {
			b.Run(fmt.Sprintf("targets=%d/queued=%d", targets, queued), func(b *testing.B) {
				benchPlan(b, targets, queued)
			})
		}
	}
}

func benchPlan(b *testing.B, targets, queued int) {
	log := replica.NewSingle("c", "")
	w := &site{log: log, now: 1_000_000, reported: make(chan struct{})}
	w.s = New(log, w, quiet)
	must := func(c state.Command) {
		if r, _ := log.Propose(context.Background(), c); !r.OK() {
			b.Fatal(r.Message)
		}
	}
	must(state.Command{SubmitTicket: &state.SubmitTicket{Ticket: model.Ticket{Number: 1, Pools: []model.Pool{{ID: "shops"}}, Tenants: []model.Tenant{{ID: "a"}}}}})
	must(state.Command{RegisterGateway: &state.RegisterGateway{Gateway: "gw", Incarnation: "x"}})
	submit := func(id string) {
		must(state.Command{SubmitJob: &state.SubmitJob{Key: id, Spec: model.JobSpec{ID: model.JobID(id), Tenant: "a", Pool: "shops",
			Class: model.ClassBatch, Kind: "plan", Declared: model.Resources{Slots: 1}}}})
	}
	for t := range targets {
		id := model.TargetID(fmt.Sprint("t", t))
		must(state.Command{JoinTarget: &state.JoinTarget{Target: id, StartID: "p", Pool: "shops", Capacity: model.Resources{Slots: 20}}})
		for j := range 16 {
			job := fmt.Sprintf("j%d-%d", t, j)
			submit(job)
			must(state.Command{AssignAttempt: &state.AssignAttempt{Attempt: model.AttemptID{Job: model.JobID(job), Number: 1}, Target: id, Epoch: epochOf(log, id), Reserved: model.Resources{Slots: 1}}})
		}
	}
	for q := range queued {
		submit(fmt.Sprint("q", q))
	}
	summaries := w.TakeSummaries(0)
	b.ResetTimer()
	for range b.N {
		var commands []state.Command
		log.View(func(st *state.State) { commands = w.s.picture.decide(st, summaries, nil, w.now) })
		summaries = nil // the owners report what has changed
		for _, c := range commands {
			w.s.settle(0, c, false)
		}
	}
}

func epochOf(log replica.Log, id model.TargetID) (epoch model.Epoch) {
	log.View(func(st *state.State) { epoch = st.Targets[id].Epoch })
	return epoch
}
