// Package lease computes when leases expire. The holder counts from the time at which it sent
// the renewal. The granter counts from the time at which it answered and adds the bound on
// clock drift. A lease therefore expires at the holder before it expires at the granter,
// however long the answer takes.
package lease

import "time"

// MaxDrift is the greatest assumed relative difference between the rates of two clocks.
const MaxDrift = 0.01

// HolderExpiry returns the time at which the holder must stop using a lease whose renewal it sent
// at sent.
func HolderExpiry(sent time.Time, ttl time.Duration) time.Time {
	return sent.Add(ttl)
}

// GranterExpiry returns the time after which the granter may treat a lease as expired whose
// renewal it answered at answered. The margin is added to the bound on clock drift.
func GranterExpiry(answered time.Time, ttl, margin time.Duration) time.Time {
	drift := time.Duration(float64(ttl) * MaxDrift)
	return answered.Add(ttl + drift + margin)
}
