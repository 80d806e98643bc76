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
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("log of %s:\n%s", name, tail(d.Log()))
		}
		d.Kill()
	})
	return d
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
	if d.maxFiles > maxFiles {
		t.Errorf("%d descriptors were open, at most %d are allowed", d.maxFiles, maxFiles)
	}
}

// platformRig is a gateway and a controller on the users' platform.
type platformRig struct {
	gateway, controller *daemon
	jobs                int
}

func newPlatformRig(t *testing.T, binary string) *platformRig {
	t.Helper()
	dir := t.TempDir()
	ports, err := cluster.FreePorts("127.0.0.1", 3)
	if err != nil {
		t.Fatal(err)
	}
	r := &platformRig{}
	r.controller = startDaemon(t, binary, dir, "controller", controllerMiB, ports[0], map[string]any{
		"id": "c", "role": "controller", "zone": "z", "controllers": ports[:1], "control_listen": ports[0],
		"data_dir": filepath.Join(dir, "data"), "may_found": true, "memory_mib": controllerMiB,
	}, "fleet")
	r.gateway = startDaemon(t, binary, dir, "gateway", gatewayMiB, ports[1], map[string]any{
		"id": "g", "role": "gateway", "zone": "z", "controllers": ports[:1], "callers_listen": ports[1],
		"ready_listen": ports[2], "memory_mib": gatewayMiB,
	}, "fleet")
	r.untilAnswered(t, "configuration", func() (int, error) {
		return request(http.MethodPut, "http://"+ports[0]+"/config", string(standin.Configuration(1, testHost, "s", 3, "/q/")))
	})
	r.submitOrdinary(t)
	return r
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
