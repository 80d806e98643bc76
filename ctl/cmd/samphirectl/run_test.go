package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/syncmsg"
	"samphirepaddle.example/daemon/control"
	"samphirepaddle.example/daemon/controller"
	"samphirepaddle.example/daemon/operator"
	"samphirepaddle.example/daemon/replica"
	"samphirepaddle.example/daemon/rpc"
)

// station is an operators' interface over a log of one controller.
type station struct {
	t       *testing.T
	log     *replica.MemoryLog
	client  *control.Client
	address string
	dir     string
}

func newStation(t *testing.T) *station {
	log := replica.NewMemoryLog("c1", "")
	service := controller.NewService(log, time.Minute, zerolog.Nop())
	mux := http.NewServeMux()
	mux.Handle(rpc.ControlPathPrefix, rpc.NewControlServer(service))
	peer := httptest.NewServer(mux)
	t.Cleanup(peer.Close)
	client := control.NewClient([]string{strings.TrimPrefix(peer.URL, "http://")}, http.DefaultTransport)
	public := http.NewServeMux()
	operator.New(client).Register(public)
	server := httptest.NewServer(public)
	t.Cleanup(server.Close)
	return &station{t, log, client, strings.TrimPrefix(server.URL, "http://"), t.TempDir()}
}

func (s *station) file(name, content string) string {
	path := filepath.Join(s.dir, name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return path
}

// run expects an exit code and a part of the output.
func (s *station) run(code int, part string, arguments ...string) string {
	s.t.Helper()
	var out bytes.Buffer
	// The first gateway never answers, so that every call depends on the failover.
	arguments = append([]string{"--gateway", "127.0.0.1:1", "--gateway", s.address}, arguments...)
	if got := run(arguments, &out, &out); got != code || !strings.Contains(out.String(), part) {
		s.t.Fatalf("%v: exit %d, expected %d with %q; output:\n%s", arguments, got, code, part, out.String())
	}
	return out.String()
}

const goodTicket = `{"number": 5, "author": "ana", "pools": [{"id": "shops", "weights": {"tail_latency": 1}}],
 "tenants": [{"id": "andino"}],
 "jobs": [{"id": "plan", "tenant": "andino", "pool": "shops", "class": "batch", "declared": {"slots": 1}}]}`

// Guards against wrong exit codes, which scripts that apply tickets depend on, against a
// resend that is not safe, and against a loser that is not told who won.
func TestApply(t *testing.T) {
	s := newStation(t)
	good := s.file("good.json", goodTicket)
	other := s.file("other.json", strings.Replace(goodTicket, "ana", "ben", 1))
	s.run(exitOK, "accepted", "apply", good)
	s.run(exitOK, "in force", "apply", "--wait", "100ms", good)
	s.run(exitRefused, `ticket 5 by "ana" was accepted`, "apply", other)
	s.run(exitOK, "in force", "ticket", "5")
	s.run(exitRefused, "not among the kept", "ticket", "6")

	result, err := s.client.Propose(context.Background(), state.Command{RegisterGateway: &state.RegisterGateway{Gateway: "gw", Incarnation: "x"}})
	if err != nil || !result.OK() {
		t.Fatal(result, err)
	}
	next := s.file("next.json", `{"number": 6, "pools": [{"id": "night"}]}`)
	s.run(exitNotInForce, "behind: [gw]", "apply", "--wait", "50ms", next)
	done := make(chan error)
	go func() {
		request := syncmsg.Request{Gateway: "gw", Epoch: result.Epoch}
		response, err := s.client.Sync(context.Background(), request)
		if err == nil {
			request.Revision = response.Revision
			_, err = s.client.Sync(context.Background(), request)
		}
		done <- err
	}()
	s.run(exitOK, "in force", "apply", "--wait", "30s", next)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if got := run([]string{"--gateway", "127.0.0.1:1", "--timeout", "50ms", "apply", good}, &bytes.Buffer{}, &bytes.Buffer{}); got != exitFailed {
		t.Fatalf("exit %d without a gateway", got)
	}
}

// Guards against bad input that is applied in part, or refused without saying what is wrong.
func TestBadTicketsNameTheFault(t *testing.T) {
	s := newStation(t)
	for content, part := range map[string]string{
		`{"number": 5, "colour": 1}`:                              `unknown field "colour"`,
		`{"number": "five"}`:                                      `field "number" holds a string, allowed is a whole number`,
		`{"number": 5, "pools": [{"id": "a"}]} {}`:                `only one object is allowed`,
		`{"number": 5, "pools": [`:                                `incomplete`,
		`{"number": 5, "pools": [{"id": "a b"}]}`:                 `pool id "a b" may hold only`,
		`{"pools": [{"id": "a"}]}`:                                `number is 0 or missing`,
		`{"number": 5}`:                                           `touches no object`,
		`{"number": 5, "pools": [{"id": "a"}, {"id": "a"}]}`:      `named twice`,
		`{"number": 5, "delete": [{"kind": "queue", "id": "a"}]}`: `kind "queue" is none of`,
		`{"number": 5, "author": "` + strings.Repeat("x", 9<<20):  `larger than`,
	} {
		path := s.file("bad.json", content)
		s.run(exitRefused, part, "check", path)
		s.run(exitRefused, part, "apply", path)
		r, err := http.Post("http://"+s.address+"/v1/tickets", "application/json", strings.NewReader(content))
		if err != nil {
			t.Fatal(err)
		}
		var answer operator.TicketResponse
		if err := json.NewDecoder(r.Body).Decode(&answer); err != nil || r.StatusCode != http.StatusBadRequest || !strings.Contains(answer.Message, part) {
			t.Fatalf("%.40s: status %d, %+v, %v", content, r.StatusCode, answer, err)
		}
		r.Body.Close()
	}
	s.log.View(func(st *state.State) {
		if st.Revision != 0 {
			t.Fatalf("bad input reached the log: revision %d", st.Revision)
		}
	})
}

// Guards against sub-commands whose paths, bodies or tables do not match the interface.
func TestQueries(t *testing.T) {
	s := newStation(t)
	s.run(exitOK, "accepted", "apply", s.file("good.json", goodTicket))
	for _, c := range []state.Command{
		{RegisterGateway: &state.RegisterGateway{Gateway: "gw", Incarnation: "x", PublicAddr: "10.0.0.1:80"}},
		{JoinTarget: &state.JoinTarget{Target: "t1", StartID: "p", Pool: "shops"}},
	} {
		if c.JoinTarget != nil {
			c.JoinTarget.Capacity.Slots = 8
		}
		if result, err := s.client.Propose(context.Background(), c); err != nil || !result.OK() {
			t.Fatal(result, err)
		}
	}
	s.run(exitOK, "10.0.0.1:80", "status")
	s.run(exitOK, "queued", "jobs", "--tenant", "andino")
	s.run(exitOK, "plan", "explain", "plan")
	s.run(exitRefused, "does not exist", "explain", "unknown")
	s.run(exitOK, "gw", "leases")
	s.run(exitOK, "leader", "members")
	s.run(exitOK, "in quarantine", "quarantine", "set", "t1", "--reason", "noisy fan")
	s.run(exitOK, "noisy fan", "quarantine", "list")
	s.run(exitOK, "out of quarantine", "quarantine", "lift", "t1")
	s.run(exitRefused, "does not exist", "quarantine", "lift", "t9")
	s.run(exitOK, "cancellation of 2 jobs", "cancel", "plan", "unknown")
	s.run(exitOK, `"phase":"cancelled"`, "--json", "jobs")
	s.run(exitFailed, "expected command", "no-such-command")
}

// Guards against bad arguments that are taken as defaults or reach the log.
func TestBadArgumentsAreRefused(t *testing.T) {
	s := newStation(t)
	for _, c := range []struct{ method, path, body, part string }{
		{"GET", "/v1/tickets/5?wait_ms=soon", "", `wait_ms \"soon\" is not a whole number from 0 to 60000`},
		{"GET", "/v1/tickets/5?wait_ms=60001", "", "from 0 to 60000"},
		{"GET", "/v1/tickets/five", "", `ticket number \"five\"`},
		{"GET", "/v1/jobs?phase=lost", "", "none of queued, assigned"},
		{"POST", "/v1/jobs/cancel", `{"jobs": []}`, "at least 1 job id"},
		{"POST", "/v1/jobs/cancel", `{"jobs": ["a"], "force": true}`, "unknown field"},
		{"POST", "/v1/jobs/cancel", `{"jobs": "a"}`, "allowed is a list"},
		{"POST", "/v1/quarantine/t1", `{"reason": 1}`, "allowed is a string"},
		{"POST", "/v1/quarantine/t1", strings.Repeat(" ", 2<<20), "larger than"},
	} {
		request, err := http.NewRequest(c.method, "http://"+s.address+c.path, strings.NewReader(c.body))
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(response.Body)
		response.Body.Close()
		if response.StatusCode != http.StatusBadRequest || !strings.Contains(string(body), c.part) {
			t.Fatalf("%s %s: status %d, %s", c.method, c.path, response.StatusCode, body)
		}
	}
	s.log.View(func(st *state.State) {
		if st.Revision != 0 {
			t.Fatalf("bad input reached the log: revision %d", st.Revision)
		}
	})
}
