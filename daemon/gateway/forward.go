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
	headerProblem = "Samphire-Problem"    // code of a problem that the peer itself answered
	headerFree    = "Samphire-Free-Quick" // the peer's free slots of the pool after the call
)

// Bounds towards peers.
const (
	peerDialTimeout = 500 * time.Millisecond
	peerIdleTimeout = 30 * time.Second
	connsPerPeer    = 64
	maxPeerAnswer   = 9 << 20 // bytes; a target's answer is at most 8 MiB
	// forwardGrace is how long after the deadline the peer's own verdict is waited for.
	forwardGrace = 50 * time.Millisecond
)

func newPeerClient(dialer *net.Dialer) *http.Client {
	return &http.Client{Transport: once.NewTransport(dialer, peerIdleTimeout, connsPerPeer)}
}

// newRelayClient bounds the time to the status line, because a stream has no deadline.
func newRelayClient(dialer *net.Dialer) *http.Client {
	transport := once.NewTransport(dialer, peerIdleTimeout, connsPerPeer)
	transport.ResponseHeaderTimeout = target.OutputHeaderTimeout + peerDialTimeout
	return &http.Client{Transport: transport}
}

// maxRefusals bounds the peers that one call is offered to before it waits here.
const maxRefusals = 3

// forward offers the call to peers until one takes it. done is false if all refused it for
// their own state, so that the call may wait here. A refused call ran nowhere, and waiting
// for news of a peer's room takes up to the recheck interval.
func (g *Gateway) forward(ctx context.Context, c *call) (out outcome, done bool) {
	for range maxRefusals {
		out, done = g.offer(ctx, c)
		if done || out.status == 0 {
			return out, done
		}
	}
	return out, false
}

// offer passes the call to the peer with more free slots of two chosen at random. The outcome
// is empty if no peer is believed to have room.
func (g *Gateway) offer(ctx context.Context, c *call) (out outcome, done bool) {
	peer, ok := g.peers.choose(g.session.Peers(), c.service.Pool)
	if !ok {
		return outcome{}, false
	}
	g.metrics.forwarded.Inc(1)
	out = g.forwardTo(ctx, peer, c)
	if out.verdict == model.VerdictNotRun && !out.elsewhere {
		g.peers.refused(peer.ID, c.service.Pool)
		return out, false
	}
	return out, true
}

func (g *Gateway) forwardTo(ctx context.Context, peer syncmsg.Peer, c *call) outcome {
	ctx, cancel := context.WithDeadline(ctx, c.wire.Deadline.Add(forwardGrace))
	defer cancel()
	url := "http://" + peer.PeerAddr + "/forward/" + string(c.service.ID) + c.wire.Path
	request, err := once.NewRequest(ctx, c.wire.Method, url, c.wire.Body, g.session.Valid)
	if err != nil {
		return failed(model.VerdictNotRun, http.StatusBadRequest, "bad_request", "%v", err)
	}
	c.setForwardHeaders(request.Header())
	response, sent, err := request.Do(g.forwards)
	if err != nil && !sent {
		g.peers.failed(peer.ID)
		return failed(model.VerdictNotRun, http.StatusServiceUnavailable, "peer_failed", "forward to %s: %v", peer.ID, err)
	}
	if err != nil {
		g.peers.failed(peer.ID)
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
	out := failed(model.VerdictUnknown, http.StatusBadGateway, "peer_failed", "forward to %s: %v", peer.ID, err)
	out.elsewhere = true
	return out
}

func (c *call) setForwardHeaders(header http.Header) {
	target.CopyHeaders(header, c.wire.Header)
	header.Set(headerTenant, string(c.tenant))
	header.Set(target.HeaderRequestID, string(c.wire.ID))
	header.Set(headerIdempotent, strconv.FormatBool(c.idempotent))
	header.Set(headerDeadline, strconv.FormatInt(max(1, time.Until(c.wire.Deadline).Milliseconds()), 10))
	if c.wire.Key != "" {
		header.Set(target.HeaderKey, c.wire.Key)
	}
}

func (g *Gateway) readForwarded(response *http.Response, peer syncmsg.Peer, c *call) outcome {
	body, err := once.ReadAll(response, maxPeerAnswer)
	if err != nil {
		return peerFailure(peer, err)
	}
	if got := response.Header.Get(target.HeaderRequestID); got != string(c.wire.ID) {
		return peerFailure(peer, errCrossed)
	}
	verdict, err := model.ParseVerdict(response.Header.Get(model.VerdictHeader))
	if err != nil {
		return peerFailure(peer, err)
	}
	g.peers.learn(peer.ID, c.service.Pool, response.Header.Get(headerFree))
	if code := response.Header.Get(headerProblem); code != "" {
		out := failed(verdict, response.StatusCode, code, "%s", body)
		out.elsewhere = response.Header.Get(headerElsewhere) == "true"
		return out
	}
	return outcome{verdict: verdict, answer: target.Answer{Status: response.StatusCode, Header: response.Header, Body: body}}
}

// serveForward runs a call of another gateway at an own target; it is not forwarded again.
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
	c.wire.ID = c.id
	c.wire.Key = r.Header.Get(target.HeaderKey)
	out := g.route(r.Context(), c)
	w.Header().Set(target.HeaderRequestID, string(c.id))
	w.Header().Set(headerFree, strconv.Itoa(int(g.owners.FreeQuickSlots(c.service.Pool))))
	if out.status != 0 {
		writeForwardProblem(w, out)
		return
	}
	writeOutcome(w, out)
}

// headerElsewhere says that the call may be tried at another target.
const headerElsewhere = "Samphire-Elsewhere"

func writeForwardProblem(w http.ResponseWriter, out outcome) {
	beginAnswer(w)
	w.Header().Set(model.VerdictHeader, out.verdict.String())
	w.Header().Set(headerProblem, out.code)
	if out.elsewhere {
		w.Header().Set(headerElsewhere, "true")
	}
	w.WriteHeader(out.status)
	_, _ = io.WriteString(w, out.message)
}
