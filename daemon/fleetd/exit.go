package fleetd

import (
	"io"
	"os"
	"time"

	"github.com/rs/zerolog"
)

// flushTimeout bounds the wait for the last log lines of a process that must end. Standard output
// that is not read must not keep a process alive whose storage has failed.
const flushTimeout = 200 * time.Millisecond

// exitAfterFailedWrite returns a function that logs the failed write, waits until the log is written
// and then calls exit.
func exitAfterFailedWrite(logger zerolog.Logger, log io.Closer, exit func(code int)) func(error) {
	return func(err error) {
		logger.Error().Err(err).Msg("cannot write the data directory; exiting")
		flushed := make(chan struct{})
		go func() {
			_ = log.Close() // its error can't be logged any more
			close(flushed)
		}()
		timer := time.NewTimer(flushTimeout)
		defer timer.Stop()
		select {
		case <-flushed:
		case <-timer.C:
		}
		exit(exitFailedWrite)
	}
}

const exitFailedWrite = 1 // exit code

func (d *Daemon) onFatal() func(error) { return exitAfterFailedWrite(d.logger, d.log, os.Exit) }
