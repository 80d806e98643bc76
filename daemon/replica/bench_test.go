package replica

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
)

// restartCallers propose at once, so that many entries share one sync.
const restartCallers = 256

// BenchmarkRestart measures the time from the start of a lone controller to its first
// linearizable read, after it was stopped with a log of the given number of entries: with
// no snapshot, and with snapshots taken as soon as the rules allow. An election, of 300 to
// 600 ms, is part of it.
func BenchmarkRestart(b *testing.B) {
	for _, kind := range []struct {
		name          string
		snapshotBytes int
	}{{"log", 1 << 30}, {"snapshot", 64 << 10}} {
		for _, entries := range []int{8000, 32_000} {
			b.Run(fmt.Sprintf("%s/entries=%d", kind.name, entries), func(b *testing.B) {
				benchRestart(b, entries, kind.snapshotBytes)
			})
		}
	}
}

func benchRestart(b *testing.B, entries, snapshotBytes int) {
	c := newCluster(b, 1, func(o *Options) {
		o.SnapshotBytes = snapshotBytes
		o.KeepBytes = 1
	})
	fill(b, c.controllers[0].replica, entries)
	b.ResetTimer()
	for range b.N {
		b.StopTimer()
		c.kill(0)
		b.StartTimer()
		c.start(0)
		readFirst(b, c.controllers[0].replica)
	}
}

// fill proposes tickets of one object each, as operators' changes are.
func fill(b *testing.B, r *Replica, entries int) {
	b.Helper()
	readFirst(b, r)
	var wait sync.WaitGroup
	for caller := range restartCallers {
		wait.Go(func() {
			for n := caller; n < entries; n += restartCallers {
				id := fmt.Sprintf("tenant-%d", caller)
				command := state.Command{SubmitTicket: &state.SubmitTicket{Ticket: model.Ticket{
					Number: uint64(n + 1), Author: "ana", Tenants: []model.Tenant{{ID: model.TenantID(id), Share: 1}},
				}}}
				if _, err := r.Propose(context.Background(), command); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	wait.Wait()
}

// readFirst returns after the replica has led and confirmed a read.
func readFirst(b *testing.B, r *Replica) {
	b.Helper()
	for {
		err := r.Read(context.Background(), func(*state.State) {})
		if err == nil {
			return
		}
		if b.Context().Err() != nil {
			b.Fatal(err)
		}
	}
}
