package crowd

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"samphirepaddle.example/platform/standin"
)

// largeRoutes is the number of routes of a configuration that is almost as large as is legal, at most 16,384.
const largeRoutes = 16_000

// Guards against daemons that run out of memory when a crowd of operators comes while the largest configuration is stored.
func TestLargestConfigurationBesideOperators(t *testing.T) {
	r := newPlatformRig(t, build(t))
	prefixes := []string{"/q/"}
	for i := range largeRoutes {
		prefixes = append(prefixes, fmt.Sprintf("/route%06d-%s/", i, strings.Repeat("x", 30)))
	}
	document := string(standin.Configuration(2, testHost, "s", 3, prefixes...))
	if len(document) > configBytes || len(document) < configBytes*15/16 {
		t.Fatalf("the configuration has %d bytes", len(document))
	}
	r.untilAnswered(t, "the largest configuration", func() (int, error) {
		return request(http.MethodPut, "http://"+r.controller.addr+"/config", document)
	})
	c := &crowd{addr: r.controller.addr, clients: operators, shape: wholeBodies, request: func(int) (string, string) {
		return "PUT /config HTTP/1.1\r\nHost: c\r\n", document
	}}
	c.gather()
	r.submitOrdinary(t)
	c.leave()
	r.untilConfigured(t, 3)
	r.submitOrdinary(t)
	r.check(t)
}
