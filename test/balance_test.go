package test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirepaddle.example/test/cluster"
)

// ownedTargetCounts returns the number of targets that each gateway owns.
func ownedTargetCounts(d *cluster.Daemon) (map[string]int, error) {
	var status struct {
		Targets []struct {
			Owner string `json:"owner"`
		} `json:"targets"`
	}
	err := cluster.GetJSON("http://"+d.PublicAddr+"/v1/status", &status)
	counts := map[string]int{}
	for _, t := range status.Targets {
		counts[t.Owner]++
	}
	return counts, err
}

var _ = Describe("ownership", func() {
	// Guards against gateways that own no targets after a restart, and against ownership moves
	// that interrupt work or start it twice.
	It("is rebalanced after a restart without disturbing work", func() {
		c := startCluster(3, 3, nil)
		applyTicket(c.Daemons[0], testTicket(1, "1"))
		targets := startTargets(c, 6, "--service-time", "20ms")
		submitJob(c.Daemons[0], "plan", jobRequest("plan", 12*time.Second, ""))
		waitRunning(c.Daemons[0], "plan", targets)
		restarted := c.Daemons[1]
		restarted.Kill()
		Eventually(func(g Gomega) {
			counts, err := ownedTargetCounts(c.Daemons[0])
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(counts[restarted.ID]).To(BeZero())
		}).WithTimeout(waitTimeout).Should(Succeed())
		Expect(restarted.Start()).To(Succeed())
		waitReady(restarted)
		stop := make(chan struct{})
		go func() {
			time.Sleep(5 * time.Second)
			close(stop)
		}()
		records := runLoad(6, stop, func(caller, _ int) requestRecord {
			response, err := sendQuick(c.Daemons[caller%3], "stock/x")
			return newRequestRecord(response, err, "x")
		})
		for _, r := range records {
			Expect(r.err).NotTo(HaveOccurred())
			Expect(r.response.Status).To(Equal(200), r.response.Body)
		}
		Eventually(func(g Gomega) {
			counts, err := ownedTargetCounts(c.Daemons[0])
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(counts).To(Equal(map[string]int{"g1": 2, "g2": 2, "g3": 2}))
		}).WithTimeout(waitTimeout).Should(Succeed())
		Expect(waitPhase(c.Daemons[0], "plan", "finished").Attempts).To(Equal(1))
		expectNoOverlap("plan", targets)
		expectNoViolations(targets...)
	})
})
