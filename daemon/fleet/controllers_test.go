package fleet

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"samphirepaddle.example/daemon/bootclock"
)

// Guards against a daemon that asks controllers of the past for the leader, because one that was removed or
// cut off has sent its list last.
func TestOlderListOfControllersDoesNotReplaceANewerOne(t *testing.T) {
	known := ControllerList{Group: "g", Index: 90, Addrs: []string{"new:1"}}
	for name, test := range map[string]struct {
		list ControllerList
		age  bootclock.Time // of the last confirmation of the known list
		want bool           // the list is taken over
	}{
		"lower index":                   {list: ControllerList{Group: "g", Index: 80}},
		"higher index":                  {list: ControllerList{Group: "g", Index: 91}, want: true},
		"nothing committed":             {list: ControllerList{Group: "g"}},
		"same index, fewer addresses":   {list: ControllerList{Group: "g", Index: 90}},
		"another group":                 {list: ControllerList{Group: "h", Index: 1}, want: true},
		"no version":                    {list: ControllerList{}},
		"no version, long unconfirmed":  {list: ControllerList{}, age: bootclock.Time(2 * confirmationTimeout), want: true},
		"lower index, long unconfirmed": {list: ControllerList{Group: "g", Index: 80}, age: bootclock.Time(2 * confirmationTimeout), want: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := NewClient(nil, http.DefaultTransport, zerolog.Nop())
			received := func(l ControllerList) {
				h := http.Header{}
				l.setHeader(h)
				c.learn(h, "sender:1")
			}
			received(known)
			c.known.confirmed -= test.age
			test.list.Addrs = []string{"old:1"}
			received(test.list)
			want := known.Addrs
			if test.want {
				want = test.list.Addrs
			}
			if got := c.MemberAddrs(); !slices.Equal(got, want) {
				t.Errorf("the controllers are %v, want %v", got, want)
			}
		})
	}
}

// Guards against a version that cannot be read and hides the addresses beside it.
func TestListWithOddVersionNamesItsControllers(t *testing.T) {
	for _, version := range []string{"", "g", "g x", "g -1", "  ", strings.Repeat("9", 99)} {
		got := headerValues{members: "a:1,b:2", membership: version}.list()
		if !slices.Equal(got.Addrs, []string{"a:1", "b:2"}) || got.Group != "" || got.Index != 0 {
			t.Errorf("version %q gives %+v", version, got)
		}
	}
}

// Guards against warnings on healthy starts, which hide who named which controllers.
func TestAnnouncementIsLoggedWithItsSenderAndVersion(t *testing.T) {
	r := newRig(t)
	var log bytes.Buffer
	logger := zerolog.New(&log)
	receiver := NewControllerClient("receiver:1", nil, http.DefaultTransport, func() ControllerList { return ControllerList{} }, logger)
	mux := http.NewServeMux()
	mux.Handle("POST "+PathAnnounce, receiver.AnnouncementHandler())
	mux.Handle(PathPrefix, receiver.LearnMembers(Handler(r.engine, emptyDirectory{}, logger)))
	server := httptest.NewServer(mux)
	defer server.Close()
	list := ControllerList{Group: "g", Index: 7, Addrs: []string{"sender:1", "other:1"}}
	sender := NewControllerClient("sender:1", []string{server.Listener.Addr().String()}, &http.Transport{}, func() ControllerList { return list }, zerolog.Nop())
	for range 3 {
		sender.AnnounceMembers(context.Background())
	}
	earlier, err := http.Post(server.URL+PathPrefix+opPing, "", http.NoBody) // as builds before announcements had an operation
	if err != nil {
		t.Fatal(err)
	}
	earlier.Body.Close()
	got := log.String()
	if strings.Count(got, "\n") != 1 || !strings.Contains(got, `"group":"g","members_index":7,"from":"sender:1","is_member":false`) {
		t.Errorf("the log is not the line of the sender and its list:\n%s", got)
	}
	if !slices.Equal(receiver.MemberAddrs(), list.Addrs) {
		t.Errorf("the receiver knows %v", receiver.MemberAddrs())
	}
}
