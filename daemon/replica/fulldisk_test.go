package replica

import (
	"errors"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"samphirepaddle.example/core/consensus"
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/daemon/storage"
)

// fullFiles is the file system of the operating system, except that the disk can be full. A
// refused write stores half of its data.
type fullFiles struct {
	storage.OS
	full atomic.Bool
}

type fullFile struct {
	storage.File
	files *fullFiles
}

func (f fullFile) Write(data []byte) (int, error) {
	if !f.files.full.Load() {
		return f.File.Write(data)
	}
	n, err := f.File.Write(data[:len(data)/2])
	return n, errors.Join(err, syscall.ENOSPC)
}

func (f *fullFiles) Append(path string) (storage.File, error) {
	file, err := f.OS.Append(path)
	return fullFile{file, f}, err
}

func (f *fullFiles) Create(path string) (storage.File, error) {
	file, err := f.OS.Create(path)
	return fullFile{file, f}, err
}

// addController starts a further controller with an empty directory, which asks to be added.
func (c *cluster) addController(gateway model.GatewayID, dir string) int {
	c.t.Helper()
	o := c.controllers[0].options
	o.Gateway, o.Addr, o.Dir, o.Seed = gateway, freeAddr(c.t), dir, uint64(len(c.controllers)+1)
	o.JoinOnly = true
	c.controllers = append(c.controllers, &controller{options: o})
	c.start(len(c.controllers) - 1)
	return len(c.controllers) - 1
}

// waitMember waits until the directory of the controller is a committed member, as a learner or not.
func (c *cluster) waitMember(i int, learner bool) {
	c.t.Helper()
	id := c.controllers[i].replica.identity().ID
	c.waitFor("membership of "+string(c.controllers[i].options.Gateway), func() bool {
		status := c.controllers[c.leader()].replica.Status()
		for _, member := range status.Members {
			if member.ID == id {
				return member.Learner == learner && !status.ChangePending
			}
		}
		return false
	})
}

// waitRemoved waits until a committed membership does not have the directory.
func (c *cluster) waitRemoved(id consensus.MemberID) {
	c.t.Helper()
	c.waitFor("the removal of "+string(id), func() bool {
		status := c.controllers[c.leader()].replica.Status()
		member := slices.ContainsFunc(status.Members, func(m MemberStatus) bool { return m.ID == id })
		return !member && !status.ChangePending
	})
}

// replaceFollower adds a spare controller, ends a follower by end, and waits until the spare has its place.
func (c *cluster) replaceFollower(end func(i int)) (old int, id consensus.MemberID) {
	c.t.Helper()
	c.propose(1)
	spare := c.addController("gateway-3", c.t.TempDir())
	c.waitMember(spare, true)
	old = (c.leader() + 1) % 3
	id = c.controllers[old].replica.identity().ID
	end(old)
	c.waitMember(spare, false)
	c.waitRemoved(id)
	return old, id
}

// Guards against a controller that stays out of its group for good because a learner replaced it
// while its disk was full: when two other controllers are lost later, one after the other, the
// group has no quorum although half of the controllers and all of their disks are sound.
func TestControllerReplacedWhileItsDiskWasFullReturns(t *testing.T) {
	c := newCluster(t, 3, func(o *Options) { o.OpenMembership, o.MaxVoters = true, 3 })
	full, _ := c.replaceFollower(c.kill)
	c.start(full)
	c.waitMember(full, true)
	second := c.leader()
	secondID := c.controllers[second].replica.identity().ID
	c.kill(second)
	c.propose(2)
	c.waitMember(full, false)
	c.waitRemoved(secondID)
	c.kill(c.leader())
	c.propose(3)
	c.checkTickets(3)
}

// Guards against a group that acknowledges no changes, or has lost some, after the disks of its
// controllers were full one after another, with restarts on the full disk and snapshots.
func TestDisksFullOneAfterAnother(t *testing.T) {
	disks := map[model.GatewayID]*fullFiles{}
	failed := map[model.GatewayID]chan error{}
	c := newCluster(t, 3, func(o *Options) {
		o.SnapshotBytes, o.KeepBytes = 2<<10, 1
		fatal := make(chan error, 64)
		disks[o.Gateway], failed[o.Gateway] = &fullFiles{}, fatal
		o.FileSystem = disks[o.Gateway]
		o.OnFatal = func(err error) { fatal <- err }
	})
	number := 0
	propose := func() {
		number++
		c.propose(number)
	}
	for range 40 {
		propose()
	}
	const restarts = 2 // on the full disk
	for i := range c.controllers {
		gateway := c.controllers[i].options.Gateway
		disks[gateway].full.Store(true)
		for restart := range restarts + 1 {
			var err error
			c.waitFor("the failed write", func() bool {
				select {
				case err = <-failed[gateway]:
					return true
				default:
					// The proposal makes all controllers write; its outcome does not matter here.
					for _, ctl := range c.controllers {
						_, _ = ctl.replica.Propose(t.Context(), ticket(number))
					}
					return false
				}
			})
			if !errors.Is(err, syscall.ENOSPC) {
				t.Fatalf("fatal error: %v", err)
			}
			c.kill(i)
			for range 20 {
				propose()
			}
			if restart == restarts {
				disks[gateway].full.Store(false)
			}
			for len(failed[gateway]) > 0 {
				<-failed[gateway]
			}
			c.start(i)
		}
		propose()
	}
	c.checkTickets(number)
	c.waitEqualStates()
}

// Guards against a system without a group for good: only the first initial controller may create it,
// its disk is full at that moment, and the platform does not call its restart a first start.
func TestGroupIsCreatedAfterTheDiskOfItsCreatorWasFull(t *testing.T) {
	disk := &fullFiles{}
	fatal := make(chan error, 64)
	c := newCluster(t, 3, func(o *Options) {
		o.OpenMembership, o.MaxVoters = true, 3
		if o.Gateway == "gateway-0" {
			o.FileSystem, o.OnFatal = disk, func(err error) { fatal <- err }
			return
		}
		// gateway-0 has its directory; it waits for the others before it writes the group.
		disk.full.Store(true)
	})
	if err := <-fatal; !errors.Is(err, syscall.ENOSPC) {
		t.Fatalf("fatal error: %v", err)
	}
	c.kill(0)
	disk.full.Store(false)
	c.controllers[0].options.JoinOnly = true
	c.start(0)
	c.propose(1)
	c.checkTickets(1)
}

// Guards against two directories of one VM in the group: the directory that had a vote returns while
// the one that took its place is a member.
func TestReplacedDirectoryStaysOutBesideItsSuccessor(t *testing.T) {
	c := newCluster(t, 3, func(o *Options) { o.OpenMembership, o.MaxVoters = true, 3 })
	c.propose(1)
	spare := c.addController("gateway-3", t.TempDir())
	c.waitMember(spare, true)
	vm := (c.leader() + 1) % 3
	options := &c.controllers[vm].options
	first := options.Dir
	firstID := c.controllers[vm].replica.identity().ID
	c.kill(vm)
	c.waitMember(spare, false)
	c.waitRemoved(firstID)
	second := t.TempDir()
	options.Dir, options.JoinOnly = second, true
	c.start(vm)
	c.waitMember(vm, true)
	c.kill(vm)
	options.Dir = first
	c.start(vm)
	c.propose(2)
	time.Sleep(3 * noLeaderTimeout / 2)
	status := c.controllers[c.leader()].replica.Status()
	if slices.ContainsFunc(status.Members, func(m MemberStatus) bool { return m.ID == firstID }) {
		t.Errorf("the replaced directory is a member beside its successor: %+v", status.Members)
	}
	c.kill(vm)
	options.Dir = second
	c.start(vm)
	c.waitMember(vm, true)
	c.propose(3)
	c.checkTickets(3)
}

// Guards against a system without a group for good because the first initial controller lost its
// directory, or was killed before it had one, before the group existed.
func TestGroupIsCreatedWithoutItsFirstCreator(t *testing.T) {
	c := newCluster(t, 3, func(o *Options) { o.JoinOnly = o.Gateway == "gateway-0" })
	c.propose(1)
	c.checkTickets(1)
}
