// Package lease computes when leases expire. The holder counts the duration of the lease from the
// time at which it sent the renewal. The granter counts it from the time at which it responded to
// the renewal and adds the bound on clock drift. A lease therefore expires at the holder before it
// expires at the granter, however long the response takes.
package lease

import "time"

// MaxDrift is the greatest assumed relative difference between the rates of two clocks.
const MaxDrift = 0.01

// HolderExpiry returns the time at which the holder must stop using a lease if it sent the renewal
// at sentAt.
func HolderExpiry(sentAt time.Time, ttl time.Duration) time.Time {
	return sentAt.Add(ttl)
}

// GranterExpiry returns the time after which the granter may treat a lease as expired if it
// responded to the renewal at respondedAt. margin is added to the bound on clock drift.
func GranterExpiry(respondedAt time.Time, ttl, margin time.Duration) time.Time {
	drift := time.Duration(float64(ttl) * MaxDrift)
	return respondedAt.Add(ttl + drift + margin)
}
