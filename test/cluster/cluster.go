// Package cluster starts the real binaries on loopback for failure tests and benchmarks.
// Every daemon has its own loopback address and a relay before its peer listener, so that a
// test can cut single directions between two daemons.
package cluster

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Binaries holds the paths of the built programs.
type Binaries struct {
	Daemon string
	Ctl    string
}

// Build compiles the programs into dir.
func Build(dir string) (Binaries, error) {
	b := Binaries{Daemon: filepath.Join(dir, "samphired"), Ctl: filepath.Join(dir, "samphirectl")}
	for output, pkg := range map[string]string{
		b.Daemon: "samphirepaddle.example/daemon/cmd/samphired",
		b.Ctl:    "samphirepaddle.example/ctl/cmd/samphirectl",
	} {
		command := exec.Command("go", "build", "-o", output, pkg)
		if out, err := command.CombinedOutput(); err != nil {
			return Binaries{}, fmt.Errorf("build %s: %w: %s", pkg, err, out)
		}
	}
	return b, nil
}

// Options describes a cluster.
type Options struct {
	Binaries    Binaries
	Dir         string // working directory for settings, data and logs
	Daemons     int
	Controllers int // the first daemons are controllers
	Zones       []string
	Settings    map[string]any // further settings of every daemon

	// PublicRelays puts a relay before the listener of callers and targets too, so that the
	// bytes on it are counted. It lengthens the path of every request.
	PublicRelays bool
}

// Cluster is a set of running daemons and targets.
type Cluster struct {
	Daemons []*Daemon
	options Options

	mu      sync.Mutex
	targets []*Process
}

// Daemon is one samphired with its relay.
type Daemon struct {
	*Process
	ID         string
	IP         string
	Public     string // address of callers, targets and operators
	PeerListen string
	Relay      *Relay

	// PublicRelay is nil unless Options.PublicRelays is set; Public is its address then.
	PublicRelay  *Relay
	PublicListen string

	DataDir  string
	settings string
}

// New prepares the daemons' settings and relays without starting them.
func New(o Options) (*Cluster, error) {
	c := &Cluster{options: o}
	for i := range o.Daemons {
		d, err := c.newDaemon(i)
		if err != nil {
			c.Close()
			return nil, err
		}
		c.Daemons = append(c.Daemons, d)
	}
	for i, d := range c.Daemons {
		if err := c.writeSettings(i, d); err != nil {
			c.Close()
			return nil, err
		}
	}
	return c, nil
}

// firstHost is the last byte of the first daemon's loopback address.
const firstHost = 11

func (c *Cluster) newDaemon(i int) (*Daemon, error) {
	ip := fmt.Sprintf("127.0.0.%d", firstHost+i)
	ports, err := FreePorts(ip, 2)
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		ID:           fmt.Sprintf("g%d", i+1),
		IP:           ip,
		Public:       ports[0],
		PublicListen: ports[0],
		PeerListen:   ports[1],
	}
	d.Relay, err = NewRelay(ip+":0", d.PeerListen)
	if err != nil {
		return nil, err
	}
	if c.options.PublicRelays {
		if d.PublicRelay, err = NewRelay(ip+":0", d.PublicListen); err != nil {
			return nil, err
		}
		d.Public = d.PublicRelay.Addr()
	}
	d.settings = filepath.Join(c.options.Dir, d.ID+".json")
	d.DataDir = filepath.Join(c.options.Dir, d.ID+"-data")
	d.Process = &Process{
		path: c.options.Binaries.Daemon,
		args: []string{"run", "--settings", d.settings},
		log:  filepath.Join(c.options.Dir, d.ID+".log"),
	}
	return d, nil
}

// Ports of daemons lie below those that the kernel gives to outgoing connections: one of them
// could take the port of a daemon that is down for a moment.
const (
	firstPort = 12_000
	lastPort  = 32_000
)

var nextPort atomic.Int64 // counts the ports that were given away

// FreePorts returns addresses on ip that nobody listens on. Each port is given away once.
func FreePorts(ip string, n int) ([]string, error) {
	var addresses []string
	for range lastPort - firstPort {
		if len(addresses) == n {
			break
		}
		// Other test processes begin elsewhere in the range.
		port := firstPort + (int64(os.Getpid())*97+nextPort.Add(1))%(lastPort-firstPort)
		address := fmt.Sprintf("%s:%d", ip, port)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		if err := listener.Close(); err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	if len(addresses) < n {
		return nil, fmt.Errorf("fewer than %d of the ports %d to %d are free on %s", n, firstPort, lastPort, ip)
	}
	return addresses, nil
}

func (c *Cluster) writeSettings(i int, d *Daemon) error {
	var controllers []map[string]string
	for _, other := range c.Daemons[:c.options.Controllers] {
		controllers = append(controllers, map[string]string{"id": other.ID, "peer_addr": other.Relay.Addr()})
	}
	content := map[string]any{
		"gateway":          d.ID,
		"zone":             c.options.Zones[i%len(c.options.Zones)],
		"public_addr":      d.Public,
		"public_listen":    d.PublicListen,
		"peer_addr":        d.Relay.Addr(),
		"peer_listen":      d.PeerListen,
		"controllers":      controllers,
		"balancer_wait_ms": 100,
	}
	if i < c.options.Controllers {
		content["data_dir"] = d.DataDir
	}
	for key, value := range c.options.Settings {
		content[key] = value
	}
	data, err := json.MarshalIndent(content, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(d.settings, data, 0o600)
}

// Start starts every daemon.
func (c *Cluster) Start() error {
	for _, d := range c.Daemons {
		if err := d.Start(); err != nil {
			return err
		}
	}
	return nil
}

// CutBoth cuts a daemon off from all other daemons in both directions.
func (c *Cluster) CutBoth(d *Daemon) {
	d.Relay.CutAll()
	c.CutFrom(d)
}

// CutFrom drops what a daemon sends to the others; the others still reach it, but get no
// answers to the daemon's own calls.
func (c *Cluster) CutFrom(d *Daemon) {
	for _, other := range c.Daemons {
		if other != d {
			other.Relay.Cut(d.IP)
		}
	}
}

// Heal ends all cuts.
func (c *Cluster) Heal() {
	for _, d := range c.Daemons {
		d.Relay.Heal()
	}
}

// StartTarget starts a stand-in target that announces itself to the given daemons.
func (c *Cluster) StartTarget(id, zone, rack, pool string, gateways []*Daemon, extra ...string) (*Target, error) {
	addresses, err := FreePorts("127.0.0.1", 1)
	if err != nil {
		return nil, err
	}
	args := []string{"target", "--id", id, "--listen", addresses[0], "--zone", zone, "--rack", rack, "--pool", pool}
	for _, d := range gateways {
		args = append(args, "--gateway", d.Public)
	}
	process := &Process{
		path: c.options.Binaries.Ctl,
		args: append(args, extra...),
		log:  filepath.Join(c.options.Dir, id+".log"),
	}
	c.mu.Lock()
	c.targets = append(c.targets, process)
	c.mu.Unlock()
	return &Target{Process: process, ID: id, Addr: addresses[0]}, process.Start()
}

// Target is a running stand-in target.
type Target struct {
	*Process
	ID   string
	Addr string
}

// Close ends every process and relay.
func (c *Cluster) Close() {
	c.mu.Lock()
	targets := c.targets
	c.mu.Unlock()
	for _, p := range targets {
		p.Kill()
	}
	for _, d := range c.Daemons {
		d.Kill()
		d.Relay.Close()
		if d.PublicRelay != nil {
			d.PublicRelay.Close()
		}
	}
}

// Process is a child process that can be stopped, frozen and started again.
type Process struct {
	path string
	args []string
	log  string

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
}

// NewProcess returns a process that is not started yet. Its output is appended to the file log.
func NewProcess(path string, args []string, log string) *Process {
	return &Process{path: path, args: args, log: log}
}

// Start starts the process; its output is appended to its log file.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(p.path, p.args...)
	command.Stdout = log
	command.Stderr = log
	if err := command.Start(); err != nil {
		return errors.Join(err, log.Close())
	}
	done := make(chan struct{})
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(done)
	}()
	p.command, p.done = command, done
	return nil
}

// PID returns the id of the running process.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command.Process.Pid
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(s)
	}
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.Wait()
}

// Terminate asks the process to shut down.
func (p *Process) Terminate() { p.Signal(syscall.SIGTERM) }

// Freeze stops the process without ending it; Thaw lets it go on.
func (p *Process) Freeze() { p.Signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (p *Process) Thaw() { p.Signal(syscall.SIGCONT) }

// Wait waits for the end of the process.
func (p *Process) Wait() {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done != nil {
		<-done
	}
}

// Exited reports whether the process has ended.
func (p *Process) Exited() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.done == nil {
		return true
	}
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Log returns the process's log.
func (p *Process) Log() string {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// Answer is a whole HTTP answer.
type Answer struct {
	Status int
	Header http.Header
	Body   string
}

// Verdict returns the verdict header.
func (a Answer) Verdict() string { return a.Header.Get("Samphire-Verdict") }

// client does not reuse connections, so that no answer depends on an earlier test.
var client = &http.Client{
	Timeout:   30 * time.Second,
	Transport: &http.Transport{DisableKeepAlives: true, MaxIdleConnsPerHost: -1},
}

// Do sends one request. headers are alternating names and values.
func Do(method, url, body string, headers ...string) (Answer, error) {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return Answer{}, err
	}
	request.GetBody = nil
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := client.Do(request)
	if err != nil {
		return Answer{}, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return Answer{Status: response.StatusCode, Header: response.Header, Body: string(bytes.TrimSpace(data))}, err
}

// GetJSON reads a JSON answer into v.
func GetJSON(url string, v any) error {
	answer, err := Do(http.MethodGet, url, "")
	if err != nil {
		return err
	}
	if answer.Status != http.StatusOK {
		return fmt.Errorf("%s: status %d: %s", url, answer.Status, answer.Body)
	}
	return json.Unmarshal([]byte(answer.Body), v)
}

// WaitFor calls check until it returns nil or limit has passed, and then returns the last error.
func WaitFor(limit time.Duration, check func() error) error {
	deadline := time.Now().Add(limit)
	for {
		err := check()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
}
