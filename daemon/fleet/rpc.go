package fleet

import (
	"context"
	"errors"
	"net/http"

	"github.com/rs/zerolog"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/daemon/intake"
)

// PathPrefix is the path prefix under which controllers serve other daemons.
const PathPrefix = "/fleet/v1/"

// headerLeader carries the peer address of the leader, with statusNotLeading.
const headerLeader = "Samphire-Leader"

// Statuses of the responses.
const (
	statusNotLeading      = http.StatusMisdirectedRequest
	statusNoConfiguration = http.StatusPreconditionFailed
	statusUnknownOutcome  = http.StatusGatewayTimeout
)

// MaxCallBytes limits the body of a request or response; the largest one carries a routing table
// of 4 MiB.
const MaxCallBytes = 10 << 20

// Names of the operations.
const (
	opSubmit     = "submit"
	opCancel     = "cancel"
	opLookup     = "ask"
	opConfigure  = "configure"
	opConfig     = "config"
	opReport     = "report"
	opDeregister = "leave"
	opPing       = "ping"
	opOrderZone  = "zone"

	opEvacuatedZones = "evacuated"
	opExplain        = "explain"
)

// Directory provides the addresses of the controllers.
type Directory interface {
	LeaderAddr() string // empty if none is known
	KnownControllers() ControllerList
}

// Handler serves the operations of the engine to other daemons.
func Handler(e *Engine, d Directory, logger zerolog.Logger) http.Handler {
	mux := http.NewServeMux()
	registerOperation(mux, d, logger, opSubmit, e.Submit)
	registerOperation(mux, d, logger, opCancel, e.Cancel)
	registerOperation(mux, d, logger, opLookup, e.Lookup)
	registerOperation(mux, d, logger, opConfigure, e.Configure)
	registerOperation(mux, d, logger, opConfig, e.ReadConfiguration)
	registerOperation(mux, d, logger, opReport, e.ReportWorker)
	registerOperation(mux, d, logger, opDeregister, e.Deregister)
	registerOperation(mux, d, logger, opPing, e.Ping)
	registerOperation(mux, d, logger, opOrderZone, e.OrderZone)
	registerOperation(mux, d, logger, opEvacuatedZones, e.EvacuatedZones)
	registerOperation(mux, d, logger, opExplain, e.Explain)
	return mux
}

// Ping returns no error if this controller is the leader.
func (e *Engine) Ping(context.Context, struct{}) (struct{}, error) {
	if e.currentLeadership() == nil {
		return struct{}{}, ErrNotLeading
	}
	return struct{}{}, nil
}

func registerOperation[Req, Resp any](mux *http.ServeMux, d Directory, logger zerolog.Logger, op string, f func(context.Context, Req) (Resp, error)) {
	mux.HandleFunc("POST "+PathPrefix+op, func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Date"] = nil
		d.KnownControllers().setHeader(w.Header())
		body, err := intake.ReadBody(w, r, MaxCallBytes)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		var request Req
		if err := decodeRequest(op, body, &request); err != nil {
			logger.Warn().Err(err).Str("operation", op).Msg("could not decode a request from another daemon")
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		response, err := f(r.Context(), request)
		if err != nil {
			writeError(w, d, err)
			return
		}
		data, err := model.Encode(response)
		if err != nil {
			logger.Error().Err(err).Str("operation", op).Msg("could not encode the response")
			w.WriteHeader(statusUnknownOutcome)
			return
		}
		if _, err := w.Write(data); err != nil {
			logger.Debug().Err(err).Str("operation", op).Msg("could not send the response")
		}
	})
}

// RedirectHandler serves daemons that cannot lead: it answers every operation with the controllers that the
// client knows.
func RedirectHandler(c *Client) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST "+PathAnnounce, c.AnnouncementHandler())
	mux.Handle(PathPrefix, c.LearnMembers(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header()["Date"] = nil
		c.KnownControllers().setHeader(w.Header())
		writeError(w, c, ErrNotLeading)
	})))
	return mux
}

// decodeRequest decodes the body of a request. Earlier builds announce the controllers by a ping without a body.
func decodeRequest(op string, body []byte, request any) error {
	if op == opPing && len(body) == 0 {
		return nil
	}
	return model.Decode(body, request)
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
