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

// Guards against paths that are decoded on the way, and against lost bodies and headers.
func TestCallReachesTheTargetUnchanged(t *testing.T) {
	var path atomic.Value
	w := newWorld(t, "g1", func(w http.ResponseWriter, r *http.Request) {
		path.Store(r.URL.RequestURI())
		echo(w, r)
	})
	w.own(t, "t1")
	r := mustCall(t, w, http.MethodPost, "/a%2Fb%3Fc/d?q=1", "body")
	if r.status != 200 || r.body != "body" || r.verdict != "ran" || r.header.Get(target.HeaderRequestID) == "" {
		t.Errorf("answer %+v", r)
	}
	if path.Load() != "/a%2Fb%3Fc/d?q=1" {
		t.Errorf("the target saw %v", path.Load())
	}
}

// Guards against more work on a target than its slots, under concurrent load that queues.
func TestReservationsNeverExceedCapacity(t *testing.T) {
	g := newGate()
	close(g.open)
	w := newWorld(t, "g1", g.handle)
	w.own(t, "t1")
	var ran atomic.Int32
	var wg sync.WaitGroup
	for range 40 {
		wg.Go(func() {
			for range 10 {
				if r, err := w.call(http.MethodPost, "/", "x"); err == nil && r.verdict == "ran" {
					ran.Add(1)
				}
			}
		})
	}
	wg.Wait()
	if ran.Load() != 400 || g.most.Load() > slots {
		t.Errorf("%d of 400 ran, at most %d at once on %d slots", ran.Load(), g.most.Load(), slots)
	}
	if free := w.owners.FreeQuickSlots("p"); free != slots {
		t.Errorf("%d slots are free at the end, want %d", free, slots)
	}
}

// Guards against a slot that is given away while a request whose caller was answered still runs.
func TestTimeoutKeepsTheSlot(t *testing.T) {
	g := newGate()
	w := newWorld(t, "g1", g.handle)
	w.own(t, "t1")
	r := mustCall(t, w, http.MethodPost, "/", "x", headerDeadline, "50")
	if r.status != http.StatusGatewayTimeout || r.verdict != "unknown" {
		t.Errorf("answer %+v", r)
	}
	if free := w.owners.FreeQuickSlots("p"); free != slots-1 {
		t.Errorf("%d slots are free while the request runs, want %d", free, slots-1)
	}
	close(g.open)
	eventually(t, "the slot is free", func() bool { return w.owners.FreeQuickSlots("p") == slots })
}

// Guards against a slot that is given away when the connection is lost but the request may
// still run: only reports of the target release it.
func TestLostConnectionKeepsTheSlotUntilReported(t *testing.T) {
	w := newWorld(t, "g1", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	w.own(t, "t1")
	r := mustCall(t, w, http.MethodPost, "/", "x")
	if r.verdict != "unknown" || w.owners.FreeQuickSlots("p") != slots-1 {
		t.Errorf("answer %+v, %d slots free", r, w.owners.FreeQuickSlots("p"))
	}
	w.announce(t, 2)
	if w.owners.FreeQuickSlots("p") != slots-1 {
		t.Error("a report that may be older than the request released it")
	}
	w.announce(t, 3, model.RequestID(r.header.Get(target.HeaderRequestID)))
	if w.owners.FreeQuickSlots("p") != slots-1 {
		t.Error("a report that lists the request released it")
	}
	w.announce(t, 4)
	if w.owners.FreeQuickSlots("p") != slots {
		t.Error("the request is gone and still holds the slot")
	}
}

// Guards against a dispatch on a lease that ended while the call waited.
func TestLeaseExpiredWhileQueued(t *testing.T) {
	g := newGate()
	w := newWorld(t, "g1", g.handle)
	w.own(t, "t1")
	done := make(chan reply, slots+1)
	for i := range slots + 1 {
		go func() {
			r, _ := w.call(http.MethodPost, "/", "x")
			done <- r
		}()
		if i < slots {
			<-g.arrived
		}
	}
	eventually(t, "one call waits", func() bool { return w.gateway.queue(w.session.service).Len() == 1 })
	w.session.valid.Store(false)
	r := <-done
	if r.verdict != "not-run" || r.code != "not_ready" || r.header.Get("Retry-After") == "" {
		t.Errorf("the waiting call got %+v", r)
	}
	close(g.open)
	for range slots {
		if r := <-done; r.verdict != "ran" {
			t.Errorf("a running call got %+v", r)
		}
	}
	if len(g.arrived) != 0 {
		t.Error("the waiting call reached the target")
	}
}

// Guards against calls that wait although their deadline cannot be met.
func TestHopelessDeadlineIsRefusedAtOnce(t *testing.T) {
	g := newGate()
	w := newWorld(t, "g1", g.handle)
	w.own(t, "t1")
	q := w.gateway.queue(w.session.service)
	for range 30 {
		q.Started()
		q.Ended(time.Second, true)
	}
	for range slots {
		go w.call(http.MethodPost, "/", "x") //nolint:errcheck // released below
		<-g.arrived
	}
	r := mustCall(t, w, http.MethodPost, "/", "x", headerDeadline, "900")
	if r.code != "deadline_unreachable" || r.verdict != "not-run" || r.header.Get("Retry-After") == "" {
		t.Errorf("answer %+v", r)
	}
	if waited := w.gateway.metrics.queued.Count(); waited != 0 {
		t.Errorf("%d hopeless calls were queued", waited)
	}
	close(g.open)
}

// Guards against retries of what may have run, and against no retry of what is safe.
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
		first := newWorld(t, "g1", test.handle)
		first.own(t, "t1")
		second := newWorld(t, "g2", test.handle)
		second.own(t, "t2")
		first.see(second)
		r := mustCall(t, first, test.method, "/", "", headerIdempotent, test.idempotent)
		if r.verdict != test.verdict || seen.Load() != test.dispatches {
			t.Errorf("%s: %+v after %d dispatches, want %s after %d", test.name, r, seen.Load(), test.verdict, test.dispatches)
		}
	}
}

// Guards against "not run" for a call whose first dispatch may have run.
func TestUnknownStaysUnknownWhenTheRetryIsRefused(t *testing.T) {
	var seen atomic.Int32
	w := newWorld(t, "g1", func(w http.ResponseWriter, r *http.Request) {
		if seen.Add(1) == 1 {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
		w.Header().Set(target.HeaderRefused, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	w.own(t, "t1")
	if r := mustCall(t, w, http.MethodGet, "/", ""); r.verdict != "unknown" || seen.Load() < 2 {
		t.Errorf("answer %+v after %d dispatches", r, seen.Load())
	}
}

// Guards against a storm of retries when every target fails.
func TestRetryBudgetBoundsRetries(t *testing.T) {
	var seen atomic.Int32
	w := newWorld(t, "g1", func(w http.ResponseWriter, r *http.Request) {
		seen.Add(1)
		w.Header().Set(target.HeaderRequestID, "other")
	})
	w.own(t, "t1")
	const calls = 100
	sequence := uint64(1)
	for range calls {
		_ = mustCall(t, w, http.MethodGet, "/", "")
		sequence += 2
		w.announce(t, sequence)
	}
	if got := seen.Load(); got > calls*11/10+20 || got <= calls {
		t.Errorf("%d dispatches of %d calls; the budget allows a tenth more and 20", got, calls)
	}
}

// Guards against tenants that exceed their limits and against limits that are never given back.
func TestTenantLimits(t *testing.T) {
	g := newGate()
	w := newWorld(t, "g1", g.handle)
	w.own(t, "t1")
	w.session.tenant.QuickConcurrent = 2
	done := make(chan reply, 2)
	for range 2 {
		go func() {
			r, _ := w.call(http.MethodPost, "/", "x")
			done <- r
		}()
		<-g.arrived
	}
	r := mustCall(t, w, http.MethodPost, "/", "x")
	if r.status != http.StatusTooManyRequests || r.code != "quick_concurrent" || r.verdict != "not-run" {
		t.Errorf("beyond the concurrent limit: %+v", r)
	}
	close(g.open)
	<-done
	<-done
	w.session.mu.Lock()
	w.session.tenant.QuickPerSecond = 1
	w.session.mu.Unlock()
	codes := map[string]int{}
	for range 3 {
		codes[mustCall(t, w, http.MethodPost, "/", "x").code]++
	}
	if codes["quick_per_second"] < 2 || codes["quick_concurrent"] > 0 {
		t.Errorf("beyond the rate: %v", codes)
	}
}

// Guards against a second run of a keyed request whose caller went away: a resend gets the
// stored answer.
func TestKeyedRequestRunsOnceAlthoughItsCallerLeft(t *testing.T) {
	var seen atomic.Int32
	release := make(chan struct{})
	w := newWorld(t, "g1", func(w http.ResponseWriter, r *http.Request) {
		seen.Add(1)
		<-release
		echo(w, r)
	})
	w.own(t, "t1")
	key := []string{headerIdempotency, "k", headerDeadline, "100"}
	if r := mustCall(t, w, http.MethodPost, "/", "x", key...); r.verdict != "unknown" {
		t.Errorf("first: %+v", r)
	}
	if r := mustCall(t, w, http.MethodPost, "/", "x", key...); r.code != "in_progress" || r.status != http.StatusConflict {
		t.Errorf("while it runs: %+v", r)
	}
	if r := mustCall(t, w, http.MethodPost, "/", "y", key...); r.status != http.StatusUnprocessableEntity {
		t.Errorf("other body: %+v", r)
	}
	close(release)
	eventually(t, "the outcome is recorded", func() bool { return w.gateway.active.Load() == 0 })
	if r := mustCall(t, w, http.MethodPost, "/", "x", key...); r.verdict != "ran" || r.body != "x" {
		t.Errorf("resend: %+v", r)
	}
	if seen.Load() != 1 {
		t.Errorf("it ran %d times", seen.Load())
	}
}

// Guards against callers that hold a connection by sending their body slowly: the read
// deadline ends them. It also guards against that deadline cutting off a call that runs.
func TestBodyDeadlineIsSetAndLifted(t *testing.T) {
	lifted := make(chan time.Time, 4)
	body := &boundedBody{ReadCloser: io.NopCloser(strings.NewReader("x")), control: http.NewResponseController(recorder{lifted})}
	if _, err := io.ReadAll(body); err != nil {
		t.Fatal(err)
	}
	if at := lastOf(lifted); !at.IsZero() {
		t.Errorf("at the end of the body the deadline is %v", at)
	}
	set := make(chan time.Time, 4)
	handler := (&Gateway{}).WithTimeouts(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	request, _ := http.NewRequest(http.MethodPost, "/", strings.NewReader("x"))
	handler.ServeHTTP(recorder{set}, request)
	if at := lastOf(set); time.Until(at) > bodyTimeout || at.IsZero() || at.Equal(never) {
		t.Errorf("the read deadline is %v", at)
	}
}

// never stands for a deadline that was not touched.
var never = time.Unix(1, 0)

func lastOf(deadlines chan time.Time) time.Time {
	select {
	case at := <-deadlines:
		return at
	default:
		return never
	}
}

// recorder notes the read deadlines that are set.
type recorder struct{ deadlines chan time.Time }

func (recorder) Header() http.Header              { return http.Header{} }
func (recorder) Write(p []byte) (int, error)      { return len(p), nil }
func (recorder) WriteHeader(int)                  {}
func (recorder) SetWriteDeadline(time.Time) error { return nil }

func (r recorder) SetReadDeadline(at time.Time) error {
	r.deadlines <- at
	return nil
}

// Guards against an incomplete body that reaches the target.
func TestIncompleteBodyIsNotDispatched(t *testing.T) {
	var seen atomic.Int32
	w := newWorld(t, "g1", func(w http.ResponseWriter, r *http.Request) { seen.Add(1); echo(w, r) })
	w.own(t, "t1")
	c, err := net.Dial("tcp", address(w.public))
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
