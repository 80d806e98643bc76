package gateway

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"samphirepaddle.example/core/model"
)

// Times that bound slow and half-open callers. They do not bound how long a request may run.
const (
	bodyTimeout  = 10 * time.Second // to receive the body of a request
	writeTimeout = 10 * time.Second // to take an answer, counted from its first byte
	otherTimeout = time.Minute      // to handle and answer what is neither a call nor an output
)

// WithTimeouts wraps the public handler with the times above. A draining gateway also asks callers
// to close their connections.
func (g *Gateway) WithTimeouts(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		_ = control.SetWriteDeadline(time.Now().Add(otherTimeout))
		if r.ContentLength != 0 {
			_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
			r.Body = &boundedBody{ReadCloser: r.Body, control: control}
		}
		if g.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// boundedBody lifts the read deadline at the end of the body. Otherwise the deadline would
// pass while the request runs, and the server would take that for a caller that went away.
type boundedBody struct {
	io.ReadCloser
	control *http.ResponseController
}

func (b *boundedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// beginAnswer bounds the time that the caller may take to receive the answer.
func beginAnswer(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	beginAnswer(w)
	w.Header().Set("Content-Type", "application/json")
	if w.Header().Get(model.VerdictHeader) == "" {
		w.Header().Set(model.VerdictHeader, model.VerdictRan.String())
	}
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}

// Problem is the body of every error answer.
type Problem struct {
	Error   string `json:"error"`
	Code    string `json:"code"`
	Verdict string `json:"verdict"`
}

func writeProblem(w http.ResponseWriter, status int, verdict model.Verdict, code, message string) {
	w.Header().Set(model.VerdictHeader, verdict.String())
	again := status >= http.StatusInternalServerError || status == http.StatusTooManyRequests
	if verdict == model.VerdictNotRun && again && w.Header().Get("Retry-After") == "" {
		w.Header().Set("Retry-After", "1")
	}
	writeJSON(w, status, Problem{Error: message, Code: code, Verdict: verdict.String()})
}

// retryAfter formats a pause in whole seconds, at least 1.
func retryAfter(wait time.Duration) string {
	return strconv.Itoa(max(1, int(math.Ceil(wait.Seconds()))))
}
