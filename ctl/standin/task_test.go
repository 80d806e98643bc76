package standin

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"samphirepaddle.example/core/model"
)

// Guards against counting a completion after the lease has expired. This happens when a suspended
// process resumes with both the lease and the task due; the job may have been requeued meanwhile.
func TestCompletionAfterLeaseExpiryDoesNotCount(t *testing.T) {
	target := start(t, newFakeGateway(t), func(c *Config) { c.AnnounceInterval = time.Hour })
	target.mu.Lock()
	defer target.mu.Unlock()
	target.leaseExpiry = time.Now().Add(-time.Millisecond)
	attempt := model.AttemptID{Job: "sheet", Number: 1}
	task := &task{work: workItem{class: model.ClassBatch, attempt: &attempt}, progress: 1, changed: make(chan struct{}), done: make(chan struct{})}
	if !target.endIfDue(task) || task.outcome != outcomeLeaseExpired {
		t.Fatalf("outcome %q, want %q", task.outcome, outcomeLeaseExpired)
	}
}

// Guards against running an attempt whose start arrives after its stop, and against a stop
// response without the end of an attempt that finished before the stop.
func TestStopIsFinal(t *testing.T) {
	target := start(t, newFakeGateway(t), nil)
	if response, _, _ := call(t, target, "POST", "/samphire/v1/tasks/j/1/stop", nil); response.StatusCode != http.StatusOK {
		t.Fatalf("stop of an unknown attempt got status %d", response.StatusCode)
	}
	if _, body := startTask(t, target, attempt(1), Plan{DurationMs: 10}, nil); !strings.Contains(body, outcomeStopped) {
		t.Fatalf("start after the stop returned %q", body)
	}
	if stats := target.Stats(); stats.TasksStarted != 0 {
		t.Fatalf("%d tasks started", stats.TasksStarted)
	}
	startTask(t, target, attempt(2), Plan{DurationMs: 1}, nil)
	eventually(t, "finish", func() bool { return target.Stats().TasksFinished == 1 })
	if _, body, _ := call(t, target, "POST", "/samphire/v1/tasks/j/2/stop", nil); !strings.Contains(body, `"ended":{"attempt":{"job":"j","number":2}`) {
		t.Fatalf("stop after the finish returned %q", body)
	}
}
