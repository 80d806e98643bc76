package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/twitchtv/twirp"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/syncmsg"
	"samphirepaddle.example/daemon/owner"
	"samphirepaddle.example/daemon/rpc"
)

// maxAnnouncement is the largest accepted body of an announcement.
const maxAnnouncement = 4 << 20 // bytes

const (
	// announceTimeout limits the handling of an announcement. It is longer than the 1.7 s after
	// which the session of a killed owner expires, and shorter than the 2 s for which targets
	// wait for the response.
	announceTimeout = 1900 * time.Millisecond
	// ownerPollInterval is the interval at which a held announcement checks for a new owner.
	ownerPollInterval = 20 * time.Millisecond
)

// announce accepts an announcement from any target and passes it to the target's owner.
func (g *Gateway) announce(w http.ResponseWriter, r *http.Request) {
	var a model.Announcement
	if err := decodeJSON(r, maxAnnouncement, &a); err != nil {
		writeProblem(w, http.StatusBadRequest, model.VerdictNotRun, "bad_body", err.Error())
		return
	}
	if err := checkAnnouncement(a); err != nil {
		writeProblem(w, http.StatusBadRequest, model.VerdictNotRun, "bad_announcement", err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), announceTimeout)
	defer cancel()
	response, err := g.announceToOwner(ctx, a)
	if errors.Is(err, owner.ErrSuperseded) {
		writeProblem(w, http.StatusConflict, model.VerdictNotRun, "superseded", err.Error())
		return
	}
	if err != nil {
		g.recordLeaving(ctx, a)
		writeProblem(w, http.StatusServiceUnavailable, model.VerdictNotRun, "no_owner", err.Error())
		return
	}
	writeJSON(w, http.StatusOK, response)
}

// recordLeaving commits that a target is leaving when its owner could not be reached. The owner
// may still be live; it then learns of the departure through its session.
func (g *Gateway) recordLeaving(ctx context.Context, a model.Announcement) {
	if a.State != model.TargetLeaving {
		return
	}
	command := state.Command{LeaveTarget: &state.LeaveTarget{Target: a.Target, StartID: a.StartID}}
	if _, err := g.propose(ctx, command); err != nil {
		g.logger.Warn().Err(err).Str("target", string(a.Target)).Msg("failed to commit that the target is leaving")
	}
}

func checkAnnouncement(a model.Announcement) error {
	if err := model.CheckIdentifier("target", string(a.Target)); err != nil {
		return err
	}
	if a.StartID == "" || a.Address == "" || a.Sequence == 0 {
		return errors.New("start_id, address and a sequence of at least 1 are required")
	}
	if a.State != model.TargetReady && a.State != model.TargetLeaving {
		return errors.New("state is none of ready, leaving")
	}
	return nil
}

// announceToOwner handles the announcement if this gateway owns the target, else forwards it. If
// the owner does not respond, the announcement is held until the owner's session has expired and
// another gateway owns the target. Otherwise the target would announce itself to its new owner up
// to a second later, and stay unused until then.
func (g *Gateway) announceToOwner(ctx context.Context, a model.Announcement) (model.AnnouncementResponse, error) {
	held := false
	for {
		response, ownerAddr, err := g.tryAnnounce(ctx, a)
		if err == nil || errors.Is(err, owner.ErrSuperseded) {
			return response, err
		}
		unreachable := ownerUnreachable(ownerAddr, err)
		if !held && !unreachable {
			return response, err
		}
		held = true
		if !g.waitForOwner(ctx, ownerAddr, unreachable) {
			return response, err
		}
	}
}

// tryAnnounce makes one attempt to handle or forward the announcement. It also returns the peer
// address of the owner that it called, if any.
func (g *Gateway) tryAnnounce(ctx context.Context, a model.Announcement) (response model.AnnouncementResponse, ownerAddr string, err error) {
	response, err = g.owners.Announce(ctx, a)
	if !errors.Is(err, owner.ErrNotOwner) {
		return response, "", err
	}
	ownerAddr, err = g.ownerAddress(ctx, a)
	if err != nil {
		return model.AnnouncementResponse{}, "", err
	}
	response, err = g.forwardAnnouncement(ctx, ownerAddr, a)
	return response, ownerAddr, err
}

// ownerUnreachable reports whether the owner at ownerAddr was called and failed without refusing the
// announcement. An empty ownerAddr means that no owner was called.
func ownerUnreachable(ownerAddr string, err error) bool {
	var refused twirp.Error
	return ownerAddr != "" && !(errors.As(err, &refused) && refused.Code() == twirp.FailedPrecondition)
}

// waitForOwner waits until another attempt is worthwhile: for one poll interval and, if the owner
// is unreachable, until it is no longer listed as a live peer. It returns false if ctx ends
// first.
func (g *Gateway) waitForOwner(ctx context.Context, ownerAddr string, unreachable bool) bool {
	ticker := time.NewTicker(ownerPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
		if !unreachable || !g.isLivePeer(ownerAddr) {
			return true
		}
	}
}

func (g *Gateway) isLivePeer(address string) bool {
	return slices.ContainsFunc(g.session.Peers(), func(p syncmsg.Peer) bool { return p.PeerAddr == address })
}

// ownerAddress returns the peer address of the target's owner. For a target without an owner it
// proposes JoinTarget and returns an error.
func (g *Gateway) ownerAddress(ctx context.Context, a model.Announcement) (string, error) {
	body, err := g.control.Read(ctx, "owner", a.Target)
	if err != nil {
		return "", err
	}
	if address := string(body); address != "" {
		return address, nil
	}
	if _, err := g.propose(ctx, state.Command{JoinTarget: owner.NewJoinTarget(a)}); err != nil {
		return "", err
	}
	return "", errors.New("an owner is being assigned; announce again")
}

func (g *Gateway) forwardAnnouncement(ctx context.Context, address string, a model.Announcement) (model.AnnouncementResponse, error) {
	data, err := model.Encode(a)
	if err != nil {
		return model.AnnouncementResponse{}, err
	}
	reply, err := rpc.NewOwnerProtobufClient("http://"+address, g.relayClient).Announce(ctx, &rpc.AnnounceRequest{Announcement: data})
	var refused twirp.Error
	if errors.As(err, &refused) && refused.Code() == twirp.AlreadyExists {
		return model.AnnouncementResponse{}, owner.ErrSuperseded
	}
	if err != nil {
		return model.AnnouncementResponse{}, err
	}
	var response model.AnnouncementResponse
	return response, model.Decode(reply.Answer, &response)
}

// OwnerService serves announcements that other gateways forward.
type OwnerService struct {
	Owners *owner.Table
}

// Announce handles a forwarded announcement; it is not forwarded again.
func (s OwnerService) Announce(ctx context.Context, request *rpc.AnnounceRequest) (*rpc.AnnounceResponse, error) {
	var a model.Announcement
	if err := model.Decode(request.Announcement, &a); err != nil {
		return nil, twirp.InvalidArgumentError("announcement", err.Error())
	}
	response, err := s.Owners.Announce(ctx, a)
	if errors.Is(err, owner.ErrSuperseded) {
		return nil, twirp.AlreadyExists.Error(err.Error())
	}
	if err != nil {
		return nil, twirp.FailedPrecondition.Error(err.Error())
	}
	data, err := model.Encode(response)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &rpc.AnnounceResponse{Answer: data}, nil
}
