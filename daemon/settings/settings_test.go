package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
)

const valid = `{"gateway":"g1","zone":"z","public_addr":"127.0.0.1:1","peer_addr":"127.0.0.1:2",
	"controllers":[{"id":"g1","peer_addr":"127.0.0.1:2"}],"data_dir":"data"}`

// Guards against missing defaults, and against listeners without an address.
func TestDefaults(t *testing.T) {
	s, err := Parse([]byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	if s.SessionTTLMs != DefaultSessionTTLMs || s.PeerListen != s.PeerAddr || !s.IsController() {
		t.Errorf("settings %+v", s)
	}
}

// Guards against accepting unusable settings, and against errors that do not name the field, its
// value and what is allowed.
func TestErrorsNameFieldValueAndRule(t *testing.T) {
	for _, c := range []struct{ from, to, want string }{
		{`"zone":"z"`, `"zone":""`, "zone: value : a value is required"},
		{`"peer_addr":"127.0.0.1:2",`, `"peer_addr":"x",`, "peer_addr: value x: an address as host:port is required"},
		{`"data_dir":"data"`, `"data_dir":"data","log_level":"loud"`, "log_level: value loud: allowed are debug, info, warn, error"},
		{`"data_dir":"data"`, `"data_dir":""`, "data_dir: value \"\": a controller needs a directory on a disk"},
		{`"data_dir":"data"`, `"data_dir":"data","session_ttl_ms":7`, "session_ttl_ms: value 7: at least 200 required"},
		{`"data_dir":"data"`, `"data_dir":"data","announce_ms":9000`, "announce_ms: value 9000: at most a third of target_ttl_ms"},
		{`"data_dir":"data"`, `"data_dirr":"data"`, `unknown field "data_dirr"`},
		{`"data_dir":"data"}`, `"data_dir":"data"} {}`, "unexpected content after the JSON object"},
		{`"controllers":[{"id":"g1","peer_addr":"127.0.0.1:2"}]`, `"controllers":[]`, "controllers: value []: at least 1 entries required"},
	} {
		_, err := Parse([]byte(strings.Replace(valid, c.from, c.to, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("with %s: error %v, want %q", c.to, err, c.want)
		}
	}
}

// Guards against reporting a missing file like one with invalid settings.
func TestErrorTypes(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	if _, err := Load(path); !errorx.IsOfType(err, ErrUnreadable) {
		t.Errorf("missing file: %v", err)
	}
	if err := os.WriteFile(path, []byte("{}"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(path); !errorx.IsOfType(err, ErrInvalid) || !strings.Contains(err.Error(), "gateway: value : a value is required") {
		t.Errorf("empty settings: %v", err)
	}
}
