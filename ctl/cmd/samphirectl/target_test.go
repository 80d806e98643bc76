package main

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"

	"samphirepaddle.example/core/model"
)

// Guards against a target that SIGTERM kills before it has said that it is leaving.
func TestTargetLeavesOnSIGTERM(t *testing.T) {
	states := make(chan model.Announcement, 1000)
	vm := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var a model.Announcement
		if err := json.NewDecoder(r.Body).Decode(&a); err != nil {
			t.Error(err)
		}
		states <- a
		if err := json.NewEncoder(w).Encode(model.AnnouncementResponse{Epoch: 1, LeaseMs: 10_000}); err != nil {
			t.Error(err)
		}
	}))
	defer vm.Close()
	ended := make(chan int)
	args := "target --id w1 --pool p1 --zone z1 --rack r1 --slots 3 --connections 9 --cpu-millis 7 --memory-mib 5" +
		" --accelerators 1 --service-time 1ms --usage-lag 1s --gateway " + strings.TrimPrefix(vm.URL, "http://")
	go func() { ended <- run(strings.Fields(args), io.Discard, io.Discard) }()
	first := <-states
	want := model.Resources{Slots: 3, Connections: 9, CPUMillis: 7, MemoryMiB: 5, Accelerators: 1}
	if first.Capacity != want || first.Zone != "z1" || first.Rack != "r1" || first.Pool != "p1" || first.State != model.TargetReady {
		t.Fatalf("first announcement %+v", first)
	}
	if err := syscall.Kill(syscall.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if code := <-ended; code != exitOK {
		t.Fatalf("exit code %d", code)
	}
	for len(states) > 1 {
		<-states
	}
	if last := <-states; last.State != model.TargetLeaving {
		t.Fatalf("last announcement %+v", last)
	}
}

// Guards against a target that starts without the flags that name it.
func TestTargetNeedsItsFlags(t *testing.T) {
	if code := run([]string{"target", "--id", "w1"}, io.Discard, io.Discard); code == exitOK {
		t.Fatal("started without --pool")
	}
}
