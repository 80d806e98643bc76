package fleet

import (
	"bytes"
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

// Guards against a log volume that grows with the load, and against lines that are dropped without
// being counted.
func TestLogLimit(t *testing.T) {
	limit := &logLimiter{maxPerSecond: 3}
	written := 0
	for second := int64(1); second <= 2; second++ {
		for range 5 {
			if limit.allow(second) {
				written++
			}
		}
	}
	if written != 6 {
		t.Errorf("%d lines were written, want 3 in each of 2 seconds", written)
	}
	var out bytes.Buffer
	limit.reportDropped(zerolog.New(&out))
	if !strings.Contains(out.String(), `"lines":4`) {
		t.Errorf("the report is %q, want 4 dropped lines", out.String())
	}
	out.Reset()
	if limit.reportDropped(zerolog.New(&out)); out.Len() > 0 {
		t.Errorf("the lines were reported twice: %q", out.String())
	}
}
