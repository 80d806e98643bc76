package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"samphirepaddle.example/core/dispatch"
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/workflow"
	"samphirepaddle.example/daemon/bootclock"
	"samphirepaddle.example/daemon/replica"
)

// fixedLog is a Log whose state does not change.
type fixedLog struct {
	replica.Log
	state *state.State
}

func (l fixedLog) View(query func(*state.State)) { query(l.state) }

// Size of the largest deployment, and of the work in a pass.
const (
	benchWorkers     = 1100
	benchLastingJobs = 120 // of 24 tasks
	benchTimedJobs   = 150 // of 40 tasks, a third of which run
	benchChanged     = 150 // workers that answered since the last pass
)

func applyOrFail(b testing.TB, st *state.State, c workflow.Command) {
	b.Helper()
	if outcome, message := st.Workflows.Apply(model.Millis(time.Now().UnixMilli()), st.Config.Routing, &c); outcome != workflow.Accepted {
		b.Fatalf("%v: %s", outcome, message)
	}
}

// planningLeadership returns the leadership of a fleet whose workers run serving and best-effort
// tasks, while twice as many best-effort tasks wait. It makes no calls.
func planningLeadership(b testing.TB, workers, lastingJobs, timedJobs int) (*leadership, *state.State) {
	st := state.New()
	st.Config.Routing = &model.Routing{
		Routes: []model.Route{
			{Name: "q", Host: "h", PathPrefix: "/q/", Service: "s", Priority: 2, TimeoutMs: 1000, MaxAttempts: 2, SlackFactor: 2, TargetCompletionMs: 1000},
			{Name: "u", Host: "h", PathPrefix: "/u/", Service: "s", TimeoutMs: 1000, MaxAttempts: 2, SlackFactor: 2, TargetCompletionMs: 250},
		},
		Services: []model.WorkerService{{Name: "s"}},
	}
	var batch workflow.Batch
	for i := range workers {
		batch.Workers = append(batch.Workers, workflow.Worker{
			Incarnation: workflow.Incarnation{Worker: workflow.WorkerID(fmt.Sprintf("i-%08x", i*7919)), StartedAt: 1}, Addr: "w:1", Service: "s",
			CPUMillis: 64_000, MemoryMiB: 256_000, Zone: "z", Rack: fmt.Sprintf("r%d", i/8), Labels: []string{"a", fmt.Sprintf("r%d", i/8)},
		})
	}
	next := 0
	submit := func(id string, running int, step workflow.StepSpec) {
		applyOrFail(b, st, workflow.Command{Submit: &workflow.Submission{Host: "h", Path: "/q/" + id, Steps: []workflow.StepSpec{step}}})
		for t := range running {
			attempt := workflow.Attempt{Task: workflow.TaskKey{Job: workflow.JobID(id), Index: t}, Number: 1}
			batch.Assign = append(batch.Assign, workflow.Assignment{Attempt: attempt, Incarnation: batch.Workers[next%workers].Incarnation})
			next++
		}
	}
	for i := range lastingJobs {
		submit(fmt.Sprintf("lasting%d", i), 24, workflow.StepSpec{
			Count: 24, CPUMillis: 13_000, MemoryMiB: 26_000, LongRunning: true, TailTargetMs: 18, Image: fmt.Sprintf("s%d", i%16),
		})
	}
	for i := range timedJobs {
		submit(fmt.Sprintf("timed%d", i), 13, workflow.StepSpec{
			Count: 40, CPUMillis: 7000, MemoryMiB: 13_000, EstimateMs: 2700, UsesSpareCPU: true, Checkpoints: true, Image: fmt.Sprintf("f%d", i%30),
		})
	}
	applyOrFail(b, st, workflow.Command{Batch: &batch})
	l := &leadership{
		engine: NewEngine(Options{Log: fixedLog{state: st}}), ctx: b.Context(), logger: zerolog.Nop(), limiter: &logLimiter{},
		sampledLogger: zerolog.Nop(), passRequests: make(chan struct{}, 1), since: bootclock.Now(), sessions: map[workflow.Incarnation]*session{},
		reports: map[workflow.WorkerID]*pendingReport{}, seenAt: newSeenAt(), waits: map[waitKey]*waitLog{}, plannerState: dispatch.NewPlannerState(),
		stalls: map[workflow.TaskKey]int{},
	}
	for _, w := range st.Workflows.Workers {
		l.sessions[w.Incarnation] = &session{leadership: l, incarnation: w.Incarnation, addr: w.Addr, tokenAccepted: true, orders: map[workflow.Attempt]*order{}}
	}
	for _, s := range l.sessions {
		answer(st, s, 0)
	}
	return l, st
}

// addSteadyLoad leaves the workers memory for short tasks only and submits what waits in the busiest seconds: lasting
// and best-effort steps that have no room, and as many short tasks as one pass of 20 ms starts at 1,800 starts a second.
func addSteadyLoad(b testing.TB, st *state.State) {
	for _, w := range st.Workflows.Workers {
		w.MemoryMiB = 0
		st.Workflows.VisitOpenAttempts(w.Incarnation, func(a workflow.OpenAttempt) { w.MemoryMiB += a.Step.MemoryMiB })
		w.MemoryMiB += 1000
	}
	submit := func(id, path string, step workflow.StepSpec) {
		applyOrFail(b, st, workflow.Command{Submit: &workflow.Submission{Host: "h", Path: path + id, Steps: []workflow.StepSpec{step}}})
	}
	for i := range 40 {
		submit(fmt.Sprintf("late%d", i), "/q/", workflow.StepSpec{
			Count: 24, CPUMillis: 13_000, MemoryMiB: 26_000 - int64(i), LongRunning: true, TailTargetMs: 18, Image: fmt.Sprintf("s%d", i%16),
		})
	}
	for i := range 9 {
		submit(fmt.Sprintf("short%d", i), "/u/", workflow.StepSpec{Count: 4, CPUMillis: 500, MemoryMiB: 200, EstimateMs: 100, Image: "u"})
	}
}

// answer takes in a listing of the worker's open attempts.
func answer(st *state.State, s *session, round int) {
	var listing Listing
	st.Workflows.VisitOpenAttempts(s.incarnation, func(a workflow.OpenAttempt) {
		listing.Running = append(listing.Running, RunningAttempt{Attempt: a.Attempt, Progress: 100, Usage: int64(8 + round%5)})
		s.orderOf(a.Attempt).phase = startAnswered
	})
	s.answeredAt = bootclock.Now()
	s.applyListing(s.answeredAt, s.answeredAt, listing)
}

// BenchmarkBuildPlan plans passes in which a part of the workers has answered since the last one.
func BenchmarkBuildPlan(b *testing.B) {
	for _, c := range []struct {
		name   string
		kind   passKind
		steady bool
	}{{"full", fullPass, false}, {"reserved", reservedPass, false}, {"steady", fullPass, true}, {"steady-reserved", reservedPass, true}} {
		b.Run(c.name, func(b *testing.B) {
			l, st := planningLeadership(b, benchWorkers, benchLastingJobs, benchTimedJobs)
			if c.steady {
				addSteadyLoad(b, st)
			}
			sessions := make([]*session, 0, len(l.sessions))
			for _, s := range l.sessions {
				sessions = append(sessions, s)
			}
			round := 0
			for b.Loop() {
				round++
				b.StopTimer()
				for i := range benchChanged {
					answer(st, sessions[(round*benchChanged+i)%len(sessions)], round)
				}
				b.StartTimer()
				l.buildPlan(st, &passPlan{kind: c.kind})
			}
		})
	}
}
