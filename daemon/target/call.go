package target

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/daemon/once"
)

// Call is a quick request on its way to a target.
type Call struct {
	ID       model.RequestID
	Tenant   model.TenantID
	Method   string
	Path     string // escaped path and query
	Header   http.Header
	Body     []byte
	Key      string
	Deadline time.Time
	// Check runs immediately before the first byte is written; false stops the call.
	Check func() bool
}

// Answer is a complete answer of a target.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// CopyHeaders copies the caller's headers that reach the target.
func CopyHeaders(to, from http.Header) {
	for _, name := range [...]string{"Accept", "Accept-Language", "Content-Type"} {
		if value := from.Get(name); value != "" {
			to.Set(name, value)
		}
	}
}

// DoQuick sends the request once and returns the whole answer and the verdict. The verdict is
// VerdictNotRun only if no byte reached the target or the target said that it refused.
// ctx should outlive the caller: a request that has begun keeps its reservation until DoQuick returns.
func (c *Client) DoQuick(ctx context.Context, address string, epoch model.Epoch, call Call) (Answer, model.Verdict, error) {
	request, err := once.NewRequest(ctx, call.Method, "http://"+address+call.Path, call.Body, call.Check)
	if err != nil {
		return Answer{}, model.VerdictNotRun, err
	}
	setHeaders(request.Header(), epoch, call)
	response, sent, err := request.Do(c.quick)
	if err != nil && !sent {
		return Answer{}, model.VerdictNotRun, err
	}
	if err != nil {
		return Answer{}, model.VerdictUnknown, err
	}
	defer response.Body.Close()
	answer, verdict, err := readAnswer(response, call)
	if err != nil && verdict != model.VerdictNotRun {
		// Whatever else comes on this connection cannot be matched to a request.
		request.CloseConnection()
	}
	return answer, verdict, err
}

func setHeaders(header http.Header, epoch model.Epoch, call Call) {
	CopyHeaders(header, call.Header)
	header.Set(HeaderRequestID, string(call.ID))
	header.Set(HeaderTenant, string(call.Tenant))
	header.Set(HeaderDeadline, strconv.FormatInt(max(1, time.Until(call.Deadline).Milliseconds()), 10))
	header.Set(HeaderEpoch, strconv.FormatUint(uint64(epoch), 10))
	if call.Key != "" {
		header.Set(HeaderKey, call.Key)
	}
}

func readAnswer(response *http.Response, call Call) (Answer, model.Verdict, error) {
	if got := response.Header.Get(HeaderRequestID); got != string(call.ID) {
		return Answer{}, model.VerdictUnknown, fmt.Errorf("answer carries request id %q instead of %q", got, call.ID)
	}
	body, err := once.ReadAll(response, maxAnswerBytes)
	if err != nil {
		return Answer{}, model.VerdictUnknown, fmt.Errorf("answer is not complete: %w", err)
	}
	if refused(response) {
		return Answer{}, model.VerdictNotRun, ErrRefused
	}
	return Answer{Status: response.StatusCode, Header: response.Header, Body: body}, model.VerdictRan, nil
}

func refused(response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(HeaderRefused) == "true"
}

// IsConnectError reports whether err means that no connection was made.
func IsConnectError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
