package replica

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/twitchtv/twirp"

	"samphirepaddle.example/core/founding"
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/daemon/rpc"
)

// Witness is the part of a daemon without a disk in the first start of the whole system: as a seed it introduces the
// controllers to each other and votes on the group that is created. founding.go has the rules.
type Witness struct {
	opts  WitnessOptions
	seeds string // in the form in which controllers compare their settings

	mu      sync.Mutex
	vote    founding.Vote
	waiting waitingList
}

// WitnessOptions are the settings of a Witness.
type WitnessOptions struct {
	Gateway model.GatewayID
	Seeds   []Controller // the same on every daemon of the first start
	Client  *http.Client
	Logger  zerolog.Logger
	// MayVote must be true only in processes of the first start of the whole system: a process that starts later may have
	// forgotten its vote.
	MayVote bool
}

// NewWitness returns a witness that has not voted.
func NewWitness(o WitnessOptions) (*Witness, error) {
	sorted := Options{InitialControllers: o.Seeds}
	if err := sorted.checkInitial(); err != nil {
		return nil, err
	}
	return &Witness{opts: o, seeds: sorted.initialGateways(), waiting: waitingList{}}, nil
}

// Handler serves the Consensus service.
func (w *Witness) Handler() http.Handler {
	server := rpc.NewConsensusServer(w)
	return http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		req.Body = http.MaxBytesReader(rw, req.Body, maxDiscoveryBytes)
		rw.Header()["Date"] = nil
		server.ServeHTTP(rw, req)
	})
}

// maxDiscoveryBytes limits a call with a discovery request, which names a few controllers at most.
const maxDiscoveryBytes = 64 << 10

// Step receives a discovery request and sends the response to its sender, as controllers do.
func (w *Witness) Step(_ context.Context, req *rpc.StepRequest) (*rpc.StepResponse, error) {
	var b batch
	if err := model.Decode(req.Messages, &b); err != nil {
		return nil, twirp.InvalidArgumentError("messages", err.Error())
	}
	if b.Request != nil && b.Request.Group == "" {
		response := w.answer(*b.Request, time.Now())
		go w.send(b.Request.Addr, response)
	}
	return &rpc.StepResponse{}, nil
}

func (w *Witness) answer(request discoveryRequest, now time.Time) discoveryResponse {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting.addRequest(request, now)
	response := discoveryResponse{
		Gateway: w.opts.Gateway, InitialGateways: w.seeds, Nonce: request.Nonce, MayNotCreate: true, Waiting: w.waiting.recent(now),
	}
	if w.opts.MayVote && request.Founding != nil && request.InitialGateways == w.seeds {
		w.vote = w.vote.Handle(*request.Founding)
		vote := w.vote
		response.Vote = &vote
	}
	return response
}

// send sends a response. One that is lost is asked for again.
func (w *Witness) send(addr string, response discoveryResponse) {
	data, err := model.Encode(batch{Addr: string(w.opts.Gateway), Response: &response})
	if err != nil {
		w.opts.Logger.Error().Err(err).Msg("cannot encode a response to a controller")
		return
	}
	ctx, cancel := context.WithTimeout(withoutUserAgent(context.Background()), controlTimeout)
	defer cancel()
	client := rpc.NewConsensusProtobufClient("http://"+addr, w.opts.Client)
	if _, err := client.Step(ctx, &rpc.StepRequest{Messages: data}); err != nil {
		w.opts.Logger.Debug().Err(err).Str("peer", addr).Msg("response to a controller failed")
	}
}
