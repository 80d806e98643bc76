package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"samphirepaddle.example/daemon/wait"
)

// Crowds of clients that stop short of the end of what they send. The limits of the daemons are low, so that
// a crowd uses up connections or memory. One crowd follows the other, so their size is bounded.
const (
	crowdClients        = 200
	crowdBodyBytes      = 64 << 10
	crowdPause          = time.Second // mean, exponentially distributed
	shortestCrowd       = 200 * time.Millisecond
	longestCrowd        = 1500 * time.Millisecond
	crowdDialTimeout    = time.Second
	crowdBodyMiB        = 2
	crowdConnectionsMiB = 4
)

// crowdRequests are the heads of the requests of a crowd, by the role of the daemon.
var crowdRequests = map[string][]string{
	roleGateway:    {"POST /crowd/", "GET /crowd/"},
	roleController: {"PUT /config", "PUT /instances/crowd", "POST /fleet/v1/submit", "POST /fleet/v1/report"},
}

// crowds sends crowds to random daemons, from a random stream of its own.
type crowds struct {
	system *System
	rng    *rand.Rand
	log    func(string)
}

// crowdSettings are settings of daemons that meet crowds.
func crowdSettings() map[string]any {
	return map[string]any{"body_memory_mib": crowdBodyMiB, "connection_memory_mib": crowdConnectionsMiB}
}

// run sends crowds until ctx is done, and then waits until the last one has left.
func (c *crowds) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, time.Duration(c.rng.ExpFloat64()*float64(crowdPause)))
		nodes := append(c.system.Controllers(), c.system.Gateways...)
		n := nodes[c.rng.IntN(len(nodes))]
		requests := crowdRequests[n.settings["role"].(string)]
		request := requests[c.rng.IntN(len(requests))]
		stay := shortestCrowd + time.Duration(c.rng.Int64N(int64(longestCrowd-shortestCrowd)))
		chunked := c.rng.IntN(2) == 0
		c.log(fmt.Sprintf("crowd at %s: %s, chunked %v, %v", n.Name, request, chunked, stay.Round(time.Millisecond)))
		play(ctx, n.Listen, request, chunked, stay)
	}
}

// play has a crowd send a body without its end, and leave after a while.
func play(ctx context.Context, addr, request string, chunked bool, stay time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, stay)
	defer cancel()
	body := strings.Repeat("x", crowdBodyBytes-1)
	message := fmt.Sprintf("%s HTTP/1.1\r\nHost: crowd\r\nContent-Length: %d\r\n\r\n%s", request, crowdBodyBytes, body)
	if chunked {
		message = fmt.Sprintf("%s HTTP/1.1\r\nHost: crowd\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", request, crowdBodyBytes, body)
	}
	var clients sync.WaitGroup
	for range crowdClients {
		clients.Go(func() {
			conn, err := (&net.Dialer{Timeout: crowdDialTimeout}).DialContext(ctx, "tcp", addr)
			if err != nil {
				return // the daemon is down, or its queue of new connections is full
			}
			defer conn.Close()
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // also ends a write that the daemon does not read
			defer stop()
			if _, err := conn.Write([]byte(message)); err == nil {
				<-ctx.Done()
			}
		})
	}
	clients.Wait()
}
