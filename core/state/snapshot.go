package state

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
)

// snapshotVersion is incremented with each change of the snapshot format.
const snapshotVersion = 3

// snapshot is the stored form of State. Its Go field names are the CBOR keys; the records in it
// have integer keys, because names would take most of the bytes. Maps with struct keys are
// stored as lists, so that every CBOR map key is an integer or a string.
type snapshot struct {
	Version      int
	Revision     model.Revision
	Now          model.Millis
	NextEpoch    model.Epoch
	NextSequence uint64
	Config       Config
	LastTicket   []lastTicketEntry
	Tickets      map[uint64]*TicketRecord
	TicketFloor  uint64
	Gateways     map[model.GatewayID]*Gateway
	Targets      map[model.TargetID]*Target
	Jobs         map[model.JobID]*Job
	JobKeys      []jobKeyEntry
	Requests     []requestEntry
	Workflows    *workflow.Snapshot
	Evacuations  map[model.Zone]Evacuation `cbor:",omitempty"`
}

type lastTicketEntry struct {
	Ref    model.ObjectRef `cbor:"1,keyasint"`
	Number uint64          `cbor:"2,keyasint"`
}

type jobKeyEntry struct {
	Key RequestKey    `cbor:"1,keyasint"`
	Job *JobKeyRecord `cbor:"2,keyasint"`
}

type requestEntry struct {
	Key    RequestKey     `cbor:"1,keyasint"`
	Record *RequestRecord `cbor:"2,keyasint"`
}

// Capture is a copy of the state that is not affected by later commands.
type Capture struct {
	stored snapshot
}

// Capture copies the records. The payloads, responses and results in them are shared, because
// they are replaced and never changed in place. Capture takes a fraction of the time of Encode:
// the state is locked only during Capture, and Encode may run concurrently with later commands.
func (s *State) Capture() *Capture {
	return &Capture{snapshot{
		Version:      snapshotVersion,
		Revision:     s.Revision,
		Now:          s.Now,
		NextEpoch:    s.NextEpoch,
		NextSequence: s.NextSequence,
		Config:       s.Config.Clone(),
		LastTicket:   s.lastTicketEntries(),
		Tickets:      copyRecords(s.Tickets),
		TicketFloor:  s.TicketFloor,
		Gateways:     copyRecords(s.Gateways),
		Targets:      copyRecords(s.Targets),
		Jobs:         copyJobs(s.Jobs),
		JobKeys:      s.jobKeyEntries(),
		Requests:     s.requestEntries(),
		Workflows:    s.Workflows.Capture(),
		Evacuations:  maps.Clone(s.Evacuations),
	}}
}

// Encode returns the encoded snapshot. Equal states have equal encodings.
func (c *Capture) Encode() ([]byte, error) {
	slices.SortFunc(c.stored.LastTicket, func(a, b lastTicketEntry) int {
		return cmp.Or(cmp.Compare(a.Ref.Kind, b.Ref.Kind), cmp.Compare(a.Ref.ID, b.Ref.ID))
	})
	slices.SortFunc(c.stored.JobKeys, func(a, b jobKeyEntry) int { return a.Key.compare(b.Key) })
	slices.SortFunc(c.stored.Requests, func(a, b requestEntry) int { return a.Key.compare(b.Key) })
	return model.Encode(c.stored)
}

// Snapshot returns the encoded snapshot of the state.
func (s *State) Snapshot() ([]byte, error) { return s.Capture().Encode() }

// copyRecords copies the records into one slice, which is much cheaper than an allocation for
// each record.
func copyRecords[K comparable, V any](records map[K]*V) map[K]*V {
	copies := make([]V, 0, len(records))
	out := make(map[K]*V, len(records))
	for key, record := range records {
		copies = append(copies, *record)
		out[key] = &copies[len(copies)-1]
	}
	return out
}

func copyJobs(jobs map[model.JobID]*Job) map[model.JobID]*Job {
	out := copyRecords(jobs)
	for _, job := range out {
		if job.OpenAttempt != nil {
			open := *job.OpenAttempt
			job.OpenAttempt = &open
		}
	}
	return out
}

// Restore returns the state of an encoded snapshot.
func Restore(data []byte) (*State, error) {
	var stored snapshot
	if err := model.Decode(data, &stored); err != nil {
		return nil, err
	}
	if stored.Version != snapshotVersion {
		return nil, fmt.Errorf("snapshot version %d is not supported, expected %d", stored.Version, snapshotVersion)
	}
	s := New()
	s.Revision = stored.Revision
	s.Now = stored.Now
	s.NextEpoch = stored.NextEpoch
	s.NextSequence = stored.NextSequence
	s.Config = stored.Config
	s.Tickets = stored.Tickets
	s.TicketFloor = stored.TicketFloor
	s.Gateways = stored.Gateways
	s.Targets = stored.Targets
	s.Jobs = stored.Jobs
	s.Workflows = workflow.Restore(stored.Workflows)
	for zone, e := range stored.Evacuations {
		s.Evacuations[zone] = e
		s.Workflows.SetEvacuated(zone, true)
	}
	for id := range s.Gateways {
		s.ownedTargetsChanged[id] = s.Revision
		s.ownedSetChanged[id] = s.Revision
	}
	for _, e := range stored.LastTicket {
		s.LastTicket[e.Ref] = e.Number
	}
	for _, e := range stored.JobKeys {
		s.JobKeys[e.Key] = e.Job
	}
	for _, e := range stored.Requests {
		s.Requests[e.Key] = e.Record
	}
	s.closedSince = s.Revision
	s.gatewaysChanged = s.Revision
	s.journal.since = s.Revision
	s.configSince = s.Revision
	s.rebuildIndex()
	return s, nil
}

func (s *State) lastTicketEntries() []lastTicketEntry {
	entries := make([]lastTicketEntry, 0, len(s.LastTicket))
	for ref, number := range s.LastTicket {
		entries = append(entries, lastTicketEntry{ref, number})
	}
	return entries
}

func (s *State) jobKeyEntries() []jobKeyEntry {
	copies := make([]JobKeyRecord, 0, len(s.JobKeys))
	entries := make([]jobKeyEntry, 0, len(s.JobKeys))
	for key, record := range s.JobKeys {
		copies = append(copies, *record)
		entries = append(entries, jobKeyEntry{key, &copies[len(copies)-1]})
	}
	return entries
}

func (s *State) requestEntries() []requestEntry {
	copies := make([]RequestRecord, 0, len(s.Requests))
	entries := make([]requestEntry, 0, len(s.Requests))
	for key, record := range s.Requests {
		copies = append(copies, *record)
		entries = append(entries, requestEntry{key, &copies[len(copies)-1]})
	}
	return entries
}

func (k RequestKey) compare(o RequestKey) int {
	return cmp.Or(cmp.Compare(k.Tenant, o.Tenant), cmp.Compare(k.Key, o.Key))
}
