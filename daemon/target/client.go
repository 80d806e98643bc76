// Package target is the client of the targets' HTTP API. It is the only package of the daemon that
// defines the paths and headers of this API.
package target

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/daemon/once"
)

// Headers of the targets' HTTP API.
const (
	HeaderRequestID = "Samphire-Request-Id"
	HeaderEpoch     = "Samphire-Epoch"
	HeaderDeadline  = "Samphire-Deadline-Ms"
	HeaderTenant    = "Samphire-Tenant"
	// HeaderIdempotencyKey carries the caller's idempotency key. The names Idempotency-Key and
	// X-Idempotency-Key are not used, because http.Transport resends requests with these headers.
	HeaderIdempotencyKey = "Samphire-Key"
	HeaderRefused        = "Samphire-Refused"
)

// Limits on the size of responses.
const (
	maxResponseBytes        = 8 << 20 // of a quick request
	maxControlResponseBytes = 1 << 20 // of a control request: start, stop, checkpoint, throttle
)

// Timeouts of requests to targets.
const (
	dialTimeout    = 1 * time.Second
	controlTimeout = 5 * time.Second
	idleTimeout    = 30 * time.Second
	// OutputHeaderTimeout limits the time until the response headers of an output request. The
	// output itself has no deadline.
	OutputHeaderTimeout = 20 * time.Second
)

// ErrRefused is returned if the target reported that it did not run the work.
var ErrRefused = errors.New("the target refused the work")

// Client calls targets. Quick requests, control requests and outputs use separate connections, so
// that one kind never waits for another.
type Client struct {
	quick    *http.Client
	controls *http.Client
	outputs  *http.Client
}

// NewClient returns a client that keeps up to connectionsPerTarget idle connections to each
// target for quick requests.
func NewClient(connectionsPerTarget int) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	outputs := once.NewTransport(dialer, idleTimeout, 0)
	outputs.DisableKeepAlives = true
	outputs.ResponseHeaderTimeout = OutputHeaderTimeout
	return &Client{
		quick:    newHTTPClient(once.NewTransport(dialer, idleTimeout, connectionsPerTarget)),
		controls: newHTTPClient(once.NewTransport(dialer, idleTimeout, 1)),
		outputs:  newHTTPClient(outputs),
	}
}

func newHTTPClient(transport *http.Transport) *http.Client {
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: transport, CheckRedirect: noRedirect}
}

// StartRequest is the body of the request that starts an attempt.
type StartRequest struct {
	Attempt    model.AttemptID `json:"attempt"`
	Tenant     model.TenantID  `json:"tenant"`
	Class      model.Class     `json:"class"`
	Kind       string          `json:"kind"`
	Reserved   model.Resources `json:"reserved"`
	RunTimeMs  model.Millis    `json:"run_time_ms"`
	Payload    []byte          `json:"payload,omitempty"`
	Checkpoint []byte          `json:"checkpoint,omitempty"`
}

// checkpointResponse is the body of the response to a checkpoint request.
type checkpointResponse struct {
	Checkpoint []byte `json:"checkpoint"`
}

// Start starts an attempt. It is idempotent. ErrRefused means that the attempt did not start.
func (c *Client) Start(ctx context.Context, address string, epoch model.Epoch, request StartRequest) error {
	_, err := c.post(ctx, address, epoch, "/samphire/v1/tasks", request)
	return err
}

// Checkpoint requests a checkpoint of an attempt and returns it.
func (c *Client) Checkpoint(ctx context.Context, address string, epoch model.Epoch, attempt model.AttemptID) ([]byte, error) {
	body, err := c.post(ctx, address, epoch, taskPath(attempt, "checkpoint"), nil)
	if err != nil {
		return nil, err
	}
	var result checkpointResponse
	if err := json.Unmarshal(body, &result); err != nil {
		return nil, fmt.Errorf("checkpoint of %s: %w", attempt, err)
	}
	return result.Checkpoint, nil
}

// Throttle limits an attempt to a share of its full speed, 0 to 1.
func (c *Client) Throttle(ctx context.Context, address string, epoch model.Epoch, attempt model.AttemptID, level float64) error {
	request := struct {
		Level float64 `json:"level"`
	}{level}
	_, err := c.post(ctx, address, epoch, taskPath(attempt, "throttle"), request)
	return err
}

// StopResponse is the optional body of the response to a stop request.
type StopResponse struct {
	// Ended is set if the attempt had ended by itself before the stop.
	Ended *model.EndedAttempt `json:"ended,omitempty"`
}

// Stop stops an attempt. The error is nil only if the target confirmed that the attempt no longer
// runs.
func (c *Client) Stop(ctx context.Context, address string, epoch model.Epoch, attempt model.AttemptID) (StopResponse, error) {
	body, err := c.post(ctx, address, epoch, taskPath(attempt, "stop"), nil)
	if err != nil {
		return StopResponse{}, err
	}
	var result StopResponse
	if err := json.Unmarshal(body, &result); err != nil || result.Ended == nil || result.Ended.Attempt != attempt {
		return StopResponse{}, nil // confirmed, but the attempt had not ended by itself
	}
	return result, nil
}

// Output opens the output of an attempt from an offset in bytes. The output ends when the attempt
// has ended. The caller must close the response body.
func (c *Client) Output(ctx context.Context, address string, epoch model.Epoch, attempt model.AttemptID, offset int64) (*http.Response, error) {
	url := fmt.Sprintf("http://%s%s?offset=%d", address, taskPath(attempt, "output"), offset)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	setEpoch(request, epoch)
	response, err := c.outputs.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		response.Body.Close()
		return nil, &StatusError{Path: request.URL.Path, Status: response.StatusCode}
	}
	return response, nil
}

// StatusError is the error for a response with a status other than 200.
type StatusError struct {
	Path   string
	Status int
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("%s: status %d", e.Path, e.Status)
}

func taskPath(attempt model.AttemptID, action string) string {
	return fmt.Sprintf("/samphire/v1/tasks/%s/%d/%s", attempt.Job, attempt.Number, action)
}

func setEpoch(request *http.Request, epoch model.Epoch) {
	request.Header.Set(HeaderEpoch, strconv.FormatUint(uint64(epoch), 10))
}

// post sends a control request with a JSON body and returns the body of the response.
func (c *Client) post(ctx context.Context, address string, epoch model.Epoch, path string, body any) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	setEpoch(request, epoch)
	response, err := c.controls.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	result, err := io.ReadAll(io.LimitReader(response.Body, maxControlResponseBytes))
	if err != nil {
		return nil, err
	}
	if isRefusal(response) {
		return nil, fmt.Errorf("%s: %w: %s", path, ErrRefused, bytes.TrimSpace(result))
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: %s", &StatusError{Path: path, Status: response.StatusCode}, bytes.TrimSpace(result))
	}
	return result, nil
}
