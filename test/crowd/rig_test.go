package crowd

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"samphirepaddle.example/platform/standin"
	"samphirepaddle.example/test/cluster"
)

// Settings and bounds of the tests. The memory of a daemon is the bound on its peak.
const (
	gatewayMiB    = 64
	controllerMiB = 128
	ownDaemonMiB  = 128
	openFiles     = 1200 // descriptors that a process may open
	maxFiles      = 500  // bound on its open descriptors
	testHost      = "h.example"
)

// daemon is a process under test.
type daemon struct {
	*cluster.Process
	addr      string
	memoryMiB int
	maxFiles  int // most open descriptors seen
	meter     *meter
}

// startDaemon starts samphired with a limit on its descriptors.
func startDaemon(t *testing.T, binary, dir, name string, memoryMiB int, addr string, settings map[string]any, command ...string) *daemon {
	t.Helper()
	data, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	arguments := append([]string{"-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, openFiles), binary}, command...)
	d := &daemon{Process: cluster.NewProcess("/bin/sh", append(arguments, "--settings", path), filepath.Join(dir, name+".log")), addr: addr, memoryMiB: memoryMiB}
	if err := d.Start(); err != nil {
		t.Fatal(err)
	}
	d.meter = startMeter(d, listenersOf(settings)...)
	t.Cleanup(func() {
		d.meter.stop()
		if t.Failed() {
			t.Logf("log of %s:\n%s", name, tail(d.Log()))
		}
		d.Kill()
	})
	return d
}

// listenersOf returns the addresses that the settings of a daemon have for its listeners.
func listenersOf(settings map[string]any) (addrs []string) {
	for _, field := range []string{"callers_listen", "ready_listen", "control_listen", "metrics_listen", "public_addr", "peer_addr"} {
		if addr, ok := settings[field].(string); ok {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

func tail(log string) string {
	const most = 4000
	return log[max(0, len(log)-most):]
}

// peakMiB returns the highest resident memory of the process so far.
func (d *daemon) peakMiB(t *testing.T) int {
	t.Helper()
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", d.PID()))
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if fields := strings.Fields(lines.Text()); len(fields) > 1 && fields[0] == "VmHWM:" {
			kib, err := strconv.Atoi(fields[1])
			if err != nil {
				t.Fatal(err)
			}
			return kib >> 10
		}
	}
	t.Fatal("the peak of the memory is not known")
	return 0
}

func (d *daemon) countFiles() {
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.PID()))
	if err == nil {
		d.maxFiles = max(d.maxFiles, len(files))
	}
}

// check reports a daemon that has ended or has exceeded its bounds.
func (d *daemon) check(t *testing.T) {
	t.Helper()
	if d.Exited() {
		t.Fatal("the process has ended")
	}
	d.countFiles()
	if peak := d.peakMiB(t); peak > d.memoryMiB {
		t.Errorf("the memory peaked at %d MiB, the machine has %d", peak, d.memoryMiB)
	} else {
		t.Logf("the memory peaked at %d of %d MiB, %d descriptors were open", peak, d.memoryMiB, d.maxFiles)
	}
	held, files := d.meter.result()
	d.maxFiles = max(d.maxFiles, files)
	if held.resident == 0 {
		t.Error("no sample was taken of what the process holds")
	}
	if held.total() > int64(d.memoryMiB)<<20 {
		t.Errorf("the process and its connections held %s; the machine has %d MiB", held, d.memoryMiB)
	} else {
		t.Logf("the process and its connections held %s of %d MiB", held, d.memoryMiB)
	}
	if d.maxFiles > maxFiles {
		t.Errorf("%d descriptors were open, at most %d are allowed", d.maxFiles, maxFiles)
	}
}

// platformRig is a gateway and a controller on the users' platform.
type platformRig struct {
	gateway, controller *daemon
	ready, metrics      string // addresses of the gateway
	jobs                int
}

func newPlatformRig(t *testing.T, binary string) *platformRig {
	t.Helper()
	dir := t.TempDir()
	ports, err := cluster.FreePorts("127.0.0.1", 4)
	if err != nil {
		t.Fatal(err)
	}
	r := &platformRig{ready: ports[2], metrics: ports[3]}
	r.controller = startDaemon(t, binary, dir, "controller", controllerMiB, ports[0], map[string]any{
		"id": "c", "role": "controller", "zone": "z", "controllers": ports[:1], "control_listen": ports[0],
		"data_dir": filepath.Join(dir, "data"), "may_found": true, "memory_mib": controllerMiB,
	}, "fleet")
	r.gateway = startDaemon(t, binary, dir, "gateway", gatewayMiB, ports[1], map[string]any{
		"id": "g", "role": "gateway", "zone": "z", "controllers": ports[:1], "callers_listen": ports[1],
		"ready_listen": ports[2], "metrics_listen": ports[3], "memory_mib": gatewayMiB,
	}, "fleet")
	r.untilAnswered(t, "configuration", func() (int, error) {
		return request(http.MethodPut, "http://"+ports[0]+"/config", string(standin.Configuration(1, testHost, "s", 3, "/q/")))
	})
	r.submitOrdinary(t)
	return r
}

// check checks all daemons.
func (r *platformRig) check(t *testing.T) {
	t.Helper()
	r.gateway.check(t)
	r.controller.check(t)
}

// untilConfigured stores a small configuration as an ordinary operator.
func (r *platformRig) untilConfigured(t *testing.T, version uint64) {
	t.Helper()
	r.untilAnswered(t, "a configuration", func() (int, error) {
		return request(http.MethodPut, "http://"+r.controller.addr+"/config", string(standin.Configuration(version, testHost, "s", 3, "/q/")))
	})
}

// untilAnswered repeats a request until it is answered with success. The number of tries is far above what
// a daemon needs that answers ordinary callers at all.
func (r *platformRig) untilAnswered(t *testing.T, what string, send func() (int, error)) {
	t.Helper()
	const tries, pause = 600, 100 * time.Millisecond
	var status int
	var err error
	for range tries {
		if status, err = send(); err == nil && status == http.StatusOK {
			return
		}
		time.Sleep(pause)
	}
	t.Fatalf("%s is not answered: status %d, error %v", what, status, err)
}

// submitOrdinary submits a small job as an ordinary caller.
func (r *platformRig) submitOrdinary(t *testing.T) {
	t.Helper()
	r.jobs++
	path := fmt.Sprintf("/q/ordinary%d", r.jobs)
	r.untilAnswered(t, "an ordinary job", func() (int, error) {
		return request(http.MethodPost, "http://"+r.gateway.addr+path, paddedJob(200))
	})
}

func request(method, url, body string) (int, error) {
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	r.Host = testHost
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}
	response, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}
