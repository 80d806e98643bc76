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

// journalEntry holds the fields of a stand-in target's journal entry that the tests read.
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

func targetJournal(t *cluster.Target) []journalEntry {
	GinkgoHelper()
	var entries []journalEntry
	Expect(cluster.GetJSON("http://"+t.Addr+"/standin/journal", &entries)).To(Succeed())
	return entries
}

// expectNoViolations checks that no target was given more work than its capacity, the same
// attempt or key twice, or work after it had left.
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
	response, err := cluster.Do(http.MethodPost, "http://"+t.Addr+"/standin/faults", faults)
	Expect(err).NotTo(HaveOccurred())
	Expect(response.Status).To(Equal(http.StatusOK), response.Body)
}

// startTargets starts n stand-in targets, spread over zones and racks, and waits for their
// leases.
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
		waitTargetLease(t)
	}
	return targets
}

// waitTargetLease waits until the target holds a lease under an owner.
func waitTargetLease(t *cluster.Target) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		var stats struct {
			LeaseLeftMs int64 `json:"lease_left_ms"`
			Epoch       int64 `json:"epoch"`
		}
		g.Expect(cluster.GetJSON("http://"+t.Addr+"/standin/stats", &stats)).To(Succeed())
		g.Expect(stats.LeaseLeftMs).To(BeNumerically(">", 0))
		g.Expect(stats.Epoch).To(BeNumerically(">", 0))
	}).WithTimeout(waitTimeout).Should(Succeed(), t.ID)
}

func sendQuick(d *cluster.Daemon, path string, headers ...string) (cluster.Response, error) {
	headers = append([]string{"Samphire-Tenant", "cuenca"}, headers...)
	return cluster.Do(http.MethodGet, "http://"+d.PublicAddr+"/v1/call/pedidos/"+path, "", headers...)
}

func sendKeyed(d *cluster.Daemon, key string) (cluster.Response, error) {
	return cluster.Do(http.MethodPost, "http://"+d.PublicAddr+"/v1/call/pedidos/ship/"+key, key,
		"Samphire-Tenant", "cuenca", "Idempotency-Key", key)
}

// waitQuickServed waits until a quick request through the daemon succeeds.
func waitQuickServed(d *cluster.Daemon) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		response, err := sendQuick(d, "stock/probe")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.Status).To(Equal(http.StatusOK), response.Body)
	}).WithTimeout(waitTimeout).Should(Succeed(), d.ID)
}

// requestRecord is the outcome of one request as its caller sees it.
type requestRecord struct {
	id, key, verdict string
	response         cluster.Response
	err              error
}

func newRequestRecord(response cluster.Response, err error, key string) requestRecord {
	return requestRecord{id: response.Header.Get("Samphire-Request-Id"), key: key, verdict: response.Verdict(), response: response, err: err}
}

// runLoad sends requests from several concurrent callers until stop is closed. send gets the
// number of the caller and of its request.
func runLoad(callers int, stop <-chan struct{}, send func(caller, n int) requestRecord) []requestRecord {
	var mu sync.Mutex
	var records []requestRecord
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

// checkRecords compares the outcomes that callers saw with what the targets ran.
func checkRecords(records []requestRecord, targets []*cluster.Target) {
	GinkgoHelper()
	requests, keys := map[string]int{}, map[string]int{}
	for _, t := range targets {
		for _, entry := range targetJournal(t) {
			if entry.Event != "started" || entry.Class != "quick" {
				continue
			}
			requests[entry.Request]++
			if entry.Key != "" {
				keys[entry.Key]++
			}
		}
	}
	received := 0
	for _, r := range records {
		if r.err != nil {
			continue
		}
		received++
		if r.verdict == "not-run" && r.id != "" {
			Expect(requests[r.id]).To(BeZero(), "request %s ran, but its caller got the verdict not-run", r.id)
		}
		if r.response.Status == http.StatusOK {
			expectOwnResponse(r)
		}
	}
	for key, runs := range keys {
		Expect(runs).To(Equal(1), "key %s ran %d times", key, runs)
	}
	Expect(received).To(BeNumerically(">", 0))
}

// expectOwnResponse checks that the response is complete and belongs to the request.
func expectOwnResponse(r requestRecord) {
	GinkgoHelper()
	var body struct {
		Path string `json:"path"`
	}
	Expect(json.Unmarshal([]byte(r.response.Body), &body)).To(Succeed(), "response body is not complete JSON: %q", r.response.Body)
	Expect(body.Path).To(HaveSuffix(r.key))
}

var _ = Describe("requests", func() {
	// Guards against responses that reach another caller, truncated responses that look
	// complete, and the verdict not-run for work that ran, while targets send late, truncated,
	// swapped or duplicate responses.
	It("gives every caller its own complete response while targets misbehave", func() {
		// Frequent announcements release the capacity of lost requests, so that there is traffic
		// during every fault.
		c := startCluster(9, 3, map[string]any{"announce_ms": 100})
		applyTicket(c.Daemons[0], testTicket(1, "1"))
		targets := startTargets(c, 4, "--service-time", "5ms")
		waitQuickServed(c.Daemons[0])
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
		records := runLoad(12, stop, func(caller, n int) requestRecord {
			key := fmt.Sprintf("c%d-n%d", caller, n)
			if caller%2 == 0 {
				response, err := sendQuick(c.Daemons[caller%9], "stock/"+key)
				return newRequestRecord(response, err, key)
			}
			response, err := sendKeyed(c.Daemons[caller%9], key)
			return newRequestRecord(response, err, key)
		})
		checkRecords(records, targets)
		expectNoViolations(targets...)
	})

	// Guards against a keyed request that runs twice because its caller resends it through
	// other gateways while gateways are killed, frozen and cut off.
	It("runs keyed requests at most once while daemons fail", func() {
		c := startCluster(9, 3, nil)
		applyTicket(c.Daemons[0], testTicket(1, "1"))
		targets := startTargets(c, 6, "--service-time", "10ms")
		waitQuickServed(c.Daemons[0])
		stop := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(stop)
			failDaemons(c)
		}()
		var keys atomic.Int64
		records := runLoad(10, stop, func(caller, _ int) requestRecord {
			key := fmt.Sprintf("pallet-%d", keys.Add(1))
			var last requestRecord
			for try := range 4 {
				response, err := sendKeyed(c.Daemons[(caller+try)%9], key)
				last = newRequestRecord(response, err, key)
				if err == nil && response.Status == http.StatusOK {
					break
				}
			}
			return last
		})
		waitReady(c.Daemons...)
		checkRecords(records, targets)
		expectNoViolations(targets...)
	})

	// Guards against a graceful shutdown that interrupts requests in progress.
	It("completes requests in progress during a graceful shutdown", func() {
		c := startCluster(9, 3, nil)
		applyTicket(c.Daemons[0], testTicket(1, "1"))
		targets := startTargets(c, 9, "--service-time", "400ms")
		for _, d := range c.Daemons {
			waitQuickServed(d)
		}
		for _, leaving := range []*cluster.Daemon{c.Daemons[4], c.Daemons[0]} {
			responses := make(chan requestRecord, 6)
			for i := range 6 {
				go func() {
					key := fmt.Sprintf("%s-%d", leaving.ID, i)
					response, err := sendQuick(leaving, "stock/"+key)
					responses <- newRequestRecord(response, err, key)
				}()
			}
			time.Sleep(150 * time.Millisecond)
			leaving.Terminate()
			for range 6 {
				r := <-responses
				Expect(r.err).NotTo(HaveOccurred())
				Expect(r.response.Status).To(Equal(http.StatusOK), r.response.Body)
				expectOwnResponse(r)
			}
			Eventually(leaving.Exited).WithTimeout(waitTimeout).Should(BeTrue())
			waitQuickServed(c.Daemons[1])
		}
		expectNoViolations(targets...)
	})

	// Guards against dispatching new work to a target that has announced that it is leaving.
	It("gives a leaving target no new work", func() {
		c := startCluster(3, 3, nil)
		applyTicket(c.Daemons[0], testTicket(1, "1"))
		targets := startTargets(c, 3, "--service-time", "5ms")
		waitQuickServed(c.Daemons[0])
		stop := make(chan struct{})
		go func() {
			time.Sleep(500 * time.Millisecond)
			targets[0].Terminate()
			time.Sleep(4 * time.Second)
			close(stop)
		}()
		records := runLoad(6, stop, func(caller, n int) requestRecord {
			key := fmt.Sprintf("c%d-n%d", caller, n)
			response, err := sendQuick(c.Daemons[caller%3], "stock/"+key)
			return newRequestRecord(response, err, key)
		})
		for _, r := range records {
			Expect(r.err).NotTo(HaveOccurred())
			Expect(r.response.Status).To(Equal(http.StatusOK), r.response.Body)
		}
		expectNoViolations(targets[1:]...)
	})
})

// failDaemons kills, freezes and cuts off daemons in turn, and finally kills the leader.
func failDaemons(c *cluster.Cluster) {
	const pause = 700 * time.Millisecond
	killed := c.Daemons[5]
	killed.Kill()
	time.Sleep(pause)
	_ = killed.Start()
	frozen := c.Daemons[4]
	frozen.Freeze()
	time.Sleep(4 * time.Second)
	frozen.Resume()
	time.Sleep(pause)
	cut := c.Daemons[3]
	c.Isolate(cut)
	time.Sleep(3 * time.Second)
	c.Heal()
	time.Sleep(pause)
	dead := findLeader(c, c.Daemons[4])
	dead.Kill()
	time.Sleep(3 * time.Second)
	_ = dead.Start()
	time.Sleep(pause)
}
