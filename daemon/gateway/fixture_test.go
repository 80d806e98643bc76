package gateway

import (
	"context"
	"encoding/json"
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
	"samphirepaddle.example/daemon/owner"
	"samphirepaddle.example/daemon/target"
)

// fakeSession is a session whose lease, configuration and peers are set by a test.
type fakeSession struct {
	id    model.GatewayID
	valid atomic.Bool

	mu      sync.Mutex
	service model.Service
	tenant  model.Tenant
	peers   []syncmsg.Peer
}

func (s *fakeSession) Valid() bool              { return s.valid.Load() }
func (s *fakeSession) Epoch() model.Epoch       { return 1 }
func (s *fakeSession) Gateway() model.GatewayID { return s.id }

func (s *fakeSession) Service(id model.ServiceID) (model.Service, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.service, id == s.service.ID
}

func (s *fakeSession) Tenant(id model.TenantID) (model.Tenant, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tenant, id == s.tenant.ID
}

func (s *fakeSession) Peers() []syncmsg.Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peers
}

// fakeControl applies commands to a real state, and serves the queries of the gateway.
type fakeControl struct {
	mu     sync.Mutex
	state  *state.State
	owners map[model.TargetID]string // peer addresses
	down   atomic.Bool
}

func (c *fakeControl) Propose(_ context.Context, command state.Command) (state.Result, error) {
	if c.down.Load() {
		return state.Result{}, context.DeadlineExceeded
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Apply(c.state.Revision+1, command), nil
}

func (c *fakeControl) Read(_ context.Context, query string, arguments any) (json.RawMessage, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if query == "owner" {
		return json.RawMessage(c.owners[arguments.(model.TargetID)]), nil
	}
	return json.Marshal(c.state.Jobs[arguments.(model.JobID)])
}

// fixture is one gateway with one target, a fake session and fake controllers.
type fixture struct {
	session *fakeSession
	control *fakeControl
	owners  *owner.Table
	gateway *Gateway
	public  *httptest.Server
	peer    *httptest.Server
	target  *httptest.Server
	record  state.Target
}

const slots = 4

func newFixture(t testing.TB, id model.GatewayID, handle http.HandlerFunc) *fixture {
	t.Helper()
	f := &fixture{
		session: &fakeSession{id: id},
		control: &fakeControl{state: state.New(), owners: map[model.TargetID]string{}},
		target:  httptest.NewServer(handle),
	}
	t.Cleanup(f.target.Close)
	f.session.valid.Store(true)
	f.session.service = model.Service{
		ID: "pedidos", Pool: "p", QuickDemand: model.Resources{Slots: 1, Connections: 1}, DeadlineMs: 20_000, QueueLength: 100,
	}
	f.session.tenant = model.Tenant{ID: "shop"}
	register := &state.RegisterGateway{Gateway: id, Incarnation: "1"}
	_, _ = f.control.Propose(context.Background(), state.Command{RegisterGateway: register})
	targets := target.NewClient(16)
	f.owners = owner.NewTable(owner.Options{
		Gateway: id, TargetTTL: time.Minute, AnnounceInterval: time.Second,
		Targets: targets, Proposer: f.control, Logger: zerolog.Nop(),
	})
	f.owners.SetLease(f.session)
	f.gateway = New(Options{
		Session: f.session, Owners: f.owners, Targets: targets, Control: f.control, MaxQueued: 100, Logger: zerolog.Nop(),
	})
	publicMux, peerMux := http.NewServeMux(), http.NewServeMux()
	f.gateway.Register(publicMux)
	f.gateway.RegisterPeer(peerMux)
	f.public = httptest.NewServer(f.gateway.WithTimeouts(publicMux))
	t.Cleanup(f.public.Close)
	f.peer = httptest.NewServer(peerMux)
	t.Cleanup(f.peer.Close)
	return f
}

func address(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

// addTarget makes the gateway the owner of the target and sends the target's first announcement.
func (f *fixture) addTarget(t testing.TB, id model.TargetID) {
	t.Helper()
	f.record = state.Target{
		ID: id, StartID: "s1", Address: address(f.target), Pool: "p", Owner: f.session.id, Epoch: 5,
		Capacity: model.Resources{Slots: slots, Connections: 64},
	}
	f.control.owners[id] = address(f.peer)
	f.owners.Apply(&syncmsg.Changes{OwnedTargets: []model.TargetID{id}, Targets: []state.Target{f.record}}, state.Config{Revision: 1})
	f.announce(t, 1)
}

func (f *fixture) announce(t testing.TB, sequence uint64, requests ...model.RequestID) {
	t.Helper()
	_, err := f.owners.Announce(context.Background(), model.Announcement{
		Target: f.record.ID, StartID: "s1", Sequence: sequence, Epoch: 5, Address: f.record.Address, Pool: "p",
		Capacity: f.record.Capacity, State: model.TargetReady, Requests: requests,
	})
	if err != nil {
		t.Fatal(err)
	}
}

// setPeers makes peers the gateway's view of its peers, each with all slots free.
func (f *fixture) setPeers(peers ...*fixture) {
	f.session.mu.Lock()
	defer f.session.mu.Unlock()
	f.session.peers = nil
	for _, p := range peers {
		f.session.peers = append(f.session.peers, syncmsg.Peer{
			ID: p.session.id, PeerAddr: address(p.peer), FreeQuick: map[model.PoolID]int32{"p": slots},
		})
	}
}

// reply is a response to a caller.
type reply struct {
	status  int
	verdict string
	code    string
	body    string
	header  http.Header
}

// call sends one request; headers are pairs of name and value.
func (f *fixture) call(method, path, body string, headers ...string) (reply, error) {
	request, err := http.NewRequest(method, f.public.URL+"/v1/call/pedidos"+path, strings.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	request.Header.Set(headerTenant, "shop")
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := f.public.Client().Do(request)
	if err != nil {
		return reply{}, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	var problem Problem
	_ = json.Unmarshal(data, &problem)
	return reply{response.StatusCode, response.Header.Get(model.VerdictHeader), problem.Code, string(data), response.Header}, err
}

// mustCall is call, and fails the test on an error.
func mustCall(t *testing.T, f *fixture, method, path, body string, headers ...string) reply {
	t.Helper()
	r, err := f.call(method, path, body, headers...)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// echo is a target that responds with the request body.
func echo(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
	_, _ = io.Copy(w, r.Body)
}

// blockingTarget is a target that blocks requests until release is closed.
type blockingTarget struct {
	arrived    chan string // paths of the requests that have reached the target
	release    chan struct{}
	running    atomic.Int32
	maxRunning atomic.Int32
}

func newBlockingTarget() *blockingTarget {
	return &blockingTarget{arrived: make(chan string, 1000), release: make(chan struct{})}
}

func (b *blockingTarget) handle(w http.ResponseWriter, r *http.Request) {
	now := b.running.Add(1)
	defer b.running.Add(-1)
	for old := b.maxRunning.Load(); now > old && !b.maxRunning.CompareAndSwap(old, now); old = b.maxRunning.Load() {
	}
	b.arrived <- r.URL.EscapedPath()
	<-b.release
	time.Sleep(time.Millisecond) // so that requests in excess of the slots would overlap
	echo(w, r)
}

// eventually waits for a condition. The timeout is only there to end a test that hangs.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("did not happen: %s", what)
		}
	}
}
