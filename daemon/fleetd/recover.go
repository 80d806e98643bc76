package fleetd

import (
	"net/http"
	"runtime/debug"

	"github.com/rs/zerolog"
)

// statusOutcomeUnknown is the response to a request whose handler panicked. Callers, workers,
// operators and other daemons all take it for a request that may have run.
const statusOutcomeUnknown = http.StatusGatewayTimeout

// headerTracker notes whether the handler has begun its response.
type headerTracker struct {
	http.ResponseWriter
	begun bool
}

// WriteHeader begins the response.
func (t *headerTracker) WriteHeader(status int) {
	t.begun = true
	t.ResponseWriter.WriteHeader(status)
}

// Write begins the response, if necessary, and writes a part of its body.
func (t *headerTracker) Write(data []byte) (int, error) {
	t.begun = true
	return t.ResponseWriter.Write(data)
}

// Unwrap gives http.ResponseController access to the connection.
func (t *headerTracker) Unwrap() http.ResponseWriter { return t.ResponseWriter }

// recoverPanics answers a request whose handler panics with statusOutcomeUnknown, or breaks the
// response off if it has begun.
func recoverPanics(next http.Handler, logger zerolog.Logger) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		tracker := &headerTracker{ResponseWriter: w}
		defer func() {
			reason := recover()
			if reason == nil {
				return
			}
			logger.Error().Interface("panic", reason).Str("method", r.Method).Str("path", r.URL.Path).
				Bytes("stack", debug.Stack()).Msg("the handler of a request panicked")
			if tracker.begun {
				panic(http.ErrAbortHandler)
			}
			w.Header().Set("Connection", "close")
			w.WriteHeader(statusOutcomeUnknown)
		}()
		next.ServeHTTP(tracker, r)
	})
}
