package fleetd

import (
	"io"
	"os"
	"strconv"
	"sync/atomic"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// logBufferLines is the number of lines buffered for a slow reader; further lines are dropped and
// counted.
const logBufferLines = 2000

// newLogger returns a logger that never blocks: if standard output is not read, lines are
// dropped, and their number is written once it is read again.
func newLogger(level, id, role string) (zerolog.Logger, io.Closer, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Logger{}, nil, err
	}
	var dropped atomic.Int64
	writer := diode.NewWriter(os.Stdout, logBufferLines, 0, func(missed int) {
		total := dropped.Add(int64(missed))
		// The error of a failed write cannot be reported anywhere.
		_, _ = os.Stdout.WriteString(`{"level":"warn","dropped":` + strconv.FormatInt(total, 10) + `,"message":"log lines were dropped"}` + "\n")
	})
	logger := zerolog.New(writer).Level(parsed).With().Timestamp().Str("vm", id).Str("role", role).Logger()
	return logger, writer, nil
}
