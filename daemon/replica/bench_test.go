package replica

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"samphirepaddle.example/core/consensus"
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/daemon/storage"
)

// noopCommand changes only the revision, so that it costs little to apply.
var noopCommand = state.Command{ProposedAt: 1, ExpireGateway: &state.ExpireGateway{Gateway: "gateway-that-does-not-exist", Epoch: 1}}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func (c *cluster) sentBytes() uint64 {
	total := uint64(0)
	for _, ctl := range c.controllers {
		total += ctl.replica.Status().SentBytes
	}
	return total
}

// BenchmarkCommit measures commits with three replicas in one process over loopback HTTP:
// latency, bytes sent between the controllers and CPU time of all three, per entry. The commands
// change only the revision.
func BenchmarkCommit(b *testing.B) {
	for _, clients := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("clients=%d", clients), func(b *testing.B) {
			c := newCluster(b, 3, nil)
			c.propose(1)
			leader := c.controllers[c.leader()].replica
			latencies := make([]time.Duration, b.N)
			var next atomic.Int64
			var group sync.WaitGroup
			bytes, cpu := c.sentBytes(), cpuTime()
			b.ResetTimer()
			for range clients {
				group.Go(func() {
					for i := next.Add(1) - 1; i < int64(b.N); i = next.Add(1) - 1 {
						start := time.Now()
						if _, err := leader.Propose(context.Background(), noopCommand); err != nil {
							b.Error(err)
							return
						}
						latencies[i] = time.Since(start)
					}
				})
			}
			group.Wait()
			b.StopTimer()
			slices.Sort(latencies)
			b.ReportMetric(float64(latencies[b.N/2].Microseconds()), "p50-us")
			b.ReportMetric(float64(latencies[b.N*99/100].Microseconds()), "p99-us")
			b.ReportMetric(float64(c.sentBytes()-bytes)/float64(b.N), "sent-B/entry")
			b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/float64(b.N), "cpu-us/entry")
		})
	}
}

// BenchmarkIdle measures the CPU use and sent bytes per replica of three replicas without
// proposals.
func BenchmarkIdle(b *testing.B) {
	c := newCluster(b, 3, nil)
	c.propose(1)
	for b.Loop() {
		bytes, cpu, start := c.sentBytes(), cpuTime(), time.Now()
		time.Sleep(3 * time.Second)
		wall := time.Since(start).Seconds()
		b.ReportMetric(100*(cpuTime()-cpu).Seconds()/wall/3, "%core/replica")
		b.ReportMetric(float64(c.sentBytes()-bytes)/wall/3, "sent-B/s/replica")
	}
}

// BenchmarkRestart measures Open and the application of the whole log of a single controller,
// with and without a snapshot.
func BenchmarkRestart(b *testing.B) {
	for _, length := range []int{1_000, 10_000, 100_000} {
		for _, snapshot := range []bool{false, true} {
			b.Run(fmt.Sprintf("entries=%d/snapshot=%v", length, snapshot), func(b *testing.B) {
				o := Options{
					Gateway: "gateway", Addr: "127.0.0.1:1", InitialControllers: []Controller{{"gateway", "127.0.0.1:1"}},
					Dir: b.TempDir(), SnapshotBytes: 1 << 40, ElectionTicks: 10, Tick: time.Millisecond,
				}
				fillDirectory(b, o, length, snapshot)
				for b.Loop() {
					restart(b, o, uint64(length))
				}
			})
		}
	}
}

// fillDirectory writes a log for one controller, optionally with a snapshot at its end.
func fillDirectory(b *testing.B, o Options, length int, snapshot bool) {
	store, err := storage.Open(storage.Options{Dir: o.Dir})
	if err != nil {
		b.Fatal(err)
	}
	defer store.Close()
	members := consensus.Membership{{ID: store.Identity().ID, Gateway: o.Gateway, Addr: o.Addr}}
	if err := store.InitGroup("group", members); err != nil {
		b.Fatal(err)
	}
	applied := state.New()
	var entries []consensus.Entry
	for i := 2; i <= length; i++ {
		command := noopCommand
		data, err := model.Encode(command)
		if err != nil {
			b.Fatal(err)
		}
		entries = append(entries, consensus.Entry{Index: uint64(i), Term: 1, Data: data})
		applied.Apply(model.Revision(i), command)
	}
	for part := range slices.Chunk(entries, 1000) {
		if _, err := store.Write(consensus.Write{Entries: part}); err != nil {
			b.Fatal(err)
		}
	}
	if !snapshot {
		return
	}
	data, err := applied.Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	if _, err := store.SaveSnapshot(consensus.Snapshot{Index: uint64(length), Term: 1, Members: members}, data); err != nil {
		b.Fatal(err)
	}
	if err := store.Compact(uint64(length)); err != nil {
		b.Fatal(err)
	}
}

func restart(b *testing.B, o Options, length uint64) {
	r, err := Open(o)
	if err != nil {
		b.Fatal(err)
	}
	defer r.Close()
	if err := r.waitApplied(context.Background(), length); err != nil {
		b.Fatal(err)
	}
}
