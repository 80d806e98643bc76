// Command rig plays the review cases that are no bench days: it starts a small deployment of the real daemons as
// separate processes on loopback, with stand-ins for the workers, the callers and the operator, and checks one rule
// by what the stand-ins see.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the small deployments, as their settings give them.
const (
	heartbeatInterval = 1500 * time.Millisecond // heartbeat-ms
	maxLease          = 10 * time.Second        // hold-max-ms
	gangTimeout       = 3 * time.Second         // gang-ms
	stopTime          = 100 * time.Millisecond  // at most stop-ms, 400 ms
	restoreTime       = 250 * time.Millisecond  // restore-ms
	checkpointWork    = time.Second             // checkpoint-s
	drainTime         = 2 * time.Second         // drain-ms
	visibleTime       = 3 * time.Second         // visible_ms
	caseTimeout       = 112 * time.Second       // a case may run for 120 s
)

const (
	host    = "pedidos.example"
	prefix  = "/plans/"
	service = "pedidos"
)

var (
	began  = time.Now()
	record struct {
		sync.Mutex
		w io.Writer
	}
)

// logf writes one line to the record of the case.
func logf(format string, args ...any) {
	record.Lock()
	defer record.Unlock()
	fmt.Fprintf(record.w, "%8.3f %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
}

// failure ends a case that could not run.
type failure struct{ reason string }

func must(ok bool, format string, args ...any) {
	if !ok {
		panic(failure{fmt.Sprintf(format, args...)})
	}
}

func main() {
	name := flag.String("case", "", "name of the case")
	daemon := flag.String("daemon", "", "path of samphired")
	path := flag.String("record", "record.txt", "file that is written")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	os.Exit(play(*name, *daemon, *path, *trouble))
}

func play(name, daemon, path string, trouble bool) (code int) {
	f, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer f.Close()
	record.w = f
	run, ok := cases[name]
	if !ok {
		logf("no case %q", name)
		return 2
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		logf("%v", err)
		return 2
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
	defer cancel()
	s := &site{ctx: ctx, dir: dir, daemon: daemon, trouble: trouble, gangs: map[string]*gang{}, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
	defer s.close()
	defer func() {
		if reason := recover(); reason != nil {
			failed, ok := reason.(failure)
			if !ok {
				panic(reason)
			}
			logf("the case could not run: %s", failed.reason)
			code = 2
		}
	}()
	logf("case %s, trouble %v", name, trouble)
	broken := run(s)
	if ctx.Err() != nil {
		logf("the case could not run: it took too long")
		return 2
	}
	for _, line := range broken {
		logf("BROKEN %s", line)
	}
	if len(broken) > 0 {
		return 1
	}
	logf("the rule held")
	return 0
}

// site is a deployment: three controllers and three gateways, each a process of its own, and workers.
type site struct {
	ctx         context.Context
	dir, daemon string
	trouble     bool
	http        *http.Client
	controllers []*process
	gateways    []*process
	version     int

	mu      sync.Mutex // guards the workers' states and the fields below
	workers []*worker
	runs    []*run // all runs, in the order of their starts
	gangs   map[string]*gang
	shape   func(task string, attempt uint32) shape
}

// shape is how the runs of a task behave on the workers.
type shape struct {
	work    time.Duration // 0 lasts until it is stopped
	cpu     int64
	members int  // of the gang, or 0
	saves   bool // the run writes checkpoints
	fails   bool // the run ends as failed when its work is half done
}

type process struct {
	addr, ready string
	command     *exec.Cmd
	args        []string
	log         string
}

func freeAddr(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	must(err == nil, "no free port: %v", err)
	defer l.Close()
	return l.Addr().String()
}

// start starts the deployment, sends the first configuration and waits until it serves.
func (s *site) start(route map[string]any) {
	var seeds []string
	for i := range 3 {
		s.controllers = append(s.controllers, &process{addr: freeAddr(fmt.Sprintf("127.0.1.%d", i+1))})
		s.gateways = append(s.gateways, &process{addr: freeAddr(fmt.Sprintf("127.0.1.%d", i+1)), ready: freeAddr(fmt.Sprintf("127.0.1.%d", i+1))})
		seeds = append(seeds, s.controllers[i].addr)
	}
	for i := range 3 {
		ip, zone := fmt.Sprintf("127.0.1.%d", i+1), fmt.Sprintf("zone-%d", i+1)
		s.launch(s.controllers[i], fmt.Sprintf("vm-%d-controller", i+1), map[string]any{
			"role": "controller", "zone": zone, "controllers": seeds, "control_listen": s.controllers[i].addr, "may_found": true,
			"data_dir": filepath.Join(s.dir, fmt.Sprintf("data-%d", i+1)), "tolerated_vms": 1, "metrics_listen": freeAddr(ip), "memory_mib": 284,
		})
		s.launch(s.gateways[i], fmt.Sprintf("vm-%d-gateway", i+1), map[string]any{
			"role": "gateway", "zone": zone, "controllers": seeds, "callers_listen": s.gateways[i].addr, "ready_listen": s.gateways[i].ready,
			"metrics_listen": freeAddr(ip), "memory_mib": 284,
		})
	}
	s.configure(route)
}

func (s *site) launch(p *process, id string, settings map[string]any) {
	settings["id"] = id
	path := filepath.Join(s.dir, id+".json")
	data, err := json.Marshal(settings)
	must(err == nil && os.WriteFile(path, data, 0o600) == nil, "cannot write settings")
	p.log = filepath.Join(s.dir, id+".log")
	p.args = []string{"fleet", "--settings", path}
	s.run(p)
}

func (s *site) run(p *process) {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err == nil, "cannot write a log: %v", err)
	defer out.Close()
	p.command = exec.Command(s.daemon, p.args...)
	p.command.Stdout, p.command.Stderr = out, out
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(p.command.Start() == nil, "cannot start %s", s.daemon)
}

func (s *site) close() {
	for _, w := range s.workers {
		w.close()
	}
	for _, p := range append(slices.Clone(s.controllers), s.gateways...) {
		if p.command != nil && p.command.Process != nil {
			_ = p.command.Process.Signal(syscall.SIGCONT)
			_ = p.command.Process.Kill()
			_ = p.command.Wait()
		}
		if keep := os.Getenv("KEEP_LOGS"); keep != "" {
			if data, err := os.ReadFile(p.log); err == nil {
				_ = os.WriteFile(filepath.Join(keep, filepath.Base(p.log)), data, 0o600)
			}
		}
	}
}

// configure sends a complete configuration with one queue until it is acknowledged.
func (s *site) configure(route map[string]any) {
	s.version++
	full := map[string]any{
		"name": "plans", "host": host, "path-prefix": prefix, "kind": "non_idempotent", "timeout-ms": 3000,
		"target-completion-ms": 1000, "priority": 0, "service": service, "max-attempts": 3, "slack-factor": 2.0,
	}
	maps.Copy(full, route)
	body, _ := json.Marshal(map[string]any{
		"version": s.version, "routes": []any{full},
		"services": []any{map[string]any{"name": service, "health-path": "/healthz", "max-conns": 64, "protocol": "h1", "tls": false, "enforces-capacity": true, "standby": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	for i := 0; ; i++ {
		must(time.Since(began) < 30*time.Second && s.ctx.Err() == nil, "the configuration is not acknowledged")
		if status, _ := s.send(http.MethodPut, "http://"+s.controllers[i%3].addr+"/config", body); status == http.StatusOK {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	logf("configuration %d acknowledged", s.version)
}

func (s *site) send(method, url string, body []byte) (status int, answer []byte) {
	ctx, cancel := context.WithTimeout(s.ctx, 3*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	must(err == nil, "%v", err)
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", "3000")
	response, err := s.http.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

// submit hands a job in until it is accepted, and returns when it was.
func (s *site) submit(id string, step map[string]any) time.Time {
	body, _ := json.Marshal(map[string]any{"spec": "spec of " + id, "phases": []any{step}})
	for i := 0; ; i++ {
		must(s.ctx.Err() == nil, "the job is not accepted")
		status, _ := s.send(http.MethodPost, "http://"+s.gateways[i%3].addr+prefix+id, body)
		logf("caller: POST %s answered %d", id, status)
		if status == http.StatusOK {
			return time.Now()
		}
		must(status != http.StatusBadRequest && status != http.StatusNotFound, "the job is refused for good")
		time.Sleep(200 * time.Millisecond)
	}
}

// state asks a gateway for a job's state.
func (s *site) state(id string) string {
	status, body := s.send(http.MethodGet, "http://"+s.gateways[0].addr+prefix+id, nil)
	var decoded struct{ State string }
	if status != http.StatusOK || json.Unmarshal(body, &decoded) != nil {
		return fmt.Sprintf("status %d", status)
	}
	return decoded.State
}

// pending asks a gateway for the number of jobs that have not begun.
func (s *site) pending() (int, bool) {
	status, body := s.send(http.MethodGet, "http://"+s.gateways[0].addr+prefix, nil)
	var decoded struct{ Pending *int }
	if status != http.StatusOK || json.Unmarshal(body, &decoded) != nil || decoded.Pending == nil {
		return 0, false
	}
	return *decoded.Pending, true
}

func (s *site) sleep(d time.Duration) {
	select {
	case <-s.ctx.Done():
	case <-time.After(d):
	}
}

// waitFor waits until a condition on the workers' states holds.
func (s *site) waitFor(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end) && s.ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		s.mu.Lock()
		ok := condition()
		s.mu.Unlock()
		if ok {
			return true
		}
	}
	return false
}

// run is one run of a task on a worker.
type run struct {
	worker     *worker
	task       string
	attempt    uint32
	checkpoint string // that the start carried
	shape      shape
	startedAt  time.Time
	endedAt    time.Time // zero while it runs
	how        string
	gang       *gang

	workFrom time.Time // when its work goes on; zero while its gang is not complete
	resumed  time.Duration
	saved    string // latest value, as listed
	savedAt  time.Duration
	stopping time.Time
}

// gang is one run of a gang: the members that share an attempt number.
type gang struct {
	size    int
	members map[string]*run
	ended   bool
}

// worked returns the work that a run has done, with what its checkpoint holds.
func (r *run) worked(now time.Time) time.Duration {
	if r.workFrom.IsZero() || now.Before(r.workFrom) {
		return r.resumed
	}
	return r.resumed + now.Sub(r.workFrom)
}

// Values of checkpoints hold the work that was done, and the member that wrote them.
func checkpointValue(r *run, worked time.Duration) string {
	parts := strings.Split(r.task, ".")
	return fmt.Sprintf("%08x%s", worked.Milliseconds(), parts[len(parts)-1])
}

func checkpointWorked(value string) time.Duration {
	var ms int64
	if len(value) < 8 {
		return 0
	}
	_, _ = fmt.Sscanf(value[:8], "%08x", &ms)
	return time.Duration(ms) * time.Millisecond
}

type ending struct {
	number  uint64
	task    string
	attempt uint32
	how     string
	saved   string
}

// worker is a stand-in for one worker. The fields after life are those of its present process.
type worker struct {
	site     *site
	id, zone string
	labels   []string
	cpu      int64
	listener net.Listener
	server   *http.Server
	link     *link
	daemons  []string // addresses for the first heartbeats

	life       int
	up         bool
	born       int64
	startedAt  time.Time
	token      uint64
	leaseUntil int64
	running    map[string]*run
	closed     map[string]uint32
	ends       []ending
	lastEnd    uint64
	sequence   int
	draining   bool
	drainAcked time.Time
	client     *http.Client // for calls to daemons
	named      string       // address for the next heartbeat
	stop       context.CancelFunc
}

// addWorker starts a worker; it registers itself by its heartbeats.
func (s *site) addWorker(id string, cpu int64, labels ...string) *worker {
	w := &worker{site: s, id: id, zone: "zone-1", labels: labels, cpu: cpu, link: newLink()}
	for i := range s.controllers {
		w.daemons = append(w.daemons, s.controllers[(i+len(s.workers))%3].addr)
	}
	l, err := net.Listen("tcp", "127.0.2.1:0")
	must(err == nil, "%v", err)
	w.listener = &linkListener{l, w.link}
	mux := http.NewServeMux()
	for _, call := range []string{"/run-start", "/run-stop", "/hold", "/pace"} {
		mux.HandleFunc("POST "+call, w.serve)
	}
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(w.listener) }()
	s.mu.Lock()
	s.workers = append(s.workers, w)
	s.mu.Unlock()
	w.begin()
	return w
}

// begin starts a process of the worker, which knows nothing of the one before.
func (w *worker) begin() {
	w.site.mu.Lock()
	defer w.site.mu.Unlock()
	ctx, stop := context.WithCancel(w.site.ctx)
	w.life++
	w.up, w.startedAt, w.stop = true, time.Now(), stop
	w.born = max(w.startedAt.UnixMilli(), w.born+1)
	w.token, w.leaseUntil, w.lastEnd, w.sequence = 0, 0, 0, 0
	w.running, w.closed, w.ends = map[string]*run{}, map[string]uint32{}, nil
	w.draining, w.drainAcked, w.named = false, time.Time{}, ""
	w.client = &http.Client{Transport: &http.Transport{DialContext: w.link.dial}}
	logf("worker %s starts, life %d, born %d", w.id, w.life, w.born)
	go w.heartbeats(ctx, w.life)
	go w.tick(ctx, w.life)
}

// crash ends the process at once: its connections break and all that it knew is gone.
func (w *worker) crash() {
	w.site.mu.Lock()
	w.up = false
	w.stop()
	logf("worker %s crashes", w.id)
	now := time.Now()
	for _, r := range slices.Collect(maps.Values(w.running)) {
		w.end(r, now, "lost")
	}
	w.ends = nil
	w.site.mu.Unlock()
	w.link.breakAll()
}

func (w *worker) close() {
	w.stop()
	_ = w.server.Close()
}

func (w *worker) clock(now time.Time) int64 { return now.Sub(w.startedAt).Milliseconds() + 1 }

// tick moves the runs of one life on.
func (w *worker) tick(ctx context.Context, life int) {
	for ; ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		w.site.mu.Lock()
		if w.life == life && w.up {
			w.advance(time.Now())
		}
		w.site.mu.Unlock()
	}
}

// advance ends the runs whose time has come; the site's lock must be held.
func (w *worker) advance(now time.Time) {
	if w.leaseUntil != 0 && w.clock(now) > w.leaseUntil {
		w.leaseUntil = 0
		for _, r := range slices.Collect(maps.Values(w.running)) {
			w.end(r, now, "lapsed")
		}
	}
	for _, r := range slices.Collect(maps.Values(w.running)) {
		if !r.endedAt.IsZero() {
			continue
		}
		worked := r.worked(now)
		switch {
		case !r.stopping.IsZero() && now.Sub(r.stopping) >= stopTime:
			if r.shape.saves && worked > r.savedAt {
				r.saved, r.savedAt = checkpointValue(r, worked), worked
			}
			w.end(r, now, "stopped")
		case r.gang != nil && r.workFrom.IsZero():
			if now.Sub(r.startedAt) > gangTimeout {
				w.end(r, now, "alone")
			}
		case r.shape.fails && worked >= r.shape.work/2:
			w.end(r, now, "failed")
		case r.shape.work > 0 && worked >= r.shape.work:
			w.end(r, now, "done")
		case r.shape.saves && worked >= r.savedAt+checkpointWork:
			r.saved, r.savedAt = checkpointValue(r, worked), worked
		}
	}
}

// end ends a run, and with it the others of its gang.
func (w *worker) end(r *run, now time.Time, how string) {
	if !r.endedAt.IsZero() {
		return
	}
	r.endedAt, r.how = now, how
	delete(w.running, r.task)
	w.closed[r.task] = max(w.closed[r.task], r.attempt)
	w.lastEnd++
	w.ends = append(w.ends, ending{w.lastEnd, r.task, r.attempt, how, r.saved})
	logf("worker %s: %s run %d ended %s, saved %q", w.id, r.task, r.attempt, how, r.saved)
	if r.gang == nil || r.workFrom.IsZero() {
		return
	}
	for _, other := range r.gang.members {
		if how == "done" {
			other.worker.end(other, now, "done")
		} else {
			other.worker.end(other, now, "broken")
		}
	}
}

type call struct {
	Task       string `json:"task"`
	Attempt    uint32 `json:"attempt"`
	Spec       string `json:"spec"`
	Until      int64  `json:"until-ms"`
	Token      uint64 `json:"fencing-token"`
	Checkpoint string `json:"checkpoint"`
	Acked      uint64 `json:"acked-through"`
	Wait       int64  `json:"wait-ms"`
	Percent    int    `json:"percent"`
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	var c call
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Header.Get("Expect-Instance") != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.site.mu.Lock()
	defer w.site.mu.Unlock()
	if !w.up {
		panic(http.ErrAbortHandler)
	}
	now := time.Now()
	w.advance(now)
	answer := map[string]any{"clock-ms": w.clock(now), "born": w.born}
	status := http.StatusOK
	if c.Token < w.token {
		status, answer["reason"] = http.StatusConflict, "fence"
	} else {
		w.token = c.Token
		switch r.URL.Path {
		case "/run-start":
			if reason := w.startRun(c, now); reason != "" {
				status, answer["reason"] = http.StatusConflict, reason
			}
		case "/run-stop":
			w.stopRun(c, now)
		case "/hold":
			w.hold(c, answer)
		}
	}
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(answer)
}

func (w *worker) extend(until int64, now time.Time) {
	w.leaseUntil = max(w.leaseUntil, min(until, w.clock(now)+maxLease.Milliseconds()))
}

func (w *worker) startRun(c call, now time.Time) (refused string) {
	defer func() {
		if refused != "" {
			logf("worker %s: start of %s run %d refused: %s", w.id, c.Task, c.Attempt, refused)
		}
	}()
	if c.Until <= w.clock(now) {
		return "late"
	}
	w.extend(c.Until, now)
	known := w.running[c.Task]
	switch {
	case known != nil && known.attempt == c.Attempt:
		return ""
	case known != nil || c.Attempt <= w.closed[c.Task]:
		return "old"
	}
	sh := w.site.shape(c.Task, c.Attempt)
	used := sh.cpu
	for _, r := range w.running {
		used += r.shape.cpu
	}
	if used > w.cpu {
		return "room"
	}
	r := &run{worker: w, task: c.Task, attempt: c.Attempt, checkpoint: c.Checkpoint, shape: sh, startedAt: now, saved: c.Checkpoint}
	r.resumed = checkpointWorked(c.Checkpoint)
	r.savedAt = r.resumed
	if sh.members > 0 {
		r.join(c)
	} else {
		r.begin(now)
	}
	w.running[c.Task] = r
	w.site.runs = append(w.site.runs, r)
	logf("worker %s: %s run %d starts, checkpoint %q, token %d", w.id, c.Task, c.Attempt, c.Checkpoint, c.Token)
	if g := r.gang; g != nil && len(g.members) == g.size {
		for _, member := range g.members {
			member.begin(now)
		}
	}
	return ""
}

// begin starts the work of a run.
func (r *run) begin(now time.Time) {
	r.workFrom = now
	if r.checkpoint != "" {
		r.workFrom = now.Add(restoreTime)
	}
}

// join adds a run to the run of its gang.
func (r *run) join(c call) {
	key := fmt.Sprintf("%s/%d", c.Task[:strings.LastIndex(c.Task, ".")], c.Attempt)
	g := r.worker.site.gangs[key]
	if g == nil {
		g = &gang{size: r.shape.members, members: map[string]*run{}}
		r.worker.site.gangs[key] = g
	}
	g.members[c.Task] = r
	r.gang = g
}

func (w *worker) stopRun(c call, now time.Time) {
	w.closed[c.Task] = max(w.closed[c.Task], c.Attempt)
	if r := w.running[c.Task]; r != nil && r.attempt == c.Attempt && r.stopping.IsZero() {
		logf("worker %s: %s run %d is told to stop", w.id, c.Task, c.Attempt)
		r.stopping = now
	}
}

// hold renews the lease and lists what runs and has ended; it waits for an end if there is none.
func (w *worker) hold(c call, answer map[string]any) {
	w.ends = slices.DeleteFunc(w.ends, func(e ending) bool {
		if e.number <= c.Acked {
			logf("worker %s: end %d (%s run %d %s) is taken note of", w.id, e.number, e.task, e.attempt, e.how)
		}
		return e.number <= c.Acked
	})
	if c.Until > 0 {
		w.extend(c.Until, time.Now())
	}
	life := w.life
	for until := time.Now().Add(time.Duration(c.Wait) * time.Millisecond); len(w.ends) == 0 && time.Now().Before(until) && w.life == life && w.up; {
		w.site.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		w.site.mu.Lock()
	}
	if w.life != life || !w.up {
		panic(http.ErrAbortHandler)
	}
	now := time.Now()
	running, finished := [][]any{}, [][]any{}
	for _, r := range w.running {
		percent := 100
		if r.shape.work > 0 {
			percent = min(99, int(100*r.worked(now)/r.shape.work))
		}
		running = append(running, []any{r.task, r.attempt, r.saved, percent, 1})
	}
	for _, e := range w.ends {
		finished = append(finished, []any{e.number, e.task, e.attempt, e.how, e.saved})
	}
	answer["clock-ms"], answer["running"], answer["finished"] = w.clock(now), running, finished
}

// heartbeats reports one life of the worker to the daemons until it ends. It tries the next daemon after a failure.
func (w *worker) heartbeats(ctx context.Context, life int) {
	next := 0
	for ctx.Err() == nil {
		w.site.mu.Lock()
		addr, client := w.named, w.client
		if addr == "" {
			addr = w.daemons[next%len(w.daemons)]
		}
		w.sequence++
		body, _ := json.Marshal(w.report())
		draining := w.draining
		w.site.mu.Unlock()
		answer, err := w.call(ctx, client, http.MethodPut, addr, body)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			logf("worker %s: heartbeat to %s failed: %v", w.id, addr, err)
			next++
			w.site.mu.Lock()
			if w.life == life {
				w.named = ""
			}
			w.site.mu.Unlock()
			time.Sleep(20 * time.Millisecond)
			continue
		}
		var decoded struct {
			Addr string `json:"heartbeat-addr"`
		}
		_ = json.Unmarshal(answer, &decoded)
		w.site.mu.Lock()
		if w.life == life {
			w.named = decoded.Addr
		}
		if draining && w.drainAcked.IsZero() && w.life == life {
			w.drainAcked = time.Now()
			logf("worker %s: draining is acknowledged", w.id)
		}
		w.site.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

// report is the worker's report about itself; the site's lock must be held.
func (w *worker) report() map[string]any {
	state := "ready"
	report := map[string]any{
		"service": service, "addr": w.listener.Addr().String(), "zone": w.zone, "version": "v1", "slots": 8, "cold-left-ms": 0, "born": w.born,
		"capacity": map[string]int64{"cpu": w.cpu, "mem-mb": 256000, "gpu": 0}, "labels": w.labels, "clock-ms": w.clock(time.Now()), "seq": w.sequence,
	}
	if w.draining {
		state = "draining"
		report["drain-remaining-ms"] = drainTime.Milliseconds()
	}
	report["state"] = state
	return report
}

// leave ends the present life as planned: the worker reports that it drains, serves on for a while, and deregisters.
// beforeLast is called before the deregistration, which the worker sends again to the other daemons if it is not
// acknowledged; it ends after patience at the latest.
func (w *worker) leave(beforeLast func(), patience time.Duration) {
	w.site.mu.Lock()
	w.draining = true
	w.site.mu.Unlock()
	must(w.site.waitFor(10*time.Second, func() bool { return !w.drainAcked.IsZero() }), "draining is not acknowledged")
	w.site.sleep(drainTime + 200*time.Millisecond)
	w.site.mu.Lock()
	w.stop() // no more heartbeats
	addr, client := w.named, w.client
	w.site.mu.Unlock()
	beforeLast()
	for end, i := time.Now().Add(patience), 0; time.Now().Before(end); i++ {
		_, err := w.call(w.site.ctx, client, http.MethodDelete, addr, nil)
		logf("worker %s: DELETE to %s: %v", w.id, addr, err)
		if err == nil {
			break
		}
		addr = w.daemons[i%len(w.daemons)]
	}
	w.site.mu.Lock()
	defer w.site.mu.Unlock()
	w.up = false
	now := time.Now()
	for _, r := range slices.Collect(maps.Values(w.running)) {
		w.end(r, now, "lost")
	}
	w.ends = nil
	logf("worker %s ends", w.id)
	client.CloseIdleConnections()
}

var errNotAcknowledged = errors.New("not acknowledged")

// call makes one call to a daemon; it fails after a second without a response.
func (w *worker) call(ctx context.Context, client *http.Client, method, addr string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+addr+"/instances/"+w.id, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode/100 != 2 {
		err = fmt.Errorf("%w: status %d", errNotAcknowledged, response.StatusCode)
	}
	return answer, err
}

// link is the network link of one worker. While it is cut, nothing passes in either direction; what the worker has
// sent is held up, like by a kernel that sends it again, and is delivered after the cut.
type link struct {
	mu    sync.Mutex
	isCut bool
	heal  chan struct{} // closed when the cut ends
	conns map[*linkConn]bool
}

func newLink() *link { return &link{conns: map[*linkConn]bool{}} }

func (l *link) cut(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut, l.heal = true, make(chan struct{})
	logf("worker %s is cut off", id)
}

// end ends a cut. Connections that daemons opened before are broken; what the worker had sent arrives after lag.
func (l *link) end(id string, lag time.Duration) {
	l.mu.Lock()
	logf("worker %s is no longer cut off", id)
	l.isCut = false
	close(l.heal)
	conns := slices.Collect(maps.Keys(l.conns))
	l.mu.Unlock()
	for _, c := range conns {
		go c.release(id, lag)
	}
}

// breakAll resets all connections, as when the process ends.
func (l *link) breakAll() {
	l.mu.Lock()
	conns := slices.Collect(maps.Keys(l.conns))
	l.mu.Unlock()
	for _, c := range conns {
		_ = c.Conn.Close()
	}
}

func (l *link) state() (isCut bool, heal chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isCut, l.heal
}

func (l *link) track(conn net.Conn, outbound bool) *linkConn {
	c := &linkConn{Conn: conn, link: l, outbound: outbound}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	return c
}

// dial opens a connection to a daemon; it waits while the link is cut.
func (l *link) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	if isCut, heal := l.state(); isCut {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-heal:
		}
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return l.track(conn, true), nil
}

type linkListener struct {
	net.Listener
	link *link
}

// Accept returns the next connection from a daemon.
func (l *linkListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.link.track(conn, false), nil
}

type linkConn struct {
	net.Conn
	link     *link
	outbound bool

	mu     sync.Mutex
	held   []byte
	closed bool // by the worker
}

// Read returns what arrives while the link is not cut.
func (c *linkConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if isCut, heal := c.link.state(); isCut {
		<-heal
		if !c.outbound {
			return 0, io.ErrUnexpectedEOF // lost with the connection, which the daemon has given up
		}
	}
	return n, err
}

// Write sends, or holds the bytes up while the link is cut.
func (c *linkConn) Write(b []byte) (int, error) {
	if isCut, _ := c.link.state(); isCut {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.held = append(c.held, b...)
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection; what is held up is still delivered.
func (c *linkConn) Close() error {
	c.mu.Lock()
	c.closed = true
	waits := len(c.held) > 0
	c.mu.Unlock()
	if waits {
		return nil
	}
	c.link.mu.Lock()
	delete(c.link.conns, c)
	c.link.mu.Unlock()
	return c.Conn.Close()
}

// roundTrip is that between two zones.
const roundTrip = time.Millisecond

// release delivers after a cut what the worker sent before, and then, a round trip later, that it has closed.
func (c *linkConn) release(id string, lag time.Duration) {
	c.mu.Lock()
	held, closed := c.held, c.closed
	c.held = nil
	c.mu.Unlock()
	if !c.outbound {
		_ = c.Conn.Close()
		return
	}
	if len(held) > 0 {
		time.Sleep(lag)
		_, err := c.Conn.Write(held)
		logf("worker %s: held up until now: %s (%v)", id, strings.SplitN(string(held), "\r\n", 2)[0], err)
		time.Sleep(roundTrip)
	}
	if closed {
		_ = c.Conn.Close()
	}
}

// cases are the scenarios by name. Each returns how the rule was broken.
var cases = map[string]func(*site) []string{
	"late-leave":      lateLeave,
	"gang-checkpoint": gangCheckpoint,
	"gang-budget":     gangBudget,
	"pending":         pendingJobs,
	"never-ran":       neverRan,
}

func (s *site) addWorkers(n int) {
	for i := range n {
		s.addWorker(fmt.Sprintf("i-%04d", i+1), 64000, "a", fmt.Sprintf("r-%d", i/8))
	}
	s.sleep(4 * time.Second) // all have registered
}

// overlaps returns the pairs of runs of one task that ran at the same time; the lock must be held.
func (s *site) overlaps() []string {
	var found []string
	for i, a := range s.runs {
		for _, b := range s.runs[i+1:] {
			if a.task == b.task && (a.endedAt.IsZero() || b.startedAt.Before(a.endedAt)) {
				found = append(found, fmt.Sprintf("TWICE: %s run %d on %s (%s to %s) and run %d on %s (from %s) at the same time",
					a.task, a.attempt, a.worker.id, stamp(a.startedAt), stamp(a.endedAt), b.attempt, b.worker.id, stamp(b.startedAt)))
			}
		}
	}
	return found
}

func stamp(t time.Time) string {
	if t.IsZero() {
		return "the end"
	}
	return fmt.Sprintf("%.3f", t.Sub(began).Seconds())
}

// lateLeave: a worker leaves as planned and starts again under its id. A cut holds up the deregistration of its first
// life until the second one is at work; then the worker is cut off again.
func lateLeave(s *site) []string {
	const tasks = 60
	s.shape = func(task string, _ uint32) shape {
		if strings.HasSuffix(task, "1") || strings.HasSuffix(task, "3") || strings.HasSuffix(task, "5") {
			return shape{work: 14 * time.Second, cpu: 10_000}
		}
		return shape{work: 2500 * time.Millisecond, cpu: 10_000}
	}
	s.start(nil)
	s.addWorkers(7)
	w := s.workers[0]
	var cutAt time.Time
	w.leave(func() {
		if s.trouble {
			cutAt = time.Now()
			w.link.cut(w.id)
		}
	}, 3*time.Second)
	s.sleep(time.Second)
	w.begin()
	if s.trouble {
		s.sleep(5*time.Second - time.Since(cutAt))
		w.link.end(w.id, 700*time.Millisecond)
	}
	healedAt := time.Now()
	s.sleep(150 * time.Millisecond)
	s.submit("00000000000000a1", map[string]any{"count": tasks, "cpu": 10_000, "mem-mb": 1024, "estimate-ms": 5000})
	must(s.waitFor(5*time.Second, func() bool { return len(w.running) > 0 }), "nothing runs on the worker")
	if s.trouble {
		s.sleep(1200*time.Millisecond - time.Since(healedAt))
		w.link.cut(w.id)
		s.sleep(5500 * time.Millisecond)
		w.link.end(w.id, 200*time.Millisecond)
	}
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end) && s.state("00000000000000a1") != "completed"; {
		s.sleep(time.Second)
	}
	logf("caller: the job is %s", s.state("00000000000000a1"))
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.overlaps()
}

// gangCheckpoint: a worker crashes under a gang whose members write checkpoints.
func gangCheckpoint(s *site) []string {
	s.shape = func(string, uint32) shape { return shape{work: 9 * time.Second, cpu: 40_000, members: 4, saves: true} }
	s.start(nil)
	s.addWorkers(8)
	const id = "00000000000000b2"
	s.submit(id, map[string]any{"count": 4, "cpu": 40_000, "mem-mb": 1024, "estimate-ms": 9000, "gang": true, "checkpointing": true})
	must(s.waitFor(10*time.Second, func() bool { return len(s.runs) == 4 && !s.runs[3].workFrom.IsZero() }), "the gang does not start")
	s.sleep(4300 * time.Millisecond)
	if s.trouble {
		w := s.runs[0].worker
		w.crash()
		s.sleep(4500 * time.Millisecond)
		w.begin()
	}
	for end := time.Now().Add(45 * time.Second); time.Now().Before(end) && s.state(id) != "completed"; {
		s.sleep(500 * time.Millisecond)
	}
	logf("caller: the job is %s", s.state(id))
	s.mu.Lock()
	defer s.mu.Unlock()
	byAttempt := map[uint32]map[string][]string{}
	for _, r := range s.runs {
		if byAttempt[r.attempt] == nil {
			byAttempt[r.attempt] = map[string][]string{}
		}
		byAttempt[r.attempt][r.checkpoint] = append(byAttempt[r.attempt][r.checkpoint], r.task)
	}
	var broken []string
	for attempt, values := range byAttempt {
		if len(values) > 1 {
			broken = append(broken, fmt.Sprintf("UNASKED: the members of run %d of one gang were told to start with different checkpoints: %v", attempt, values))
		}
	}
	return broken
}

// gangBudget: a gang fails each time, with another member each time.
func gangBudget(s *site) []string {
	const limit = 2
	s.shape = func(task string, attempt uint32) shape {
		return shape{work: 2 * time.Second, cpu: 40_000, members: 3, fails: s.trouble && strings.HasSuffix(task, fmt.Sprintf(".%d", (attempt-1)%3))}
	}
	s.start(map[string]any{"max-attempts": limit})
	s.addWorkers(6)
	const id = "00000000000000c3"
	s.submit(id, map[string]any{"count": 3, "cpu": 40_000, "mem-mb": 1024, "estimate-ms": 2000, "gang": true})
	state := ""
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end) && state != "completed" && state != "failed"; {
		s.sleep(500 * time.Millisecond)
		state = s.state(id)
	}
	logf("caller: the job is %s", state)
	s.mu.Lock()
	defer s.mu.Unlock()
	var broken []string
	for _, r := range s.runs {
		failed := 0
		for _, other := range s.runs {
			if other.how == "failed" && other.endedAt.Before(r.startedAt) {
				failed++
			}
		}
		if failed >= limit {
			broken = append(broken, fmt.Sprintf("BUDGET: %s run %d starts at %s, after the gang has failed %d times; max-attempts is %d", r.task, r.attempt, stamp(r.startedAt), failed, limit))
		}
	}
	return broken
}

// pendingJobs: a worker is cut off just before jobs are submitted; those that are started there do not begin.
func pendingJobs(s *site) []string {
	const (
		workers = 22
		cpu     = 20_000 // three jobs fill a worker
		cutTime = 6 * time.Second
	)
	s.shape = func(string, uint32) shape { return shape{work: 15 * time.Second, cpu: cpu} }
	s.start(nil)
	s.addWorkers(workers)
	w, cutAt := s.workers[0], time.Now()
	if s.trouble {
		w.link.cut(w.id)
	}
	accepted := map[string]time.Time{}
	for i := range 3 * workers {
		id := fmt.Sprintf("00000000000d%04d", i)
		accepted[id] = s.submit(id, map[string]any{"count": 1, "cpu": cpu, "mem-mb": 1024, "estimate-ms": 15_000})
	}
	var broken []string
	for time.Since(cutAt) < cutTime {
		s.sleep(50 * time.Millisecond)
		asked := time.Now()
		pending, ok := s.pending()
		if !ok || time.Since(cutAt) >= cutTime {
			continue
		}
		waiting := 0
		s.mu.Lock()
		for id, at := range accepted {
			begun := slices.ContainsFunc(s.runs, func(r *run) bool { return strings.HasPrefix(r.task, id+".") })
			if !begun && asked.Sub(at) > visibleTime+2*time.Second {
				waiting++
			}
		}
		s.mu.Unlock()
		logf("caller: pending is %d; %d jobs that were accepted over 5 s ago have not begun", pending, waiting)
		if 2*pending < waiting {
			broken = append(broken, fmt.Sprintf("MIXED: at %s pending is %d, and %d jobs that were accepted over 5 s ago have not begun", stamp(asked), pending, waiting))
		}
	}
	if s.trouble {
		w.link.end(w.id, 200*time.Millisecond)
	}
	return broken
}

// goDark ends the worker's process without a sign, like a VM that loses power: its connections go silent.
func (w *worker) goDark() {
	w.link.cut(w.id)
	w.site.mu.Lock()
	defer w.site.mu.Unlock()
	w.up = false
	w.stop()
	logf("worker %s crashes", w.id)
	now := time.Now()
	for _, r := range slices.Collect(maps.Values(w.running)) {
		w.end(r, now, "lost")
	}
	w.ends = nil
}

// comeBack starts the next process after goDark.
func (w *worker) comeBack() {
	w.link.end(w.id, 0)
	w.begin()
}

// cancel cancels a job and waits until the worker has nothing left of it.
func (s *site) cancel(id string, w *worker) {
	status, _ := s.send(http.MethodDelete, "http://"+s.gateways[0].addr+prefix+id, nil)
	logf("caller: DELETE %s answered %d", id, status)
	must(s.waitFor(3*time.Second, func() bool { return len(w.running) == 0 && len(w.ends) == 0 }), "a cancelled job runs on")
}

// neverRan: three workers crash one after the other and are back within a second. Each of them is silent when the
// start of the same job is sent to it, so that the job never runs.
func neverRan(s *site) []string {
	s.shape = func(task string, _ uint32) shape {
		if strings.HasPrefix(task, "00000000000000f") {
			return shape{cpu: 60_000}
		}
		return shape{work: 5 * time.Second, cpu: 40_000}
	}
	s.start(nil)
	var special []*worker
	for i := range 3 {
		special = append(special, s.addWorker(fmt.Sprintf("i-000%d", i+1), 64000, "b", "r-0"))
	}
	for i := range 19 {
		s.addWorker(fmt.Sprintf("i-01%02d", i), 64000, "a", fmt.Sprintf("r-%d", 1+i/8))
	}
	s.sleep(4 * time.Second)
	for _, id := range []string{"00000000000000f1", "00000000000000f2"} {
		s.submit(id, map[string]any{"count": 1, "cpu": 60_000, "mem-mb": 1024, "estimate-ms": 9000, "required-label": "b", "long-running": true})
		s.sleep(300 * time.Millisecond)
	}
	must(len(special[0].running) == 1 && len(special[1].running) == 1, "the long-running jobs are not where they are expected")
	s.mu.Lock()
	fillers := map[*worker]string{}
	for _, r := range s.runs {
		fillers[r.worker] = strings.SplitN(r.task, ".", 2)[0]
	}
	s.mu.Unlock()
	const id = "00000000000000e5"
	job := map[string]any{"count": 1, "cpu": 40_000, "mem-mb": 1024, "estimate-ms": 5000, "required-label": "b"}
	if s.trouble {
		special[2].goDark()
	}
	s.submit(id, job)
	s.sleep(150 * time.Millisecond)
	for _, next := range []int{1, 0} {
		s.cancel(fillers[special[next]], special[next])
		if s.trouble {
			special[next].goDark()
			s.sleep(350 * time.Millisecond)
			special[next+1].comeBack()
			s.sleep(250 * time.Millisecond)
		}
	}
	s.sleep(500 * time.Millisecond)
	if s.trouble {
		special[0].comeBack()
	}
	return s.failedWithoutCause(id)
}

// failedWithoutCause waits until the job has ended, and reports it if it is shown as failed and no run has failed.
func (s *site) failedWithoutCause(id string) []string {
	state := ""
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end) && state != "completed" && state != "failed"; {
		s.sleep(500 * time.Millisecond)
		state = s.state(id)
	}
	logf("caller: the job is %s", state)
	s.mu.Lock()
	defer s.mu.Unlock()
	failed, runs := 0, 0
	for _, r := range s.runs {
		if strings.HasPrefix(r.task, id+".") {
			runs++
			if r.how == "failed" {
				failed++
			}
		}
	}
	if state == "failed" && failed == 0 {
		return []string{fmt.Sprintf("LOST: job %s is shown as failed; %d runs of it have begun, and none has ended failed", id, runs)}
	}
	return nil
}
