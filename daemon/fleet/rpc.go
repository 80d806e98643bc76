package fleet

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/rs/zerolog"

	"samphirepaddle.example/core/model"
)

// PathPrefix is where controllers serve the operations to other daemons.
const PathPrefix = "/fleet/v1/"

// Headers of the answers.
const (
	headerLeader  = "Samphire-Leader"  // peer address of the leader, with statusNotLeading
	headerMembers = "Samphire-Members" // peer addresses of the controllers, separated by commas
)

// Statuses of the answers.
const (
	statusNotLeading      = http.StatusMisdirectedRequest
	statusNoConfiguration = http.StatusPreconditionFailed
	statusUnknownOutcome  = http.StatusGatewayTimeout
)

// maxCallBytes bounds one call; the largest one carries a routing table of 4 MiB.
const maxCallBytes = 5 << 20

// Names of the operations.
const (
	opSubmit    = "submit"
	opCancel    = "cancel"
	opAsk       = "ask"
	opConfigure = "configure"
	opConfig    = "config"
	opReport    = "report"
	opLeave     = "leave"
	opPing      = "ping"
)

// Directory tells daemons where the controllers are.
type Directory interface {
	LeaderAddr() string // empty if none is known
	MemberAddrs() []string
}

// Handler serves the operations of the engine to other daemons.
func Handler(e *Engine, d Directory, logger zerolog.Logger) http.Handler {
	mux := http.NewServeMux()
	register(mux, d, logger, opSubmit, e.Submit)
	register(mux, d, logger, opCancel, e.Cancel)
	register(mux, d, logger, opAsk, e.Lookup)
	register(mux, d, logger, opConfigure, e.Configure)
	register(mux, d, logger, opConfig, e.ReadConfiguration)
	register(mux, d, logger, opReport, e.Report)
	register(mux, d, logger, opLeave, e.Deregister)
	register(mux, d, logger, opPing, e.Ping)
	return mux
}

// Ping answers if this controller leads.
func (e *Engine) Ping(context.Context, struct{}) (struct{}, error) {
	if e.current() == nil {
		return struct{}{}, ErrNotLeading
	}
	return struct{}{}, nil
}

func register[Q, A any](mux *http.ServeMux, d Directory, logger zerolog.Logger, op string, f func(context.Context, Q) (A, error)) {
	mux.HandleFunc("POST "+PathPrefix+op, func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Date"] = nil
		w.Header().Set(headerMembers, strings.Join(d.MemberAddrs(), ","))
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCallBytes))
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		var question Q
		if err := model.Decode(body, &question); err != nil {
			logger.Warn().Err(err).Str("operation", op).Msg("call from another daemon cannot be read")
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		answer, err := f(r.Context(), question)
		if err != nil {
			writeError(w, d, err)
			return
		}
		data, err := model.Encode(answer)
		if err != nil {
			logger.Error().Err(err).Str("operation", op).Msg("answer cannot be encoded")
			w.WriteHeader(statusUnknownOutcome)
			return
		}
		if _, err := w.Write(data); err != nil {
			logger.Debug().Err(err).Str("operation", op).Msg("answer not delivered")
		}
	})
}

// RedirectHandler answers every operation with the addresses that the client knows, on a
// daemon that cannot lead, and learns them from the calls of controllers.
func RedirectHandler(c *Client) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.learn(r.Header.Get(headerMembers))
		w.Header()["Date"] = nil
		w.Header().Set(headerMembers, strings.Join(c.MemberAddrs(), ","))
		writeError(w, c, ErrNotLeading)
	})
}

func writeError(w http.ResponseWriter, d Directory, err error) {
	switch {
	case errors.Is(err, ErrNotLeading):
		w.Header().Set(headerLeader, d.LeaderAddr())
		w.WriteHeader(statusNotLeading)
	case errors.Is(err, ErrNoConfiguration):
		w.WriteHeader(statusNoConfiguration)
	default:
		w.WriteHeader(statusUnknownOutcome)
	}
}
