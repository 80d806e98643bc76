// Package once sends HTTP requests at most once and reports whether a failed request may have
// reached the server.
//
// By itself, http.Transport resends requests that it considers replayable: GET, HEAD, OPTIONS
// and TRACE, and any request with an Idempotency-Key header. The requests of this package have
// a body that cannot be rewound, even if it is empty, so the transport never resends them.
package once

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// ErrCheckFailed is returned if the check of a request failed immediately before its first byte.
var ErrCheckFailed = errors.New("the lease was over before the request was sent")

// errAbandoned is returned by writes after the request was abandoned before its first byte.
var errAbandoned = errors.New("the request was given up")

// maxResponseHeaderBytes is the maximum size of the headers of a response, in bytes.
const maxResponseHeaderBytes = 64 << 10

// NewTransport returns a transport whose connections record whether the first byte of a
// request was written. Requests must be sent with such a transport.
func NewTransport(dialer *net.Dialer, idleTimeout time.Duration, idlePerHost int) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: c}, nil
		},
		MaxIdleConnsPerHost:    idlePerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DisableCompression:     true,
	}
}

// conn records whether any byte of the current request was written.
type conn struct {
	net.Conn

	mu        sync.Mutex
	check     func() bool // runs before the first byte; nil if there is none
	started   bool        // a byte was written or a write is in progress
	abandoned bool        // writes are refused
	refused   bool        // check returned false
}

// startRequest prepares the connection for a new request.
func (c *conn) startRequest(check func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.check = check
	c.started = false
}

// abandon makes further writes fail if no byte of the request was written yet. It reports
// whether the request was started, and whether the check refused it.
func (c *conn) abandon() (started, refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.started {
		c.abandoned = true
	}
	return c.started, c.refused
}

func (c *conn) Write(p []byte) (int, error) {
	first, err := c.allowFirstByte()
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if first && n == 0 && err != nil {
		c.markNotWritten()
	}
	return n, err
}

// markNotWritten records that the first write of a request failed without writing a byte, for
// example on a connection that was closed while it was idle.
func (c *conn) markNotWritten() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started = false
	c.abandoned = true
}

// allowFirstByte runs the check before the first byte of a request; first is true if that byte
// is about to be written. If the process is suspended between the check and the write, the
// lease may expire before the write. The safety margin of the lease's granter covers a short
// suspension. After a longer one, a target that has seen a newer epoch refuses the request.
func (c *conn) allowFirstByte() (first bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.started {
		return false, nil
	}
	if c.abandoned {
		return false, errAbandoned
	}
	if c.check != nil && !c.check() {
		c.refused = true
		c.abandoned = true
		return false, ErrCheckFailed
	}
	c.started = true
	return true, nil
}

// body is a request body that cannot be rewound.
type body struct{ *bytes.Reader }

func (body) Close() error { return nil }

// Request is one request that is sent at most once.
type Request struct {
	httpRequest *http.Request
	content     []byte // body
	conn        *conn  // connection of the last try, nil if none
	reused      bool   // conn was taken from the pool of idle connections
}

// NewRequest returns a request with content as its body. check runs immediately before the
// first byte is written; if it returns false, nothing is sent. check may be nil.
func NewRequest(ctx context.Context, method, url string, content []byte, check func() bool) (*Request, error) {
	r := &Request{content: content}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			c.startRequest(check)
			r.conn = c
			r.reused = info.Reused
		}
	}}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, url, body{bytes.NewReader(content)})
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	request.ContentLength = int64(len(content))
	if len(content) == 0 {
		// With a non-nil body, a length of 0 means unknown, as -1 does. The transport detects
		// that the body is empty, and still does not treat the request as replayable.
		request.ContentLength = -1
	}
	r.httpRequest = request
	return r, nil
}

// Header returns the headers of the request, which the caller may set before Do.
func (r *Request) Header() http.Header { return r.httpRequest.Header }

// maxConnectionTries is the maximum number of connections that are tried until one accepts the
// first byte.
const maxConnectionTries = 4

// Do sends the request. sent is false only if no byte of the request was written and none will
// be. If an idle connection turns out to be closed before the first byte, Do tries another one.
func (r *Request) Do(client *http.Client) (response *http.Response, sent bool, err error) {
	for try := 1; ; try++ {
		response, sent, err = r.try(client)
		if err == nil || sent || !r.reused || try == maxConnectionTries || errors.Is(err, ErrCheckFailed) || r.httpRequest.Context().Err() != nil {
			return response, sent, err
		}
		r.httpRequest = r.httpRequest.Clone(r.httpRequest.Context())
		r.httpRequest.Body = body{bytes.NewReader(r.content)}
	}
}

// try sends the request on one connection.
func (r *Request) try(client *http.Client) (response *http.Response, sent bool, err error) {
	r.conn, r.reused = nil, false
	response, err = client.Do(r.httpRequest)
	if err == nil {
		return response, true, nil
	}
	if r.conn == nil {
		return nil, false, err
	}
	started, refused := r.conn.abandon()
	if refused {
		return nil, false, errors.Join(ErrCheckFailed, err)
	}
	return nil, started, err
}

// CloseConnection closes the connection of the request, so that no other request reuses it.
func (r *Request) CloseConnection() {
	if r.conn != nil {
		_ = r.conn.Close()
	}
}

// ReadAll reads the complete body of a response and returns an error if it exceeds limit bytes.
func ReadAll(response *http.Response, limit int64) ([]byte, error) {
	if response.Request.Method == http.MethodHead {
		return nil, nil
	}
	if response.ContentLength > limit {
		return nil, errTooLarge
	}
	if response.ContentLength >= 0 {
		data := make([]byte, response.ContentLength)
		if _, err := io.ReadFull(response.Body, data); err != nil {
			return nil, err
		}
		// The body is read to its end, so that the connection returns to the pool.
		_, err := response.Body.Read(make([]byte, 1))
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, err
		}
		return data, nil
	}
	// A body that is delimited by the end of the connection looks complete when it is truncated.
	if !HasDelimitedBody(response) {
		return nil, errUndelimited
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err == nil && int64(len(data)) > limit {
		err = errTooLarge
	}
	return data, err
}

// HasDelimitedBody reports whether the end of the body can be distinguished from a lost connection.
func HasDelimitedBody(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

var (
	errTooLarge    = errors.New("the answer is too large")
	errUndelimited = errors.New("the answer has neither a length nor chunks")
)
