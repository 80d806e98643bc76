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

// Limits of waiting. They end a test that hangs; they are no bounds on the system, which the
// benchmarks measure.
const (
	patience     = 30 * time.Second
	longPatience = 60 * time.Second
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

// startCluster starts daemons of which the first ones are controllers and waits until all
// of them take requests.
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

// logTail is the number of lines of each log that a failed test prints.
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
		Eventually(func() error { return checkReady(d) }).WithTimeout(patience).Should(Succeed(), d.ID)
	}
}

func checkReady(d *cluster.Daemon) error {
	answer, err := cluster.Do(http.MethodGet, "http://"+d.Public+"/healthz/ready", "")
	if err != nil {
		return err
	}
	if answer.Status != http.StatusOK {
		return fmt.Errorf("%s: status %d", d.ID, answer.Status)
	}
	return nil
}

// poolTicket declares the pool, the service and the tenant that the tests use.
func poolTicket(number uint64, version string) model.Ticket {
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

// ticketAnswer is the part of the answers to tickets that the tests read.
type ticketAnswer struct {
	Code     string        `json:"code"`
	Message  string        `json:"message"`
	Revision uint64        `json:"revision"`
	Accepted *model.Ticket `json:"accepted"`
	Found    bool          `json:"found"`
	InForce  bool          `json:"in_force"`
}

func submitTicket(d *cluster.Daemon, t model.Ticket) (ticketAnswer, error) {
	body, err := json.Marshal(t)
	if err != nil {
		return ticketAnswer{}, err
	}
	answer, err := cluster.Do(http.MethodPost, "http://"+d.Public+"/v1/tickets", string(body))
	if err != nil {
		return ticketAnswer{}, err
	}
	var parsed ticketAnswer
	return parsed, json.Unmarshal([]byte(answer.Body), &parsed)
}

// applyTicket submits a ticket until it has an answer and waits until it is in force.
func applyTicket(d *cluster.Daemon, t model.Ticket) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		answer, err := submitTicket(d, t)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.Code).To(BeElementOf("ok", "repeated"), answer.Message)
	}).WithTimeout(patience).Should(Succeed())
	waitInForce(d, t.Number)
}

func waitInForce(d *cluster.Daemon, number uint64) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		var answer ticketAnswer
		g.Expect(cluster.GetJSON(fmt.Sprintf("http://%s/v1/tickets/%d", d.Public, number), &answer)).To(Succeed())
		g.Expect(answer.InForce).To(BeTrue())
	}).WithTimeout(patience).Should(Succeed())
}

// leader returns the daemon that leads the controllers, asked of one that is live.
func leader(c *cluster.Cluster, asked *cluster.Daemon) *cluster.Daemon {
	GinkgoHelper()
	var found *cluster.Daemon
	Eventually(func(g Gomega) {
		found = nil
		for _, m := range members(asked) {
			if m.Role == "leader" {
				found = daemon(c, m.ID)
			}
		}
		g.Expect(found).NotTo(BeNil())
	}).WithTimeout(patience).Should(Succeed())
	return found
}

func daemon(c *cluster.Cluster, id string) *cluster.Daemon {
	for _, d := range c.Daemons {
		if d.ID == id {
			return d
		}
	}
	return nil
}

// others returns the daemons without one.
func others(c *cluster.Cluster, without *cluster.Daemon) []*cluster.Daemon {
	var rest []*cluster.Daemon
	for _, d := range c.Daemons {
		if d != without {
			rest = append(rest, d)
		}
	}
	return rest
}
