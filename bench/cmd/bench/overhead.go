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

// Parameters of the idle and load points, and the goals for the control overhead per daemon.
const (
	idleRepeats = 3
	idleTime    = 4 * time.Second
	settleTime  = 4 * time.Second
	cpuGoal     = 1.2     // % of a core
	bytesGoal   = 11_000. // B/s
	memoryGoal  = 128.    // MB
	loadTickets = 300
	startedJobs = 4000
	jobCallers  = 32
	// statusPause is the interval of status polls while jobs run. The status lists every target,
	// so polling every 20 ms added 2.9 KB to the measured bytes per job.
	statusPause  = 200 * time.Millisecond
	jobRunTime   = model.Millis(50)
	startsFactor = 20 // regression bound: CPU per job, leader / follower
)

// idleTargetCounts are the total numbers of targets at which idle daemons are measured.
var idleTargetCounts = []int{9, 90, 270}

// role is the role of a daemon in the cluster, by which usage is averaged.
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
		daemonRole := roleGateway
		switch {
		case d == leader:
			daemonRole = roleLeader
		case i < controllers:
			daemonRole = roleFollower
		}
		s, u := sums[daemonRole], change[d.ID]
		s.cpu += u.cpu
		s.sentPeers += u.sentPeers
		s.receivedPeers += u.receivedPeers
		s.sentPublic += u.sentPublic
		s.receivedPublic += u.receivedPublic
		s.memory += u.memory
		sums[daemonRole] = s
		counts[daemonRole]++
	}
	for daemonRole, s := range sums {
		n := counts[daemonRole]
		sums[daemonRole] = usage{s.cpu / n, s.sentPeers / n, s.receivedPeers / n, s.sentPublic / n, s.receivedPublic / n, s.memory / n}
	}
	return sums
}

// startInProcess starts the stand-in targets with the indexes in [from, to) in this process.
func (r *rig) startInProcess(from, to int) error {
	var gateways []string
	for _, d := range r.Daemons {
		gateways = append(gateways, d.PublicAddr)
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

// idleInterval is the usage by role in one interval of idle daemons.
type idleInterval struct {
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
	var intervals []idleInterval
	started := 0
	for _, size := range idleTargetCounts {
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
			intervals = append(intervals, idleInterval{float64(size) / daemons, seconds, r.byRole(change, leader)})
		}
	}
	printIdle(t, intervals)
	return nil
}

func printIdle(t *table, intervals []idleInterval) {
	figures := []struct {
		name  string
		unit  string
		bound float64 // bound at the largest number of targets; 0 for none
		value func(idleInterval, usage) float64
	}{
		{"CPU", "% of a core", cpuGoal, func(p idleInterval, u usage) float64 { return u.cpu / p.seconds * 100 }},
		{"bytes sent", "B/s", bytesGoal, func(p idleInterval, u usage) float64 { return u.sent() / p.seconds }},
		{"of these to peers", "B/s", 0, func(p idleInterval, u usage) float64 { return u.sentPeers / p.seconds }},
		{"bytes received", "B/s", 0, func(p idleInterval, u usage) float64 { return (u.receivedPeers + u.receivedPublic) / p.seconds }},
		{"memory", "MB", memoryGoal, func(_ idleInterval, u usage) float64 { return u.memory / 1e6 }},
	}
	for _, daemonRole := range roles {
		for _, f := range figures {
			var x, y, largest []float64
			for _, p := range intervals {
				value := f.value(p, p.roles[daemonRole])
				x, y = append(x, p.targetsPerDaemon), append(y, value)
				if p.targetsPerDaemon == intervals[len(intervals)-1].targetsPerDaemon {
					largest = append(largest, value)
				}
			}
			perTarget, base := fitLine(x, y)
			name := fmt.Sprintf("idle %s, %s", daemonRole, f.name)
			t.addUnbounded(name+", line", "%.4g + %.4g per own target %s (own targets 1, 10, 30; 3 repeats each)", base, perTarget, f.unit)
			if f.bound > 0 {
				t.limit(name+", 30 own targets", median(largest), f.bound, f.unit, originGoal, spread(largest))
			}
		}
	}
}

// measureSmall measures the idle usage of the controllers in a cluster of three daemons without
// targets.
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
		for daemonRole, u := range r.byRole(change, leader) {
			cpu[daemonRole] = append(cpu[daemonRole], u.cpu/seconds*100)
			sent[daemonRole] = append(sent[daemonRole], u.sent()/seconds)
		}
	}
	for _, daemonRole := range []role{roleLeader, roleFollower} {
		t.addUnbounded(fmt.Sprintf("idle %s, 3 daemons without targets", daemonRole), "%.3g%% of a core %s, %.4g B/s sent %s",
			median(cpu[daemonRole]), spread(cpu[daemonRole]), median(sent[daemonRole]), spread(sent[daemonRole]))
	}
	return nil
}

// printPerEvent adds the usage per event beyond the idle usage of each role to the table, and returns
// the CPU microseconds per event for each role.
func (r *rig) printPerEvent(t *table, name string, events float64, idle, busy map[role]usage, idleSeconds, busySeconds float64) map[role]float64 {
	cpu := map[role]float64{}
	for _, daemonRole := range roles {
		scale := busySeconds / idleSeconds
		i, b := idle[daemonRole], busy[daemonRole]
		cpu[daemonRole] = (b.cpu - i.cpu*scale) / events * 1e6
		t.addUnbounded(fmt.Sprintf("per %s, %s", name, daemonRole), "%.1f us CPU, %.0f B sent to peers, %.0f B received from peers, %.0f B sent to callers and targets",
			cpu[daemonRole], (b.sentPeers-i.sentPeers*scale)/events, (b.receivedPeers-i.receivedPeers*scale)/events, (b.sentPublic-i.sentPublic*scale)/events)
	}
	return cpu
}

// measureLoad measures the usage in an idle interval and while load runs. It returns the CPU
// microseconds per event for each role, and the duration of the load in seconds.
func (r *rig) measureLoad(t *table, name string, events float64, load func() error) (map[role]float64, float64, error) {
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
	return r.printPerEvent(t, name, events, r.byRole(idle, leader), r.byRole(change, leader), idleSeconds, seconds), seconds, nil
}

func measureTicketUse(r *rig, t *table) error {
	_, _, err := r.measureLoad(t, "ticket", loadTickets, func() error {
		for i := range loadTickets {
			if err := r.submit(r.Daemons[controllers+i%(daemons-controllers)], tenantTicket("cuenca")); err != nil {
				return err
			}
		}
		return r.waitInForce(r.Daemons[0])
	})
	return err
}

// measureStarts submits more jobs than can run at the same time and waits until all have ended.
func measureStarts(r *rig, t *table) error {
	var seconds float64
	cpu, _, err := r.measureLoad(t, "job (submit, start, end)", startedJobs, func() error {
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
	t.addUnbounded("batch starts reached", "%.0f/s (%d jobs of %d ms from submission to the last end)", startedJobs/seconds, startedJobs, jobRunTime)
	t.limit("CPU per job, leader / follower", cpu[roleLeader]/cpu[roleFollower], startsFactor, "x", originRegression, "")
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
	status, data, err := r.do(http.MethodPost, "http://"+d.PublicAddr+"/v1/jobs", body, header)
	if err == nil && status >= http.StatusMultipleChoices {
		err = fmt.Errorf("job %s: status %d: %s", id, status, data)
	}
	return err
}

func (r *rig) waitJobs() error {
	return cluster.WaitFor(2*waitTimeout, func() error {
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
