package crowd

import (
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"testing"

	"samphirepaddle.example/platform/standin"
	"samphirepaddle.example/test/soak"
)

// Sizes of the crowds and of their bodies, which are the largest that are legal.
const (
	callers     = 400
	jobBytes    = 256 << 10
	operators   = 48
	configBytes = 4 << 20
	tenants     = 48
	ownBytes    = 4 << 20
	legalJobs   = 400
)

var shapes = []shape{wholeBodies, inPieces, largeChunks, singleBytes}

func build(t *testing.T) string {
	t.Helper()
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	binary, err := soak.Build(root, t.TempDir(), nil)
	if err != nil {
		t.Fatal(err)
	}
	return binary
}

// Guards against a gateway that runs out of memory or descriptors when many callers hold large bodies open.
func TestCallersThatStopShortOfTheEnd(t *testing.T) {
	binary := build(t)
	for _, shape := range shapes {
		t.Run(string(shape), func(t *testing.T) {
			r := newPlatformRig(t, binary)
			body := paddedJob(jobBytes)
			c := &crowd{addr: r.gateway.addr, clients: callers, shape: shape, request: func(client int) (string, string) {
				return fmt.Sprintf("POST /q/crowd%d HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n", client, testHost), body
			}}
			c.gather()
			r.gateway.countFiles()
			r.submitOrdinary(t) // beside the crowd
			c.leave()
			r.submitOrdinary(t)
			r.gateway.check(t)
			r.controller.check(t)
		})
	}
}

// Guards against a controller that runs out of memory when many clients hold large configurations open.
func TestOperatorsThatStopShortOfTheEnd(t *testing.T) {
	binary := build(t)
	for _, shape := range shapes[:3] { // one-byte chunks of 4 MiB would mostly load the test itself
		t.Run(string(shape), func(t *testing.T) {
			r := newPlatformRig(t, binary)
			document := string(standin.Configuration(1, testHost, "s", 3, "/q/"))
			body := document + strings.Repeat(" ", configBytes-len(document))
			c := &crowd{addr: r.controller.addr, clients: operators, shape: shape, request: func(int) (string, string) {
				return "PUT /config HTTP/1.1\r\nHost: c\r\nContent-Type: application/json\r\n", body
			}}
			c.gather()
			r.controller.countFiles()
			r.submitOrdinary(t)
			c.leave()
			r.untilAnswered(t, "a configuration", func() (int, error) {
				return request(http.MethodPut, "http://"+r.controller.addr+"/config", string(standin.Configuration(2, testHost, "s", 3, "/q/")))
			})
			r.controller.check(t)
		})
	}
}

// Guards against a leader that runs out of memory when many large jobs are accepted, each of them legal.
func TestManyLegalJobs(t *testing.T) {
	r := newPlatformRig(t, build(t))
	step := fmt.Sprintf(`{"count":1,"cpu":100,"mem-mb":10,"image":"%s"}`, strings.Repeat("i", 900))
	body := fmt.Sprintf(`{"spec":"%s","phases":[%s]}`, strings.Repeat("s", 4000), strings.TrimSuffix(strings.Repeat(step+",", 256), ","))
	if len(body) > jobBytes {
		t.Fatalf("the body has %d bytes", len(body))
	}
	for i := range legalJobs {
		_, _ = request(http.MethodPost, fmt.Sprintf("http://%s/q/legal%d", r.gateway.addr, i), body) // may be refused
	}
	r.submitOrdinary(t)
	r.controller.check(t)
	r.gateway.check(t)
}

// Guards against a limit that a single caller inside the limits of the pages meets in calm.
func TestLargestLegalJobInCalm(t *testing.T) {
	r := newPlatformRig(t, build(t))
	if status, err := request(http.MethodPost, "http://"+r.gateway.addr+"/q/largest", paddedJob(jobBytes)); status != http.StatusOK || err != nil {
		t.Errorf("the largest legal job got status %d, error %v", status, err)
	}
}

// Guards against a daemon with pools of its own that runs out of memory in the same way.
func TestTenantsThatStopShortOfTheEnd(t *testing.T) {
	binary := build(t)
	for _, shape := range shapes[:3] {
		t.Run(string(shape), func(t *testing.T) {
			d := newOwnDaemon(t, binary)
			body := `{"number":1,"author":"` + strings.Repeat("x", ownBytes) + `"}`
			c := &crowd{addr: d.addr, clients: tenants, shape: shape, request: func(int) (string, string) {
				return "POST /v1/tickets HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\n", body
			}}
			c.gather()
			d.countFiles()
			d.untilAnswered(t)
			c.leave()
			d.untilAnswered(t)
			d.check(t)
		})
	}
}
