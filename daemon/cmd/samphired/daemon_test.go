package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"samphirepaddle.example/daemon/settings"
	"samphirepaddle.example/daemon/target"
)

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// startDaemon runs a daemon that is its own controller.
func startDaemon(t *testing.T) (public string, stop, force context.CancelFunc, ended <-chan error) {
	t.Helper()
	public, peer := freeAddress(t), freeAddress(t)
	s, err := settings.Parse(fmt.Appendf(nil, `{"gateway":"g1","zone":"z","public_addr":%q,"peer_addr":%q,
		"controllers":[{"id":"g1","peer_addr":%q}],"data_dir":%q,"balancer_wait_ms":500,"log_level":"error"}`,
		public, peer, peer, t.TempDir()))
	if err != nil {
		t.Fatal(err)
	}
	d, err := newDaemon(s)
	if err != nil {
		t.Fatal(err)
	}
	first, stop := context.WithCancel(context.Background())
	second, force := context.WithCancel(context.Background())
	t.Cleanup(force)
	t.Cleanup(stop)
	done := make(chan error, 1)
	go func() { done <- d.run(first, second) }()
	return public, stop, force, done
}

func post(public, path, body string, headers ...string) (status int, content string, err error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+public+path, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

func until(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("did not happen: %s", what)
		}
	}
}

// setUp applies a ticket and announces a target until it is open.
func setUp(t *testing.T, public, address string) {
	t.Helper()
	ticket := `{"number":1,"author":"test","services":[{"id":"s","pool":"p","quick":{"slots":1,"connections":1},
		"deadline_ms":20000,"queue_length":10}],"pools":[{"id":"p"}],"tenants":[{"id":"shop"}]}`
	until(t, "the ticket is accepted", func() bool {
		status, _, err := post(public, "/v1/tickets", ticket)
		return err == nil && status == http.StatusOK
	})
	sequence, epoch := 0, "0"
	until(t, "the target is open", func() bool {
		sequence++
		_, answer, _ := post(public, "/v1/targets/announce", fmt.Sprintf(`{"target":"t1","start_id":"a","sequence":%d,"epoch":%s,
			"address":%q,"pool":"p","state":"ready","capacity":{"slots":4,"connections":8}}`, sequence, epoch, address))
		if _, rest, ok := strings.Cut(answer, `{"epoch":`); ok {
			epoch, _, _ = strings.Cut(rest, ",")
		}
		status, _, err := post(public, "/v1/call/s/", "x", "Samphire-Tenant", "shop", "Samphire-Deadline-Ms", "200")
		return err == nil && status == http.StatusOK
	})
}

// Guards against a shutdown that cuts off an open request, and against one that the second
// signal cannot end.
func TestShutdownWaitsForOpenRequests(t *testing.T) {
	for _, forced := range []bool{false, true} {
		arrived, release := make(chan struct{}, 1), make(chan struct{})
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
			if strings.HasPrefix(r.URL.Path, "/slow") {
				arrived <- struct{}{}
				<-release
			}
			_, _ = io.WriteString(w, "complete")
		}))
		public, stop, force, ended := startDaemon(t)
		setUp(t, public, server.Listener.Addr().String())
		result := make(chan string, 1)
		go func() {
			_, content, _ := post(public, "/v1/call/s/slow", "x", "Samphire-Tenant", "shop")
			result <- content
		}()
		<-arrived
		stop()
		select {
		case err := <-ended:
			t.Fatalf("the daemon left with an open request: %v", err)
		case <-time.After(300 * time.Millisecond):
		}
		if forced {
			force()
			if err := <-ended; !errors.Is(err, errForced) {
				t.Errorf("after the second signal: %v", err)
			}
			close(release)
		} else {
			close(release)
			if content := <-result; content != "complete" {
				t.Errorf("the open request got %q", content)
			}
			if err := <-ended; err != nil {
				t.Errorf("shutdown: %v", err)
			}
		}
		server.Close()
	}
}

// Guards against an exit before a target has answered a call whose caller was told "unknown":
// the outcome would not be recorded. It also reports not ready before anything else.
func TestShutdownWaitsForAbandonedRequests(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
		if strings.HasPrefix(r.URL.Path, "/slow") {
			<-release
		}
	}))
	defer server.Close()
	var answered sync.Once
	answer := func() { answered.Do(func() { close(release) }) }
	defer answer() // before the server is closed, which waits for its handlers
	public, stop, _, ended := startDaemon(t)
	setUp(t, public, server.Listener.Addr().String())
	if status, _, _ := post(public, "/v1/call/s/slow", "x", "Samphire-Tenant", "shop", "Samphire-Deadline-Ms", "100"); status != http.StatusGatewayTimeout {
		t.Errorf("status %d after the deadline", status)
	}
	stop()
	until(t, "the daemon reports that it is not ready", func() bool {
		response, err := http.Get("http://" + public + "/healthz/ready")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusServiceUnavailable
	})
	select {
	case err := <-ended:
		t.Fatalf("the daemon left before the target answered: %v", err)
	case <-time.After(1500 * time.Millisecond):
	}
	answer()
	if err := <-ended; err != nil {
		t.Errorf("shutdown: %v", err)
	}
}

// Guards against connections beyond the limit that wait without an answer, and against
// places that are not given back.
func TestConnectionsBeyondTheLimitAreRefused(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.NotFoundHandler()}
	defer server.Close()
	go func() { _ = server.Serve(limitConnections(inner, 1)) }()
	status := func() (net.Conn, int) {
		c, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return c, 0
		}
		return c, response.StatusCode
	}
	first, code := status()
	if code != http.StatusNotFound {
		t.Errorf("first connection: status %d", code)
	}
	second, code := status()
	if code == http.StatusNotFound {
		t.Error("a connection beyond the limit was served")
	}
	second.Close()
	first.Close()
	until(t, "the place is free again", func() bool {
		c, code := status()
		c.Close()
		return code == http.StatusNotFound
	})
}
