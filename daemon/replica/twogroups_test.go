package replica

import (
	"errors"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"samphirepaddle.example/core/consensus"
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/daemon/storage"
)

var errCut = errors.New("the link is cut")

// cutTransport fails the calls to the addresses for which cut returns true.
type cutTransport struct {
	cut  func(addr string) bool
	next http.RoundTripper
}

func (f *cutTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if f.cut(r.URL.Host) {
		if r.Body != nil {
			_ = r.Body.Close()
		}
		return nil, errCut
	}
	return f.next.RoundTrip(r)
}

// createFiles calls onCreate when the directory begins to store a group.
type createFiles struct {
	storage.OS
	onCreate func()
}

func (f *createFiles) Create(path string) (storage.File, error) {
	if strings.Contains(path, "term-and-vote") {
		f.onCreate()
	}
	return f.OS.Create(path)
}

// Guards against a second group that loses what the first one has acknowledged: its creator lost its disk while
// another initial controller was cut off.
func TestNoSecondGroupAfterTheFirstOneHadAQuorum(t *testing.T) {
	var links [3][3]atomic.Bool // whether calls from one controller to another fail
	setCut := func(a, b int, cut bool) {
		links[a][b].Store(cut)
		links[b][a].Store(cut)
	}
	c := newCluster(t, 3, func(o *Options) {
		var self int
		addrs := map[string]int{}
		for i, initial := range o.InitialControllers {
			addrs[initial.Addr] = i
			if initial.Gateway == o.Gateway {
				self = i
			}
		}
		o.Client = &http.Client{Transport: &cutTransport{
			func(addr string) bool { to, ok := addrs[addr]; return ok && links[self][to].Load() }, newClient().Transport,
		}}
		if self == 0 {
			o.FileSystem = &createFiles{onCreate: func() { setCut(0, 1, true); setCut(1, 2, true) }}
		}
	})
	c.waitFor("a group", func() bool { return c.controllers[0].replica.identity().Group != "" })
	c.propose(1)
	first := c.controllers[0].replica.identity().Group
	c.kill(0)
	c.removeData(0)
	c.controllers[0].options.JoinOnly, c.controllers[0].options.FileSystem = true, nil
	links[0][2].Store(true)
	links[2][0].Store(true)
	setCut(0, 1, false)
	c.start(0)
	newDirectory := c.controllers[0].replica.identity().ID
	c.waitFor("gateway-1 learns of the new directory", func() bool {
		return c.controllers[1].replica.knowsDirectory("gateway-0", newDirectory) || c.controllers[1].replica.identity().Group != ""
	})
	setCut(1, 2, false)
	setCut(0, 2, false)
	c.waitFor("gateway-1 has a group", func() bool { return c.controllers[1].replica.identity().Group != "" })
	if got := c.controllers[1].replica.identity().Group; got != first {
		t.Errorf("gateway-1 is in group %s beside %s, which has acknowledged a change", got, first)
	}
}

// knowsDirectory reports whether the directory has responded without a group.
func (r *Replica) knowsDirectory(gateway model.GatewayID, id consensus.MemberID) bool {
	known := make(chan bool, 1)
	return r.post(func() { known <- r.discovery.directories[gateway] == id }) && <-known
}
