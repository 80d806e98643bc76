package target

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/daemon/once"
)

// startRawTarget starts a TCP server on which handle writes each response to the connection. handle
// gets the number of the request, from 1, and returns false to close the connection.
func startRawTarget(t *testing.T, handle func(c net.Conn, r *http.Request, n int) bool) (address string, seen *atomic.Int32) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	seen = &atomic.Int32{}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serveRaw(c, handle, seen)
		}
	}()
	return listener.Addr().String(), seen
}

func serveRaw(c net.Conn, handle func(net.Conn, *http.Request, int) bool, seen *atomic.Int32) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		n := int(seen.Add(1))
		_, _ = io.Copy(io.Discard, r.Body)
		if !handle(c, r, n) {
			return
		}
	}
}

func respondOK(c net.Conn, r *http.Request, body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		HeaderRequestID, r.Header.Get(HeaderRequestID), len(body), body)
}

// closeAfterFirst responds to the first request and closes the kept-alive connection after it
// has read the second one.
func closeAfterFirst(c net.Conn, r *http.Request, n int) bool {
	if n == 1 {
		respondOK(c, r, "one")
		return true
	}
	return false
}

func do(t *testing.T, client *Client, address, method, id string, body []byte) (Response, model.Verdict, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	return client.DoQuick(ctx, address, 1, Call{
		ID:             model.RequestID(id),
		Method:         method,
		Path:           "/x",
		Header:         http.Header{"Idempotency-Key": {"k"}, "X-Idempotency-Key": {"k"}},
		Body:           body,
		IdempotencyKey: "k",
		Deadline:       time.Now().Add(time.Minute),
	})
}

// Guards against a second run of a request with an idempotency key: http.Transport resends it on
// its own when a kept-alive connection closes after the request was read.
func TestRequestsAreSentOnceOnKeptAliveConnections(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodOptions} {
		for _, body := range []string{"", "body"} {
			address, seen := startRawTarget(t, closeAfterFirst)
			client := NewClient(4)
			if _, verdict, err := do(t, client, address, method, "a", []byte(body)); verdict != model.VerdictRan {
				t.Fatalf("%s: first request: %v, %v", method, verdict, err)
			}
			_, verdict, err := do(t, client, address, method, "b", []byte(body))
			if err == nil || verdict != model.VerdictUnknown {
				t.Errorf("%s body %q: verdict %v, %v; want unknown and an error", method, body, verdict, err)
			}
			if got := seen.Load(); got != 2 {
				t.Errorf("%s body %q: the target saw %d requests, want 2", method, body, got)
			}
		}
	}
}

// Shows why the idempotency key has its own header name and why GET requests have a body that
// cannot be rewound: a plain http.Client resends such requests.
func TestLibraryResendsOnItsOwn(t *testing.T) {
	for _, test := range []struct{ method, header string }{
		{http.MethodPost, "Idempotency-Key"},
		{http.MethodPost, "X-Idempotency-Key"},
		{http.MethodGet, "Accept"},
	} {
		address, seen := startRawTarget(t, closeAfterFirst)
		client := &http.Client{Transport: &http.Transport{}}
		for range 2 {
			var body io.Reader
			if test.method == http.MethodPost {
				body = bytes.NewReader([]byte("body"))
			}
			request, err := http.NewRequest(test.method, "http://"+address+"/x", body)
			if err != nil {
				t.Fatal(err)
			}
			request.Header.Set(test.header, "k")
			if response, err := client.Do(request); err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				response.Body.Close()
			}
		}
		if got := seen.Load(); got < 3 {
			t.Errorf("%s with %s: the target saw %d requests, want at least 3: net/http resends the second", test.method, test.header, got)
		}
	}
}

// Guards against returning a response that is truncated, belongs to another request or carries no
// request id.
func TestDamagedAnswersAreNotPresented(t *testing.T) {
	tests := map[string]func(c net.Conn, r *http.Request, n int) bool{
		"shorter than its length": func(c net.Conn, r *http.Request, _ int) bool {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 10\r\n\r\nhalf", HeaderRequestID, r.Header.Get(HeaderRequestID))
			return false
		},
		"chunks without an end": func(c net.Conn, r *http.Request, _ int) bool {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", HeaderRequestID, r.Header.Get(HeaderRequestID))
			return false
		},
		"ended by the connection": func(c net.Conn, r *http.Request, _ int) bool {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nConnection: close\r\n\r\nhalf", HeaderRequestID, r.Header.Get(HeaderRequestID))
			return false
		},
		"of another request": func(c net.Conn, _ *http.Request, _ int) bool {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: other\r\nContent-Length: 4\r\n\r\nbody", HeaderRequestID)
			return true
		},
		"refusal of another request": func(c net.Conn, _ *http.Request, _ int) bool {
			fmt.Fprintf(c, "HTTP/1.1 503 X\r\n%s: other\r\n%s: true\r\nContent-Length: 0\r\n\r\n", HeaderRequestID, HeaderRefused)
			return true
		},
		"without an id": func(c net.Conn, _ *http.Request, _ int) bool {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			return true
		},
	}
	for name, handle := range tests {
		address, _ := startRawTarget(t, handle)
		response, verdict, err := do(t, NewClient(4), address, http.MethodPost, "a", []byte("x"))
		if err == nil || verdict != model.VerdictUnknown || response.Body != nil {
			t.Errorf("response %s: verdict %v, body %q, error %v; want unknown", name, verdict, response.Body, err)
		}
	}
}

// Guards against reuse of a connection on which a response belonged to another request or was sent
// twice: the remaining data would be taken for the response to the next request.
func TestConnectionOfCrossedAnswerServesNoOtherRequest(t *testing.T) {
	var connections atomic.Int32
	var last atomic.Value
	address, _ := startRawTarget(t, func(c net.Conn, r *http.Request, n int) bool {
		if last.Swap(c.RemoteAddr().String()) != c.RemoteAddr().String() {
			connections.Add(1)
		}
		if n == 1 {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: other\r\nContent-Length: 0\r\n\r\n", HeaderRequestID)
			return true
		}
		respondOK(c, r, "mine")
		if n == 2 {
			respondOK(c, r, "mine again")
		}
		return true
	})
	client := NewClient(4)
	if _, verdict, _ := do(t, client, address, http.MethodPost, "a", nil); verdict != model.VerdictUnknown {
		t.Errorf("response to another request: verdict %v", verdict)
	}
	if response, _, err := do(t, client, address, http.MethodPost, "b", nil); err != nil || string(response.Body) != "mine" {
		t.Errorf("after a response to another request: %q, %v", response.Body, err)
	}
	if got := connections.Load(); got != 2 {
		t.Errorf("%d connections, want 2: that of the wrong response must not be used again", got)
	}
	for i := range 20 {
		id := fmt.Sprint("c", i)
		response, verdict, err := do(t, client, address, http.MethodPost, id, nil)
		if verdict == model.VerdictRan && (err != nil || string(response.Body) != "mine") {
			t.Errorf("after a duplicate response: %q, %v", response.Body, err)
		}
	}
}

// Guards against a wrong verdict "not run": only a failed connect, a refusal and a request of
// which no byte was written count as not run.
func TestVerdictsOfFailures(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	_, verdict, err := do(t, NewClient(1), closed.Addr().String(), http.MethodPost, "a", []byte("x"))
	if verdict != model.VerdictNotRun || err == nil {
		t.Errorf("connect failure: %v, %v", verdict, err)
	}
	refusing, _ := startRawTarget(t, func(c net.Conn, r *http.Request, _ int) bool {
		fmt.Fprintf(c, "HTTP/1.1 503 X\r\n%s: %s\r\n%s: true\r\nContent-Length: 0\r\n\r\n", HeaderRequestID, r.Header.Get(HeaderRequestID), HeaderRefused)
		return true
	})
	_, verdict, err = do(t, NewClient(1), refusing, http.MethodPost, "a", []byte("x"))
	if verdict != model.VerdictNotRun || !errors.Is(err, ErrRefused) {
		t.Errorf("refusal: %v, %v", verdict, err)
	}
	failing, _ := startRawTarget(t, func(c net.Conn, r *http.Request, _ int) bool {
		fmt.Fprintf(c, "HTTP/1.1 503 X\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", HeaderRequestID, r.Header.Get(HeaderRequestID))
		return true
	})
	if _, verdict, err = do(t, NewClient(1), failing, http.MethodPost, "a", []byte("x")); verdict != model.VerdictRan || err != nil {
		t.Errorf("503 that is no refusal: %v, %v", verdict, err)
	}
	_, verdict, _ = do(t, NewClient(1), startHalfReadingTarget(t), http.MethodPost, "a", make([]byte, 64<<20))
	if verdict != model.VerdictUnknown {
		t.Errorf("half-written body: %v", verdict)
	}
}

// startHalfReadingTarget starts a TCP server that reads up to 1000 bytes from each connection and
// resets it.
func startHalfReadingTarget(t *testing.T) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 1000))
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}()
	return listener.Addr().String()
}

// Guards against a request that is sent although the lease expired while the connection was being
// established.
func TestNothingIsSentWithoutTheLease(t *testing.T) {
	address, seen := startRawTarget(t, closeAfterFirst)
	client := NewClient(1)
	_, verdict, err := client.DoQuick(context.Background(), address, 1, Call{
		ID: "a", Method: http.MethodPost, Path: "/", Body: []byte("x"), Deadline: time.Now().Add(time.Minute),
		MaySend: func() bool { return false },
	})
	if verdict != model.VerdictNotRun || !errors.Is(err, once.ErrCheckFailed) || seen.Load() != 0 {
		t.Errorf("verdict %v, error %v, %d requests seen; want not run and none", verdict, err, seen.Load())
	}
}
