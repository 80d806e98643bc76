// Package soak injects random faults into the real daemons, which run as separate processes,
// and checks the guarantees that callers, operators and workers can observe. Each guarantee is a
// promise with a short name; breaking it is a violation. Faults are injected from outside the
// daemons: signals, a relay in front of each listener, lost data directories, torn logs, and
// workers that misbehave. A seed determines the load and the faults, but not how the processes
// are scheduled.
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

// Node is one daemon and the relay through which it is reached.
type Node struct {
	*cluster.Process
	Name    string
	IP      string // source address of the connections that it opens
	Listen  string
	Relay   *cluster.Relay // in front of Listen; the other processes connect to its address
	DataDir string         // empty for a gateway

	faultLock    sync.Mutex // held while a fault stops or freezes the process
	settings     map[string]any
	settingsPath string
}

// System is the set of daemons of one run.
type System struct {
	Controllers []*Node
	Gateways    []*Node
	dir         string
}

// Settings of the daemons. Three controllers tolerate the loss of one, five of two.
const (
	firstHostByte = 31 // last byte of the first daemon's loopback address
	workerLeaseMs = 3000
	memoryMiB     = 256
	drainMs       = 300 // short, because there is no load balancer that must notice the drain
)

// newSystem writes the settings of the daemons and creates their relays, without starting the
// daemons.
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
	var initialControllers []string
	for _, n := range s.Controllers[:3] {
		initialControllers = append(initialControllers, n.Relay.Addr())
	}
	for _, n := range append(append([]*Node{}, s.Controllers...), s.Gateways...) {
		n.settings["controllers"] = initialControllers
		n.settings["tolerated_vms"] = controllers / 2
		if err := n.writeSettings(); err != nil {
			s.close()
			return nil, err
		}
	}
	return s, nil
}

func newNode(binary, dir string, i int, controller bool) (*Node, error) {
	ip := fmt.Sprintf("127.0.0.%d", firstHostByte+i)
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
		n.settings["agent_workers"] = 1 // every call passes through another controller
	} else {
		n.settings["role"], n.settings["callers_listen"], n.settings["ready_listen"] = "gateway", n.Listen, ports[1]
	}
	n.settingsPath = filepath.Join(dir, n.Name+".json")
	n.Process = cluster.NewProcess(binary, []string{"fleet", "--settings", n.settingsPath}, filepath.Join(dir, n.Name+".log"))
	return n, nil
}

func (n *Node) writeSettings() error {
	data, err := json.MarshalIndent(n.settings, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(n.settingsPath, data, 0o600)
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

// disableFounding makes a controller that restarts without its data join the existing group
// instead of founding a new one.
func (s *System) disableFounding() error {
	for _, n := range s.Controllers {
		n.settings["may_found"] = false
		if err := n.writeSettings(); err != nil {
			return err
		}
	}
	return nil
}

// heal undoes what faults left behind: it removes impairments, resumes frozen processes and
// restarts exited ones.
func (s *System) heal() error {
	var failures error
	for _, n := range s.nodes() {
		n.faultLock.Lock()
		n.Relay.Heal()
		n.Relay.Reset()
		n.Resume()
		if n.Exited() {
			failures = errors.Join(failures, n.Start())
		}
		n.faultLock.Unlock()
	}
	return failures
}

func (s *System) close() {
	for _, n := range s.nodes() {
		n.Resume()
		n.Kill()
		n.Relay.Close()
	}
}

// leader returns the controller that is leader, or nil. It bypasses the relays.
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

// crashLines returns the log lines of panics, fatal runtime errors and data races. Processes
// that faults killed write none.
func (s *System) crashLines() []string {
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
