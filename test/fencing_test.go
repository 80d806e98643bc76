package test

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirepaddle.example/test/cluster"
)

// ownerOf returns the daemon that owns a target, according to the status of the daemon asked.
func ownerOf(c *cluster.Cluster, asked *cluster.Daemon, id string) *cluster.Daemon {
	GinkgoHelper()
	var found *cluster.Daemon
	Eventually(func(g Gomega) {
		var status struct {
			Targets []struct {
				ID    string
				Owner string
			} `json:"targets"`
		}
		g.Expect(cluster.GetJSON("http://"+asked.PublicAddr+"/v1/status", &status)).To(Succeed())
		found = nil
		for _, t := range status.Targets {
			if t.ID == id {
				found = daemonByID(c, t.Owner)
			}
		}
		g.Expect(found).NotTo(BeNil())
	}).WithTimeout(waitTimeout).Should(Succeed())
	return found
}

// runMixedLoad runs callers that send either GET requests or requests with idempotency keys
// through the daemons until stop is closed, and returns their records.
func runMixedLoad(daemons []*cluster.Daemon, callers int, stop <-chan struct{}) []requestRecord {
	return runLoad(callers, stop, func(caller, n int) requestRecord {
		key := fmt.Sprintf("c%d-n%d", caller, n)
		d := daemons[caller%len(daemons)]
		if caller/len(daemons)%2 == 0 {
			response, err := sendQuick(d, "stock/"+key)
			return newRequestRecord(response, err, key)
		}
		response, err := sendKeyed(d, key)
		return newRequestRecord(response, err, key)
	})
}

// streamLines is the number of output lines of a job that submitStream submits.
const streamLines = 40

// submitStream submits a stream job that writes streamLines lines.
func submitStream(d *cluster.Daemon, id string, runTime time.Duration) {
	GinkgoHelper()
	plan, err := json.Marshal(map[string]int64{"lines": streamLines, "duration_ms": runTime.Milliseconds()})
	Expect(err).NotTo(HaveOccurred())
	body := jobRequest(id, runTime, fmt.Sprintf(`,"payload":%q`, base64.StdEncoding.EncodeToString(plan)))
	submitJob(d, id, strings.Replace(body, `"class":"batch"`, `"class":"stream"`, 1))
}

// followOutput follows the output of a job in the background and sends the complete result.
func followOutput(d *cluster.Daemon, id string) <-chan requestRecord {
	out := make(chan requestRecord, 1)
	go func() {
		response, err := http.Get("http://" + d.PublicAddr + "/v1/jobs/" + id + "/output?follow=true")
		if err != nil {
			out <- requestRecord{err: err}
			return
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		out <- requestRecord{err: err, response: cluster.Response{Status: response.StatusCode, Body: string(body)}}
	}()
	return out
}

// countRuns returns how many attempts of a job were started, and how many were stopped because
// the lease of the target had expired.
func countRuns(id string, targets []*cluster.Target) (starts, leaseExpiries int) {
	GinkgoHelper()
	for _, t := range targets {
		for _, entry := range targetJournal(t) {
			if entry.Attempt == nil || entry.Attempt.Job != id {
				continue
			}
			if entry.Event == "started" {
				starts++
			}
			if entry.Outcome == "lease_over" {
				leaseExpiries++
			}
		}
	}
	return starts, leaseExpiries
}

func expectCompleteOutput(r requestRecord, job string) {
	GinkgoHelper()
	Expect(r.err).NotTo(HaveOccurred())
	var want strings.Builder
	for i := range streamLines {
		fmt.Fprintf(&want, "%s line %d\n", job, i+1)
	}
	Expect(r.response.Body).To(Equal(want.String()))
}

var _ = Describe("fencing and recovery", func() {
	// Guards against an owner that was frozen for longer than every lease and, once resumed,
	// dispatches to targets that have new owners. The targets are full, so any request from the
	// former owner exceeds their capacity.
	It("keeps an owner that was frozen from dispatching to its former targets", func() {
		c := startCluster(4, 3, map[string]any{"target_ttl_ms": 6000, "announce_ms": 200})
		applyTicket(c.Daemons[0], testTicket(1, "1"))
		targets := startTargets(c, 4, "--service-time", "200ms")
		submitJob(c.Daemons[0], "plan", jobRequest("plan", 12*time.Second, ""))
		current := waitRunning(c.Daemons[0], "plan", targets)
		frozen := ownerOf(c, c.Daemons[0], current.ID)
		stop := make(chan struct{})
		go func() {
			defer close(stop)
			// The first freeze outlasts only the session lease, the second also the target leases.
			for _, frozenFor := range []time.Duration{3 * time.Second, 7 * time.Second} {
				time.Sleep(time.Second)
				frozen.Freeze()
				time.Sleep(frozenFor)
				frozen.Resume()
			}
			time.Sleep(time.Second)
		}()
		records := runMixedLoad(c.Daemons, 56, stop)
		waitPhase(daemonsExcept(c, frozen)[0], "plan", "finished")
		// On a busy machine, the target's lease may expire before the next owner takes over. Every
		// start but the first must follow such an expiry. The test counts starts instead of
		// attempts, because an attempt that the owner refuses never starts.
		starts, leaseExpiries := countRuns("plan", targets)
		Expect(starts).To(Equal(1 + leaseExpiries))
		expectNoOverlap("plan", targets)
		checkRecords(records, targets)
		expectNoViolations(targets...)
	})

	// Guards against a job that runs in two processes of one target at once: a new process
	// announces itself, and the old one is frozen for a moment and then resumed.
	It("stops work in a target's old process before it runs in the new one", func() {
		c := startCluster(3, 3, map[string]any{"target_ttl_ms": 3000, "announce_ms": 300})
		applyTicket(c.Daemons[0], testTicket(1, "1"))
		old := startTargets(c, 1)[0]
		submitJob(c.Daemons[0], "sheet", jobRequest("sheet", 6*time.Second, ""))
		waitRunning(c.Daemons[0], "sheet", []*cluster.Target{old})
		time.Sleep(time.Second)
		replacement := startTargets(c, 1)[0]
		old.Freeze()
		time.Sleep(500 * time.Millisecond)
		old.Resume()
		j := waitPhase(c.Daemons[1], "sheet", "finished")
		Expect(j.Attempts).To(BeNumerically(">", 1))
		expectNoOverlap("sheet", []*cluster.Target{old, replacement})
		expectNoViolations(old, replacement)
	})

	// Guards against a leader that can send to the others but receives nothing from them, and
	// keeps granting sessions and accepting tickets.
	It("replaces a leader that receives nothing, under load", func() {
		c := startCluster(5, 3, nil)
		applyTicket(c.Daemons[0], testTicket(1, "1"))
		targets := startTargets(c, 5, "--service-time", "10ms")
		old := findLeader(c, c.Daemons[4])
		rest := daemonsExcept(c, old)
		stop := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(stop)
			time.Sleep(500 * time.Millisecond)
			old.Relay.CutAll()
			applyTicket(rest[0], testTicket(2, "2"))
			// Calls that the old leader makes still work, so it renews its session with the new one.
			expectVersion(old, "2")
			c.Heal()
			waitReady(c.Daemons...)
			time.Sleep(500 * time.Millisecond)
		}()
		records := runMixedLoad(c.Daemons, 12, stop)
		expectVersion(old, "2")
		checkRecords(records, targets)
		expectNoViolations(targets...)
	})

	// Guards against a repair that leaves the group less fault tolerant: two more controllers
	// are lost as soon as the repaired one is a voter.
	It("tolerates two more losses right after a controller is repaired", func() {
		c := startCluster(9, 5, nil)
		applyTicket(c.Daemons[8], testTicket(1, "1"))
		wiped := c.Daemons[1]
		before := voterDataIDs(c.Daemons[8])
		Expect(before).To(HaveLen(5))
		wiped.Kill()
		Expect(os.RemoveAll(wiped.DataDir)).To(Succeed())
		Expect(wiped.Start()).To(Succeed())
		Eventually(func(g Gomega) {
			after := voterDataIDs(c.Daemons[8])
			g.Expect(after).To(HaveLen(5))
			g.Expect(after["g2"]).NotTo(Equal(before["g2"]))
		}).WithTimeout(longWaitTimeout).Should(Succeed())
		c.Daemons[0].Kill()
		c.Daemons[2].Kill()
		applyTicket(c.Daemons[8], testTicket(2, "2"))
		expectVersion(wiped, "2")
		response, err := submitTicket(c.Daemons[8], testTicket(1, "1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Code).To(Equal("repeated"))
	})

	// Guards against a stream that loses or repeats lines, or ends early, when the owner of its
	// target is killed or the gateway that its caller uses shuts down.
	It("delivers complete streams when an owner is killed and a gateway shuts down", func() {
		c := startCluster(5, 3, nil)
		applyTicket(c.Daemons[0], testTicket(1, "1"))
		targets := startTargets(c, 2)
		submitStream(c.Daemons[0], "labels", 8*time.Second)
		current := waitRunning(c.Daemons[0], "labels", targets)
		owner := ownerOf(c, c.Daemons[0], current.ID)
		rest := daemonsExcept(c, owner)
		stoppedGateway := rest[len(rest)-1] // not a controller, so that a quorum remains
		relayedOutput, leavingOutput := followOutput(rest[0], "labels"), followOutput(stoppedGateway, "labels")
		time.Sleep(time.Second)
		stoppedGateway.Terminate()
		time.Sleep(time.Second)
		owner.Kill()
		expectCompleteOutput(<-relayedOutput, "labels")
		expectCompleteOutput(<-leavingOutput, "labels")
		Eventually(stoppedGateway.Exited).WithTimeout(waitTimeout).Should(BeTrue())
		Expect(waitPhase(rest[0], "labels", "finished").Attempts).To(Equal(1))
		expectNoViolations(targets...)
	})
})
