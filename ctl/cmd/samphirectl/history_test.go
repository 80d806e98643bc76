package main

import (
	"bytes"
	"strings"
	"testing"
)

// Guards against lines in the wrong order, missing lines of the id, lines of other ids, and lost
// log lines that are not reported.
func TestHistory(t *testing.T) {
	h := &history{id: "9a8d"}
	err := h.read(strings.NewReader(`
 21.2 quito/controller {"level":"info","vm":"vm-2","role":"controller","task":"9a8d/0/1/4","reason":"the lease is over","time":"2026-05-02T08:34:46Z","message":"attempt lost"}
{"level":"info","vm":"vm-1","role":"controller","path":"/q/9a8d","code":"ok","time":"2026-05-02T08:34:44Z","message":"submission"}
{"level":"info","vm":"vm-1","role":"controller","path":"/q/other","time":"2026-05-02T08:34:45Z","message":"submission"}
{"level":"warn","vm":"vm-2","lines":7,"time":"2026-05-02T08:34:47Z","message":"decisions were not logged"}
not a log line of 9a8d { "unreadable
`))
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := h.write(&out); err != nil {
		t.Fatal(err)
	}
	want := `2026-05-02T08:34:44Z vm-1 controller submission code=ok path=/q/9a8d
2026-05-02T08:34:46Z vm-2 controller attempt lost reason=the lease is over task=9a8d/0/1/4
incomplete: 2026-05-02T08:34:47Z vm-2  decisions were not logged lines=7
`
	if out.String() != want {
		t.Errorf("got:\n%swant:\n%s", out.String(), want)
	}
}

// Guards against empty output for an unknown id, which would look like a job without a history.
func TestHistoryOfUnknownID(t *testing.T) {
	h := &history{id: "absent"}
	if err := h.write(&bytes.Buffer{}); err == nil || !strings.Contains(err.Error(), `"absent"`) {
		t.Errorf("error %v", err)
	}
}
