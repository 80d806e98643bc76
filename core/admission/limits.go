package admission

import (
	"math"
	"sync"
	"time"

	"samphirepaddle.example/core/model"
)

// Limiter enforces the quick limits of tenants at one gateway. It is safe for concurrent use.
type Limiter struct {
	mu      sync.Mutex
	tenants map[model.TenantID]*usage
}

// usage is the present use of one tenant.
type usage struct {
	tokens  float64
	filled  time.Time
	running int32
}

// NewLimiter returns a limiter without any use.
func NewLimiter() *Limiter {
	return &Limiter{tenants: map[model.TenantID]*usage{}}
}

// Limit names the limit that a request exceeds.
type Limit string

// The limits.
const (
	LimitNone       Limit = ""
	LimitRate       Limit = "quick_per_second"
	LimitConcurrent Limit = "quick_concurrent"
)

// Acquire admits one request of the tenant, or names the exceeded limit and the time after
// which a request may be admitted. Each admitted request must be given back with Give.
func (l *Limiter) Acquire(now time.Time, tenant model.Tenant) (exceeded Limit, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u, ok := l.tenants[tenant.ID]
	if !ok {
		u = &usage{tokens: float64(tenant.QuickPerSecond), filled: now}
		l.tenants[tenant.ID] = u
	}
	if tenant.QuickConcurrent > 0 && u.running >= tenant.QuickConcurrent {
		return LimitConcurrent, 0
	}
	if tenant.QuickPerSecond > 0 {
		if ok, wait := u.takeToken(now, float64(tenant.QuickPerSecond)); !ok {
			return LimitRate, wait
		}
	}
	u.running++
	return LimitNone, 0
}

// takeToken takes one token of a bucket that holds one second's worth.
func (u *usage) takeToken(now time.Time, perSecond float64) (ok bool, wait time.Duration) {
	passed := max(0, now.Sub(u.filled).Seconds())
	u.tokens = math.Min(perSecond, u.tokens+passed*perSecond)
	u.filled = now
	if u.tokens < 1 {
		return false, time.Duration((1 - u.tokens) / perSecond * float64(time.Second))
	}
	u.tokens--
	return true, 0
}

// Release ends a request that Take admitted.
func (l *Limiter) Release(tenant model.TenantID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if u, ok := l.tenants[tenant]; ok {
		u.running--
	}
}

// Shares of the retry budget.
const (
	retryShare    = 0.1 // retries per first attempt
	maxRetryStore = 20  // retries that an idle time may save up
)

// RetryBudget bounds retries to a share of first attempts, so that retries cannot multiply
// the load when targets fail. It is safe for concurrent use.
type RetryBudget struct {
	mu    sync.Mutex
	store float64
}

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget { return &RetryBudget{store: maxRetryStore} }

// Deposit counts a first attempt.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.store = math.Min(maxRetryStore, b.store+retryShare)
}

// Withdraw reports whether a retry is allowed, and counts it.
func (b *RetryBudget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.store < 1 {
		return false
	}
	b.store--
	return true
}
