package crowd

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"samphirepaddle.example/platform/standin"
)

// Sizes of the crowds at the listeners.
const (
	headerCallers = 1000 // more than a gateway has descriptors for
	headerBytes   = 15 << 10
	probers       = 400
	frozenCallers = 600
	eachKind      = 150
	slowCallers   = 600
	slowInterval  = 50 * time.Millisecond
)

// unendedHeader returns a crowd whose requests stop before the end of their header.
func unendedHeader(addr string, clients int) *crowd {
	return &crowd{addr: addr, clients: clients, play: func(conn net.Conn, client int) {
		_, _ = fmt.Fprintf(conn, "POST /q/crowd%d HTTP/1.1\r\nHost: %s\r\nPad: %s", client, testHost, strings.Repeat("x", headerBytes))
	}}
}

// Guards against a gateway that runs out of memory or descriptors when many callers hold open headers.
func TestCallersThatStopWithinTheHeader(t *testing.T) {
	r := newPlatformRig(t, build(t))
	c := unendedHeader(r.gateway.addr, headerCallers)
	c.gather()
	r.submitOrdinary(t)
	c.leave()
	r.submitOrdinary(t)
	r.check(t)
}

// Guards against bodies that nobody reads on the listeners of the balancer and of the metrics.
func TestCrowdAtReadinessAndMetrics(t *testing.T) {
	binary := build(t)
	for _, path := range []string{"/readyz", "/metrics"} {
		t.Run(path, func(t *testing.T) {
			r := newPlatformRig(t, binary)
			addr := map[string]string{"/readyz": r.ready, "/metrics": r.metrics}[path]
			c := &crowd{addr: addr, clients: probers, shape: wholeBodies, request: func(int) (string, string) {
				return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h\r\n", path), paddedJob(jobBytes)
			}}
			c.gather()
			answers := func() {
				t.Helper()
				r.untilAnswered(t, path, func() (int, error) { return request(http.MethodGet, "http://"+addr+path, "") })
			}
			answers()
			c.leave()
			answers()
			r.submitOrdinary(t)
			r.check(t)
		})
	}
}

// Guards against a gateway whose new connections pile up in the kernel while the process does not run.
func TestCrowdAtAFrozenGateway(t *testing.T) {
	r := newPlatformRig(t, build(t))
	r.gateway.Freeze()
	body := paddedJob(jobBytes)
	c := &crowd{addr: r.gateway.addr, clients: frozenCallers, play: func(conn net.Conn, client int) {
		// A frozen process reads nothing, so the write may never end.
		_ = conn.SetWriteDeadline(time.Now().Add(dialTimeout))
		_, _ = fmt.Fprintf(conn, "POST /q/crowd%d HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s", client, testHost, len(body), body[:len(body)-1])
	}}
	c.gather()
	r.gateway.meter.sample()
	r.gateway.Resume()
	r.submitOrdinary(t)
	c.leave()
	r.submitOrdinary(t)
	r.check(t)
}

// Guards against a controller whose calls of operators, workers and other daemons together take more memory than it has.
func TestCrowdsAtTheControllersListener(t *testing.T) {
	r := newPlatformRig(t, build(t))
	document := string(standin.Configuration(1, testHost, "s", 3, "/q/"))
	large := document + strings.Repeat(" ", configBytes-len(document))
	var crowds []*crowd
	add := func(clients int, head, body string) {
		crowds = append(crowds, &crowd{addr: r.controller.addr, clients: clients, shape: wholeBodies, request: func(int) (string, string) { return head, body }})
	}
	add(eachKind, "PUT /config HTTP/1.1\r\nHost: c\r\n", large)
	add(eachKind, "POST /fleet/v1/submit HTTP/1.1\r\nHost: c\r\n", large)
	add(eachKind, "POST /twirp/samphirepaddle.rpc.Consensus/Step HTTP/1.1\r\nHost: c\r\nContent-Type: application/protobuf\r\n", large)
	add(eachKind, "PUT /instances/w HTTP/1.1\r\nHost: c\r\n", paddedJob(64<<10))
	gatherAll(crowds...)
	r.submitOrdinary(t)
	for _, c := range crowds {
		c.leave()
	}
	r.untilConfigured(t, 2)
	r.submitOrdinary(t)
	r.check(t)
}

// Guards against callers that send a byte now and then, take all connections and keep ordinary callers out.
func TestCallersThatSendAByteNowAndThen(t *testing.T) {
	r := newPlatformRig(t, build(t))
	left := make(chan struct{})
	var sending sync.WaitGroup
	for client := range slowCallers {
		sending.Go(func() { trickle(r.gateway.addr, client, left) })
	}
	r.submitOrdinary(t)
	r.submitOrdinary(t)
	close(left)
	sending.Wait()
	r.submitOrdinary(t)
	r.check(t)
}

// trickle sends bodies byte by byte, one after the other, until left is closed.
func trickle(addr string, client int, left <-chan struct{}) {
	for {
		trickleOnce(addr, client, left)
		select {
		case <-left:
			return
		case <-time.After(slowInterval):
		}
	}
}

func trickleOnce(addr string, client int, left <-chan struct{}) {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return
	}
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /q/slow%d HTTP/1.1\r\nHost: %s\r\nContent-Length: 1000\r\n\r\n", client, testHost)
	for err == nil {
		select {
		case <-left:
			return
		case <-time.After(slowInterval):
			_, err = io.WriteString(conn, "x")
		}
	}
}

// Guards against a gateway that ends, or exceeds its memory, when it starts again under the crowd.
func TestGatewayRestartsUnderTheCrowd(t *testing.T) {
	r := newPlatformRig(t, build(t))
	body := paddedJob(jobBytes)
	c := &crowd{addr: r.gateway.addr, clients: callers, shape: wholeBodies, request: func(client int) (string, string) {
		return fmt.Sprintf("POST /q/crowd%d HTTP/1.1\r\nHost: %s\r\n", client, testHost), body
	}}
	for _, end := range []func(){r.gateway.Kill, r.gateway.Terminate} {
		var gathering sync.WaitGroup
		gathering.Go(c.gather)
		end()
		gathering.Wait()
		r.gateway.Wait()
		if err := r.gateway.Start(); err != nil {
			t.Fatal(err)
		}
		c.gather()
		r.submitOrdinary(t)
		c.leave()
	}
	r.submitOrdinary(t)
	r.check(t)
}
