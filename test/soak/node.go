package soak

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"samphirepaddle.example/test/cluster"
)

// Node is one daemon and the relay through which it is reached.
type Node struct {
	*cluster.Process
	Name    string
	IP      string // source address of the connections that it opens
	Listen  string
	Relay   *cluster.Relay // in front of Listen; the other processes connect to its address
	DataDir string         // empty unless it is a controller

	faultLock    sync.Mutex // held while a fault stops or freezes the process
	settings     map[string]any
	settingsPath string
}

// Settings of the daemons.
const (
	firstHostByte = 31 // last byte of the first daemon's loopback address
	workerLeaseMs = 3000
	memoryMiB     = 256
	drainMs       = 300 // short, because there is no load balancer that must notice the drain
)

// Roles of the daemons.
const (
	roleController = "controller"
	roleGateway    = "gateway"
	roleRelay      = "relay"
)

func newNode(binary, dir string, i int, role string) (*Node, error) {
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
	n.settings["role"] = role
	switch role {
	case roleGateway:
		n.settings["callers_listen"], n.settings["ready_listen"] = n.Listen, ports[1]
	case roleController:
		n.DataDir = filepath.Join(dir, n.Name+"-data")
		n.settings["data_dir"], n.settings["worker_lease_ms"] = n.DataDir, workerLeaseMs
		n.settings["agent_workers"] = 1 // every call passes through another controller
		fallthrough
	default:
		n.settings["control_listen"], n.settings["control_addr"] = n.Listen, n.Relay.Addr()
	}
	n.settingsPath = filepath.Join(dir, n.Name+".json")
	n.Process = cluster.NewProcess(binary, []string{"fleet", "--settings", n.settingsPath}, filepath.Join(dir, n.Name+".log"))
	return n, nil
}

// writeSettings replaces the settings file as a whole, because a process may start meanwhile.
func (n *Node) writeSettings() error {
	data, err := json.MarshalIndent(n.settings, "", "  ")
	if err != nil {
		return err
	}
	written := n.settingsPath + ".new"
	if err := os.WriteFile(written, data, 0o600); err != nil {
		return err
	}
	return os.Rename(written, n.settingsPath)
}
