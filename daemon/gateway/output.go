package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/daemon/once"
	"samphirepaddle.example/daemon/target"
	"samphirepaddle.example/daemon/wait"
)

// Timeouts and intervals of output streams. A stream as a whole has no deadline.
const (
	blockWriteTimeout    = 30 * time.Second       // for the caller to receive one block
	attemptCheckInterval = 5 * time.Second        // time without output after which the job's current attempt is looked up
	streamStallTimeout   = 60 * time.Second       // time without progress after which a stream is aborted
	streamPollInterval   = 500 * time.Millisecond // pause between two steps of a stream
	snapshotIdleTimeout  = 300 * time.Millisecond // time without output after which a stream with follow=false ends
	blockSize            = 32 << 10               // bytes
)

const (
	relayPrefix      = "/relay/output/"
	headerNextOffset = "Samphire-Next-Offset"
)

// stream sends the output of one job to one caller.
type stream struct {
	g            *Gateway
	w            http.ResponseWriter
	job          model.JobID
	offset       int64
	follow       bool
	started      bool            // the status line was sent
	sentAttempt  model.AttemptID // last attempt whose output was sent completely
	lastProgress time.Time       // when output was last sent or a step succeeded
}

// errCallerWrite ends a stream when writing to its caller fails.
var errCallerWrite = errors.New("failed to write the output to the caller")

// serveOutput sends the output of a job from an offset. With follow=true it continues over
// evictions and restarts, and ends cleanly only when the job has ended and all output was sent.
func (g *Gateway) serveOutput(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	offset, follow, err := readOutputQuery(r.URL.Query())
	if err != nil {
		writeProblem(w, http.StatusBadRequest, model.VerdictNotRun, "bad_query", err.Error())
		return
	}
	s := &stream{g: g, w: w, job: model.JobID(r.PathValue("id")), offset: offset, follow: follow, lastProgress: time.Now()}
	s.run(r.Context())
}

func readOutputQuery(query url.Values) (offset int64, follow bool, err error) {
	if text := query.Get("offset"); text != "" {
		offset, err = strconv.ParseInt(text, 10, 64)
		if err != nil || offset < 0 {
			return 0, false, fmt.Errorf("offset %q is not a number of bytes", text)
		}
	}
	if text := query.Get("follow"); text != "" {
		follow, err = strconv.ParseBool(text)
		if err != nil {
			return 0, false, fmt.Errorf("follow %q is none of true, false", text)
		}
	}
	return offset, follow, nil
}

// run repeats step until the response is complete, the caller has left, an error is permanent or
// the stream has made no progress for streamStallTimeout.
func (s *stream) run(ctx context.Context) {
	for {
		job, err := s.g.readJob(ctx, s.job)
		if err == nil {
			var ended bool
			if ended, err = s.step(ctx, job); ended {
				return
			}
		}
		if err == nil {
			s.lastProgress = time.Now()
		}
		var status *target.StatusError
		permanent := errors.As(err, &status) && status.Status == http.StatusRequestedRangeNotSatisfiable
		if errors.Is(err, errCallerWrite) || permanent || ctx.Err() != nil || time.Since(s.lastProgress) > streamStallTimeout {
			s.fail(err)
			return
		}
		wait.For(ctx, streamPollInterval)
	}
}

// step sends the output of the current attempt. It reports whether the response is complete.
func (s *stream) step(ctx context.Context, job *state.Job) (ended bool, err error) {
	switch {
	case job == nil:
		s.failOrAbort(http.StatusNotFound, "not_found", "the job does not exist")
		return true, nil
	case job.Phase != state.JobQueued && job.Phase != state.JobAssigned:
		return true, s.finishEndedJob(job)
	case job.OpenAttempt == nil || job.OpenAttempt.ID == s.sentAttempt:
		if !s.follow {
			s.finish()
			return true, nil
		}
		s.sendHeader()
		return false, nil
	}
	before := s.offset
	err = s.copyAttempt(ctx, *job.OpenAttempt)
	if s.offset > before {
		s.lastProgress = time.Now()
	}
	if err == nil && !s.follow {
		s.finish()
		return true, nil
	}
	if err == nil {
		s.sentAttempt = job.OpenAttempt.ID
	}
	return false, err
}

// finishEndedJob ends the stream of a job that has ended: with an error response if nothing was
// sent yet, cleanly if the output of the last attempt was sent completely, else by aborting the
// connection.
func (s *stream) finishEndedJob(job *state.Job) error {
	switch {
	case !s.started:
		s.failOrAbort(http.StatusGone, "ended", "the job is "+string(job.Phase)+"; its output is not kept")
	case job.Attempts == s.sentAttempt.Number:
		s.finish()
	default:
		panic(http.ErrAbortHandler)
	}
	return nil
}

// failOrAbort responds with an error, or aborts the connection if the status line was sent.
func (s *stream) failOrAbort(status int, code, message string) {
	if s.started {
		panic(http.ErrAbortHandler)
	}
	writeProblem(s.w, status, model.VerdictNotRun, code, message)
}

// fail ends a stream that cannot continue. After the status line, only an aborted connection
// tells the caller that the output is incomplete.
func (s *stream) fail(err error) {
	var status *target.StatusError
	if errors.As(err, &status) && status.Status == http.StatusRequestedRangeNotSatisfiable {
		s.failOrAbort(http.StatusRequestedRangeNotSatisfiable, "offset_not_kept", "the output at this offset is not kept")
		return
	}
	s.failOrAbort(http.StatusServiceUnavailable, "output_failed", fmt.Sprintf("the output cannot be read: %v", err))
}

func (s *stream) sendHeader() {
	if s.started {
		return
	}
	s.started = true
	control := http.NewResponseController(s.w)
	_ = control.SetWriteDeadline(time.Now().Add(blockWriteTimeout))
	header := s.w.Header()
	header.Set("Content-Type", "application/octet-stream")
	header.Set(model.VerdictHeader, model.VerdictRan.String())
	header.Set("Trailer", headerNextOffset)
	s.w.WriteHeader(http.StatusOK)
	_ = control.Flush()
}

func (s *stream) finish() {
	s.sendHeader()
	s.w.Header().Set(headerNextOffset, strconv.FormatInt(s.offset, 10))
	_ = http.NewResponseController(s.w).SetWriteDeadline(time.Now().Add(blockWriteTimeout))
}

// copyAttempt sends the output of one attempt from the offset until the attempt ends.
func (s *stream) copyAttempt(ctx context.Context, attempt state.Attempt) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	response, err := s.g.openOutput(ctx, attempt, s.offset)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	s.sendHeader()
	idle := newIdleTimer(s, attempt, cancel)
	defer idle.stop()
	err = copyBlocks(s.w, response.Body, func(n int) {
		s.offset += int64(n)
		idle.reset()
	})
	if err != nil && idle.snapshotExpired() {
		return nil
	}
	if err == nil && !once.HasDelimitedBody(response) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// copyBlocks copies a stream to w and flushes after each block. Only the time to write one block is
// limited.
func copyBlocks(w http.ResponseWriter, from io.Reader, sent func(n int)) error {
	control := http.NewResponseController(w)
	block := make([]byte, blockSize)
	for {
		n, err := from.Read(block)
		if n > 0 {
			_ = control.SetWriteDeadline(time.Now().Add(blockWriteTimeout))
			if _, err := w.Write(block[:n]); err != nil {
				return errors.Join(errCallerWrite, err)
			}
			if err := control.Flush(); err != nil {
				return errors.Join(errCallerWrite, err)
			}
			sent(n)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// openOutput opens the output of an attempt at its target if this gateway owns the target, else
// through the owner.
func (g *Gateway) openOutput(ctx context.Context, attempt state.Attempt, offset int64) (*http.Response, error) {
	if address, epoch, ok := g.owners.TargetAddress(attempt.Target); ok {
		return g.targets.Output(ctx, address, epoch, attempt.ID, offset)
	}
	peer, err := g.control.Read(ctx, "owner", attempt.Target)
	if err != nil {
		return nil, err
	}
	if len(peer) == 0 {
		return nil, errors.New("the target has no owner at present")
	}
	return g.openRelay(ctx, string(peer), attempt, offset)
}

func (g *Gateway) openRelay(ctx context.Context, peer string, attempt state.Attempt, offset int64) (*http.Response, error) {
	address := fmt.Sprintf("http://%s%s%s/%d?offset=%d&target=%s", peer, relayPrefix,
		attempt.ID.Job, attempt.ID.Number, offset, url.QueryEscape(string(attempt.Target)))
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, err
	}
	response, err := g.relayClient.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		response.Body.Close()
		return nil, &target.StatusError{Path: relayPrefix, Status: response.StatusCode}
	}
	return response, nil
}

// serveRelay sends another gateway the output of an attempt on a target that this gateway owns.
func (g *Gateway) serveRelay(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	number, err := strconv.ParseUint(r.PathValue("number"), 10, 32)
	offset, _, queryErr := readOutputQuery(r.URL.Query())
	if err = errors.Join(err, queryErr); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	address, epoch, ok := g.owners.TargetAddress(model.TargetID(r.URL.Query().Get("target")))
	if !ok {
		http.Error(w, "this gateway does not own the target", http.StatusMisdirectedRequest)
		return
	}
	id := model.AttemptID{Job: model.JobID(r.PathValue("job")), Number: uint32(number)}
	response, err := g.targets.Output(r.Context(), address, epoch, id, offset)
	var status *target.StatusError
	if errors.As(err, &status) {
		http.Error(w, err.Error(), status.Status)
		return
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer response.Body.Close()
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	if copyBlocks(w, response.Body, func(int) {}) != nil || !once.HasDelimitedBody(response) {
		panic(http.ErrAbortHandler)
	}
}

func (g *Gateway) readJob(ctx context.Context, id model.JobID) (*state.Job, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	body, err := g.control.Read(ctx, "job", id)
	if err != nil {
		return nil, err
	}
	var job *state.Job
	return job, json.Unmarshal(body, &job)
}
