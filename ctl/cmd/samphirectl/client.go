package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// maxResponseBytes limits the body of a response; the rest is not read.
const maxResponseBytes = 64 << 20

// gatewayClient calls the operators' HTTP interface through any of the gateways, and prints the
// results.
type gatewayClient struct {
	gateways   []string
	timeout    time.Duration
	jsonOutput bool
	out        io.Writer
}

// gatewayResponse is a completely received response.
type gatewayResponse struct {
	status int
	body   []byte
}

// call tries the gateways in turn until one responds or the timeout has passed. It skips gateways
// that are unreachable or not ready. Retries are safe because all requests of this program are
// idempotent: tickets by their number, the others because they state the desired result.
func (c *gatewayClient) call(method, path string, body any) (gatewayResponse, error) {
	return c.callWithTimeout(c.timeout, method, path, body)
}

// callWithTimeout is call with a timeout other than c.timeout.
func (c *gatewayClient) callWithTimeout(timeout time.Duration, method, path string, body any) (gatewayResponse, error) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return gatewayResponse{}, err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	for {
		var errs []error
		for _, gateway := range c.gateways {
			response, err := sendRequest(ctx, method, "http://"+gateway+path, data)
			if err == nil && response.status != http.StatusServiceUnavailable {
				return response, nil
			}
			if err == nil {
				err = fmt.Errorf("%s is not ready: %s", gateway, errorText(response))
			}
			errs = append(errs, err)
		}
		if !sleep(ctx, retryInterval) {
			return gatewayResponse{}, fmt.Errorf("no gateway answered within %v: %w", timeout, errors.Join(errs...))
		}
	}
}

// sleep waits for d and returns true, or false if ctx is done first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func sendRequest(ctx context.Context, method, url string, data []byte) (gatewayResponse, error) {
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return gatewayResponse{}, err
	}
	if data != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return gatewayResponse{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return gatewayResponse{}, fmt.Errorf("%s: incomplete response: %w", url, err)
	}
	return gatewayResponse{response.StatusCode, body}, nil
}

// errorText returns the error message in the response body, or else the HTTP status.
func errorText(r gatewayResponse) string {
	var problem struct {
		Message string `json:"message"`
		Error   string `json:"error"`
	}
	if json.Unmarshal(r.body, &problem) == nil {
		if problem.Message != "" {
			return problem.Message
		}
		if problem.Error != "" {
			return problem.Error
		}
	}
	return fmt.Sprintf("status %d", r.status)
}

// get decodes the JSON response to a GET request into v and returns its body.
func (c *gatewayClient) get(path string, v any) ([]byte, error) {
	response, err := c.call(http.MethodGet, path, nil)
	if err != nil {
		return nil, err
	}
	if response.status != http.StatusOK {
		return nil, refusedf("%s", errorText(response))
	}
	if err := json.Unmarshal(response.body, v); err != nil {
		return nil, fmt.Errorf("the response is not valid JSON: %w", err)
	}
	return response.body, nil
}

// getAndPrint decodes the response to a GET request into v. It prints the response as JSON if
// --json is set, and otherwise the table that print fills in.
func (c *gatewayClient) getAndPrint(path string, v any, print func(*table)) error {
	body, err := c.get(path, v)
	if err != nil {
		return err
	}
	return c.print(body, print)
}

// postAndPrint sends a request that changes nothing and prints its response like getAndPrint.
func (c *gatewayClient) postAndPrint(path string, request, v any, print func(*table)) error {
	response, err := c.call(http.MethodPost, path, request)
	if err != nil {
		return err
	}
	if response.status != http.StatusOK {
		return refusedf("%s", errorText(response))
	}
	if err := json.Unmarshal(response.body, v); err != nil {
		return fmt.Errorf("the response is not valid JSON: %w", err)
	}
	return c.print(response.body, print)
}

// print writes a response as JSON if --json is set, and otherwise the table that fill fills in.
func (c *gatewayClient) print(body []byte, fill func(*table)) error {
	if c.jsonOutput {
		return c.printJSON(body)
	}
	t := newTable(c.out)
	fill(t)
	return t.flush()
}

func (c *gatewayClient) printJSON(body []byte) error {
	_, err := c.out.Write(append(bytes.TrimSpace(body), '\n'))
	return err
}

// change sends a request that changes the state of the system. If it is accepted, change prints
// the response as JSON if --json is set, and otherwise the text in done.
func (c *gatewayClient) change(method, path string, body any, done string) error {
	response, err := c.call(method, path, body)
	if err != nil {
		return err
	}
	if response.status >= http.StatusBadRequest {
		return refusedf("%s", errorText(response))
	}
	if c.jsonOutput {
		return c.printJSON(response.body)
	}
	_, err = fmt.Fprintln(c.out, done)
	return err
}
