package fleetd

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/rs/zerolog"
)

// Guards against a request that ends the process, that gets no answer, or that is answered as one
// that did not run, because its handler panics.
func TestPanicIsAnsweredWithUnknownOutcome(t *testing.T) {
	server := httptest.NewServer(recoverPanics(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/panic":
			panic("test")
		case "/late-panic":
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "half")
			panic("test")
		}
	}), zerolog.Nop()))
	defer server.Close()
	get := func(path string) (status int, err error) {
		response, err := http.Get(server.URL + path)
		if err != nil {
			return 0, err
		}
		defer response.Body.Close()
		_, err = io.ReadAll(response.Body)
		return response.StatusCode, err
	}
	if status, err := get("/panic"); err != nil || status != http.StatusGatewayTimeout {
		t.Errorf("panic before the response: status %d, %v", status, err)
	}
	if _, err := get("/late-panic"); err == nil {
		t.Error("panic within the response: the response is complete")
	}
	if status, err := get("/"); err != nil || status != http.StatusOK {
		t.Errorf("the next request: status %d, %v", status, err)
	}
}
