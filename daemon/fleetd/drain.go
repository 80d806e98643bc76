package fleetd

import (
	"net/http"
	"sync/atomic"
)

// drainFlag is a flag that is set once the daemon is shutting down.
type drainFlag struct{ flag atomic.Bool }

func (d *drainFlag) set() { d.flag.Store(true) }

func (d *drainFlag) isSet() bool { return d.flag.Load() }

// closeAfterResponse closes each connection after the next response once the daemon is shutting
// down, so that callers connect to another gateway. It never closes one during a request.
func (d *drainFlag) closeAfterResponse(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Date"] = nil
		if d.isSet() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
