package fleetd

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// Guards against a process that ends before it has written why.
func TestReasonOfExitIsWrittenBeforeTheProcessEnds(t *testing.T) {
	var written bytes.Buffer
	buffered := diode.NewWriter(&written, logBufferLines, 0, nil)
	code := 0
	exitAfterFailedWrite(zerolog.New(buffered), buffered, func(c int) { code = c })(errors.New("no space left on device"))
	if code != 1 || !strings.Contains(written.String(), "no space left on device") {
		t.Errorf("exit code %d, log %q", code, written.String())
	}
}

type blockedCloser struct{ io.Closer }

func (blockedCloser) Close() error { select {} }

// Guards against a process that stays alive with a failed storage because nobody reads its log.
func TestProcessEndsAlthoughItsLogIsNotRead(t *testing.T) {
	code := 0
	exitAfterFailedWrite(zerolog.Nop(), blockedCloser{}, func(c int) { code = c })(errors.New("test"))
	if code != 1 {
		t.Errorf("exit code %d, want 1", code)
	}
}
