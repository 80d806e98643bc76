package cluster

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"
)

// Guards against a relay that closes or serves connections to a VM that is gone, so that callers
// would learn of its loss at once.
func TestSilentRelayNeitherServesNorCloses(t *testing.T) {
	backend, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r, err := NewRelay("127.0.0.1:0", backend.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	connect := func() net.Conn {
		conn, err := net.Dial("tcp", r.Addr())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	opened := connect()
	served, err := backend.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := served.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if _, err := opened.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	r.GoSilent()
	r.Heal()
	_, _ = served.Write([]byte("x")) // the relay drops it
	_ = served.Close()
	_ = backend.Close()
	for name, conn := range map[string]net.Conn{"opened before": opened, "opened later": connect()} {
		if err := conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("connection %s: %v, want no bytes and no close", name, err)
		}
	}
}
