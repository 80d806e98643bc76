package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"samphirepaddle.example/test/cluster"
)

// usage is the resource usage of one daemon since its start, or its change over an interval.
type usage struct {
	cpu            float64 // seconds
	sentPeers      float64 // bytes to other daemons
	receivedPeers  float64
	sentPublic     float64 // bytes to callers and targets on connections that they opened
	receivedPublic float64
	memory         float64 // current resident bytes, never a difference
}

func (u usage) minus(v usage) usage {
	return usage{
		cpu:            u.cpu - v.cpu,
		sentPeers:      u.sentPeers - v.sentPeers,
		receivedPeers:  u.receivedPeers - v.receivedPeers,
		sentPublic:     u.sentPublic - v.sentPublic,
		receivedPublic: u.receivedPublic - v.receivedPublic,
		memory:         u.memory,
	}
}

// sent returns the bytes that the daemon sent through the relays of the cluster. The daemon's own
// calls to targets bypass the relays and are not counted.
func (u usage) sent() float64 { return u.sentPeers + u.sentPublic }

// sample is the usage of every running daemon at one time.
type sample struct {
	at      time.Time
	daemons map[string]usage
}

func takeSample(c *cluster.Cluster) sample {
	s := sample{at: time.Now(), daemons: map[string]usage{}}
	for _, d := range c.Daemons {
		if !d.Exited() {
			s.daemons[d.ID] = usageOf(c, d)
		}
	}
	return s
}

// since returns the usage of each daemon since an earlier sample, and the seconds between them.
func (s sample) since(before sample) (map[string]usage, float64) {
	change := map[string]usage{}
	for id, u := range s.daemons {
		change[id] = u.minus(before.daemons[id])
	}
	return change, s.at.Sub(before.at).Seconds()
}

func usageOf(c *cluster.Cluster, d *cluster.Daemon) usage {
	u := usage{cpu: cpuSeconds(d.PID()), memory: residentBytes(d.PID())}
	for _, other := range c.Daemons {
		if other == d {
			continue
		}
		asClient := other.Relay.ByteCounts()[d.IP]
		asServer := d.Relay.ByteCounts()[other.IP]
		u.sentPeers += float64(asClient.FromSource + asServer.ToSource)
		u.receivedPeers += float64(asClient.ToSource + asServer.FromSource)
	}
	if d.PublicRelay != nil {
		for _, bytes := range d.PublicRelay.ByteCounts() {
			u.sentPublic += float64(bytes.ToSource)
			u.receivedPublic += float64(bytes.FromSource)
		}
	}
	return u
}

// cpuSeconds returns the total CPU time of the threads of a process. It reads schedstat, which
// counts in nanoseconds, because /proc/PID/stat counts in ticks of 10 ms.
func cpuSeconds(pid int) float64 {
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	sum := 0.0
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has ended
		}
		first, _, _ := strings.Cut(string(data), " ")
		nanoseconds, _ := strconv.ParseFloat(first, 64)
		sum += nanoseconds
	}
	return sum / 1e9
}

func residentBytes(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseFloat(fields[1], 64)
	return pages * float64(os.Getpagesize())
}
