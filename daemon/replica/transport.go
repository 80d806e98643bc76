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

// batch is the payload of one Step call.
type batch struct {
	Group    string              `cbor:"1,keyasint,omitempty"`
	From     consensus.MemberID  `cbor:"2,keyasint"`
	Addr     string              `cbor:"3,keyasint"` // of the sender
	Messages []consensus.Message `cbor:"4,keyasint,omitempty"`
	Request  *discoveryRequest   `cbor:"5,keyasint,omitempty"`
	Response *discoveryResponse  `cbor:"6,keyasint,omitempty"`
}

const (
	controlTimeout   = 500 * time.Millisecond // for a call with heartbeats, votes and responses
	entriesTimeout   = 3 * time.Second        // for a call with entries or snapshot data
	queueIdleTimeout = time.Minute            // after which an unused queue is removed

	// overtakeDelay is the time after which later messages no longer wait for a call. A connection may go
	// silent or lose packets while another one works, and a group that commits nothing until the call
	// times out can neither replace a member nor elect a leader that may act.
	overtakeDelay = 200 * time.Millisecond
	maxCalls      = 4 // in progress in one send queue
)

// queueKey identifies a send queue. Messages with entries or snapshot data have a queue of their
// own, so that heartbeats and responses do not wait for a call that carries much data.
type queueKey struct {
	addr    string
	entries bool
}

// transport sends messages to the other controllers.
type transport struct {
	r      *Replica
	ctx    context.Context
	cancel context.CancelFunc

	mu        sync.Mutex
	queues    map[queueKey]*sendQueue
	totalSent uint64 // bytes of the batches sent, for Status
}

// sendQueue is a bounded queue of messages to one controller, with a goroutine that sends them.
type sendQueue struct {
	key       queueKey
	client    rpc.Consensus
	messages  []consensus.Message
	discovery *batch // batch with a discovery request or response; a later one replaces it
	bytes     int
	ready     chan struct{}
	calls     chan struct{} // holds an element for each call in progress
}

func (t *transport) init(r *Replica) {
	t.r = r
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.queues = map[queueKey]*sendQueue{}
}

func (t *transport) close() { t.cancel() }

// send queues a message. If the queue is full the message is dropped, as if lost on the network.
func (t *transport) send(m consensus.Message, addr string) {
	if addr == "" {
		return
	}
	hasData := m.Kind == consensus.MsgAppend || m.Kind == consensus.MsgSnapshot
	t.enqueue(queueKey{addr, hasData}, func(q *sendQueue) {
		size := messageSize(m)
		if len(q.messages) >= maxQueuedMessages || (q.bytes > 0 && q.bytes+size > maxQueuedBytes) {
			return
		}
		q.messages = append(q.messages, m)
		q.bytes += size
	})
}

// sendDiscovery queues a batch with a discovery request or response.
func (t *transport) sendDiscovery(addr string, b *batch) {
	t.enqueue(queueKey{addr, false}, func(q *sendQueue) { q.discovery = b })
}

func (t *transport) enqueue(key queueKey, add func(*sendQueue)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() != nil {
		return
	}
	q := t.queues[key]
	if q == nil {
		q = &sendQueue{
			key:    key,
			client: rpc.NewConsensusProtobufClient("http://"+key.addr, t.r.opts.Client),
			ready:  make(chan struct{}, 1),
			calls:  make(chan struct{}, maxCalls),
		}
		t.queues[key] = q
		t.r.goroutines.Add(1)
		go t.run(q)
	}
	add(q)
	select {
	case q.ready <- struct{}{}:
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

func (t *transport) run(q *sendQueue) {
	defer t.r.goroutines.Done()
	idle := time.NewTimer(queueIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-idle.C:
			if t.removeIfEmpty(q) {
				return
			}
		case <-q.ready:
		}
		for t.sendBatch(q) {
		}
		idle.Reset(queueIdleTimeout)
	}
}

// removeIfEmpty removes a queue without messages and reports whether it did.
func (t *transport) removeIfEmpty(q *sendQueue) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(q.messages) > 0 || q.discovery != nil {
		return false
	}
	delete(t.queues, q.key)
	return true
}

// takeBatch removes the messages of one batch from the queue.
func (t *transport) takeBatch(q *sendQueue) (messages []consensus.Message, discovery *batch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	size := 0
	n := 0
	for n < len(q.messages) {
		next := messageSize(q.messages[n])
		if n > 0 && size+next > maxBatchBytes {
			break
		}
		size += next
		n++
	}
	messages = q.messages[:n:n]
	q.messages = q.messages[n:]
	q.bytes -= size
	if len(q.messages) == 0 {
		q.messages = nil
	}
	discovery, q.discovery = q.discovery, nil
	return messages, discovery
}

// sendBatch makes one call and waits until it ends, or until the next one may overtake it. It reports
// whether there was something to send.
func (t *transport) sendBatch(q *sendQueue) bool {
	select {
	case q.calls <- struct{}{}:
	case <-t.ctx.Done():
		return false
	}
	data, found := t.encodeBatch(q)
	if data == nil {
		<-q.calls
		return found
	}
	ended := make(chan struct{})
	t.r.goroutines.Add(1)
	go func() {
		defer t.r.goroutines.Done()
		defer close(ended)
		t.call(q, data)
		<-q.calls
	}()
	overtake := time.NewTimer(overtakeDelay)
	defer overtake.Stop()
	select {
	case <-ended:
	case <-overtake.C:
	}
	return true
}

// encodeBatch takes a batch from the queue, and reports whether there was one. data is nil if it cannot be
// encoded.
func (t *transport) encodeBatch(q *sendQueue) (data []byte, found bool) {
	messages, discovery := t.takeBatch(q)
	if len(messages) == 0 && discovery == nil {
		return nil, false
	}
	b := batch{Addr: t.r.opts.Addr, Messages: t.loadChunks(messages)}
	identity := t.r.identity()
	b.Group, b.From = identity.Group, identity.ID
	if discovery != nil {
		b.Request, b.Response = discovery.Request, discovery.Response
	}
	data, err := model.Encode(b)
	if err != nil {
		t.r.opts.Logger.Error().Err(err).Msg("cannot encode batch of messages")
		return nil, true
	}
	return data, true
}

// call sends a batch. Messages of a failed call are lost; consensus sends again what is still needed.
func (t *transport) call(q *sendQueue, data []byte) {
	timeout := controlTimeout
	if q.key.entries {
		timeout = entriesTimeout
	}
	ctx, cancel := context.WithTimeout(withoutUserAgent(t.ctx), timeout)
	defer cancel()
	if _, err := q.client.Step(ctx, &rpc.StepRequest{Messages: data}); err != nil && t.ctx.Err() == nil {
		t.r.opts.Logger.Debug().Err(err).Str("peer", q.key.addr).Msg("call to another controller failed")
	}
	t.mu.Lock()
	t.totalSent += uint64(len(data))
	t.mu.Unlock()
}

// withoutUserAgent leaves the User-Agent header out of twirp calls. Most calls of an idle
// controller are heartbeats, and the header would add the same 32 bytes to each.
func withoutUserAgent(ctx context.Context) context.Context {
	stripped, err := twirp.WithHTTPRequestHeaders(ctx, http.Header{"User-Agent": {""}})
	if err != nil {
		return ctx // only for headers that twirp reserves
	}
	return stripped
}

// loadChunks reads the snapshot data that the messages refer to.
func (t *transport) loadChunks(messages []consensus.Message) []consensus.Message {
	filled := make([]consensus.Message, 0, len(messages))
	for _, m := range messages {
		if m.Kind == consensus.MsgSnapshot {
			data, err := t.r.store.ReadChunk(m.Chunk.Snapshot, m.Chunk.Offset, m.Chunk.Length)
			if err != nil {
				continue // a newer snapshot has replaced it; the leader starts over with that one
			}
			chunk := *m.Chunk
			chunk.Data = data
			m.Chunk = &chunk
		}
		filled = append(filled, m)
	}
	return filled
}

// sentBytes returns the bytes of the batches sent since the start.
func (t *transport) sentBytes() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.totalSent
}

// Handler serves the Consensus service.
func (r *Replica) Handler() http.Handler {
	server := rpc.NewConsensusServer(r)
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		req.Body = http.MaxBytesReader(w, req.Body, maxRequestBytes)
		w.Header()["Date"] = nil // omits 37 bytes that no controller reads
		server.ServeHTTP(w, req)
	})
}

// Step receives a batch of messages from another controller.
func (r *Replica) Step(_ context.Context, req *rpc.StepRequest) (*rpc.StepResponse, error) {
	size := int64(len(req.Messages))
	if r.inboxBytes.Add(size) > maxInboxBytes && size < r.inboxBytes.Load() {
		r.inboxBytes.Add(-size)
		return nil, twirp.NewError(twirp.ResourceExhausted, "too many messages are waiting")
	}
	var b batch
	if err := model.Decode(req.Messages, &b); err != nil {
		r.inboxBytes.Add(-size)
		return nil, twirp.InvalidArgumentError("messages", err.Error())
	}
	ok := r.post(func() {
		r.inboxBytes.Add(-size)
		r.receive(b)
	})
	if !ok {
		return nil, twirp.NewError(twirp.Unavailable, "the replica is closed")
	}
	return &rpc.StepResponse{}, nil
}

// receive handles a batch. It runs in the event loop.
func (r *Replica) receive(b batch) {
	if b.Request != nil {
		r.discovery.handleRequest(*b.Request)
	}
	if b.Response != nil {
		r.discovery.handleResponse(*b.Response)
	}
	// Messages of another group must never be processed.
	if r.node == nil || b.Group != r.store.Identity().Group {
		return
	}
	r.discovery.recordSender(b.From, b.Addr)
	for _, m := range b.Messages {
		if m.From == b.From {
			r.node.Step(m)
		}
	}
}
