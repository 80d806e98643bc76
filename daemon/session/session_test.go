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

// slowLeader answers each renewal after a delay.
type slowLeader struct {
	rpc.Control
	delay   time.Duration
	answers syncmsg.Response
	request syncmsg.Request // the last one
}

func (l *slowLeader) Sync(_ context.Context, request *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	time.Sleep(l.delay)
	l.request = syncmsg.Request{}
	if err := model.Decode(request.Body, &l.request); err != nil {
		return nil, err
	}
	data, err := model.Encode(l.answers)
	return &rpc.SyncResponse{Body: data}, err
}

type noTargets struct {
	resets    int
	throttles []syncmsg.Throttles
	usage     []syncmsg.TargetUsage
}

func (*noTargets) Apply(*syncmsg.Changes, state.Config)   {}
func (*noTargets) Summaries(bool) []syncmsg.TargetSummary { return nil }
func (o *noTargets) Reset()                               { o.resets++ }
func (o *noTargets) SetThrottles(t syncmsg.Throttles)     { o.throttles = append(o.throttles, t) }
func (o *noTargets) TakeUsage() []syncmsg.TargetUsage     { return o.usage }

func newSession(t *testing.T, leader *slowLeader) (*Session, *noTargets) {
	server := httptest.NewServer(rpc.NewControlServer(leader))
	t.Cleanup(server.Close)
	client := control.NewClient([]string{strings.TrimPrefix(server.URL, "http://")}, http.DefaultTransport)
	owned := &noTargets{}
	s := New(Identity{Gateway: "g"}, client, owned, zerolog.Nop())
	s.start(1)
	return s, owned
}

// Guards against a late answer that extends the lease beyond what the leader counts: the lease
// runs from the time at which the renewal was sent.
func TestLateRenewalExtendsNothing(t *testing.T) {
	leader := &slowLeader{delay: 200 * time.Millisecond, answers: syncmsg.Response{SessionKnown: true, LeaseMs: 100}}
	s, _ := newSession(t, leader)
	if known, err := s.renewOnce(context.Background()); !known || err != nil {
		t.Fatalf("renewal: known %v, %v", known, err)
	}
	if s.Valid() {
		t.Error("the lease counts from the arrival of the answer")
	}
	leader.delay, leader.answers.LeaseMs = 0, 60_000
	if _, err := s.renewOnce(context.Background()); err != nil || !s.Valid() {
		t.Errorf("after a renewal in time: valid %v, %v", s.Valid(), err)
	}
}

// Guards against dispatches and ownerships that outlive a session which the leader ended.
func TestEndedSessionDropsEverything(t *testing.T) {
	leader := &slowLeader{answers: syncmsg.Response{SessionKnown: true, LeaseMs: 60_000}}
	s, owned := newSession(t, leader)
	if _, err := s.renewOnce(context.Background()); err != nil || !s.Valid() {
		t.Fatalf("valid %v, %v", s.Valid(), err)
	}
	leader.answers.SessionKnown = false
	before := owned.resets
	s.renew(context.Background())
	if s.Valid() || owned.resets != before+1 {
		t.Errorf("valid %v after the end of the session, %d resets", s.Valid(), owned.resets-before)
	}
}

// Guards against usage reports that never reach the leader, against its throttles getting lost
// on the way back, and against unchanged throttles being taken for none.
func TestRenewalCarriesUsageAndThrottles(t *testing.T) {
	throttles := syncmsg.Throttles{Attempts: []syncmsg.Throttle{{Attempt: model.AttemptID{Job: "j", Number: 1}, Level: 0.5}}}
	leader := &slowLeader{answers: syncmsg.Response{SessionKnown: true, LeaseMs: 60_000, Throttles: &throttles}}
	s, owned := newSession(t, leader)
	owned.usage = []syncmsg.TargetUsage{{Target: "t", Report: model.UsageReport{Service: "s", FromMs: 1, ToMs: 2}}}
	for _, answer := range []*syncmsg.Throttles{&throttles, nil} {
		leader.answers.Throttles = answer
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
