package replica

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/daemon/storage"
)

// Controller is one of the initial controllers.
type Controller struct {
	Gateway model.GatewayID
	Addr    string // host:port of its peer interface
}

// Options are the settings of a Replica.
type Options struct {
	Gateway            model.GatewayID
	Addr               string       // own peer address, host:port
	InitialControllers []Controller // the same on every controller
	Dir                string       // data directory

	// KnownControllers returns addresses at which controllers of the group may be, in addition to the
	// initial ones and the members in the log. It may be nil. It is called in the event loop.
	KnownControllers func() []string

	FileSystem storage.FileSystem // that of the operating system if nil
	Client     *http.Client       // for calls to the other controllers; a default client if nil
	Logger     zerolog.Logger     // zero value logs nothing
	OnFatal    func(error)        // called after a failed write or sync; if nil, the process exits
	Seed       uint64             // of the election timeouts; random if zero

	// JoinOnly prevents a controller with an empty directory from creating a group: it waits
	// until it is added to the existing one. It does not apply to a directory that was created
	// without JoinOnly and with the same InitialControllers, and has no group yet.
	JoinOnly bool
	// SeedsFound has a majority of InitialControllers, the seeds, decide which group is created, instead of all of them.
	// Any controller may propose it, and seeds may be daemons without a disk that run a Witness. JoinOnly must then be
	// false only for processes of the first start of the whole system: a process that starts later may have forgotten
	// its vote.
	SeedsFound bool
	// OpenMembership lets the leader add any controller with an empty directory that asks for it,
	// and with MaxVoters also a voter that was replaced while it was silent.
	// Otherwise it adds only the initial controllers and members that lost their disk.
	OpenMembership bool
	// MaxVoters is the maximum number of voters; 0 is unlimited. Further controllers stay
	// learners until a voter no longer responds.
	MaxVoters int

	Tick           time.Duration // DefaultTick if zero
	HeartbeatTicks int           // DefaultHeartbeatTicks if zero
	ElectionTicks  int           // DefaultElectionTicks if zero

	// SnapshotBytes is the size of the entries logged since the last snapshot at which the next
	// one is taken. If the last snapshot is larger than that, its size is the threshold, so that
	// snapshots write at most as many bytes as the log.
	SnapshotBytes int // DefaultSnapshotBytes if zero
	// KeepBytes is the size of the entries that are kept before a snapshot, for members that are
	// slightly behind.
	KeepBytes int // DefaultKeepBytes if zero
}

// Defaults of Options. They give a heartbeat of 50 ms and election timeouts of 300 to 600 ms.
// In BenchmarkIdle an idle replica took 1.7% of a core with a tick of 10 ms, 1.4% with 25 ms.
const (
	DefaultTick           = 25 * time.Millisecond
	DefaultHeartbeatTicks = 2
	DefaultElectionTicks  = 12
	DefaultSnapshotBytes  = 8 << 20
	DefaultKeepBytes      = 2 << 20
)

// Bounds on memory.
const (
	maxBatchBytes       = 1 << 20  // entries or snapshot data of one message
	maxCommandBytes     = 10 << 20 // one command; a job may carry a payload of 4 MiB
	maxRequestBytes     = 12 << 20 // one call of Step, which holds at least one entry
	maxInboxBytes       = 16 << 20 // received and not yet handled
	maxUncommittedBytes = 16 << 20 // proposed and not yet committed
	maxProposals        = 1024     // calls of Propose in progress
	maxReads            = 4096     // calls of Read and Confirm in progress
	maxQueuedMessages   = 256      // in one send queue
	maxQueuedBytes      = 8 << 20
	maxInflight         = 8  // unacknowledged messages with entries to one member
	maxSenders          = 64 // recorded addresses of senders
)

func (o *Options) validateAndSetDefaults() error {
	if o.Gateway == "" || o.Addr == "" || o.Dir == "" {
		return errors.New("replica: Gateway, Addr and Dir must be set")
	}
	if len(o.InitialControllers) == 0 {
		return errors.New("replica: InitialControllers must name at least one controller")
	}
	if err := o.checkInitial(); err != nil {
		return err
	}
	setDefault(&o.Tick, DefaultTick)
	setDefault(&o.HeartbeatTicks, DefaultHeartbeatTicks)
	setDefault(&o.ElectionTicks, DefaultElectionTicks)
	setDefault(&o.SnapshotBytes, DefaultSnapshotBytes)
	setDefault(&o.KeepBytes, DefaultKeepBytes)
	if o.FileSystem == nil {
		o.FileSystem = storage.OS{}
	}
	if o.Client == nil {
		o.Client = newClient()
	}
	if o.OnFatal == nil {
		logger := o.Logger
		o.OnFatal = func(err error) {
			logger.Error().Err(err).Msg("cannot write the data directory; exiting")
			os.Exit(1)
		}
	}
	if o.Seed == 0 {
		var b [8]byte
		if _, err := rand.Read(b[:]); err != nil {
			return err
		}
		o.Seed = binary.LittleEndian.Uint64(b[:])
	}
	return nil
}

func (o *Options) checkInitial() error {
	o.InitialControllers = slices.Clone(o.InitialControllers)
	slices.SortFunc(o.InitialControllers, func(a, b Controller) int { return strings.Compare(string(a.Gateway), string(b.Gateway)) })
	for i, c := range o.InitialControllers {
		if c.Gateway == "" || c.Addr == "" {
			return fmt.Errorf("replica: InitialControllers[%d] must have a gateway id and an address", i)
		}
		if i > 0 && o.InitialControllers[i-1].Gateway == c.Gateway {
			return fmt.Errorf("replica: InitialControllers names gateway %q twice", c.Gateway)
		}
	}
	return nil
}

// initialGateways lists the initial gateways in the form in which controllers compare their
// settings.
func (o *Options) initialGateways() string {
	names := make([]string, 0, len(o.InitialControllers))
	for _, c := range o.InitialControllers {
		names = append(names, string(c.Gateway))
	}
	return strings.Join(names, ",")
}

func (o *Options) isInitial(id model.GatewayID) bool {
	return slices.ContainsFunc(o.InitialControllers, func(c Controller) bool { return c.Gateway == id })
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func newClient() *http.Client {
	dialer := &net.Dialer{Timeout: time.Second, KeepAlive: 5 * time.Second}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     time.Minute,
	}}
}
