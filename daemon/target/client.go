// Package target speaks the targets' HTTP interface. No other package knows its paths and
// headers.
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

// Headers of the targets' interface.
const (
	HeaderRequestID = "Samphire-Request-Id"
	HeaderEpoch     = "Samphire-Epoch"
	HeaderDeadline  = "Samphire-Deadline-Ms"
	HeaderTenant    = "Samphire-Tenant"
	// HeaderKey carries the caller's idempotency key. http.Transport resends requests with an
	// Idempotency-Key or X-Idempotency-Key header by itself, so those names are not used.
	HeaderKey     = "Samphire-Key"
	HeaderRefused = "Samphire-Refused"
)

// Bounds on what is read from a target.
const (
	maxAnswerBytes  = 8 << 20
	maxControlBytes = 1 << 20
)

// Timeouts towards targets.
const (
	dialTimeout    = 1 * time.Second
	controlTimeout = 5 * time.Second
	idleTimeout    = 30 * time.Second
	// OutputHeaderTimeout is the longest time until the status line of an output; the output
	// itself has no deadline.
	OutputHeaderTimeout = 20 * time.Second
)

// ErrRefused is returned if the target said that it did not run the work.
var ErrRefused = errors.New("the target refused the work")

// Client calls targets. Quick requests, control calls and outputs have connections of their
// own, so that one kind never waits for another.
type Client struct {
	quick   *http.Client
	orders  *http.Client
	outputs *http.Client
}

// NewClient returns a client that keeps up to connectionsPerTarget idle connections to each
// target for quick requests.
func NewClient(connectionsPerTarget int) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	outputs := once.NewTransport(dialer, idleTimeout, 0)
	outputs.DisableKeepAlives = true
	outputs.ResponseHeaderTimeout = OutputHeaderTimeout
	return &Client{
		quick:   newHTTP(once.NewTransport(dialer, idleTimeout, connectionsPerTarget)),
		orders:  newHTTP(once.NewTransport(dialer, idleTimeout, 1)),
		outputs: newHTTP(outputs),
	}
}

func newHTTP(transport *http.Transport) *http.Client {
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: transport, CheckRedirect: noRedirect}
}

// StartRequest is the start order of an attempt.
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

// checkpointAnswer is the body of a checkpoint's answer.
type checkpointAnswer struct {
	Checkpoint []byte `json:"checkpoint"`
}

// Start starts an attempt; repeating it is harmless. ErrRefused means that it did not start.
func (c *Client) Start(ctx context.Context, address string, epoch model.Epoch, task StartRequest) error {
	_, err := c.control(ctx, address, epoch, "/samphire/v1/tasks", task)
	return err
}

// Checkpoint asks for a checkpoint and returns it.
func (c *Client) Checkpoint(ctx context.Context, address string, epoch model.Epoch, attempt model.AttemptID) ([]byte, error) {
	body, err := c.control(ctx, address, epoch, taskPath(attempt, "checkpoint"), nil)
	if err != nil {
		return nil, err
	}
	var answer checkpointAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return nil, fmt.Errorf("checkpoint of %s: %w", attempt, err)
	}
	return answer.Checkpoint, nil
}

// Throttle limits an attempt to a share of its speed, 0 to 1.
func (c *Client) Throttle(ctx context.Context, address string, epoch model.Epoch, attempt model.AttemptID, level float64) error {
	request := struct {
		Level float64 `json:"level"`
	}{level}
	_, err := c.control(ctx, address, epoch, taskPath(attempt, "throttle"), request)
	return err
}

// StopAnswer is the optional body of a stop's answer.
type StopAnswer struct {
	// Ended is set if the attempt had ended by itself before the stop.
	Ended *model.EndedAttempt `json:"ended,omitempty"`
}

// Stop stops an attempt. It returns nil only if the target confirmed that the attempt does
// not run any more.
func (c *Client) Stop(ctx context.Context, address string, epoch model.Epoch, attempt model.AttemptID) (StopAnswer, error) {
	body, err := c.control(ctx, address, epoch, taskPath(attempt, "stop"), nil)
	if err != nil {
		return StopAnswer{}, err
	}
	var answer StopAnswer
	if err := json.Unmarshal(body, &answer); err != nil || answer.Ended == nil || answer.Ended.Attempt != attempt {
		return StopAnswer{}, nil // a plain confirmation
	}
	return answer, nil
}

// Output opens the output of an attempt from an offset. The output ends when the attempt
// has ended. The caller closes the body.
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

// StatusError is an answer with a status other than 200.
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

func (c *Client) control(ctx context.Context, address string, epoch model.Epoch, path string, body any) ([]byte, error) {
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
	response, err := c.orders.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxControlBytes))
	if err != nil {
		return nil, err
	}
	if refused(response) {
		return nil, fmt.Errorf("%s: %w: %s", path, ErrRefused, bytes.TrimSpace(answer))
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: status %d: %s", path, response.StatusCode, bytes.TrimSpace(answer))
	}
	return answer, nil
}
