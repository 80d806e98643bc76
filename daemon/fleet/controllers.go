package fleet

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"samphirepaddle.example/daemon/bootclock"
)

// Headers that carry a list of controllers.
const (
	headerMembers    = "Samphire-Members"    // addresses of the controllers, separated by commas
	headerMembership = "Samphire-Membership" // group and index of the list; see ControllerList
	headerSender     = "Samphire-Sender"     // address of the controller that sends a request
)

// confirmationTimeout is how long after its last confirmation a list yields to an older one, for example after
// the group was restored from a backup, or to one without a version, which earlier builds send.
const confirmationTimeout = 10 * time.Second

// ControllerList names the controllers of a group. Lists of one group are ordered by Index: a controller that
// was removed, or cut off for a while, goes on to name the members that it knew. Only committed memberships
// have an order, so that a deposed leader's last change, which the group has dropped, is in no list.
type ControllerList struct {
	Group string   `cbor:"1,keyasint"` // empty in lists of earlier builds, which have no version
	Index uint64   `cbor:"2,keyasint"` // of the log entry with the committed membership; 0 if none is known
	Addrs []string `cbor:"3,keyasint"`
}

// Newer returns the newer of two lists. An empty list is older than any other; of lists that have no order
// it returns l.
func (l ControllerList) Newer(other ControllerList) ControllerList {
	if len(other.Addrs) > 0 && (len(l.Addrs) == 0 || l.isOlderThan(other)) {
		return other
	}
	return l
}

func (l ControllerList) isOlderThan(other ControllerList) bool {
	return l.Group == other.Group && l.Index < other.Index
}

// headerValues are the values of the headers that carry a list.
type headerValues struct{ members, membership string }

func headerValuesOf(h http.Header) headerValues {
	return headerValues{h.Get(headerMembers), h.Get(headerMembership)}
}

func (l ControllerList) headerValues() headerValues {
	v := headerValues{members: strings.Join(l.Addrs, ",")}
	if l.Group != "" {
		v.membership = fmt.Sprintf("%s %d", l.Group, l.Index)
	}
	return v
}

// setHeader adds the list to a request or response.
func (l ControllerList) setHeader(h http.Header) {
	v := l.headerValues()
	h.Set(headerMembers, v.members)
	if v.membership != "" {
		h.Set(headerMembership, v.membership)
	}
}

// list returns the list that the values carry. One whose version cannot be read has none.
func (v headerValues) list() ControllerList {
	var l ControllerList
	if _, err := fmt.Sscanf(v.membership, "%s %d", &l.Group, &l.Index); err != nil {
		l = ControllerList{}
	}
	if v.members != "" {
		l.Addrs = strings.Split(v.members, ",")
	}
	return l
}

// usable returns the list with the addresses that can be called, at most maxMembers.
func (l ControllerList) usable() ControllerList {
	l.Addrs = callableAddrs(l.Addrs)
	if len(l.Addrs) > maxMembers {
		l.Addrs = l.Addrs[:maxMembers]
	}
	return l
}

// knownControllers is the newest list that a daemon has received.
type knownControllers struct {
	list      ControllerList
	values    headerValues   // with which the list was received
	from      string         // address of the daemon that sent it first
	confirmed bootclock.Time // when the list was received last
}

// offer takes over a list that was received from a daemon unless it is older. It reports whether the known list
// has changed.
func (k *knownControllers) offer(l ControllerList, from string) bool {
	if l.Index > 0 && l.Group == k.list.Group && l.Index == k.list.Index {
		k.confirmed = bootclock.Now() // perhaps with fewer addresses; see usable
		return false
	}
	older := l.isOlderThan(k.list) || (l.Group == "" && k.list.Group != "")
	if older && bootclock.Since(k.confirmed) < confirmationTimeout {
		return false
	}
	k.list, k.values, k.from, k.confirmed = l.usable(), l.headerValues(), from, bootclock.Now()
	return true
}
