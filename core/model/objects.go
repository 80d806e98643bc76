package model

// Service is a latency-critical service that callers reach by name.
type Service struct {
	ID          ServiceID `json:"id"`
	Pool        PoolID    `json:"pool"`
	QuickDemand Resources `json:"quick"`        // resources that one quick request takes on a target
	KeptSlots   int32     `json:"kept_slots"`   // slots of each target that are kept free of batch work
	DeadlineMs  Millis    `json:"deadline_ms"`  // default deadline of a quick request
	QueueLength int32     `json:"queue_length"` // maximum number of requests waiting at one gateway
	Version     string    `json:"version"`      // free text shown by status
}

// Pool is a set of targets, selected by the pool name that they announce.
type Pool struct {
	ID      PoolID  `json:"id"`
	Weights Weights `json:"weights"`
}

// Weights holds the weights of a pool's scheduling objectives; only their ratios matter.
type Weights struct {
	TailLatency float64 `json:"tail_latency"`
	Throughput  float64 `json:"throughput"`
	Evictions   float64 `json:"evictions"`
}

// Tenant holds the limits of one tenant.
type Tenant struct {
	ID              TenantID  `json:"id"`
	BatchQuota      Resources `json:"batch_quota"`      // limit on the total reservation of its batch tasks; zero fields are unlimited
	MaxQueuedJobs   int32     `json:"max_queued_jobs"`  // zero is unlimited
	QuickPerSecond  int32     `json:"quick_per_second"` // zero is unlimited; counted per gateway
	QuickConcurrent int32     `json:"quick_concurrent"` // zero is unlimited; counted per gateway
	Share           float64   `json:"share"`            // weight in fair sharing; zero counts as 1
}

// JobSpec is what a caller or a ticket declares about a job.
type JobSpec struct {
	ID          JobID     `json:"id" cbor:"1,keyasint,omitempty"`
	Tenant      TenantID  `json:"tenant" cbor:"2,keyasint,omitempty"`
	Pool        PoolID    `json:"pool" cbor:"3,keyasint,omitempty"`
	Class       Class     `json:"class" cbor:"4,keyasint,omitempty"`        // ClassBatch or ClassStream
	Kind        string    `json:"kind" cbor:"5,keyasint,omitempty"`         // groups jobs whose sizes are learned together, such as "restock-plan"
	Declared    Resources `json:"declared" cbor:"6,keyasint"`               // declared size; learned sizes may exceed it
	RunTimeMs   Millis    `json:"run_time_ms" cbor:"7,keyasint,omitempty"`  // declared run time
	Urgent      bool      `json:"urgent" cbor:"8,keyasint,omitempty"`       // may preempt; starts within 2.1 s
	MaxAttempts uint32    `json:"max_attempts" cbor:"9,keyasint,omitempty"` // failed attempts after which the job fails; zero counts as 5
	Payload     []byte    `json:"payload" cbor:"10,keyasint,omitempty"`     // passed to the target unchanged
}

// Ticket is a numbered change of the configuration. It carries the complete new content of each
// object that it declares.
type Ticket struct {
	Number   uint64      `json:"number"`
	Author   string      `json:"author"`
	Services []Service   `json:"services,omitempty"`
	Pools    []Pool      `json:"pools,omitempty"`
	Tenants  []Tenant    `json:"tenants,omitempty"`
	Jobs     []JobSpec   `json:"jobs,omitempty"`
	Routing  *Routing    `json:"routing,omitempty"`
	Delete   []ObjectRef `json:"delete,omitempty"`
}

// ObjectKind names a kind of object that a ticket may declare or delete.
type ObjectKind string

// The kinds of object.
const (
	KindService ObjectKind = "service"
	KindPool    ObjectKind = "pool"
	KindTenant  ObjectKind = "tenant"
	KindJob     ObjectKind = "job"
	KindRouting ObjectKind = "routing"
)

// ObjectRef names one object.
type ObjectRef struct {
	Kind ObjectKind `json:"kind"`
	ID   string     `json:"id"`
}
