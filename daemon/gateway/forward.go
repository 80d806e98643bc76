package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/syncmsg"
	"samphirepaddle.example/daemon/once"
	"samphirepaddle.example/daemon/target"
)

// Headers between gateways.
const (
	headerProblem   = "Samphire-Problem"    // error code, if the peer returns an error instead of the response of a target
	headerFreeQuick = "Samphire-Free-Quick" // the peer's free slots for quick requests in the pool after the call
)

// Timeouts and limits of requests to peers.
const (
	peerDialTimeout = 500 * time.Millisecond
	peerIdleTimeout = 30 * time.Second
	connsPerPeer    = 64
	maxPeerResponse = 9 << 20 // bytes; a target's response is at most 8 MiB
	// forwardGrace is how long beyond the deadline a forwarded call waits for the peer's verdict.
	forwardGrace = 50 * time.Millisecond
)

func newForwardClient(dialer *net.Dialer) *http.Client {
	return &http.Client{Transport: once.NewTransport(dialer, peerIdleTimeout, connsPerPeer)}
}

// newRelayClient limits only the time until the response headers, because a stream has no
// deadline.
func newRelayClient(dialer *net.Dialer) *http.Client {
	transport := once.NewTransport(dialer, peerIdleTimeout, connsPerPeer)
	transport.ResponseHeaderTimeout = target.OutputHeaderTimeout + peerDialTimeout
	return &http.Client{Transport: transport}
}

// maxForwards is the maximum number of attempts to forward a call before it waits at this gateway.
const maxForwards = 3

// forward tries peers until one accepts the call. If none does, the call has not run and done is
// false; the call may then wait at this gateway. Trying further peers at once is better than
// waiting, because a waiting call may learn of a peer's free capacity only after recheckInterval.
func (g *Gateway) forward(ctx context.Context, c *call) (out outcome, done bool) {
	for range maxForwards {
		out, done = g.forwardOnce(ctx, c)
		if done || out.status == 0 {
			return out, done
		}
	}
	return out, false
}

// forwardOnce forwards the call to the peer with more free slots out of two chosen at random. done
// is false if the peer could not be reached or refused the call, and if no peer is known to have a
// free slot; in the latter case the outcome is empty.
func (g *Gateway) forwardOnce(ctx context.Context, c *call) (out outcome, done bool) {
	peer, ok := g.peers.choose(g.session.Peers(), c.service.Pool)
	if !ok {
		return outcome{}, false
	}
	g.metrics.forwarded.Inc(1)
	out = g.forwardTo(ctx, peer, c)
	if out.verdict == model.VerdictNotRun && !out.retryElsewhere {
		g.peers.markFull(peer.ID, c.service.Pool)
		return out, false
	}
	return out, true
}

func (g *Gateway) forwardTo(ctx context.Context, peer syncmsg.Peer, c *call) outcome {
	ctx, cancel := context.WithDeadline(ctx, c.targetCall.Deadline.Add(forwardGrace))
	defer cancel()
	url := "http://" + peer.PeerAddr + "/forward/" + string(c.service.ID) + c.targetCall.Path
	request, err := once.NewRequest(ctx, c.targetCall.Method, url, c.targetCall.Body, g.session.Valid)
	if err != nil {
		return newFailure(model.VerdictNotRun, http.StatusBadRequest, "bad_request", "%v", err)
	}
	c.setForwardHeaders(request.Header())
	response, sent, err := request.Do(g.forwardClient)
	if err != nil && !sent {
		g.peers.markFailed(peer.ID)
		return newFailure(model.VerdictNotRun, http.StatusServiceUnavailable, "peer_failed", "forward to %s: %v", peer.ID, err)
	}
	if err != nil {
		g.peers.markFailed(peer.ID)
		return peerFailure(peer, err)
	}
	defer response.Body.Close()
	out := g.readForwarded(response, peer, c)
	if out.code == "peer_failed" {
		request.CloseConnection()
	}
	return out
}

func peerFailure(peer syncmsg.Peer, err error) outcome {
	out := newFailure(model.VerdictUnknown, http.StatusBadGateway, "peer_failed", "forward to %s: %v", peer.ID, err)
	out.retryElsewhere = true
	return out
}

func (c *call) setForwardHeaders(header http.Header) {
	target.CopyHeaders(header, c.targetCall.Header)
	header.Set(headerTenant, string(c.tenant))
	header.Set(target.HeaderRequestID, string(c.targetCall.ID))
	header.Set(headerIdempotent, strconv.FormatBool(c.idempotent))
	header.Set(headerDeadline, strconv.FormatInt(max(1, time.Until(c.targetCall.Deadline).Milliseconds()), 10))
	if c.targetCall.IdempotencyKey != "" {
		header.Set(target.HeaderIdempotencyKey, c.targetCall.IdempotencyKey)
	}
}

func (g *Gateway) readForwarded(response *http.Response, peer syncmsg.Peer, c *call) outcome {
	body, err := once.ReadAll(response, maxPeerResponse)
	if err != nil {
		return peerFailure(peer, err)
	}
	if got := response.Header.Get(target.HeaderRequestID); got != string(c.targetCall.ID) {
		return peerFailure(peer, errWrongRequestID)
	}
	verdict, err := model.ParseVerdict(response.Header.Get(model.VerdictHeader))
	if err != nil {
		return peerFailure(peer, err)
	}
	g.peers.correct(peer.ID, c.service.Pool, response.Header.Get(headerFreeQuick))
	if code := response.Header.Get(headerProblem); code != "" {
		out := newFailure(verdict, response.StatusCode, code, "%s", body)
		out.retryElsewhere = response.Header.Get(headerElsewhere) == "true"
		return out
	}
	return outcome{verdict: verdict, response: target.Response{Status: response.StatusCode, Header: response.Header, Body: body}}
}

// serveForward runs a call of another gateway on a target that this gateway owns. The call is not
// forwarded again.
func (g *Gateway) serveForward(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	c, problem := g.readCall(r)
	if problem != nil {
		w.Header().Set(target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
		writeForwardProblem(w, *problem)
		return
	}
	c.forwarded = true
	c.id = model.RequestID(r.Header.Get(target.HeaderRequestID))
	c.targetCall.ID = c.id
	c.targetCall.IdempotencyKey = r.Header.Get(target.HeaderIdempotencyKey)
	out := g.route(r.Context(), c)
	w.Header().Set(target.HeaderRequestID, string(c.id))
	w.Header().Set(headerFreeQuick, strconv.Itoa(int(g.owners.FreeQuickSlots(c.service.Pool))))
	if out.status != 0 {
		writeForwardProblem(w, out)
		return
	}
	writeOutcome(w, out)
}

// headerElsewhere tells the forwarding gateway that the call may be retried on another target.
const headerElsewhere = "Samphire-Elsewhere"

func writeForwardProblem(w http.ResponseWriter, out outcome) {
	startWriteTimeout(w)
	w.Header().Set(model.VerdictHeader, out.verdict.String())
	w.Header().Set(headerProblem, out.code)
	if out.retryElsewhere {
		w.Header().Set(headerElsewhere, "true")
	}
	w.WriteHeader(out.status)
	_, _ = io.WriteString(w, out.message)
}
