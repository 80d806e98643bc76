// Package once sends HTTP requests at most once and tells whether a failed request may have
// reached the other side.
//
// http.Transport on its own resends requests that it considers replayable: GET, HEAD, OPTIONS
// and TRACE, and any request with an Idempotency-Key header. Requests of this package have a
// body that cannot be rewound, even if it is empty, so the transport never resends them.
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

// ErrNotAllowed is returned if Check refused the request immediately before its first byte.
var ErrNotAllowed = errors.New("the lease was over before the request was sent")

// errSealed ends writes of a request that was given up before its first byte.
var errSealed = errors.New("the request was given up")

// maxHeaderBytes bounds the headers of an answer.
const maxHeaderBytes = 64 << 10

// NewTransport returns a transport whose connections report when the first byte of a
// request is written.
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
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
}

// conn notes whether any byte of the present request was written.
type conn struct {
	net.Conn

	mu      sync.Mutex
	check   func() bool
	started bool
	sealed  bool
	refused bool
}

// arm begins a request.
func (c *conn) arm(check func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.check = check
	c.started = false
}

// seal forbids the first byte if it was not written yet, and reports whether it was.
func (c *conn) seal() (started, refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.started {
		c.sealed = true
	}
	return c.started, c.refused
}

func (c *conn) Write(p []byte) (int, error) {
	if err := c.begin(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// begin runs the check before the first byte of a request. A process that is frozen between
// the check and the write is covered by the margin of the lease's granter, and after that
// by the epoch: a target that has seen a newer one refuses this request.
func (c *conn) begin() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.started {
		return nil
	}
	if c.sealed {
		return errSealed
	}
	if c.check != nil && !c.check() {
		c.refused = true
		c.sealed = true
		return ErrNotAllowed
	}
	c.started = true
	return nil
}

// body is a request body that cannot be rewound.
type body struct{ *bytes.Reader }

func (body) Close() error { return nil }

// Request is one request that is sent at most once.
type Request struct {
	http *http.Request
	conn *conn
}

// NewRequest returns a request. check runs immediately before the first byte is written;
// if it returns false, nothing is sent. It may be nil.
func NewRequest(ctx context.Context, method, url string, content []byte, check func() bool) (*Request, error) {
	r := &Request{}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			c.arm(check)
			r.conn = c
		}
	}}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, url, body{bytes.NewReader(content)})
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	request.ContentLength = int64(len(content))
	if len(content) == 0 {
		// Zero with a body means unknown. The transport finds out that there is none, and
		// still does not treat the request as replayable.
		request.ContentLength = -1
	}
	r.http = request
	return r, nil
}

// Header returns the headers to be sent.
func (r *Request) Header() http.Header { return r.http.Header }

// Do sends the request. sent is false only if no byte of it was written and none will be.
func (r *Request) Do(client *http.Client) (response *http.Response, sent bool, err error) {
	response, err = client.Do(r.http)
	if err == nil {
		return response, true, nil
	}
	if r.conn == nil {
		return nil, false, err
	}
	started, refused := r.conn.seal()
	if refused {
		return nil, false, errors.Join(ErrNotAllowed, err)
	}
	return nil, started, err
}

// Discard closes the connection of the request, so that it serves no other one.
func (r *Request) Discard() {
	if r.conn != nil {
		_ = r.conn.Close()
	}
}

// ReadAll reads a whole body of at most limit bytes.
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
		// The end is read too, so that the connection returns to the pool.
		_, err := response.Body.Read(make([]byte, 1))
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, err
		}
		return data, nil
	}
	// A body that ends with the connection looks complete when it is cut short.
	if !Delimited(response) {
		return nil, errUndelimited
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err == nil && int64(len(data)) > limit {
		err = errTooLarge
	}
	return data, err
}

// Delimited reports whether the end of the body can be told from a lost connection.
func Delimited(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

var (
	errTooLarge    = errors.New("the answer is too large")
	errUndelimited = errors.New("the answer has neither a length nor chunks")
)
