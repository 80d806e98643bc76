package main

import (
	"bufio"
	"context"
	"encoding/json"
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

	"samphirepaddle.example/core/model"
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
	return startMember(t, "g1", freeAddress(t))
}

// startMember runs a daemon in its own zone; g1 is the controller and has the given peer address.
func startMember(t *testing.T, id, controller string) (public string, stop, force context.CancelFunc, ended <-chan error) {
	t.Helper()
	public, peer := freeAddress(t), controller
	if id != "g1" {
		peer = freeAddress(t)
	}
	s, err := settings.Parse(fmt.Appendf(nil, `{"gateway":%q,"zone":"zone-%s","public_addr":%q,"peer_addr":%q,
		"controllers":[{"id":"g1","peer_addr":%q}],"data_dir":%q,"balancer_wait_ms":500,"log_level":"error"}`,
		id, id, public, peer, controller, t.TempDir()))
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
	for end := time.Now().Add(time.Minute); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("did not happen: %s", what)
		}
	}
}

// announcer sends the announcements of one target.
type announcer struct {
	address  string
	zone     string
	sequence int
	epoch    uint64
}

// announce reports the requests in progress and takes over the epoch of the answer.
func (a *announcer) announce(public string, requests ...string) (owner string) {
	a.sequence++
	list, _ := json.Marshal(requests)
	_, content, _ := post(public, "/v1/targets/announce", fmt.Sprintf(`{"target":"t1","start_id":"a","sequence":%d,"epoch":%d,
		"address":%q,"zone":%q,"pool":"p","state":"ready","capacity":{"slots":4,"connections":8},"requests":%s}`,
		a.sequence, a.epoch, a.address, a.zone, list))
	var answer model.AnnouncementResponse
	if json.Unmarshal([]byte(content), &answer) == nil && answer.Epoch > 0 {
		a.epoch = uint64(answer.Epoch)
	}
	return string(answer.Owner)
}

const ticket = `{"number":1,"author":"test","services":[{"id":"s","pool":"p","quick":{"slots":1,"connections":1},
	"deadline_ms":20000,"queue_length":10}],"pools":[{"id":"p"}],"tenants":[{"id":"shop"}]}`

func applyTicket(t *testing.T, public string) {
	t.Helper()
	until(t, "the ticket is accepted", func() bool {
		status, _, err := post(public, "/v1/tickets", ticket)
		return err == nil && status == http.StatusOK
	})
}

func check(public, deadline string) bool {
	status, _, err := post(public, "/v1/call/s/", "x", "Samphire-Tenant", "shop", "Samphire-Deadline-Ms", deadline)
	return err == nil && status == http.StatusOK
}

// setUp applies a ticket and announces a target until it is open.
func setUp(t *testing.T, public, address string) {
	t.Helper()
	applyTicket(t, public)
	a := &announcer{address: address}
	until(t, "the target is open", func() bool {
		a.announce(public)
		return check(public, "200")
	})
}

// Guards against a handover that cuts off an open request, gives its slot away, or leaves
// the target without an owner.
func TestShutdownHandsTargetsOver(t *testing.T) {
	arrived, release := make(chan string, 1), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
		if strings.HasPrefix(r.URL.Path, "/slow") {
			arrived <- r.Header.Get(target.HeaderRequestID)
			<-release
		}
		_, _ = io.WriteString(w, "complete")
	}))
	defer server.Close()
	controller := freeAddress(t)
	first, _, _, _ := startMember(t, "g1", controller)
	second, stop, _, ended := startMember(t, "g2", controller)
	applyTicket(t, first)
	until(t, "both gateways are ready", func() bool {
		response, err := http.Get("http://" + second + "/healthz/ready")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	a := &announcer{address: server.Listener.Addr().String(), zone: "zone-g2"}
	until(t, "the gateway in the target's zone owns it and both serve", func() bool {
		return a.announce(first) == "g2" && check(first, "200") && check(second, "200")
	})
	result := make(chan string, 1)
	go func() {
		_, content, _ := post(second, "/v1/call/s/slow", "x", "Samphire-Tenant", "shop")
		result <- content
	}()
	open := <-arrived
	stop()
	until(t, "the other gateway owns the target and serves", func() bool {
		return a.announce(first, open) == "g1" && check(first, "200")
	})
	select {
	case err := <-ended:
		t.Errorf("the daemon left with an open request: %v", err)
	default:
	}
	close(release)
	if content := <-result; content != "complete" {
		t.Errorf("the open request got %q", content)
	}
	if err := <-ended; err != nil {
		t.Errorf("shutdown: %v", err)
	}
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
			if len(result) != 0 {
				t.Error("the second signal had to wait for the open request")
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
