package test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirepaddle.example/test/cluster"
)

// journalEntry is the part of a stand-in target's journal that the tests read.
type journalEntry struct {
	Event   string `json:"event"`
	Class   string `json:"class"`
	Request string `json:"request"`
	Key     string `json:"key"`
	Attempt *struct {
		Job    string `json:"job"`
		Number int    `json:"number"`
	} `json:"attempt"`
	Outcome string `json:"outcome"`
	AtMs    int64  `json:"at_ms"`
}

func journal(t *cluster.Target) []journalEntry {
	GinkgoHelper()
	var entries []journalEntry
	Expect(cluster.GetJSON("http://"+t.Addr+"/standin/journal", &entries)).To(Succeed())
	return entries
}

// expectNoViolations checks that no target was given more than it can carry, no attempt or
// key twice, and no work after it had left.
func expectNoViolations(targets ...*cluster.Target) {
	GinkgoHelper()
	for _, t := range targets {
		var violations []json.RawMessage
		Expect(cluster.GetJSON("http://"+t.Addr+"/standin/violations", &violations)).To(Succeed())
		Expect(violations).To(BeEmpty(), t.ID)
	}
}

func setFaults(t *cluster.Target, faults string) {
	GinkgoHelper()
	answer, err := cluster.Do(http.MethodPost, "http://"+t.Addr+"/standin/faults", faults)
	Expect(err).NotTo(HaveOccurred())
	Expect(answer.Status).To(Equal(http.StatusOK), answer.Body)
}

// startTargets starts stand-in targets spread over zones and racks.
func startTargets(c *cluster.Cluster, n int, extra ...string) []*cluster.Target {
	GinkgoHelper()
	var targets []*cluster.Target
	for i := range n {
		zone := sobreAndinoZones[i%len(sobreAndinoZones)]
		args := append([]string{
			"--slots", "8", "--connections", "64", "--cpu-millis", "64000", "--memory-mib", "250000",
		}, extra...)
		t, err := c.StartTarget(fmt.Sprintf("t%d", i+1), zone, fmt.Sprintf("r%d", i/2+1), "shops", c.Daemons, args...)
		Expect(err).NotTo(HaveOccurred())
		targets = append(targets, t)
	}
	for _, t := range targets {
		waitOpen(t)
	}
	return targets
}

// waitOpen waits until the target has a lease.
func waitOpen(t *cluster.Target) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		var stats struct {
			LeaseLeftMs int64 `json:"lease_left_ms"`
			Epoch       int64 `json:"epoch"`
		}
		g.Expect(cluster.GetJSON("http://"+t.Addr+"/standin/stats", &stats)).To(Succeed())
		g.Expect(stats.LeaseLeftMs).To(BeNumerically(">", 0))
		g.Expect(stats.Epoch).To(BeNumerically(">", 0))
	}).WithTimeout(patience).Should(Succeed(), t.ID)
}

func quick(d *cluster.Daemon, path string, headers ...string) (cluster.Answer, error) {
	headers = append([]string{"Samphire-Tenant", "cuenca"}, headers...)
	return cluster.Do(http.MethodGet, "http://"+d.Public+"/v1/call/pedidos/"+path, "", headers...)
}

func ship(d *cluster.Daemon, key string) (cluster.Answer, error) {
	return cluster.Do(http.MethodPost, "http://"+d.Public+"/v1/call/pedidos/ship/"+key, key,
		"Samphire-Tenant", "cuenca", "Idempotency-Key", key)
}

// waitServed waits until a quick request through the daemon is answered.
func waitServed(d *cluster.Daemon) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		answer, err := quick(d, "stock/probe")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.Status).To(Equal(http.StatusOK), answer.Body)
	}).WithTimeout(patience).Should(Succeed(), d.ID)
}

// record is what a caller was told about one request.
type record struct {
	id, key, verdict string
	answer           cluster.Answer
	err              error
}

func recordOf(answer cluster.Answer, err error, key string) record {
	return record{id: answer.Header.Get("Samphire-Request-Id"), key: key, verdict: answer.Verdict(), answer: answer, err: err}
}

// load sends requests from several callers until stop is closed.
func load(callers int, stop <-chan struct{}, send func(caller, n int) record) []record {
	var mu sync.Mutex
	var records []record
	var wait sync.WaitGroup
	for caller := range callers {
		wait.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				r := send(caller, n)
				mu.Lock()
				records = append(records, r)
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	return records
}

// checkRecords compares what callers were told with what the targets ran.
func checkRecords(records []record, targets []*cluster.Target) {
	GinkgoHelper()
	requests, keys := map[string]int{}, map[string]int{}
	for _, t := range targets {
		for _, entry := range journal(t) {
			if entry.Event != "started" || entry.Class != "quick" {
				continue
			}
			requests[entry.Request]++
			if entry.Key != "" {
				keys[entry.Key]++
			}
		}
	}
	answered := 0
	for _, r := range records {
		if r.err != nil {
			continue
		}
		answered++
		if r.verdict == "not-run" && r.id != "" {
			Expect(requests[r.id]).To(BeZero(), "request %s ran but its caller was told: not run", r.id)
		}
		if r.answer.Status == http.StatusOK {
			expectOwnAnswer(r)
		}
	}
	for key, runs := range keys {
		Expect(runs).To(Equal(1), "key %s ran %d times", key, runs)
	}
	Expect(answered).To(BeNumerically(">", 0))
}

// expectOwnAnswer checks that the answer is whole and belongs to the request.
func expectOwnAnswer(r record) {
	GinkgoHelper()
	var body struct {
		Path string `json:"path"`
	}
	Expect(json.Unmarshal([]byte(r.answer.Body), &body)).To(Succeed(), "answer is not whole: %q", r.answer.Body)
	Expect(body.Path).To(HaveSuffix(r.key))
}

var _ = Describe("requests", func() {
	// Guards against answers that reach another caller, truncated answers that look complete,
	// and "not run" told about work that ran, while targets answer late, half, crossed or twice.
	It("gives every caller its own whole answer while targets misbehave", func() {
		// Frequent reports free the room of lost requests, so that every fault meets traffic.
		c := startCluster(9, 3, map[string]any{"announce_ms": 100})
		applyTicket(c.Daemons[0], poolTicket(1, "1"))
		targets := startTargets(c, 4, "--service-time", "5ms")
		waitServed(c.Daemons[0])
		stop := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(stop)
			for _, faults := range []string{
				`{"half":true}`, `{"crossed":true}`, `{"twice":true}`, `{"late_ms":300}`, `{"refuse":true}`, `{"drop":true}`, `{}`,
			} {
				setFaults(targets[0], faults)
				setFaults(targets[1], faults)
				time.Sleep(700 * time.Millisecond)
			}
		}()
		records := load(12, stop, func(caller, n int) record {
			key := fmt.Sprintf("c%d-n%d", caller, n)
			if caller%2 == 0 {
				answer, err := quick(c.Daemons[caller%9], "stock/"+key)
				return recordOf(answer, err, key)
			}
			answer, err := ship(c.Daemons[caller%9], key)
			return recordOf(answer, err, key)
		})
		checkRecords(records, targets)
		expectNoViolations(targets...)
	})

	// Guards against a second run of a keyed request that callers resend through other
	// gateways while gateways are killed, frozen and cut off.
	It("runs keyed requests at most once while daemons fail", func() {
		c := startCluster(9, 3, nil)
		applyTicket(c.Daemons[0], poolTicket(1, "1"))
		targets := startTargets(c, 6, "--service-time", "10ms")
		waitServed(c.Daemons[0])
		stop := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(stop)
			failDaemons(c)
		}()
		var keys atomic.Int64
		records := load(10, stop, func(caller, _ int) record {
			key := fmt.Sprintf("pallet-%d", keys.Add(1))
			var last record
			for try := range 4 {
				answer, err := ship(c.Daemons[(caller+try)%9], key)
				last = recordOf(answer, err, key)
				if err == nil && answer.Status == http.StatusOK {
					break
				}
			}
			return last
		})
		waitReady(c.Daemons...)
		checkRecords(records, targets)
		expectNoViolations(targets...)
	})

	// Guards against requests that a shutdown cuts off.
	It("cuts off no request in progress in a graceful shutdown", func() {
		c := startCluster(9, 3, nil)
		applyTicket(c.Daemons[0], poolTicket(1, "1"))
		targets := startTargets(c, 9, "--service-time", "400ms")
		for _, d := range c.Daemons {
			waitServed(d)
		}
		for _, leaving := range []*cluster.Daemon{c.Daemons[4], c.Daemons[0]} {
			answers := make(chan record, 6)
			for i := range 6 {
				go func() {
					key := fmt.Sprintf("%s-%d", leaving.ID, i)
					answer, err := quick(leaving, "stock/"+key)
					answers <- recordOf(answer, err, key)
				}()
			}
			time.Sleep(150 * time.Millisecond)
			leaving.Terminate()
			for range 6 {
				r := <-answers
				Expect(r.err).NotTo(HaveOccurred())
				Expect(r.answer.Status).To(Equal(http.StatusOK), r.answer.Body)
				expectOwnAnswer(r)
			}
			Eventually(leaving.Exited).WithTimeout(patience).Should(BeTrue())
			waitServed(c.Daemons[1])
		}
		expectNoViolations(targets...)
	})

	// Guards against new work for a target that said it is leaving.
	It("gives a leaving target no new work", func() {
		c := startCluster(3, 3, nil)
		applyTicket(c.Daemons[0], poolTicket(1, "1"))
		targets := startTargets(c, 3, "--service-time", "5ms")
		waitServed(c.Daemons[0])
		stop := make(chan struct{})
		go func() {
			time.Sleep(500 * time.Millisecond)
			targets[0].Terminate()
			time.Sleep(4 * time.Second)
			close(stop)
		}()
		records := load(6, stop, func(caller, n int) record {
			key := fmt.Sprintf("c%d-n%d", caller, n)
			answer, err := quick(c.Daemons[caller%3], "stock/"+key)
			return recordOf(answer, err, key)
		})
		for _, r := range records {
			Expect(r.err).NotTo(HaveOccurred())
			Expect(r.answer.Status).To(Equal(http.StatusOK), r.answer.Body)
		}
		expectNoViolations(targets[1:]...)
	})
})

// failDaemons kills, freezes and cuts off daemons one after the other, among them the leader.
func failDaemons(c *cluster.Cluster) {
	const pause = 700 * time.Millisecond
	killed := c.Daemons[5]
	killed.Kill()
	time.Sleep(pause)
	_ = killed.Start()
	frozen := c.Daemons[4]
	frozen.Freeze()
	time.Sleep(4 * time.Second)
	frozen.Thaw()
	time.Sleep(pause)
	cut := c.Daemons[3]
	c.CutBoth(cut)
	time.Sleep(3 * time.Second)
	c.Heal()
	time.Sleep(pause)
	dead := leader(c, c.Daemons[4])
	dead.Kill()
	time.Sleep(3 * time.Second)
	_ = dead.Start()
	time.Sleep(pause)
}
