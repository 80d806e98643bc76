package scheduler

import (
	"context"
	"fmt"
	"testing"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/syncmsg"
	"samphirepaddle.example/daemon/replica"
)

// BenchmarkPlan measures one plan with 16 open attempts on each target: with nothing to
// decide, and with 20 queued jobs that are placed (their assignments are not committed).
func BenchmarkPlan(b *testing.B) {
	for _, targets := range []int{65, 600, 1400} {
		for _, queued := range []int{0, 20} {
			b.Run(fmt.Sprintf("targets=%d/queued=%d", targets, queued), func(b *testing.B) {
				benchPlan(b, targets, queued)
			})
		}
	}
}

// BenchmarkPlanFull measures a plan without free capacity: 350 tenants with 20 queued jobs each.
func BenchmarkPlanFull(b *testing.B) {
	for _, targets := range []int{65, 1400} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			w, summaries := benchSite(b, targets, 20)
			var tenants []model.Tenant
			for i := range 350 {
				tenants = append(tenants, model.Tenant{ID: model.TenantID(fmt.Sprint("tenant", i))})
			}
			w.must(b, state.Command{SubmitTicket: &state.SubmitTicket{Ticket: model.Ticket{Number: 2, Tenants: tenants[:175]}}})
			w.must(b, state.Command{SubmitTicket: &state.SubmitTicket{Ticket: model.Ticket{Number: 3, Tenants: tenants[175:]}}})
			for i := range 350 * 20 {
				w.queue(b, fmt.Sprint("q", i), tenants[i%350].ID)
			}
			w.bench(b, summaries)
		})
	}
}

func benchPlan(b *testing.B, targets, queued int) {
	w, summaries := benchSite(b, targets, 16)
	for q := range queued {
		w.queue(b, fmt.Sprint("q", q), "a")
	}
	w.bench(b, summaries)
}

func (w *site) must(b *testing.B, c state.Command) {
	if r, _ := w.log.Propose(context.Background(), c); !r.OK() {
		b.Fatal(r.Message)
	}
}

func (w *site) queue(b *testing.B, id string, tenant model.TenantID) {
	w.must(b, state.Command{ProposedAt: w.now, SubmitJob: &state.SubmitJob{Key: id, Spec: model.JobSpec{ID: model.JobID(id), Tenant: tenant, Pool: "shops",
		Class: model.ClassBatch, Kind: "plan", Declared: model.Resources{Slots: 1}}}})
}

// bench measures plans; no decision is committed.
func (w *site) bench(b *testing.B, summaries map[model.TargetID]syncmsg.TargetSummary) {
	b.ResetTimer()
	for range b.N {
		var commands []state.Command
		w.log.View(func(st *state.State) { commands = w.s.planner.decide(st, summaries, nil, w.now) })
		summaries = nil // owners report only changes
		for _, c := range commands {
			w.s.finishProposal(0, c, false)
		}
	}
}

// benchSite returns a site with a number of open attempts on each target of 20 slots.
func benchSite(b *testing.B, targets, open int) (*site, map[model.TargetID]syncmsg.TargetSummary) {
	log := replica.NewMemoryLog("c", "")
	w := &site{log: log, now: 1_000_000, reported: make(chan struct{})}
	w.s = New(log, w, noLog)
	w.must(b, state.Command{SubmitTicket: &state.SubmitTicket{Ticket: model.Ticket{Number: 1, Pools: []model.Pool{{ID: "shops"}}, Tenants: []model.Tenant{{ID: "a"}}}}})
	w.must(b, state.Command{RegisterGateway: &state.RegisterGateway{Gateway: "gw", Incarnation: "x"}})
	for t := range targets {
		id := model.TargetID(fmt.Sprint("t", t))
		w.must(b, state.Command{JoinTarget: &state.JoinTarget{Target: id, StartID: "p", Pool: "shops", Capacity: model.Resources{Slots: 20}}})
		for j := range open {
			job := fmt.Sprintf("j%d-%d", t, j)
			w.queue(b, job, "a")
			w.must(b, state.Command{AssignAttempt: &state.AssignAttempt{Attempt: model.AttemptID{Job: model.JobID(job), Number: 1}, Target: id, Epoch: epochOf(log, id), Reserved: model.Resources{Slots: 1}}})
		}
	}
	return w, w.TakeSummaries(0)
}

func epochOf(log replica.Log, id model.TargetID) (epoch model.Epoch) {
	log.View(func(st *state.State) { epoch = st.Targets[id].Epoch })
	return epoch
}
