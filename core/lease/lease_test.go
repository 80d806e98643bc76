package lease

import (
	"testing"
	"time"
)

// Guards against a granter treating a lease as expired while its holder still uses it, with
// clock rates that differ by MaxDrift and with any delay of the response.
func TestLeaseExpiresAtHolderFirst(t *testing.T) {
	sent := time.Unix(1000, 0)
	for _, ttl := range []time.Duration{1500 * time.Millisecond, 10 * time.Second} {
		for _, delay := range []time.Duration{0, time.Millisecond, ttl, time.Hour} {
			held := HolderExpiry(sent, ttl).Sub(sent)
			heldBySlowClock := time.Duration(float64(held) * (1 + MaxDrift))
			counted := GranterExpiry(sent.Add(delay), ttl, 0).Sub(sent)
			if heldBySlowClock > counted {
				t.Errorf("ttl %v, response after %v: held for up to %v, counted for %v", ttl, delay, heldBySlowClock, counted)
			}
		}
	}
}
