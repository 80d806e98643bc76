package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["soak"] = playSoak }

var soakQueues = []queue{{"/lohu930/", "r-3hwrr6x", 3, 0}, {"/pufi791/", "r-73d3zji", 2, 2}, {"/pule252/", "r-9n73hh2", 4, 0}}

func randomJob(n int) *job {
	q := soakQueues[rand.IntN(2)]
	j := &job{ID: newID(), Prefix: q.prefix, Spec: fmt.Sprintf("spec %d %s", n, strings.Repeat("x", rand.IntN(50))), maxAttempts: q.maxAttempts}
	one := func() step {
		s := step{Count: 1 + rand.IntN(4), CPU: 1000, Mem: 200, EstimateMs: 900, work: time.Duration(200+rand.IntN(1800)) * time.Millisecond}
		s.Checkpointing = rand.IntN(2) == 0
		if rand.IntN(12) == 0 {
			s.fails = 1 + rand.IntN(2)
		}
		return s
	}
	switch rand.IntN(8) {
	case 0:
		s := one()
		s.Count = 2 + rand.IntN(4)
		s.Gang = true
		s.fails = 0
		if rand.IntN(3) == 0 {
			s.MaxPerServer = 1
		}
		j.Steps = []step{s}
		if rand.IntN(2) == 0 {
			t := one()
			t.After = []int{0}
			j.Steps = append(j.Steps, t)
		}
	case 1:
		s := one()
		j.Steps = []step{s}
		j.Repeats, j.Interval = 2+rand.IntN(3), int64(500+rand.IntN(2000))
		j.FirstMs = time.Now().UnixMilli() + int64(rand.IntN(3000))
	case 2:
		s := one()
		s.MaxPerServer = 1
		j.Steps = []step{s}
	case 3:
		s := one()
		s.RequiredLabel = []string{"a", "b"}[rand.IntN(2)]
		j.Steps = []step{s}
	case 4:
		if rand.IntN(6) > 0 {
			j.Steps = []step{one()}
			break
		}
		j.Prefix, j.maxAttempts = soakQueues[2].prefix, 4
		s := one()
		s.LongRunning, s.Image, s.TargetMs = true, "img", 40
		s.Count = 1 + rand.IntN(2)
		s.fails = 0
		j.Steps = []step{s}
	case 5:
		s := one()
		s.Utilization, s.Image = true, "fill"
		j.Steps = []step{s}
	default:
		j.Steps = []step{one()}
		for i := range rand.IntN(3) {
			t := one()
			t.After = []int{rand.IntN(i + 1)}
			j.Steps = append(j.Steps, t)
		}
	}
	return j
}

func playSoak(s *system, w *world, c *client) {
	s.startAll()
	s.configure(configuration(7, soakQueues))
	for i := range soakWorkers() {
		label := "a"
		if i%3 == 2 {
			label = "b"
		}
		k := w.addWorker(fmt.Sprintf("i-%08x", rand.Uint32()), zoneName(i), fmt.Sprintf("r1-%d", i%4), label, 8000, 16000)
		k.vary, k.unguarded = os.Getenv("VARY") != "", os.Getenv("VARY") != ""
	}
	time.Sleep(3 * time.Second)
	stop := make(chan bool)
	var group sync.WaitGroup
	var mu sync.Mutex
	var open []*job
	for range 6 {
		group.Add(1)
		go func() {
			defer group.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(200+rand.IntN(800)) * time.Millisecond):
				}
				j := randomJob(n)
				if c.submit(j) {
					mu.Lock()
					open = append(open, j)
					mu.Unlock()
				}
				mu.Lock()
				var some *job
				if len(open) > 0 {
					some = open[rand.IntN(len(open))]
				}
				mu.Unlock()
				if some != nil {
					if rand.IntN(12) == 0 {
						c.cancel(some, n)
					} else {
						c.state(some, n)
					}
				}
			}
		}()
	}
	end := time.Now().Add(50 * time.Second)
	kinds := []string{"crash", "crash", "cut", "late", "kill", "freeze", "term", "gateway", "drain", "leader"}
	if v := os.Getenv("KINDS"); v != "" {
		kinds = strings.Split(v, ",")
	}
	for time.Now().Before(end) && trouble {
		time.Sleep(time.Duration(300+rand.IntN(2000)) * time.Millisecond)
		k := w.workers[rand.IntN(len(w.workers))]
		d := s.controllers[rand.IntN(len(s.controllers))]
		kind := kinds[rand.IntN(len(kinds))]
		record("trouble: %s", kind)
		switch kind {
		case "crash":
			go func() {
				w.mu.Lock()
				up := k.up
				w.mu.Unlock()
				if !up {
					return
				}
				k.crash()
				time.Sleep(time.Duration(rand.IntN(4000)) * time.Millisecond)
				k.boot()
			}()
		case "bounce":
			for range 6 {
				k := w.workers[rand.IntN(len(w.workers))]
				w.mu.Lock()
				up := k.up
				w.mu.Unlock()
				if up {
					k.crash()
					k.boot()
				}
				time.Sleep(time.Duration(rand.IntN(150)) * time.Millisecond)
			}
		case "startcrash":
			w.mu.Lock()
			w.crashAtStart = func(k *worker, task string) bool {
				if rand.IntN(60) > 0 {
					return false
				}
				go func() {
					for range 1 + rand.IntN(3) {
						k.crash()
						time.Sleep(time.Duration(rand.IntN(300)) * time.Millisecond)
						k.boot()
						time.Sleep(time.Duration(rand.IntN(300)) * time.Millisecond)
					}
				}()
				return true
			}
			w.mu.Unlock()
			time.AfterFunc(5*time.Second, func() { w.mu.Lock(); w.crashAtStart = nil; w.mu.Unlock() })
		case "cut":
			go func() {
				w.mu.Lock()
				k.cut = true
				life := k.life
				w.mu.Unlock()
				time.Sleep(time.Duration(500+rand.IntN(14000)) * time.Millisecond)
				w.mu.Lock()
				if k.life == life {
					k.cut = false
				}
				w.mu.Unlock()
			}()
		case "late":
			w.mu.Lock()
			w.lateShare = 0.1
			w.mu.Unlock()
			time.AfterFunc(3*time.Second, func() { w.mu.Lock(); w.lateShare = 0; w.mu.Unlock() })
		case "kill":
			d.signal(syscall.SIGKILL)
			<-d.exited
			time.Sleep(time.Duration(rand.IntN(1500)) * time.Millisecond)
			s.start(d)
			time.Sleep(2 * time.Second)
		case "freeze", "leader":
			if l := s.leader(); kind == "leader" && l != nil {
				d = l
			}
			d.signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(500+rand.IntN(5000)) * time.Millisecond)
			d.signal(syscall.SIGCONT)
			time.Sleep(2 * time.Second)
		case "term":
			d.signal(syscall.SIGTERM)
			<-d.exited
			s.start(d)
			time.Sleep(2 * time.Second)
		case "silent":
			n := 0
			for _, d := range s.controllers {
				n += d.proxy.silence()
			}
			for _, k := range w.workers {
				n += k.proxy.silence()
			}
			record("%d connections are silent", n)
			time.Sleep(8 * time.Second)
		case "foreign":
			w.mu.Lock()
			k.seq++
			beat := map[string]any{"service": []string{"nosuch", service, ""}[rand.IntN(3)], "addr": k.reach, "zone": k.zone, "state": []string{"ready", "gone", "7"}[rand.IntN(3)],
				"capacity": map[string]any{"cpu": k.cpu, "mem-mb": k.mem}, "born": k.born, "seq": k.seq, "labels": []string{k.label, k.rack}}
			if rand.IntN(2) == 0 {
				delete(beat, []string{"service", "addr", "capacity", "born", "seq"}[rand.IntN(5)])
			}
			id := k.id
			w.mu.Unlock()
			body, _ := json.Marshal(beat)
			st, _ := call(time.Second, "PUT", "http://"+d.control+"/instances/"+id, body)
			record("foreign heartbeat %s: %d", body, st)
		case "deregister":
			w.mu.Lock()
			id := k.id
			w.mu.Unlock()
			st, _ := call(time.Second, "DELETE", "http://"+d.control+"/instances/"+id, nil)
			record("late deregistration of %s: %d", id, st)
		case "gateway":
			g := s.gateways[rand.IntN(len(s.gateways))]
			g.kill()
			s.start(g)
		case "drain":
			go func() {
				w.mu.Lock()
				k.draining = true
				w.mu.Unlock()
				time.Sleep(4 * time.Second)
				w.mu.Lock()
				up := k.up
				w.mu.Unlock()
				if up {
					k.crash()
					call(time.Second, "DELETE", "http://"+w.control()[0]+"/instances/"+k.id, nil)
					time.Sleep(time.Second)
					k.boot()
				}
			}()
		}
	}
	if !trouble {
		time.Sleep(time.Until(end))
	}
	close(stop)
	group.Wait()
	record("no more trouble")
	time.Sleep(15 * time.Second)
	left := open
	for end := time.Now().Add(25 * time.Second); time.Now().Before(end) && len(left) > 0; time.Sleep(300 * time.Millisecond) {
		var next []*job
		for n, j := range left {
			if j.Steps[0].LongRunning {
				continue
			}
			if !ended_(c.state(j, n)) {
				next = append(next, j)
			}
		}
		left = next
	}
	for _, j := range left {
		w.violate("LOST?", "job %s (%s, gang %v, repeats %d) has not ended: %s", j.ID, j.Prefix, j.Steps[0].Gang, j.Repeats, j.lastState)
	}
}

func soakWorkers() int {
	if n, err := strconv.Atoi(os.Getenv("WORKERS")); err == nil {
		return n
	}
	return 10
}
