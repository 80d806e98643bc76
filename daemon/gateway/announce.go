package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/daemon/owner"
	"samphirepaddle.example/daemon/rpc"
)

// maxAnnouncement bounds the body of an announcement.
const maxAnnouncement = 4 << 20 // bytes

// announceTimeout bounds an announcement; the target announces again about once a second.
const announceTimeout = 2 * time.Second

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

func (g *Gateway) announceAnywhere(ctx context.Context, a model.Announcement) (model.AnnouncementAnswer, error) {
	answer, err := g.owners.Announce(ctx, a)
	if !errors.Is(err, owner.ErrNotOwner) {
		return answer, err
	}
	address, err := g.ownerAddress(ctx, a)
	if err != nil {
		return model.AnnouncementAnswer{}, err
	}
	return g.announceAt(ctx, address, a)
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
	if _, err := g.propose(ctx, state.Command{JoinTarget: owner.JoinCommand(a)}); err != nil {
		return "", err
	}
	return "", errors.New("an owner is being assigned; announce again")
}

func (g *Gateway) announceAt(ctx context.Context, address string, a model.Announcement) (model.AnnouncementAnswer, error) {
	data, err := model.Encode(a)
	if err != nil {
		return model.AnnouncementAnswer{}, err
	}
	response, err := rpc.NewOwnerProtobufClient("http://"+address, g.relays).Announce(ctx, &rpc.AnnounceRequest{Announcement: data})
	var refused twirp.Error
	if errors.As(err, &refused) && refused.Code() == twirp.AlreadyExists {
		return model.AnnouncementAnswer{}, owner.ErrSuperseded
	}
	if err != nil {
		return model.AnnouncementAnswer{}, err
	}
	var answer model.AnnouncementAnswer
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
