package main

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"samphirepaddle.example/core/model"
)

// loadCommand sends quick requests from concurrent callers for a given duration.
type loadCommand struct {
	service, tenant, path string
	callers               int
	duration              time.Duration
	deadline              time.Duration
}

// maxCallers limits the callers, so that a mistyped number cannot exhaust the machine's ports.
const maxCallers = 1000

func addLoad(app *kingpin.Application, c *gatewayClient) {
	l := &loadCommand{}
	command := app.Command("load", "Sends quick requests through the gateways and shows verdicts and latency.")
	command.Flag("service", "Service to call.").Required().StringVar(&l.service)
	command.Flag("tenant", "Tenant that calls.").Required().StringVar(&l.tenant)
	command.Flag("path", "Path of the requests.").Default("load").StringVar(&l.path)
	command.Flag("callers", "Number of concurrent callers; each sends one request at a time.").Default("8").IntVar(&l.callers)
	command.Flag("for", "Duration of the load.").Default("10s").DurationVar(&l.duration)
	command.Flag("deadline", "Deadline of each request.").Default("1s").DurationVar(&l.deadline)
	command.Action(func(*kingpin.ParseContext) error { return l.run(c) })
}

// loadReport summarizes the results of a load. The latencies cover only requests that ran.
type loadReport struct {
	Requests  int            `json:"requests"`
	PerSecond float64        `json:"per_second"`
	Verdicts  map[string]int `json:"verdicts"` // number of requests by verdict, or under verdictLost
	P50Us     int64          `json:"p50_us"`
	P99Us     int64          `json:"p99_us"`
	P999Us    int64          `json:"p99.9_us"`
	MaxUs     int64          `json:"max_us"`
}

// sample is the result of one request.
type sample struct {
	verdict string
	latency time.Duration
}

func (l *loadCommand) run(c *gatewayClient) error {
	if l.callers < 1 || l.callers > maxCallers {
		return refusedf("--callers %d is out of range: 1 to %d are allowed", l.callers, maxCallers)
	}
	if l.duration <= 0 || l.deadline < time.Millisecond {
		return refusedf("--for %v must be positive and --deadline %v must be at least 1ms", l.duration, l.deadline)
	}
	report := summarizeLoad(l.send(c.gateways), l.duration)
	if c.jsonOutput {
		return json.NewEncoder(c.out).Encode(report)
	}
	t := newTable(c.out)
	t.row("requests", report.Requests)
	t.row("per second", int(report.PerSecond))
	for _, verdict := range []string{"ran", "not-run", "unknown", verdictLost} {
		t.row(verdict, report.Verdicts[verdict])
	}
	t.row("p50 us", report.P50Us)
	t.row("p99 us", report.P99Us)
	t.row("p99.9 us", report.P999Us)
	t.row("max us", report.MaxUs)
	return t.flush()
}

// send runs the callers for the duration and returns all samples. Each caller uses one gateway.
func (l *loadCommand) send(gateways []string) []sample {
	transport := &http.Transport{MaxIdleConnsPerHost: l.callers}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: l.deadline + time.Second}
	end := time.Now().Add(l.duration)
	var mu sync.Mutex
	var all []sample
	var callers sync.WaitGroup
	for i := range l.callers {
		callers.Go(func() {
			var samples []sample
			for time.Now().Before(end) {
				samples = append(samples, l.sendOne(client, gateways[i%len(gateways)]))
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, samples...)
		})
	}
	callers.Wait()
	return all
}

// verdictLost is the key in loadReport.Verdicts for requests without a complete response.
const verdictLost = "lost"

// sendOne sends one request and waits for its response.
func (l *loadCommand) sendOne(client *http.Client, gateway string) sample {
	request, err := http.NewRequest(http.MethodGet, "http://"+gateway+"/v1/call/"+l.service+"/"+l.path, nil)
	if err != nil {
		return sample{verdict: verdictLost}
	}
	request.Header.Set("Samphire-Tenant", l.tenant)
	request.Header.Set("Samphire-Deadline-Ms", strconv.FormatInt(l.deadline.Milliseconds(), 10))
	startedAt := time.Now()
	response, err := client.Do(request)
	if err != nil {
		time.Sleep(retryInterval) // avoids flooding a gateway that refuses connections
		return sample{verdict: verdictLost}
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxResponseBytes)); err != nil {
		return sample{verdict: verdictLost}
	}
	return sample{response.Header.Get(model.VerdictHeader), time.Since(startedAt)}
}

func summarizeLoad(samples []sample, duration time.Duration) loadReport {
	report := loadReport{Requests: len(samples), Verdicts: map[string]int{}}
	report.PerSecond = float64(len(samples)) / duration.Seconds()
	var ran []time.Duration
	for _, s := range samples {
		report.Verdicts[s.verdict]++
		if s.verdict == model.VerdictRan.String() {
			ran = append(ran, s.latency)
		}
	}
	if len(ran) == 0 {
		return report
	}
	slices.Sort(ran)
	percentile := func(q float64) int64 { return ran[min(len(ran)-1, int(q*float64(len(ran))))].Microseconds() }
	report.P50Us, report.P99Us, report.P999Us, report.MaxUs = percentile(0.5), percentile(0.99), percentile(0.999), percentile(1)
	return report
}
