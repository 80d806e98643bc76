package replica

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"samphirepaddle.example/core/consensus"
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/daemon/rpc"
)

// batch is the content of one call of Step.
type batch struct {
	Group    string              `cbor:"1,keyasint,omitempty"`
	From     consensus.MemberID  `cbor:"2,keyasint"`
	Addr     string              `cbor:"3,keyasint"` // of the sender
	Messages []consensus.Message `cbor:"4,keyasint,omitempty"`
	Hello    *hello              `cbor:"5,keyasint,omitempty"`
	Welcome  *welcome            `cbor:"6,keyasint,omitempty"`
}

const (
	controlTimeout = 500 * time.Millisecond // one call with heartbeats, votes and answers
	entriesTimeout = 3 * time.Second        // one call with entries or snapshot data
	idleLane       = time.Minute            // after which an unused lane ends
)

// laneKey names a lane. Entries have a lane of their own, so that a heartbeat or an answer
// does not wait for a call that carries much data.
type laneKey struct {
	addr    string
	entries bool
}

// lanes sends messages to the other controllers.
type lanes struct {
	r      *Replica
	ctx    context.Context
	cancel context.CancelFunc

	mu    sync.Mutex
	open  map[laneKey]*lane
	bytes uint64 // sent, for Status
}

// lane is a bounded queue and the goroutine that sends from it.
type lane struct {
	key      laneKey
	client   rpc.Consensus
	messages []consensus.Message
	greet    *batch // hello or welcome to be sent; a later one replaces it
	bytes    int
	ready    chan struct{}
}

func (l *lanes) init(r *Replica) {
	l.r = r
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.open = map[laneKey]*lane{}
}

func (l *lanes) close() { l.cancel() }

// send queues a message; it is dropped if the queue is full, like a message lost on the
// network.
func (l *lanes) send(m consensus.Message, addr string) {
	if addr == "" {
		return
	}
	carries := m.Kind == consensus.MsgAppend || m.Kind == consensus.MsgSnapshot
	l.enqueue(laneKey{addr, carries}, func(ln *lane) {
		size := messageSize(m)
		if len(ln.messages) >= maxLaneMessages || (ln.bytes > 0 && ln.bytes+size > maxLaneBytes) {
			return
		}
		ln.messages = append(ln.messages, m)
		ln.bytes += size
	})
}

func (l *lanes) greet(addr string, b *batch) {
	l.enqueue(laneKey{addr, false}, func(ln *lane) { ln.greet = b })
}

func (l *lanes) enqueue(key laneKey, add func(*lane)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		return
	}
	ln := l.open[key]
	if ln == nil {
		ln = &lane{
			key:    key,
			client: rpc.NewConsensusProtobufClient("http://"+key.addr, l.r.opts.Client),
			ready:  make(chan struct{}, 1),
		}
		l.open[key] = ln
		l.r.group.Add(1)
		go l.run(ln)
	}
	add(ln)
	select {
	case ln.ready <- struct{}{}:
	default:
	}
}

func messageSize(m consensus.Message) int {
	size := 128
	for _, e := range m.Entries {
		size += len(e.Data) + 32
	}
	if m.Chunk != nil {
		size += int(m.Chunk.Length)
	}
	return size
}

func (l *lanes) run(ln *lane) {
	defer l.r.group.Done()
	idle := time.NewTimer(idleLane)
	defer idle.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-idle.C:
			if l.retire(ln) {
				return
			}
		case <-ln.ready:
		}
		for l.sendBatch(ln) {
		}
		idle.Reset(idleLane)
	}
}

// retire removes a lane with nothing to send.
func (l *lanes) retire(ln *lane) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(ln.messages) > 0 || ln.greet != nil {
		return false
	}
	delete(l.open, ln.key)
	return true
}

// take removes messages of at most one batch from the queue.
func (l *lanes) take(ln *lane) (messages []consensus.Message, greet *batch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	size := 0
	n := 0
	for n < len(ln.messages) {
		next := messageSize(ln.messages[n])
		if n > 0 && size+next > maxBatchBytes {
			break
		}
		size += next
		n++
	}
	messages = ln.messages[:n:n]
	ln.messages = ln.messages[n:]
	ln.bytes -= size
	if len(ln.messages) == 0 {
		ln.messages = nil
	}
	greet, ln.greet = ln.greet, nil
	return messages, greet
}

// sendBatch makes one call and reports whether there was something to send.
func (l *lanes) sendBatch(ln *lane) bool {
	messages, greet := l.take(ln)
	if len(messages) == 0 && greet == nil {
		return false
	}
	b := batch{Addr: l.r.opts.Addr, Messages: l.fill(messages)}
	identity := l.r.identity()
	b.Group, b.From = identity.Group, identity.ID
	if greet != nil {
		b.Hello, b.Welcome = greet.Hello, greet.Welcome
	}
	data, err := model.Encode(b)
	if err != nil {
		l.r.opts.Logger.Error().Err(err).Msg("a message cannot be encoded")
		return true
	}
	timeout := controlTimeout
	if ln.key.entries {
		timeout = entriesTimeout
	}
	ctx, cancel := context.WithTimeout(withoutUserAgent(l.ctx), timeout)
	defer cancel()
	// A failed call is a lost message; consensus sends again what still matters.
	if _, err := ln.client.Step(ctx, &rpc.StepRequest{Messages: data}); err != nil && l.ctx.Err() == nil {
		l.r.opts.Logger.Debug().Err(err).Str("peer", ln.key.addr).Msg("call failed")
	}
	l.mu.Lock()
	l.bytes += uint64(len(data))
	l.mu.Unlock()
	return true
}

// withoutUserAgent leaves the header out of twirp calls: heartbeats are most of what an idle
// controller sends, and 32 bytes of each would name the same client.
func withoutUserAgent(ctx context.Context) context.Context {
	lean, err := twirp.WithHTTPRequestHeaders(ctx, http.Header{"User-Agent": {""}})
	if err != nil {
		return ctx // twirp reserves the header
	}
	return lean
}

// fill reads the snapshot data that the messages announce.
func (l *lanes) fill(messages []consensus.Message) []consensus.Message {
	filled := make([]consensus.Message, 0, len(messages))
	for _, m := range messages {
		if m.Kind == consensus.MsgSnapshot {
			data, err := l.r.store.ReadChunk(m.Chunk.Snapshot, m.Chunk.Offset, m.Chunk.Length)
			if err != nil {
				continue // a newer snapshot has replaced it; the leader begins again
			}
			c := *m.Chunk
			c.Data = data
			m.Chunk = &c
		}
		filled = append(filled, m)
	}
	return filled
}

func (l *lanes) sent() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

// Handler serves the Consensus service.
func (r *Replica) Handler() http.Handler {
	server := rpc.NewConsensusServer(r)
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		req.Body = http.MaxBytesReader(w, req.Body, maxRequestBytes)
		w.Header()["Date"] = nil // 37 bytes that no controller reads
		server.ServeHTTP(w, req)
	})
}

// Step takes a batch of messages from another controller.
func (r *Replica) Step(_ context.Context, req *rpc.StepRequest) (*rpc.StepResponse, error) {
	size := int64(len(req.Messages))
	if r.inbox.Add(size) > maxInboxBytes && size < r.inbox.Load() {
		r.inbox.Add(-size)
		return nil, twirp.NewError(twirp.ResourceExhausted, "too many messages are waiting")
	}
	var b batch
	if err := model.Decode(req.Messages, &b); err != nil {
		r.inbox.Add(-size)
		return nil, twirp.InvalidArgumentError("messages", err.Error())
	}
	ok := r.post(func() {
		r.inbox.Add(-size)
		r.receive(b)
	})
	if !ok {
		return nil, twirp.NewError(twirp.Unavailable, "the replica is closed")
	}
	return &rpc.StepResponse{}, nil
}

// receive runs in the loop.
func (r *Replica) receive(b batch) {
	if b.Hello != nil {
		r.forming.handleHello(*b.Hello)
	}
	if b.Welcome != nil {
		r.forming.handleWelcome(*b.Welcome)
	}
	// Messages of another group must never count here.
	if r.node == nil || b.Group != r.store.Identity().Group {
		return
	}
	r.forming.learn(b.From, b.Addr)
	for _, m := range b.Messages {
		if m.From == b.From {
			r.node.Step(m)
		}
	}
}
