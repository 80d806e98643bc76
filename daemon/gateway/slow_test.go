package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"samphirepaddle.example/core/model"
)

// pipeListener hands out the server's ends of pipes, on which deadlines follow the fake
// clock of a test.
type pipeListener struct{ conns chan net.Conn }

func (l pipeListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l pipeListener) Close() error   { return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// serveOnPipe serves the gateway's public paths on one connection and returns the caller's end.
func serveOnPipe(g *Gateway) (caller net.Conn, stop func()) {
	mux := http.NewServeMux()
	g.Register(mux)
	server := &http.Server{Handler: g.WithTimeouts(mux)}
	listener := pipeListener{make(chan net.Conn, 1)}
	caller, served := net.Pipe()
	listener.conns <- served
	go func() { _ = server.Serve(listener) }()
	return caller, func() {
		caller.Close()
		close(listener.conns)
		server.Close()
	}
}

// Guards against a caller that holds a connection by never finishing its body.
func TestSlowBodyIsBounded(t *testing.T) {
	w := newWorld(t, "g1", echo)
	synctest.Test(t, func(t *testing.T) {
		caller, stop := serveOnPipe(w.gateway)
		defer stop()
		began := time.Now()
		go fmt.Fprintf(caller, "POST /v1/call/pedidos/ HTTP/1.1\r\nHost: x\r\n%s: shop\r\nContent-Length: 10\r\n\r\nhalf", headerTenant)
		response, err := http.ReadResponse(bufio.NewReader(caller), nil)
		if err != nil {
			t.Fatal(err)
		}
		if response.StatusCode != http.StatusRequestTimeout || response.Header.Get(model.VerdictHeader) != "not-run" {
			t.Errorf("status %d, verdict %s", response.StatusCode, response.Header.Get(model.VerdictHeader))
		}
		if took := time.Since(began); took != bodyTimeout {
			t.Errorf("refused after %v, want %v", took, bodyTimeout)
		}
	})
}

// Guards against a caller that holds a connection by never taking its answer.
func TestSlowReaderIsBounded(t *testing.T) {
	w := newWorld(t, "g1", echo)
	synctest.Test(t, func(t *testing.T) {
		caller, stop := serveOnPipe(w.gateway)
		defer stop()
		if _, err := fmt.Fprint(caller, "GET /v1/histograms HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(writeTimeout + time.Second)
		synctest.Wait()
		if n, err := caller.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("read %d bytes, %v; the connection should be closed", n, err)
		}
	})
}
