package controller

import (
	"context"
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/syncmsg"
	"samphirepaddle.example/daemon/replica"
	"samphirepaddle.example/daemon/rpc"
)

// termLog is a MemoryLog whose leadership a test can change between the steps of a renewal.
type termLog struct {
	*replica.MemoryLog
	term   uint64
	self   bool
	onRead func()
}

func (l *termLog) Leader() replica.Leader { return replica.Leader{ID: "c", Self: l.self, Term: l.term} }

func (l *termLog) Read(ctx context.Context, query func(*state.State)) error {
	if l.onRead != nil {
		l.onRead()
	}
	if !l.self {
		return replica.ErrNotLeader
	}
	return l.MemoryLog.Read(ctx, query)
}

// testController is a Service on an in-memory log.
type testController struct {
	t       testing.TB
	log     *termLog
	service *Service
}

func newTestController(t testing.TB, ttl time.Duration) *testController {
	log := &termLog{MemoryLog: replica.NewMemoryLog("c", ""), term: 1, self: true}
	return &testController{t, log, NewService(log, ttl, zerolog.Nop())}
}

func (r *testController) propose(c state.Command) state.Result {
	r.t.Helper()
	data, err := model.Encode(c)
	if err != nil {
		r.t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	reply, err := r.service.Propose(ctx, &rpc.ProposeRequest{Command: data})
	if err != nil {
		r.t.Fatal(err)
	}
	var result state.Result
	if err := model.Decode(reply.Result, &result); err != nil {
		r.t.Fatal(err)
	}
	return result
}

func (r *testController) register(id model.GatewayID, incarnation string) model.Epoch {
	r.t.Helper()
	result := r.propose(state.Command{RegisterGateway: &state.RegisterGateway{Gateway: id, Incarnation: incarnation}})
	if !result.OK() {
		r.t.Fatalf("register: %+v", result)
	}
	return result.Epoch
}

// sync sends one renewal. It returns the response and the sizes of the request and the response
// in bytes.
func (r *testController) sync(request syncmsg.Request) (syncmsg.Response, int, int, error) {
	data, err := model.Encode(request)
	if err != nil {
		r.t.Fatal(err)
	}
	reply, err := r.service.Sync(context.Background(), &rpc.SyncRequest{Body: data})
	if err != nil {
		return syncmsg.Response{}, len(data), 0, err
	}
	var response syncmsg.Response
	if err := model.Decode(reply.Body, &response); err != nil {
		r.t.Fatal(err)
	}
	return response, len(data), len(reply.Body), nil
}

// Guards against a lease granted by a deposed leader, whose successor lets the session expire.
func TestNoGrantAfterChangeOfLeader(t *testing.T) {
	r := newTestController(t, time.Minute)
	epoch := r.register("gw", "a")
	request := syncmsg.Request{Gateway: "gw", Epoch: epoch}
	if response, _, _, err := r.sync(request); err != nil || response.LeaseMs != 60_000 {
		t.Fatalf("grant: %+v %v", response, err)
	}
	r.log.onRead = func() { r.log.term = 2 }
	if _, _, _, err := r.sync(request); err == nil {
		t.Fatal("a lease was granted under a term that had ended")
	}
	r.log.onRead, r.log.self = nil, false
	if _, _, _, err := r.sync(request); err == nil {
		t.Fatal("a lease was granted by a controller that is not the leader")
	}
}

// Guards against a call of an older term that resets the session table, and against a new leader
// that expires sessions which its predecessor renewed just before the election.
func TestTermsOfTheSessionTable(t *testing.T) {
	table := newSessions(time.Minute)
	live := []state.Gateway{{ID: "gw", Epoch: 1}}
	if overdue := table.markOverdue(2, live); len(overdue) != 0 {
		t.Fatalf("a new leader let %v expire at once", overdue)
	}
	var response syncmsg.Response
	if !table.grant(2, syncmsg.Request{Gateway: "gw", Epoch: 1}, peerList{}, &response) {
		t.Fatal("the lease was not granted")
	}
	if table.grant(1, syncmsg.Request{Gateway: "gw", Epoch: 1}, peerList{}, &response) {
		t.Fatal("a lease was granted under an older term")
	}
	table.leaderSince = time.Now().Add(-time.Hour)
	if overdue := table.markOverdue(2, live); len(overdue) != 0 {
		t.Fatalf("%v expired although it was renewed just now", overdue)
	}
	table.byID["gw"].renewedAt = time.Now().Add(-time.Hour)
	if !table.grant(2, syncmsg.Request{Gateway: "gw", Epoch: 1}, peerList{}, &response) || len(table.markOverdue(2, live)) != 0 {
		t.Fatal("a grant did not renew the session")
	}
	table.byID["gw"].renewedAt = time.Now().Add(-time.Hour)
	if overdue := table.markOverdue(2, live); len(overdue) != 1 {
		t.Fatal("a session whose lease has expired did not expire")
	}
	if table.grant(2, syncmsg.Request{Gateway: "gw", Epoch: 1}, peerList{}, &response) {
		t.Fatal("a grant followed the decision to expire the session")
	}
}

// Guards against a restarted gateway that gets a session while its old process may still
// dispatch, and against a wait although the old process has ended its session itself.
func TestNewIncarnationWaitsForTheOldLease(t *testing.T) {
	const ttl = 200 * time.Millisecond
	r := newTestController(t, ttl)
	epoch := r.register("gw", "a")
	if _, _, _, err := r.sync(syncmsg.Request{Gateway: "gw", Epoch: epoch}); err != nil {
		t.Fatal(err)
	}
	granted := time.Now()
	r.register("gw", "b")
	if time.Since(granted) < ttl {
		t.Fatal("the new incarnation did not wait for the old lease")
	}
	r.service.sessions.ttl = time.Hour
	r.propose(state.Command{ExpireGateway: &state.ExpireGateway{Gateway: "gw", Epoch: r.epoch("gw")}})
	r.register("gw", "c")
}

func (r *testController) epoch(id model.GatewayID) (epoch model.Epoch) {
	r.log.View(func(st *state.State) { epoch = st.Gateways[id].Epoch })
	return epoch
}

// Guards against a ticket that counts as in force while a live gateway has not applied it.
func TestInForceNeedsEverySession(t *testing.T) {
	r := newTestController(t, time.Minute)
	a, b := r.register("gwa", "x"), r.register("gwb", "x")
	r.propose(state.Command{SubmitTicket: &state.SubmitTicket{Ticket: model.Ticket{Number: 3, Pools: []model.Pool{{ID: "p"}}}}})
	lagging := func() []model.GatewayID {
		var status TicketStatus
		r.log.View(func(st *state.State) { status, _ = r.service.ticketStatus(st, 3) })
		return status.LaggingGateways
	}
	if got := lagging(); len(got) != 2 {
		t.Fatalf("lagging gateways before any session was renewed under this leader: %v", got)
	}
	for _, request := range []syncmsg.Request{{Gateway: "gwa", Epoch: a}, {Gateway: "gwb", Epoch: b}} {
		response, _, _, _ := r.sync(request)
		if len(lagging()) == 0 {
			t.Fatal("in force before the last gateway has acknowledged")
		}
		request.Revision = response.Revision
		r.sync(request)
	}
	if got := lagging(); len(got) != 0 {
		t.Fatalf("lagging gateways: %v", got)
	}
}

// Guards against partial responses that a client merges into a view that differs from the full
// response: configuration, peers, targets and attempts.
func TestPartialResponsesEqualFullOnes(t *testing.T) {
	r := newTestController(t, time.Minute)
	f := newFleet(r, 3, 9)
	var view syncmsg.View
	request := syncmsg.Request{Gateway: "gw0", Epoch: f.epochs[0]}
	var open []model.AttemptID
	var config state.Config
	var merged []syncmsg.Peer
	for step := range 60 {
		f.start(3)
		r.service.sessions.recordReport(1, syncmsg.Request{Gateway: "gw2", Epoch: f.epochs[2], Targets: f.summaries(2, step%3)})
		if step%4 == 3 {
			f.finish(3)
		}
		switch step {
		case 20:
			r.propose(state.Command{ExpireGateway: &state.ExpireGateway{Gateway: "gw1", Epoch: f.epochs[1]}})
		case 30:
			r.propose(state.Command{SubmitTicket: &state.SubmitTicket{Ticket: model.Ticket{Number: 50, Services: []model.Service{
				{ID: "desk", Pool: "shops", QuickDemand: model.Resources{Slots: 1, Connections: 1}, DeadlineMs: 100}}}}})
		case 40:
			r.propose(state.Command{SubmitTicket: &state.SubmitTicket{Ticket: model.Ticket{Number: 51, Delete: []model.ObjectRef{{Kind: model.KindService, ID: "desk"}}}}})
		}
		view.Prepare(&request)
		response, _, _, err := r.sync(request)
		if err != nil {
			t.Fatal(err)
		}
		view.Merge(request, &response)
		request.Revision = response.Revision
		if response.Config != nil {
			config = *response.Config
		}
		if response.Changes != nil {
			open = response.Changes.OpenAttempts
		}
		merged = response.Peers
		var full syncmsg.Response
		r.log.View(func(st *state.State) {
			full = syncView(st, syncmsg.Request{Gateway: "gw0", Epoch: f.epochs[0]})
			full.Peers = livePeers(st)
		})
		for i := range full.Peers {
			if other, ok := r.service.sessions.byID[full.Peers[i].ID]; ok {
				full.Peers[i].FreeQuick = other.freeQuick
			}
		}
		if !reflect.DeepEqual(config, *full.Config) {
			t.Fatalf("step %d: configuration %+v, full %+v", step, config, *full.Config)
		}
		if fmt.Sprint(merged) != fmt.Sprint(full.Peers) {
			t.Fatalf("step %d: peers %+v, full %+v", step, merged, full.Peers)
		}
		if got, want := setOf(open), setOf(full.Changes.OpenAttempts); !reflect.DeepEqual(got, want) {
			t.Fatalf("step %d: open %v, full %v", step, got, want)
		}
	}
}

func setOf(ids []model.AttemptID) map[string]bool {
	set := map[string]bool{}
	for _, id := range ids {
		set[fmt.Sprint(id)] = true
	}
	return set
}

// Guards against a change of the peers that is lost with a response, because the next response
// holds only the differences to the lost one, and against a change that is never sent.
func TestPeersAfterALostResponse(t *testing.T) {
	r := newTestController(t, time.Minute)
	f := newFleet(r, 3, 3)
	var view syncmsg.View
	request := syncmsg.Request{Gateway: "gw0", Epoch: f.epochs[0]}
	renew := func(lost bool) (peers []syncmsg.Peer) {
		view.Prepare(&request)
		response, _, _, err := r.sync(request)
		if err != nil {
			t.Fatal(err)
		}
		if !lost {
			view.Merge(request, &response)
			request.Revision = response.Revision
		}
		return response.Peers
	}
	renew(false)
	r.propose(state.Command{DrainGateway: &state.DrainGateway{Gateway: "gw1", Epoch: f.epochs[1]}})
	renew(true)
	for _, peer := range renew(false) {
		if peer.Draining != (peer.ID == "gw1") {
			t.Fatalf("peer after a lost response: %+v", peer)
		}
	}
	r.propose(state.Command{DrainGateway: &state.DrainGateway{Gateway: "gw2", Epoch: f.epochs[2]}})
	if peers := renew(false); len(peers) != 3 || !peers[2].Draining {
		t.Fatalf("peers after a drain: %+v", peers)
	}
	r.register("gw3", "x")
	if peers := renew(false); len(peers) != 4 {
		t.Fatalf("peers after a registration: %+v", peers)
	}
}
