package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the platform.
const (
	holdMaxMs   = 10_000
	gangMs      = 3_000
	cancelMs    = 3_000
	stopMs      = 400
	heartbeatMs = 1_000
	restore     = 250 * time.Millisecond
	saveEvery   = time.Second
)

// step is one entry of a job's phases.
type step struct {
	Count         int    `json:"count"`
	CPU           int64  `json:"cpu,omitempty"`
	Mem           int64  `json:"mem-mb,omitempty"`
	EstimateMs    int64  `json:"estimate-ms,omitempty"`
	After         []int  `json:"after,omitempty"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
	Gang          bool   `json:"gang,omitempty"`
	MaxPerServer  int    `json:"max-per-server,omitempty"`
	RequiredLabel string `json:"required-label,omitempty"`
	LongRunning   bool   `json:"long-running,omitempty"`
	Image         string `json:"image,omitempty"`
	TargetMs      int64  `json:"target-ms,omitempty"`
	Utilization   bool   `json:"utilization,omitempty"`

	work  time.Duration // of one task
	fails int           // the first runs of each task that fail
}

type job struct {
	ID       string `json:"-"`
	Prefix   string `json:"-"`
	Spec     string `json:"spec"`
	Steps    []step `json:"phases"`
	Repeats  int    `json:"repeats,omitempty"`
	FirstMs  int64  `json:"first-ms,omitempty"`
	Interval int64  `json:"interval-ms,omitempty"`

	maxAttempts int
	accepted    time.Time
	cancelAck   time.Time
	lastState   string
	states      map[string]bool
}

// world is what the stand-ins of the platform know together. Its lock guards all workers and jobs.
type world struct {
	mu         sync.Mutex
	jobs       map[string]*job
	workers    []*worker
	control    func() []string
	tasks      map[string]*taskHistory
	saves      map[string]save // by checkpoint
	saveSeq    int
	violations []string
	lateShare  float64

	// crashAtStart has a worker crash that gets a start, and reports whether it does. The start is neither answered nor carried out.
	crashAtStart func(k *worker, task string) bool
}

type save struct {
	owner string // task, or job.K.STEP of a gang
	done  time.Duration
}

type taskHistory struct {
	starts    int
	doneEnds  []*ended
	failEnds  []*ended
	startedAt []time.Time
}

func (w *world) task(name string) *taskHistory {
	h := w.tasks[name]
	if h == nil {
		h = &taskHistory{}
		w.tasks[name] = h
	}
	return h
}

func (w *world) violate(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	w.violations = append(w.violations, text)
	record("BROKEN %s", text)
}

// run is one run of a task on a worker.
type run struct {
	task      string
	attempt   uint32
	job       *job
	k, step   int
	index     int
	since     time.Time // when it began to work; zero while a gang waits
	present   time.Time
	done      time.Duration // work that the checkpoint holds
	saved     string
	savedDone time.Duration
	fails     bool
	pace      int
}

type ended struct {
	number  int
	task    string
	attempt uint32
	how     string
	saved   string
	at      time.Time
	lapses  int // of the worker's lease when the run ended
	noted   bool
	starts  int // of the task when the run ended
}

// worker is one stand-in of a worker. A crash discards its state, and it starts again under the same id.
type worker struct {
	w      *world
	id     string
	zone   string
	rack   string
	label  string
	cpu    int64
	mem    int64
	addr   string
	server *http.Server

	up        bool
	cut       bool
	born      int64
	start     time.Time
	token     uint64
	until     int64
	lapses    int
	running   map[string]*run
	closed    map[string]uint32
	ends      []*ended
	lastEnd   int
	seq       int
	draining  bool
	drainAck  time.Time
	conns     map[net.Conn]bool
	life      int
	reach     string
	rate      float64 // speed of the clock; 0 means 1
	longLease bool    // a call has asked for a longer lease than the worker grants
	unguarded bool
	vary      bool // each new process may have another id, label or capacity
	proxy     *proxy
}

func (w *world) addWorker(id, zone, rack, label string, cpu, mem int64) *worker {
	k := &worker{w: w, id: id, zone: zone, rack: rack, label: label, cpu: cpu, mem: mem, addr: freeAddr()}
	k.reach = k.addr
	if useProxies {
		k.proxy = newProxy(k.addr)
		k.reach = k.proxy.addr
	}
	w.mu.Lock()
	w.workers = append(w.workers, k)
	w.mu.Unlock()
	k.boot()
	return k
}

// reset gives the worker the state of a new process; the lock must be held.
func (k *worker) reset() {
	k.up, k.cut, k.draining, k.drainAck = true, false, false, time.Time{}
	if k.vary {
		k.cpu, k.mem = []int64{4000, 8000}[rand.IntN(2)], []int64{4000, 16000}[rand.IntN(2)]
		k.label = []string{"a", "b"}[rand.IntN(2)]
		if rand.IntN(3) == 0 {
			k.id = fmt.Sprintf("i-%08x", rand.Uint32())
		}
	}
	k.start = time.Now()
	k.born = max(k.start.UnixMilli(), k.born+1)
	k.token, k.until, k.lapses, k.lastEnd, k.seq, k.longLease = 0, 0, 0, 0, 0, false
	k.running, k.closed, k.ends = map[string]*run{}, map[string]uint32{}, nil
	k.life++
}

// boot starts a new process of the worker.
func (k *worker) boot() {
	k.w.mu.Lock()
	k.reset()
	k.conns = map[net.Conn]bool{}
	life := k.life
	k.w.mu.Unlock()
	var listener net.Listener
	var err error
	for range 50 {
		if listener, err = net.Listen("tcp", k.addr); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		cannotRun("worker %s: %v", k.id, err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", k.serve(k.runStart))
	mux.HandleFunc("POST /run-stop", k.serve(k.runStop))
	mux.HandleFunc("POST /hold", k.serve(k.hold))
	mux.HandleFunc("POST /pace", k.serve(k.pace))
	k.server = &http.Server{Handler: mux, ConnState: func(c net.Conn, s http.ConnState) {
		k.w.mu.Lock()
		defer k.w.mu.Unlock()
		if s == http.StateClosed {
			delete(k.conns, c)
		} else {
			k.conns[c] = true
		}
	}}
	go k.server.Serve(listener)
	go k.heartbeats(life)
	record("worker %s up, born %d", k.id, k.born)
}

// crash ends the process: it loses its state and its connections break.
func (k *worker) crash() {
	k.w.mu.Lock()
	k.w.expireAll()
	k.up = false
	k.life++
	names := []string{}
	for task := range k.running {
		names = append(names, task)
	}
	lost := k.running
	k.running = map[string]*run{}
	for _, r := range lost {
		k.w.breakGang(r, k)
	}
	k.w.mu.Unlock()
	record("worker %s crashes with %v", k.id, names)
	k.server.Close()
}

// bounce ends the process and starts it again at once under its id. What is sent to its address goes to the new one from then on.
func (k *worker) bounce() {
	k.w.mu.Lock()
	k.w.expireAll()
	names := []string{}
	lost := k.running
	for task := range lost {
		names = append(names, task)
	}
	k.reset()
	for _, r := range lost {
		k.w.breakGang(r, k)
	}
	open := []net.Conn{}
	for c := range k.conns {
		open = append(open, c)
	}
	life := k.life
	k.w.mu.Unlock()
	record("worker %s crashes with %v and is up again, born %d", k.id, names, k.born)
	for _, c := range open {
		c.Close()
	}
	go k.heartbeats(life)
}

type message struct {
	Task       string `json:"task"`
	Attempt    uint32 `json:"attempt"`
	Spec       string `json:"spec"`
	Checkpoint string `json:"checkpoint"`
	Until      int64  `json:"until-ms"`
	Token      uint64 `json:"fencing-token"`
	Acked      int    `json:"acked-through"`
	Wait       int64  `json:"wait-ms"`
	Percent    int    `json:"percent"`
}

func (k *worker) clock() int64 {
	rate := k.rate
	if rate == 0 {
		rate = 1
	}
	return int64(rate*float64(time.Since(k.start).Milliseconds())) + 1
}

func (k *worker) serve(handle func(message, map[string]any) int) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var m message
		if json.NewDecoder(r.Body).Decode(&m) != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		k.w.mu.Lock()
		cut, life := k.cut, k.life
		late := !cut && k.w.lateShare > 0 && rand.Float64() < k.w.lateShare
		k.w.mu.Unlock()
		if cut {
			<-r.Context().Done()
			return
		}
		if r.Header.Get("Expect-Instance") != k.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if late {
			delay := 2*time.Second + rand.N(10*time.Second)
			time.AfterFunc(delay, func() {
				k.w.mu.Lock()
				defer k.w.mu.Unlock()
				if k.life == life && k.up {
					record("worker %s carries out %s of %s run %d late", k.id, r.URL.Path, m.Task, m.Attempt)
					k.execute(m, handle)
				}
			})
			<-r.Context().Done()
			return
		}
		if crash := k.w.crashAtStart; crash != nil && r.URL.Path == "/run-start" && crash(k, m.Task) {
			<-r.Context().Done()
			return
		}
		k.w.mu.Lock()
		if k.life != life || !k.up {
			k.w.mu.Unlock()
			return
		}
		status, response := k.execute(m, handle)
		cut = k.cut || !k.up || k.life != life
		k.w.mu.Unlock()
		if cut {
			<-r.Context().Done()
			return
		}
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(status)
		_ = json.NewEncoder(rw).Encode(response)
	}
}

func (k *worker) execute(m message, handle func(message, map[string]any) int) (int, map[string]any) {
	k.w.expireAll()
	response := map[string]any{"clock-ms": k.clock(), "born": k.born}
	if m.Token < k.token {
		response["reason"] = "fence"
		return http.StatusConflict, response
	}
	k.token = m.Token
	status := handle(m, response)
	return status, response
}

// extend extends the lease. A longer one than the worker grants is shortened to that.
func (k *worker) extend(until int64) {
	longest := k.clock() + holdMaxMs
	if until > longest {
		k.longLease = true
	}
	k.until = max(k.until, min(until, longest))
}

func parseTask(name string) (id string, kk, st, index int, ok bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return
	}
	kk, e1 := strconv.Atoi(parts[1])
	st, e2 := strconv.Atoi(parts[2])
	index, e3 := strconv.Atoi(parts[3])
	return parts[0], kk, st, index, e1 == nil && e2 == nil && e3 == nil
}

func gangKey(id string, kk, st int) string { return fmt.Sprintf("%s.%d.%d", id, kk, st) }

func (k *worker) runStart(m message, response map[string]any) int {
	refuse := func(reason string) int { response["reason"] = reason; return http.StatusConflict }
	if m.Until <= k.clock() {
		return refuse("late")
	}
	k.extend(m.Until)
	known := k.running[m.Task]
	switch {
	case known != nil && known.attempt == m.Attempt:
		return http.StatusOK
	case known != nil, m.Attempt <= k.closed[m.Task]:
		return refuse("old")
	}
	w := k.w
	id, kk, st, index, ok := parseTask(m.Task)
	j := w.jobs[id]
	if !ok || j == nil || st >= len(j.Steps) || index >= j.Steps[st].Count {
		w.violate("UNASKED", "worker %s is told to start %s, which nobody sent", k.id, m.Task)
		return http.StatusBadRequest
	}
	s := &j.Steps[st]
	cpu, mem, same := int64(0), int64(0), 0
	for _, r := range k.running {
		if !r.job.Steps[r.step].Utilization {
			cpu += r.job.Steps[r.step].CPU
		}
		mem += r.job.Steps[r.step].Mem
		if r.job == j && r.k == kk && r.step == st {
			same++
		}
	}
	if (!s.Utilization && cpu+s.CPU > k.cpu) || mem+s.Mem > k.mem {
		if !k.unguarded {
			record("worker %s rejects %s run %d: room", k.id, m.Task, m.Attempt)
			return refuse("room")
		}
		w.violate("LIMIT", "%s run %d brings worker %s over its capacity: cpu %d+%d of %d, memory %d+%d of %d", m.Task, m.Attempt, k.id, cpu, s.CPU, k.cpu, mem, s.Mem, k.mem)
	}
	w.checkStart(k, m, j, s, kk, st, same)
	r := &run{task: m.Task, attempt: m.Attempt, job: j, k: kk, step: st, index: index, present: time.Now(), pace: 100, saved: m.Checkpoint}
	if m.Checkpoint != "" {
		r.done = w.saves[m.Checkpoint].done
		r.savedDone = r.done
	}
	h := w.task(m.Task)
	h.starts++
	h.startedAt = append(h.startedAt, time.Now())
	r.fails = len(h.failEnds) < s.fails
	k.running[m.Task] = r
	record("worker %s starts %s run %d token %d checkpoint %q", k.id, m.Task, m.Attempt, m.Token, m.Checkpoint)
	if !s.Gang {
		r.since = time.Now()
	} else {
		w.joinGang(r)
	}
	return http.StatusOK
}

// gangRuns returns the runs of a gang with one number, and their workers.
func (w *world) gangRuns(r *run) (runs []*run, on []*worker) {
	for _, k := range w.workers {
		for _, other := range k.running {
			if other.job == r.job && other.k == r.k && other.step == r.step && other.attempt == r.attempt {
				runs, on = append(runs, other), append(on, k)
			}
		}
	}
	return
}

func (w *world) joinGang(r *run) {
	runs, _ := w.gangRuns(r)
	if len(runs) < r.job.Steps[r.step].Count {
		return
	}
	for _, other := range runs {
		other.since = time.Now()
		if other.saved != r.saved {
			w.violate("UNASKED", "members of gang %s run %d have checkpoints %q and %q", gangKey(r.job.ID, r.k, r.step), r.attempt, other.saved, r.saved)
		}
	}
}

// breakGang ends the other members of a gang.
func (w *world) breakGang(r *run, from *worker) {
	if !r.job.Steps[r.step].Gang {
		return
	}
	runs, on := w.gangRuns(r)
	for i, other := range runs {
		if other != r {
			on[i].finish(other, "broken")
		}
	}
}

// finish records the end of a run.
func (k *worker) finish(r *run, how string) {
	if k.running[r.task] != r {
		return
	}
	delete(k.running, r.task)
	k.closed[r.task] = max(k.closed[r.task], r.attempt)
	k.lastEnd++
	h := k.w.task(r.task)
	saved := r.saved
	if how == "stopped" || how == "broken" {
		saved = k.w.checkpoint(r)
	}
	if how == "done" || how == "failed" {
		saved = ""
	}
	e := &ended{number: k.lastEnd, task: r.task, attempt: r.attempt, how: how, saved: saved, at: time.Now(), lapses: k.lapses, starts: h.starts}
	k.ends = append(k.ends, e)
	switch how {
	case "done":
		h.doneEnds = append(h.doneEnds, e)
	case "failed":
		h.failEnds = append(h.failEnds, e)
	}
	record("worker %s ends %s run %d %s", k.id, r.task, r.attempt, how)
	if how != "done" && how != "broken" && how != "alone" {
		k.w.breakGang(r, k)
	}
}

// progress is the work done, including that of the checkpoint.
func (r *run) progress(now time.Time) time.Duration {
	if r.since.IsZero() {
		return r.done
	}
	worked := now.Sub(r.since)
	if r.done > 0 {
		worked -= restore
	}
	return r.done + max(0, worked)
}

// checkpoint stores the present progress of a run, if its step does so.
func (w *world) checkpoint(r *run) string {
	if !r.job.Steps[r.step].Checkpointing {
		return ""
	}
	done := r.progress(time.Now())
	if done <= r.savedDone && r.saved != "" {
		return r.saved
	}
	w.saveSeq++
	owner := r.task
	if r.job.Steps[r.step].Gang {
		owner = gangKey(r.job.ID, r.k, r.step)
	}
	name := fmt.Sprintf("%016x", w.saveSeq)
	w.saves[name] = save{owner, done}
	r.saved, r.savedDone = name, done
	return name
}

// expireAll brings all workers up to date; the lock must be held.
func (w *world) expireAll() {
	now := time.Now()
	for _, k := range w.workers {
		if !k.up {
			continue
		}
		if k.until != 0 && k.clock() > k.until {
			k.until = 0
			k.lapses++
			if len(k.running) > 0 {
				record("worker %s: its lease lapses", k.id)
			}
			for _, r := range k.running {
				k.finish(r, "lapsed")
			}
		}
		for _, r := range k.running {
			s := &r.job.Steps[r.step]
			switch {
			case r.since.IsZero():
				if now.Sub(r.present) > gangMs*time.Millisecond {
					k.finish(r, "alone")
					w.violateGang(r)
				}
				continue
			case s.LongRunning:
				continue
			}
			done := r.progress(now)
			if s.Checkpointing && done-r.savedDone >= saveEvery {
				w.checkpoint(r)
			}
			if done < s.work {
				continue
			}
			if r.fails {
				k.finish(r, "failed")
				continue
			}
			if s.Gang {
				runs, on := w.gangRuns(r)
				for i, other := range runs {
					on[i].finish(other, "done")
				}
				continue
			}
			k.finish(r, "done")
		}
	}
}

func (w *world) violateGang(r *run) { record("GANG? %s run %d ended alone", r.task, r.attempt) }

func (k *worker) runStop(m message, _ map[string]any) int {
	if r := k.running[m.Task]; r != nil && r.attempt <= m.Attempt {
		k.finish(r, "stopped")
	}
	k.closed[m.Task] = max(k.closed[m.Task], m.Attempt)
	return http.StatusOK
}

func (k *worker) pace(m message, _ map[string]any) int {
	if r := k.running[m.Task]; r != nil {
		r.pace = m.Percent
	}
	return http.StatusOK
}

func (k *worker) hold(m message, response map[string]any) int {
	kept := k.ends[:0]
	for _, e := range k.ends {
		if e.number > m.Acked {
			kept = append(kept, e)
			continue
		}
		if e.lapses == k.lapses {
			e.noted = true
			k.w.checkNoted(e)
		}
	}
	k.ends = kept
	if m.Until > 0 {
		k.extend(m.Until)
	}
	life := k.life
	for end := time.Now().Add(min(2*time.Second, time.Duration(m.Wait)*time.Millisecond)); len(k.ends) == 0 && time.Now().Before(end) && k.life == life && !k.cut; {
		k.w.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		k.w.mu.Lock()
		k.w.expireAll()
	}
	running, finished := [][]any{}, [][]any{}
	now := time.Now()
	for _, r := range k.running {
		s := &r.job.Steps[r.step]
		percent := 100
		if !s.LongRunning {
			percent = min(99, int(100*r.progress(now)/max(1, s.work)))
		}
		usage := s.CPU
		if s.LongRunning {
			usage = 5
		}
		running = append(running, []any{r.task, r.attempt, r.saved, percent, usage})
	}
	for i, e := range k.ends {
		if i == 500 {
			break
		}
		finished = append(finished, []any{e.number, e.task, e.attempt, e.how, e.saved})
	}
	response["clock-ms"], response["running"], response["finished"] = k.clock(), running, finished
	return http.StatusOK
}

func (k *worker) beat() ([]byte, bool) {
	k.w.mu.Lock()
	defer k.w.mu.Unlock()
	k.seq++
	state := "ready"
	if k.draining {
		state = "draining"
	}
	beat := map[string]any{
		"service": service, "addr": k.reach, "zone": k.zone, "version": "v1", "slots": 8, "state": state, "cold-left-ms": 0,
		"capacity": map[string]int64{"cpu": k.cpu, "mem-mb": k.mem, "gpu": 0}, "labels": []string{k.label, k.rack},
		"clock-ms": k.clock(), "seq": k.seq, "born": k.born,
	}
	if k.draining {
		beat["drain-remaining-ms"] = 2000
	}
	body, _ := json.Marshal(beat)
	return body, k.draining
}

func (k *worker) heartbeats(life int) {
	named, next := "", rand.IntN(8)
	for {
		k.w.mu.Lock()
		over, cut := k.life != life, k.cut
		k.w.mu.Unlock()
		if over {
			return
		}
		if cut {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		addr := named
		if addr == "" {
			list := k.w.control()
			addr = list[next%len(list)]
		}
		body, draining := k.beat()
		status, data := call(time.Second, http.MethodPut, "http://"+addr+"/instances/"+k.id, body)
		if status/100 != 2 {
			named = ""
			next++
			time.Sleep(20 * time.Millisecond)
			continue
		}
		var answer struct {
			Addr string `json:"heartbeat-addr"`
		}
		_ = json.Unmarshal(data, &answer)
		named = answer.Addr
		if draining {
			k.w.mu.Lock()
			if k.drainAck.IsZero() {
				k.drainAck = time.Now()
				record("worker %s: draining acknowledged", k.id)
			}
			k.w.mu.Unlock()
		}
		for range heartbeatMs / 50 {
			time.Sleep(50 * time.Millisecond)
			k.w.mu.Lock()
			over := k.life != life
			changed := k.draining != draining
			k.w.mu.Unlock()
			if over {
				return
			}
			if changed {
				break
			}
		}
	}
}
