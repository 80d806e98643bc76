package model

import (
	"fmt"
	"regexp"
)

// Bounds on tickets and jobs.
const (
	MaxTicketObjects   = 256     // objects in one ticket
	MaxPayloadBytes    = 4 << 20 // payload of one job
	maxIdentifierBytes = 128     // bytes of an identifier
	maxTextBytes       = 256     // bytes of an author, a version or a kind of job
	maxAttempts        = 100     // highest max_attempts of a job
	maxDeadlineMs      = Millis(10 * 60 * 1000)
	maxQueueLength     = 100_000
	maxWeight          = 1_000_000 // of a pool's weights and of a tenant's share
)

var identifier = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// CheckIdentifier returns an error that names the field if text is not a valid identifier.
func CheckIdentifier(field, text string) error {
	if text == "" {
		return fmt.Errorf("%s is empty", field)
	}
	if len(text) > maxIdentifierBytes {
		return fmt.Errorf("%s has %d bytes, at most %d are allowed", field, len(text), maxIdentifierBytes)
	}
	if !identifier.MatchString(text) {
		return fmt.Errorf("%s %q may hold only letters, digits, '.', '_' and '-', and starts with a letter or digit", field, text)
	}
	return nil
}

func checkText(field, text string) error {
	if len(text) > maxTextBytes {
		return fmt.Errorf("%s has %d bytes, at most %d are allowed", field, len(text), maxTextBytes)
	}
	return nil
}

// Refs returns the objects that the ticket declares or deletes. Naming one twice is an error.
func (t Ticket) Refs() ([]ObjectRef, error) {
	var refs []ObjectRef
	for _, service := range t.Services {
		refs = append(refs, ObjectRef{KindService, string(service.ID)})
	}
	for _, pool := range t.Pools {
		refs = append(refs, ObjectRef{KindPool, string(pool.ID)})
	}
	for _, tenant := range t.Tenants {
		refs = append(refs, ObjectRef{KindTenant, string(tenant.ID)})
	}
	for _, job := range t.Jobs {
		refs = append(refs, ObjectRef{KindJob, string(job.ID)})
	}
	if t.Routing != nil {
		refs = append(refs, ObjectRef{KindRouting, RoutingID})
	}
	refs = append(refs, t.Delete...)
	return refs, checkRefs(refs)
}

func checkRefs(refs []ObjectRef) error {
	if len(refs) == 0 {
		return fmt.Errorf("the ticket touches no object")
	}
	if len(refs) > MaxTicketObjects {
		return fmt.Errorf("the ticket touches %d objects, at most %d are allowed", len(refs), MaxTicketObjects)
	}
	seen := make(map[ObjectRef]bool, len(refs))
	for _, ref := range refs {
		if err := checkRef(ref); err != nil {
			return err
		}
		if seen[ref] {
			return fmt.Errorf("%s %q is named twice", ref.Kind, ref.ID)
		}
		seen[ref] = true
	}
	return nil
}

func checkRef(ref ObjectRef) error {
	switch ref.Kind {
	case KindService, KindPool, KindTenant, KindJob, KindRouting:
		return CheckIdentifier(string(ref.Kind)+" id", ref.ID)
	default:
		return fmt.Errorf("kind %q is none of service, pool, tenant, job, routing", ref.Kind)
	}
}

// Validate checks each object of the ticket on its own, without the state.
func (t Ticket) Validate() error {
	if err := checkText("author", t.Author); err != nil {
		return err
	}
	for _, service := range t.Services {
		if err := service.Validate(); err != nil {
			return fmt.Errorf("service %q: %w", service.ID, err)
		}
	}
	for _, pool := range t.Pools {
		if err := pool.Weights.validate(); err != nil {
			return fmt.Errorf("pool %q: %w", pool.ID, err)
		}
	}
	for _, tenant := range t.Tenants {
		if err := tenant.Validate(); err != nil {
			return fmt.Errorf("tenant %q: %w", tenant.ID, err)
		}
	}
	for _, job := range t.Jobs {
		if err := job.Validate(); err != nil {
			return fmt.Errorf("job %q: %w", job.ID, err)
		}
	}
	if t.Routing != nil {
		return t.Routing.Validate()
	}
	return nil
}

// Validate checks a service.
func (s Service) Validate() error {
	if err := CheckIdentifier("pool", string(s.Pool)); err != nil {
		return err
	}
	if s.QuickDemand.Negative() || s.QuickDemand.Slots < 1 || s.QuickDemand.Connections < 1 {
		return fmt.Errorf("quick must take at least 1 slot and 1 connection and no negative amount, got %+v", s.QuickDemand)
	}
	if s.KeptSlots < 0 {
		return fmt.Errorf("kept_slots %d is negative", s.KeptSlots)
	}
	if s.DeadlineMs < 1 || s.DeadlineMs > maxDeadlineMs {
		return fmt.Errorf("deadline_ms %d is outside 1 to %d", s.DeadlineMs, maxDeadlineMs)
	}
	if err := checkText("version", s.Version); err != nil {
		return err
	}
	if s.QueueLength < 0 || s.QueueLength > maxQueueLength {
		return fmt.Errorf("queue_length %d is outside 0 to %d", s.QueueLength, maxQueueLength)
	}
	return nil
}

func (w Weights) validate() error {
	// The negated condition also rejects NaN.
	for _, weight := range []float64{w.TailLatency, w.Throughput, w.Evictions} {
		if !(weight >= 0 && weight <= maxWeight) {
			return fmt.Errorf("weights %+v are outside 0 to %d", w, maxWeight)
		}
	}
	return nil
}

// Validate checks a tenant's limits.
func (t Tenant) Validate() error {
	if !(t.Share >= 0 && t.Share <= maxWeight) {
		return fmt.Errorf("share %v is outside 0 to %d", t.Share, maxWeight)
	}
	if t.BatchQuota.Negative() || t.MaxQueuedJobs < 0 || t.QuickPerSecond < 0 || t.QuickConcurrent < 0 {
		return fmt.Errorf("limits must not be negative, got %+v", t)
	}
	return nil
}

// Validate checks what a job declares.
func (j JobSpec) Validate() error {
	if err := CheckIdentifier("job id", string(j.ID)); err != nil {
		return err
	}
	if err := CheckIdentifier("tenant", string(j.Tenant)); err != nil {
		return err
	}
	if err := CheckIdentifier("pool", string(j.Pool)); err != nil {
		return err
	}
	if j.Class != ClassBatch && j.Class != ClassStream {
		return fmt.Errorf("class %q is none of batch, stream", j.Class)
	}
	if j.Declared.Negative() || j.Declared.Slots < 1 {
		return fmt.Errorf("declared must take at least 1 slot and no negative amount, got %+v", j.Declared)
	}
	if err := checkText("kind", j.Kind); err != nil {
		return err
	}
	if j.RunTimeMs < 0 {
		return fmt.Errorf("run_time_ms %d is negative", j.RunTimeMs)
	}
	if j.MaxAttempts > maxAttempts {
		return fmt.Errorf("max_attempts %d is above %d", j.MaxAttempts, maxAttempts)
	}
	if len(j.Payload) > MaxPayloadBytes {
		return fmt.Errorf("payload has %d bytes, at most %d are allowed", len(j.Payload), MaxPayloadBytes)
	}
	return nil
}
