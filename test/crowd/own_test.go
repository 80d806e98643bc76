package crowd

import (
	"net/http"
	"path/filepath"
	"testing"

	"samphirepaddle.example/test/cluster"
)

// Sizes of the crowds at a daemon with pools of its own.
const (
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

// Guards against a daemon with pools of its own whose connections take the descriptors of its state files.
func TestTenantsWithMoreConnectionsThanDescriptors(t *testing.T) {
	binary := build(t)
	for _, listener := range []string{"public"} {
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
