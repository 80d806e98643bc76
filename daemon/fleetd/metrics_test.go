package fleetd

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"samphirepaddle.example/daemon/fleet"
	"samphirepaddle.example/daemon/settings"
)

func newMetricsDaemon(addr string, log io.Writer) *Daemon {
	d := &Daemon{settings: settings.Fleet{MetricsListen: addr}, logger: zerolog.New(log), metrics: fleet.NewMetrics()}
	d.metricsServer = newMetricsServer(d.metrics)
	return d
}

// Guards against a role whose metrics are not served on the address of its settings.
func TestMetricsAreServedOnTheirOwnAddress(t *testing.T) {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := free.Addr().String()
	if err := free.Close(); err != nil {
		t.Fatal(err)
	}
	d := newMetricsDaemon(addr, io.Discard)
	served := make(chan struct{})
	go func() { d.serveMetrics(); close(served) }()
	var response *http.Response
	for response == nil {
		if response, err = http.Get("http://" + addr + "/metrics"); err != nil && !errors.As(err, new(*net.OpError)) {
			t.Fatal(err)
		}
		select {
		case <-served:
			t.Fatal("the server has ended")
		default:
		}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Errorf("status %d", response.StatusCode)
	}
	if err := d.metricsServer.Close(); err != nil {
		t.Fatal(err)
	}
	<-served
}

// Guards against a daemon that stops serving callers because its metrics address is taken.
func TestTakenMetricsAddressIsOnlyLogged(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	var log bytes.Buffer
	newMetricsDaemon(taken.Addr().String(), &log).serveMetrics()
	if !strings.Contains(log.String(), "metrics are not served") {
		t.Errorf("the log is %q", log.String())
	}
}
