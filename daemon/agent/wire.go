// Package agent lets controllers carry the leader's calls to workers. The leader decides on every
// call, its lease and its fencing token; an agent only executes it. A call through an agent can be
// late, lost or executed without an answer, like one that the leader makes itself, so an agent needs
// no permission of its own.
//
// The leader keeps one stream with each agent. A stream is a TCP connection, upgraded from an HTTP
// request, on which both sides send frames. A frame batches the requests or responses that have
// become ready since the last one, because at a thousand workers the cost of single calls exceeds
// the processor of the leader's VM.
package agent

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
	"samphirepaddle.example/daemon/fleet"
)

// StreamPath is the path at which an agent accepts streams.
const StreamPath = "/agent/v1/stream"

// Names in the request and response that open a stream.
const (
	protocolName = "samphire-agent-1" // in the Upgrade header
	headerZone   = "Samphire-Zone"    // availability zone of the agent
)

// Limits of a frame.
const (
	maxFrameBytes = 16 << 20
	maxFrameItems = 1024 // requests or responses
)

// operation is the kind of a call to a worker.
type operation uint8

const (
	opStart operation = iota + 1
	opStop
	opHold
	opPace
)

// requestFrame is a frame from the leader.
type requestFrame struct {
	_        struct{} `cbor:",toarray"`
	SentAt   int64    // reading of the leader's bootclock in nanoseconds
	Ping     uint64   // to be returned at once, unless it is 0
	Requests []request
}

// request is one call to a worker. Fields that the operation does not use are zero.
type request struct {
	_            struct{} `cbor:",toarray"`
	ID           uint64   // unique on the stream
	Operation    operation
	To           workflow.Incarnation
	Addr         string
	TimeoutMs    int64
	Token        uint64
	Attempt      workflow.Attempt
	Payload      string
	Checkpoint   string
	LeaseUntil   model.Millis
	AckedThrough uint64
	Wait         model.Millis
	Percent      int
}

// responseFrame is a frame from the agent.
type responseFrame struct {
	_         struct{} `cbor:",toarray"`
	Pong      uint64   // last ping that was received, or 0
	Draining  bool     // the agent shuts down and wants no new calls
	Responses []response
}

// response is the outcome of one request.
type response struct {
	_         struct{} `cbor:",toarray"`
	ID        uint64
	Error     errorCode
	Text      string // of an error with errorUnknown
	Clock     model.Millis
	StartedAt model.Millis
	Running   []runningRow
	Ended     []endedRow
	Truncated bool
}

type runningRow struct {
	_          struct{} `cbor:",toarray"`
	Task       taskRow
	Number     uint32
	Checkpoint string
	Progress   int
	Usage      int64
}

type endedRow struct {
	_          struct{} `cbor:",toarray"`
	EndNumber  uint64
	Task       taskRow
	Number     uint32
	Kind       workflow.EndKind
	Checkpoint string
}

// taskRow is a workflow.TaskKey in a compact encoding.
type taskRow struct {
	_                       struct{} `cbor:",toarray"`
	Job                     workflow.JobID
	Occurrence, Step, Index int
}

func newTaskRow(k workflow.TaskKey) taskRow {
	return taskRow{Job: k.Job, Occurrence: k.Occurrence, Step: k.Step, Index: k.Index}
}

func (r taskRow) key() workflow.TaskKey {
	return workflow.TaskKey{Job: r.Job, Occurrence: r.Occurrence, Step: r.Step, Index: r.Index}
}

// errorCode identifies an error of fleet.WorkerClient.
type errorCode uint8

const (
	errorNone errorCode = iota
	errorUnknown
	firstKnownError
)

// knownErrors are the errors whose identity the leader needs. The order is part of the protocol.
var knownErrors = []error{
	fleet.ErrWrongWorker, fleet.ErrWorkerUnavailable, fleet.ErrFenced, fleet.ErrStaleAttempt,
	fleet.ErrLeaseExpired, fleet.ErrNoCapacity, fleet.ErrMalformed, fleet.ErrNotSent, fleet.ErrUnreachable,
}

func (r *response) setError(err error) {
	if err == nil {
		return
	}
	for i, known := range knownErrors {
		if errors.Is(err, known) {
			r.Error = firstKnownError + errorCode(i)
			return
		}
	}
	r.Error, r.Text = errorUnknown, err.Error()
}

func (r *response) err() error {
	switch known := int(r.Error) - int(firstKnownError); {
	case r.Error == errorNone:
		return nil
	case known >= 0 && known < len(knownErrors):
		return knownErrors[known]
	}
	return errors.New(r.Text)
}

func (r *response) setListing(l fleet.Listing) {
	r.Clock, r.StartedAt, r.Truncated = l.Clock, l.StartedAt, l.Truncated
	r.Running = make([]runningRow, 0, len(l.Running))
	for _, a := range l.Running {
		r.Running = append(r.Running, runningRow{
			Task: newTaskRow(a.Attempt.Task), Number: a.Attempt.Number, Checkpoint: a.Checkpoint, Progress: a.Progress, Usage: a.Usage,
		})
	}
	r.Ended = make([]endedRow, 0, len(l.Ended))
	for _, e := range l.Ended {
		r.Ended = append(r.Ended, endedRow{
			EndNumber: e.Number, Task: newTaskRow(e.Attempt.Task), Number: e.Attempt.Number, Kind: e.Kind, Checkpoint: e.Checkpoint,
		})
	}
}

func (r *response) listing() fleet.Listing {
	l := fleet.Listing{Clock: r.Clock, StartedAt: r.StartedAt, Truncated: r.Truncated}
	l.Running = make([]fleet.RunningAttempt, 0, len(r.Running))
	for _, row := range r.Running {
		attempt := workflow.Attempt{Task: row.Task.key(), Number: row.Number}
		l.Running = append(l.Running, fleet.RunningAttempt{Attempt: attempt, Checkpoint: row.Checkpoint, Progress: row.Progress, Usage: row.Usage})
	}
	l.Ended = make([]fleet.EndedAttempt, 0, len(r.Ended))
	for _, row := range r.Ended {
		attempt := workflow.Attempt{Task: row.Task.key(), Number: row.Number}
		l.Ended = append(l.Ended, fleet.EndedAttempt{Number: row.EndNumber, Attempt: attempt, Kind: row.Kind, Checkpoint: row.Checkpoint})
	}
	return l
}

// frameHeaderBytes is the size of the length that precedes each frame.
const frameHeaderBytes = 4

func writeFrame(w io.Writer, frame any) error {
	body, err := model.Encode(frame)
	if err != nil {
		return err
	}
	if len(body) > maxFrameBytes {
		return fmt.Errorf("a frame of %d bytes exceeds the limit of %d", len(body), maxFrameBytes)
	}
	data := make([]byte, frameHeaderBytes, frameHeaderBytes+len(body))
	binary.BigEndian.PutUint32(data, uint32(len(body)))
	_, err = w.Write(append(data, body...))
	return err
}

// readFrame reads the next frame.
func readFrame(r io.Reader, frame any) error {
	size, err := readFrameSize(r)
	if err != nil {
		return err
	}
	return readFrameBody(io.LimitReader(r, size), size, frame)
}

func readFrameSize(r io.Reader) (int64, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxFrameBytes {
		return 0, fmt.Errorf("a frame of %d bytes exceeds the limit of %d", size, maxFrameBytes)
	}
	return int64(size), nil
}

// readFrameBody reads a frame of the given size from a reader that ends with it. The buffer grows with the bytes that
// arrive, so that a corrupt length alone allocates no memory.
func readFrameBody(r io.Reader, size int64, frame any) error {
	body, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	if int64(len(body)) < size {
		return io.ErrUnexpectedEOF
	}
	return model.Decode(body, frame)
}
