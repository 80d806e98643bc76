package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/test/cluster"
)

// Size of the cluster: three availability zones with three daemons each.
const (
	daemons     = 9
	controllers = 3
)

var zones = []string{"sierra-quito", "sierra-ambato", "sierra-cuenca"}

// waitTimeout is the time after which a wait fails. It is not a performance bound.
const waitTimeout = 20 * time.Second

// rig is a running cluster and an HTTP client for it.
type rig struct {
	*cluster.Cluster
	client  *http.Client
	dir     string
	tickets uint64                  // number of the last submitted ticket
	quick   map[string]targetStatus // targets of the quick service by id; nil before they are started
}

func startRig(binaries cluster.Binaries, options cluster.Options) (*rig, error) {
	dir, err := os.MkdirTemp("", "samphire-bench-")
	if err != nil {
		return nil, err
	}
	options.Binaries = binaries
	options.Dir = dir
	options.Zones = zones
	c, err := cluster.New(options)
	if err != nil {
		return nil, err
	}
	r := &rig{Cluster: c, dir: dir, client: &http.Client{
		Timeout:   waitTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true},
	}}
	if err := c.Start(); err != nil {
		r.close()
		return nil, err
	}
	for _, d := range c.Daemons {
		if err := r.waitReady(d); err != nil {
			r.close()
			return nil, err
		}
	}
	return r, nil
}

func (r *rig) close() {
	r.Close()
	_ = os.RemoveAll(r.dir)
}

func (r *rig) waitReady(d *cluster.Daemon) error {
	return cluster.WaitFor(waitTimeout, func() error {
		return r.getJSON(d, "/healthz/ready", nil)
	})
}

// do sends one request and returns the status and body of the response.
func (r *rig) do(method, url string, body []byte, header http.Header) (int, []byte, error) {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if header != nil {
		request.Header = header
	}
	response, err := r.client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, data, err
}

func (r *rig) getJSON(d *cluster.Daemon, path string, v any) error {
	status, data, err := r.do(http.MethodGet, "http://"+d.PublicAddr+path, nil, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("%s%s: status %d: %s", d.ID, path, status, data)
	}
	if v == nil {
		return nil
	}
	return json.Unmarshal(data, v)
}

// submit assigns the next number to the ticket and sends it until it is accepted.
func (r *rig) submit(d *cluster.Daemon, ticket model.Ticket) error {
	r.tickets++
	ticket.Number = r.tickets
	ticket.Author = "bench"
	body, err := json.Marshal(ticket)
	if err != nil {
		return err
	}
	return cluster.WaitFor(waitTimeout, func() error {
		status, data, err := r.do(http.MethodPost, "http://"+d.PublicAddr+"/v1/tickets", body, nil)
		if err == nil && status != http.StatusOK {
			err = fmt.Errorf("ticket %d: status %d: %s", ticket.Number, status, data)
		}
		return err
	})
}

// waitInForce waits until the last submitted ticket is in force.
func (r *rig) waitInForce(d *cluster.Daemon) error {
	return cluster.WaitFor(waitTimeout, func() error {
		var status struct {
			InForce bool `json:"in_force"`
		}
		err := r.getJSON(d, fmt.Sprintf("/v1/tickets/%d?wait_ms=5000", r.tickets), &status)
		if err == nil && !status.InForce {
			err = errors.New("the ticket is not in force")
		}
		return err
	})
}

// apply submits a ticket and waits until it is in force.
func (r *rig) apply(d *cluster.Daemon, ticket model.Ticket) error {
	if err := r.submit(d, ticket); err != nil {
		return err
	}
	return r.waitInForce(d)
}

// poolTicket returns a ticket that declares a pool and a service of the same name.
func poolTicket(name string) model.Ticket {
	return model.Ticket{
		Pools: []model.Pool{{ID: model.PoolID(name), Weights: model.Weights{TailLatency: 3, Throughput: 2, Evictions: 1}}},
		Services: []model.Service{{
			ID:          model.ServiceID(name),
			Pool:        model.PoolID(name),
			QuickDemand: model.Resources{Slots: 1, Connections: 1, CPUMillis: 500, MemoryMiB: 256},
			KeptSlots:   2,
			DeadlineMs:  2000,
			QueueLength: 200,
			Version:     "1",
		}},
	}
}

// leader waits until daemon d reports a leader, and returns that leader.
func (r *rig) leader(d *cluster.Daemon) (*cluster.Daemon, error) {
	var found *cluster.Daemon
	err := cluster.WaitFor(waitTimeout, func() error {
		var members []struct {
			ID   string `json:"id"`
			Role string `json:"role"`
		}
		if err := r.getJSON(d, "/v1/members", &members); err != nil {
			return err
		}
		for _, m := range members {
			if m.Role == "leader" {
				found = r.daemon(m.ID)
				return nil
			}
		}
		return errors.New("no leader")
	})
	return found, err
}

func (r *rig) daemon(id string) *cluster.Daemon {
	for _, d := range r.Daemons {
		if d.ID == id {
			return d
		}
	}
	return nil
}

// targetStatus holds the fields of a target's status that the measurements use.
type targetStatus struct {
	ID    string `json:"id"`
	Owner string `json:"owner"`
	Epoch uint64 `json:"epoch"`
	Addr  string `json:"address"`
}

// owners waits until daemon d reports at least n targets with an owner and an epoch, and returns
// these targets by id.
func (r *rig) owners(d *cluster.Daemon, n int) (map[string]targetStatus, error) {
	found := map[string]targetStatus{}
	err := cluster.WaitFor(waitTimeout, func() error {
		var status struct {
			Targets []targetStatus `json:"targets"`
		}
		if err := r.getJSON(d, "/v1/status", &status); err != nil {
			return err
		}
		clear(found)
		for _, t := range status.Targets {
			if t.Owner != "" && t.Epoch > 0 {
				found[t.ID] = t
			}
		}
		if len(found) < n {
			return fmt.Errorf("%d of %d targets have an owner", len(found), n)
		}
		return nil
	})
	return found, err
}
