package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// checkStart checks the rules that a start may break; the lock is held.
func (w *world) checkStart(k *worker, m message, j *job, s *step, kk, st, same int) {
	if m.Spec != j.Spec {
		w.violate("UNASKED", "worker %s is told to start %s with another spec", k.id, m.Task)
	}
	if m.Checkpoint != "" {
		owner := m.Task
		if s.Gang {
			owner = gangKey(j.ID, kk, st)
		}
		if w.saves[m.Checkpoint].owner != owner {
			w.violate("UNASKED", "%s starts with checkpoint %q, which is not its own", m.Task, m.Checkpoint)
		}
	}
	if !j.cancelAck.IsZero() && time.Since(j.cancelAck) > cancelMs*time.Millisecond {
		w.violate("UNASKED", "%s starts %v after the cancelling of its job was acknowledged", m.Task, time.Since(j.cancelAck))
	}
	for _, other := range w.workers {
		if r := other.running[m.Task]; other != k && other.up && r != nil {
			w.violate("TWICE", "%s run %d starts on %s while run %d is on %s", m.Task, m.Attempt, k.id, r.attempt, other.id)
		}
	}
	h := w.task(m.Task)
	for _, e := range h.doneEnds {
		if e.noted {
			w.violate("TWICE", "%s run %d starts on %s after run %d has ended done, which was noted", m.Task, m.Attempt, k.id, e.attempt)
		}
	}
	failed := 0
	for _, e := range h.failEnds {
		if e.noted {
			failed++
		}
	}
	if !s.LongRunning && j.maxAttempts > 0 && failed >= j.maxAttempts {
		w.violate("BUDGET", "%s run %d starts after %d failed runs", m.Task, m.Attempt, failed)
	}
	for _, earlier := range s.After {
		if !w.stepDone(j, kk, earlier) {
			w.violate("ORDER", "%s starts before step %d is done", m.Task, earlier)
		}
	}
	if j.Repeats > 0 && time.Now().UnixMilli() < j.FirstMs+int64(kk)*j.Interval-250 {
		w.violate("ORDER", "%s starts before its time", m.Task)
	}
	if s.MaxPerServer > 0 && same >= s.MaxPerServer {
		w.violate("ROUTE", "%s starts beyond max-per-server on %s", m.Task, k.id)
	}
	if s.RequiredLabel != "" && s.RequiredLabel != k.label && s.RequiredLabel != k.rack {
		w.violate("ROUTE", "%s starts on %s without label %s", m.Task, k.id, s.RequiredLabel)
	}
	if !k.drainAck.IsZero() && time.Since(k.drainAck) > 2*time.Second {
		w.violate("DRAIN", "%s starts on %s %v after its draining was acknowledged", m.Task, k.id, time.Since(k.drainAck))
	}
}

// stepDone reports whether all tasks of a step have ended done.
func (w *world) stepDone(j *job, kk, st int) bool {
	for i := range j.Steps[st].Count {
		if len(w.task(fmt.Sprintf("%s.%d.%d.%d", j.ID, kk, st, i)).doneEnds) == 0 {
			if j.Steps[st].Gang {
				continue
			}
			return false
		}
	}
	if j.Steps[st].Gang {
		for i := range j.Steps[st].Count {
			if len(w.task(fmt.Sprintf("%s.%d.%d.%d", j.ID, kk, st, i)).doneEnds) > 0 {
				return true
			}
		}
		return false
	}
	return true
}

// checkNoted checks the rules on starts that came after an end that is taken note of now.
func (w *world) checkNoted(e *ended) {
	h := w.task(e.task)
	if e.how == "done" && h.starts > e.starts {
		w.violate("TWICE", "%s started again after run %d had ended done, and that end is taken note of", e.task, e.attempt)
	}
	if e.how == "failed" {
		id, _, st, _, _ := parseTask(e.task)
		j := w.jobs[id]
		failed, before := 0, 0
		for _, f := range h.failEnds {
			if f.noted {
				failed++
				before = max(before, f.starts)
			}
		}
		if !j.Steps[st].LongRunning && j.maxAttempts > 0 && failed >= j.maxAttempts && h.starts > before {
			w.violate("BUDGET", "%s started again after %d failed runs that are all noted", e.task, failed)
		}
	}
}

// allDone reports whether all tasks of a job have ended done.
func (w *world) allDone(j *job) bool {
	for kk := range max(1, j.Repeats) {
		for st := range j.Steps {
			if !w.stepDone(j, kk, st) {
				return false
			}
		}
	}
	return true
}

// mayFail reports whether a task of the job has had as many failed runs as its queue allows.
func (w *world) mayFail(j *job) bool {
	if j.maxAttempts == 0 {
		return false
	}
	for kk := range max(1, j.Repeats) {
		for st := range j.Steps {
			failed := 0
			for i := range j.Steps[st].Count {
				n := len(w.task(fmt.Sprintf("%s.%d.%d.%d", j.ID, kk, st, i)).failEnds)
				if j.Steps[st].Gang {
					failed += n
				} else {
					failed = max(failed, n)
				}
			}
			if !j.Steps[st].LongRunning && failed >= j.maxAttempts {
				return true
			}
		}
	}
	return false
}

// client submits jobs and asks for their state.
type client struct {
	w *world
	s *system
}

func (c *client) submit(j *job) bool {
	body, _ := json.Marshal(j)
	c.w.mu.Lock()
	c.w.jobs[j.ID] = j
	j.states = map[string]bool{}
	c.w.mu.Unlock()
	refusedAll := true
	for try := range 5 {
		g := c.s.gateways[(try+int(j.ID[15]))%len(c.s.gateways)]
		status, _ := call(3*time.Second, http.MethodPost, "http://"+g.front+j.Prefix+j.ID, body)
		record("client: submit %s at %s: %d", j.ID, g.name, status)
		if status/100 == 2 {
			c.w.mu.Lock()
			j.accepted = time.Now()
			c.w.mu.Unlock()
			return true
		}
		if status != 429 && status != 503 && status != 404 {
			refusedAll = false
		}
		time.Sleep(time.Duration(200*(try+1)) * time.Millisecond)
	}
	if refusedAll {
		record("client: %s was refused by all", j.ID)
	}
	return false
}

// state asks for the state of a job once, and checks the answer.
func (c *client) state(j *job, n int) string {
	g := c.s.gateways[n%len(c.s.gateways)]
	c.w.mu.Lock()
	accepted, cancelled := j.accepted, !j.cancelAck.IsZero()
	c.w.mu.Unlock()
	status, data := call(3*time.Second, http.MethodGet, "http://"+g.front+j.Prefix+j.ID, nil)
	var answer struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(data, &answer)
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	c.w.expireAll()
	switch {
	case status == http.StatusGone && !accepted.IsZero() && time.Since(accepted) > 3*time.Second:
		c.w.violate("LOST", "job %s, accepted before, is answered 410", j.ID)
	case status != http.StatusOK:
		return ""
	case answer.State == "completed" && !c.w.allDone(j):
		c.w.violate("MIXED", "job %s is shown as completed while a task has not ended done", j.ID)
	case answer.State == "failed" && !c.w.mayFail(j):
		if j.lastState != "failed" {
			c.w.violate("LOST", "job %s is shown as failed, and none of its tasks has ended failed as often as allowed", j.ID)
		}
	case answer.State == "cancelled" && !cancelled:
		c.w.violate("LOST", "job %s is shown as cancelled, and nobody cancelled it", j.ID)
	}
	if answer.State != j.lastState {
		record("client: state of %s at %s: %s", j.ID, g.name, answer.State)
		j.lastState = answer.State
		j.states[answer.State] = true
	}
	return answer.State
}

func (c *client) cancel(j *job, n int) bool {
	g := c.s.gateways[n%len(c.s.gateways)]
	status, _ := call(3*time.Second, http.MethodDelete, "http://"+g.front+j.Prefix+j.ID, nil)
	record("client: cancel %s at %s: %d", j.ID, g.name, status)
	if status/100 == 2 || status == http.StatusGone {
		c.w.mu.Lock()
		j.cancelAck = time.Now()
		c.w.mu.Unlock()
		return true
	}
	return false
}

func ended_(state string) bool {
	return slices.Contains([]string{"completed", "failed", "cancelled"}, state)
}
