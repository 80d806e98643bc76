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

// maxAnswerBytes bounds an answer.
const maxAnswerBytes = 64 << 20

// connection calls the operators' interface on any of the gateways.
type connection struct {
	gateways []string
	timeout  time.Duration
	json     bool
	out      io.Writer
}

// answer is a complete answer of a gateway.
type answer struct {
	status int
	body   []byte
}

// call tries the gateways in turn until one answers. A gateway that cannot be reached or is
// not ready is skipped. Every request of this program may be repeated: tickets by their
// number, the others because they state the wanted outcome.
func (c *connection) call(method, path string, body any) (answer, error) {
	return c.callFor(c.timeout, method, path, body)
}

func (c *connection) callFor(timeout time.Duration, method, path string, body any) (answer, error) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return answer{}, err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	for {
		var failures []error
		for _, gateway := range c.gateways {
			got, err := request(ctx, method, "http://"+gateway+path, data)
			if err == nil && got.status != http.StatusServiceUnavailable {
				return got, nil
			}
			if err == nil {
				err = fmt.Errorf("%s is not ready: %s", gateway, problemText(got))
			}
			failures = append(failures, err)
		}
		if !pause(ctx, retryPause) {
			return answer{}, fmt.Errorf("no gateway answered within %v: %w", timeout, errors.Join(failures...))
		}
	}
}

// pause reports false if ctx is done before the time is over.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func request(ctx context.Context, method, url string, data []byte) (answer, error) {
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return answer{}, err
	}
	if data != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return answer{}, fmt.Errorf("%s: the answer is incomplete: %w", url, err)
	}
	return answer{response.StatusCode, body}, nil
}

func problemText(a answer) string {
	var problem struct {
		Message string `json:"message"`
		Error   string `json:"error"`
	}
	if json.Unmarshal(a.body, &problem) == nil {
		if problem.Message != "" {
			return problem.Message
		}
		if problem.Error != "" {
			return problem.Error
		}
	}
	return fmt.Sprintf("status %d", a.status)
}

// get reads a JSON answer into v and returns its text.
func (c *connection) get(path string, v any) ([]byte, error) {
	got, err := c.call(http.MethodGet, path, nil)
	if err != nil {
		return nil, err
	}
	if got.status != http.StatusOK {
		return nil, refusedf("%s", problemText(got))
	}
	if err := json.Unmarshal(got.body, v); err != nil {
		return nil, fmt.Errorf("the answer is no valid JSON: %w", err)
	}
	return got.body, nil
}

// show reads an answer and prints it as JSON or with print.
func (c *connection) show(path string, v any, print func(*table)) error {
	body, err := c.get(path, v)
	if err != nil {
		return err
	}
	if c.json {
		return c.printJSON(body)
	}
	t := newTable(c.out)
	print(t)
	return t.flush()
}

func (c *connection) printJSON(body []byte) error {
	_, err := c.out.Write(append(bytes.TrimSpace(body), '\n'))
	return err
}

// order sends a request that changes something and prints done if it is accepted.
func (c *connection) order(method, path string, body any, done string) error {
	got, err := c.call(method, path, body)
	if err != nil {
		return err
	}
	if got.status >= http.StatusBadRequest {
		return refusedf("%s", problemText(got))
	}
	if c.json {
		return c.printJSON(got.body)
	}
	_, err = fmt.Fprintln(c.out, done)
	return err
}
