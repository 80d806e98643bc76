package fleet

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"samphirepaddle.example/core/model"
)

// Guards against a daemon that never reaches the leader, because one entry among the addresses that
// others name is no address.
func TestOddAddressHidesNoController(t *testing.T) {
	leader := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		data, err := model.Encode(struct{}{})
		if err != nil {
			t.Error(err)
		}
		_, _ = w.Write(data)
	}))
	defer leader.Close()
	good := leader.Listener.Addr().String()
	for _, odd := range []string{"", " ", "a b:1", "%zz:1", "a:99999", "a:0", "a:-1", "a:1/path", "user@a:1", "[::1:5"} {
		for name, use := range map[string]func(*Client){
			"seed":       func(c *Client) { c.SetSeeds([]string{odd, good}) },
			"controller": func(c *Client) { c.offer(ControllerList{Addrs: []string{odd, good}}, "") },
			"leader":     func(c *Client) { c.recordFailure("", odd); c.SetSeeds([]string{good}) },
		} {
			c := NewClient(nil, http.DefaultTransport, zerolog.Nop())
			use(c)
			if name == "controller" && !slices.Equal(c.MemberAddrs(), []string{good}) {
				t.Errorf("%q: the controllers are %v", odd, c.MemberAddrs())
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			for ctx.Err() == nil && c.Ping(ctx) != nil {
				time.Sleep(retryDelay)
			}
			if ctx.Err() != nil {
				t.Errorf("%q as %s: the leader is not reached within a second", odd, name)
			}
			cancel()
		}
	}
}
