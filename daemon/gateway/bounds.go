package gateway

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/daemon/target"
)

// Timeouts for slow and half-open client connections. They do not limit how long a request runs.
const (
	bodyTimeout    = 10 * time.Second // to receive the request body
	writeTimeout   = 10 * time.Second // to send the response, counted from its first byte
	handlerTimeout = time.Minute      // initial write deadline of a request, until its handler sets another one
)

// WithTimeouts wraps the public handler so that bodyTimeout and handlerTimeout apply to each
// request. A draining gateway also asks callers to close their connections.
func (g *Gateway) WithTimeouts(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		_ = control.SetWriteDeadline(time.Now().Add(handlerTimeout))
		if r.ContentLength != 0 {
			_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
			r.Body = &deadlineBody{ReadCloser: r.Body, control: control}
		}
		if g.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// deadlineBody clears the read deadline at the end of the body. Otherwise the deadline would
// expire while the request runs, and the server would treat the caller as disconnected.
type deadlineBody struct {
	io.ReadCloser
	control *http.ResponseController
}

func (b *deadlineBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// startWriteTimeout sets the write deadline of the response to writeTimeout from now.
func startWriteTimeout(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	startWriteTimeout(w)
	w.Header().Set("Content-Type", "application/json")
	if w.Header().Get(model.VerdictHeader) == "" {
		w.Header().Set(model.VerdictHeader, model.VerdictRan.String())
	}
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}

// Problem is the body of an error response of the public API.
type Problem struct {
	Error   string `json:"error"`
	Code    string `json:"code"`
	Verdict string `json:"verdict"`
}

func writeProblem(w http.ResponseWriter, status int, verdict model.Verdict, code, message string) {
	w.Header().Set(model.VerdictHeader, verdict.String())
	retryable := status >= http.StatusInternalServerError || status == http.StatusTooManyRequests
	if verdict == model.VerdictNotRun && retryable && w.Header().Get("Retry-After") == "" {
		w.Header().Set("Retry-After", "1")
	}
	writeJSON(w, status, Problem{Error: message, Code: code, Verdict: verdict.String()})
}

// RefuseForMemory answers a request whose body was given up for want of memory.
func RefuseForMemory(w http.ResponseWriter, _ *http.Request) {
	writeProblem(w, http.StatusServiceUnavailable, model.VerdictNotRun, codeNoMemory, noMemoryText)
}

// RefusePeerForMemory answers a request of another daemon whose body was given up for want of memory. A forwarded call
// may then run elsewhere.
func RefusePeerForMemory(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
	out := newFailure(model.VerdictNotRun, http.StatusServiceUnavailable, codeNoMemory, noMemoryText)
	out.retryElsewhere = true
	writeForwardProblem(w, out)
}

// Code and text of a request that was given up for want of memory.
const (
	codeNoMemory = "no_memory"
	noMemoryText = "the gateway has no memory for the body; the request has not run"
)

// retryAfter formats a wait for the Retry-After header: whole seconds, at least 1.
func retryAfter(wait time.Duration) string {
	return strconv.Itoa(max(1, int(math.Ceil(wait.Seconds()))))
}
