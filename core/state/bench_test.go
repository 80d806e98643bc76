package state

import (
	"fmt"
	"runtime"
	"testing"

	"samphirepaddle.example/core/model"
)

// newFilledState returns a state with n/10 targets and n jobs, of which a third is queued, a
// third has an open attempt and a third has ended.
func newFilledState(n int) *State {
	s := New()
	do := func(c Command) {
		if r := s.Apply(s.Revision+1, c); !r.OK() {
			panic(r.Message)
		}
	}
	do(Command{SubmitTicket: &SubmitTicket{model.Ticket{Number: 1, Pools: []model.Pool{{ID: "shops"}}, Tenants: []model.Tenant{{ID: "andino"}}}}})
	for i := range 12 {
		do(Command{RegisterGateway: &RegisterGateway{Gateway: model.GatewayID(fmt.Sprint("gw", i)), Incarnation: "a"}})
	}
	for i := range n / 10 {
		do(Command{JoinTarget: &JoinTarget{Target: model.TargetID(fmt.Sprintf("t%06d", i)), StartID: "p", Address: "10.0.0.1:9000", Pool: "shops", Capacity: model.Resources{Slots: 8}}})
	}
	for i := range n {
		id := model.JobID(fmt.Sprintf("job-%07d", i))
		do(Command{SubmitJob: &SubmitJob{spec(id), string(id)}})
		if i%3 == 0 {
			continue
		}
		target := model.TargetID(fmt.Sprintf("t%06d", i%(n/10)))
		do(Command{AssignAttempt: &AssignAttempt{model.AttemptID{Job: id, Number: 1}, target, s.Targets[target].Epoch, model.Resources{Slots: 1}}})
		if i%3 == 1 {
			do(Command{EndAttempt: &EndAttempt{Attempt: model.AttemptID{Job: id, Number: 1}, Outcome: OutcomeFinished, Result: make([]byte, 100)}})
		}
	}
	return s
}

// BenchmarkApply measures each kind of command with 1,000 to 100,000 jobs. Apart from ended
// records, the state does not grow with the iterations.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{1000, 10_000, 100_000} {
		s := newFilledState(n)
		i := 0
		apply := func(c Command) Result { return s.Apply(s.Revision+1, c) }
		next := func() model.JobID { i++; return model.JobID(fmt.Sprint("bench-", i)) }
		target := model.TargetID("t000000")
		kinds := []struct {
			name string
			run  func()
		}{
			{"ticket", func() {
				i++
				apply(Command{SubmitTicket: &SubmitTicket{model.Ticket{Number: uint64(1000 + i), Pools: []model.Pool{{ID: "other"}}}}})
			}},
			{"submit+cancel", func() {
				id := next()
				apply(Command{SubmitJob: &SubmitJob{spec(id), string(id)}})
				apply(Command{CancelJobs: &CancelJobs{[]model.JobID{id}}})
			}},
			{"submit+assign+end", func() {
				id := next()
				apply(Command{SubmitJob: &SubmitJob{spec(id), string(id)}})
				apply(Command{AssignAttempt: &AssignAttempt{model.AttemptID{Job: id, Number: 1}, target, s.Targets[target].Epoch, model.Resources{Slots: 1}}})
				apply(Command{EndAttempt: &EndAttempt{Attempt: model.AttemptID{Job: id, Number: 1}, Outcome: OutcomeFinished}})
			}},
			{"begin+end request", func() {
				key := string(next())
				apply(Command{BeginRequest: &BeginRequest{Tenant: "andino", Key: key, Request: model.RequestID(key), Gateway: "gw1", Epoch: s.Gateways["gw1"].Epoch}})
				apply(Command{EndRequest: &EndRequest{Tenant: "andino", Key: key, Request: model.RequestID(key), Verdict: model.VerdictRan}})
			}},
			{"lose+join target", func() {
				id := model.TargetID("spare")
				apply(Command{JoinTarget: &JoinTarget{Target: id, StartID: "p", Pool: "shops", Capacity: model.Resources{Slots: 8}}})
				apply(Command{LoseTarget: &LoseTarget{id, s.Targets[id].Epoch}})
			}},
			{"quarantine", func() {
				i++
				apply(Command{QuarantineTarget: &QuarantineTarget{Target: target, Quarantined: i%2 == 0}})
			}},
			{"evict (repeated)", func() {
				apply(Command{EvictAttempt: &EvictAttempt{model.AttemptID{Job: "job-0000002", Number: 1}, "x"}})
			}},
		}
		for _, kind := range kinds {
			b.Run(fmt.Sprintf("%s/jobs=%d", kind.name, n), func(b *testing.B) {
				for range b.N {
					kind.run()
				}
			})
		}
	}
}

// BenchmarkExpireGateway measures the expiry and new registration of a gateway, including the
// reassignment of a twelfth of the targets.
func BenchmarkExpireGateway(b *testing.B) {
	for _, n := range []int{1000, 10_000, 100_000} {
		s := newFilledState(n)
		b.Run(fmt.Sprintf("targets=%d", n/10), func(b *testing.B) {
			for i := range b.N {
				id := model.GatewayID(fmt.Sprint("gw", i%12))
				s.Apply(s.Revision+1, Command{ExpireGateway: &ExpireGateway{id, s.Gateways[id].Epoch}})
				s.Apply(s.Revision+1, Command{RegisterGateway: &RegisterGateway{Gateway: id, Incarnation: fmt.Sprint(i)}})
			}
		})
	}
}

// BenchmarkSnapshot measures saving, capturing and restoring a snapshot.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{1000, 10_000, 100_000} {
		s := newFilledState(n)
		data, err := s.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("save/jobs=%d", n), func(b *testing.B) {
			for range b.N {
				_, _ = s.Snapshot()
			}
			b.ReportMetric(float64(len(data))/float64(n), "B/job")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/job")
		})
		b.Run(fmt.Sprintf("capture/jobs=%d", n), func(b *testing.B) {
			for range b.N {
				s.Capture()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/job")
		})
		b.Run(fmt.Sprintf("restore/jobs=%d", n), func(b *testing.B) {
			for range b.N {
				if _, err := Restore(data); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/job")
		})
	}
}

// BenchmarkMemory reports the heap and snapshot bytes per object of each kind.
func BenchmarkMemory(b *testing.B) {
	const n = 20_000
	base := func() *State {
		s := New()
		s.Apply(1, Command{SubmitTicket: &SubmitTicket{model.Ticket{Number: 1, Pools: []model.Pool{{ID: "shops"}}, Tenants: []model.Tenant{{ID: "andino"}}}}})
		s.Apply(2, Command{RegisterGateway: &RegisterGateway{Gateway: "gw1", Incarnation: "a"}})
		return s
	}
	kinds := map[string]func(s *State, i int){
		"queued job": func(s *State, i int) {
			id := model.JobID(fmt.Sprintf("job-%07d", i))
			s.Apply(s.Revision+1, Command{SubmitJob: &SubmitJob{spec(id), string(id)}})
		},
		"ended job": func(s *State, i int) {
			id := model.JobID(fmt.Sprintf("job-%07d", i))
			s.Apply(s.Revision+1, Command{SubmitJob: &SubmitJob{spec(id), string(id)}})
			s.Apply(s.Revision+1, Command{CancelJobs: &CancelJobs{[]model.JobID{id}}})
		},
		"running task": func(s *State, i int) {
			id := model.JobID(fmt.Sprintf("job-%07d", i))
			target := model.TargetID("t000000")
			if i == 0 {
				s.Apply(s.Revision+1, Command{JoinTarget: &JoinTarget{Target: target, StartID: "p", Address: "10.0.0.1:9000", Pool: "shops", Capacity: model.Resources{Slots: 8}}})
			}
			s.Apply(s.Revision+1, Command{SubmitJob: &SubmitJob{spec(id), string(id)}})
			s.Apply(s.Revision+1, Command{AssignAttempt: &AssignAttempt{model.AttemptID{Job: id, Number: 1}, target, s.Targets[target].Epoch, model.Resources{Slots: 1}}})
		},
		"request without response": func(s *State, i int) {
			key := fmt.Sprintf("key-%07d", i)
			s.Apply(s.Revision+1, Command{BeginRequest: &BeginRequest{Tenant: "andino", Key: key, Request: model.RequestID(key), Gateway: "gw1", Epoch: s.Gateways["gw1"].Epoch}})
			s.Apply(s.Revision+1, Command{EndRequest: &EndRequest{Tenant: "andino", Key: key, Request: model.RequestID(key), Verdict: model.VerdictRan}})
		},
		"target": func(s *State, i int) {
			s.Apply(s.Revision+1, Command{JoinTarget: &JoinTarget{Target: model.TargetID(fmt.Sprintf("t%06d", i)), StartID: "0123456789abcdef", Address: "10.0.0.1:9000", Zone: "z", Rack: "r", Pool: "shops", Capacity: model.Resources{Slots: 8}}})
		},
	}
	for _, name := range sortedKeys(kinds) {
		measureMemory(b, name, n, base, kinds[name])
	}
	measureMemory(b, "ticket", maxTicketRecords, base, func(s *State, i int) {
		s.Apply(s.Revision+1, Command{SubmitTicket: &SubmitTicket{model.Ticket{Number: uint64(10 + i), Author: "ana", Pools: []model.Pool{{ID: "shops"}}}}})
	})
}

func measureMemory(b *testing.B, name string, n int, base func() *State, add func(*State, int)) {
	b.Run(name, func(b *testing.B) {
		var heap, snapshot float64
		for range b.N {
			s := base()
			before := heapInUse()
			for i := range n {
				add(s, i)
			}
			heap = float64(heapInUse()-before) / float64(n)
			data, _ := s.Snapshot()
			snapshot = float64(len(data)) / float64(n)
			runtime.KeepAlive(s)
		}
		b.ReportMetric(heap, "heap-B/object")
		b.ReportMetric(snapshot, "snapshot-B/object")
	})
}

func heapInUse() int64 {
	// The encoder's buffers are freed only by the second garbage collection after their use.
	for range 3 {
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
