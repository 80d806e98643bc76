package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
	"unicode/utf8"
)

func init() {
	cases["crashloop"] = playCrashLoop
	cases["longlease"] = playLongLease
	cases["longtasks"] = playLongTasks
	cases["firststart"] = playFirstStart
	cases["movedqueue"] = playMovedQueue
	cases["flapping"] = playFlapping
	cases["badconfig"] = playBadConfig
}

// The queues of the site thw-paddle: price-check, job-sheet and pattern-watch.
var siteQueues = []queue{{"/gono990/", "price-check", 3, 0}, {"/bopu901/", "job-sheet", 2, 2}, {"/volo102/", "pattern-watch", 4, 0}}

func (w *world) addWorkers(count int) {
	for i := range count {
		w.addWorker(fmt.Sprintf("i-%08x", rand.Uint32()), zoneName(i), fmt.Sprintf("r1-%d", i%4), "a", 16000, 64000)
	}
	time.Sleep(3 * time.Second) // until all of them are known
}

// sheet is an ordinary job of the queue job-sheet with one task.
func sheet() *job {
	return &job{ID: newID(), Prefix: "/bopu901/", Spec: "cut and hem", maxAttempts: 2,
		Steps: []step{{Count: 1, CPU: 1800, Mem: 3200, EstimateMs: 1000, work: time.Second}}}
}

// playLongTasks hands in 40 jobs of one task of ten minutes each within 4 s, and then five ordinary ones.
func playLongTasks(s *system, w *world, c *client) {
	s.startAll()
	s.configure(configuration(7, siteQueues))
	w.addWorkers(8)
	var long []*job
	if trouble {
		for range 40 {
			j := &job{ID: newID(), Prefix: "/bopu901/", Spec: "lined drapes", maxAttempts: 2,
				Steps: []step{{Count: 1, CPU: 1000, Mem: 1000, EstimateMs: 600_000, work: 600 * time.Second}}}
			if c.submit(j) {
				long = append(long, j)
			}
			time.Sleep(90 * time.Millisecond)
		}
	}
	time.Sleep(10 * time.Second)
	var jobs []*job
	for range 5 {
		j := sheet()
		if c.submit(j) {
			jobs = append(jobs, j)
		}
		time.Sleep(300 * time.Millisecond)
	}
	lastSent := time.Now()
	w.checkIdle(jobs, lastSent, 20*time.Second)
	for n, j := range jobs {
		record("ordinary job %s: state %s, %d starts", j.ID, c.state(j, n), w.task(j.ID+".0.0.0").starts)
	}
	for _, j := range long {
		record("long job %s: %d starts of its task", j.ID, w.task(j.ID+".0.0.0").starts)
	}
}

// playFirstStart starts the system for the first time. One controller loses power 200 ms after its start, and a machine with an
// empty disk at another address takes its place 2 s later.
func playFirstStart(s *system, w *world, c *client) {
	s.startAll()
	began := time.Now()
	lost := s.controllers[2]
	if trouble {
		time.Sleep(200 * time.Millisecond)
		lost.signal(syscall.SIGKILL)
		<-lost.exited
		time.Sleep(2 * time.Second)
		s.start(s.successor(lost))
	}
	w.addWorkers(8)
	body := configuration(7, siteQueues)
	acknowledged, gone := false, time.Now()
	for !acknowledged && time.Since(gone) < 30*time.Second {
		for _, d := range s.controllers {
			status, _ := call(time.Second, http.MethodPut, "http://"+d.control+"/config", body)
			record("operator: PUT /config version 7 at %s: %d", d.name, status)
			acknowledged = acknowledged || status == http.StatusOK
		}
		time.Sleep(500 * time.Millisecond)
	}
	var jobs []*job
	served := 0
	for range 3 {
		j := sheet()
		jobs = append(jobs, j)
		if c.submit(j) {
			served++
		}
	}
	switch {
	case !acknowledged:
		w.mu.Lock()
		w.violate("Fault", "%v after the only loss the first configuration has no acknowledgement, and %d of %d requests are served",
			time.Since(began).Round(time.Second), served, len(jobs))
		w.mu.Unlock()
	case served == 0:
		w.mu.Lock()
		w.violate("Fault", "no request is served")
		w.mu.Unlock()
	}
}

// laterService is in the configuration and has no workers yet.
const laterService = "dele69a"

// servedBy returns a configuration with two services whose queues are served by the given one.
func servedBy(version int, serving string) []byte {
	var document map[string]any
	_ = json.Unmarshal(configuration(version, siteQueues), &document)
	services := document["services"].([]any)
	later := map[string]any{}
	for k, v := range services[0].(map[string]any) {
		later[k] = v
	}
	later["name"] = laterService
	document["services"] = append(services, later)
	for _, r := range document["routes"].([]any) {
		r.(map[string]any)["service"] = serving
	}
	body, _ := json.Marshal(document)
	return body
}

// playMovedQueue hands in three jobs while the queues belong to a service without workers, and then changes the configuration so that
// they belong to the service with workers.
func playMovedQueue(s *system, w *world, c *client) {
	s.startAll()
	first := service
	if trouble {
		first = laterService
	}
	s.configure(servedBy(7, first))
	w.addWorkers(8)
	var jobs []*job
	for range 3 {
		j := sheet()
		if c.submit(j) {
			jobs = append(jobs, j)
		}
	}
	time.Sleep(2 * time.Second)
	record("operator: version 9 sends the queues to the service with workers")
	s.configure(servedBy(9, service))
	time.Sleep(3 * time.Second)
	after := sheet()
	if c.submit(after) {
		jobs = append(jobs, after)
	}
	w.checkIdle(jobs, time.Now(), 20*time.Second)
	for n, j := range jobs {
		record("job %s: state %s, %d starts", j.ID, c.state(j, n), w.task(j.ID+".0.0.0").starts)
	}
}

// playFlapping has one worker of ten crash five times: it is down for 3 s, and up for 2 s. A task of a lasting job is on it
// when it crashes first.
func playFlapping(s *system, w *world, c *client) {
	s.startAll()
	s.configure(configuration(7, siteQueues))
	w.addWorkers(10)
	lasting := &job{ID: newID(), Prefix: "/volo102/", Spec: "pattern watch", maxAttempts: 4,
		Steps: []step{{Count: 6, CPU: 3200, Mem: 6400, EstimateMs: 70_000, LongRunning: true}}}
	if !c.submit(lasting) {
		cannotRun("the job was not accepted")
	}
	time.Sleep(3 * time.Second)
	w.mu.Lock()
	i := slices.IndexFunc(w.workers, func(k *worker) bool { return len(k.running) > 0 })
	w.mu.Unlock()
	if i < 0 {
		cannotRun("no task of the job has started")
	}
	for n := range 5 {
		if trouble {
			w.workers[i].crash()
			time.Sleep(3 * time.Second)
			w.workers[i].boot()
		}
		time.Sleep(2 * time.Second)
		c.state(lasting, n)
	}
	time.Sleep(5 * time.Second)
	for n := range 3 {
		c.state(lasting, n)
	}
	w.mu.Lock()
	running, failed := 0, 0
	for _, k := range w.workers {
		running += len(k.running)
	}
	for t := range 6 {
		failed += len(w.task(fmt.Sprintf("%s.0.0.%d", lasting.ID, t)).failEnds)
	}
	record("state %s, %d of 6 tasks run, %d runs of them have ended failed", lasting.lastState, running, failed)
	w.mu.Unlock()
}

// playBadConfig sends a configuration in which one byte of a host is no UTF-8, as an editor with another encoding writes it.
func playBadConfig(s *system, w *world, c *client) {
	s.startAll()
	s.configure(configuration(7, siteQueues))
	w.addWorkers(4)
	body := configuration(9, siteQueues)
	if trouble {
		for at := range body {
			if bytes.HasPrefix(body[at:], []byte(host)) {
				body[at+3] = 0xfd // y with an acute accent in ISO 8859-1
			}
		}
	}
	status, text := call(time.Second, http.MethodPut, "http://"+s.controllers[0].control+"/config", body)
	record("operator: PUT /config version 9, valid UTF-8 %v: %d %q", utf8.Valid(body), status, text)
	time.Sleep(2500 * time.Millisecond)
	readStatus, read := call(time.Second, http.MethodGet, "http://"+s.controllers[1].control+"/config", nil)
	record("operator: GET /config: %d, valid UTF-8 %v: %.160q", readStatus, utf8.Valid(read), read)
	j := sheet()
	accepted := c.submit(j)
	record("client: a job at the host of version 7 is accepted: %v", accepted)
	w.mu.Lock()
	defer w.mu.Unlock()
	if status/100 == 2 && !utf8.Valid(body) {
		w.violate("CONFIG", "a configuration that cannot be read in full is acknowledged with %d", status)
	}
	if readStatus == http.StatusOK && !utf8.Valid(read) {
		w.violate("CONFIG", "a configuration that cannot be read in full is in force")
	}
}

// playCrashLoop hands in eight jobs of one task, one after the other. The worker that gets the first start of a job crashes before it
// has answered, starts again under its id after 100 ms, crashes again 40 to 90 ms later, and comes back after 1 s under another id.
func playCrashLoop(s *system, w *world, c *client) {
	s.startAll()
	s.configure(configuration(7, siteQueues))
	w.addWorkers(8)
	var mu sync.Mutex
	crashed := map[string]bool{} // tasks under which a worker has crashed
	if trouble {
		w.crashAtStart = func(k *worker, task string) bool {
			mu.Lock()
			defer mu.Unlock()
			if crashed[task] {
				return false
			}
			crashed[task] = true
			record("worker %s is told to start %s", k.id, task)
			go func() {
				k.crash()
				time.Sleep(100 * time.Millisecond)
				k.boot()
				time.Sleep(time.Duration(40+rand.IntN(50)) * time.Millisecond)
				k.crash()
				time.Sleep(time.Second)
				w.mu.Lock()
				k.id = fmt.Sprintf("i-%08x", rand.Uint32())
				w.mu.Unlock()
				k.boot()
			}()
			return true
		}
	}
	var jobs []*job
	for range 8 {
		j := sheet()
		if c.submit(j) {
			jobs = append(jobs, j)
		}
		time.Sleep(3 * time.Second)
	}
	w.checkIdle(jobs, time.Now(), 20*time.Second)
	for n, j := range jobs {
		record("job %s: state %s, %d starts", j.ID, c.state(j, n), w.task(j.ID+".0.0.0").starts)
	}
}

// playLongLease hands in a job of 16 long tasks. The first worker that gets a start crashes before it has answered and starts again
// at once under its id, so that its new process gets the next start that was meant for the one before. It takes tasks again, is
// cut off twice in a row 0.15 s later, and runs on.
func playLongLease(s *system, w *world, c *client) {
	s.startAll()
	s.configure(configuration(7, siteQueues))
	w.addWorkers(8)
	w.mu.Lock()
	for _, k := range w.workers {
		k.rate = 0.98
	}
	w.mu.Unlock()
	time.Sleep(5 * time.Second)
	var mu sync.Mutex
	for range 5 {
		var hit *worker
		if trouble {
			w.crashAtStart = func(k *worker, task string) bool {
				mu.Lock()
				defer mu.Unlock()
				if hit != nil {
					return false
				}
				hit = k
				record("worker %s is told to start %s", k.id, task)
				go k.bounce()
				return true
			}
		}
		j := &job{ID: newID(), Prefix: "/gono990/", Spec: "long check", maxAttempts: 3,
			Steps: []step{{Count: 16, CPU: 700, Mem: 500, EstimateMs: 120_000, work: 120 * time.Second}}}
		if !c.submit(j) {
			cannotRun("the job was not accepted")
		}
		time.Sleep(150 * time.Millisecond)
		mu.Lock()
		k := hit
		mu.Unlock()
		w.mu.Lock()
		ready := k != nil && k.longLease && len(k.running) > 0
		if k != nil {
			record("worker %s: its lease ends at %d, its clock is %d, it runs %d tasks", k.id, k.until, k.clock(), len(k.running))
		}
		w.mu.Unlock()
		if !ready && trouble {
			time.Sleep(3 * time.Second)
			continue
		}
		for n := range 2 {
			if k != nil {
				record("worker %s is cut off for 5.5 s, cut %d", k.id, n+1)
				w.mu.Lock()
				k.cut = true
				w.mu.Unlock()
			}
			time.Sleep(5500 * time.Millisecond)
		}
		if k != nil {
			w.mu.Lock()
			k.cut = false
			w.mu.Unlock()
		}
		time.Sleep(3 * time.Second)
		return
	}
	cannotRun("no start has reached the next process of its worker")
}
