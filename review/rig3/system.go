package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Settings of a small deployment, as the templates of the deploy file render them.
const (
	memoryMiB    = 284
	leaseLimitMs = 10_000
	stopMs       = 400
	restoreMs    = 250
	host         = "nony24.example"
	serviceName  = "huvo11a"
	binaryPath   = "target/samphired"

	restartDelay = 500 * time.Millisecond
)

// daemon is one process of the system.
type daemon struct {
	name    string
	role    string
	zone    string
	addr    string // listener of callers or of control
	ready   string
	metrics string
	dir     string
	path    string // of the settings file

	mu  sync.Mutex
	cmd *exec.Cmd
	end chan struct{} // closed when the present process has ended
}

// system is a small deployment: three controllers and some gateways.
type system struct {
	dir         string
	controllers []*daemon
	gateways    []*daemon
	relays      []*daemon
	seeds       []string
}

func freeAddr(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func newSystem(gateways, relays int) (*system, error) {
	dir, err := os.MkdirTemp("", "samphire-review-")
	if err != nil {
		return nil, err
	}
	s := &system{dir: dir}
	roles := slices.Concat(slices.Repeat([]string{"controller"}, 3), slices.Repeat([]string{"gateway"}, gateways), slices.Repeat([]string{"relay"}, relays))
	for i, role := range roles {
		d := &daemon{name: fmt.Sprintf("frontend-%d", i+1), role: role, zone: fmt.Sprintf("zone-%d", i%3)}
		ip := fmt.Sprintf("127.0.0.%d", 61+i)
		for _, addr := range []*string{&d.addr, &d.ready, &d.metrics} {
			if *addr, err = freeAddr(ip); err != nil {
				return nil, err
			}
		}
		d.dir = filepath.Join(dir, d.name)
		d.path = filepath.Join(dir, d.name+".json")
		switch role {
		case "controller":
			s.controllers = append(s.controllers, d)
			s.seeds = append(s.seeds, d.addr)
		case "gateway":
			s.gateways = append(s.gateways, d)
		case "relay":
			s.relays = append(s.relays, d)
		}
	}
	return s, nil
}

func (s *system) all() []*daemon { return slices.Concat(s.gateways, s.relays, s.controllers) }

// writeSettings writes the settings file as the templates of the deploy file render it at the first start.
func (s *system) writeSettings(d *daemon) error {
	settings := map[string]any{
		"id": d.name, "role": d.role, "zone": d.zone, "controllers": s.seeds,
		"metrics_listen": d.metrics, "memory_mib": memoryMiB,
	}
	if d.role == "gateway" {
		settings["callers_listen"], settings["ready_listen"] = d.addr, d.ready
	} else {
		settings["zones"] = []string{"zone-0", "zone-1", "zone-2"}
		settings["control_listen"] = d.addr
		if d.role == "controller" {
			settings["data_dir"] = d.dir
		}
		settings["may_found"], settings["tolerated_vms"] = true, 1
		settings["worker_lease_limit_ms"], settings["task_stop_ms"], settings["task_restore_ms"], settings["remote_factor"] = leaseLimitMs, stopMs, restoreMs, 1.5
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	return os.WriteFile(d.path, data, 0o600)
}

func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	log, err := os.OpenFile(d.path+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(binaryPath, "fleet", "--settings", d.path)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	end := make(chan struct{})
	d.cmd, d.end = cmd, end
	go func() {
		_ = cmd.Wait()
		log.Close()
		close(end)
	}()
	return nil
}

func (d *daemon) signal(sig syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil && !d.ended() {
		_ = d.cmd.Process.Signal(sig)
	}
}

// ended reports whether the process has ended; d.mu must be held.
func (d *daemon) ended() bool {
	select {
	case <-d.end:
		return true
	default:
		return false
	}
}

func (d *daemon) hasEnded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ended()
}

func (d *daemon) kill() {
	d.signal(syscall.SIGCONT)
	d.signal(syscall.SIGKILL)
	<-d.end
}

// residentMiB returns the resident memory of the process, or 0.
func (d *daemon) residentMiB() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil || d.ended() {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", d.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}

// enforcement acts as the platform does for the memory of the processes.
type enforcement struct {
	done, stopped chan struct{}

	mu    sync.Mutex
	kills map[string]int
}

// enforceMemory kills each process that uses more than its memory, and starts it again after a short delay.
func (s *system) enforceMemory(r *record) *enforcement {
	e := &enforcement{done: make(chan struct{}), stopped: make(chan struct{}), kills: map[string]int{}}
	go func() {
		defer close(e.stopped)
		for {
			select {
			case <-e.done:
				return
			case <-time.After(50 * time.Millisecond):
			}
			for _, d := range s.all() {
				if used := d.residentMiB(); used > memoryMiB {
					r.add("%s uses %d MiB of %d and is killed", d.name, used, memoryMiB)
					e.kill(r, d)
				}
			}
		}
	}()
	return e
}

func (e *enforcement) kill(r *record, d *daemon) {
	e.mu.Lock()
	e.kills[d.name]++
	e.mu.Unlock()
	d.kill()
	time.Sleep(restartDelay)
	if err := d.start(); err != nil {
		r.add("%s does not start again: %v", d.name, err)
	}
}

// killed returns the number of machines with a process that was killed.
func (e *enforcement) killed() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.kills)
}

func (e *enforcement) end() {
	close(e.done)
	<-e.stopped
}

// The limit of the rule "Fault": on half of the core, processes end by themselves this often.
const (
	endsOfFault     = 3
	machinesOfFault = 2
)

// machines ends the enforcement and returns on how many machines of the core processes ended as often as the
// rule allows for none.
func (e *enforcement) machines(r *record) int {
	e.end()
	n := 0
	for name, ends := range e.kills {
		r.add("%s was killed %d times for its memory", name, ends)
		if ends >= endsOfFault {
			n++
		}
	}
	r.add("machines of the core with %d ends or more: %d", endsOfFault, n)
	return n
}

func (s *system) controllersMiB() []int {
	var sizes []int
	for _, d := range s.controllers {
		sizes = append(sizes, d.residentMiB())
	}
	return sizes
}

func (s *system) start() error {
	for _, d := range s.all() {
		if err := s.writeSettings(d); err != nil {
			return err
		}
		if err := d.start(); err != nil {
			return err
		}
	}
	return nil
}

func (s *system) stop() {
	for _, d := range s.all() {
		if d.cmd != nil {
			d.kill()
		}
	}
	_ = os.RemoveAll(s.dir)
}

// reply is an answer; status is 0 if there was none.
type reply struct {
	status int
	body   string
	took   time.Duration
}

func send(client *http.Client, method, addr, path string, body []byte, timeout time.Duration) reply {
	began := time.Now()
	request, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return reply{}
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	c := *client
	c.Timeout = timeout
	answer, err := c.Do(request)
	if err != nil {
		return reply{took: time.Since(began)}
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		return reply{took: time.Since(began)}
	}
	return reply{answer.StatusCode, string(data), time.Since(began)}
}

// startSystem starts a deployment with two gateways and sends it a configuration.
func startSystem(r *record) (*system, bool) {
	s, err := newSystem(2, 0)
	if err != nil {
		r.add("no system: %v", err)
		return nil, false
	}
	if err := s.start(); err != nil {
		r.add("start: %v", err)
		return s, false
	}
	if !s.configure(r, configuration(1, routes...), 15*time.Second) {
		r.add("the configuration was not acknowledged")
		return s, false
	}
	return s, true
}

// routes are the queues of the cases: /a/ comes before /b/.
var routes = []route{{"/a/", 0, 3}, {"/b/", 2, 3}}

type route struct {
	prefix      string
	priority    int
	maxAttempts int
}

func configuration(version int, routes ...route) []byte {
	list := []map[string]any{}
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": "r-" + strings.Trim(r.prefix, "/"), "host": host, "path-prefix": r.prefix, "kind": "non_idempotent", "timeout-ms": 3000,
			"target-completion-ms": 1000, "priority": r.priority, "service": serviceName, "max-attempts": r.maxAttempts, "slack-factor": 2.0,
		})
	}
	data, _ := json.Marshal(map[string]any{
		"version": version, "routes": list,
		"services": []map[string]any{{"name": serviceName, "health-path": "/healthz", "max-conns": 64, "protocol": "h1", "tls": false, "enforces-capacity": true, "standby": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	return data
}

// configure sends a configuration until it is acknowledged.
func (s *system) configure(r *record, data []byte, within time.Duration) bool {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		for _, d := range s.controllers {
			a := send(client, http.MethodPut, d.addr, "/config", data, time.Second)
			if a.status == http.StatusOK {
				return true
			}
			r.add("PUT /config: %d %s after %d ms", a.status, a.body, a.took.Milliseconds())
		}
	}
	return false
}
