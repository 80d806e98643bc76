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

// Headers of the callers' interface.
const (
	headerTenant      = "Samphire-Tenant"
	headerDeadline    = "Samphire-Deadline-Ms"
	headerIdempotent  = "Samphire-Idempotent"
	headerIdempotency = "Idempotency-Key"
)

// call is one quick request in progress.
type call struct {
	id         model.RequestID // of all dispatches; wire.ID is that of the present one
	service    model.Service
	tenant     model.TenantID
	idempotent bool
	forwarded  bool
	avoid      model.TargetID // target that failed the call before
	recorded   bool           // BeginRequest was committed
	wire       target.Call
}

// outcome is what became of a call.
type outcome struct {
	answer  target.Answer
	verdict model.Verdict
	status  int    // of a refusal or failure; zero if answer is set
	code    string // of a refusal or failure
	message string

	elsewhere  bool           // another target or peer may serve the call
	retryAfter time.Duration  // expected time until there is room
	late       <-chan outcome // set if the call goes on without its caller
}

func failed(verdict model.Verdict, status int, code, format string, args ...any) outcome {
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
	g.metrics.observe(c.tenant, c.service.ID, model.ClassQuick, time.Since(began))
	g.metrics.count(out.verdict)
	writeOutcome(w, out)
}

// runLimited runs a call within the limits of its tenant. A call that goes on without its
// caller counts until it has ended.
func (g *Gateway) runLimited(ctx context.Context, c *call) outcome {
	tenant, _ := g.session.Tenant(c.tenant)
	if exceeded, wait := g.limits.Acquire(time.Now(), tenant); exceeded != admission.LimitNone {
		out := failed(model.VerdictNotRun, http.StatusTooManyRequests, string(exceeded), "tenant %q has reached its limit %s", c.tenant, exceeded)
		out.retryAfter = wait
		return out
	}
	out := g.run(ctx, c)
	if out.late == nil {
		g.limits.Release(c.tenant)
		return out
	}
	g.active.Add(1)
	go func() {
		defer g.active.Add(-1)
		defer g.limits.Release(c.tenant)
		final := <-out.late
		if c.recorded {
			g.recordEnd(c, final)
		}
	}()
	return out
}

// run executes a call; a non-idempotent call with a key is recorded first.
func (g *Gateway) run(ctx context.Context, c *call) outcome {
	if c.idempotent || c.wire.Key == "" {
		return g.route(ctx, c)
	}
	return g.runRecorded(ctx, c)
}

func (g *Gateway) runRecorded(ctx context.Context, c *call) outcome {
	begin, cancel := context.WithDeadline(ctx, c.wire.Deadline)
	defer cancel()
	result, err := g.propose(begin, state.Command{BeginRequest: &state.BeginRequest{
		Tenant:   c.tenant,
		Key:      c.wire.Key,
		BodyHash: contentHash(c),
		Request:  c.id,
		Gateway:  g.session.Gateway(),
		Epoch:    g.session.Epoch(),
	}})
	if err != nil {
		out := failed(model.VerdictNotRun, http.StatusServiceUnavailable, "no_leader", "the request could not be recorded: %v", err)
		g.recordLater(c, out) // the record may have been committed; this frees the key
		return out
	}
	switch result.Code {
	case state.CodeOK:
		c.recorded = true
		out := g.route(ctx, c)
		if out.late == nil {
			g.recordWithin(c, out)
		}
		return out
	case state.CodeRepeated:
		return stored(result.Response)
	case state.CodeConflict:
		return failed(model.VerdictNotRun, http.StatusUnprocessableEntity, "key_reused", "%s", result.Message)
	case state.CodeInProgress:
		return failed(model.VerdictUnknown, http.StatusConflict, "in_progress", "%s", result.Message)
	case state.CodeUnknown:
		return failed(model.VerdictUnknown, http.StatusConflict, "unknown", "%s", result.Message)
	default:
		return failed(model.VerdictNotRun, http.StatusServiceUnavailable, string(result.Code), "%s", result.Message)
	}
}

// contentHash covers what must be equal in a resend under the same key.
func contentHash(c *call) [32]byte {
	h := sha256.New()
	fmt.Fprintf(h, "%s\n%s\n%s\n", c.wire.Method, c.service.ID, c.wire.Path)
	h.Write(c.wire.Body)
	return [32]byte(h.Sum(nil))
}

func stored(answer *state.StoredResponse) outcome {
	if answer == nil {
		return failed(model.VerdictRan, http.StatusGone, "answer_not_kept", "the request ran; its answer was too large to be kept")
	}
	header := http.Header{"Content-Type": {answer.ContentType}}
	return outcome{verdict: model.VerdictRan, answer: target.Answer{Status: answer.Status, Header: header, Body: answer.Body}}
}

// maxStoredAnswer bounds the answers that the log keeps for resends.
const maxStoredAnswer = 64 << 10 // bytes

// recordWithin records the outcome before the caller is answered, so that a resend gets it,
// but does not hold the answer back beyond the deadline.
func (g *Gateway) recordWithin(c *call, out outcome) {
	done := g.recordLater(c, out)
	timer := time.NewTimer(time.Until(c.wire.Deadline))
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

func (g *Gateway) recordLater(c *call, out outcome) <-chan struct{} {
	done := make(chan struct{})
	g.active.Add(1)
	go func() {
		defer g.active.Add(-1)
		defer close(done)
		g.recordEnd(c, out)
	}()
	return done
}

// Repetition of an outcome that could not be recorded. A new leader is found within 1 s.
const (
	recordTries = 5
	recordPause = 500 * time.Millisecond
)

// recordEnd records the outcome. The caller may be gone, so its context is not used.
func (g *Gateway) recordEnd(c *call, out outcome) {
	end := &state.EndRequest{Tenant: c.tenant, Key: c.wire.Key, Request: c.id, Verdict: out.verdict}
	if out.verdict == model.VerdictRan && len(out.answer.Body) <= maxStoredAnswer {
		end.Response = &state.StoredResponse{
			Status:      out.answer.Status,
			ContentType: out.answer.Header.Get("Content-Type"),
			Body:        out.answer.Body,
		}
	}
	for try := 1; ; try++ {
		_, err := g.propose(context.Background(), state.Command{EndRequest: end})
		if err == nil {
			return
		}
		if try == recordTries {
			// The key stays in progress until this session ends, and is unknown after that.
			g.logger.Warn().Err(err).Str("request", string(c.id)).Msg("outcome of request not recorded")
			return
		}
		time.Sleep(recordPause)
	}
}

func (g *Gateway) readCall(r *http.Request) (*call, *outcome) {
	if !g.session.Valid() {
		problem := notReady()
		return nil, &problem
	}
	service, ok := g.session.Service(model.ServiceID(r.PathValue("service")))
	if !ok {
		return nil, refuse(http.StatusNotFound, "no_service", "service %q does not exist", r.PathValue("service"))
	}
	c := &call{service: service, tenant: model.TenantID(r.Header.Get(headerTenant))}
	if _, ok := g.session.Tenant(c.tenant); !ok {
		return nil, refuse(http.StatusForbidden, "no_tenant", "tenant %q does not exist; set %s", c.tenant, headerTenant)
	}
	if problem := c.readHeaders(r); problem != nil {
		return nil, problem
	}
	body, problem := readBody(r)
	if problem != nil {
		return nil, problem
	}
	c.wire.Body = body
	return c, nil
}

func refuse(status int, code, format string, args ...any) *outcome {
	out := failed(model.VerdictNotRun, status, code, format, args...)
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
		return nil, refuse(http.StatusRequestEntityTooLarge, "body_too_large", "the body is larger than %d bytes", maxQuickBody)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, refuse(http.StatusRequestTimeout, "body_too_slow", "the body did not arrive within %s", bodyTimeout)
	default:
		return nil, refuse(http.StatusBadRequest, "body_incomplete", "the body could not be read: %v", err)
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
		return refuse(http.StatusBadRequest, "bad_header", "%s %q is none of true, false", headerIdempotent, text)
	}
	c.id = model.RequestID(rand.Text())
	c.wire = target.Call{
		ID:       c.id,
		Tenant:   c.tenant,
		Method:   r.Method,
		Path:     callPath(r),
		Header:   r.Header,
		Key:      r.Header.Get(headerIdempotency),
		Deadline: deadline,
	}
	return nil
}

// callPath returns the escaped path below the service, and the query. The path is not
// decoded, so that an escaped slash or question mark reaches the target as it came.
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
			return time.Time{}, refuse(http.StatusBadRequest, "bad_header", "%s %q is not a number of 1 to 600000", headerDeadline, text)
		}
		ms = parsed
	}
	return time.Now().Add(time.Duration(ms) * time.Millisecond), nil
}

// answerHeaders are the target's headers that reach the caller.
var answerHeaders = []string{"Content-Type", "Content-Language", "Cache-Control", "Etag", "Last-Modified", "Location"}

func writeOutcome(w http.ResponseWriter, out outcome) {
	if out.retryAfter > 0 {
		w.Header().Set("Retry-After", retryAfter(out.retryAfter))
	}
	if out.status != 0 {
		writeProblem(w, out.status, out.verdict, out.code, out.message)
		return
	}
	beginAnswer(w)
	w.Header()["Content-Type"] = nil // the server must not guess one that the target left out
	for _, name := range answerHeaders {
		if value := out.answer.Header.Get(name); value != "" {
			w.Header().Set(name, value)
		}
	}
	w.Header().Set(model.VerdictHeader, out.verdict.String())
	if length := answerLength(out.answer); length != "" {
		w.Header().Set("Content-Length", length)
	}
	w.WriteHeader(out.answer.Status)
	_, _ = w.Write(out.answer.Body)
}

// answerLength keeps the length that the target stated for an answer without a body, as to
// HEAD.
func answerLength(answer target.Answer) string {
	if len(answer.Body) == 0 {
		return answer.Header.Get("Content-Length")
	}
	return strconv.Itoa(len(answer.Body))
}
