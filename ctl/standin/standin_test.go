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

// entryVM answers announcements as a test sets it.
type entryVM struct {
	*httptest.Server
	mu     sync.Mutex
	answer model.AnnouncementResponse
	silent bool
	seen   []model.Announcement
}

func newEntryVM(t *testing.T) *entryVM {
	vm := &entryVM{answer: model.AnnouncementResponse{Epoch: 5, LeaseMs: 3_600_000, NextMs: 5}}
	vm.Server = httptest.NewServer(http.HandlerFunc(vm.serve))
	t.Cleanup(vm.Close)
	return vm
}

func (vm *entryVM) serve(w http.ResponseWriter, r *http.Request) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	var a model.Announcement
	if json.NewDecoder(r.Body).Decode(&a) != nil || vm.silent {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	vm.seen = append(vm.seen, a)
	writeJSON(w, vm.answer)
}

func (vm *entryVM) set(change func()) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	change()
}

func (vm *entryVM) last() model.Announcement {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	if len(vm.seen) == 0 {
		return model.Announcement{}
	}
	return vm.seen[len(vm.seen)-1]
}

// start runs a target of 2 slots and waits for its lease.
func start(t *testing.T, vm *entryVM, change func(*Config)) *Target {
	config := Config{
		ID: "w1", Listen: "127.0.0.1:0", Gateways: []string{strings.TrimPrefix(vm.URL, "http://")},
		Zone: "z1", Rack: "r1", Pool: "p1", Capacity: model.Resources{Slots: 2, Connections: 8, MemoryMiB: 100},
		AnnounceEvery: 5 * time.Millisecond, UsageEvery: 5 * time.Millisecond,
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

// eventually has a bound only to end a run that would hang.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 20_000 {
		if holds() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("%s did not come about", what)
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
	answer, err := io.ReadAll(response.Body)
	return response, string(answer), err
}

func attempt(number uint32) model.AttemptID { return model.AttemptID{Job: "j", Number: number} }

func startTask(t *testing.T, target *Target, id model.AttemptID, plan Plan, change func(*TaskStart)) (*http.Response, string) {
	t.Helper()
	payload, err := json.Marshal(plan)
	if err != nil {
		t.Fatal(err)
	}
	body := TaskStart{Attempt: id, Class: model.ClassBatch, Reserved: model.Resources{Slots: 1, MemoryMiB: 10}, Payload: payload}
	if change != nil {
		change(&body)
	}
	response, answer, err := call(t, target, "POST", "/samphire/v1/tasks", body)
	if err != nil {
		t.Fatal(err)
	}
	return response, answer
}

func expectRefused(t *testing.T, response *http.Response) {
	t.Helper()
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get(HeaderRefused) != "true" {
		t.Fatalf("status %d, refused %q; want 503 and true", response.StatusCode, response.Header.Get(HeaderRefused))
	}
}

const hour = model.Millis(3_600_000)

// Guards against a task that goes on after the lease, when the job may run elsewhere.
func TestTasksStopWhenTheLeaseIsOver(t *testing.T) {
	vm := newEntryVM(t)
	vm.set(func() { vm.answer.LeaseMs = 200 })
	target := start(t, vm, nil)
	startTask(t, target, attempt(1), Plan{DurationMs: hour}, nil)
	vm.set(func() { vm.silent = true })
	eventually(t, "end of the task", func() bool { return target.Stats().TasksLeaseOver == 1 })
	response, _ := startTask(t, target, attempt(2), Plan{DurationMs: hour}, nil)
	expectRefused(t, response)
	if len(target.Stats().InUse.Shortfall(model.Resources{})) > 0 {
		t.Fatalf("resources still in use: %+v", target.Stats().InUse)
	}
}

// Guards against work of a former owner, and against a lease from a former owner's answer.
func TestSmallerEpochsAreRefused(t *testing.T) {
	vm := newEntryVM(t)
	target := start(t, vm, nil)
	response, _, err := call(t, target, "GET", "/check", nil, HeaderEpoch, "4", HeaderRequest, "a")
	if err != nil {
		t.Fatal(err)
	}
	expectRefused(t, response)
	lease := target.Stats().LeaseLeftMs
	target.accept(model.Announcement{}, model.AnnouncementResponse{Epoch: 4, LeaseMs: 2 * hour}, time.Now())
	if got := target.Stats(); got.LeaseLeftMs > lease || got.Epoch != 5 || got.RefusedEpoch != 1 {
		t.Fatalf("after an answer with a smaller epoch: %+v", got)
	}
}

// Guards against a second run after a repeated start, and against a lost or repeated end.
func TestTaskRunsOnceAndItsEndIsAnnouncedUntilAcknowledged(t *testing.T) {
	vm := newEntryVM(t)
	target := start(t, vm, nil)
	for range 3 {
		if response, _ := startTask(t, target, attempt(1), Plan{DurationMs: 1}, nil); response.StatusCode != http.StatusOK {
			t.Fatalf("repeated start got status %d", response.StatusCode)
		}
	}
	eventually(t, "announced end", func() bool { return len(vm.last().Ended) == 1 })
	vm.set(func() { vm.answer.Acknowledged = []model.AttemptID{attempt(1)} })
	eventually(t, "acknowledged end", func() bool { return len(vm.last().Ended) == 0 })
	if stats := target.Stats(); stats.TasksStarted != 1 || stats.TasksFinished != 1 || stats.RepeatedStarts != 2 {
		t.Fatalf("stats %+v", stats)
	}
	journal := target.Journal()
	if len(journal) != 2 || journal[0].Event != EventStarted || journal[1].Outcome != outcomeFinished ||
		journal[1].StartID != target.StartID() || *journal[1].Attempt != attempt(1) {
		t.Fatalf("journal %+v", journal)
	}
}

// Guards against progress that is lost or made up at throttle, checkpoint, stop and resume.
func TestThrottleCheckpointStopAndResume(t *testing.T) {
	target := start(t, newEntryVM(t), nil)
	half, err := json.Marshal(Checkpoint{Progress: 0.5})
	if err != nil {
		t.Fatal(err)
	}
	startTask(t, target, attempt(1), Plan{DurationMs: hour}, func(s *TaskStart) { s.Checkpoint = half })
	if response, _, _ := call(t, target, "POST", "/samphire/v1/tasks/j/1/throttle", map[string]float64{"level": 0}); response.StatusCode != http.StatusOK {
		t.Fatalf("throttle got status %d", response.StatusCode)
	}
	checkpoint := func() Checkpoint {
		_, body, _ := call(t, target, "POST", "/samphire/v1/tasks/j/1/checkpoint", nil)
		var answer checkpointAnswer
		var saved Checkpoint
		if json.Unmarshal([]byte(body), &answer) != nil || json.Unmarshal(answer.Checkpoint, &saved) != nil {
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
		t.Fatalf("stop answered %q with %+v in use", body, target.Stats().InUse)
	}
}

// Guards against output that has gaps, and against an incomplete output that ends cleanly.
func TestOutputStreams(t *testing.T) {
	target := start(t, newEntryVM(t), nil)
	startTask(t, target, attempt(1), Plan{DurationMs: 20, Lines: 4}, nil)
	_, body, err := call(t, target, "GET", "/samphire/v1/tasks/j/1/output?offset=0", nil)
	want := "j line 1\nj line 2\nj line 3\nj line 4\n"
	if err != nil || body != want {
		t.Fatalf("output %q, %v", body, err)
	}
	if _, body, err = call(t, target, "GET", "/samphire/v1/tasks/j/1/output?offset=11", nil); err != nil || body != want[11:] {
		t.Fatalf("output from offset 11 %q, %v", body, err)
	}
	half, err := json.Marshal(Checkpoint{Progress: 0.5, Output: 18})
	if err != nil {
		t.Fatal(err)
	}
	resume := func(s *TaskStart) { s.Checkpoint = half }
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
		t.Fatal("the output of a failed task ended cleanly")
	}
	eventually(t, "failure", func() bool { return target.Stats().TasksFailed == 1 })
}

// Guards against a target that hides a broken invariant.
func TestViolationsAreRecordedAndNotRun(t *testing.T) {
	target := start(t, newEntryVM(t), func(c *Config) { c.LeaveGrace = time.Nanosecond })
	startTask(t, target, attempt(1), Plan{DurationMs: hour}, nil)
	tooMuch := func(s *TaskStart) { s.Reserved.MemoryMiB = 91 }
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
	eventually(t, "leaving", func() bool { target.mu.Lock(); defer target.mu.Unlock(); return target.leaveHeard })
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

// Guards against a graceful leave that interrupts work or loses its end.
func TestLeaveFinishesWork(t *testing.T) {
	vm := newEntryVM(t)
	target := start(t, vm, nil)
	vm.set(func() { vm.answer.Acknowledged = []model.AttemptID{attempt(1)} })
	startTask(t, target, attempt(1), Plan{DurationMs: 50}, nil)
	if err := target.Leave(t.Context()); err != nil {
		t.Fatal(err)
	}
	if stats := target.Stats(); stats.TasksFinished != 1 || vm.last().State != model.TargetLeaving {
		t.Fatalf("stats %+v, last announcement %+v", stats, vm.last())
	}
}

// Guards against reports that arrive before their lag or cover no work.
func TestUsageIsReportedAfterItsLag(t *testing.T) {
	vm := newEntryVM(t)
	target := start(t, vm, nil)
	startTask(t, target, attempt(1), Plan{DurationMs: hour, Use: model.Resources{CPUMillis: 7}}, nil)
	eventually(t, "report", func() bool {
		for _, r := range vm.last().Usage {
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
	if log.sent(1); len(log.due(now.Add(time.Second))) != 1 {
		t.Fatal("a sent report is still due")
	}
}

// Guards against faults that do not happen, which would make failure tests pass for nothing.
func TestFaultsOfQuickAnswers(t *testing.T) {
	vm := newEntryVM(t)
	target := start(t, vm, nil)
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
		t.Fatal("a truncated answer was read as complete")
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

// Guards against endpoints that tests of other processes depend on.
func TestInspectionEndpoints(t *testing.T) {
	target := start(t, newEntryVM(t), nil)
	for path, want := range map[string]string{"violations": "[]", "journal": "[]", "stats": target.StartID(), "faults": `"half":false`} {
		if _, body, err := call(t, target, "GET", "/standin/"+path, nil); err != nil || !strings.Contains(body, want) {
			t.Errorf("%s: %q %v, want %q", path, body, err, want)
		}
	}
}

// Guards against a ledger that lets an attempt run again after its end; the handlers answer a
// repeated start before it gets there.
func TestLedgerRefusesAnAttemptThatRan(t *testing.T) {
	l := ledger{capacity: model.Resources{Slots: 1}, seen: map[string]bool{}}
	id := attempt(1)
	w := work{class: model.ClassBatch, attempt: &id, use: model.Resources{Slots: 1}}
	if broken := l.begin(w, 0, leaveGrace); broken != nil {
		t.Fatalf("first start: %+v", broken)
	}
	l.end(w, outcomeStopped)
	if broken := l.begin(w, 0, leaveGrace); broken == nil || broken.Rule != RuleAttemptTwice {
		t.Fatalf("second start: %+v", broken)
	}
}
