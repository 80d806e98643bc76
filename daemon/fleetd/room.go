package fleetd

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"samphirepaddle.example/daemon/wait"
)

// roomRetryInterval is the time between two attempts to open a data directory on a full disk.
const roomRetryInterval = 500 * time.Millisecond

// openWhenRoom calls open until the disk has room or ctx is done. At the first start of the system
// the process must not end instead: a restarted one may not create the group (may_found).
func openWhenRoom[T any](ctx context.Context, logger zerolog.Logger, interval time.Duration, open func() (T, error)) (T, error) {
	for attempts := 0; ; attempts++ {
		result, err := open()
		full := errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
		if !full || ctx.Err() != nil {
			return result, err
		}
		if attempts == 0 {
			logger.Error().Err(err).Msg("no room for the data directory; waiting")
		}
		wait.For(ctx, interval)
	}
}
