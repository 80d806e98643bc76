package settings

import (
	"fmt"
	"strings"
	"testing"

	"samphirepaddle.example/core/model"
)

const validController = `{"id":"vm-1","role":"controller","zone":"z","controllers":["10.0.0.1:80"],` +
	`"control_listen":"10.0.0.1:80","data_dir":"/data"}`

const validRelay = `{"id":"vm-4","role":"relay","zone":"z","controllers":["10.0.0.1:80"],"control_listen":"10.0.0.1:80"}`

const validGateway = `{"id":"vm-1","role":"gateway","zone":"z","controllers":["10.0.0.1:80"],` +
	`"callers_listen":"10.0.0.1:81","ready_listen":"10.0.0.1:82"}`

// Guards against missing defaults, and against a controller that may bootstrap a group although
// may_found is not set.
func TestFleetDefaults(t *testing.T) {
	for _, text := range []string{validController, validGateway, validRelay} {
		s, err := ParseFleet([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		if s.WorkerLeaseMs != DefaultWorkerLeaseMs || s.DrainMs != DefaultDrainMs || s.LogLevel != "info" || s.MayFound {
			t.Errorf("settings %+v", s)
		}
	}
}

// Guards against a lease that workers shorten without the leader's knowledge, and against a controller that does not
// start where workers grant long leases.
func TestWorkerLeaseStaysWithinItsLimit(t *testing.T) {
	for limit, want := range map[model.Millis]model.Millis{5000: 5000, 3_600_000: DefaultWorkerLeaseMs} {
		s, err := ParseFleet([]byte(strings.Replace(validController, `"zone":"z"`, fmt.Sprintf(`"zone":"z","worker_lease_limit_ms":%d`, limit), 1)))
		if err != nil || s.WorkerLeaseMs != want || s.WorkerLeaseLimitMs != limit {
			t.Errorf("with the limit %d: settings %+v, error %v, want a lease of %d", limit, s, err, want)
		}
	}
}

// Guards against a controller that advertises another address than the configured one.
func TestFleetControlAddr(t *testing.T) {
	for text, want := range map[string]string{
		validController: "10.0.0.1:80",
		strings.Replace(validController, `"zone":"z"`, `"zone":"z","control_addr":"10.0.0.9:81"`, 1): "10.0.0.9:81",
	} {
		s, err := ParseFleet([]byte(text))
		if err != nil || s.ControlAddr != want {
			t.Errorf("control_addr %q, error %v, want %q", s.ControlAddr, err, want)
		}
	}
}

// Guards against parts of the memory that together exceed it.
func TestPartsOfTheMemoryFit(t *testing.T) {
	for parts, valid := range map[string]bool{
		`"memory_mib":64,"body_memory_mib":20,"connection_memory_mib":20,"job_memory_mib":24`: true,
		`"memory_mib":64,"body_memory_mib":20,"connection_memory_mib":21,"job_memory_mib":24`: false,
		`"connection_memory_mib":200`: true,
		`"connection_memory_mib":-1`:  false,
	} {
		_, err := ParseFleet([]byte(strings.Replace(validController, `"zone":"z"`, `"zone":"z",`+parts, 1)))
		if (err == nil) != valid || (!valid && !strings.Contains(err.Error(), "connection_memory_mib")) {
			t.Errorf("%s: error %v", parts, err)
		}
	}
}

// Guards against accepting unusable settings, and against errors that do not name the field.
func TestFleetErrors(t *testing.T) {
	for _, c := range []struct{ text, from, to, want string }{
		{validController, `"controller"`, `"leader"`, "role: value leader: allowed are gateway, controller, relay"},
		{validController, `"data_dir":"/data"`, `"data_dir":""`, "data_dir"},
		{validController, `"control_listen":"10.0.0.1:80",`, ``, "control_listen"},
		{validRelay, `"control_listen":"10.0.0.1:80"`, `"log_level":"info"`, "control_listen"},
		{validController, `,"data_dir":"/data"`, `,"data_dir":"/data","worker_lease_ms":5`, "worker_lease_ms: value 5: at least 1000 required"},
		{validController, `,"data_dir":"/data"`, `,"data_dir":"/data","worker_lease_ms":9000,"worker_lease_limit_ms":8000`, "worker_lease_ms: value 9000: more than worker_lease_limit_ms"},
		{validController, `["10.0.0.1:80"]`, `[]`, "controllers"},
		{validController, `["10.0.0.1:80"]`, `["10.0.0.1"]`, "controllers[0]"},
		{validController, `"zone":"z"`, `"zone":"z","source_ip":"here"`, "source_ip"},
		{validController, `"zone":"z"`, `"zone":"z","control_addr":"10.0.0.1"`, "control_addr"},
		{validGateway, `,"ready_listen":"10.0.0.1:82"`, ``, "ready_listen"},
		{validGateway, `"zone":"z"`, `"zone":"z","metrics_listen":"9100"`, "metrics_listen"},
		{validGateway, `"id"`, `"idd"`, `unknown field "idd"`},
		{validGateway, `82"}`, `82"} {}`, "unexpected content after the JSON object"},
	} {
		_, err := ParseFleet([]byte(strings.Replace(c.text, c.from, c.to, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("with %s: error %v, want %q", c.to, err, c.want)
		}
	}
}

// Guards against a daemon that does not start, or does not follow changed settings, because one of the
// addresses of controllers is none.
func TestOddControllerIsSkipped(t *testing.T) {
	for _, odd := range []string{``, ` `, `10.0.0.1`, `10.0.0.1:99999`, `10.0.0.1:-1`, `10.0.0.1:http`, `a b:1`} {
		s, err := ParseFleet([]byte(strings.Replace(validController, `["10.0.0.1:80"]`, `["`+odd+`","10.0.0.1:80"]`, 1)))
		if err != nil || len(s.Controllers) != 1 || s.Controllers[0] != "10.0.0.1:80" || len(s.SkippedControllers) != 1 {
			t.Errorf("%q: controllers %q, skipped %q, error %v", odd, s.Controllers, s.SkippedControllers, err)
		}
	}
}
