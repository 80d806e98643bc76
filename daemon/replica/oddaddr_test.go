package replica

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"samphirepaddle.example/core/consensus"
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/daemon/rpc"
)

// Guards against a controller that stops replicating because another program announces a controller with
// an address or an id that is none.
func TestOddAnnouncementsStopNoReplication(t *testing.T) {
	c := newCluster(t, 3, func(o *Options) { o.OpenMembership, o.MaxVoters = true, 3 })
	c.proposeRange(1, 5)
	for i, addr := range []string{"", " ", "%zz:1", "a:99999", "a:-1", "\x00", "http://a", strings.Repeat("a", 100_000)} {
		id := consensus.MemberID(fmt.Sprintf("odd-%d", i))
		request := discoveryRequest{ID: id, Gateway: model.GatewayID(addr), Addr: addr, NeverVoted: true, Nonce: 1 << 63}
		response := discoveryResponse{ID: id, Gateway: model.GatewayID(addr), Group: addr, Members: consensus.Membership{{ID: id, Addr: addr}}}
		for _, controller := range c.controllers {
			response.Nonce = controller.replica.discovery.nonce
			data, err := model.Encode(batch{From: id, Addr: addr, Request: &request, Response: &response})
			if err != nil {
				t.Fatal(err)
			}
			if _, err := controller.replica.Step(context.Background(), &rpc.StepRequest{Messages: data}); err != nil {
				t.Errorf("%.20q: %v", addr, err)
			}
		}
		c.proposeRange(6+2*i, 7+2*i)
	}
	c.checkTickets(21)
	c.waitEqualStates()
}
