package fleetd

import (
	"context"
	"errors"
	"os"
	"syscall"
	"testing"

	"github.com/rs/zerolog"
)

var errNoRoom = &os.PathError{Op: "open", Path: "lock", Err: syscall.ENOSPC}

// Guards against a first start that ends because its disk is full: the restarted process may not
// create the group.
func TestStartWaitsUntilTheDiskHasRoom(t *testing.T) {
	calls := 0
	got, err := openWhenRoom(context.Background(), zerolog.Nop(), 0, func() (int, error) {
		if calls++; calls < 3 {
			return 0, errNoRoom
		}
		return calls, nil
	})
	if got != 3 || err != nil {
		t.Errorf("result %d, %v", got, err)
	}
}

// Guards against a start that hides another failure of the disk, or that goes on after a SIGTERM.
func TestStartEndsWithoutRoom(t *testing.T) {
	want := errors.New("input/output error")
	if _, err := openWhenRoom(context.Background(), zerolog.Nop(), 0, func() (int, error) { return 0, want }); !errors.Is(err, want) {
		t.Errorf("error %v, want %v", err, want)
	}
	stopped, stop := context.WithCancel(context.Background())
	stop()
	if _, err := openWhenRoom(stopped, zerolog.Nop(), 0, func() (int, error) { return 0, errNoRoom }); !errors.Is(err, syscall.ENOSPC) {
		t.Errorf("error %v after a SIGTERM, want ENOSPC", err)
	}
}
