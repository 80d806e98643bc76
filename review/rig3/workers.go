package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"samphirepaddle.example/platform/standin"
)

const (
	workerCount  = 12
	workerCPU    = 64_000
	callTimeout  = 3 * time.Second
	ordinaryJobs = 10
	finishTime   = 14 * time.Second // finish_s
)

// addWorkers adds idle workers in three zones that send heartbeats to the controllers.
func (s *system) addWorkers(ctx context.Context, pool *standin.Pool, spec standin.RunSpec) {
	for i := range workerCount {
		w := pool.Add(standin.Options{
			ID: fmt.Sprintf("w-%02d", i), Service: serviceName, Rack: fmt.Sprintf("r-%d", i%3), Zone: fmt.Sprintf("zone-%d", i%3),
			CPUMillis: workerCPU, MemoryMiB: 256_000,
			RunSpec: func(string, uint32, string) standin.RunSpec { return spec },
		})
		go w.Heartbeats(ctx, s.seeds)
	}
}

// job is the body of a submission.
type job struct {
	Spec       string  `json:"spec"`
	Phases     []phase `json:"phases"`
	Repeats    int     `json:"repeats,omitempty"`
	IntervalMs int     `json:"interval-ms,omitempty"`
	FirstMs    int64   `json:"first-ms,omitempty"`
}

type phase struct {
	Count      int `json:"count"`
	CPU        int `json:"cpu"`
	MemMB      int `json:"mem-mb"`
	EstimateMs int `json:"estimate-ms,omitempty"`
}

// submit sends a job. A client sends it again, with the same id, after no answer, a 502 or a
// 504, and some time after a 503.
func submit(r *record, client *http.Client, addr, path string, j job) bool {
	body, _ := json.Marshal(j)
	for range 4 {
		a := send(client, http.MethodPost, addr, path, body, callTimeout)
		r.add("POST %s %s: %d %s after %d ms", path, body, a.status, a.body, a.took.Milliseconds())
		switch a.status {
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
			continue
		case http.StatusServiceUnavailable:
			time.Sleep(time.Second)
			continue
		}
		return a.status/100 == 2
	}
	return false
}

// jobState asks for the state of a job. It is empty if there was no answer with a state.
func jobState(r *record, client *http.Client, addr, path string) string {
	a := send(client, http.MethodGet, addr, path, nil, callTimeout)
	r.add("GET %s: %d %s after %d ms", path, a.status, a.body, a.took.Milliseconds())
	var answer struct {
		State string `json:"state"`
	}
	if a.status != http.StatusOK || json.Unmarshal([]byte(a.body), &answer) != nil {
		return ""
	}
	return answer.State
}

// submitOrdinary submits small jobs and returns the paths of those that were accepted.
func submitOrdinary(r *record, client *http.Client, s *system) []string {
	var accepted []string
	for i := range ordinaryJobs {
		path := fmt.Sprintf("/a/%016x", 100+i)
		if submit(r, client, s.gateways[0].addr, path, job{Spec: "x", Phases: []phase{{Count: 1, CPU: 1000, MemMB: 64, EstimateMs: 500}}}) {
			accepted = append(accepted, path)
		}
	}
	return accepted
}

// askFor asks for the jobs for the given time and returns how many had no answer with a state.
func askFor(r *record, client *http.Client, s *system, paths []string, period time.Duration) int {
	answered := map[string]bool{}
	for until := time.Now().Add(period); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		for i, path := range paths {
			if !answered[path] && time.Now().Before(until) {
				answered[path] = jobState(r, client, s.gateways[i%len(s.gateways)].addr, path) != ""
			}
		}
	}
	n := 0
	for _, path := range paths {
		if !answered[path] {
			n++
		}
	}
	return n
}
