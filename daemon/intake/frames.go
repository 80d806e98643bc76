package intake

import (
	"io"
	"net"

	"samphirepaddle.example/core/intake"
)

// Frame accounts a message on a connection which a handler has taken over; r ends with the message. The reader that Frame
// returns fails once the message is given up. The handler calls release when nothing of the message is held any more.
func (g *Guard) Frame(c net.Conn, r io.Reader) (reader io.Reader, release func()) {
	counted, _ := c.(*conn) // nil without a Listener
	frame := g.openBody(io.NopCloser(r), c.RemoteAddr().String(), counted, nil)
	return frame, func() { g.closeBody(frame) }
}

// Received notes that a message has arrived on a connection which a handler has taken over. Without one for a while, the
// connection gives way to new ones like that of a client that has stopped sending.
func (g *Guard) Received(c net.Conn) {
	if counted, ok := c.(*conn); ok {
		counted.note(intake.Receiving)
	}
}
