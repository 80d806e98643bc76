package gateway

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

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
	service    model.Service
	tenant     model.TenantID
	idempotent bool
	forwarded  bool
	wire       target.Call
}

// outcome is what became of a call.
type outcome struct {
	answer  target.Answer
	verdict model.Verdict
	status  int    // of a refusal or failure; zero if answer is set
	code    string // of a refusal or failure
	message string
}

func failed(verdict model.Verdict, status int, code, format string, args ...any) outcome {
	return outcome{verdict: verdict, status: status, code: code, message: fmt.Sprintf(format, args...)}
}

func (g *Gateway) serveCall(w http.ResponseWriter, r *http.Request) {
	c, problem := g.readCall(r)
	if problem != nil {
		writeProblem(w, problem.status, model.VerdictNotRun, problem.code, problem.message)
		return
	}
	w.Header().Set(target.HeaderRequestID, string(c.wire.ID))
	writeOutcome(w, g.run(r.Context(), c))
}

// run executes a call; a non-idempotent call with a key is recorded first.
func (g *Gateway) run(ctx context.Context, c *call) outcome {
	if c.idempotent || c.wire.Key == "" || c.forwarded {
		return g.route(ctx, c)
	}
	return g.runRecorded(ctx, c)
}

func (g *Gateway) runRecorded(ctx context.Context, c *call) outcome {
	result, err := g.propose(ctx, state.Command{BeginRequest: &state.BeginRequest{
		Tenant:   c.tenant,
		Key:      c.wire.Key,
		BodyHash: contentHash(c),
		Request:  c.wire.ID,
		Gateway:  g.session.Gateway(),
		Epoch:    g.session.Epoch(),
	}})
	if err != nil {
		return failed(model.VerdictNotRun, http.StatusServiceUnavailable, "no_leader", "the request could not be recorded: %v", err)
	}
	switch result.Code {
	case state.CodeOK:
		out := g.route(ctx, c)
		g.recordEnd(c, out)
		return out
	case state.CodeRepeated:
		return stored(result.Answer)
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

func stored(answer *state.StoredAnswer) outcome {
	if answer == nil {
		return failed(model.VerdictRan, http.StatusGone, "answer_not_kept", "the request ran; its answer was too large to be kept")
	}
	header := http.Header{"Content-Type": {answer.ContentType}}
	return outcome{verdict: model.VerdictRan, answer: target.Answer{Status: answer.Status, Header: header, Body: answer.Body}}
}

// maxStoredAnswer bounds the answers that the log keeps for resends.
const maxStoredAnswer = 64 << 10 // bytes

// recordEnd records the outcome. The caller may be gone, so its context is not used.
func (g *Gateway) recordEnd(c *call, out outcome) {
	end := &state.EndRequest{Tenant: c.tenant, Key: c.wire.Key, Request: c.wire.ID, Verdict: out.verdict}
	if out.verdict == model.VerdictRan && len(out.answer.Body) <= maxStoredAnswer {
		end.Answer = &state.StoredAnswer{
			Status:      out.answer.Status,
			ContentType: out.answer.Header.Get("Content-Type"),
			Body:        out.answer.Body,
		}
	}
	if _, err := g.propose(context.Background(), state.Command{EndRequest: end}); err != nil {
		g.logger.Warn().Err(err).Str("request", string(c.wire.ID)).Msg("outcome of request not recorded")
	}
}

// refusal is why a request was not taken.
type refusal struct {
	status  int
	code    string
	message string
}

func refuse(status int, code, format string, args ...any) *refusal {
	return &refusal{status: status, code: code, message: fmt.Sprintf(format, args...)}
}

func (g *Gateway) readCall(r *http.Request) (*call, *refusal) {
	if !g.session.Valid() {
		return nil, refuse(http.StatusServiceUnavailable, "not_ready", "this gateway has no valid session")
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
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxQuickBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, refuse(http.StatusRequestEntityTooLarge, "body_too_large", "the body is larger than %d bytes", maxQuickBody)
	}
	if err != nil {
		return nil, refuse(http.StatusBadRequest, "body_incomplete", "the body could not be read: %v", err)
	}
	c.wire.Body = body
	return c, nil
}

func (c *call) readHeaders(r *http.Request) *refusal {
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
	c.wire = target.Call{
		ID:       model.RequestID(rand.Text()),
		Tenant:   c.tenant,
		Method:   r.Method,
		Path:     callPath(r),
		Header:   r.Header,
		Key:      r.Header.Get(headerIdempotency),
		Deadline: deadline,
	}
	return nil
}

func callPath(r *http.Request) string {
	path := "/" + r.PathValue("path")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

func readDeadline(r *http.Request, service model.Service) (time.Time, *refusal) {
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
	if out.status != 0 {
		writeProblem(w, out.status, out.verdict, out.code, out.message)
		return
	}
	for _, name := range answerHeaders {
		if value := out.answer.Header.Get(name); value != "" {
			w.Header().Set(name, value)
		}
	}
	w.Header().Set(model.VerdictHeader, out.verdict.String())
	w.Header().Set("Content-Length", strconv.Itoa(len(out.answer.Body)))
	w.WriteHeader(out.answer.Status)
	_, _ = w.Write(out.answer.Body)
}
