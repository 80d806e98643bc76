package fleetd

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

// Guards against connections that stay open to a draining gateway, and against requests that it
// refuses while it drains.
func TestDrainingGatewayRespondsAndCloses(t *testing.T) {
	var draining drainFlag
	server := httptest.NewServer(draining.closeAfterResponse(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})))
	defer server.Close()
	for _, drain := range []bool{false, true} {
		if drain {
			draining.set()
		}
		response, err := http.Get(server.URL)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if response.StatusCode != http.StatusOK || response.Close != drain {
			t.Errorf("draining %v: status %d, connection closed %v", drain, response.StatusCode, response.Close)
		}
	}
}
