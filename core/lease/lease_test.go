package lease

import (
	"testing"
	"time"
)

// Guards against a granter that counts a lease as over while its holder still uses it: on
// clocks whose rates differ by MaxDrift, and however late the answer reaches the holder.
func TestHolderEndsBeforeGranter(t *testing.T) {
	sent := time.Unix(1000, 0)
	for _, ttl := range []time.Duration{1500 * time.Millisecond, 10 * time.Second} {
		for _, delay := range []time.Duration{0, time.Millisecond, ttl, time.Hour} {
			held := HolderExpiry(sent, ttl).Sub(sent)
			slow := time.Duration(float64(held) * (1 + MaxDrift))
			counted := GranterExpiry(sent.Add(delay), ttl, 0).Sub(sent)
			if slow > counted {
				t.Errorf("ttl %v, answered after %v: held for up to %v, counted for %v", ttl, delay, slow, counted)
			}
		}
	}
}
