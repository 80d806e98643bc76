package session

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/syncmsg"
	"samphirepaddle.example/daemon/control"
	"samphirepaddle.example/daemon/rpc"
)

// slowLeader responds to each renewal after a delay.
type slowLeader struct {
	rpc.Control
	delay    time.Duration
	response syncmsg.Response
	request  syncmsg.Request // of the last renewal
}

func (l *slowLeader) Sync(_ context.Context, request *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	time.Sleep(l.delay)
	l.request = syncmsg.Request{}
	if err := model.Decode(request.Body, &l.request); err != nil {
		return nil, err
	}
	data, err := model.Encode(l.response)
	return &rpc.SyncResponse{Body: data}, err
}

// fakeTargets records what the session passes to its TargetOwner.
type fakeTargets struct {
	resets    int
	throttles []syncmsg.Throttles
	usage     []syncmsg.TargetUsage
}

func (*fakeTargets) Apply(*syncmsg.Changes, state.Config)   {}
func (*fakeTargets) Summaries(bool) []syncmsg.TargetSummary { return nil }
func (o *fakeTargets) Reset()                               { o.resets++ }
func (o *fakeTargets) SetThrottles(t syncmsg.Throttles)     { o.throttles = append(o.throttles, t) }
func (o *fakeTargets) TakeUsage() []syncmsg.TargetUsage     { return o.usage }

func newSession(t *testing.T, leader *slowLeader) (*Session, *fakeTargets) {
	server := httptest.NewServer(rpc.NewControlServer(leader))
	t.Cleanup(server.Close)
	client := control.NewClient([]string{strings.TrimPrefix(server.URL, "http://")}, http.DefaultTransport)
	owned := &fakeTargets{}
	s := New(Identity{Gateway: "g"}, client, owned, zerolog.Nop())
	s.beginSession(1)
	return s, owned
}

// Guards against a late response that extends the lease beyond the expiry that the leader assumes:
// the lease starts when the renewal is sent.
func TestLateResponseDoesNotExtendLease(t *testing.T) {
	leader := &slowLeader{delay: 200 * time.Millisecond, response: syncmsg.Response{SessionKnown: true, LeaseMs: 100}}
	s, _ := newSession(t, leader)
	if known, err := s.renewOnce(context.Background()); !known || err != nil {
		t.Fatalf("renewal: known %v, %v", known, err)
	}
	if s.Valid() {
		t.Error("the lease starts at the arrival of the response")
	}
	leader.delay, leader.response.LeaseMs = 0, 60_000
	if _, err := s.renewOnce(context.Background()); err != nil || !s.Valid() {
		t.Errorf("after a renewal in time: valid %v, %v", s.Valid(), err)
	}
}

// Guards against dispatches and ownership of targets that outlive a session which the leader has
// ended.
func TestEndedSessionDropsEverything(t *testing.T) {
	leader := &slowLeader{response: syncmsg.Response{SessionKnown: true, LeaseMs: 60_000}}
	s, owned := newSession(t, leader)
	if _, err := s.renewOnce(context.Background()); err != nil || !s.Valid() {
		t.Fatalf("valid %v, %v", s.Valid(), err)
	}
	leader.response.SessionKnown = false
	before := owned.resets
	s.renewUntilExpired(context.Background())
	if s.Valid() || owned.resets != before+1 {
		t.Errorf("valid %v after the end of the session, %d resets", s.Valid(), owned.resets-before)
	}
}

// Guards against usage reports that do not reach the leader, against throttles of the leader that
// do not reach the targets, and against a response without throttles, which means no change, that
// removes them.
func TestRenewalCarriesUsageAndThrottles(t *testing.T) {
	throttles := syncmsg.Throttles{Attempts: []syncmsg.Throttle{{Attempt: model.AttemptID{Job: "j", Number: 1}, Level: 0.5}}}
	leader := &slowLeader{response: syncmsg.Response{SessionKnown: true, LeaseMs: 60_000, Throttles: &throttles}}
	s, owned := newSession(t, leader)
	owned.usage = []syncmsg.TargetUsage{{Target: "t", Report: model.UsageReport{Service: "s", FromMs: 1, ToMs: 2}}}
	for _, update := range []*syncmsg.Throttles{&throttles, nil} {
		leader.response.Throttles = update
		if _, err := s.renewOnce(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	if len(leader.request.Usage) != 1 || leader.request.Usage[0] != owned.usage[0] {
		t.Errorf("the leader got the reports %+v", leader.request.Usage)
	}
	if len(owned.throttles) != 1 || owned.throttles[0].Attempts[0] != throttles.Attempts[0] {
		t.Errorf("the targets got the throttles %+v", owned.throttles)
	}
}
