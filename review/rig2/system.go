package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// daemon is one process of the system, started with the command of the deploy file.
type daemon struct {
	name     string
	role     string
	front    string // listener of callers, on gateways
	control  string // listener of workers and operators, on controllers
	settings map[string]any
	dir      string
	path     string
	cmd      *exec.Cmd
	exited   chan struct{}
	proxy    *proxy
}

var useProxies = os.Getenv("PROXIES") != ""

// system is a small deployment: controllers and gateways on loopback addresses.
type system struct {
	binary      string
	dir         string
	controllers []*daemon
	gateways    []*daemon
}

// freeAddr returns an address with a free port below those that the operating system gives to outgoing connections.
func freeAddr() string {
	for range 1000 {
		addr := fmt.Sprintf("127.0.0.1:%d", 10_000+rand.IntN(20_000))
		if l, err := net.Listen("tcp", addr); err == nil {
			l.Close()
			return addr
		}
	}
	cannotRun("no free port")
	return ""
}

// newSystem writes the settings that the templates of the deploy file give for a small deployment.
func newSystem(binary, dir string, controllers, gateways int) *system {
	s := &system{binary: binary, dir: dir}
	var seeds []string
	for i := range controllers {
		listen := freeAddr()
		d := &daemon{name: fmt.Sprintf("frontend-%s-1/controller", zoneName(i)), role: "controller", control: listen}
		if useProxies {
			d.proxy = newProxy(listen)
			d.control = d.proxy.addr
		}
		d.settings = map[string]any{
			"id": fmt.Sprintf("frontend-%s-1", zoneName(i)), "role": "controller", "zone": zoneName(i), "control_listen": listen, "control_addr": d.control,
			"data_dir": filepath.Join(dir, fmt.Sprintf("data-%d", i)), "may_found": true, "tolerated_vms": 1,
			"metrics_listen": freeAddr(), "memory_mib": 284,
		}
		s.controllers = append(s.controllers, d)
		seeds = append(seeds, d.control)
	}
	for i := range gateways {
		d := &daemon{name: fmt.Sprintf("frontend-%s-1/gateway", zoneName(i)), role: "gateway", front: freeAddr()}
		d.settings = map[string]any{
			"id": fmt.Sprintf("frontend-%s-1", zoneName(i)), "role": "gateway", "zone": zoneName(i), "callers_listen": d.front,
			"ready_listen": freeAddr(), "metrics_listen": freeAddr(), "memory_mib": 284,
		}
		s.gateways = append(s.gateways, d)
	}
	for i, d := range s.all() {
		d.settings["controllers"] = seeds[:min(3, len(seeds))]
		d.dir = dir
		d.path = filepath.Join(dir, fmt.Sprintf("settings-%d.json", i))
		d.writeSettings()
	}
	return s
}

func zoneName(i int) string { return []string{"tamworth", "lichfield", "nuneaton"}[i%3] }

func (s *system) all() []*daemon { return append(append([]*daemon{}, s.controllers...), s.gateways...) }

func (d *daemon) writeSettings() {
	data, err := json.MarshalIndent(d.settings, "", "  ")
	if err == nil {
		err = os.WriteFile(d.path, data, 0o600)
	}
	if err != nil {
		cannotRun("settings: %v", err)
	}
}

func (s *system) start(d *daemon) {
	d.cmd = exec.Command(s.binary, "fleet", "--settings", d.path)
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.OpenFile(d.path+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("log: %v", err)
	}
	d.cmd.Stdout, d.cmd.Stderr = log, log
	if err := d.cmd.Start(); err != nil {
		cannotRun("%s does not start: %v", d.name, err)
	}
	exited := make(chan struct{})
	d.exited = exited
	go func(cmd *exec.Cmd) {
		_ = cmd.Wait()
		log.Close()
		close(exited)
	}(d.cmd)
	record("%s started, process %d", d.name, d.cmd.Process.Pid)
}

// successor returns a controller with an empty disk at another address, which takes the place of a lost one.
func (s *system) successor(lost *daemon) *daemon {
	n := len(s.controllers) + len(s.gateways)
	d := &daemon{name: lost.name + " (successor)", role: lost.role, control: freeAddr(), dir: s.dir, settings: map[string]any{}}
	for k, v := range lost.settings {
		d.settings[k] = v
	}
	d.settings["control_listen"], d.settings["metrics_listen"], d.settings["may_found"] = d.control, freeAddr(), false
	delete(d.settings, "control_addr")
	d.settings["data_dir"] = filepath.Join(s.dir, fmt.Sprintf("data-%d", n))
	d.path = filepath.Join(s.dir, fmt.Sprintf("settings-%d.json", n))
	d.writeSettings()
	for i, old := range s.controllers {
		if old == lost {
			s.controllers[i] = d
		}
	}
	return d
}

func (s *system) startAll() {
	for _, d := range s.all() {
		s.start(d)
	}
}

func (d *daemon) signal(sig syscall.Signal) {
	record("%s gets %s", d.name, sig)
	_ = d.cmd.Process.Signal(sig)
}

// kill ends the process and waits until it has ended.
func (d *daemon) kill() {
	if d.cmd == nil {
		return
	}
	_ = d.cmd.Process.Kill()
	<-d.exited
}

func (s *system) stopAll() {
	for _, d := range s.all() {
		if d.cmd != nil {
			_ = d.cmd.Process.Signal(syscall.SIGCONT)
			d.kill()
		}
	}
}

// leader returns the controller that leads, or nil. It asks over the daemons' own interface.
func (s *system) leader() *daemon {
	client := http.Client{Timeout: 200 * time.Millisecond}
	for _, d := range s.controllers {
		response, err := client.Post("http://"+d.control+"/fleet/v1/ping", "application/cbor", strings.NewReader("\xa0"))
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return d
		}
	}
	return nil
}

// The route and the service of all cases.
const (
	host    = "nony24.example"
	service = "huvo11a"
)

type queue struct {
	prefix      string
	name        string
	maxAttempts int
	priority    int
}

func configuration(version int, queues []queue) []byte {
	routes := []map[string]any{}
	for _, q := range queues {
		routes = append(routes, map[string]any{
			"name": q.name, "host": host, "path-prefix": q.prefix, "kind": "non_idempotent", "timeout-ms": 3000,
			"target-completion-ms": 1000, "priority": q.priority, "service": service, "max-attempts": q.maxAttempts, "slack-factor": 2.0,
		})
	}
	body, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": service, "health-path": "/healthz", "max-conns": 64, "protocol": "h1", "tls": false, "enforces-capacity": true, "standby": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	return body
}

// configure sends a configuration until it is acknowledged.
func (s *system) configure(body []byte) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, d := range s.controllers {
			if status, _ := call(time.Second, http.MethodPut, "http://"+d.control+"/config", body); status == http.StatusOK {
				record("operator: configuration acknowledged by %s", d.name)
				return
			}
		}
	}
	cannotRun("no controller acknowledged the first configuration")
}

var httpClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}

// call makes one request and returns status 0 if it gets no response.
func call(timeout time.Duration, method, url string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.GetBody = nil
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	response, err := httpClient.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, data
}

// The record of a run.
var (
	recordMu   sync.Mutex
	recordFile *os.File
	recordFrom = time.Now()
)

func record(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	if recordFile != nil {
		fmt.Fprintf(recordFile, "%8.3f %s\n", time.Since(recordFrom).Seconds(), fmt.Sprintf(format, args...))
	}
}

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

var cleanUp = func() {}

func cannotRun(format string, args ...any) {
	record("cannot run: "+format, args...)
	fmt.Printf("cannot run: "+format+"\n", args...)
	cleanUp()
	os.Exit(exitCannotRun)
}
