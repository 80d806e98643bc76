// Package replicatest opens replicas for the tests of other packages.
package replicatest

import (
	"net"
	"testing"

	"samphirepaddle.example/daemon/replica"
)

// OpenSingleMember opens the only replica of a group, and a listener at its address. The caller
// must serve the replica's Handler on the listener.
func OpenSingleMember(t testing.TB) (*replica.Replica, net.Listener) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	log, err := replica.Open(replica.Options{
		Gateway: "c1", Addr: addr, Dir: t.TempDir(), InitialControllers: []replica.Controller{{Gateway: "c1", Addr: addr}},
		OnFatal: func(err error) { t.Errorf("storage: %v", err) }, Seed: 1,
	})
	if err != nil {
		listener.Close()
		t.Fatal(err)
	}
	return log, listener
}
