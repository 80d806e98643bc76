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

// Guards against "unknown" for a request whose idle connection was closed before its first
// byte, and against a second run: the request is sent once, on another connection.
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
		request.Discard() // closes the connection, which is idle again by now
	}
	if got := seen.Load(); got != requests {
		t.Errorf("the server saw %d requests, want %d", got, requests)
	}
}

// Guards against a request that is written after its caller was told that it was not sent.
func TestSealedRequestIsNotWritten(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	c := &conn{Conn: near}
	c.arm(nil)
	if started, refused := c.seal(); started || refused {
		t.Fatalf("before any byte: started %v, refused %v", started, refused)
	}
	near.Close() // so that a write that is let through fails instead of blocking
	if n, err := c.Write([]byte("x")); n != 0 || !errors.Is(err, errSealed) {
		t.Errorf("write of %d bytes after the request was given up: %v", n, err)
	}
}

// Guards against a failed first write that counts as sent although it wrote no byte, and
// against the opposite for a write that failed part way.
func TestFailedFirstWrite(t *testing.T) {
	near, far := net.Pipe()
	near.Close()
	c := &conn{Conn: near}
	c.arm(nil)
	_, _ = c.Write([]byte("x"))
	if started, _ := c.seal(); started {
		t.Error("a write without a byte counts as sent")
	}
	far.Close()
	near, far = net.Pipe()
	go func() {
		_, _ = far.Read(make([]byte, 1))
		far.Close()
	}()
	c = &conn{Conn: near}
	c.arm(nil)
	_, _ = c.Write([]byte("xy"))
	if started, _ := c.seal(); !started {
		t.Error("a write of one byte counts as not sent")
	}
}
