package once

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against reporting a request as possibly sent when its idle connection was closed before
// the first byte, and against sending it twice: it must be sent once, on another connection.
func TestClosedIdleConnectionIsReplaced(t *testing.T) {
	var seen atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen.Add(1)
		_, _ = io.Copy(w, r.Body)
	}))
	defer server.Close()
	transport := NewTransport(&net.Dialer{Timeout: time.Second}, time.Minute, 4)
	var last atomic.Pointer[conn]
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err == nil {
			last.Store(c.(*conn))
		}
		return c, err
	}
	client := &http.Client{Transport: transport}
	const requests = 20
	for i := range requests {
		request, err := NewRequest(context.Background(), http.MethodPost, server.URL, []byte("body"), nil)
		if err != nil {
			t.Fatal(err)
		}
		response, sent, err := request.Do(client)
		if err != nil {
			t.Fatalf("request %d: sent %v, %v", i, sent, err)
		}
		if data, err := ReadAll(response, 100); err != nil || string(data) != "body" {
			t.Fatalf("request %d: %q, %v", i, data, err)
		}
		response.Body.Close()
		request.CloseConnection() // closes the connection, which is idle again by now
	}
	if got := seen.Load(); got != requests {
		t.Errorf("the server saw %d requests, want %d", got, requests)
	}
}

// Guards against writing a request after the caller was told that it was not sent.
func TestAbandonedRequestIsNotWritten(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	c := &conn{Conn: near}
	c.startRequest(nil)
	if started, refused := c.abandon(); started || refused {
		t.Fatalf("before any byte: started %v, refused %v", started, refused)
	}
	near.Close() // an unexpected write then fails instead of blocking
	if n, err := c.Write([]byte("x")); n != 0 || !errors.Is(err, errAbandoned) {
		t.Errorf("write of %d bytes after the request was abandoned: %v", n, err)
	}
}

// Guards against reporting a request as sent when its first write failed without writing a byte,
// and against reporting it as not sent when that write failed after some bytes.
func TestFailedFirstWrite(t *testing.T) {
	near, far := net.Pipe()
	near.Close()
	c := &conn{Conn: near}
	c.startRequest(nil)
	_, _ = c.Write([]byte("x"))
	if started, _ := c.abandon(); started {
		t.Error("a request was reported as sent although no byte was written")
	}
	far.Close()
	near, far = net.Pipe()
	go func() {
		_, _ = far.Read(make([]byte, 1))
		far.Close()
	}()
	c = &conn{Conn: near}
	c.startRequest(nil)
	_, _ = c.Write([]byte("xy"))
	if started, _ := c.abandon(); !started {
		t.Error("a request was reported as not sent although one byte was written")
	}
}
