package test

import (
	"fmt"
	"os"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/test/cluster"
)

// serviceVersion returns the service's version that the committed state holds.
func serviceVersion(d *cluster.Daemon) (string, error) {
	var status struct {
		Services []model.Service `json:"services"`
	}
	if err := cluster.GetJSON("http://"+d.Public+"/v1/status", &status); err != nil {
		return "", err
	}
	for _, s := range status.Services {
		if s.ID == "pedidos" {
			return s.Version, nil
		}
	}
	return "", fmt.Errorf("service pedidos is not in the status of %s", d.ID)
}

func expectVersion(d *cluster.Daemon, version string) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		got, err := serviceVersion(d)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(Equal(version))
	}).WithTimeout(patience).Should(Succeed())
}

var _ = Describe("tickets", func() {
	// Guards against an accepted ticket that is lost when the leader dies right after its answer.
	It("keeps an accepted ticket when the leader is killed", func() {
		c := startCluster(9, 3, nil)
		applyTicket(c.Daemons[0], poolTicket(1, "1"))
		for number := uint64(2); number <= 4; number++ {
			answer, err := submitTicket(c.Daemons[4], poolTicket(number, fmt.Sprint(number)))
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.Code).To(Equal("ok"))
			dead := leader(c, c.Daemons[4])
			dead.Kill()
			asked := others(c, dead)[0]
			expectVersion(asked, fmt.Sprint(number))
			waitInForce(asked, number)
			Expect(dead.Start()).To(Succeed())
			waitReady(dead)
		}
	})

	// Guards against two winners when operators race with one number, and against a loser
	// that is not told who won.
	It("has one winner when operators race with one number", func() {
		c := startCluster(9, 3, nil)
		applyTicket(c.Daemons[0], poolTicket(1, "1"))
		const racers = 10
		answers := make([]ticketAnswer, racers)
		var wait sync.WaitGroup
		for i := range racers {
			wait.Go(func() {
				defer GinkgoRecover()
				ticket := poolTicket(2, fmt.Sprintf("racer-%d", i))
				ticket.Author = fmt.Sprintf("operator-%d", i)
				Eventually(func() error {
					answer, err := submitTicket(c.Daemons[i%9], ticket)
					answers[i] = answer
					return err
				}).WithTimeout(patience).Should(Succeed())
			})
		}
		wait.Wait()
		winner := -1
		for i, answer := range answers {
			if answer.Code == "ok" {
				Expect(winner).To(Equal(-1), "two winners")
				winner = i
			}
		}
		Expect(winner).NotTo(Equal(-1))
		for i, answer := range answers {
			if i != winner {
				Expect(answer.Code).To(Equal("conflict"))
				Expect(answer.Accepted.Author).To(Equal(fmt.Sprintf("operator-%d", winner)))
			}
		}
		expectVersion(c.Daemons[3], fmt.Sprintf("racer-%d", winner))
	})

	// Guards against a ticket that never comes into force while a gateway is behind a silent
	// partition, and against that gateway serving the old configuration.
	It("comes into force under a cut while the cut gateway stops serving", func() {
		c := startCluster(9, 3, nil)
		applyTicket(c.Daemons[0], poolTicket(1, "1"))
		cut := c.Daemons[4]
		c.CutBoth(cut)
		applyTicket(c.Daemons[0], poolTicket(2, "2"))
		Expect(checkReady(cut)).NotTo(Succeed())
		c.Heal()
		waitReady(cut)
		expectVersion(cut, "2")
	})

	// Guards against a deposed leader behind a one-way cut that goes on answering.
	It("elects another leader when the leader's messages are lost", func() {
		c := startCluster(9, 3, nil)
		applyTicket(c.Daemons[0], poolTicket(1, "1"))
		old := leader(c, c.Daemons[4])
		c.CutFrom(old)
		applyTicket(c.Daemons[4], poolTicket(2, "2"))
		c.Heal()
		waitReady(c.Daemons...)
		Eventually(func() (string, error) { return serviceVersion(old) }).WithTimeout(patience).Should(Equal("2"))
	})

	// Guards against state that is lost or reverted by restarts after hundreds of changes.
	It("keeps every change over restarts after hundreds of tickets", func() {
		c := startCluster(3, 3, nil)
		const last = 400
		for number := uint64(1); number <= last; number++ {
			answer, err := submitTicket(c.Daemons[number%3], poolTicket(number, fmt.Sprint(number)))
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.Code).To(Equal("ok"), answer.Message)
		}
		for _, d := range c.Daemons {
			d.Kill()
		}
		for _, d := range c.Daemons {
			Expect(d.Start()).To(Succeed())
		}
		waitReady(c.Daemons...)
		expectVersion(c.Daemons[0], fmt.Sprint(last))
		answer, err := submitTicket(c.Daemons[1], poolTicket(7, "7"))
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Code).To(Equal("repeated"), "a resend must not be applied again")
		expectVersion(c.Daemons[2], fmt.Sprint(last))
	})

	// Guards against a controller that votes under its old identity after its disk was lost,
	// and against the loss of a second controller right after the repair.
	It("repairs a controller with a lost disk and survives the loss of a second one", func() {
		c := startCluster(4, 3, nil)
		applyTicket(c.Daemons[0], poolTicket(1, "1"))
		wiped := c.Daemons[1]
		before := voters(c.Daemons[3])
		Expect(before).To(HaveLen(3))
		wiped.Kill()
		Expect(os.RemoveAll(wiped.DataDir)).To(Succeed())
		applyTicket(c.Daemons[0], poolTicket(2, "2"))
		Expect(wiped.Start()).To(Succeed())
		Eventually(func(g Gomega) {
			after := voters(c.Daemons[3])
			g.Expect(after).To(HaveLen(3))
			g.Expect(after["g2"]).NotTo(Equal(before["g2"]), "the lost disk's id still votes")
			g.Expect(members(c.Daemons[3])).To(HaveLen(3))
			g.Expect(members(c.Daemons[3])).To(HaveEach(HaveField("Changing", false)))
		}).WithTimeout(longPatience).Should(Succeed())
		second := c.Daemons[0]
		second.Kill()
		applyTicket(c.Daemons[3], poolTicket(3, "3"))
		expectVersion(wiped, "3")
	})
})

// member is the part of a controller's membership that the tests read.
type member struct {
	ID       string `json:"id"`
	DataID   string `json:"data_id"`
	Role     string `json:"role"`
	Changing bool   `json:"changing"`
}

func members(d *cluster.Daemon) []member {
	var list []member
	if err := cluster.GetJSON("http://"+d.Public+"/v1/members", &list); err != nil {
		return nil
	}
	return list
}

// voters returns the data ids of the voters by gateway id.
func voters(d *cluster.Daemon) map[string]string {
	ids := map[string]string{}
	for _, m := range members(d) {
		if m.Role != "learner" {
			ids[m.ID] = m.DataID
		}
	}
	return ids
}
