package test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirepaddle.example/test/cluster"
)

// ownedCounts returns the number of targets of each owner.
func ownedCounts(d *cluster.Daemon) (map[string]int, error) {
	var status struct {
		Targets []struct {
			Owner string `json:"owner"`
		} `json:"targets"`
	}
	err := cluster.GetJSON("http://"+d.Public+"/v1/status", &status)
	counts := map[string]int{}
	for _, t := range status.Targets {
		counts[t.Owner]++
	}
	return counts, err
}

var _ = Describe("ownership", func() {
	// Guards against gateways that own nothing after a restart, and against work that a move
	// of ownership interrupts or starts twice.
	It("is balanced again after restarts without disturbing work", func() {
		c := startCluster(3, 3, nil)
		applyTicket(c.Daemons[0], poolTicket(1, "1"))
		targets := startTargets(c, 6, "--service-time", "20ms")
		submitJob(c.Daemons[0], "plan", jobRequest("plan", 12*time.Second, ""))
		waitRunning(c.Daemons[0], "plan", targets)
		restarted := c.Daemons[1]
		restarted.Kill()
		Eventually(func(g Gomega) {
			counts, err := ownedCounts(c.Daemons[0])
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(counts[restarted.ID]).To(BeZero())
		}).WithTimeout(patience).Should(Succeed())
		Expect(restarted.Start()).To(Succeed())
		waitReady(restarted)
		stop := make(chan struct{})
		go func() {
			time.Sleep(5 * time.Second)
			close(stop)
		}()
		records := load(6, stop, func(caller, _ int) record {
			answer, err := quick(c.Daemons[caller%3], "stock/x")
			return recordOf(answer, err, "x")
		})
		for _, r := range records {
			Expect(r.err).NotTo(HaveOccurred())
			Expect(r.answer.Status).To(Equal(200), r.answer.Body)
		}
		Eventually(func(g Gomega) {
			counts, err := ownedCounts(c.Daemons[0])
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(counts).To(Equal(map[string]int{"g1": 2, "g2": 2, "g3": 2}))
		}).WithTimeout(patience).Should(Succeed())
		Expect(waitPhase(c.Daemons[0], "plan", "finished").Attempts).To(Equal(1))
		expectOneAtATime("plan", targets)
		expectNoViolations(targets...)
	})
})
