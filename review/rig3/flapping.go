package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"samphirepaddle.example/platform/standin"
)

const (
	flaps        = 8
	flapInterval = 2500 * time.Millisecond
)

func init() { cases["flapping"] = playFlapping }

// playFlapping submits a job whose task lasts, and crashes the worker that runs it again and again. The worker
// starts again at once under its id. The other workers are idle and sound. No run ends as failed, and nobody
// cancels the job.
func playFlapping(r *record, trouble bool) int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s, ok := startSystem(r)
	if s != nil {
		defer s.stop()
	}
	if !ok {
		return exitNotRun
	}
	var mu sync.Mutex
	ranOn := ""
	failedEnds := 0
	pool := standin.NewPool(func(e standin.Event) {
		r.add("%s", e)
		mu.Lock()
		defer mu.Unlock()
		if e.Kind == standin.RunStarted && ranOn == "" {
			ranOn = e.Worker
		}
		if e.Outcome == "failed" {
			failedEnds++
		}
	})
	workers := s.addWorkers(ctx, pool, standin.RunSpec{CPUMillis: 7000, MemoryMiB: 64})
	time.Sleep(4 * time.Second)

	client := &http.Client{}
	path := fmt.Sprintf("/b/%016x", 300)
	if !submit(r, client, s.gateways[0].addr, path, job{Spec: "x", Phases: []phase{{Count: 1, CPU: 7000, MemMB: 64, EstimateMs: 1000, LongRunning: true}}}) {
		return exitNotRun
	}
	time.Sleep(2 * time.Second)
	mu.Lock()
	flapping := workers[ranOn]
	mu.Unlock()
	if flapping == nil {
		r.add("the task was not started")
		return exitNotRun
	}
	var states []string
	for range flaps {
		if trouble {
			flapping.Crash()
		}
		time.Sleep(flapInterval)
		states = append(states, jobState(r, client, s.gateways[1].addr, path))
	}
	time.Sleep(finishTime)
	last := jobState(r, client, s.gateways[1].addr, path)
	mu.Lock()
	defer mu.Unlock()
	r.add("states: %s; at the end: %s; ends as failed: %d", strings.Join(states, " "), last, failedEnds)
	if failedEnds == 0 && (last == "failed" || last == "cancelled") {
		return exitBroken
	}
	return exitHeld
}
