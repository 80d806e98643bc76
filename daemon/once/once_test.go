package once

import (
	"errors"
	"net"
	"testing"
)

// Guards against a request that is written after its caller was told that it was not sent.
func TestSealedRequestIsNotWritten(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	c := &conn{Conn: near}
	c.arm(nil)
	if started, refused := c.seal(); started || refused {
		t.Fatalf("before any byte: started %v, refused %v", started, refused)
	}
	near.Close() // so that a write that is let through fails instead of blocking
	if _, err := c.Write([]byte("x")); !errors.Is(err, errSealed) {
		t.Errorf("write after the request was given up: %v", err)
	}
}
