package fleetd

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"samphirepaddle.example/daemon/fleet"
)

// Guards against a daemon that serves nobody for a minute and does not say where it looks for a leader.
func TestMissingLeaderIsLoggedAtGrowingIntervals(t *testing.T) {
	var log bytes.Buffer
	c := fleet.NewClient([]string{"seed:1"}, http.DefaultTransport, zerolog.Nop())
	w := contactWatch{logger: zerolog.New(&log), metrics: fleet.NewMetrics()}
	began := time.Now()
	for s := range 61 {
		w.observe(c, began.Add(time.Duration(s)*time.Second))
	}
	// After 1, 2, 4, 8, 16 and 32 s.
	if got := strings.Count(log.String(), `"seeds":["seed:1"]`); got != 6 {
		t.Errorf("%d lines name the seeds in 60 s, want 6:\n%s", got, log.String())
	}
}
