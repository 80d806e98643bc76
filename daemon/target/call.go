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

// Call is a quick request to a target.
type Call struct {
	ID             model.RequestID
	Tenant         model.TenantID
	Method         string
	Path           string // escaped path and query
	Header         http.Header
	Body           []byte
	IdempotencyKey string
	Deadline       time.Time
	// MaySend is called immediately before the first byte is written. If it returns false,
	// nothing is sent. It may be nil.
	MaySend func() bool
}

// Response is a complete response of a target.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// CopyHeaders copies the caller's headers that are passed to the target.
func CopyHeaders(to, from http.Header) {
	for _, name := range [...]string{"Accept", "Accept-Language", "Content-Type"} {
		if value := from.Get(name); value != "" {
			to.Set(name, value)
		}
	}
}

// DoQuick sends the request at most once and returns the whole response and the verdict. The
// verdict is VerdictNotRun only if no byte of the request was sent or the target refused it. ctx
// should outlive the caller: the reservation of a request that was sent is kept at least until
// DoQuick returns, because the request may still run on the target.
func (c *Client) DoQuick(ctx context.Context, address string, epoch model.Epoch, call Call) (Response, model.Verdict, error) {
	request, err := once.NewRequest(ctx, call.Method, "http://"+address+call.Path, call.Body, call.MaySend)
	if err != nil {
		return Response{}, model.VerdictNotRun, err
	}
	setHeaders(request.Header(), epoch, call)
	response, sent, err := request.Do(c.quick)
	if err != nil && !sent {
		return Response{}, model.VerdictNotRun, err
	}
	if err != nil {
		return Response{}, model.VerdictUnknown, err
	}
	defer response.Body.Close()
	result, verdict, err := readResponse(response, call)
	if err != nil && verdict != model.VerdictNotRun {
		// Further data on this connection could not be matched to a request.
		request.CloseConnection()
	}
	return result, verdict, err
}

func setHeaders(header http.Header, epoch model.Epoch, call Call) {
	CopyHeaders(header, call.Header)
	header.Set(HeaderRequestID, string(call.ID))
	header.Set(HeaderTenant, string(call.Tenant))
	header.Set(HeaderDeadline, strconv.FormatInt(max(1, time.Until(call.Deadline).Milliseconds()), 10))
	header.Set(HeaderEpoch, strconv.FormatUint(uint64(epoch), 10))
	if call.IdempotencyKey != "" {
		header.Set(HeaderIdempotencyKey, call.IdempotencyKey)
	}
}

func readResponse(response *http.Response, call Call) (Response, model.Verdict, error) {
	if got := response.Header.Get(HeaderRequestID); got != string(call.ID) {
		return Response{}, model.VerdictUnknown, fmt.Errorf("answer carries request id %q instead of %q", got, call.ID)
	}
	body, err := once.ReadAll(response, maxResponseBytes)
	if err != nil {
		return Response{}, model.VerdictUnknown, fmt.Errorf("answer is not complete: %w", err)
	}
	if isRefusal(response) {
		return Response{}, model.VerdictNotRun, ErrRefused
	}
	return Response{Status: response.StatusCode, Header: response.Header, Body: body}, model.VerdictRan, nil
}

func isRefusal(response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(HeaderRefused) == "true"
}

// IsConnectError reports whether err means that no connection was established.
func IsConnectError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
