package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against a report that omits requests or counts refused requests as run.
func TestLoadCountsVerdicts(t *testing.T) {
	gateway := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		verdict := "ran"
		if r.URL.Path != "/v1/call/pedidos/stock" || r.Header.Get("Samphire-Tenant") != "cuenca" || r.Header.Get("Samphire-Deadline-Ms") != "250" {
			verdict = "not-run"
		}
		w.Header().Set("Samphire-Verdict", verdict)
	}))
	defer gateway.Close()
	address := strings.TrimPrefix(gateway.URL, "http://")
	var out bytes.Buffer
	args := "load --json --gateway " + address + " --service pedidos --tenant cuenca --path stock --callers 3 --for 50ms --deadline 250ms"
	if code := run(strings.Fields(args), &out, io.Discard); code != exitOK {
		t.Fatalf("exit code %d", code)
	}
	var report loadReport
	if err := json.Unmarshal(out.Bytes(), &report); err != nil {
		t.Fatal(err)
	}
	if report.Requests == 0 || report.Verdicts["ran"] != report.Requests || report.MaxUs == 0 {
		t.Errorf("report %+v", report)
	}
	if code := run(strings.Fields("load --service p --tenant t --callers 0"), &out, io.Discard); code != exitRefused {
		t.Errorf("0 callers: exit code %d", code)
	}
}
