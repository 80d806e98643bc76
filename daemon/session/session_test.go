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
}

func (l *slowLeader) Sync(context.Context, *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	time.Sleep(l.delay)
	data, err := model.Encode(l.answers)
	return &rpc.SyncResponse{Body: data}, err
}

type noTargets struct{ resets int }

func (*noTargets) Apply(*syncmsg.Changes, state.Config)   {}
func (*noTargets) Summaries(bool) []syncmsg.TargetSummary { return nil }
func (o *noTargets) Reset()                               { o.resets++ }

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
	leader := &slowLeader{delay: 200 * time.Millisecond, answers: syncmsg.Response{Known: true, LeaseMs: 100}}
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
	leader := &slowLeader{answers: syncmsg.Response{Known: true, LeaseMs: 60_000}}
	s, owned := newSession(t, leader)
	if _, err := s.renewOnce(context.Background()); err != nil || !s.Valid() {
		t.Fatalf("valid %v, %v", s.Valid(), err)
	}
	leader.answers.Known = false
	before := owned.resets
	s.renew(context.Background())
	if s.Valid() || owned.resets != before+1 {
		t.Errorf("valid %v after the end of the session, %d resets", s.Valid(), owned.resets-before)
	}
}
