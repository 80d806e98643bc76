// Package soak plays random faults on the real daemons, started as separate processes, and
// checks from outside what they promise to callers, operators and workers. Faults come from
// outside the daemons: signals, a relay before each listener, lost and torn data directories,
// and workers that misbehave. A seed draws the load and the faults; the order in which the
// processes run is not part of it.
package soak

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"samphirepaddle.example/test/cluster"
)

// Node is one daemon, reached through its relay.
type Node struct {
	*cluster.Process
	Name    string
	IP      string // from which it opens connections
	Listen  string
	Relay   *cluster.Relay // before Listen; everybody uses its address
	DataDir string         // of a controller

	busy     sync.Mutex // held by a fault that stops or freezes the process
	settings map[string]any
	path     string
}

// System is the daemons of one run.
type System struct {
	Controllers []*Node
	Gateways    []*Node
	dir         string
}

// Sizes of a system. Three controllers bear the loss of one, five of two.
const (
	firstHost     = 31 // last byte of the first daemon's loopback address
	workerLeaseMs = 3000
	memoryMiB     = 256
	drainMs       = 300 // callers of the soak do not wait for a balancer
)

// newSystem prepares daemons without starting them.
func newSystem(binary, dir string, controllers, gateways int) (*System, error) {
	s := &System{dir: dir}
	for i := range controllers + gateways {
		n, err := newNode(binary, dir, i, i < controllers)
		if err != nil {
			s.close()
			return nil, err
		}
		if i < controllers {
			s.Controllers = append(s.Controllers, n)
		} else {
			s.Gateways = append(s.Gateways, n)
		}
	}
	var seeds []string
	for _, n := range s.Controllers[:3] {
		seeds = append(seeds, n.Relay.Addr())
	}
	for _, n := range append(append([]*Node{}, s.Controllers...), s.Gateways...) {
		n.settings["controllers"] = seeds
		n.settings["tolerated_vms"] = controllers / 2
		if err := n.writeSettings(); err != nil {
			s.close()
			return nil, err
		}
	}
	return s, nil
}

func newNode(binary, dir string, i int, controller bool) (*Node, error) {
	ip := fmt.Sprintf("127.0.0.%d", firstHost+i)
	ports, err := cluster.FreePorts(ip, 2)
	if err != nil {
		return nil, err
	}
	n := &Node{Name: fmt.Sprintf("vm-%d", i+1), IP: ip, Listen: ports[0]}
	if n.Relay, err = cluster.NewRelay(ip+":0", n.Listen); err != nil {
		return nil, err
	}
	n.settings = map[string]any{
		"id": n.Name, "zone": fmt.Sprintf("zone-%d", i%3), "source_ip": ip, "memory_mib": memoryMiB, "drain_ms": drainMs,
	}
	if controller {
		n.DataDir = filepath.Join(dir, n.Name+"-data")
		n.settings["role"], n.settings["data_dir"], n.settings["may_found"] = "controller", n.DataDir, true
		n.settings["control_listen"], n.settings["control_addr"] = n.Listen, n.Relay.Addr()
		n.settings["worker_lease_ms"] = workerLeaseMs
	} else {
		n.settings["role"], n.settings["callers_listen"], n.settings["ready_listen"] = "gateway", n.Listen, ports[1]
	}
	n.path = filepath.Join(dir, n.Name+".json")
	n.Process = cluster.NewProcess(binary, []string{"fleet", "--settings", n.path}, filepath.Join(dir, n.Name+".log"))
	return n, nil
}

func (n *Node) writeSettings() error {
	data, err := json.MarshalIndent(n.settings, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(n.path, data, 0o600)
}

func (s *System) start() error {
	for _, n := range s.nodes() {
		if err := n.Start(); err != nil {
			return err
		}
	}
	return nil
}

func (s *System) nodes() []*Node { return append(append([]*Node{}, s.Controllers...), s.Gateways...) }

// forbidFounding makes a controller that comes back without its data join the group.
func (s *System) forbidFounding() error {
	for _, n := range s.Controllers {
		n.settings["may_found"] = false
		if err := n.writeSettings(); err != nil {
			return err
		}
	}
	return nil
}

// heal ends what faults left behind: impairments, frozen processes, and ended ones.
func (s *System) heal() error {
	var failures error
	for _, n := range s.nodes() {
		n.busy.Lock()
		n.Relay.Heal()
		n.Relay.Reset()
		n.Thaw()
		if n.Exited() {
			failures = errors.Join(failures, n.Start())
		}
		n.busy.Unlock()
	}
	return failures
}

func (s *System) close() {
	for _, n := range s.nodes() {
		n.Thaw()
		n.Kill()
		n.Relay.Close()
	}
}

// leader returns the controller that leads, or nil. The call goes past the relays.
func (s *System) leader() *Node {
	client := http.Client{Timeout: 100 * time.Millisecond}
	for _, n := range s.Controllers {
		response, err := client.Post("http://"+n.Listen+"/fleet/v1/ping", "application/cbor", strings.NewReader("\xa0"))
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return n
		}
	}
	return nil
}

func addresses(nodes []*Node) []string {
	var list []string
	for _, n := range nodes {
		list = append(list, n.Relay.Addr())
	}
	return list
}

// exits returns what daemons wrote about ends of their own; expected ones are not listed.
func (s *System) exits() []string {
	var found []string
	for _, n := range s.nodes() {
		for line := range strings.Lines(n.Log()) {
			if strings.Contains(line, "panic:") || strings.Contains(line, "fatal error:") || strings.Contains(line, "DATA RACE") {
				found = append(found, n.Name+": "+strings.TrimSpace(line))
			}
		}
	}
	return found
}
