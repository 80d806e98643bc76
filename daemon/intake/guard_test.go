package intake

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"samphirepaddle.example/core/intake"
)

// Guards against callers' connections that take the descriptors of the state files.
func TestListenerClosesConnectionsAboveTheBudget(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inner.Close()
	listener := New(Options{Listener: intake.ListenerBudget{Connections: 1}}).Listener(inner)
	accepted := make(chan net.Conn, 2)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		return conn
	}
	dial()
	first := <-accepted
	first.(*conn).note(intake.Serving) // a connection that nobody uses would give way
	if _, err := dial().Read(make([]byte, 1)); err == nil {
		t.Error("a connection above the budget is open")
	}
	first.Close()
	dial()
	<-accepted
}

// newServer returns a guarded server that answers 200 to complete bodies and 400 to others.
func newServer(t *testing.T, bodyBytes int64) (*Guard, string) {
	t.Helper()
	guard := New(Options{BodyBytes: bodyBytes, Listener: intake.ListenerBudget{Connections: 64}, Logger: zerolog.Nop()})
	server := httptest.NewUnstartedServer(guard.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := ReadBody(w, r, 1<<20); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			fmt.Fprint(w, err)
		}
	})))
	server.Listener = guard.Listener(server.Listener)
	guard.Attach(server.Config)
	server.Start()
	t.Cleanup(server.Close)
	return guard, server.Listener.Addr().String()
}

// send sends a request whose body lacks the given number of bytes.
func send(t *testing.T, addr string, size, lacks int) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size-lacks))
	return conn
}

// untilHeld waits until the guard accounts so many bytes. The number of tries only ends a test that fails.
func untilHeld(t *testing.T, guard *Guard, bytes int64) {
	t.Helper()
	for range 10_000 {
		guard.mu.Lock()
		held := guard.bodies.Held()
		guard.mu.Unlock()
		if held == bytes {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("%d bytes are not held", bytes)
}

func readAnswer(t *testing.T, conn net.Conn) *http.Response {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(time.Minute)) // ends a test that fails
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response
}

// Guards against a stalled body that holds the memory which a client that goes on needs, and against a refusal
// that does not say when to come back.
func TestStalledBodyIsRefusedForAnother(t *testing.T) {
	guard, addr := newServer(t, 1<<20)
	stalled := send(t, addr, 200<<10, 1)
	untilHeld(t, guard, (200<<10-1)*bodyCopies) // else both bodies may wait for each other, and the later one is refused
	if response := readAnswer(t, send(t, addr, 200<<10, 0)); response.StatusCode != http.StatusOK {
		t.Errorf("the complete body got status %d", response.StatusCode)
	}
	response := readAnswer(t, stalled)
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" || !response.Close {
		t.Errorf("the stalled body got status %d, header %v", response.StatusCode, response.Header)
	}
	stalled.Close()
	for range 100 {
		conn := send(t, addr, 1<<20, 0)
		if response := readAnswer(t, conn); response.StatusCode != http.StatusOK {
			t.Fatalf("a single body got status %d", response.StatusCode)
		}
		conn.Close()
	}
	if held := guard.bodies.Held(); held > 3<<20 {
		t.Errorf("%d bytes are held without an open request", held)
	}
}

// Guards against frames that are not accounted, and against a stream that ends because the calls of a complete frame
// take long.
func TestFramesAreAccounted(t *testing.T) {
	const size = 20 << 10
	guard := New(Options{BodyBytes: 4 * size * bodyCopies, Logger: zerolog.Nop()})
	client, server := net.Pipe()
	defer client.Close()
	defer server.Close()
	frame := func(r io.Reader) (io.Reader, func()) { return guard.Frame(server, r) }
	complete, releaseComplete := frame(strings.NewReader(strings.Repeat("x", size)))
	if _, err := io.ReadAll(complete); err != nil {
		t.Fatal(err)
	}
	pipe, writer := io.Pipe()
	go func() { _, _ = io.WriteString(writer, strings.Repeat("x", size)) }()
	stalled, releaseStalled := frame(pipe)
	if _, err := io.ReadFull(stalled, make([]byte, size)); err != nil {
		t.Fatal(err)
	}
	next, releaseNext := frame(strings.NewReader(strings.Repeat("x", 2*size)))
	if _, err := io.ReadAll(next); err != nil {
		t.Fatalf("the stalled frame does not give way: %v", err)
	}
	go func() { _, _ = io.WriteString(writer, "x") }()
	if _, err := stalled.Read(make([]byte, 1)); !errors.Is(err, ErrNoMemory) {
		t.Errorf("the stalled frame reads on: %v", err)
	}
	if held := guard.bodies.Held(); held != 3*size*bodyCopies {
		t.Errorf("%d bytes are held", held)
	}
	for _, release := range []func(){releaseComplete, releaseStalled, releaseNext} {
		release()
	}
	if held := guard.bodies.Held(); held != 0 {
		t.Errorf("%d bytes are held after all frames", held)
	}
}

// Guards against connections that handlers have taken over, on which nothing arrives and which keep others out, and
// against the loss of one on which messages arrive.
func TestTakenOverConnectionsGiveWay(t *testing.T) {
	guard := New(Options{Listener: intake.ListenerBudget{Connections: 2}, Logger: zerolog.Nop()})
	taken := make(chan net.Conn, 2)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/stream" {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
			}
			taken <- conn
		}
	}))
	server.Listener = guard.Listener(server.Listener)
	guard.Attach(server.Config)
	server.Start()
	t.Cleanup(server.Close)
	open := func(path string) net.Conn {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path)
		return conn
	}
	open("/stream")
	used := <-taken
	silent := open("/stream")
	<-taken
	time.Sleep(700 * time.Millisecond) // after which a client counts as one that has stopped sending
	guard.Received(used)
	if response := readAnswer(t, open("/")); response.StatusCode != http.StatusOK {
		t.Errorf("status %d", response.StatusCode)
	}
	if _, err := silent.Read(make([]byte, 1)); err == nil {
		t.Error("the silent connection is open")
	}
	if _, err := used.Write([]byte("x")); err != nil {
		t.Errorf("the connection on which messages arrive was closed: %v", err)
	}
}

// Guards against a long stream of output that takes the memory of everyone's bodies, although the process holds
// a block of it at a time.
func TestStreamedAnswerHoldsOneBlock(t *testing.T) {
	const block = 32 << 10
	guard := New(Options{BodyBytes: 1 << 20, Logger: zerolog.Nop()})
	guard.Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for range 100 {
			if _, err := w.Write(make([]byte, block)); err != nil {
				t.Fatal(err)
			}
			if held := guard.bodies.Held(); held > block {
				t.Fatalf("%d bytes are held", held)
			}
		}
	})).ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
}

// partRecorder counts the deadlines that are set while an answer is written.
type partRecorder struct {
	*httptest.ResponseRecorder
	deadlines int
}

func (p *partRecorder) SetWriteDeadline(time.Time) error { p.deadlines++; return nil }

// Guards against a large answer that is cut off because its client, which goes on reading, needs longer than for a
// small one.
func TestEachPartOfALargeAnswerHasItsOwnTimeout(t *testing.T) {
	guard := New(Options{BodyBytes: 1 << 20, WriteTimeout: time.Second})
	recorder := &partRecorder{ResponseRecorder: httptest.NewRecorder()}
	sent := strings.Repeat("x", 4<<20)
	guard.Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if n, err := io.WriteString(w, sent); n != len(sent) || err != nil {
			t.Errorf("%d bytes written, error %v", n, err)
		}
	})).ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/", nil))
	if recorder.Body.String() != sent {
		t.Errorf("%d bytes arrived", recorder.Body.Len())
	}
	if parts := len(sent) / answerPart; recorder.deadlines < parts {
		t.Errorf("%d deadlines for %d parts", recorder.deadlines, parts)
	}
}

// Guards against a body that is read although its declared length is above the limit, and against a buffer
// that is much larger than the body.
func TestReadBody(t *testing.T) {
	read := func(declared int64, size int) ([]byte, error) {
		r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("x", size)))
		r.ContentLength = declared
		return ReadBody(httptest.NewRecorder(), r, 100_000)
	}
	for _, size := range []int{0, 1, 4095, 4096, 4097, 100_000} {
		for _, declared := range []int64{int64(size), -1} {
			body, err := read(declared, size)
			if err != nil || len(body) != size || cap(body) > max(4096, 2*size+2) {
				t.Errorf("size %d, declared %d: %d bytes in a buffer of %d, error %v", size, declared, len(body), cap(body), err)
			}
		}
	}
	for _, declared := range []int64{100_001, -1} {
		if _, err := read(declared, 100_001); err == nil {
			t.Errorf("declared %d: a body above the limit was read", declared)
		}
	}
}
