package model

import (
	"fmt"
	"strings"
)

// Routing is the complete routing table: the routes from request paths to workflow queues, the
// services that run the workflows' tasks, and the limits of callers' requests. A ticket replaces
// it as a whole, so that whatever the new table omits is removed.
type Routing struct {
	Routes   []Route         `json:"routes"`
	Services []WorkerService `json:"services"`
	Limits   RequestLimits   `json:"limits"`
	Document []byte          `json:"document,omitempty"` // table as the operator sent it; reads return it unchanged
}

// Route maps a host and path prefix to a queue of workflows.
type Route struct {
	Name               string  `json:"name"`
	Host               string  `json:"host"`
	PathPrefix         string  `json:"path_prefix"`
	Service            string  `json:"service"`
	TimeoutMs          Millis  `json:"timeout_ms"`
	Priority           int     `json:"priority"` // 0 is the most urgent
	MaxAttempts        uint32  `json:"max_attempts"`
	SlackFactor        float64 `json:"slack_factor"`         // allowed duration of a workflow as a multiple of its critical path
	TargetCompletionMs Millis  `json:"target_completion_ms"` // added to that duration
}

// WorkerService is a pool of workers that run workflow tasks.
type WorkerService struct {
	Name             string `json:"name"`
	HealthPath       string `json:"health_path,omitempty"`
	EnforcesCapacity bool   `json:"enforces_capacity"`
	Standby          bool   `json:"standby,omitempty"`
}

// RequestLimits bounds callers' requests.
type RequestLimits struct {
	MaxHeaderBytes  int64  `json:"max_header_bytes"`
	MaxBodyBytes    int64  `json:"max_body_bytes"`
	HeaderTimeoutMs Millis `json:"header_timeout_ms"`
	IdleTimeoutMs   Millis `json:"idle_timeout_ms"`
}

// RoutingID is the id of the only object of KindRouting.
const RoutingID = "table"

// maxRoutes bounds the routing table; tables with several hundred routes are in use.
const maxRoutes = 16_384

// Validate returns an error if the table is not valid.
func (r *Routing) Validate() error {
	if len(r.Routes) > maxRoutes {
		return fmt.Errorf("the routing table has %d routes, at most %d are allowed", len(r.Routes), maxRoutes)
	}
	services, err := r.serviceNames()
	if err != nil {
		return err
	}
	nameByMatch := make(map[[2]string]string, len(r.Routes))
	names := make(map[string]bool, len(r.Routes))
	for _, route := range r.Routes {
		if err := route.check(services); err != nil {
			return err
		}
		match := [2]string{strings.ToLower(route.Host), route.PathPrefix}
		if other, ok := nameByMatch[match]; ok {
			return fmt.Errorf("routes %q and %q share host %q and path prefix %q", other, route.Name, route.Host, route.PathPrefix)
		}
		if names[route.Name] {
			return fmt.Errorf("route %q is listed twice", route.Name)
		}
		nameByMatch[match], names[route.Name] = route.Name, true
	}
	return nil
}

func (r *Routing) serviceNames() (map[string]bool, error) {
	names := make(map[string]bool, len(r.Services))
	for _, service := range r.Services {
		if service.Name == "" {
			return nil, fmt.Errorf("a service has no name")
		}
		if names[service.Name] {
			return nil, fmt.Errorf("service %q is listed twice", service.Name)
		}
		names[service.Name] = true
	}
	return names, nil
}

func (r Route) check(services map[string]bool) error {
	if r.Name == "" || !strings.HasPrefix(r.PathPrefix, "/") {
		return fmt.Errorf("route %q: it needs a name and a path prefix that begins with '/', not %q", r.Name, r.PathPrefix)
	}
	if !services[r.Service] {
		return fmt.Errorf("route %q names service %q, which is not in the table", r.Name, r.Service)
	}
	if r.TimeoutMs <= 0 {
		return fmt.Errorf("route %q: the timeout is %d ms, at least 1 ms is required", r.Name, r.TimeoutMs)
	}
	return nil
}

// Match returns the route of the host with the longest prefix of the path, and the rest of the
// path. A port in host is ignored; a route without a host matches all hosts.
func (r *Routing) Match(host, path string) (route Route, rest string, ok bool) {
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	best := -1
	for i := range r.Routes {
		candidate := &r.Routes[i]
		if len(candidate.PathPrefix) <= best || !strings.HasPrefix(path, candidate.PathPrefix) {
			continue
		}
		if candidate.Host != "" && !strings.EqualFold(candidate.Host, host) {
			continue
		}
		best, route = len(candidate.PathPrefix), *candidate
	}
	if best < 0 {
		return Route{}, "", false
	}
	return route, path[best:], true
}

// Route returns the route with the name.
func (r *Routing) Route(name string) (Route, bool) {
	for _, route := range r.Routes {
		if route.Name == name {
			return route, true
		}
	}
	return Route{}, false
}
