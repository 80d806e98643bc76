package owner

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/syncmsg"
	"samphirepaddle.example/daemon/target"
)

type fakeLease struct{ valid atomic.Bool }

func (l *fakeLease) Valid() bool { return l.valid.Load() }

// fakeProposer records commands and accepts them, unless down is set.
type fakeProposer struct {
	mu       sync.Mutex
	down     bool
	before   func() // called before a command is accepted, if set
	commands []state.Command
}

func (p *fakeProposer) Propose(_ context.Context, c state.Command) (state.Result, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.before != nil {
		p.before()
	}
	if p.down {
		return state.Result{}, errors.New("no leader")
	}
	p.commands = append(p.commands, c)
	return state.Result{Code: state.CodeOK}, nil
}

func (p *fakeProposer) ends() (ends []state.EndAttempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.commands {
		if c.EndAttempt != nil {
			ends = append(ends, *c.EndAttempt)
		}
	}
	return ends
}

// fakeTarget counts calls per action. The first fail[action] calls of an action get no
// response.
type fakeTarget struct {
	mu    sync.Mutex
	calls map[string]int
	fail  map[string]int
	body  string            // of every response
	error map[string]int    // status of the responses to an action, if not 200
	sent  map[string]string // request body of the last call of an action that got a response
}

func (f *fakeTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	action := r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:]
	body, _ := io.ReadAll(r.Body)
	f.mu.Lock()
	f.calls[action]++
	fail, status := f.fail[action] >= f.calls[action], f.error[action]
	if !fail {
		f.sent[action] = string(body)
	}
	f.mu.Unlock()
	if fail {
		panic(http.ErrAbortHandler)
	}
	if status != 0 {
		w.WriteHeader(status)
	}
	_, _ = w.Write([]byte(f.body))
}

func (f *fakeTarget) count(action string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[action]
}

type fixture struct {
	t        *testing.T
	table    *Table
	lease    *fakeLease
	proposer *fakeProposer
	target   *fakeTarget
	record   state.Target
}

// Durations of target leases: one of longTTL does not expire during a test, one of shortTTL does.
const (
	longTTL  = time.Minute
	shortTTL = 100 * time.Millisecond
)

var (
	capacity = model.Resources{Slots: 4, Connections: 8}
	oneSlot  = model.Resources{Slots: 1, Connections: 1}
	service  = model.Service{ID: "s", Pool: "p", QuickDemand: oneSlot}
	jobOne   = model.AttemptID{Job: "j", Number: 1}
)

func newFixture(t *testing.T, ttl time.Duration) *fixture {
	f := &fixture{
		t: t, lease: &fakeLease{}, proposer: &fakeProposer{},
		target: &fakeTarget{calls: map[string]int{}, fail: map[string]int{}, sent: map[string]string{}, body: `{"checkpoint":"Y3A="}`},
	}
	server := httptest.NewServer(f.target)
	t.Cleanup(server.Close)
	f.lease.valid.Store(true)
	f.table = NewTable(Options{
		Gateway: "g", TargetTTL: ttl, AnnounceInterval: time.Second,
		Targets: target.NewClient(4), Proposer: f.proposer, Logger: zerolog.Nop(),
	})
	f.table.SetLease(f.lease)
	f.record = state.Target{
		ID: "t", StartID: "s1", Address: strings.TrimPrefix(server.URL, "http://"), Pool: "p", Capacity: capacity, Owner: "g", Epoch: 5,
	}
	return f
}

func (f *fixture) own(orders ...syncmsg.Order) {
	changes := &syncmsg.Changes{OwnedTargets: []model.TargetID{"t"}, Targets: []state.Target{f.record}, Orders: orders}
	for _, order := range orders {
		changes.OpenAttempts = append(changes.OpenAttempts, order.Attempt.ID)
	}
	f.table.Apply(changes, state.Config{Revision: 1})
}

func order(epoch model.Epoch) syncmsg.Order {
	return syncmsg.Order{Attempt: state.Attempt{ID: jobOne, Target: "t", StartID: "s1", Epoch: epoch, Reserved: oneSlot}}
}

func (f *fixture) report(sequence uint64, change func(*model.Announcement)) (model.AnnouncementResponse, error) {
	a := model.Announcement{
		Target: "t", StartID: "s1", Sequence: sequence, Epoch: 5, Address: f.record.Address, Pool: "p",
		Capacity: capacity, State: model.TargetReady,
	}
	if change != nil {
		change(&a)
	}
	return f.table.Announce(context.Background(), a)
}

func (f *fixture) mustReport(sequence uint64, change func(*model.Announcement)) model.AnnouncementResponse {
	f.t.Helper()
	response, err := f.report(sequence, change)
	if err != nil {
		f.t.Fatal(err)
	}
	return response
}

func (f *fixture) run() {
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(cancel)
	go f.table.Run(ctx)
}

func (f *fixture) eventually(what string, condition func() bool) {
	f.t.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("condition not met within 20 s: %s", what)
		}
	}
}

func (f *fixture) takesWork() bool {
	reservation, err := f.table.ReserveQuick(service, "probe", "")
	if err != nil {
		return false
	}
	reservation.Release()
	return true
}

// Guards against work for a target that has not reported under the new owner's epoch.
func TestTakeoverIsFullUntilReported(t *testing.T) {
	f := newFixture(t, longTTL)
	f.own()
	if f.takesWork() {
		t.Error("a target takes work before any report")
	}
	response := f.mustReport(1, func(a *model.Announcement) { a.Epoch = 4 })
	if f.takesWork() || response.NextMs != 0 || response.Epoch != 5 {
		t.Errorf("after a report under the old epoch it takes work: %v; response %+v", f.takesWork(), response)
	}
	f.mustReport(2, func(a *model.Announcement) { a.Requests = []model.RequestID{"r1", "r2"} })
	if free := f.table.FreeQuickSlots("p"); free != 2 {
		t.Errorf("%d slots free beside 2 adopted requests, want 2", free)
	}
	f.mustReport(3, func(a *model.Announcement) { a.Requests = []model.RequestID{"r1"} })
	if free := f.table.FreeQuickSlots("p"); free != 3 {
		t.Errorf("%d slots free after one ended, want 3", free)
	}
	f.mustReport(2, func(a *model.Announcement) { a.Running = []model.AttemptID{jobOne} })
	if free := f.table.FreeQuickSlots("p"); free != 3 {
		t.Errorf("a report out of order changed the free slots to %d", free)
	}
}

// Guards against a start that is not retried after its response was lost, and against ending the
// attempt although it may run.
func TestStartWithUnknownOutcomeIsRepeated(t *testing.T) {
	f := newFixture(t, longTTL)
	f.target.fail["tasks"] = 2
	f.own(order(5))
	f.mustReport(1, nil)
	f.run()
	f.eventually("the start is confirmed", func() bool { return f.target.count("tasks") == 3 })
	if ends := f.proposer.ends(); len(ends) != 0 {
		t.Errorf("ends %+v", ends)
	}
}

// Guards against a refused start that leaves the job assigned forever.
func TestStartWithoutRoomIsRefused(t *testing.T) {
	f := newFixture(t, longTTL)
	big := order(5)
	big.Attempt.Reserved = model.Resources{Slots: 5}
	f.own(big)
	f.mustReport(1, nil)
	f.run()
	f.eventually("the end is committed", func() bool { return len(f.proposer.ends()) == 1 })
	if end := f.proposer.ends()[0]; end.Outcome != state.OutcomeRefused || end.Epoch != 5 || f.target.count("tasks") != 0 {
		t.Errorf("end %+v after %d starts", end, f.target.count("tasks"))
	}
}

// Guards against starts by a gateway whose session is lost.
func TestNoStartWithoutLease(t *testing.T) {
	f := newFixture(t, longTTL)
	f.own(order(5))
	f.mustReport(1, nil)
	f.lease.valid.Store(false)
	f.run()
	time.Sleep(4 * stepInterval)
	if f.target.count("tasks") != 0 {
		t.Error("an attempt was started without a lease")
	}
	f.lease.valid.Store(true)
	f.eventually("the attempt is started", func() bool { return f.target.count("tasks") == 1 })
}

// Guards against a renewal after the loss was proposed, which would run the work twice.
func TestNoRenewalOnceTheLossIsProposed(t *testing.T) {
	f := newFixture(t, shortTTL)
	f.own()
	f.mustReport(1, nil)
	f.proposer.down = true
	f.run()
	f.eventually("the lease has expired", func() bool {
		o := f.table.get("t")
		o.mu.Lock()
		defer o.mu.Unlock()
		return o.losing
	})
	if _, err := f.report(2, nil); !errors.Is(err, ErrNotOwner) {
		t.Errorf("the lease was renewed: %v", err)
	}
}

// Guards against a second run after a restart of the target: attempts of the old process are
// ended only once its lease has expired, and a late report of the old process is refused.
func TestRestartedTargetLosesOldAttemptsAfterTheLease(t *testing.T) {
	f := newFixture(t, shortTTL)
	f.own(order(5))
	f.mustReport(1, func(a *model.Announcement) { a.Running = []model.AttemptID{jobOne} })
	f.run()
	restart := func(a *model.Announcement) { a.StartID = "s2" }
	f.mustReport(1, restart)
	o := f.table.get("t")
	o.mu.Lock()
	expires := o.oldLeasesEnd
	o.mu.Unlock()
	if _, err := f.report(2, nil); !errors.Is(err, ErrSuperseded) {
		t.Errorf("a late report of the old process: %v", err)
	}
	for sequence := uint64(2); len(f.proposer.ends()) == 0; sequence++ {
		f.mustReport(sequence, restart)
		time.Sleep(5 * time.Millisecond)
	}
	if end := f.proposer.ends()[0]; end.Outcome != state.OutcomeLost || time.Now().Before(expires) {
		t.Errorf("end %+v, %v before the old lease expired", end, time.Until(expires))
	}
}

// Guards against a target that is refused forever because its new process was recorded by
// another gateway.
func TestNewProcessRecordedElsewhereIsAccepted(t *testing.T) {
	f := newFixture(t, longTTL)
	f.own()
	f.mustReport(1, nil)
	f.record.StartID = "s2"
	f.record.ChangedRevision = 7
	f.own()
	f.mustReport(1, func(a *model.Announcement) { a.StartID = "s2" })
	if !f.takesWork() {
		t.Error("the new process takes no work")
	}
}

// Guards against new work for a leaving target, also after a late report that it is ready.
func TestLeavingTargetTakesNoWork(t *testing.T) {
	f := newFixture(t, longTTL)
	f.own()
	f.mustReport(1, nil)
	f.proposer.down = true // the local effect must not wait for the log
	f.mustReport(3, func(a *model.Announcement) { a.State = model.TargetLeaving })
	f.proposer.down = false
	f.mustReport(2, nil)
	f.mustReport(4, nil)
	if f.takesWork() {
		t.Error("a leaving target takes work")
	}
}

// Guards against use of a reservation of an earlier ownership after the gateway was suspended.
func TestGrantOfEarlierOwnershipIsNotValid(t *testing.T) {
	f := newFixture(t, longTTL)
	f.own()
	f.mustReport(1, nil)
	reservation, err := f.table.ReserveQuick(service, "r", "")
	if err != nil || !reservation.Valid() {
		t.Fatalf("reservation: %v", err)
	}
	f.table.Reset() // the session was lost; the lease below is that of a new one
	f.record.Epoch = 9
	f.own()
	if reservation.Valid() {
		t.Error("the reservation of the earlier session is valid under the new one")
	}
}

// Guards against new work on a target that runs unknown attempts, because the capacity
// that they use is not known.
func TestUnknownAttemptsAreStoppedAndCloseTheTarget(t *testing.T) {
	f := newFixture(t, longTTL)
	f.own()
	response := f.mustReport(1, func(a *model.Announcement) { a.Running = []model.AttemptID{jobOne} })
	if len(response.Stop) != 1 || f.takesWork() {
		t.Errorf("response %+v, takes work %v", response, f.takesWork())
	}
	f.mustReport(2, nil)
	if !f.takesWork() {
		t.Error("the target takes no work although the unknown attempt has ended")
	}
}

// Guards against an end that is lost when the first stop fails, and against a requeue before
// checkpoint and stop are confirmed.
func TestEviction(t *testing.T) {
	f := newFixture(t, longTTL)
	f.target.fail["stop"] = 1
	evicting := order(5)
	evicting.Attempt.EvictionReason = "urgent job u"
	f.own(evicting)
	f.mustReport(1, func(a *model.Announcement) { a.Running = []model.AttemptID{jobOne} })
	f.run()
	f.eventually("the end is committed", func() bool { return len(f.proposer.ends()) == 1 })
	end := f.proposer.ends()[0]
	if end.Outcome != state.OutcomeEvicted || string(end.Checkpoint) != "cp" || f.target.count("stop") != 2 || f.target.count("checkpoint") != 1 {
		t.Errorf("end %+v after %d checkpoints and %d stops", end, f.target.count("checkpoint"), f.target.count("stop"))
	}
}

// Guards against renewals and starts that overlap with those of the next owner.
func TestDrainStopsRenewalsAndDispatches(t *testing.T) {
	f := newFixture(t, longTTL)
	f.own()
	f.mustReport(1, nil)
	reservation, err := f.table.ReserveQuick(service, "r", "")
	if err != nil {
		t.Fatal(err)
	}
	f.table.Drain(context.Background())
	if _, err := f.report(2, nil); !errors.Is(err, ErrNotOwner) {
		t.Errorf("renewal: %v", err)
	}
	if f.takesWork() || reservation.Valid() {
		t.Error("a drained gateway dispatches")
	}
}
