package intake

import (
	"errors"
	"io"
	"math"
	"net/http"
	"time"

	"samphirepaddle.example/core/intake"
)

const (
	// bodyCopies is the memory that a body takes, as a multiple of its size: the buffer that grows, its former
	// one until it is collected, and the decoded form.
	bodyCopies = 3
	// maxWait is how long a body waits for memory. Clients that have stopped sending give way within half of it.
	maxWait = time.Second
	// smallAnswer is the size up to which answers are not accounted; most have under a hundred bytes.
	smallAnswer = 16 << 10
)

// ErrNoMemory is the error of reading a body that was given up for want of memory.
var ErrNoMemory = errors.New("the body was given up: the process has no memory for it")

// bodyRead is a request body, or a frame, that is read within the budget.
type bodyRead struct {
	io.ReadCloser
	guard   *Guard
	conn    *conn // nil without a Listener
	id      intake.ID
	done    <-chan struct{} // closed when the client is gone
	givenUp bool            // guarded by guard.mu
}

// Read reads from the client and accounts what has arrived.
func (b *bodyRead) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !b.guard.grow(b, int64(n)*bodyCopies) {
		return 0, ErrNoMemory
	}
	if err == io.EOF {
		b.guard.complete(b)
	}
	return n, err
}

// grow reports whether the body may hold so many more bytes. It waits for memory if others may release some.
func (g *Guard) grow(b *bodyRead, bytes int64) bool {
	verdict, freed := g.tryGrow(b, bytes)
	if verdict != intake.Wait {
		return verdict == intake.Granted
	}
	deadline := time.NewTimer(maxWait)
	defer deadline.Stop()
	retry := time.NewTicker(stallCheckInterval)
	defer retry.Stop()
	for {
		select {
		case <-freed:
		case <-retry.C:
		case <-b.done:
			g.giveUp(b)
			return false
		case <-deadline.C:
			g.count("bodies", "no_memory")
			g.giveUp(b)
			return false
		}
		if verdict, freed = g.tryGrow(b, bytes); verdict != intake.Wait {
			return verdict == intake.Granted
		}
	}
}

// tryGrow asks once for memory. freed is closed when some is released.
func (g *Guard) tryGrow(b *bodyRead, bytes int64) (verdict intake.Verdict, freed <-chan struct{}) {
	if b.conn != nil {
		b.conn.received(bytes)
	}
	g.mu.Lock()
	verdict, victims := g.bodies.Grow(b.id, bytes, now())
	conns := g.giveUpVictims(victims)
	refusedNow := verdict == intake.Refused && !b.givenUp
	b.givenUp = b.givenUp || refusedNow
	freed = g.freed
	g.mu.Unlock()
	g.interrupt(conns)
	if refusedNow {
		g.count("bodies", "no_memory")
	}
	return verdict, freed
}

// stallCheckInterval is the time after which a waiting body looks for clients that have stopped sending.
const stallCheckInterval = 100 * time.Millisecond

// giveUpVictims marks the bodies as given up and returns the connections on which they are read; g.mu must be
// held.
func (g *Guard) giveUpVictims(victims []intake.ID) (conns []*conn) {
	for _, id := range victims {
		victim := g.reads[id]
		victim.givenUp = true
		if victim.conn != nil {
			conns = append(conns, victim.conn)
		}
	}
	return conns
}

// interrupt ends the pending reads of connections.
func (g *Guard) interrupt(conns []*conn) {
	for _, c := range conns {
		g.count("bodies", "stalled")
		_ = c.SetReadDeadline(time.Unix(1, 0)) // an error means that the connection is closed
	}
}

func (g *Guard) giveUp(b *bodyRead) {
	g.mu.Lock()
	defer g.mu.Unlock()
	b.givenUp = true
	g.bodies.GiveUp(b.id)
	g.release()
}

// complete notes that the body has arrived as a whole.
func (g *Guard) complete(b *bodyRead) {
	g.mu.Lock()
	g.bodies.Complete(b.id)
	g.mu.Unlock()
	if b.conn != nil {
		b.conn.note(intake.Serving)
	}
}

// release wakes the bodies that wait; g.mu must be held.
func (g *Guard) release() {
	close(g.freed)
	g.freed = make(chan struct{})
}

func (g *Guard) openBody(r io.ReadCloser, remote string, c *conn, done <-chan struct{}) *bodyRead {
	b := &bodyRead{ReadCloser: r, guard: g, conn: c, done: done}
	g.mu.Lock()
	defer g.mu.Unlock()
	b.id = g.bodies.Open(sourceOf(remote), now())
	g.reads[b.id] = b
	return b
}

// expect notes the declared length of a body; it is negative if the client has declared none.
func (g *Guard) expect(b *bodyRead, length int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.bodies.Expect(b.id, min(max(0, length), math.MaxInt64/bodyCopies)*bodyCopies)
}

func (g *Guard) closeBody(b *bodyRead) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.bodies.Close(b.id)
	delete(g.reads, b.id)
	g.release()
}

func (g *Guard) wasGivenUp(b *bodyRead) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return b.givenUp
}

// Handler returns a handler whose requests are read and answered within the budget.
func (g *Guard) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		answer := &answer{ResponseWriter: w, guard: g, request: r}
		answer.setDeadline()
		if r.Body == nil || r.Body == http.NoBody {
			if c != nil {
				c.note(intake.Serving)
			}
			next.ServeHTTP(answer, r)
			return
		}
		body := g.openBody(r.Body, r.RemoteAddr, c, r.Context().Done())
		g.expect(body, r.ContentLength)
		defer g.closeBody(body)
		r.Body, answer.body = body, body
		next.ServeHTTP(answer, r)
	})
}

// SetGauges updates the gauges of what is held.
func (g *Guard) SetGauges() {
	if g.options.Counters == nil {
		return
	}
	g.mu.Lock()
	held, conns := g.bodies.Held(), g.conns.Open()
	g.mu.Unlock()
	g.options.Counters.SetGauge("intake_bytes_held", int(held))
	g.options.Counters.SetGauge("intake_connections", conns)
	g.options.Counters.SetGauge("intake_connections_limit", g.options.Listener.Connections)
	g.options.Counters.SetGauge("intake_kernel_bytes_limit", int(g.options.Listener.Bytes()))
}

// ReadBody reads a body of at most limit bytes into one buffer. A body that is declared larger is not read.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	const firstBuffer = 4 << 10
	if r.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	reader := http.MaxBytesReader(w, r.Body, limit)
	buffer := make([]byte, 0, firstBuffer)
	for {
		n, err := reader.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case err == io.EOF:
			return buffer, nil
		case err != nil:
			return nil, err
		case len(buffer) == cap(buffer):
			buffer = enlarge(buffer, r.ContentLength)
		}
	}
}

// enlarge doubles a buffer, but not beyond the declared length of the body and the byte that shows its end.
func enlarge(buffer []byte, declared int64) []byte {
	size := 2 * int64(cap(buffer))
	if declared >= int64(len(buffer)) {
		size = min(size, declared+1)
	}
	larger := make([]byte, len(buffer), max(size, int64(len(buffer))+1))
	copy(larger, buffer)
	return larger
}
