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

// streamRequest returns the submission body of a stream job that writes the given number of lines
// during its run time.
func streamRequest(id string, runTime time.Duration, lines int) string {
	payload := base64.StdEncoding.EncodeToString(fmt.Appendf(nil, `{"duration_ms":%d,"lines":%d}`, runTime.Milliseconds(), lines))
	body := strings.Replace(jobRequest(id, runTime, fmt.Sprintf(`,"payload":%q`, payload)), `"batch"`, `"stream"`, 1)
	return strings.Replace(body, "restock-plan", "label-run", 1)
}

func expectedLines(id string, lines int) string {
	var text strings.Builder
	for i := range lines {
		fmt.Fprintf(&text, "%s line %d\n", id, i+1)
	}
	return strings.TrimSpace(text.String())
}

var _ = Describe("streams", func() {
	// Guards against output lines that are lost, duplicated or truncated when a job is evicted
	// while a caller follows its output.
	It("follows a run over an eviction without a gap", func() {
		c := startCluster(3, 3, nil)
		applyTicket(c.Daemons[0], testTicket(1, "1"))
		targets := startTargets(c, 1)
		const lines = 60
		submitJob(c.Daemons[0], "labels", streamRequest("labels", 12*time.Second, lines))
		waitRunning(c.Daemons[0], "labels", targets)
		followed := make(chan requestRecord, 1)
		go func() {
			response, err := cluster.Do(http.MethodGet, "http://"+c.Daemons[1].PublicAddr+"/v1/jobs/labels/output?offset=0&follow=true", "")
			followed <- newRequestRecord(response, err, "labels")
		}()
		for i := range 5 {
			id := fmt.Sprintf("plan-%d", i)
			submitJob(c.Daemons[0], id, jobRequest(id, 20*time.Second, ""))
			waitRunning(c.Daemons[0], id, targets)
		}
		// All slots available to batch work are in use, and the urgent jobs outlast the evictions: an
		// urgent job that ended early would leave its slot to the next one and spare the oldest job,
		// which is the one that is followed.
		for _, id := range []string{"urgent-1", "urgent-2", "urgent-3", "urgent-4", "urgent-5", "urgent-6"} {
			submitJob(c.Daemons[0], id, jobRequest(id, 6*time.Second, `,"urgent":true`))
		}
		r := <-followed
		Expect(r.err).NotTo(HaveOccurred())
		Expect(r.response.Body).To(Equal(expectedLines("labels", lines)))
		Expect(waitPhase(c.Daemons[0], "labels", "finished").Evictions).To(BeNumerically(">", 0))
		expectNoOverlap("labels", targets)
		expectNoViolations(targets...)
	})
})
