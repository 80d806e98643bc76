package control_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/rs/zerolog"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/daemon/control"
	"samphirepaddle.example/daemon/controller"
	"samphirepaddle.example/daemon/replica"
	"samphirepaddle.example/daemon/rpc"
)

// lossyLog is a log that loses proposals before they are applied and results after that, at random
// with a fixed seed.
type lossyLog struct {
	*replica.MemoryLog
	mu  sync.Mutex
	rng *rand.Rand
}

func (l *lossyLog) happens(percent int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.IntN(100) < percent
}

func (l *lossyLog) Propose(ctx context.Context, c state.Command) (state.Result, error) {
	if l.happens(20) {
		return state.Result{}, replica.ErrOutcomeUnknown // lost before it was applied
	}
	result, err := l.MemoryLog.Propose(ctx, c)
	if l.happens(30) {
		return state.Result{}, replica.ErrOutcomeUnknown // applied, result lost
	}
	return result, err
}

func newClient(t *testing.T, seed uint64) (*control.Client, *lossyLog) {
	log := &lossyLog{MemoryLog: replica.NewMemoryLog("c", ""), rng: rand.New(rand.NewPCG(seed, 1))}
	mux := http.NewServeMux()
	mux.Handle(rpc.ControlPathPrefix, rpc.NewControlServer(controller.NewService(log, time.Minute, zerolog.Nop())))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return control.NewClient([]string{strings.TrimPrefix(server.URL, "http://")}, http.DefaultTransport), log
}

// history records operations with their start and end times.
type history struct {
	mu    sync.Mutex
	start time.Time
	ops   []porcupine.Operation
}

func (h *history) record(client int, input any, call func() any) {
	begin := time.Since(h.start).Nanoseconds()
	output := call()
	end := time.Since(h.start).Nanoseconds()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: input, Call: begin, Output: output, Return: end})
}

func (h *history) check(t *testing.T, m porcupine.Model) {
	t.Helper()
	if result := porcupine.CheckOperationsTimeout(m, h.ops, time.Minute); result != porcupine.Ok {
		t.Fatalf("history of %d operations: %s", len(h.ops), result)
	}
}

// submission is one ticket. Its content depends on its author only.
type submission struct {
	number uint64
	author string
}

// ticketModel holds the author of the accepted ticket of each number. Tickets of different numbers
// change different pools, so no ticket is refused as stale. The result of the first ticket of a
// number may say that it was accepted before, because the client resends it after a lost response.
var ticketModel = porcupine.Model{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		return partitionBy(ops, func(input any) string { return fmt.Sprint(input.(submission).number) })
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		accepted, in, out := state.(string), input.(submission), output.(ticketOutcome)
		if accepted == "" {
			return out.ok, in.author
		}
		if accepted == in.author {
			return out.ok, accepted
		}
		return !out.ok && out.acceptedAuthor == accepted, accepted
	},
}

type ticketOutcome struct {
	ok             bool
	acceptedAuthor string
}

func partitionBy(ops []porcupine.Operation, key func(any) string) [][]porcupine.Operation {
	parts := map[string][]porcupine.Operation{}
	for _, op := range ops {
		parts[key(op.Input)] = append(parts[key(op.Input)], op)
	}
	var list [][]porcupine.Operation
	for _, part := range parts {
		list = append(list, part)
	}
	return list
}

// Guards against two accepted tickets with the same number and different contents, a resent ticket
// that is applied twice, and a refused ticket whose author is told the wrong accepted ticket.
func TestTicketHistory(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		client, log := newClient(t, seed)
		h := &history{start: time.Now()}
		runClients(6, seed, func(id int, rng *rand.Rand) {
			for range 15 {
				in := submission{uint64(1 + rng.IntN(8)), fmt.Sprint("operator", rng.IntN(3))}
				h.record(id, in, func() any { return submit(t, client, in) })
			}
		})
		h.check(t, ticketModel)
		log.View(func(st *state.State) {
			for number, record := range st.Tickets {
				if weight := st.Config.Pools[poolOf(number)].Weights.Throughput; weight != weightOf(record.Author) {
					t.Fatalf("ticket %d of %s is not the one that is in force", number, record.Author)
				}
			}
		})
	}
}

// weightOf returns the weight that a ticket of the author sets, by which the pool's configuration
// shows whose ticket is in force.
func weightOf(author string) float64 { return float64(author[len(author)-1]) }

func poolOf(number uint64) model.PoolID { return model.PoolID(fmt.Sprint("pool", number)) }

func submit(t *testing.T, client *control.Client, in submission) ticketOutcome {
	result := mustPropose(t, client, state.Command{SubmitTicket: &state.SubmitTicket{Ticket: model.Ticket{
		Number: in.number,
		Author: in.author,
		Pools:  []model.Pool{{ID: poolOf(in.number), Weights: model.Weights{Throughput: weightOf(in.author)}}},
	}}})
	out := ticketOutcome{ok: result.OK()}
	if result.AcceptedTicket != nil {
		out.acceptedAuthor = result.AcceptedTicket.Author
	}
	return out
}

func mustPropose(t *testing.T, client *control.Client, c state.Command) state.Result {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	result, err := client.Propose(ctx, c)
	if err != nil && !errors.Is(err, control.ErrOutcomeUnknown) {
		t.Error(err)
	}
	return result
}

func runClients(n int, seed uint64, run func(id int, rng *rand.Rand)) {
	var group sync.WaitGroup
	for id := range n {
		group.Go(func() { run(id, rand.New(rand.NewPCG(seed, uint64(id)+2))) })
	}
	group.Wait()
}

// keyedCall is a request with an idempotency key. Each resend has a new request id.
type keyedCall struct{ key string }

// keyedOutcome says whether this request ran the work, and which response body it got. The body is
// empty if there was no response, for example while another request with the key is in progress.
type keyedOutcome struct {
	ran  bool
	body string
}

// keyedModel allows one run for each key. Once it has ended, all other requests with the key get
// the stored response. Until then, they are told that the request is in progress.
var keyedModel = porcupine.Model{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		return partitionBy(ops, func(input any) string { return input.(keyedCall).key })
	},
	Init: func() any { return "" },
	Step: func(state, _, output any) (bool, any) {
		stored, out := state.(string), output.(keyedOutcome)
		switch {
		case out.ran:
			return stored == "", out.body
		case out.body == "":
			return true, stored // in progress: the run may end later in the history
		default:
			return out.body == stored, stored
		}
	},
}

// Guards against a second run of a request with an idempotency key under lost responses and
// resends, and against a response that belongs to another request.
func TestKeyedRequestHistory(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		client, log := newClient(t, seed)
		epoch := registerGateway(t, client)
		h := &history{start: time.Now()}
		var runs sync.Map
		runClients(6, seed, func(id int, rng *rand.Rand) {
			for n := range 15 {
				in := keyedCall{fmt.Sprint("key", rng.IntN(10))}
				request := model.RequestID(fmt.Sprintf("%d-%d-%d", seed, id, n))
				h.record(id, in, func() any { return serveKeyedCall(t, client, epoch, in, request, &runs) })
			}
		})
		h.check(t, keyedModel)
		log.View(func(st *state.State) {
			if len(st.Requests) == 0 {
				t.Fatal("no request was recorded")
			}
		})
	}
}

func registerGateway(t *testing.T, client *control.Client) model.Epoch {
	return mustPropose(t, client, state.Command{RegisterGateway: &state.RegisterGateway{Gateway: "gw", Incarnation: "x"}}).Epoch
}

// serveKeyedCall does what a gateway does: it records the request, runs the work and stores the
// response.
func serveKeyedCall(t *testing.T, client *control.Client, epoch model.Epoch, in keyedCall, request model.RequestID, runs *sync.Map) keyedOutcome {
	begin := mustPropose(t, client, state.Command{BeginRequest: &state.BeginRequest{
		Tenant: "andino", Key: in.key, Request: request, Gateway: "gw", Epoch: epoch,
	}})
	if begin.Code == state.CodeRepeated {
		return keyedOutcome{body: string(begin.Response.Body)}
	}
	if begin.Code != state.CodeOK {
		return keyedOutcome{}
	}
	if other, loaded := runs.LoadOrStore(in.key, request); loaded {
		t.Errorf("%s ran for %v and for %s", in.key, other, request)
	}
	mustPropose(t, client, state.Command{EndRequest: &state.EndRequest{
		Tenant: "andino", Key: in.key, Request: request, Verdict: model.VerdictRan,
		Response: &state.StoredResponse{Status: 200, Body: []byte(request)},
	}})
	return keyedOutcome{ran: true, body: string(request)}
}
