package test

import (
	"encoding/base64"
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirepaddle.example/test/cluster"
)

// streamRequest returns the body of a stream run that prints lines over its run time.
func streamRequest(id string, runTime time.Duration, lines int) string {
	payload := base64.StdEncoding.EncodeToString(fmt.Appendf(nil, `{"duration_ms":%d,"lines":%d}`, runTime.Milliseconds(), lines))
	body := strings.Replace(jobRequest(id, runTime, fmt.Sprintf(`,"payload":%q`, payload)), `"batch"`, `"stream"`, 1)
	return strings.Replace(body, "restock-plan", "label-run", 1)
}

func wantedLines(id string, lines int) string {
	var text strings.Builder
	for i := range lines {
		fmt.Fprintf(&text, "%s line %d\n", id, i+1)
	}
	return strings.TrimSpace(text.String())
}

var _ = Describe("streams", func() {
	// Guards against lines that are lost, doubled or cut off when a run is evicted while a
	// caller follows it.
	It("follows a run over an eviction without a gap", func() {
		c := startCluster(3, 3, nil)
		applyTicket(c.Daemons[0], poolTicket(1, "1"))
		targets := startTargets(c, 1)
		const lines = 60
		submitJob(c.Daemons[0], "labels", streamRequest("labels", 8*time.Second, lines))
		waitRunning(c.Daemons[0], "labels", targets)
		followed := make(chan record, 1)
		go func() {
			answer, err := cluster.Do(http.MethodGet, "http://"+c.Daemons[1].Public+"/v1/jobs/labels/output?offset=0&follow=true", "")
			followed <- recordOf(answer, err, "labels")
		}()
		for i := range 5 {
			id := fmt.Sprintf("plan-%d", i)
			submitJob(c.Daemons[0], id, jobRequest(id, 20*time.Second, ""))
			waitRunning(c.Daemons[0], id, targets)
		}
		// Every slot that batch work may take is held; two urgent jobs evict two of the runs.
		for _, id := range []string{"urgent-1", "urgent-2", "urgent-3", "urgent-4", "urgent-5", "urgent-6"} {
			submitJob(c.Daemons[0], id, jobRequest(id, time.Second, `,"urgent":true`))
		}
		r := <-followed
		Expect(r.err).NotTo(HaveOccurred())
		Expect(r.answer.Body).To(Equal(wantedLines("labels", lines)))
		Expect(waitPhase(c.Daemons[0], "labels", "finished").Evictions).To(BeNumerically(">", 0))
		expectOneAtATime("labels", targets)
		expectNoViolations(targets...)
	})
})
