package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"samphirepaddle.example/platform/standin"
)

const (
	scheduledJobs  = 12
	overdueRepeats = 100_000
	repeatInterval = time.Minute
	submitTime     = 35 * time.Second // for the scheduled jobs
	askTime        = 30 * time.Second
)

func init() { cases["backlog"] = playBacklog }

// playBacklog submits ordinary jobs and then a few scheduled ones whose first time lies in the past. Without
// the disruption the scheduled jobs have one overdue occurrence each, otherwise many. The rig acts as the platform
// for the memory of the processes. Later than finish_s after the last submission it asks for the ordinary jobs,
// which have long ended on the workers.
func playBacklog(r *record, trouble bool) int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s, ok := startSystem(r)
	if s != nil {
		defer s.stop()
	}
	if !ok {
		return exitNotRun
	}
	enforcement := s.enforceMemory(r)
	pool := standin.NewPool(func(e standin.Event) {
		if e.Kind == standin.RunStarted || e.Kind == standin.RunEnded {
			r.add("%s", e)
		}
	})
	s.addWorkers(ctx, pool, standin.RunSpec{RunTime: 500 * time.Millisecond, CPUMillis: 1000, MemoryMiB: 64})
	time.Sleep(4 * time.Second)

	client := &http.Client{}
	ordinary := submitOrdinary(r, client, s)
	if len(ordinary) == 0 {
		enforcement.end()
		return exitNotRun
	}
	time.Sleep(3 * time.Second)
	repeats := 1
	if trouble {
		repeats = overdueRepeats
	}
	accepted := 0
	first := time.Now().Add(-time.Duration(repeats) * repeatInterval).UnixMilli()
	scheduled := job{Spec: "x", Phases: []phase{{Count: 8, CPU: 1000, MemMB: 64, EstimateMs: 500}}, Repeats: repeats, IntervalMs: int(repeatInterval.Milliseconds()), FirstMs: first}
	until := time.Now().Add(submitTime)
	for i := 0; i < scheduledJobs && time.Now().Before(until); i++ {
		if submit(r, client, s.gateways[0].addr, fmt.Sprintf("/b/%016x", 200+i), scheduled) {
			accepted++
		}
	}
	r.add("%d scheduled jobs were accepted", accepted)
	time.Sleep(finishTime)

	unanswered := askFor(r, client, s, ordinary, askTime)
	machines := enforcement.machines(r)
	r.add("accepted ordinary jobs with no answer in the %s from finish_s after the last submission: %d of %d", askTime, unanswered, len(ordinary))
	if machines >= machinesOfFault || unanswered > 0 {
		return exitBroken
	}
	return exitHeld
}
