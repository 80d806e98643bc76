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

// serviceVersion returns the version of the test service that the status of a daemon shows.
func serviceVersion(d *cluster.Daemon) (string, error) {
	var status struct {
		Services []model.Service `json:"services"`
	}
	if err := cluster.GetJSON("http://"+d.PublicAddr+"/v1/status", &status); err != nil {
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
	}).WithTimeout(waitTimeout).Should(Succeed())
}

var _ = Describe("tickets", func() {
	// Guards against an accepted ticket that is lost when the leader dies right after responding.
	It("keeps an accepted ticket when the leader is killed", func() {
		c := startCluster(9, 3, nil)
		applyTicket(c.Daemons[0], testTicket(1, "1"))
		for number := uint64(2); number <= 4; number++ {
			response, err := submitTicket(c.Daemons[4], testTicket(number, fmt.Sprint(number)))
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Code).To(Equal("ok"))
			dead := findLeader(c, c.Daemons[4])
			dead.Kill()
			asked := daemonsExcept(c, dead)[0]
			expectVersion(asked, fmt.Sprint(number))
			waitInForce(asked, number)
			Expect(dead.Start()).To(Succeed())
			waitReady(dead)
		}
	})

	// Guards against accepting several tickets when operators concurrently submit different ones
	// under one number, and against a conflict that does not name the accepted ticket.
	It("accepts one of several concurrent tickets with the same number", func() {
		c := startCluster(9, 3, nil)
		applyTicket(c.Daemons[0], testTicket(1, "1"))
		const submitters = 10
		responses := make([]ticketResponse, submitters)
		var wait sync.WaitGroup
		for i := range submitters {
			wait.Go(func() {
				defer GinkgoRecover()
				ticket := testTicket(2, fmt.Sprintf("racer-%d", i))
				ticket.Author = fmt.Sprintf("operator-%d", i)
				Eventually(func() error {
					response, err := submitTicket(c.Daemons[i%9], ticket)
					responses[i] = response
					return err
				}).WithTimeout(waitTimeout).Should(Succeed())
			})
		}
		wait.Wait()
		winner := -1
		for i, response := range responses {
			if response.Code == "ok" {
				Expect(winner).To(Equal(-1), "two tickets were accepted")
				winner = i
			}
		}
		Expect(winner).NotTo(Equal(-1))
		for i, response := range responses {
			if i != winner {
				Expect(response.Code).To(Equal("conflict"))
				Expect(response.Accepted.Author).To(Equal(fmt.Sprintf("operator-%d", winner)))
			}
		}
		expectVersion(c.Daemons[3], fmt.Sprintf("racer-%d", winner))
	})

	// Guards against a ticket that never comes into force while a gateway is partitioned, and
	// against that gateway serving requests under the old configuration.
	It("comes into force while a partitioned gateway stops serving", func() {
		c := startCluster(9, 3, nil)
		applyTicket(c.Daemons[0], testTicket(1, "1"))
		cut := c.Daemons[4]
		c.Isolate(cut)
		applyTicket(c.Daemons[0], testTicket(2, "2"))
		Expect(checkReady(cut)).NotTo(Succeed())
		c.Heal()
		waitReady(cut)
		expectVersion(cut, "2")
	})

	// Guards against a deposed leader that keeps responding while the connections that it opens
	// are cut.
	It("elects another leader when the leader's messages are lost", func() {
		c := startCluster(9, 3, nil)
		applyTicket(c.Daemons[0], testTicket(1, "1"))
		old := findLeader(c, c.Daemons[4])
		c.CutOutgoing(old)
		applyTicket(c.Daemons[4], testTicket(2, "2"))
		c.Heal()
		waitReady(c.Daemons...)
		Eventually(func() (string, error) { return serviceVersion(old) }).WithTimeout(waitTimeout).Should(Equal("2"))
	})

	// Guards against restarts that lose or revert state after hundreds of changes.
	It("keeps every change when all daemons are killed after hundreds of tickets", func() {
		c := startCluster(3, 3, nil)
		const last = 400
		leader := findLeader(c, c.Daemons[0])
		for number := uint64(1); number <= last; number++ {
			response, err := submitTicket(c.Daemons[number%3], testTicket(number, fmt.Sprint(number)))
			Expect(err).NotTo(HaveOccurred())
			before := leader
			leader = findLeader(c, c.Daemons[0])
			if response.Code == "repeated" {
				// The daemon proposes a ticket again if a change of leader loses the response.
				Expect(leader).NotTo(Equal(before), "the ticket is repeated without a change of leader")
				continue
			}
			Expect(response.Code).To(Equal("ok"), response.Message)
		}
		for _, d := range c.Daemons {
			d.Kill()
		}
		for _, d := range c.Daemons {
			Expect(d.Start()).To(Succeed())
		}
		waitReady(c.Daemons...)
		expectVersion(c.Daemons[0], fmt.Sprint(last))
		response, err := submitTicket(c.Daemons[1], testTicket(7, "7"))
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Code).To(Equal("repeated"), "a resend must not be applied again")
		expectVersion(c.Daemons[2], fmt.Sprint(last))
	})

	// Guards against a controller that votes under its old identity after losing its disk, and
	// against a group that does not tolerate the loss of a second controller after the repair.
	It("repairs a controller with a lost disk and tolerates the loss of a second one", func() {
		c := startCluster(4, 3, nil)
		applyTicket(c.Daemons[0], testTicket(1, "1"))
		wiped := c.Daemons[1]
		before := voterDataIDs(c.Daemons[3])
		Expect(before).To(HaveLen(3))
		wiped.Kill()
		Expect(os.RemoveAll(wiped.DataDir)).To(Succeed())
		applyTicket(c.Daemons[0], testTicket(2, "2"))
		Expect(wiped.Start()).To(Succeed())
		Eventually(func(g Gomega) {
			after := voterDataIDs(c.Daemons[3])
			g.Expect(after).To(HaveLen(3))
			g.Expect(after["g2"]).NotTo(Equal(before["g2"]), "the data ID of the lost disk is still a voter")
			g.Expect(listMembers(c.Daemons[3])).To(HaveLen(3))
			g.Expect(listMembers(c.Daemons[3])).To(HaveEach(HaveField("ChangePending", false)))
		}).WithTimeout(longWaitTimeout).Should(Succeed())
		second := c.Daemons[0]
		second.Kill()
		applyTicket(c.Daemons[3], testTicket(3, "3"))
		expectVersion(wiped, "3")
	})
})

// member holds the fields of a controller group member that the tests read.
type member struct {
	ID            string `json:"id"`
	DataID        string `json:"data_id"`
	Role          string `json:"role"`
	ChangePending bool   `json:"changing"`
}

func listMembers(d *cluster.Daemon) []member {
	var list []member
	if err := cluster.GetJSON("http://"+d.PublicAddr+"/v1/members", &list); err != nil {
		return nil
	}
	return list
}

// voterDataIDs returns the data IDs of the voters by gateway ID.
func voterDataIDs(d *cluster.Daemon) map[string]string {
	ids := map[string]string{}
	for _, m := range listMembers(d) {
		if m.Role != "learner" {
			ids[m.ID] = m.DataID
		}
	}
	return ids
}
