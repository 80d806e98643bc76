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

	coreintake "samphirepaddle.example/core/intake"
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/daemon/intake"
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

// startDaemon starts a daemon that is the only gateway and controller.
func startDaemon(t *testing.T) (public string, stop, force context.CancelFunc, ended <-chan error) {
	t.Helper()
	return startDaemonWithID(t, "g1", freeAddress(t))
}

// startDaemonWithID starts a daemon in a zone of its own. The daemon g1 is the only controller, with
// the given peer address.
func startDaemonWithID(t *testing.T, id, controller string) (public string, stop, force context.CancelFunc, ended <-chan error) {
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
	ctx, stop := context.WithCancel(context.Background())
	forceCtx, force := context.WithCancel(context.Background())
	t.Cleanup(force)
	t.Cleanup(stop)
	done := make(chan error, 1)
	go func() { done <- d.run(ctx, forceCtx) }()
	return public, stop, force, done
}

// post sends a POST request and returns the status and body of the response.
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

// waitUntil polls until the condition holds, for at most one minute.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// announcer sends announcements on behalf of one target.
type announcer struct {
	address  string
	zone     string
	sequence int
	epoch    uint64
}

// announce sends an announcement with the given requests in progress, and adopts the epoch in the
// response. It returns the owner of the target.
func (a *announcer) announce(public string, requests ...string) (owner string) {
	a.sequence++
	list, _ := json.Marshal(requests)
	_, content, _ := post(public, "/v1/targets/announce", fmt.Sprintf(`{"target":"t1","start_id":"a","sequence":%d,"epoch":%d,
		"address":%q,"zone":%q,"pool":"p","state":"ready","capacity":{"slots":4,"connections":8},"requests":%s}`,
		a.sequence, a.epoch, a.address, a.zone, list))
	var response model.AnnouncementResponse
	if json.Unmarshal([]byte(content), &response) == nil && response.Epoch > 0 {
		a.epoch = uint64(response.Epoch)
	}
	return string(response.Owner)
}

const ticket = `{"number":1,"author":"test","services":[{"id":"s","pool":"p","quick":{"slots":1,"connections":1},
	"deadline_ms":20000,"queue_length":10}],"pools":[{"id":"p"}],"tenants":[{"id":"shop"}]}`

func applyTicket(t *testing.T, public string) {
	t.Helper()
	waitUntil(t, "the ticket is accepted", func() bool {
		status, _, err := post(public, "/v1/tickets", ticket)
		return err == nil && status == http.StatusOK
	})
}

// callSucceeds sends a quick request with the deadline in milliseconds and reports whether it ran.
func callSucceeds(public, deadline string) bool {
	status, _, err := post(public, "/v1/call/s/", "x", "Samphire-Tenant", "shop", "Samphire-Deadline-Ms", deadline)
	return err == nil && status == http.StatusOK
}

// setUpTarget applies the ticket and announces a target until it serves quick requests.
func setUpTarget(t *testing.T, public, address string) {
	t.Helper()
	applyTicket(t, public)
	a := &announcer{address: address}
	waitUntil(t, "the target serves quick requests", func() bool {
		a.announce(public)
		return callSucceeds(public, "200")
	})
}

// Guards against a handover that aborts an open request, assigns its slot to another request, or
// leaves the target without an owner.
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
	first, _, _, _ := startDaemonWithID(t, "g1", controller)
	second, stop, _, ended := startDaemonWithID(t, "g2", controller)
	applyTicket(t, first)
	waitUntil(t, "both gateways are ready", func() bool {
		response, err := http.Get("http://" + second + "/healthz/ready")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	a := &announcer{address: server.Listener.Addr().String(), zone: "zone-g2"}
	waitUntil(t, "the gateway in the target's zone owns it and both serve", func() bool {
		return a.announce(first) == "g2" && callSucceeds(first, "200") && callSucceeds(second, "200")
	})
	result := make(chan string, 1)
	go func() {
		_, content, _ := post(second, "/v1/call/s/slow", "x", "Samphire-Tenant", "shop")
		result <- content
	}()
	open := <-arrived
	stop()
	waitUntil(t, "the other gateway owns the target and serves", func() bool {
		return a.announce(first, open) == "g1" && callSucceeds(first, "200")
	})
	select {
	case err := <-ended:
		t.Errorf("the daemon exited with an open request: %v", err)
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

// Guards against a shutdown that aborts an open request, and against a shutdown that a second
// signal cannot force to end.
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
		setUpTarget(t, public, server.Listener.Addr().String())
		result := make(chan string, 1)
		go func() {
			_, content, _ := post(public, "/v1/call/s/slow", "x", "Samphire-Tenant", "shop")
			result <- content
		}()
		<-arrived
		stop()
		select {
		case err := <-ended:
			t.Fatalf("the daemon exited with an open request: %v", err)
		case <-time.After(300 * time.Millisecond):
		}
		if forced {
			force()
			if err := <-ended; !errors.Is(err, errForced) {
				t.Errorf("after the second signal: %v", err)
			}
			if len(result) != 0 {
				t.Error("the forced shutdown waited for the open request")
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

// Guards against an exit while a target still processes a call whose caller has already received the
// verdict unknown, because its outcome would not be recorded. It also checks that the daemon reports
// not ready at the start of the shutdown.
func TestShutdownWaitsForAbandonedRequests(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
		if strings.HasPrefix(r.URL.Path, "/slow") {
			<-release
		}
	}))
	defer server.Close()
	var once sync.Once
	respond := func() { once.Do(func() { close(release) }) }
	defer respond() // must run before server.Close, which waits for the handlers
	public, stop, _, ended := startDaemon(t)
	setUpTarget(t, public, server.Listener.Addr().String())
	if status, _, _ := post(public, "/v1/call/s/slow", "x", "Samphire-Tenant", "shop", "Samphire-Deadline-Ms", "100"); status != http.StatusGatewayTimeout {
		t.Errorf("status %d after the deadline", status)
	}
	stop()
	waitUntil(t, "the daemon reports that it is not ready", func() bool {
		response, err := http.Get("http://" + public + "/healthz/ready")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusServiceUnavailable
	})
	select {
	case err := <-ended:
		t.Fatalf("the daemon exited before the target responded: %v", err)
	case <-time.After(1500 * time.Millisecond):
	}
	respond()
	if err := <-ended; err != nil {
		t.Errorf("shutdown: %v", err)
	}
}

// Guards against connections over the limit that wait without a response, and against closed
// connections that still count towards the limit. One that is answered may give way to a new one, so
// that the first is held.
func TestConnectionsOverTheLimitAreRefused(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	guard := intake.New(intake.Options{Listener: coreintake.ListenerBudget{Connections: 1}, Refusal: refusalResponse})
	held, release := make(chan struct{}, 1), make(chan struct{})
	server := &http.Server{Handler: guard.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case held <- struct{}{}:
			<-release // the first request
		default:
		}
		w.WriteHeader(http.StatusNotFound)
	}))}
	guard.Attach(server)
	defer server.Close()
	go func() { _ = server.Serve(guard.Listener(inner)) }()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		return c
	}
	answer := func(c net.Conn) int {
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return 0
		}
		return response.StatusCode
	}
	status := func() (net.Conn, int) {
		c := dial()
		return c, answer(c)
	}
	first := dial()
	waitUntil(t, "the first request is held", func() bool { return len(held) == 1 })
	second, code := status()
	if code == http.StatusNotFound {
		t.Error("a connection over the limit was served")
	}
	second.Close()
	close(release)
	if code := answer(first); code != http.StatusNotFound {
		t.Errorf("first connection: status %d", code)
	}
	first.Close()
	waitUntil(t, "a new connection is accepted again", func() bool {
		c, code := status()
		c.Close()
		return code == http.StatusNotFound
	})
}
