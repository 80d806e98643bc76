package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/test/cluster"
)

// Parameters of the request points. The senders keep half of all slots in use.
const (
	quickTargets   = 6 // with nine gateways, three own no target and forward every request
	slotsPerTarget = 8
	serviceTime    = "5ms"
	repeats        = 3
	sliceCount     = 2 // number of alternations between the paths in each repeat
	sliceTime      = 700 * time.Millisecond
	keyedTime      = time.Second
	announceTime   = 2 * time.Second // time allowed for every target to announce itself with its epoch
	addedGoal      = 1.0             // ms added at p99 on the local path
	forwardFactor  = 10              // regression bound: latency added at p50, forward / local
	cpuFactor      = 4               // regression bound: CPU per request, forward / local
	keyedFactor    = 100             // regression bound: p50 with key / without; a key costs one commit with three syncs to disk
)

// sendFunc sends one request and reports whether the response has status 200.
type sendFunc func() bool

// paths holds one sender per caller for each path: directly to a target, through its owner, and
// through a gateway that forwards to the owner. All paths lead to the same targets.
type paths struct {
	direct, local, forward []sendFunc
}

// measureRequests measures the latency and CPU time per request, and the cost of idempotency keys.
func measureRequests(r *rig, t *table) error {
	owners, err := r.startQuick()
	if err != nil {
		return err
	}
	p := r.paths(owners)
	if len(p.local) == 0 || len(p.forward) == 0 {
		return fmt.Errorf("every gateway owns a target, so no request is forwarded")
	}
	r.measureLatency(t, p)
	r.measureKeys(t, owners)
	return nil
}

// startQuick declares the quick service and starts its targets, once per cluster. It returns the
// targets by id.
func (r *rig) startQuick() (map[string]targetStatus, error) {
	if r.quick != nil {
		return r.quick, nil
	}
	ticket := poolTicket("pedidos")
	ticket.Tenants = tenantTicket("cuenca").Tenants
	if err := r.apply(r.Daemons[0], ticket); err != nil {
		return nil, err
	}
	for i := range quickTargets {
		if err := r.startTarget(fmt.Sprintf("t%d", i+1), "pedidos", i); err != nil {
			return nil, err
		}
	}
	owners, err := r.owners(r.Daemons[0], quickTargets)
	if err != nil {
		return nil, err
	}
	time.Sleep(announceTime)
	r.quick = owners
	return owners, nil
}

func (r *rig) startTarget(id, pool string, index int) error {
	_, err := r.StartTarget(id, zones[index%len(zones)], fmt.Sprintf("r%d", index/2), pool, r.Daemons,
		"--slots", strconv.Itoa(slotsPerTarget), "--connections", "64", "--cpu-millis", "64000", "--memory-mib", "250000",
		"--service-time", serviceTime)
	return err
}

func (r *rig) paths(owners map[string]targetStatus) paths {
	var p paths
	owning := map[string]bool{}
	for _, target := range owners {
		owning[target.Owner] = true
		for range slotsPerTarget / 2 {
			p.direct = append(p.direct, r.directSender(target))
			p.local = append(p.local, r.gatewaySender(r.daemon(target.Owner)))
		}
	}
	var others []*cluster.Daemon
	for _, d := range r.Daemons {
		if !owning[d.ID] {
			others = append(others, d)
		}
	}
	for i := 0; len(others) > 0 && i < len(p.local); i++ {
		p.forward = append(p.forward, r.gatewaySender(others[i%len(others)]))
	}
	return p
}

// requestNumber makes request ids and idempotency keys unique.
var requestNumber atomic.Int64

// directSender returns a sender that calls a target in the way its owner does.
func (r *rig) directSender(target targetStatus) sendFunc {
	return func() bool {
		header := http.Header{}
		header.Set("Samphire-Epoch", strconv.FormatUint(target.Epoch, 10))
		header.Set("Samphire-Request-Id", fmt.Sprintf("direct-%d", requestNumber.Add(1)))
		header.Set("Samphire-Tenant", "cuenca")
		status, _, err := r.do(http.MethodGet, "http://"+target.Addr+"/stock/envelopes", nil, header)
		return err == nil && status == http.StatusOK
	}
}

// gatewaySender returns a sender that calls the quick service through a gateway.
func (r *rig) gatewaySender(d *cluster.Daemon) sendFunc {
	return r.serviceSender(d, "pedidos")
}

// serviceSender returns a sender that calls a service through a gateway.
func (r *rig) serviceSender(d *cluster.Daemon, service model.ServiceID) sendFunc {
	url := "http://" + d.PublicAddr + "/v1/call/" + string(service) + "/stock/envelopes"
	return func() bool {
		header := http.Header{}
		header.Set("Samphire-Tenant", "cuenca")
		status, _, err := r.do(http.MethodGet, url, nil, header)
		return err == nil && status == http.StatusOK
	}
}

// series holds the measurements of one path.
type series struct {
	milliseconds []float64
	failed       int
	cpu          float64 // CPU seconds of all daemons
}

func (s *series) add(other series) {
	s.milliseconds = append(s.milliseconds, other.milliseconds...)
	s.failed += other.failed
	s.cpu += other.cpu
}

// runSenders runs all senders in parallel for the duration d. Each sender sends its requests one
// after the other.
func (r *rig) runSenders(senders []sendFunc, d time.Duration) series {
	before := takeSample(r.Cluster)
	end := time.Now().Add(d)
	var mu sync.Mutex
	var all series
	var wait sync.WaitGroup
	for _, sender := range senders {
		wait.Go(func() {
			own := sendUntil(sender, end)
			mu.Lock()
			defer mu.Unlock()
			all.add(own)
		})
	}
	wait.Wait()
	change, _ := takeSample(r.Cluster).since(before)
	for _, u := range change {
		all.cpu += u.cpu
	}
	return all
}

func sendUntil(sender sendFunc, end time.Time) series {
	var own series
	for time.Now().Before(end) {
		began := time.Now()
		if !sender() {
			own.failed++
			continue
		}
		own.milliseconds = append(own.milliseconds, float64(time.Since(began).Microseconds())/1000)
	}
	return own
}

// quantiles are the quantiles of the latency that the table contains.
var quantiles = []struct {
	name string
	at   float64
}{{"p50", 0.5}, {"p99", 0.99}, {"p99.9", 0.999}}

func (r *rig) measureLatency(t *table, p paths) {
	for _, senders := range [][]sendFunc{p.direct, p.local, p.forward} {
		r.runSenders(senders, sliceTime/2) // establishes the connections
	}
	added := map[string][]float64{}
	var all [3]series
	for range repeats {
		var one [3]series
		for range sliceCount {
			for i, senders := range [][]sendFunc{p.direct, p.local, p.forward} {
				one[i].add(r.runSenders(senders, sliceTime))
			}
		}
		for _, q := range quantiles {
			direct := quantile(one[0].milliseconds, q.at)
			added["local "+q.name] = append(added["local "+q.name], quantile(one[1].milliseconds, q.at)-direct)
			added["forward "+q.name] = append(added["forward "+q.name], quantile(one[2].milliseconds, q.at)-direct)
		}
		for i := range one {
			all[i].add(one[i])
		}
	}
	r.printLatency(t, added, all)
}

func (r *rig) printLatency(t *table, added map[string][]float64, all [3]series) {
	for i, name := range []string{"direct", "local", "forward"} {
		ms := all[i].milliseconds
		t.limit("failed requests, "+name, float64(all[i].failed), 0, "requests", originGoal, fmt.Sprintf("of %d", all[i].failed+len(ms)))
		t.addUnbounded("latency "+name, "p50 %.2f p99 %.2f p99.9 %.2f ms, %d requests, load average %s",
			quantile(ms, 0.5), quantile(ms, 0.99), quantile(ms, 0.999), len(ms), loadAverage())
	}
	for _, q := range quantiles {
		values := added["local "+q.name]
		if q.name == "p99" {
			t.limit("added, local path, p99", median(values), addedGoal, "ms", originGoal, spread(values))
			continue
		}
		t.addUnbounded("added, local path, "+q.name, "%.3g ms %s", median(values), spread(values))
	}
	for _, q := range quantiles {
		values := added["forward "+q.name]
		t.addUnbounded("added, one forward, "+q.name, "%.3g ms %s", median(values), spread(values))
	}
	ratio := median(added["forward p50"]) / median(added["local p50"])
	t.limit("added p50, forward / local", ratio, forwardFactor, "x", originRegression, "")
	local := all[1].cpu / float64(len(all[1].milliseconds))
	forward := all[2].cpu / float64(len(all[2].milliseconds))
	t.addUnbounded("quick requests per core, local", "%.0f/s (%.0f us of all daemons' CPU each)", 1/local, local*1e6)
	t.addUnbounded("quick requests per core, forward", "%.0f/s (%.0f us of all daemons' CPU each)", 1/forward, forward*1e6)
	t.limit("CPU per request, forward / local", forward/local, cpuFactor, "x", originRegression, "")
}

// measureKeys compares non-idempotent requests with and without an idempotency key.
func (r *rig) measureKeys(t *table, owners map[string]targetStatus) {
	var with, without []sendFunc
	for _, target := range owners {
		for range slotsPerTarget / 2 {
			with = append(with, r.nonIdempotentSender(r.daemon(target.Owner), true))
			without = append(without, r.nonIdempotentSender(r.daemon(target.Owner), false))
		}
	}
	var keyed, plain series
	for range repeats {
		plain.add(r.runSenders(without, keyedTime))
		keyed.add(r.runSenders(with, keyedTime))
	}
	for _, name := range []string{"without key", "with key"} {
		s := plain
		if name == "with key" {
			s = keyed
		}
		n := float64(len(s.milliseconds))
		t.addUnbounded("non-idempotent "+name, "p50 %.2f p99 %.2f ms, %.0f us CPU each, %.0f/s, %d failed",
			quantile(s.milliseconds, 0.5), quantile(s.milliseconds, 0.99), s.cpu/n*1e6, n/(keyedTime.Seconds()*repeats), s.failed)
	}
	ratio := median(keyed.milliseconds) / median(plain.milliseconds)
	t.limit("p50 with key / without", ratio, keyedFactor, "x", originRegression, "")
}

func (r *rig) nonIdempotentSender(d *cluster.Daemon, keyed bool) sendFunc {
	url := "http://" + d.PublicAddr + "/v1/call/pedidos/ship/pallet"
	return func() bool {
		header := http.Header{}
		header.Set("Samphire-Tenant", "cuenca")
		header.Set("Samphire-Idempotent", "false")
		if keyed {
			header.Set("Idempotency-Key", fmt.Sprintf("pallet-%d", requestNumber.Add(1)))
		}
		status, _, err := r.do(http.MethodPost, url, []byte("pallet"), header)
		return err == nil && status == http.StatusOK
	}
}
