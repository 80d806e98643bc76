package fleetd

import (
	"errors"
	"net/http"

	"samphirepaddle.example/daemon/fleet"
	"samphirepaddle.example/daemon/intake"
)

// newMetricsServer returns a server of GET /metrics.
func newMetricsServer(m *fleet.Metrics) *http.Server {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", m.Handler())
	return &http.Server{
		Handler: mux, ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, WriteTimeout: bodyTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// serveMetrics serves the metrics on their own address, if the settings have one. A failure is only
// logged, because the daemon serves its callers without them.
func (d *Daemon) serveMetrics() {
	addr := d.settings.MetricsListen
	if addr == "" {
		return
	}
	budget := d.probeBudget()
	listener, err := intake.Listen(addr, budget)
	if err == nil {
		guard := d.newGuard(budget)
		guard.Attach(d.metricsServer)
		d.metricsServer.Handler = guard.Handler(d.metricsServer.Handler)
		err = d.metricsServer.Serve(guard.Listener(listener))
	}
	if !errors.Is(err, http.ErrServerClosed) {
		d.logger.Warn().Err(err).Str("addr", addr).Msg("metrics are not served")
	}
}
