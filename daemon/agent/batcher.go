package agent

import (
	"net"
	"sync"
	"time"

	"samphirepaddle.example/daemon/bootclock"
)

const (
	// frameInterval is the shortest time between two frames. The first item after a pause is sent at
	// once; under load, items wait up to this long and share a frame.
	frameInterval = 4 * time.Millisecond
	// writeTimeout bounds the write of a frame to a peer that does not read.
	writeTimeout = 2 * time.Second
)

// batcher collects items and passes them to flush in batches, from one goroutine.
type batcher[T any] struct {
	flush func(items []T) error
	limit int // maximum number of waiting items

	mu     sync.Mutex
	items  []T
	closed bool
	ready  chan struct{}
}

func newBatcher[T any](limit int, flush func([]T) error) *batcher[T] {
	return &batcher[T]{flush: flush, limit: limit, ready: make(chan struct{}, 1)}
}

// add queues an item. It reports false if the queue is full or closed.
func (b *batcher[T]) add(item T) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || len(b.items) >= b.limit {
		return false
	}
	b.items = append(b.items, item)
	b.wake()
	return true
}

func (b *batcher[T]) wake() {
	select {
	case b.ready <- struct{}{}:
	default:
	}
}

// take removes the items of the next batch.
func (b *batcher[T]) take() []T {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(len(b.items), maxFrameItems)
	batch := b.items[:n:n]
	b.items = b.items[n:]
	if len(b.items) == 0 {
		b.items = nil
	} else {
		b.wake()
	}
	return batch
}

// run flushes batches until done is closed or a flush fails, and returns the failure.
func (b *batcher[T]) run(done <-chan struct{}) error {
	defer b.close()
	for {
		select {
		case <-done:
			return nil
		case <-b.ready:
		}
		began := bootclock.Now()
		if err := b.flush(b.take()); err != nil {
			return err
		}
		if pause := frameInterval - bootclock.Since(began); pause > 0 {
			time.Sleep(pause)
		}
	}
}

func (b *batcher[T]) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed, b.items = true, nil
}

// writeTo writes one frame within writeTimeout.
func writeTo(conn net.Conn, frame any) error {
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	return writeFrame(conn, frame)
}
