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

// throttledTarget is a simulated target that records the started task and its throttle levels.
type throttledTarget struct {
	mu          sync.Mutex
	running     []model.AttemptID
	lowestLevel float64
	level       float64
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
		var throttle struct{ Level float64 }
		if json.Unmarshal(body, &throttle) == nil {
			s.level = throttle.Level
			s.lowestLevel = min(s.lowestLevel, throttle.Level)
		}
	}
}

// report sends an announcement with a usage report about the last 20 ms.
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
	var response model.AnnouncementResponse
	if json.Unmarshal([]byte(content), &response) == nil && response.Epoch > 0 {
		a.Epoch = response.Epoch
	}
}

// checkLocked evaluates the condition with mu locked.
func (s *throttledTarget) checkLocked(condition func() bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return condition()
}

// Guards against a break in the path of a throttle decision: usage reports go from the target through
// its owner to the leader, and the leader's decision goes back to the target.
func TestReportedSlowdownThrottlesTheTask(t *testing.T) {
	s := &throttledTarget{level: 1, lowestLevel: 1}
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
	waitUntil(t, "the task is started", func() bool {
		s.report(a, public, 1000)
		return s.checkLocked(func() bool { return len(s.running) == 1 })
	})
	waitUntil(t, "the task is throttled", func() bool {
		s.report(a, public, 4000)
		return s.checkLocked(func() bool { return s.lowestLevel < 1 })
	})
	waitUntil(t, "the task runs at full speed again", func() bool {
		s.report(a, public, 1000)
		return s.checkLocked(func() bool { return s.level == 1 })
	})
}
