package crowd

import (
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"testing"

	"samphirepaddle.example/test/cluster"
)

// Sizes of the crowds at a daemon with pools of its own.
const (
	peers       = 48
	peerBytes   = 4 << 20
	manyTenants = 1500 // more than a daemon has descriptors for
)

// ownDaemon is a daemon with pools of its own.
type ownDaemon struct {
	*daemon
	peer string
}

func newOwnDaemon(t *testing.T, binary string) ownDaemon {
	t.Helper()
	dir := t.TempDir()
	ports, err := cluster.FreePorts("127.0.0.1", 2)
	if err != nil {
		t.Fatal(err)
	}
	d := startDaemon(t, binary, dir, "own", ownDaemonMiB, ports[0], map[string]any{
		"gateway": "gw1", "zone": "z", "public_addr": ports[0], "peer_addr": ports[1], "data_dir": filepath.Join(dir, "data"),
		"controllers": []map[string]any{{"id": "gw1", "peer_addr": ports[1]}},
	})
	own := ownDaemon{d, ports[1]}
	own.untilAnswered(t)
	return own
}

func (d ownDaemon) untilAnswered(t *testing.T) {
	t.Helper()
	(&platformRig{}).untilAnswered(t, "the status", func() (int, error) { return request(http.MethodGet, "http://"+d.addr+"/v1/status", "") })
}

// Guards against a daemon with pools of its own that runs out of memory through its listener for other daemons.
func TestPeersThatStopShortOfTheEnd(t *testing.T) {
	binary := build(t)
	paths := []string{"/twirp/samphirepaddle.rpc.Control/Propose", "/twirp/samphirepaddle.rpc.Consensus/Step", "/twirp/samphirepaddle.rpc.Owner/Announce"}
	for _, path := range paths {
		t.Run(path, func(t *testing.T) {
			d := newOwnDaemon(t, binary)
			body := strings.Repeat("x", peerBytes)
			c := &crowd{addr: d.peer, clients: peers, shape: wholeBodies, request: func(int) (string, string) {
				return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Type: application/protobuf\r\n", path), body
			}}
			c.gather()
			d.untilAnswered(t)
			c.leave()
			d.untilAnswered(t)
			d.check(t)
		})
	}
}

// Guards against the budgets of both listeners together exceeding the memory.
func TestCrowdsAtBothListeners(t *testing.T) {
	d := newOwnDaemon(t, build(t))
	body := `{"number":1,"author":"` + strings.Repeat("x", ownBytes) + `"}`
	crowds := [2]*crowd{
		{addr: d.addr, clients: tenants, shape: wholeBodies, request: func(int) (string, string) {
			return "POST /v1/tickets HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\n", body
		}},
		{addr: d.peer, clients: peers, shape: wholeBodies, request: func(int) (string, string) {
			return "POST /twirp/samphirepaddle.rpc.Control/Propose HTTP/1.1\r\nHost: h\r\nContent-Type: application/protobuf\r\n", body
		}},
	}
	gatherAll(crowds[:]...)
	d.untilAnswered(t)
	for _, c := range crowds {
		c.leave()
	}
	d.untilAnswered(t)
	d.check(t)
}

// Guards against a daemon with pools of its own whose connections take the descriptors of its state files.
func TestTenantsWithMoreConnectionsThanDescriptors(t *testing.T) {
	binary := build(t)
	for _, listener := range []string{"public", "peer"} {
		t.Run(listener, func(t *testing.T) {
			d := newOwnDaemon(t, binary)
			c := unendedHeader(map[string]string{"public": d.addr, "peer": d.peer}[listener], manyTenants)
			c.gather()
			d.untilAnswered(t)
			c.leave()
			d.untilAnswered(t)
			d.check(t)
		})
	}
}
