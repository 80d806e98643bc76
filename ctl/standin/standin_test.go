package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"samphirepaddle.example/core/model"
)

// fakeGateway simulates a gateway that responds to announcements as configured by the test.
type fakeGateway struct {
	*httptest.Server
	mu            sync.Mutex
	response      model.AnnouncementResponse
	unavailable   bool
	announcements []model.Announcement
}

func newFakeGateway(t *testing.T) *fakeGateway {
	gateway := &fakeGateway{response: model.AnnouncementResponse{Epoch: 5, LeaseMs: 3_600_000, NextMs: 5}}
	gateway.Server = httptest.NewServer(http.HandlerFunc(gateway.serve))
	t.Cleanup(gateway.Close)
	return gateway
}

func (g *fakeGateway) serve(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var a model.Announcement
	if json.NewDecoder(r.Body).Decode(&a) != nil || g.unavailable {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	g.announcements = append(g.announcements, a)
	writeJSON(w, g.response)
}

func (g *fakeGateway) update(change func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change()
}

func (g *fakeGateway) last() model.Announcement {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.announcements) == 0 {
		return model.Announcement{}
	}
	return g.announcements[len(g.announcements)-1]
}

// start starts a target with 2 slots and waits until it has a lease.
func start(t *testing.T, gateway *fakeGateway, change func(*Config)) *Target {
	config := Config{
		ID: "w1", Listen: "127.0.0.1:0", Gateways: []string{strings.TrimPrefix(gateway.URL, "http://")},
		Zone: "z1", Rack: "r1", Pool: "p1", Capacity: model.Resources{Slots: 2, Connections: 8, MemoryMiB: 100},
		AnnounceInterval: 5 * time.Millisecond, UsageInterval: 5 * time.Millisecond,
	}
	if change != nil {
		change(&config)
	}
	target, err := Start(config, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(target.Close)
	eventually(t, "lease", func() bool { return target.Stats().Announcements > 0 })
	return target
}

// eventually waits until the condition holds. Its time limit only ends a test that would hang.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 20_000 {
		if holds() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("timed out waiting for: %s", what)
}

func call(t *testing.T, target *Target, method, path string, body any, headers ...string) (*http.Response, string, error) {
	t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	request, err := http.NewRequest(method, "http://"+target.Address()+path, bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(HeaderEpoch, "5")
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return response, string(content), err
}

func attempt(number uint32) model.AttemptID { return model.AttemptID{Job: "j", Number: number} }

func startTask(t *testing.T, target *Target, id model.AttemptID, plan Plan, change func(*StartRequest)) (*http.Response, string) {
	t.Helper()
	payload, err := json.Marshal(plan)
	if err != nil {
		t.Fatal(err)
	}
	body := StartRequest{Attempt: id, Class: model.ClassBatch, Reserved: model.Resources{Slots: 1, MemoryMiB: 10}, Payload: payload}
	if change != nil {
		change(&body)
	}
	response, content, err := call(t, target, "POST", "/samphire/v1/tasks", body)
	if err != nil {
		t.Fatal(err)
	}
	return response, content
}

func expectRefused(t *testing.T, response *http.Response) {
	t.Helper()
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get(HeaderRefused) != "true" {
		t.Fatalf("status %d, refused %q; want 503 and true", response.StatusCode, response.Header.Get(HeaderRefused))
	}
}

const hour = model.Millis(3_600_000)

// Guards against a task that continues after the lease has expired, when the job may already run
// elsewhere.
func TestTasksStopWhenTheLeaseExpires(t *testing.T) {
	gateway := newFakeGateway(t)
	gateway.update(func() { gateway.response.LeaseMs = 200 })
	target := start(t, gateway, nil)
	startTask(t, target, attempt(1), Plan{DurationMs: hour}, nil)
	gateway.update(func() { gateway.unavailable = true })
	eventually(t, "end of the task", func() bool { return target.Stats().TasksLeaseExpired == 1 })
	response, _ := startTask(t, target, attempt(2), Plan{DurationMs: hour}, nil)
	expectRefused(t, response)
	if len(target.Stats().InUse.Shortfall(model.Resources{})) > 0 {
		t.Fatalf("resources still in use: %+v", target.Stats().InUse)
	}
}

// Guards against accepting work or a lease renewal from a former owner.
func TestLowerEpochsAreRefused(t *testing.T) {
	gateway := newFakeGateway(t)
	target := start(t, gateway, nil)
	response, _, err := call(t, target, "GET", "/check", nil, HeaderEpoch, "4", HeaderRequest, "a")
	if err != nil {
		t.Fatal(err)
	}
	expectRefused(t, response)
	lease := target.Stats().LeaseLeftMs
	target.applyResponse(model.Announcement{}, model.AnnouncementResponse{Epoch: 4, LeaseMs: 2 * hour}, time.Now())
	if got := target.Stats(); got.LeaseLeftMs > lease || got.Epoch != 5 || got.RefusedEpoch != 1 {
		t.Fatalf("after a response with a lower epoch: %+v", got)
	}
}

// Guards against a second run after a repeated start, and against an end that is not announced or
// is still announced after its acknowledgement.
func TestTaskRunsOnceAndItsEndIsAnnouncedUntilAcknowledged(t *testing.T) {
	gateway := newFakeGateway(t)
	target := start(t, gateway, nil)
	for range 3 {
		if response, _ := startTask(t, target, attempt(1), Plan{DurationMs: 1}, nil); response.StatusCode != http.StatusOK {
			t.Fatalf("repeated start got status %d", response.StatusCode)
		}
	}
	eventually(t, "announced end", func() bool { return len(gateway.last().Ended) == 1 })
	gateway.update(func() { gateway.response.Acknowledged = []model.AttemptID{attempt(1)} })
	eventually(t, "acknowledged end", func() bool { return len(gateway.last().Ended) == 0 })
	if stats := target.Stats(); stats.TasksStarted != 1 || stats.TasksFinished != 1 || stats.RepeatedStarts != 2 {
		t.Fatalf("stats %+v", stats)
	}
	journal := target.Journal()
	if len(journal) != 2 || journal[0].Event != EventStarted || journal[1].Outcome != outcomeFinished ||
		journal[1].StartID != target.StartID() || *journal[1].Attempt != attempt(1) {
		t.Fatalf("journal %+v", journal)
	}
}

// Guards against wrong progress after a resume, throttle or checkpoint, and against resources that
// stay in use after a stop.
func TestThrottleCheckpointStopAndResume(t *testing.T) {
	target := start(t, newFakeGateway(t), nil)
	half, err := json.Marshal(Checkpoint{Progress: 0.5})
	if err != nil {
		t.Fatal(err)
	}
	startTask(t, target, attempt(1), Plan{DurationMs: hour}, func(s *StartRequest) { s.Checkpoint = half })
	if response, _, _ := call(t, target, "POST", "/samphire/v1/tasks/j/1/throttle", map[string]float64{"level": 0}); response.StatusCode != http.StatusOK {
		t.Fatalf("throttle got status %d", response.StatusCode)
	}
	checkpoint := func() Checkpoint {
		_, body, _ := call(t, target, "POST", "/samphire/v1/tasks/j/1/checkpoint", nil)
		var response checkpointResponse
		var saved Checkpoint
		if json.Unmarshal([]byte(body), &response) != nil || json.Unmarshal(response.Checkpoint, &saved) != nil {
			t.Fatalf("checkpoint %q", body)
		}
		return saved
	}
	first, second := checkpoint(), checkpoint()
	if first.Progress < 0.5 || first.Progress >= 1 || first != second {
		t.Fatalf("paused task had progress %v, then %v", first, second)
	}
	_, body, _ := call(t, target, "POST", "/samphire/v1/tasks/j/1/stop", nil)
	if !strings.Contains(body, outcomeStopped) || len(target.Stats().InUse.Shortfall(model.Resources{})) > 0 {
		t.Fatalf("stop returned %q with %+v in use", body, target.Stats().InUse)
	}
}

// Guards against gaps in streamed output, and against incomplete output that ends without an error.
func TestOutputStreams(t *testing.T) {
	target := start(t, newFakeGateway(t), nil)
	startTask(t, target, attempt(1), Plan{DurationMs: 20, Lines: 4}, nil)
	_, body, err := call(t, target, "GET", "/samphire/v1/tasks/j/1/output?offset=0", nil)
	want := "j line 1\nj line 2\nj line 3\nj line 4\n"
	if err != nil || body != want {
		t.Fatalf("output %q, %v", body, err)
	}
	if _, body, err = call(t, target, "GET", "/samphire/v1/tasks/j/1/output?offset=11", nil); err != nil || body != want[11:] {
		t.Fatalf("output from offset 11 %q, %v", body, err)
	}
	half, err := json.Marshal(Checkpoint{Progress: 0.5, OutputBytes: 18})
	if err != nil {
		t.Fatal(err)
	}
	resume := func(s *StartRequest) { s.Checkpoint = half }
	startTask(t, target, attempt(3), Plan{DurationMs: 20, Lines: 4}, resume)
	if _, body, err = call(t, target, "GET", "/samphire/v1/tasks/j/3/output?offset=18", nil); err != nil || body != want[18:] {
		t.Fatalf("output of a resumed task from offset 18 %q, %v", body, err)
	}
	response, _, _ := call(t, target, "GET", "/samphire/v1/tasks/j/3/output?offset=17", nil)
	if response.StatusCode != http.StatusRequestedRangeNotSatisfiable {
		t.Fatalf("output from before the checkpoint got status %d", response.StatusCode)
	}
	target.SetFaults(Faults{FailTasks: true})
	startTask(t, target, attempt(2), Plan{DurationMs: 20, Lines: 4}, nil)
	if _, _, err = call(t, target, "GET", "/samphire/v1/tasks/j/2/output?offset=0", nil); err == nil {
		t.Fatal("the output of a failed task ended without an error")
	}
	eventually(t, "failure", func() bool { return target.Stats().TasksFailed == 1 })
}

// Guards against work that violates a rule and runs or is not recorded as a violation.
func TestViolationsAreRecordedAndNotRun(t *testing.T) {
	target := start(t, newFakeGateway(t), func(c *Config) { c.LeaveGrace = time.Nanosecond })
	startTask(t, target, attempt(1), Plan{DurationMs: hour}, nil)
	tooMuch := func(s *StartRequest) { s.Reserved.MemoryMiB = 91 }
	response, _ := startTask(t, target, attempt(2), Plan{DurationMs: hour}, tooMuch)
	expectRefused(t, response)
	for range 2 {
		response, _, _ = call(t, target, "POST", "/plan", nil, HeaderRequest, "a", HeaderKey, "k", HeaderTenant, "n")
	}
	if response.StatusCode != http.StatusConflict || response.Header.Get(HeaderRefused) != "" {
		t.Fatalf("second run of a key got status %d, refused %q", response.StatusCode, response.Header.Get(HeaderRefused))
	}
	ctx, cancel := context.WithCancel(t.Context())
	left := make(chan error)
	go func() { left <- target.Leave(ctx) }()
	eventually(t, "leaving", func() bool { target.mu.Lock(); defer target.mu.Unlock(); return target.leavingAcknowledged })
	response, _ = startTask(t, target, attempt(3), Plan{}, nil)
	expectRefused(t, response)
	cancel()
	if err := <-left; err == nil {
		t.Fatal("leave with a task in progress reported success")
	}
	var rules []Rule
	for _, v := range target.Violations() {
		rules = append(rules, v.Rule)
	}
	if fmt.Sprint(rules) != "[capacity key_twice after_leaving]" {
		t.Fatalf("violations %+v", target.Violations())
	}
	if stats := target.Stats(); stats.TasksStarted != 1 || stats.QuickRun != 1 {
		t.Fatalf("stats %+v", stats)
	}
}

// Guards against a graceful leave that interrupts running work or does not announce its end.
func TestLeaveFinishesWork(t *testing.T) {
	gateway := newFakeGateway(t)
	target := start(t, gateway, nil)
	gateway.update(func() { gateway.response.Acknowledged = []model.AttemptID{attempt(1)} })
	startTask(t, target, attempt(1), Plan{DurationMs: 50}, nil)
	if err := target.Leave(t.Context()); err != nil {
		t.Fatal(err)
	}
	if stats := target.Stats(); stats.TasksFinished != 1 || gateway.last().State != model.TargetLeaving {
		t.Fatalf("stats %+v, last announcement %+v", stats, gateway.last())
	}
}

// Guards against usage reports that are sent before Config.UsageLag or omit running tasks.
func TestUsageIsReportedAfterItsLag(t *testing.T) {
	gateway := newFakeGateway(t)
	target := start(t, gateway, nil)
	startTask(t, target, attempt(1), Plan{DurationMs: hour, ReportedUse: model.Resources{CPUMillis: 7}}, nil)
	eventually(t, "report", func() bool {
		for _, r := range gateway.last().Usage {
			if r.Attempt == attempt(1) && r.Used.CPUMillis == 7 && r.ToMs >= r.FromMs && r.ProgressPct >= 0 {
				return true
			}
		}
		return false
	})
	now := time.Now()
	log := usageLog{}
	log.add(now, model.UsageReport{ToMs: 1})
	log.add(now.Add(time.Second), model.UsageReport{ToMs: 2})
	if due := log.due(now); len(due) != 1 || due[0].ToMs != 1 {
		t.Fatalf("due at the first report: %+v", due)
	}
	if log.dropSent(1); len(log.due(now.Add(time.Second))) != 1 {
		t.Fatal("a sent report is still due")
	}
}

// Guards against injected faults that have no effect: failure tests would then pass without
// testing anything.
func TestFaultsOfQuickResponses(t *testing.T) {
	gateway := newFakeGateway(t)
	target := start(t, gateway, nil)
	quick := func(id string) (*http.Response, string, error) {
		return call(t, target, "GET", "/check", nil, HeaderRequest, id)
	}
	set := func(faults map[string]any) {
		if response, body, err := call(t, target, "POST", "/standin/faults", faults); err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("set faults: %s %v", body, err)
		}
	}
	if response, body, err := quick("a"); err != nil || response.Header.Get(HeaderRequest) != "a" || !strings.Contains(body, `"request":"a"`) {
		t.Fatalf("without a fault: %q %v", body, err)
	}
	set(map[string]any{"crossed": true})
	if response, body, err := quick("b"); err != nil || response.Header.Get(HeaderRequest) != "a" || !strings.Contains(body, `"request":"a"`) {
		t.Fatalf("crossed: %v %q %v", response, body, err)
	}
	set(map[string]any{"half": true})
	if _, _, err := quick("c"); err == nil {
		t.Fatal("a truncated response was read as complete")
	}
	set(map[string]any{"twice": true, "late_ms": 1})
	if _, body, err := quick("d"); err != nil || !strings.Contains(body, `"request":"d"`) {
		t.Fatalf("twice: %q %v", body, err)
	}
	ran := target.Stats().QuickRun
	set(map[string]any{"drop": true})
	if _, _, err := quick("e"); err == nil || target.Stats().QuickRun != ran {
		t.Fatalf("dropped request: error %v, %d ran before, %d now", err, ran, target.Stats().QuickRun)
	}
	set(map[string]any{"refuse": true, "freeze_announcements": true})
	response, _, err := quick("f")
	if err != nil {
		t.Fatal(err)
	}
	expectRefused(t, response)
	if target.currentFaults() != (Faults{Refuse: true, FreezeAnnouncements: true}) {
		t.Fatalf("faults %+v", target.currentFaults())
	}
	if _, ok := target.announceOnce(t.Context(), 0); ok {
		t.Fatal("announced while announcements are frozen")
	}
}

// Guards against missing inspection endpoints, which tests with other processes depend on.
func TestInspectionEndpoints(t *testing.T) {
	target := start(t, newFakeGateway(t), nil)
	for path, want := range map[string]string{"violations": "[]", "journal": "[]", "stats": target.StartID(), "faults": `"half":false`} {
		if _, body, err := call(t, target, "GET", "/standin/"+path, nil); err != nil || !strings.Contains(body, want) {
			t.Errorf("%s: %q %v, want %q", path, body, err, want)
		}
	}
}

// Guards against a second run of an attempt that has ended. The handlers detect repeated starts
// earlier, so that only a direct call reaches this check.
func TestTrackerRefusesAnAttemptThatRan(t *testing.T) {
	tracker := workTracker{capacity: model.Resources{Slots: 1}, seen: map[string]bool{}}
	id := attempt(1)
	item := workItem{class: model.ClassBatch, attempt: &id, resources: model.Resources{Slots: 1}}
	if violation := tracker.begin(item, 0, defaultLeaveGrace); violation != nil {
		t.Fatalf("first start: %+v", violation)
	}
	tracker.end(item, outcomeStopped)
	if violation := tracker.begin(item, 0, defaultLeaveGrace); violation == nil || violation.Rule != RuleAttemptTwice {
		t.Fatalf("second start: %+v", violation)
	}
}
