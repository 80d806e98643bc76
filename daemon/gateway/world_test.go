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

// fakeSession is a session whose lease and view a test sets.
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

// fakeControl applies commands to a real state, and answers the queries of the gateway.
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

// world is one gateway with one target and its fakes.
type world struct {
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

func newWorld(t testing.TB, id model.GatewayID, handle http.HandlerFunc) *world {
	t.Helper()
	w := &world{
		session: &fakeSession{id: id},
		control: &fakeControl{state: state.New(), owners: map[model.TargetID]string{}},
		target:  httptest.NewServer(handle),
	}
	t.Cleanup(w.target.Close)
	w.session.valid.Store(true)
	w.session.service = model.Service{
		ID: "pedidos", Pool: "p", QuickDemand: model.Resources{Slots: 1, Connections: 1}, DeadlineMs: 20_000, QueueLength: 100,
	}
	w.session.tenant = model.Tenant{ID: "shop"}
	register := &state.RegisterGateway{Gateway: id, Incarnation: "1"}
	_, _ = w.control.Propose(context.Background(), state.Command{RegisterGateway: register})
	targets := target.NewClient(16)
	w.owners = owner.NewTable(owner.Options{
		Gateway: id, TargetTTL: time.Minute, AnnounceInterval: time.Second,
		Targets: targets, Proposer: w.control, Logger: zerolog.Nop(),
	})
	w.owners.SetLease(w.session)
	w.gateway = New(Options{
		Session: w.session, Owners: w.owners, Targets: targets, Control: w.control, MaxQueued: 100, Logger: zerolog.Nop(),
	})
	publicMux, peerMux := http.NewServeMux(), http.NewServeMux()
	w.gateway.Register(publicMux)
	w.gateway.RegisterPeer(peerMux)
	w.public = httptest.NewServer(w.gateway.WithTimeouts(publicMux))
	t.Cleanup(w.public.Close)
	w.peer = httptest.NewServer(peerMux)
	t.Cleanup(w.peer.Close)
	return w
}

func address(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

// own gives the gateway the target and lets it report.
func (w *world) own(t testing.TB, id model.TargetID) {
	t.Helper()
	w.record = state.Target{
		ID: id, StartID: "s1", Address: address(w.target), Pool: "p", Owner: w.session.id, Epoch: 5,
		Capacity: model.Resources{Slots: slots, Connections: 64},
	}
	w.control.owners[id] = address(w.peer)
	w.owners.Apply(&syncmsg.Changes{OwnedTargets: []model.TargetID{id}, Targets: []state.Target{w.record}}, state.Config{Revision: 1})
	w.announce(t, 1)
}

func (w *world) announce(t testing.TB, sequence uint64, requests ...model.RequestID) {
	t.Helper()
	_, err := w.owners.Announce(context.Background(), model.Announcement{
		Target: w.record.ID, StartID: "s1", Sequence: sequence, Epoch: 5, Address: w.record.Address, Pool: "p",
		Capacity: w.record.Capacity, State: model.TargetReady, Requests: requests,
	})
	if err != nil {
		t.Fatal(err)
	}
}

func (w *world) see(peers ...*world) {
	w.session.mu.Lock()
	defer w.session.mu.Unlock()
	w.session.peers = nil
	for _, p := range peers {
		w.session.peers = append(w.session.peers, syncmsg.Peer{
			ID: p.session.id, PeerAddr: address(p.peer), FreeQuick: map[model.PoolID]int32{"p": slots},
		})
	}
}

// reply is an answer to a caller.
type reply struct {
	status  int
	verdict string
	code    string
	body    string
	header  http.Header
}

// call sends one request; headers are pairs of name and value.
func (w *world) call(method, path, body string, headers ...string) (reply, error) {
	request, err := http.NewRequest(method, w.public.URL+"/v1/call/pedidos"+path, strings.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	request.Header.Set(headerTenant, "shop")
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := w.public.Client().Do(request)
	if err != nil {
		return reply{}, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	var problem Problem
	_ = json.Unmarshal(data, &problem)
	return reply{response.StatusCode, response.Header.Get(model.VerdictHeader), problem.Code, string(data), response.Header}, err
}

func mustCall(t *testing.T, w *world, method, path, body string, headers ...string) reply {
	t.Helper()
	r, err := w.call(method, path, body, headers...)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func echo(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
	_, _ = io.Copy(w, r.Body)
}

// gate is a target that holds requests until it is opened.
type gate struct {
	arrived chan string // paths
	open    chan struct{}
	running atomic.Int32
	most    atomic.Int32
}

func newGate() *gate {
	return &gate{arrived: make(chan string, 1000), open: make(chan struct{})}
}

func (g *gate) handle(w http.ResponseWriter, r *http.Request) {
	now := g.running.Add(1)
	defer g.running.Add(-1)
	for old := g.most.Load(); now > old && !g.most.CompareAndSwap(old, now); old = g.most.Load() {
	}
	g.arrived <- r.URL.EscapedPath()
	<-g.open
	time.Sleep(time.Millisecond) // so that requests in excess of the slots would overlap
	echo(w, r)
}

// eventually waits for a condition; the bound only ends a test that hangs.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("did not happen: %s", what)
		}
	}
}
