package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"samphirepaddle.example/platform/standin"
)

const (
	cancelClients = 96
	cancelTime    = 72 * time.Second
	knownIDs      = 1000
	cancelAskTime = 25 * time.Second
)

func init() { cases["cancels"] = playCancels }

// playCancels submits ordinary jobs, and then some clients cancel jobs that nobody has submitted: each call names
// another id or, without the disruption, one of a few. The clients leave when processes of two
// machines have ended. The rig acts as the platform for the memory of the processes. Then it asks for the ordinary jobs.
func playCancels(r *record, trouble bool) int {
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

	var next atomic.Int64
	var answers [6]atomic.Int64 // by the first digit of the status, 0 for none
	var clients sync.WaitGroup
	until := time.Now().Add(cancelTime)
	flood := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: cancelClients}}
	for k := range cancelClients {
		clients.Go(func() {
			for time.Now().Before(until) && enforcement.killed() < machinesOfFault {
				id := next.Add(1)
				if !trouble {
					id %= knownIDs
				}
				a := send(flood, http.MethodDelete, s.gateways[k%len(s.gateways)].addr, fmt.Sprintf("/a/%016x", 1<<32+id), nil, callTimeout)
				answers[a.status/100].Add(1)
			}
		})
	}
	for time.Now().Before(until) && enforcement.killed() < machinesOfFault {
		time.Sleep(time.Second)
		r.add("DELETE of ids that nobody submitted: %d sent, memory of the controllers in MiB %v", next.Load(), s.controllersMiB())
	}
	clients.Wait()
	flood.CloseIdleConnections()
	r.add("DELETE of ids that nobody submitted: %d sent; answers 2xx %d, 4xx %d, 5xx %d, none %d", next.Load(), answers[2].Load(), answers[4].Load(), answers[5].Load(), answers[0].Load())

	unanswered := askFor(r, client, s, ordinary, cancelAskTime)
	machines := enforcement.machines(r)
	r.add("accepted ordinary jobs with no answer in the %s after the last DELETE: %d of %d", cancelAskTime, unanswered, len(ordinary))
	if machines >= machinesOfFault || unanswered > 0 {
		return exitBroken
	}
	return exitHeld
}
