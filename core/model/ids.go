// Package model defines the types that the scheduler's packages share: identifiers,
// resources, verdicts, the objects that tickets declare, and the targets' reports.
//
// Types are stored in the replicated log and sent between daemons in CBOR. Their JSON field
// names are the public interface; they are also the CBOR keys, unless a tag gives a number.
package model

import "fmt"

// GatewayID names the daemon of one entry VM; it is set in the daemon's settings.
type GatewayID string

// TargetID names one backend; the target chooses it and sends it in its announcements.
type TargetID string

// Zone names an availability zone.
type Zone string

// Rack names a rack within an availability zone.
type Rack string

// TenantID names a tenant.
type TenantID string

// ServiceID names a service.
type ServiceID string

// PoolID names a pool of targets.
type PoolID string

// JobID names a job; it is unique over the lifetime of the state.
type JobID string

// RequestID identifies one request of a caller, both at the gateway and at the target.
type RequestID string

// Epoch orders the grants of a session or of the ownership of a target; a larger value
// supersedes smaller ones.
type Epoch uint64

// Revision is the log index of the last command that a view of the state includes.
type Revision uint64

// Millis is a wall-clock time or a duration in milliseconds.
type Millis int64

// AttemptID identifies one execution of a job.
type AttemptID struct {
	Job    JobID  `json:"job" cbor:"1,keyasint,omitempty"`
	Number uint32 `json:"number" cbor:"2,keyasint,omitempty"`
}

// String formats the attempt as job/number.
func (a AttemptID) String() string {
	return fmt.Sprintf("%s/%d", a.Job, a.Number)
}

// Class groups work that the scheduler treats alike.
type Class string

// The classes of work.
const (
	ClassQuick  Class = "quick"  // latency-critical requests that a caller waits for
	ClassBatch  Class = "batch"  // jobs that run to completion
	ClassStream Class = "stream" // runs whose output a caller follows for hours
)

// Valid reports whether c is a known class.
func (c Class) Valid() bool {
	return c == ClassQuick || c == ClassBatch || c == ClassStream
}
