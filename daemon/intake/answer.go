package intake

import (
	"net/http"
	"slices"
	"time"
)

// answerPart is the part of an answer that a client has to take within the write timeout.
const answerPart = 64 << 10

// answer is the answer to a request. The refusal of a request that was given up replaces whatever the handler
// answers to its incomplete body.
type answer struct {
	http.ResponseWriter
	guard   *Guard
	request *http.Request
	body    *bodyRead // nil without a body
	begun   bool
	refused bool
}

// WriteHeader begins the answer.
func (a *answer) WriteHeader(status int) {
	if a.begun {
		if !a.refused {
			a.ResponseWriter.WriteHeader(status)
		}
		return
	}
	a.begun = true
	a.setDeadline()
	if status >= http.StatusBadRequest && a.body != nil && a.guard.wasGivenUp(a.body) {
		a.refused = true
		for name := range a.Header() {
			a.Header().Del(name)
		}
		a.Header().Set("Connection", "close")
		a.guard.options.Refuse(a.ResponseWriter, a.request)
		return
	}
	a.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the answer.
func (a *answer) Write(data []byte) (int, error) {
	if !a.begun {
		a.WriteHeader(http.StatusOK)
	}
	if a.refused {
		return len(data), nil
	}
	if len(data) > smallAnswer {
		defer a.hold(int64(len(data)))()
	}
	written := 0
	for part := range slices.Chunk(data, answerPart) {
		a.setDeadline()
		n, err := a.ResponseWriter.Write(part)
		if written += n; err != nil {
			return written, err
		}
	}
	return written, nil
}

func (a *answer) setDeadline() {
	if a.guard.options.WriteTimeout == 0 {
		return
	}
	// An error means that the connection has no deadlines, as in tests without a server.
	_ = http.NewResponseController(a.ResponseWriter).SetWriteDeadline(time.Now().Add(a.guard.options.WriteTimeout))
}

// hold accounts a part of a large answer until the function that it returns is called. A ready answer is always
// delivered.
func (a *answer) hold(bytes int64) (release func()) {
	g := a.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	id := g.bodies.Open("", now())
	g.bodies.Complete(id)
	g.bodies.Hold(id, bytes)
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.bodies.Close(id)
		g.release()
	}
}

// Unwrap gives http.ResponseController access to the connection.
func (a *answer) Unwrap() http.ResponseWriter { return a.ResponseWriter }
