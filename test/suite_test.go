package test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/test/cluster"
)

// Timeouts that end a test that hangs. They are not performance bounds of the system, which the
// benchmarks measure.
const (
	waitTimeout     = 30 * time.Second
	longWaitTimeout = 60 * time.Second
)

var binaries cluster.Binaries

func TestFailures(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 1
	RunSpecs(t, "failures", suite, reporter)
}

var _ = BeforeSuite(func() {
	dir, err := os.MkdirTemp("", "samphire-bin-")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = os.RemoveAll(dir) })
	binaries, err = cluster.Build(dir)
	Expect(err).NotTo(HaveOccurred())
})

var sobreAndinoZones = []string{"sierra-quito", "sierra-ambato", "sierra-cuenca"}

// startCluster starts daemons, the first of which are controllers, and waits until all of them
// are ready.
func startCluster(daemons, controllers int, settings map[string]any) *cluster.Cluster {
	GinkgoHelper()
	dir, err := os.MkdirTemp("", "samphire-run-")
	Expect(err).NotTo(HaveOccurred())
	c, err := cluster.New(cluster.Options{
		Binaries:    binaries,
		Dir:         dir,
		Daemons:     daemons,
		Controllers: controllers,
		Zones:       sobreAndinoZones,
		Settings:    settings,
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		c.Close()
		if CurrentSpecReport().Failed() {
			printLogs(c)
		}
		_ = os.RemoveAll(dir)
	})
	Expect(c.Start()).To(Succeed())
	waitReady(c.Daemons...)
	return c
}

// logTail is the number of trailing lines of each log that a failed test prints.
const logTail = 25

func printLogs(c *cluster.Cluster) {
	for _, d := range c.Daemons {
		lines := strings.Split(strings.TrimSpace(d.Log()), "\n")
		lines = lines[max(0, len(lines)-logTail):]
		GinkgoWriter.Printf("--- %s\n%s\n", d.ID, strings.Join(lines, "\n"))
	}
}

func waitReady(daemons ...*cluster.Daemon) {
	GinkgoHelper()
	for _, d := range daemons {
		Eventually(func() error { return checkReady(d) }).WithTimeout(waitTimeout).Should(Succeed(), d.ID)
	}
}

func checkReady(d *cluster.Daemon) error {
	response, err := cluster.Do(http.MethodGet, "http://"+d.PublicAddr+"/healthz/ready", "")
	if err != nil {
		return err
	}
	if response.Status != http.StatusOK {
		return fmt.Errorf("%s: status %d", d.ID, response.Status)
	}
	return nil
}

// testTicket returns a ticket that declares the pool, the service and the tenant of the tests.
func testTicket(number uint64, version string) model.Ticket {
	return model.Ticket{
		Number: number,
		Author: "operations",
		Pools:  []model.Pool{{ID: "shops", Weights: model.Weights{TailLatency: 3, Throughput: 2, Evictions: 1}}},
		Services: []model.Service{{
			ID:          "pedidos",
			Pool:        "shops",
			QuickDemand: model.Resources{Slots: 1, Connections: 1, CPUMillis: 500, MemoryMiB: 256},
			KeptSlots:   2,
			DeadlineMs:  2000,
			QueueLength: 200,
			Version:     version,
		}},
		Tenants: []model.Tenant{{ID: "cuenca", Share: 1}},
	}
}

// ticketResponse holds the fields of a response to a ticket that the tests read.
type ticketResponse struct {
	Code     string        `json:"code"`
	Message  string        `json:"message"`
	Revision uint64        `json:"revision"`
	Accepted *model.Ticket `json:"accepted"`
	Found    bool          `json:"found"`
	InForce  bool          `json:"in_force"`
}

func submitTicket(d *cluster.Daemon, t model.Ticket) (ticketResponse, error) {
	body, err := json.Marshal(t)
	if err != nil {
		return ticketResponse{}, err
	}
	response, err := cluster.Do(http.MethodPost, "http://"+d.PublicAddr+"/v1/tickets", string(body))
	if err != nil {
		return ticketResponse{}, err
	}
	var parsed ticketResponse
	return parsed, json.Unmarshal([]byte(response.Body), &parsed)
}

// applyTicket submits a ticket, with retries, and waits until it is in force.
func applyTicket(d *cluster.Daemon, t model.Ticket) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		response, err := submitTicket(d, t)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.Code).To(BeElementOf("ok", "repeated"), response.Message)
	}).WithTimeout(waitTimeout).Should(Succeed())
	waitInForce(d, t.Number)
}

func waitInForce(d *cluster.Daemon, number uint64) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		var response ticketResponse
		g.Expect(cluster.GetJSON(fmt.Sprintf("http://%s/v1/tickets/%d", d.PublicAddr, number), &response)).To(Succeed())
		g.Expect(response.InForce).To(BeTrue())
	}).WithTimeout(waitTimeout).Should(Succeed())
}

// findLeader returns the leader of the controllers, according to the daemon asked.
func findLeader(c *cluster.Cluster, asked *cluster.Daemon) *cluster.Daemon {
	GinkgoHelper()
	var found *cluster.Daemon
	Eventually(func(g Gomega) {
		found = nil
		for _, m := range listMembers(asked) {
			if m.Role == "leader" {
				found = daemonByID(c, m.ID)
			}
		}
		g.Expect(found).NotTo(BeNil())
	}).WithTimeout(waitTimeout).Should(Succeed())
	return found
}

func daemonByID(c *cluster.Cluster, id string) *cluster.Daemon {
	for _, d := range c.Daemons {
		if d.ID == id {
			return d
		}
	}
	return nil
}

// daemonsExcept returns all daemons but one.
func daemonsExcept(c *cluster.Cluster, without *cluster.Daemon) []*cluster.Daemon {
	var rest []*cluster.Daemon
	for _, d := range c.Daemons {
		if d != without {
			rest = append(rest, d)
		}
	}
	return rest
}
