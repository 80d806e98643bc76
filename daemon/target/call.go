package target

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"samphirepaddle.example/core/model"
)

// Call is a quick request on its way to a target.
type Call struct {
	ID       model.RequestID
	Tenant   model.TenantID
	Method   string
	Path     string // path and query
	Header   http.Header
	Body     []byte
	Key      string
	Deadline time.Time
}

// Answer is a complete answer of a target.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// forwardedHeaders are the caller's headers that reach the target.
var forwardedHeaders = []string{"Accept", "Accept-Language", "Content-Type"}

// onceBody is a request body that cannot be rewound, so that http.Transport never sends it
// a second time. It counts as written once a byte was read.
type onceBody struct {
	data    []byte
	touched *atomic.Bool
}

func (b *onceBody) Read(p []byte) (int, error) {
	if len(b.data) == 0 {
		return 0, io.EOF
	}
	b.touched.Store(true)
	n := copy(p, b.data)
	b.data = b.data[n:]
	return n, nil
}

func (b *onceBody) Close() error { return nil }

// Do sends the request once and returns the whole answer and the verdict. The verdict is
// VerdictNotRun only if no byte reached the target or the target said that it refused.
// ctx should outlive the caller: a request that has begun keeps its reservation until Do returns.
func (c *Client) Do(ctx context.Context, address string, epoch model.Epoch, call Call) (Answer, model.Verdict, error) {
	var touched atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { touched.Store(true) },
	}
	ctx = httptrace.WithClientTrace(ctx, trace)
	request, err := newRequest(ctx, address, epoch, call, &touched)
	if err != nil {
		return Answer{}, model.VerdictNotRun, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return Answer{}, failureVerdict(&touched), err
	}
	defer response.Body.Close()
	return readAnswer(response, call)
}

// failureVerdict judges a request that got no answer: without a connection no byte was sent.
func failureVerdict(touched *atomic.Bool) model.Verdict {
	if touched.Load() {
		return model.VerdictUnknown
	}
	return model.VerdictNotRun
}

func newRequest(ctx context.Context, address string, epoch model.Epoch, call Call, touched *atomic.Bool) (*http.Request, error) {
	// The body is set even if it is empty: http.Transport resends a GET without a body by
	// itself when a kept-alive connection closes.
	body := &onceBody{data: call.Body, touched: touched}
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, body)
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(call.Body))
	if len(call.Body) == 0 {
		request.ContentLength = -1
	}
	request.GetBody = nil
	for _, name := range forwardedHeaders {
		if value := call.Header.Get(name); value != "" {
			request.Header.Set(name, value)
		}
	}
	request.Header.Set(HeaderRequestID, string(call.ID))
	request.Header.Set(HeaderTenant, string(call.Tenant))
	request.Header.Set(HeaderDeadline, strconv.FormatInt(time.Until(call.Deadline).Milliseconds(), 10))
	if call.Key != "" {
		request.Header.Set(HeaderKey, call.Key)
	}
	setEpoch(request, epoch)
	return request, nil
}

func readAnswer(response *http.Response, call Call) (Answer, model.Verdict, error) {
	if got := response.Header.Get(HeaderRequestID); got != string(call.ID) {
		return Answer{}, model.VerdictUnknown, fmt.Errorf("answer carries request id %q instead of %q", got, call.ID)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return Answer{}, model.VerdictUnknown, fmt.Errorf("answer is not complete: %w", err)
	}
	if len(body) > maxAnswerBytes {
		return Answer{}, model.VerdictUnknown, fmt.Errorf("answer is larger than %d bytes", maxAnswerBytes)
	}
	if response.Header.Get(HeaderRefused) == "true" {
		return Answer{}, model.VerdictNotRun, ErrRefused
	}
	return Answer{Status: response.StatusCode, Header: response.Header, Body: body}, model.VerdictRan, nil
}

// IsConnectError reports whether err means that no connection was made.
func IsConnectError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
