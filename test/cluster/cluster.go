// Package cluster starts the real binaries on loopback for failure tests and benchmarks.
// Every daemon has its own loopback address and a relay in front of its peer listener, so that
// a test can cut the traffic between two daemons in one direction.
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

// Build compiles the daemon and the command line client into dir.
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

// Options configures a cluster.
type Options struct {
	Binaries    Binaries
	Dir         string // working directory for settings, data and logs
	Daemons     int
	Controllers int // the first daemons are controllers
	Zones       []string
	Settings    map[string]any // additional settings of every daemon

	// PublicRelays also puts a relay in front of the public listener, to count its bytes. It
	// adds a hop to every request.
	PublicRelays bool
}

// Cluster is a set of running daemons and targets.
type Cluster struct {
	Daemons []*Daemon
	options Options

	mu      sync.Mutex
	targets []*Process
}

// Daemon is one samphired process with its relay.
type Daemon struct {
	*Process
	ID         string
	IP         string
	PublicAddr string // address for callers, targets and operators
	PeerListen string
	Relay      *Relay

	// PublicRelay is nil unless Options.PublicRelays is set; PublicAddr is then its address.
	PublicRelay  *Relay
	PublicListen string

	DataDir  string
	settings string
}

// New writes the settings of the daemons and creates their relays, without starting the daemons.
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

// firstHostByte is the last byte of the first daemon's loopback address.
const firstHostByte = 11

func (c *Cluster) newDaemon(i int) (*Daemon, error) {
	ip := fmt.Sprintf("127.0.0.%d", firstHostByte+i)
	ports, err := FreePorts(ip, 2)
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		ID:           fmt.Sprintf("g%d", i+1),
		IP:           ip,
		PublicAddr:   ports[0],
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
		d.PublicAddr = d.PublicRelay.Addr()
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

// Daemon ports are below the ephemeral port range: otherwise an outgoing connection could take
// the port of a daemon that is temporarily down.
const (
	firstPort = 12_000
	lastPort  = 32_000
)

var portCounter atomic.Int64 // number of ports tried so far

// FreePorts returns n addresses on ip that have no listener. Within a process, it returns each port only once.
func FreePorts(ip string, n int) ([]string, error) {
	var addresses []string
	for range lastPort - firstPort {
		if len(addresses) == n {
			break
		}
		// The process ID makes concurrent test processes start at different ports.
		port := firstPort + (int64(os.Getpid())*97+portCounter.Add(1))%(lastPort-firstPort)
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
		"public_addr":      d.PublicAddr,
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

// Isolate drops all traffic between a daemon and the other daemons, in both directions.
func (c *Cluster) Isolate(d *Daemon) {
	d.Relay.CutAll()
	c.CutOutgoing(d)
}

// CutOutgoing drops the traffic of connections that a daemon opens to the other daemons. Calls
// that the others make to it still work.
func (c *Cluster) CutOutgoing(d *Daemon) {
	for _, other := range c.Daemons {
		if other != d {
			other.Relay.Cut(d.IP)
		}
	}
}

// Heal removes all impairments of the peer relays.
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
		args = append(args, "--gateway", d.PublicAddr)
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

// Close kills every process and closes every relay.
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

// NewProcess returns a process that has not been started. Its output is appended to the file log.
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

// PID returns the process ID. The process must have been started.
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

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.Wait()
}

// Terminate sends SIGTERM, which asks the process to shut down.
func (p *Process) Terminate() { p.Signal(syscall.SIGTERM) }

// Freeze suspends the process with SIGSTOP.
func (p *Process) Freeze() { p.Signal(syscall.SIGSTOP) }

// Resume continues a frozen process with SIGCONT.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// Wait waits until the process has exited.
func (p *Process) Wait() {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done != nil {
		<-done
	}
}

// Exited reports whether the process has exited or was never started.
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

// Log returns the contents of the process's log file, or the error of reading it.
func (p *Process) Log() string {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// Response is a completely read HTTP response.
type Response struct {
	Status int
	Header http.Header
	Body   string
}

// Verdict returns the Samphire-Verdict header.
func (r Response) Verdict() string { return r.Header.Get("Samphire-Verdict") }

// client does not reuse connections, so that responses do not depend on earlier tests.
var client = &http.Client{
	Timeout:   30 * time.Second,
	Transport: &http.Transport{DisableKeepAlives: true, MaxIdleConnsPerHost: -1},
}

// Do sends one request. headers are alternating names and values.
func Do(method, url, body string, headers ...string) (Response, error) {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return Response{}, err
	}
	request.GetBody = nil
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := client.Do(request)
	if err != nil {
		return Response{}, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return Response{Status: response.StatusCode, Header: response.Header, Body: string(bytes.TrimSpace(data))}, err
}

// GetJSON requests url and decodes the JSON response into v.
func GetJSON(url string, v any) error {
	response, err := Do(http.MethodGet, url, "")
	if err != nil {
		return err
	}
	if response.Status != http.StatusOK {
		return fmt.Errorf("%s: status %d: %s", url, response.Status, response.Body)
	}
	return json.Unmarshal([]byte(response.Body), v)
}

// WaitFor calls check until it returns nil or limit has passed, and returns the last result.
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
