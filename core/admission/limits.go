package admission

import (
	"math"
	"sync"
	"time"

	"samphirepaddle.example/core/model"
)

// Limiter enforces the tenants' limits on the rate and concurrency of quick requests at one
// gateway. It is safe for concurrent use.
type Limiter struct {
	mu      sync.Mutex
	tenants map[model.TenantID]*usage
}

// usage holds the token bucket and the number of running requests of one tenant.
type usage struct {
	tokens     float64
	lastRefill time.Time
	running    int32
}

// NewLimiter returns a limiter without running requests.
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

// Acquire admits a request of the tenant, or returns the exceeded limit and the time until a
// request may be admitted, which is zero if unknown. Release must be called at the end of each
// admitted request.
func (l *Limiter) Acquire(now time.Time, tenant model.Tenant) (exceeded Limit, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u, ok := l.tenants[tenant.ID]
	if !ok {
		u = &usage{tokens: float64(tenant.QuickPerSecond), lastRefill: now}
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

// takeToken takes a token from the bucket, whose size is the number of tokens per second.
// Without a token it returns the time until there is one.
func (u *usage) takeToken(now time.Time, perSecond float64) (ok bool, wait time.Duration) {
	passed := max(0, now.Sub(u.lastRefill).Seconds())
	u.tokens = math.Min(perSecond, u.tokens+passed*perSecond)
	u.lastRefill = now
	if u.tokens < 1 {
		return false, time.Duration((1 - u.tokens) / perSecond * float64(time.Second))
	}
	u.tokens--
	return true, 0
}

// Release records the end of a request that Acquire admitted.
func (l *Limiter) Release(tenant model.TenantID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if u, ok := l.tenants[tenant]; ok {
		u.running--
	}
}

// Parameters of the retry budget.
const (
	retriesPerAttempt = 0.1 // added to the balance by each first attempt
	maxRetryBalance   = 20  // maximum balance, which limits the retries after an idle period
)

// RetryBudget limits retries to a fraction of first attempts, so that retries do not multiply
// the load when targets fail. It is safe for concurrent use.
type RetryBudget struct {
	mu      sync.Mutex
	balance float64
}

// NewRetryBudget returns a budget with the maximum balance.
func NewRetryBudget() *RetryBudget { return &RetryBudget{balance: maxRetryBalance} }

// Deposit records a first attempt and adds retriesPerAttempt to the balance.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = math.Min(maxRetryBalance, b.balance+retriesPerAttempt)
}

// Withdraw takes a retry from the balance. It reports false if the balance is insufficient and
// the retry is not allowed.
func (b *RetryBudget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
