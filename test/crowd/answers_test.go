package crowd

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// Sizes of the crowd that reads no answers.
const (
	readers     = 200
	answersEach = 2000
)

// Guards against a daemon whose answers pile up because clients send many requests and read nothing.
func TestAnswersThatNobodyReads(t *testing.T) {
	binary := build(t)
	for _, path := range []string{"/q/", "/config", "/metrics"} {
		t.Run(path, func(t *testing.T) {
			r := newPlatformRig(t, binary)
			d := r.controller
			if path == "/q/" {
				d = r.gateway
			}
			requests := strings.Repeat(fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, testHost), answersEach)
			c := &crowd{addr: d.addr, clients: readers, play: func(conn net.Conn, _ int) {
				_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
				_ = conn.SetWriteDeadline(time.Now().Add(dialTimeout))
				_, _ = io.WriteString(conn, requests)
			}}
			c.gather()
			d.meter.untilSteady()
			r.submitOrdinary(t)
			r.untilConfigured(t, 2)
			c.leave()
			r.submitOrdinary(t)
			r.check(t)
		})
	}
}
