package crowd

import (
	"encoding/binary"
	"fmt"
	"net"
	"testing"
	"time"
)

// Sizes of the crowd that poses as leaders.
const (
	leaders    = 48
	frameBytes = 8 << 20
)

// Guards against streams of calls to workers, which a controller takes over from its server, that hold frames
// without an end.
func TestStreamsThatStopWithinAFrame(t *testing.T) {
	r := newPlatformRig(t, build(t))
	frame := make([]byte, 4, 4+frameBytes)
	binary.BigEndian.PutUint32(frame, frameBytes)
	frame = append(frame, make([]byte, frameBytes-1)...)
	c := &crowd{addr: r.controller.addr, clients: leaders, play: func(conn net.Conn, _ int) {
		_, _ = fmt.Fprint(conn, "GET /agent/v1/stream HTTP/1.1\r\nHost: c\r\nConnection: Upgrade\r\nUpgrade: samphire-agent-1\r\n\r\n")
		answer := make([]byte, 1)
		_ = conn.SetReadDeadline(time.Now().Add(dialTimeout))
		if _, err := conn.Read(answer); err == nil {
			_ = conn.SetWriteDeadline(time.Now().Add(dialTimeout))
			_, _ = conn.Write(frame)
		}
	}}
	c.gather()
	r.submitOrdinary(t)
	c.leave()
	r.untilConfigured(t, 2)
	r.check(t)
}
