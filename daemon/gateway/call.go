package gateway

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"samphirepaddle.example/core/admission"
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/daemon/target"
)

// Request headers of the public API.
const (
	headerTenant         = "Samphire-Tenant"
	headerDeadline       = "Samphire-Deadline-Ms"
	headerIdempotent     = "Samphire-Idempotent"
	headerIdempotencyKey = "Idempotency-Key"
)

// call is one quick request in progress.
type call struct {
	id          model.RequestID // common to all dispatches of the call; targetCall.ID identifies the current dispatch
	service     model.Service
	tenant      model.TenantID
	idempotent  bool
	forwarded   bool
	avoidTarget model.TargetID // target on which an earlier dispatch failed
	recorded    bool           // BeginRequest was committed
	targetCall  target.Call
}

// outcome is the result of a call: the target's response, or an error.
type outcome struct {
	response target.Response
	verdict  model.Verdict
	status   int    // HTTP status of the error; zero if response is set
	code     string // error code
	message  string

	retryElsewhere bool           // another target or peer may serve the call
	retryAfter     time.Duration  // expected time until capacity is free
	final          <-chan outcome // nil, or delivers the outcome of a call that continues without its caller
}

func newFailure(verdict model.Verdict, status int, code, format string, args ...any) outcome {
	return outcome{verdict: verdict, status: status, code: code, message: fmt.Sprintf(format, args...)}
}

func (g *Gateway) serveCall(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	began := time.Now()
	c, problem := g.readCall(r)
	if problem != nil {
		writeOutcome(w, *problem)
		return
	}
	w.Header().Set(target.HeaderRequestID, string(c.id))
	out := g.runLimited(r.Context(), c)
	g.metrics.observeLatency(c.tenant, c.service.ID, model.ClassQuick, time.Since(began))
	g.metrics.countVerdict(out.verdict)
	writeOutcome(w, out)
}

// runLimited runs a call within the limits of its tenant. A call that continues without its
// caller counts towards these limits until it has ended.
func (g *Gateway) runLimited(ctx context.Context, c *call) outcome {
	tenant, _ := g.session.Tenant(c.tenant)
	if exceeded, wait := g.tenantLimits.Acquire(time.Now(), tenant); exceeded != admission.LimitNone {
		out := newFailure(model.VerdictNotRun, http.StatusTooManyRequests, string(exceeded), "tenant %q has reached its limit %s", c.tenant, exceeded)
		out.retryAfter = wait
		return out
	}
	out := g.run(ctx, c)
	if out.final == nil {
		g.tenantLimits.Release(c.tenant)
		return out
	}
	g.active.Add(1)
	go func() {
		defer g.active.Add(-1)
		defer g.tenantLimits.Release(c.tenant)
		final := <-out.final
		if c.recorded {
			g.recordEnd(c, final)
		}
	}()
	return out
}

// run executes a call. A non-idempotent call with an idempotency key is first recorded at the
// controllers.
func (g *Gateway) run(ctx context.Context, c *call) outcome {
	if c.idempotent || c.targetCall.IdempotencyKey == "" {
		return g.route(ctx, c)
	}
	return g.runRecorded(ctx, c)
}

func (g *Gateway) runRecorded(ctx context.Context, c *call) outcome {
	beginCtx, cancel := context.WithDeadline(ctx, c.targetCall.Deadline)
	defer cancel()
	result, err := g.propose(beginCtx, state.Command{BeginRequest: &state.BeginRequest{
		Tenant:   c.tenant,
		Key:      c.targetCall.IdempotencyKey,
		BodyHash: contentHash(c),
		Request:  c.id,
		Gateway:  g.session.Gateway(),
		Epoch:    g.session.Epoch(),
	}})
	if err != nil {
		out := newFailure(model.VerdictNotRun, http.StatusServiceUnavailable, "no_leader", "the request could not be recorded: %v", err)
		g.recordAsync(c, out) // the record may have been committed; this frees the key
		return out
	}
	switch result.Code {
	case state.CodeOK:
		c.recorded = true
		out := g.route(ctx, c)
		if out.final == nil {
			g.recordBeforeDeadline(c, out)
		}
		return out
	case state.CodeRepeated:
		return storedOutcome(result.Response)
	case state.CodeConflict:
		return newFailure(model.VerdictNotRun, http.StatusUnprocessableEntity, "key_reused", "%s", result.Message)
	case state.CodeInProgress:
		return newFailure(model.VerdictUnknown, http.StatusConflict, "in_progress", "%s", result.Message)
	case state.CodeUnknown:
		return newFailure(model.VerdictUnknown, http.StatusConflict, "unknown", "%s", result.Message)
	default:
		return newFailure(model.VerdictNotRun, http.StatusServiceUnavailable, string(result.Code), "%s", result.Message)
	}
}

// contentHash hashes everything that must be equal in a resend under the same idempotency key.
func contentHash(c *call) [32]byte {
	h := sha256.New()
	fmt.Fprintf(h, "%s\n%s\n%s\n", c.targetCall.Method, c.service.ID, c.targetCall.Path)
	h.Write(c.targetCall.Body)
	return [32]byte(h.Sum(nil))
}

func storedOutcome(response *state.StoredResponse) outcome {
	if response == nil {
		return newFailure(model.VerdictRan, http.StatusGone, "answer_not_kept", "the request ran; its answer was too large to be kept")
	}
	header := http.Header{"Content-Type": {response.ContentType}}
	return outcome{verdict: model.VerdictRan, response: target.Response{Status: response.Status, Header: header, Body: response.Body}}
}

// maxStoredResponse is the largest response body that the replicated log keeps for resends.
const maxStoredResponse = 64 << 10 // bytes

// recordBeforeDeadline records the outcome before the caller gets the response, so that a resend
// gets the same response, but does not delay the response beyond the deadline.
func (g *Gateway) recordBeforeDeadline(c *call, out outcome) {
	done := g.recordAsync(c, out)
	timer := time.NewTimer(time.Until(c.targetCall.Deadline))
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// recordAsync records the outcome in the background. The returned channel is closed when the
// outcome is recorded or all attempts have failed.
func (g *Gateway) recordAsync(c *call, out outcome) <-chan struct{} {
	done := make(chan struct{})
	g.active.Add(1)
	go func() {
		defer g.active.Add(-1)
		defer close(done)
		g.recordEnd(c, out)
	}()
	return done
}

// Limits on the attempts to record an outcome. The attempts outlast a leader election, which
// takes up to 1 s.
const (
	maxRecordAttempts   = 5
	recordRetryInterval = 500 * time.Millisecond
)

// recordEnd records the outcome. It does not use the caller's context, because the caller may
// have disconnected.
func (g *Gateway) recordEnd(c *call, out outcome) {
	end := &state.EndRequest{Tenant: c.tenant, Key: c.targetCall.IdempotencyKey, Request: c.id, Verdict: out.verdict}
	if out.verdict == model.VerdictRan && len(out.response.Body) <= maxStoredResponse {
		end.Response = &state.StoredResponse{
			Status:      out.response.Status,
			ContentType: out.response.Header.Get("Content-Type"),
			Body:        out.response.Body,
		}
	}
	for try := 1; ; try++ {
		_, err := g.propose(context.Background(), state.Command{EndRequest: end})
		if err == nil {
			return
		}
		if try == maxRecordAttempts {
			// The key stays in progress until this session ends, and is unknown after that.
			g.logger.Warn().Err(err).Str("request", string(c.id)).Msg("failed to record the outcome of the request")
			return
		}
		time.Sleep(recordRetryInterval)
	}
}

func (g *Gateway) readCall(r *http.Request) (*call, *outcome) {
	if !g.session.Valid() {
		problem := notReady()
		return nil, &problem
	}
	service, ok := g.session.Service(model.ServiceID(r.PathValue("service")))
	if !ok {
		return nil, newRefusal(http.StatusNotFound, "no_service", "service %q does not exist", r.PathValue("service"))
	}
	c := &call{service: service, tenant: model.TenantID(r.Header.Get(headerTenant))}
	if _, ok := g.session.Tenant(c.tenant); !ok {
		return nil, newRefusal(http.StatusForbidden, "no_tenant", "tenant %q does not exist; set %s", c.tenant, headerTenant)
	}
	if problem := c.readHeaders(r); problem != nil {
		return nil, problem
	}
	body, problem := readBody(r)
	if problem != nil {
		return nil, problem
	}
	c.targetCall.Body = body
	return c, nil
}

func newRefusal(status int, code, format string, args ...any) *outcome {
	out := newFailure(model.VerdictNotRun, status, code, format, args...)
	return &out
}

func readBody(r *http.Request) ([]byte, *outcome) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxQuickBody))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, newRefusal(http.StatusRequestEntityTooLarge, "body_too_large", "the body is larger than %d bytes", maxQuickBody)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, newRefusal(http.StatusRequestTimeout, "body_too_slow", "the body did not arrive within %s", bodyTimeout)
	default:
		return nil, newRefusal(http.StatusBadRequest, "body_incomplete", "the body could not be read: %v", err)
	}
}

func (c *call) readHeaders(r *http.Request) *outcome {
	deadline, problem := readDeadline(r, c.service)
	if problem != nil {
		return problem
	}
	c.idempotent = r.Method == http.MethodGet || r.Method == http.MethodHead
	switch text := r.Header.Get(headerIdempotent); text {
	case "":
	case "true", "false":
		c.idempotent = text == "true"
	default:
		return newRefusal(http.StatusBadRequest, "bad_header", "%s %q is none of true, false", headerIdempotent, text)
	}
	c.id = model.RequestID(rand.Text())
	c.targetCall = target.Call{
		ID:             c.id,
		Tenant:         c.tenant,
		Method:         r.Method,
		Path:           callPath(r),
		Header:         r.Header,
		IdempotencyKey: r.Header.Get(headerIdempotencyKey),
		Deadline:       deadline,
	}
	return nil
}

// callPath returns the escaped path below the service, and the query. The path is not
// decoded, so that an escaped slash or question mark reaches the target unchanged.
func callPath(r *http.Request) string {
	escaped := strings.TrimPrefix(strings.TrimPrefix(r.URL.EscapedPath(), "/v1/call/"), "/forward/")
	_, rest, _ := strings.Cut(escaped, "/")
	if r.URL.RawQuery != "" {
		return "/" + rest + "?" + r.URL.RawQuery
	}
	return "/" + rest
}

func readDeadline(r *http.Request, service model.Service) (time.Time, *outcome) {
	ms := int64(service.DeadlineMs)
	if text := r.Header.Get(headerDeadline); text != "" {
		parsed, err := strconv.ParseInt(text, 10, 64)
		if err != nil || parsed < 1 || parsed > int64(10*time.Minute/time.Millisecond) {
			return time.Time{}, newRefusal(http.StatusBadRequest, "bad_header", "%s %q is not a number of 1 to 600000", headerDeadline, text)
		}
		ms = parsed
	}
	return time.Now().Add(time.Duration(ms) * time.Millisecond), nil
}

// passedResponseHeaders are the target's response headers that are passed to the caller.
var passedResponseHeaders = []string{"Content-Type", "Content-Language", "Cache-Control", "Etag", "Last-Modified", "Location"}

func writeOutcome(w http.ResponseWriter, out outcome) {
	if out.retryAfter > 0 {
		w.Header().Set("Retry-After", retryAfter(out.retryAfter))
	}
	if out.status != 0 {
		writeProblem(w, out.status, out.verdict, out.code, out.message)
		return
	}
	startWriteTimeout(w)
	w.Header()["Content-Type"] = nil // prevents net/http from guessing a type if the target sent none
	for _, name := range passedResponseHeaders {
		if value := out.response.Header.Get(name); value != "" {
			w.Header().Set(name, value)
		}
	}
	w.Header().Set(model.VerdictHeader, out.verdict.String())
	if length := contentLength(out.response); length != "" {
		w.Header().Set("Content-Length", length)
	}
	w.WriteHeader(out.response.Status)
	_, _ = w.Write(out.response.Body)
}

// contentLength returns the Content-Length for the caller. For a response without a body, for
// example to HEAD, it is the Content-Length that the target sent.
func contentLength(response target.Response) string {
	if len(response.Body) == 0 {
		return response.Header.Get("Content-Length")
	}
	return strconv.Itoa(len(response.Body))
}
