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

// maxAnnouncement bounds the body of an announcement.
const maxAnnouncement = 4 << 20 // bytes

const (
	// announceTimeout bounds an announcement. It is longer than the 1.7 s in which the session
	// of a killed owner ends, and shorter than the 2 s for which targets wait.
	announceTimeout = 1900 * time.Millisecond
	// ownerPoll is the interval at which a held announcement looks for a new owner.
	ownerPoll = 20 * time.Millisecond
)

// announce takes an announcement of any target and passes it to the target's owner.
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
	answer, err := g.announceAnywhere(ctx, a)
	if errors.Is(err, owner.ErrSuperseded) {
		writeProblem(w, http.StatusConflict, model.VerdictNotRun, "superseded", err.Error())
		return
	}
	if err != nil {
		g.recordLeaving(ctx, a)
		writeProblem(w, http.StatusServiceUnavailable, model.VerdictNotRun, "no_owner", err.Error())
		return
	}
	writeJSON(w, http.StatusOK, answer)
}

// recordLeaving commits that a target is leaving although its owner was not reached: the
// owner may be live and hears of it through its session.
func (g *Gateway) recordLeaving(ctx context.Context, a model.Announcement) {
	if a.State != model.TargetLeaving {
		return
	}
	command := state.Command{LeaveTarget: &state.LeaveTarget{Target: a.Target, StartID: a.StartID}}
	if _, err := g.propose(ctx, command); err != nil {
		g.logger.Warn().Err(err).Str("target", string(a.Target)).Msg("leaving of target not committed")
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

// announceAnywhere answers the announcement here or at the owner. If the owner does not answer,
// the announcement is held until the owner's session is over and another gateway has the target:
// the target would otherwise announce itself up to a second after that, and stay unused.
func (g *Gateway) announceAnywhere(ctx context.Context, a model.Announcement) (model.AnnouncementResponse, error) {
	held := false
	for {
		answer, at, err := g.announceOnce(ctx, a)
		if err == nil || errors.Is(err, owner.ErrSuperseded) {
			return answer, err
		}
		dead := unreachable(at, err)
		if !held && !dead {
			return answer, err
		}
		held = true
		if !g.waitForOwner(ctx, at, dead) {
			return answer, err
		}
	}
}

// announceOnce also returns the peer address of the owner that it called, if any.
func (g *Gateway) announceOnce(ctx context.Context, a model.Announcement) (answer model.AnnouncementResponse, at string, err error) {
	answer, err = g.owners.Announce(ctx, a)
	if !errors.Is(err, owner.ErrNotOwner) {
		return answer, "", err
	}
	at, err = g.ownerAddress(ctx, a)
	if err != nil {
		return model.AnnouncementResponse{}, "", err
	}
	answer, err = g.announceAt(ctx, at, a)
	return answer, at, err
}

// unreachable reports whether the owner at the address gave no answer of its own.
func unreachable(at string, err error) bool {
	var answered twirp.Error
	return at != "" && !(errors.As(err, &answered) && answered.Code() == twirp.FailedPrecondition)
}

// waitForOwner waits one interval, and while a dead owner counts as live. It reports false if
// ctx ends first.
func (g *Gateway) waitForOwner(ctx context.Context, at string, dead bool) bool {
	ticker := time.NewTicker(ownerPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
		if !dead || !g.isPeer(at) {
			return true
		}
	}
}

func (g *Gateway) isPeer(address string) bool {
	return slices.ContainsFunc(g.session.Peers(), func(p syncmsg.Peer) bool { return p.PeerAddr == address })
}

// ownerAddress finds the owner's peer address; an unknown target is recorded first.
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

func (g *Gateway) announceAt(ctx context.Context, address string, a model.Announcement) (model.AnnouncementResponse, error) {
	data, err := model.Encode(a)
	if err != nil {
		return model.AnnouncementResponse{}, err
	}
	response, err := rpc.NewOwnerProtobufClient("http://"+address, g.relays).Announce(ctx, &rpc.AnnounceRequest{Announcement: data})
	var refused twirp.Error
	if errors.As(err, &refused) && refused.Code() == twirp.AlreadyExists {
		return model.AnnouncementResponse{}, owner.ErrSuperseded
	}
	if err != nil {
		return model.AnnouncementResponse{}, err
	}
	var answer model.AnnouncementResponse
	return answer, model.Decode(response.Answer, &answer)
}

// OwnerService serves announcements that other gateways pass on.
type OwnerService struct {
	Owners *owner.Table
}

// Announce takes a passed announcement; it is not passed on a second time.
func (s OwnerService) Announce(ctx context.Context, request *rpc.AnnounceRequest) (*rpc.AnnounceResponse, error) {
	var a model.Announcement
	if err := model.Decode(request.Announcement, &a); err != nil {
		return nil, twirp.InvalidArgumentError("announcement", err.Error())
	}
	answer, err := s.Owners.Announce(ctx, a)
	if errors.Is(err, owner.ErrSuperseded) {
		return nil, twirp.AlreadyExists.Error(err.Error())
	}
	if err != nil {
		return nil, twirp.FailedPrecondition.Error(err.Error())
	}
	data, err := model.Encode(answer)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &rpc.AnnounceResponse{Answer: data}, nil
}
