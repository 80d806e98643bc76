package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"samphirepaddle.example/core/model"
)

// throttledTarget notes the started task and its level.
type throttledTarget struct {
	mu      sync.Mutex
	running []model.AttemptID
	lowest  float64
	level   float64
}

func (s *throttledTarget) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r.URL.Path == "/samphire/v1/tasks":
		var task struct{ Attempt model.AttemptID }
		if json.Unmarshal(body, &task) == nil && len(s.running) == 0 {
			s.running = append(s.running, task.Attempt)
		}
	case strings.HasSuffix(r.URL.Path, "/throttle"):
		var order struct{ Level float64 }
		if json.Unmarshal(body, &order) == nil {
			s.level = order.Level
			s.lowest = min(s.lowest, order.Level)
		}
	}
}

// report announces the target with a usage report about the last moments.
func (s *throttledTarget) report(a *model.Announcement, public string, latencyUs int64) {
	now := model.Millis(time.Now().UnixMilli())
	a.Sequence++
	a.Usage = []model.UsageReport{{
		Service: "s", FromMs: now - 20, ToMs: now, Requests: 1, LatencyUs: latencyUs, Used: model.Resources{Slots: 1},
	}}
	s.mu.Lock()
	a.Running = s.running
	s.mu.Unlock()
	data, _ := json.Marshal(a)
	_, content, _ := post(public, "/v1/targets/announce", string(data))
	var answer model.AnnouncementResponse
	if json.Unmarshal([]byte(content), &answer) == nil && answer.Epoch > 0 {
		a.Epoch = answer.Epoch
	}
}

func (s *throttledTarget) holds(condition func() bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return condition()
}

// Guards against a break anywhere on the way of a throttle: from a target's reports through its
// owner to the leader, and from the leader's decision back to the target.
func TestReportedSlowdownThrottlesTheTask(t *testing.T) {
	s := &throttledTarget{level: 1, lowest: 1}
	server := httptest.NewServer(s)
	defer server.Close()
	public, _, _, _ := startDaemon(t)
	applyTicket(t, public)
	a := &model.Announcement{
		Target: "t1", StartID: "a", Address: server.Listener.Addr().String(), Pool: "p", State: model.TargetReady,
		Capacity: model.Resources{Slots: 4, Connections: 8},
	}
	for range 40 {
		s.report(a, public, 1000)
		time.Sleep(20 * time.Millisecond)
	}
	job := fmt.Sprintf(`{"pool":"p","class":%q,"kind":"plan","declared":{"slots":1,"connections":1},"run_time_ms":60000}`, model.ClassBatch)
	if status, content, err := post(public, "/v1/jobs", job, "Samphire-Tenant", "shop", "Idempotency-Key", "k"); err != nil || status != http.StatusAccepted {
		t.Fatalf("the job got %d %s, %v", status, content, err)
	}
	until(t, "the task is started", func() bool {
		s.report(a, public, 1000)
		return s.holds(func() bool { return len(s.running) == 1 })
	})
	until(t, "the task is throttled", func() bool {
		s.report(a, public, 4000)
		return s.holds(func() bool { return s.lowest < 1 })
	})
	until(t, "the task runs at full speed again", func() bool {
		s.report(a, public, 1000)
		return s.holds(func() bool { return s.level == 1 })
	})
}
