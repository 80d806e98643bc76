package fleet

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"

	"github.com/rs/zerolog"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/daemon/bootclock"
)

// PathAnnounce is the path of announcements. Their body is a ControllerList.
const PathAnnounce = PathPrefix + "announce"

// maxAnnouncementBytes limits the body of an announcement.
const maxAnnouncementBytes = 64 << 10

// AnnounceMembers sends the list of controllers to the seeds that are not among them. Without these
// announcements, relays whose seeds are only other relays could not find the controllers after a power loss
// of all VMs, and nor could an empty controller that is a seed itself. A controller that knows none sends
// nothing.
func (c *Client) AnnounceMembers(ctx context.Context) {
	c.mu.Lock()
	list, seeds := c.newest(), slices.Clone(c.seeds)
	c.mu.Unlock()
	if len(list.Addrs) == 0 {
		return
	}
	for _, addr := range seeds {
		if addr == c.self || slices.Contains(list.Addrs, addr) {
			continue
		}
		if err := c.announceTo(ctx, addr, list); err != nil {
			c.logger.Debug().Err(err).Str("seed", addr).Msg("could not announce the controllers to a seed")
		}
	}
}

func (c *Client) announceTo(ctx context.Context, addr string, list ControllerList) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := model.Encode(list)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+PathAnnounce, bytes.NewReader(body))
	if err != nil {
		return err
	}
	c.setGroupHeader(request.Header) // earlier builds read only the header
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusNoContent {
		err = fmt.Errorf("status %d", response.StatusCode)
	}
	return errors.Join(err, response.Body.Close())
}

// AnnouncementHandler serves announcements of controllers.
func (c *Client) AnnouncementHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Date"] = nil
		sender := r.Header.Get(headerSender)
		var list ControllerList
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
		if err == nil {
			err = model.Decode(body, &list)
		}
		if err != nil {
			c.logger.Warn().Err(err).Str("sender", sender).Msg("could not decode an announcement of controllers")
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		c.offer(list, sender)
		w.WriteHeader(http.StatusNoContent)
	})
}

// LearnMembers returns a handler that stores the list of controllers that controllers send with their
// requests, and then calls next. A controller with an empty disk may not know any other address.
func (c *Client) LearnMembers(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.learn(r.Header, r.Header.Get(headerSender))
		next.ServeHTTP(w, r)
	})
}

// setGroupHeader adds what a controller knows of its group to a request.
func (c *Client) setGroupHeader(h http.Header) {
	if c.group == nil {
		return
	}
	h.Set(headerSender, c.self)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.newest().setHeader(h)
}

// learn takes over the list of controllers in a header that was received from a daemon. Nearly every request
// and response repeats the known list.
func (c *Client) learn(h http.Header, from string) {
	values := headerValuesOf(h)
	if values.members == "" || c.confirm(values) {
		return
	}
	c.offer(values.list(), from)
}

// confirm records that the known list was received again. It reports whether the values are those of that list.
func (c *Client) confirm(values headerValues) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.known.values != values {
		return false
	}
	c.known.confirmed = bootclock.Now()
	return true
}

// offer takes over a list unless a newer one is known.
func (c *Client) offer(l ControllerList, from string) {
	if len(l.Addrs) == 0 || c.confirm(l.headerValues()) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.known.offer(l, from) {
		isMember := c.self != "" && slices.Contains(l.Addrs, c.self)
		c.known.describe(c.logger.Info()).Bool("is_member", isMember).Msg("controllers learned")
	}
}

// describe adds the list and its origin to a line.
func (k *knownControllers) describe(line *zerolog.Event) *zerolog.Event {
	return line.Strs("controllers", k.list.Addrs).Str("group", k.list.Group).
		Uint64("members_index", k.list.Index).Str("from", k.from)
}
