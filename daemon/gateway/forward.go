package gateway

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/syncmsg"
	"samphirepaddle.example/daemon/target"
)

// forwardPath is the path of forwarded calls on the peer listener.
const forwardPath = "/forward/{service}/{path...}"

// headerForwarded marks problems that the peer itself answered.
const headerProblem = "Samphire-Problem"

// forward passes the call to the peer with more free slots of two chosen at random. done is
// false if the call did not run and may be tried elsewhere.
func (g *Gateway) forward(ctx context.Context, c *call) (out outcome, done bool) {
	peer, ok := choosePeer(g.session.Peers(), c.service.Pool)
	if !ok {
		return outcome{}, false
	}
	out = g.forwardTo(ctx, peer, c)
	return out, out.verdict != model.VerdictNotRun
}

func choosePeer(peers []syncmsg.Peer, pool model.PoolID) (syncmsg.Peer, bool) {
	var free []syncmsg.Peer
	for _, peer := range peers {
		if peer.FreeQuick[pool] > 0 {
			free = append(free, peer)
		}
	}
	if len(free) == 0 {
		return syncmsg.Peer{}, false
	}
	a := free[rand.IntN(len(free))]
	b := free[rand.IntN(len(free))]
	if b.FreeQuick[pool] > a.FreeQuick[pool] {
		return b, true
	}
	return a, true
}

func (g *Gateway) forwardTo(ctx context.Context, peer syncmsg.Peer, c *call) outcome {
	ctx, cancel := context.WithDeadline(ctx, c.wire.Deadline)
	defer cancel()
	url := "http://" + peer.PeerAddr + "/forward/" + string(c.service.ID) + c.wire.Path
	request, err := http.NewRequestWithContext(ctx, c.wire.Method, url, bytes.NewReader(c.wire.Body))
	if err != nil {
		return failed(model.VerdictNotRun, http.StatusBadRequest, "bad_request", "%v", err)
	}
	request.GetBody = nil
	request.Header = c.wire.Header.Clone()
	request.Header.Del(headerIdempotency)
	request.Header.Set(target.HeaderKey, c.wire.Key)
	request.Header.Set(target.HeaderRequestID, string(c.wire.ID))
	request.Header.Set(headerIdempotent, strconv.FormatBool(c.idempotent))
	request.Header.Set(headerDeadline, strconv.FormatInt(max(1, time.Until(c.wire.Deadline).Milliseconds()), 10))
	response, err := g.forwards.Do(request)
	if err != nil {
		return failed(forwardVerdict(err), http.StatusBadGateway, "peer_failed", "forward to %s: %v", peer.ID, err)
	}
	defer response.Body.Close()
	return readForwarded(response, peer)
}

// forwardVerdict judges a forward that got no answer.
func forwardVerdict(err error) model.Verdict {
	if target.IsConnectError(err) {
		return model.VerdictNotRun
	}
	return model.VerdictUnknown
}

func readForwarded(response *http.Response, peer syncmsg.Peer) outcome {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return failed(model.VerdictUnknown, http.StatusBadGateway, "peer_failed", "answer of %s is not complete: %v", peer.ID, err)
	}
	verdict, err := model.ParseVerdict(response.Header.Get(model.VerdictHeader))
	if err != nil {
		return failed(model.VerdictUnknown, http.StatusBadGateway, "peer_failed", "answer of %s: %v", peer.ID, err)
	}
	if code := response.Header.Get(headerProblem); code != "" {
		return failed(verdict, response.StatusCode, code, "%s", body)
	}
	return outcome{verdict: verdict, answer: target.Answer{Status: response.StatusCode, Header: response.Header, Body: body}}
}

func (g *Gateway) serveForward(w http.ResponseWriter, r *http.Request) {
	c, problem := g.readCall(r)
	if problem != nil {
		writeForwardProblem(w, failed(model.VerdictNotRun, problem.status, problem.code, "%s", problem.message))
		return
	}
	c.forwarded = true
	c.wire.ID = model.RequestID(r.Header.Get(target.HeaderRequestID))
	c.wire.Key = r.Header.Get(target.HeaderKey)
	out := g.run(r.Context(), c)
	if out.status != 0 {
		writeForwardProblem(w, out)
		return
	}
	writeOutcome(w, out)
}

func writeForwardProblem(w http.ResponseWriter, out outcome) {
	w.Header().Set(model.VerdictHeader, out.verdict.String())
	w.Header().Set(headerProblem, out.code)
	w.WriteHeader(out.status)
	_, _ = io.WriteString(w, out.message)
}
