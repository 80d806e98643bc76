package replica

import (
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"samphirepaddle.example/core/consensus"
	"samphirepaddle.example/core/model"
)

// silentFirst is a network on which the first call with entries gets no response, as on a connection that has
// gone silent, while others work.
type silentFirst struct {
	t      *testing.T
	calls  chan struct{}
	second chan struct{} // closed by the second call
}

func (s *silentFirst) RoundTrip(r *http.Request) (*http.Response, error) {
	select {
	case s.calls <- struct{}{}:
		select {
		case <-s.second:
		case <-r.Context().Done():
			s.t.Error("no later message was sent before the silent call timed out")
		}
	default:
		close(s.second)
	}
	return nil, http.ErrHandlerTimeout
}

// Guards against a group that commits nothing for seconds, so that it replaces no lost member before the next
// loss, because all messages to a controller wait for a call on a connection that has gone silent.
func TestMessagesDoNotWaitForASilentCall(t *testing.T) {
	network := &silentFirst{t: t, calls: make(chan struct{}, 1), second: make(chan struct{})}
	r, err := Open(Options{
		Gateway: "a", Addr: "a:1", Dir: t.TempDir(), Client: &http.Client{Transport: network}, Logger: zerolog.Nop(),
		InitialControllers: []Controller{{Gateway: model.GatewayID("a"), Addr: "a:1"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	entries := consensus.Message{Kind: consensus.MsgAppend, To: "b"}
	r.transport.send(entries, "b:1")
	for len(network.calls) == 0 {
		time.Sleep(time.Millisecond)
	}
	r.transport.send(entries, "b:1")
	<-network.second
}
