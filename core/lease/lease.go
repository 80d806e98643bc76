// Package lease holds the arithmetic of leases. The holder counts from the time it sent the
// renewal; the granter counts from the time it answered, stretched by the bound on clock
// drift. So the holder's end always comes first, however long the answer was on its way.
package lease

import "time"

// MaxDrift is the greatest relative difference of the rates of two clocks.
const MaxDrift = 0.01

// HolderExpiry returns when the holder must stop using a lease that it asked for at sent.
func HolderExpiry(sent time.Time, ttl time.Duration) time.Time {
	return sent.Add(ttl)
}

// GranterExpiry returns when the granter may treat a lease that it answered at answered as over.
func GranterExpiry(answered time.Time, ttl, margin time.Duration) time.Time {
	drift := time.Duration(float64(ttl) * MaxDrift)
	return answered.Add(ttl + drift + margin)
}
