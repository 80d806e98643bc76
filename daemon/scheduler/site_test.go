package scheduler

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"testing"

	"github.com/rs/zerolog"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/syncmsg"
	"samphirepaddle.example/daemon/replica"
)

// site is a scheduler with a log and targets. It implements OwnerReports: the free capacity that it
// reports is computed from the state.
type site struct {
	t   *testing.T
	log replica.Log
	s   *Scheduler
	now model.Millis

	mu            sync.Mutex
	lastSummaries map[model.TargetID]syncmsg.TargetSummary
	levels        map[model.GatewayID][]syncmsg.Throttle
	usage         []syncmsg.TargetUsage
	reported      chan struct{}
}

func newSite(t *testing.T, log replica.Log, targets int) *site {
	w := &site{t: t, log: log, now: 1_000_000, reported: make(chan struct{})}
	w.s = New(log, w, noLog)
	w.mustPropose(state.Command{SubmitTicket: &state.SubmitTicket{Ticket: model.Ticket{
		Number:  1,
		Pools:   []model.Pool{{ID: "shops"}},
		Tenants: []model.Tenant{{ID: "a"}, {ID: "b"}, {ID: "small", BatchQuota: model.Resources{Slots: 1}}},
	}}})
	w.mustPropose(state.Command{RegisterGateway: &state.RegisterGateway{Gateway: "gw", Incarnation: "x"}})
	for i := range targets {
		w.join(model.TargetID(fmt.Sprintf("t%d", i)), 4)
	}
	return w
}

func (w *site) join(id model.TargetID, slots int32) {
	w.mustPropose(state.Command{JoinTarget: &state.JoinTarget{Target: id, StartID: "p", Pool: "shops", Capacity: model.Resources{Slots: slots}}})
}

// TakeSummaries returns what changed since the last call, as the controller does.
func (w *site) TakeSummaries(uint64) map[model.TargetID]syncmsg.TargetSummary {
	out := map[model.TargetID]syncmsg.TargetSummary{}
	w.log.View(func(st *state.State) {
		for _, target := range st.AllTargets() {
			free := target.Capacity
			for _, job := range st.OpenJobsOn(target.ID) {
				free = free.Sub(job.OpenAttempt.Reserved)
			}
			summary := syncmsg.TargetSummary{Target: target.ID, Epoch: target.Epoch, AcceptsWork: true, FreeBatch: free}
			if w.lastSummaries[target.ID] != summary {
				out[target.ID] = summary
			}
		}
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lastSummaries == nil {
		w.lastSummaries = map[model.TargetID]syncmsg.TargetSummary{}
	}
	maps.Copy(w.lastSummaries, out)
	return out
}

func (w *site) NextReport() <-chan struct{} { return w.reported }

func (w *site) TakeUsage() []syncmsg.TargetUsage {
	w.mu.Lock()
	defer w.mu.Unlock()
	usage := w.usage
	w.usage = nil
	return usage
}

func (w *site) SetThrottles(levels map[model.GatewayID][]syncmsg.Throttle) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.levels = levels
}

func (w *site) mustPropose(c state.Command) {
	w.t.Helper()
	if result, err := w.log.Propose(context.Background(), c); err != nil || !result.OK() {
		w.t.Fatalf("%+v: %+v %v", c, result, err)
	}
}

func (w *site) submit(id, tenant string, slots int32, urgent bool) {
	w.t.Helper()
	w.mustPropose(state.Command{ProposedAt: w.now, SubmitJob: &state.SubmitJob{Key: id, Spec: model.JobSpec{
		ID: model.JobID(id), Tenant: model.TenantID(tenant), Pool: "shops", Class: model.ClassBatch,
		Kind: "plan", Declared: model.Resources{Slots: slots}, Urgent: urgent, MaxAttempts: 50,
	}}})
}

// plan runs one plan at the site's time, commits every decision, and advances the time by 100 ms.
func (w *site) plan() []state.Command {
	summaries := w.TakeSummaries(0)
	var commands []state.Command
	w.log.View(func(st *state.State) { commands = w.s.planner.decide(st, summaries, w.TakeUsage(), w.now) })
	for _, c := range commands {
		c.ProposedAt = w.now
		result, err := w.log.Propose(context.Background(), c)
		w.s.finishProposal(0, c, err == nil && result.OK())
	}
	w.now += 100
	return commands
}

func (w *site) job(id string) state.Job {
	var job state.Job
	w.log.View(func(st *state.State) { job = *st.Jobs[model.JobID(id)] })
	return job
}

// end closes the open attempt of every job that matches, with the given outcome.
func (w *site) end(outcome state.Outcome, match func(*state.Job) bool) {
	var ends []state.Command
	w.log.View(func(st *state.State) {
		for _, target := range st.AllTargets() {
			for _, job := range st.OpenJobsOn(target.ID) {
				if match(job) {
					ends = append(ends, state.Command{ProposedAt: w.now, EndAttempt: &state.EndAttempt{Attempt: job.OpenAttempt.ID, Epoch: target.Epoch, Outcome: outcome}})
				}
			}
		}
	})
	for _, c := range ends {
		w.mustPropose(c)
	}
}

var noLog = zerolog.Nop()

func newSingleLog() *replica.MemoryLog { return replica.NewMemoryLog("c", "") }
