package state

import (
	"testing"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
)

func routingTicket(number uint64, prefixes ...string) Command {
	routing := &model.Routing{Services: []model.WorkerService{{Name: "s"}}}
	for _, prefix := range prefixes {
		routing.Routes = append(routing.Routes, model.Route{Name: "r" + prefix, Host: "h", PathPrefix: prefix, Service: "s", TimeoutMs: 1})
	}
	return Command{ProposedAt: 1, SubmitTicket: &SubmitTicket{Ticket: model.Ticket{Number: number, Routing: routing}}}
}

// Guards against an older, repeated or conflicting ticket that changes the routing table, against
// routes that stay although the newest table omits them, and against a table that is missing
// after a restore.
func TestRoutingTickets(t *testing.T) {
	s := New()
	for _, step := range []struct {
		command Command
		want    Code
		routes  int
	}{
		{routingTicket(5, "/a/", "/b/"), CodeOK, 2},
		{routingTicket(5, "/a/", "/b/"), CodeRepeated, 2},
		{routingTicket(5, "/a/"), CodeConflict, 2},
		{routingTicket(4, "/c/"), CodeStale, 2},
		{routingTicket(9, "/a/", "/a/"), CodeInvalid, 2},
		{routingTicket(7, "/c/"), CodeOK, 1},
	} {
		number := step.command.SubmitTicket.Ticket.Number
		if got := s.Apply(s.Revision+1, step.command); got.Code != step.want {
			t.Errorf("ticket %d: code %q (%s), want %q", number, got.Code, got.Message, step.want)
		}
		if got := len(s.Config.Routing.Routes); got != step.routes {
			t.Errorf("after ticket %d there are %d routes, want %d", number, got, step.routes)
		}
	}
	if delta, ok := s.ConfigSince(1); !ok || delta.Routing == nil || len(New().Config.WithDelta(delta).Routing.Routes) != 1 {
		t.Errorf("gateways receive %+v, %v", delta, ok)
	}
	restored := restoredFrom(t, s)
	if route, rest, ok := restored.Config.Routing.Match("h:80", "/c/id"); !ok || route.Name != "r/c/" || rest != "id" {
		t.Errorf("after a restore the path matches %+v, %q, %v", route, rest, ok)
	}
}

// Guards against a routing table that still applies after a ticket has deleted it.
func TestRoutingIsDeleted(t *testing.T) {
	s := New()
	s.Apply(1, routingTicket(1, "/a/"))
	before := s.Config.Clone()
	remove := model.Ticket{Number: 2, Delete: []model.ObjectRef{{Kind: model.KindRouting, ID: model.RoutingID}}}
	if got := s.Apply(2, Command{SubmitTicket: &SubmitTicket{Ticket: remove}}); got.Code != CodeOK {
		t.Fatalf("code %q (%s)", got.Code, got.Message)
	}
	delta, ok := s.ConfigSince(1)
	if s.Config.Routing != nil || !ok || before.WithDelta(delta).Routing != nil {
		t.Errorf("the table is %+v, gateways receive %+v, %v", s.Config.Routing, delta, ok)
	}
}

// Guards against a request that is matched by a shorter prefix or by another host's route.
func TestLongestPrefixWins(t *testing.T) {
	s := New()
	s.Apply(1, routingTicket(1, "/a/", "/a/b/"))
	for path, want := range map[string]string{"/a/b/x": "r/a/b/", "/a/bx": "r/a/", "/a/": "r/a/"} {
		if route, _, ok := s.Config.Routing.Match("H", path); !ok || route.Name != want {
			t.Errorf("%s matches %q, want %q", path, route.Name, want)
		}
	}
	if _, _, ok := s.Config.Routing.Match("other", "/a/x"); ok {
		t.Error("a path of another host matches")
	}
}

// Guards against workflows that are accepted without a route, or missing after a restore.
func TestWorkflowsInTheState(t *testing.T) {
	s := New()
	submit := Command{ProposedAt: 2, Workflow: &workflow.Command{Submit: &workflow.Submission{
		Host: "h", Path: "/a/j1", Steps: []workflow.StepSpec{{Count: 1}},
	}}}
	if got := s.Apply(1, submit); got.Code != CodeNoRoute {
		t.Errorf("without a route: code %q", got.Code)
	}
	s.Apply(2, routingTicket(1, "/a/"))
	if got := s.Apply(3, submit); got.Code != CodeOK {
		t.Errorf("with a route: code %q (%s)", got.Code, got.Message)
	}
	restored := restoredFrom(t, s)
	if status, ok := restored.Workflows.StatusOf("j1"); !ok || status != workflow.StatusQueued {
		t.Errorf("after a restore the job has status %q, %v", status, ok)
	}
}

// restoredFrom returns the state that the snapshot of s holds.
func restoredFrom(t *testing.T, s *State) *State {
	t.Helper()
	data, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := Restore(data)
	if err != nil {
		t.Fatal(err)
	}
	return restored
}
