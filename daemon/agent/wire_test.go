package agent

import (
	"bytes"
	"io"
	"testing"
	"time"

	"samphirepaddle.example/core/workflow"
	"samphirepaddle.example/daemon/bootclock"
)

// Guards against a frame that makes the reader panic or allocate without bound.
func FuzzReadFrame(f *testing.F) {
	var valid bytes.Buffer
	frame := requestFrame{SentAt: 1, Ping: 2, Requests: []request{{ID: 3, Operation: opStart, To: workflow.Incarnation{Worker: "w"}}}}
	if err := writeFrame(&valid, frame); err != nil {
		f.Fatal(err)
	}
	f.Add(valid.Bytes())
	f.Add([]byte{0, 0, 0, 1, 0xff})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		var requests requestFrame
		_ = readFrame(bytes.NewReader(data), &requests)
		var responses responseFrame
		if err := readFrame(bytes.NewReader(data), &responses); err == nil {
			for _, r := range responses.Responses {
				_, _ = r.listing(), r.err()
			}
		}
	})
}

// Guards against a truncated frame that is taken for a whole one.
func TestTruncatedFrame(t *testing.T) {
	var whole bytes.Buffer
	if err := writeFrame(&whole, responseFrame{Pong: 1, Responses: []response{{ID: 2}}}); err != nil {
		t.Fatal(err)
	}
	for size := range whole.Len() {
		var frame responseFrame
		if err := readFrame(bytes.NewReader(whole.Bytes()[:size]), &frame); err != io.EOF && err != io.ErrUnexpectedEOF {
			t.Errorf("%d of %d bytes: %v", size, whole.Len(), err)
		}
	}
}

// Guards against executing frames that waited while the agent was frozen, and against refusing
// frames because the clocks of the two VMs differ or drift apart.
func TestDelayMeter(t *testing.T) {
	const interval = 200 * time.Millisecond
	start := bootclock.Time(time.Hour)
	for name, test := range map[string]struct {
		offset time.Duration // of the leader's clock
		drift  float64       // rate of the leader's clock less 1
	}{
		"equal clocks": {}, "leader ahead": {offset: 9 * time.Hour}, "leader behind": {offset: -time.Minute},
		"slow leader": {drift: -0.02}, "fast leader": {drift: 0.02},
	} {
		var m delayMeter
		observe := func(after, delay time.Duration) time.Duration {
			sent := start.Add(test.offset + after + time.Duration(float64(after)*test.drift))
			return m.observe(sent, start.Add(after+delay))
		}
		now := time.Duration(0)
		for range 200 {
			if delay := observe(now, time.Millisecond); delay > 2*interval {
				t.Fatalf("%s: a frame without delay counts as %v late", name, delay)
			}
			now += interval
		}
		const frozen = 8 * time.Second
		for waited := frozen; waited > time.Second; waited -= interval {
			delay := observe(now+frozen-waited, waited)
			if delay < waited-2*interval || delay > waited+2*interval {
				t.Errorf("%s: a frame that waited for %v counts as %v late", name, waited, delay)
			}
		}
	}
}
