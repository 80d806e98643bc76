package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/ctl/standin"
	"samphirepaddle.example/test/cluster"
)

// Points of the idle daemon and the limits on control overhead per daemon.
const (
	idleRepeats = 3
	idleTime    = 4 * time.Second
	settleTime  = 4 * time.Second
	cpuGoal     = 1.2     // % of a core
	bytesGoal   = 11_000. // B/s
	memoryGoal  = 128.    // MB
	useTickets  = 300
	startedJobs = 4000
	jobCallers  = 32
	// statusPause keeps the polls out of the figures: the status names every target, and
	// polls every 20 ms added 2.9 KB to the bytes of each job.
	statusPause  = 200 * time.Millisecond
	jobRunTime   = model.Millis(50)
	startsFactor = 20 // regression bound: leader's CPU against a follower's per start
)

// idleSizes are the numbers of targets at which an idle daemon is measured.
var idleSizes = []int{9, 90, 270}

// role groups the daemons by what they do.
type role string

const (
	roleLeader   role = "leader"
	roleFollower role = "follower"
	roleGateway  role = "gateway"
)

var roles = []role{roleLeader, roleFollower, roleGateway}

// byRole returns the mean usage of the daemons of each role.
func (r *rig) byRole(change map[string]usage, leader *cluster.Daemon) map[role]usage {
	sums, counts := map[role]usage{}, map[role]float64{}
	for i, d := range r.Daemons {
		of := roleGateway
		switch {
		case d == leader:
			of = roleLeader
		case i < controllers:
			of = roleFollower
		}
		s, u := sums[of], change[d.ID]
		s.cpu += u.cpu
		s.sentPeers += u.sentPeers
		s.receivedPeers += u.receivedPeers
		s.sentPublic += u.sentPublic
		s.receivedPublic += u.receivedPublic
		s.memory += u.memory
		sums[of] = s
		counts[of]++
	}
	for of, s := range sums {
		n := counts[of]
		sums[of] = usage{s.cpu / n, s.sentPeers / n, s.receivedPeers / n, s.sentPublic / n, s.receivedPublic / n, s.memory / n}
	}
	return sums
}

// startInProcess adds stand-in targets that run in this process.
func (r *rig) startInProcess(from, to int) error {
	var gateways []string
	for _, d := range r.Daemons {
		gateways = append(gateways, d.Public)
	}
	for i := from; i < to; i++ {
		_, err := standin.Start(standin.Config{
			ID:       model.TargetID(fmt.Sprintf("worker-%05d", i)),
			Listen:   "127.0.0.1:0",
			Gateways: append(slices.Clone(gateways[i%daemons:]), gateways[:i%daemons]...),
			Zone:     model.Zone(zones[i%len(zones)]),
			Rack:     model.Rack(fmt.Sprintf("r%d", i/8)),
			Pool:     "workers",
			Capacity: model.Resources{Slots: 8, Connections: 64, CPUMillis: 64_000, MemoryMiB: 250_000},
		}, zerolog.Nop())
		if err != nil {
			return err
		}
	}
	return nil
}

// idlePoint is one interval of idle daemons.
type idlePoint struct {
	targetsPerDaemon float64
	seconds          float64
	roles            map[role]usage
}

func measureIdle(r *rig, t *table) error {
	ticket := poolTicket("workers")
	ticket.Tenants = tenantTicket("cuenca").Tenants
	if err := r.apply(r.Daemons[0], ticket); err != nil {
		return err
	}
	var points []idlePoint
	started := 0
	for _, size := range idleSizes {
		if err := r.startInProcess(started, size); err != nil {
			return err
		}
		started = size
		if _, err := r.owners(r.Daemons[0], size); err != nil {
			return err
		}
		time.Sleep(settleTime)
		leader, err := r.leader(r.Daemons[0])
		if err != nil {
			return err
		}
		for range idleRepeats {
			before := takeSample(r.Cluster)
			time.Sleep(idleTime)
			change, seconds := takeSample(r.Cluster).since(before)
			points = append(points, idlePoint{float64(size) / daemons, seconds, r.byRole(change, leader)})
		}
	}
	printIdle(t, points)
	return nil
}

func printIdle(t *table, points []idlePoint) {
	figures := []struct {
		name  string
		unit  string
		bound float64 // at the largest size
		value func(idlePoint, usage) float64
	}{
		{"CPU", "% of a core", cpuGoal, func(p idlePoint, u usage) float64 { return u.cpu / p.seconds * 100 }},
		{"bytes sent", "B/s", bytesGoal, func(p idlePoint, u usage) float64 { return u.sent() / p.seconds }},
		{"of these to peers", "B/s", 0, func(p idlePoint, u usage) float64 { return u.sentPeers / p.seconds }},
		{"bytes received", "B/s", 0, func(p idlePoint, u usage) float64 { return (u.receivedPeers + u.receivedPublic) / p.seconds }},
		{"memory", "MB", memoryGoal, func(_ idlePoint, u usage) float64 { return u.memory / 1e6 }},
	}
	for _, of := range roles {
		for _, f := range figures {
			var x, y, largest []float64
			for _, p := range points {
				value := f.value(p, p.roles[of])
				x, y = append(x, p.targetsPerDaemon), append(y, value)
				if p.targetsPerDaemon == points[len(points)-1].targetsPerDaemon {
					largest = append(largest, value)
				}
			}
			perTarget, base := slope(x, y)
			name := fmt.Sprintf("idle %s, %s", of, f.name)
			t.figure(name+", line", "%.4g + %.4g per own target %s (own targets 1, 10, 30; 3 repeats each)", base, perTarget, f.unit)
			if f.bound > 0 {
				t.limit(name+", 30 own targets", median(largest), f.bound, f.unit, fromGoal, spread(largest))
			}
		}
	}
}

// measureSmall gives a second number of gateways for the idle use of controllers.
func measureSmall(r *rig, t *table) error {
	time.Sleep(settleTime / 2)
	leader, err := r.leader(r.Daemons[0])
	if err != nil {
		return err
	}
	cpu, sent := map[role][]float64{}, map[role][]float64{}
	for range idleRepeats {
		before := takeSample(r.Cluster)
		time.Sleep(idleTime)
		change, seconds := takeSample(r.Cluster).since(before)
		for of, u := range r.byRole(change, leader) {
			cpu[of] = append(cpu[of], u.cpu/seconds*100)
			sent[of] = append(sent[of], u.sent()/seconds)
		}
	}
	for _, of := range []role{roleLeader, roleFollower} {
		t.figure(fmt.Sprintf("idle %s, 3 daemons without targets", of), "%.3g%% of a core %s, %.4g B/s sent %s",
			median(cpu[of]), spread(cpu[of]), median(sent[of]), spread(sent[of]))
	}
	return nil
}

// perEvent prints what one event costs each role beyond the idle use.
func (r *rig) perEvent(t *table, name string, events float64, idle, busy map[role]usage, idleSeconds, busySeconds float64) map[role]float64 {
	cpu := map[role]float64{}
	for _, of := range roles {
		part := busySeconds / idleSeconds
		i, b := idle[of], busy[of]
		cpu[of] = (b.cpu - i.cpu*part) / events * 1e6
		t.figure(fmt.Sprintf("per %s, %s", name, of), "%.1f us CPU, %.0f B sent to peers, %.0f B received from peers, %.0f B sent to callers and targets",
			cpu[of], (b.sentPeers-i.sentPeers*part)/events, (b.receivedPeers-i.receivedPeers*part)/events, (b.sentPublic-i.sentPublic*part)/events)
	}
	return cpu
}

// busy measures the use of an idle interval and of a loaded one.
func (r *rig) busy(t *table, name string, events float64, load func() error) (map[role]float64, float64, error) {
	leader, err := r.leader(r.Daemons[0])
	if err != nil {
		return nil, 0, err
	}
	before := takeSample(r.Cluster)
	time.Sleep(idleTime / 2)
	idle, idleSeconds := takeSample(r.Cluster).since(before)
	before = takeSample(r.Cluster)
	if err := load(); err != nil {
		return nil, 0, err
	}
	change, seconds := takeSample(r.Cluster).since(before)
	return r.perEvent(t, name, events, r.byRole(idle, leader), r.byRole(change, leader), idleSeconds, seconds), seconds, nil
}

func measureTicketUse(r *rig, t *table) error {
	_, _, err := r.busy(t, "ticket", useTickets, func() error {
		for i := range useTickets {
			if err := r.submit(r.Daemons[controllers+i%(daemons-controllers)], tenantTicket("cuenca")); err != nil {
				return err
			}
		}
		return r.waitInForce(r.Daemons[0])
	})
	return err
}

// measureStarts submits more jobs than fit and waits until all have ended.
func measureStarts(r *rig, t *table) error {
	var seconds float64
	cpu, _, err := r.busy(t, "job (submit, start, end)", startedJobs, func() error {
		began := time.Now()
		if err := r.submitJobs(); err != nil {
			return err
		}
		err := r.waitJobs()
		seconds = time.Since(began).Seconds()
		return err
	})
	if err != nil {
		return err
	}
	t.figure("batch starts reached", "%.0f/s (%d jobs of %d ms from submission to the last end)", startedJobs/seconds, startedJobs, jobRunTime)
	t.limit("CPU per job, leader / follower", cpu[roleLeader]/cpu[roleFollower], startsFactor, "x", fromRegression, "")
	return nil
}

func (r *rig) submitJobs() error {
	var next atomic.Int64
	var failure atomic.Value
	var wait sync.WaitGroup
	for caller := range jobCallers {
		wait.Go(func() {
			for failure.Load() == nil {
				n := next.Add(1)
				if n > startedJobs {
					return
				}
				if err := r.submitJob(r.Daemons[caller%daemons], fmt.Sprintf("plan-%d", n)); err != nil {
					failure.Store(err)
				}
			}
		})
	}
	wait.Wait()
	err, _ := failure.Load().(error)
	return err
}

func (r *rig) submitJob(d *cluster.Daemon, id string) error {
	body, err := json.Marshal(model.JobSpec{
		ID:        model.JobID(id),
		Pool:      "workers",
		Class:     model.ClassBatch,
		Kind:      "restock-plan",
		RunTimeMs: jobRunTime,
		Declared:  model.Resources{Slots: 1, CPUMillis: 1000, MemoryMiB: 1024},
	})
	if err != nil {
		return err
	}
	header := http.Header{}
	header.Set("Samphire-Tenant", "cuenca")
	header.Set("Idempotency-Key", id)
	status, data, err := r.do(http.MethodPost, "http://"+d.Public+"/v1/jobs", body, header)
	if err == nil && status >= http.StatusMultipleChoices {
		err = fmt.Errorf("job %s: status %d: %s", id, status, data)
	}
	return err
}

func (r *rig) waitJobs() error {
	return cluster.WaitFor(2*patience, func() error {
		var status struct {
			Queued int `json:"queued_jobs"`
			Open   int `json:"open_attempts"`
		}
		time.Sleep(statusPause)
		if err := r.getJSON(r.Daemons[0], "/v1/status", &status); err != nil {
			return err
		}
		if status.Queued+status.Open > 0 {
			return fmt.Errorf("%d jobs wait and %d run", status.Queued, status.Open)
		}
		return nil
	})
}
