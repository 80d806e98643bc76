package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/daemon/target"
)

// Guards against escaped paths that are decoded before they reach the target, and against lost
// bodies and headers.
func TestCallReachesTheTargetUnchanged(t *testing.T) {
	var path atomic.Value
	f := newFixture(t, "g1", func(w http.ResponseWriter, r *http.Request) {
		path.Store(r.URL.RequestURI())
		echo(w, r)
	})
	f.addTarget(t, "t1")
	r := mustCall(t, f, http.MethodPost, "/a%2Fb%3Fc/d?q=1", "body")
	if r.status != 200 || r.body != "body" || r.verdict != "ran" || r.header.Get(target.HeaderRequestID) == "" {
		t.Errorf("response %+v", r)
	}
	if path.Load() != "/a%2Fb%3Fc/d?q=1" {
		t.Errorf("the target saw %v", path.Load())
	}
}

// Guards against more requests on a target than it has slots, under concurrent load that queues.
func TestReservationsNeverExceedCapacity(t *testing.T) {
	blocking := newBlockingTarget()
	close(blocking.release)
	f := newFixture(t, "g1", blocking.handle)
	f.addTarget(t, "t1")
	var ran atomic.Int32
	var wg sync.WaitGroup
	for range 40 {
		wg.Go(func() {
			for range 10 {
				if r, err := f.call(http.MethodPost, "/", "x"); err == nil && r.verdict == "ran" {
					ran.Add(1)
				}
			}
		})
	}
	wg.Wait()
	if ran.Load() != 400 || blocking.maxRunning.Load() > slots {
		t.Errorf("%d of 400 ran, at most %d at once on %d slots", ran.Load(), blocking.maxRunning.Load(), slots)
	}
	if free := f.owners.FreeQuickSlots("p"); free != slots {
		t.Errorf("%d slots are free at the end, want %d", free, slots)
	}
}

// Guards against a slot that is released at the deadline while the request still runs on the
// target.
func TestTimeoutKeepsTheSlot(t *testing.T) {
	blocking := newBlockingTarget()
	f := newFixture(t, "g1", blocking.handle)
	f.addTarget(t, "t1")
	r := mustCall(t, f, http.MethodPost, "/", "x", headerDeadline, "50")
	if r.status != http.StatusGatewayTimeout || r.verdict != "unknown" {
		t.Errorf("response %+v", r)
	}
	if free := f.owners.FreeQuickSlots("p"); free != slots-1 {
		t.Errorf("%d slots are free while the request runs, want %d", free, slots-1)
	}
	close(blocking.release)
	eventually(t, "the slot is free", func() bool { return f.owners.FreeQuickSlots("p") == slots })
}

// Guards against a slot that is released when the connection to the target is lost although the
// request may still run: only announcements of the target release it.
func TestLostConnectionKeepsTheSlotUntilReported(t *testing.T) {
	f := newFixture(t, "g1", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	f.addTarget(t, "t1")
	r := mustCall(t, f, http.MethodPost, "/", "x")
	if r.verdict != "unknown" || f.owners.FreeQuickSlots("p") != slots-1 {
		t.Errorf("response %+v, %d slots free", r, f.owners.FreeQuickSlots("p"))
	}
	f.announce(t, 2)
	if f.owners.FreeQuickSlots("p") != slots-1 {
		t.Error("an announcement that may be older than the request released the slot")
	}
	f.announce(t, 3, model.RequestID(r.header.Get(target.HeaderRequestID)))
	if f.owners.FreeQuickSlots("p") != slots-1 {
		t.Error("an announcement that lists the request released the slot")
	}
	f.announce(t, 4)
	if f.owners.FreeQuickSlots("p") != slots {
		t.Error("an announcement without the request did not release the slot")
	}
}

// Guards against a dispatch under a session lease that expired while the call was queued.
func TestLeaseExpiredWhileQueued(t *testing.T) {
	blocking := newBlockingTarget()
	f := newFixture(t, "g1", blocking.handle)
	f.addTarget(t, "t1")
	done := make(chan reply, slots+1)
	for i := range slots + 1 {
		go func() {
			r, _ := f.call(http.MethodPost, "/", "x")
			done <- r
		}()
		if i < slots {
			<-blocking.arrived
		}
	}
	eventually(t, "one call waits", func() bool { return f.gateway.queue(f.session.service).Len() == 1 })
	f.session.valid.Store(false)
	r := <-done
	if r.verdict != "not-run" || r.code != "not_ready" || r.header.Get("Retry-After") == "" {
		t.Errorf("the waiting call got %+v", r)
	}
	close(blocking.release)
	for range slots {
		if r := <-done; r.verdict != "ran" {
			t.Errorf("a running call got %+v", r)
		}
	}
	if len(blocking.arrived) != 0 {
		t.Error("the waiting call reached the target")
	}
}

// Guards against calls that are queued although their deadline cannot be met.
func TestHopelessDeadlineIsRefusedAtOnce(t *testing.T) {
	blocking := newBlockingTarget()
	f := newFixture(t, "g1", blocking.handle)
	f.addTarget(t, "t1")
	q := f.gateway.queue(f.session.service)
	for range 30 {
		q.Started()
		q.Ended(time.Second, true)
	}
	for range slots {
		go f.call(http.MethodPost, "/", "x") //nolint:errcheck // the calls end when release is closed
		<-blocking.arrived
	}
	r := mustCall(t, f, http.MethodPost, "/", "x", headerDeadline, "900")
	if r.code != "deadline_unreachable" || r.verdict != "not-run" || r.header.Get("Retry-After") == "" {
		t.Errorf("response %+v", r)
	}
	if waited := f.gateway.metrics.queued.Count(); waited != 0 {
		t.Errorf("%d calls with an unreachable deadline were queued", waited)
	}
	close(blocking.release)
}

// Guards against retries of non-idempotent calls that may have run, and against missing retries
// where a retry is safe.
func TestRetries(t *testing.T) {
	var seen atomic.Int32
	failFirst := func(w http.ResponseWriter, r *http.Request) {
		if seen.Add(1) == 1 {
			panic(http.ErrAbortHandler)
		}
		echo(w, r)
	}
	refuseFirst := func(w http.ResponseWriter, r *http.Request) {
		if seen.Add(1) == 1 {
			w.Header().Set(target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
			w.Header().Set(target.HeaderRefused, "true")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		echo(w, r)
	}
	tests := []struct {
		name, method, idempotent string
		handle                   http.HandlerFunc
		verdict                  string
		dispatches               int32
	}{
		{"unknown non-idempotent", http.MethodPost, "false", failFirst, "unknown", 1},
		{"unknown idempotent", http.MethodPost, "true", failFirst, "ran", 2},
		{"unknown GET", http.MethodGet, "", failFirst, "ran", 2},
		{"refused non-idempotent", http.MethodPost, "false", refuseFirst, "ran", 2},
	}
	for _, test := range tests {
		seen.Store(0)
		first := newFixture(t, "g1", test.handle)
		first.addTarget(t, "t1")
		second := newFixture(t, "g2", test.handle)
		second.addTarget(t, "t2")
		first.setPeers(second)
		r := mustCall(t, first, test.method, "/", "", headerIdempotent, test.idempotent)
		if r.verdict != test.verdict || seen.Load() != test.dispatches {
			t.Errorf("%s: %+v after %d dispatches, want %s after %d", test.name, r, seen.Load(), test.verdict, test.dispatches)
		}
	}
}

// Guards against the verdict "not run" for a call whose first dispatch may have run.
func TestUnknownStaysUnknownWhenTheRetryIsRefused(t *testing.T) {
	var seen atomic.Int32
	f := newFixture(t, "g1", func(w http.ResponseWriter, r *http.Request) {
		if seen.Add(1) == 1 {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
		w.Header().Set(target.HeaderRefused, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	f.addTarget(t, "t1")
	if r := mustCall(t, f, http.MethodGet, "/", ""); r.verdict != "unknown" || seen.Load() < 2 {
		t.Errorf("response %+v after %d dispatches", r, seen.Load())
	}
}

// Guards against retries that multiply the load when every target fails.
func TestRetryBudgetBoundsRetries(t *testing.T) {
	var seen atomic.Int32
	f := newFixture(t, "g1", func(w http.ResponseWriter, r *http.Request) {
		seen.Add(1)
		w.Header().Set(target.HeaderRequestID, "other")
	})
	f.addTarget(t, "t1")
	const calls = 100
	sequence := uint64(1)
	for range calls {
		_ = mustCall(t, f, http.MethodGet, "/", "")
		sequence += 2
		f.announce(t, sequence)
	}
	if got := seen.Load(); got > calls*11/10+20 || got <= calls {
		t.Errorf("%d dispatches of %d calls; the budget allows a tenth more and 20", got, calls)
	}
}

// Guards against tenants that exceed their limits, and against calls that count towards a limit
// after they have ended.
func TestTenantLimits(t *testing.T) {
	blocking := newBlockingTarget()
	f := newFixture(t, "g1", blocking.handle)
	f.addTarget(t, "t1")
	f.session.tenant.QuickConcurrent = 2
	done := make(chan reply, 2)
	for range 2 {
		go func() {
			r, _ := f.call(http.MethodPost, "/", "x")
			done <- r
		}()
		<-blocking.arrived
	}
	r := mustCall(t, f, http.MethodPost, "/", "x")
	if r.status != http.StatusTooManyRequests || r.code != "quick_concurrent" || r.verdict != "not-run" {
		t.Errorf("beyond the concurrent limit: %+v", r)
	}
	close(blocking.release)
	<-done
	<-done
	f.session.mu.Lock()
	f.session.tenant.QuickPerSecond = 1
	f.session.mu.Unlock()
	codes := map[string]int{}
	for range 3 {
		codes[mustCall(t, f, http.MethodPost, "/", "x").code]++
	}
	if codes["quick_per_second"] < 2 || codes["quick_concurrent"] > 0 {
		t.Errorf("beyond the rate: %v", codes)
	}
}

// Guards against a second run of a request with an idempotency key whose caller has left: a resend
// gets the stored response.
func TestKeyedRequestRunsOnceAlthoughItsCallerLeft(t *testing.T) {
	var seen atomic.Int32
	release := make(chan struct{})
	f := newFixture(t, "g1", func(w http.ResponseWriter, r *http.Request) {
		seen.Add(1)
		<-release
		echo(w, r)
	})
	f.addTarget(t, "t1")
	key := []string{headerIdempotencyKey, "k", headerDeadline, "100"}
	if r := mustCall(t, f, http.MethodPost, "/", "x", key...); r.verdict != "unknown" {
		t.Errorf("first: %+v", r)
	}
	if r := mustCall(t, f, http.MethodPost, "/", "x", key...); r.code != "in_progress" || r.status != http.StatusConflict {
		t.Errorf("while it runs: %+v", r)
	}
	if r := mustCall(t, f, http.MethodPost, "/", "y", key...); r.status != http.StatusUnprocessableEntity {
		t.Errorf("other body: %+v", r)
	}
	close(release)
	eventually(t, "the outcome is recorded", func() bool { return f.gateway.active.Load() == 0 })
	if r := mustCall(t, f, http.MethodPost, "/", "x", key...); r.verdict != "ran" || r.body != "x" {
		t.Errorf("resend: %+v", r)
	}
	if seen.Load() != 1 {
		t.Errorf("it ran %d times", seen.Load())
	}
}

// Guards against a missing read deadline, without which a caller that sends its body slowly
// occupies a connection, and against a read deadline that stays set after the body and cuts off a
// running call.
func TestBodyDeadlineIsSetAndLifted(t *testing.T) {
	cleared := make(chan time.Time, 4)
	body := &deadlineBody{ReadCloser: io.NopCloser(strings.NewReader("x")), control: http.NewResponseController(deadlineRecorder{cleared})}
	if _, err := io.ReadAll(body); err != nil {
		t.Fatal(err)
	}
	if at := lastOf(cleared); !at.IsZero() {
		t.Errorf("at the end of the body the deadline is %v", at)
	}
	set := make(chan time.Time, 4)
	handler := (&Gateway{}).WithTimeouts(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	request, _ := http.NewRequest(http.MethodPost, "/", strings.NewReader("x"))
	handler.ServeHTTP(deadlineRecorder{set}, request)
	if at := lastOf(set); time.Until(at) > bodyTimeout || at.IsZero() || at.Equal(deadlineNotSet) {
		t.Errorf("the read deadline is %v", at)
	}
}

// deadlineNotSet stands for a deadline that was not set.
var deadlineNotSet = time.Unix(1, 0)

func lastOf(deadlines chan time.Time) time.Time {
	select {
	case at := <-deadlines:
		return at
	default:
		return deadlineNotSet
	}
}

// deadlineRecorder is a ResponseWriter that records the read deadlines that are set.
type deadlineRecorder struct{ deadlines chan time.Time }

func (deadlineRecorder) Header() http.Header              { return http.Header{} }
func (deadlineRecorder) Write(p []byte) (int, error)      { return len(p), nil }
func (deadlineRecorder) WriteHeader(int)                  {}
func (deadlineRecorder) SetWriteDeadline(time.Time) error { return nil }

func (r deadlineRecorder) SetReadDeadline(at time.Time) error {
	r.deadlines <- at
	return nil
}

// Guards against requests with an incomplete body that reach the target.
func TestIncompleteBodyIsNotDispatched(t *testing.T) {
	var seen atomic.Int32
	f := newFixture(t, "g1", func(w http.ResponseWriter, r *http.Request) { seen.Add(1); echo(w, r) })
	f.addTarget(t, "t1")
	c, err := net.Dial("tcp", address(f.public))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "POST /v1/call/pedidos/ HTTP/1.1\r\nHost: x\r\n%s: shop\r\nContent-Length: 10\r\n\r\nhalf", headerTenant)
	_ = c.(*net.TCPConn).CloseWrite()
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil && response.StatusCode != http.StatusBadRequest {
		t.Errorf("status %d", response.StatusCode)
	}
	if seen.Load() != 0 {
		t.Error("the target saw an incomplete request")
	}
}
