package test

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirepaddle.example/test/cluster"
)

// job holds the fields of a job's status that the tests read.
type job struct {
	Phase               string `json:"phase"`
	Attempts            int    `json:"attempts"`
	Evictions           int    `json:"evictions"`
	NeverRunnableReason string `json:"never_reason"`
	OpenAttempt         *struct {
		Target string `json:"target"`
	} `json:"open"`
}

// jobRequest returns the submission body of a batch job that needs one slot. more is appended
// to its JSON fields.
func jobRequest(id string, runTime time.Duration, more string) string {
	return fmt.Sprintf(`{"id":%q,"pool":"shops","class":"batch","kind":"restock-plan","run_time_ms":%d,
		"declared":{"slots":1,"connections":0,"cpu_millis":4000,"memory_mib":4096,"accelerators":0}%s}`,
		id, runTime.Milliseconds(), more)
}

func submitJob(d *cluster.Daemon, id, body string) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		response, err := cluster.Do(http.MethodPost, "http://"+d.PublicAddr+"/v1/jobs", body,
			"Samphire-Tenant", "cuenca", "Idempotency-Key", id)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.Status).To(Equal(http.StatusAccepted), response.Body)
	}).WithTimeout(waitTimeout).Should(Succeed())
}

func getJob(d *cluster.Daemon, id string) (job, error) {
	var j job
	err := cluster.GetJSON("http://"+d.PublicAddr+"/v1/jobs/"+id, &j)
	return j, err
}

func waitPhase(d *cluster.Daemon, id, phase string) job {
	GinkgoHelper()
	var last job
	Eventually(func(g Gomega) {
		j, err := getJob(d, id)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(j.Phase).To(Equal(phase), id)
		last = j
	}).WithTimeout(longWaitTimeout).Should(Succeed(), func() string { return explain(d, id) })
	return last
}

// explain returns the explanation of why a job is waiting, for failure messages.
func explain(d *cluster.Daemon, id string) string {
	response, err := cluster.Do(http.MethodGet, "http://"+d.PublicAddr+"/v1/jobs/"+id+"/explain", "")
	if err != nil {
		return err.Error()
	}
	return response.Body
}

// waitRunning waits until an attempt of the job has started on a target and returns the target.
func waitRunning(d *cluster.Daemon, id string, targets []*cluster.Target) *cluster.Target {
	GinkgoHelper()
	var found *cluster.Target
	Eventually(func(g Gomega) {
		found = nil
		for _, t := range targets {
			if t.Exited() {
				continue
			}
			for _, entry := range targetJournal(t) {
				if entry.Attempt != nil && entry.Attempt.Job == id && entry.Event == "started" {
					found = t
				}
			}
		}
		g.Expect(found).NotTo(BeNil())
	}).WithTimeout(waitTimeout).Should(Succeed())
	return found
}

// expectNoOverlap checks in the journals of the targets that attempts of a job did not run
// concurrently and that exactly one of them finished.
func expectNoOverlap(id string, targets []*cluster.Target) {
	GinkgoHelper()
	type run struct{ from, to int64 }
	runs := map[int]*run{}
	finished := 0
	for _, t := range targets {
		if t.Exited() {
			continue
		}
		for _, entry := range targetJournal(t) {
			if entry.Attempt == nil || entry.Attempt.Job != id {
				continue
			}
			number := entry.Attempt.Number
			if entry.Event == "started" {
				Expect(runs).NotTo(HaveKey(number), "attempt %d of %s started twice", number, id)
				runs[number] = &run{from: entry.AtMs}
				continue
			}
			runs[number].to = entry.AtMs
			if entry.Outcome == "finished" {
				finished++
			}
		}
	}
	Expect(finished).To(Equal(1), id)
	for a, earlier := range runs {
		for b, later := range runs {
			if a < b {
				Expect(earlier.to).To(BeNumerically("<=", later.from), "attempts %d and %d of %s overlap", a, b, id)
			}
		}
	}
}

var _ = Describe("batch work", func() {
	// Guards against a running job that is started again or lost when the owner of its target
	// or the leader dies.
	It("finishes a job in one attempt while daemons are killed", func() {
		c := startCluster(9, 3, nil)
		applyTicket(c.Daemons[0], testTicket(1, "1"))
		targets := startTargets(c, 4)
		const jobs = 12
		for i := range jobs {
			id := fmt.Sprintf("plan-%d", i)
			submitJob(c.Daemons[i%9], id, jobRequest(id, 8*time.Second, ""))
		}
		for i := range jobs {
			waitRunning(c.Daemons[0], fmt.Sprintf("plan-%d", i), targets)
		}
		c.Daemons[4].Kill()
		c.Daemons[3].Kill()
		dead := findLeader(c, c.Daemons[0])
		dead.Kill()
		asked := daemonsExcept(c, dead)[0]
		for i := range jobs {
			id := fmt.Sprintf("plan-%d", i)
			j := waitPhase(asked, id, "finished")
			Expect(j.Attempts).To(Equal(1), id)
			expectNoOverlap(id, targets)
		}
		expectNoViolations(targets...)
	})

	// Guards against losing work together with its target, and against starting it elsewhere
	// while its target still runs it and merely cannot announce itself.
	It("resumes the work of a target that cannot announce itself after its lease has expired", func() {
		c := startCluster(3, 3, map[string]any{"target_ttl_ms": 3000, "announce_ms": 300})
		applyTicket(c.Daemons[0], testTicket(1, "1"))
		targets := startTargets(c, 3)
		submitJob(c.Daemons[0], "sheet", jobRequest("sheet", 6*time.Second, ""))
		current := waitRunning(c.Daemons[0], "sheet", targets)
		setFaults(current, `{"freeze_announcements":true}`)
		j := waitPhase(c.Daemons[1], "sheet", "finished")
		Expect(j.Attempts).To(Equal(2))
		expectNoOverlap("sheet", targets)
		expectNoViolations(targets...)
	})

	// Guards against a target that was frozen for longer than its lease and then continues a
	// job that has been requeued in the meantime.
	It("does not finish a job twice when a frozen target resumes", func() {
		c := startCluster(3, 3, map[string]any{"target_ttl_ms": 3000, "announce_ms": 300})
		applyTicket(c.Daemons[0], testTicket(1, "1"))
		targets := startTargets(c, 3)
		submitJob(c.Daemons[0], "sheet", jobRequest("sheet", 5*time.Second, ""))
		current := waitRunning(c.Daemons[0], "sheet", targets)
		current.Freeze()
		waitPhase(c.Daemons[1], "sheet", "finished")
		current.Resume()
		waitTargetLease(current)
		finished := 0
		for _, t := range targets {
			for _, entry := range targetJournal(t) {
				if entry.Attempt != nil && entry.Attempt.Job == "sheet" && entry.Outcome == "finished" {
					finished++
				}
			}
		}
		Expect(finished).To(Equal(1))
		expectNoViolations(targets...)
	})

	// Guards against an eviction that loses the checkpoint, is resumed twice, or is resumed
	// while the evicted attempt still runs.
	It("evicts jobs for urgent work and resumes them exactly once", func() {
		c := startCluster(3, 3, nil)
		applyTicket(c.Daemons[0], testTicket(1, "1"))
		targets := startTargets(c, 1)
		for i := range 6 {
			id := fmt.Sprintf("plan-%d", i)
			submitJob(c.Daemons[0], id, jobRequest(id, 6*time.Second, ""))
		}
		for i := range 6 {
			waitRunning(c.Daemons[0], fmt.Sprintf("plan-%d", i), targets)
		}
		submitJob(c.Daemons[1], "urgent", jobRequest("urgent", time.Second, `,"urgent":true`))
		waitPhase(c.Daemons[0], "urgent", "finished")
		evictions := 0
		for i := range 6 {
			id := fmt.Sprintf("plan-%d", i)
			j := waitPhase(c.Daemons[0], id, "finished")
			Expect(j.Attempts).To(Equal(j.Evictions+1), id)
			evictions += j.Evictions
			expectNoOverlap(id, targets)
		}
		Expect(evictions).To(BeNumerically(">", 0))
		expectNoViolations(targets...)
	})

	// Guards against cancellations that lose jobs, block the queue or leave tasks running.
	It("cancels many jobs and runs those submitted later", func() {
		c := startCluster(3, 3, nil)
		applyTicket(c.Daemons[0], testTicket(1, "1"))
		targets := startTargets(c, 2)
		const jobs = 100
		for i := range jobs {
			id := fmt.Sprintf("plan-%d", i)
			submitJob(c.Daemons[i%3], id, jobRequest(id, 30*time.Second, ""))
		}
		for i := range jobs {
			for range 2 {
				response, err := cluster.Do(http.MethodPost, fmt.Sprintf("http://%s/v1/jobs/plan-%d/cancel", c.Daemons[(i+1)%3].PublicAddr, i), "",
					"Samphire-Tenant", "cuenca")
				Expect(err).NotTo(HaveOccurred())
				Expect(response.Status).To(Equal(http.StatusAccepted), response.Body)
			}
		}
		for i := range jobs {
			waitPhase(c.Daemons[0], fmt.Sprintf("plan-%d", i), "cancelled")
		}
		submitJob(c.Daemons[0], "after", jobRequest("after", time.Second, ""))
		waitPhase(c.Daemons[0], "after", "finished")
		expectNoViolations(targets...)
	})

	// Guards against a job that can never run and blocks the queue, or waits without a reported reason.
	It("reports a job that can never run and runs the others", func() {
		c := startCluster(3, 3, nil)
		applyTicket(c.Daemons[0], testTicket(1, "1"))
		startTargets(c, 2)
		huge := strings.Replace(jobRequest("huge", time.Second, ""), `"memory_mib":4096`, `"memory_mib":9000000`, 1)
		submitJob(c.Daemons[0], "huge", huge)
		submitJob(c.Daemons[0], "plan", jobRequest("plan", time.Second, ""))
		waitPhase(c.Daemons[0], "plan", "finished")
		Eventually(func(g Gomega) {
			j, err := getJob(c.Daemons[1], "huge")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(j.Phase).To(Equal("queued"))
			g.Expect(j.NeverRunnableReason).To(ContainSubstring("memory"))
		}).WithTimeout(waitTimeout).Should(Succeed())
	})
})
