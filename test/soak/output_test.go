package soak

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"samphirepaddle.example/platform/standin"
	"samphirepaddle.example/test/cluster"
)

// refusals is the number of requests, each of which writes a log line: far more lines than the
// buffer of the logger and the pipe hold.
const refusals = 20_000

// outputMemoryMiB is the memory of the VM according to the settings. Buffering all log lines
// would exceed it.
const outputMemoryMiB = 32

// Guards against a process that stops responding or buffers every log line in memory while
// nothing reads its standard output.
func TestBlockedOutput(t *testing.T) {
	dir := t.TempDir()
	binary, err := Build(repositoryRoot, dir, nil)
	if err != nil {
		t.Fatal(err)
	}
	ports, err := cluster.FreePorts("127.0.0.1", 3)
	if err != nil {
		t.Fatal(err)
	}
	settings := filepath.Join(dir, "gateway.json")
	text := fmt.Sprintf(`{"id":"g","role":"gateway","zone":"z","controllers":[%q],"callers_listen":%q,"ready_listen":%q,"memory_mib":%d}`,
		ports[0], ports[1], ports[2], outputMemoryMiB)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	unread, writes, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer unread.Close()
	command := exec.Command(binary, "fleet", "--settings", settings)
	command.Stdout = writes
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	_ = writes.Close()
	defer func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	}()
	caller := standin.NewCaller(serviceHost, nil)
	ctx := context.Background()
	if !eventually(ctx, func() bool { return caller.JobState(ctx, ports[1], pathPrefix+"j").Status != 0 }) {
		t.Fatal("the gateway does not respond")
	}
	for i := range refusals {
		requestCtx, cancel := context.WithTimeout(ctx, settleTimeout)
		reply := caller.JobState(requestCtx, ports[1], pathPrefix+"j")
		cancel()
		if reply.Status != 503 {
			t.Fatalf("request %d: status %d after %v", i, reply.Status, reply.Took.Round(time.Millisecond))
		}
	}
	if resident := residentMiB(t, command.Process.Pid); resident > outputMemoryMiB {
		t.Errorf("the process uses %d MiB of resident memory, but its VM has %d MiB", resident, outputMemoryMiB)
	}
}

// residentMiB returns the resident memory of a process in MiB.
func residentMiB(t *testing.T, pid int) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(status)) {
		var kib int
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kib); err == nil {
			return kib >> 10
		}
	}
	t.Fatal("the status of the process has no VmRSS")
	return 0
}
