package gateway

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"samphirepaddle.example/daemon/target"
)

// benchWorkers is the number of concurrent callers. They keep half of the target's slots busy.
const benchWorkers = slots / 2

// BenchmarkLocalPath compares calls through a gateway with direct calls to the same target,
// in one run. Caller, gateway and target share the process, so the gateway's CPU time is the
// difference between the CPU times of the two paths.
func BenchmarkLocalPath(b *testing.B) {
	f := newFixture(b, "g1", echo)
	f.addTarget(b, "t1")
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchWorkers}}
	send := func(url string) error {
		request, err := http.NewRequest(http.MethodPost, url, strings.NewReader("check"))
		if err != nil {
			return err
		}
		request.Header.Set(headerTenant, "shop")
		request.Header.Set(target.HeaderRequestID, "direct")
		response, err := client.Do(request)
		if err != nil {
			return err
		}
		defer response.Body.Close()
		_, err = io.Copy(io.Discard, response.Body)
		return err
	}
	b.ReportAllocs()
	// Rounds alternate, so that both paths see the same background load.
	const rounds = 10
	var direct, through sample
	for range rounds {
		direct.run(b, b.N/rounds+1, func() error { return send(f.target.URL + "/x") })
		through.run(b, b.N/rounds+1, func() error { return send(f.public.URL + "/v1/call/pedidos/x") })
	}
	for _, q := range []struct {
		name string
		at   float64
	}{{"p50", 0.5}, {"p99", 0.99}, {"p99.9", 0.999}} {
		d, g := direct.quantile(q.at), through.quantile(q.at)
		b.ReportMetric(float64(g)/float64(d), q.name+"-ratio")
		b.ReportMetric(float64((g - d).Microseconds()), q.name+"-added-us")
	}
	perRequest := (through.cpu - direct.cpu) / time.Duration(len(through.times))
	b.ReportMetric(float64(time.Second)/float64(perRequest), "gateway-req/s/core")
}

// sample holds the durations of calls and the CPU time that the process used for them.
type sample struct {
	times []time.Duration
	cpu   time.Duration
}

func (s *sample) run(b *testing.B, n int, call func() error) {
	before := cpuTime()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range benchWorkers {
		wg.Go(func() {
			var times []time.Duration
			for range n/benchWorkers + 1 {
				began := time.Now()
				if err := call(); err != nil {
					b.Error(err)
					return
				}
				times = append(times, time.Since(began))
			}
			mu.Lock()
			defer mu.Unlock()
			s.times = append(s.times, times...)
		})
	}
	wg.Wait()
	s.cpu += cpuTime() - before
}

func (s *sample) quantile(at float64) time.Duration {
	slices.Sort(s.times)
	return s.times[min(len(s.times)-1, int(at*float64(len(s.times))))]
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
